package admit

import (
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The limit is the number of requests that the server may have at once.
//
// Each finished request is compared with the usual latency of its class. The
// ratio of the two, smoothed, tells whether the server keeps up. While it does,
// each request that was admitted with the limit in use raises the limit by
// 1/limit, so a round of requests raises it by one. A bad ratio or a failure
// multiplies it by a factor below one, once for each round: requests admitted
// before the last cut say nothing about the limit that the cut set.
//
// A sign that the server is cold sets the limit to the cold cap. Only requests
// admitted after the sign can raise it again. If latency alone caused the decrease
// or was the sign, each such request raises the limit by one up to its former
// value: a server that was really cold has a bad latency until it is warm, and a
// server whose speed shifts by itself would lose its slots for many rounds.

// The signs of a cold server that rest on latency alone.
const (
	signJump = "jump in service time"
	signLate = "running requests are late"
)

const (
	// goodRatio and badRatio bound the smoothed ratio of latency to the usual
	// one; between the two the limit stays. Ordinary servers have a mean ratio
	// of about 1.2.
	goodRatio = 1.8
	badRatio  = 2.5
	// ratioWeight is the weight of one request in the smoothed ratio.
	ratioWeight = 0.2
	// slowCut and failCut are the factors of a decrease.
	slowCut = 0.7
	failCut = 0.5
	// jumpRatio is the ratio that counts as a jump in service time when
	// jumpCount of the last jumpWindow requests exceed it. A single slow
	// request is ordinary.
	jumpRatio  = 4.0
	jumpWindow = 5
	jumpCount  = 4
	// A server whose speed shifts by itself gets wider bounds: these multiples
	// of its high ratio, which only one of twenty requests exceeds. Without
	// them such a server would be at the cold cap most of the time.
	goodHigh = 0.5
	badHigh  = 0.8
	jumpHigh = 1.5
	// The high ratio has bounds, so that a tenfold slowdown is a jump at any
	// server. It moves by highStep if exceeded and down by a nineteenth of that
	// if not.
	minHigh  = 2.0
	maxHigh  = 5.0
	highStep = 0.02
	// failingWeight is the weight of one request in the share of failures;
	// above failingCold the server counts as cold.
	failingWeight = 0.2
	failingCold   = 0.5
	// From holdAfter consecutive failures on, each failure keeps the server
	// idle for a time that doubles from minHold to maxHold. Without it a server
	// that fails within a millisecond has a free slot almost always and would
	// take most of the requests offered to it.
	holdAfter = 3
	minHold   = 10 * time.Millisecond
	maxHold   = time.Second
	// usualStep is the largest relative change of the usual latency by one
	// request. At 600 requests a second it
	// doubles within about 1.2 s, so a permanent change of a server is accepted,
	// but only after the limit has reacted to it.
	usualStep = 0.001
	// After usualFast requests in a row below half the usual latency it falls
	// faster, since the server was cold when it was learned.
	usualFast = 8
	// maxClasses bounds the classes with a latency of their own.
	maxClasses = 64
	// maxRatio keeps one very late answer from cutting the limit: it moves the
	// smoothed ratio from 1 to 1.8.
	maxRatio = 5
)

// usual tracks the median latency of a class. Each request moves it by a small
// relative step, which early requests enlarge so that it settles quickly.
type usual struct {
	value float64 // seconds
	n     int
	fast  int // requests in a row below half the value
}

func (u *usual) add(l float64) {
	u.n++
	if u.n == 1 {
		u.value = l
		return
	}
	u.fast++
	if l >= u.value/2 {
		u.fast = 0
	}
	step := max(usualStep, 0.5/float64(u.n))
	switch {
	case u.fast >= usualFast:
		u.value *= 0.9
	case l < u.value:
		u.value *= 1 - step
	default:
		u.value *= 1 + step
	}
}

// work is what the limit remembers of an admitted request.
type work struct {
	number   uint64 // counts admissions
	at       time.Time
	inFlight int  // including itself, at admission
	full     bool // at most one slot was left
}

type limiter struct {
	c         Config
	published int
	value     float64
	target    float64 // up to this the limit grows fast
	warming   int     // requests to complete before the limit grows
	admitted  uint64
	cutAt     uint64 // work up to this number neither raises nor cuts the limit
	coldAt    uint64 // work up to this number says nothing at all
	ratio     float64
	high      float64             // ratio that one of twenty requests exceeds
	ratios    [jumpWindow]float64 // 0 where empty
	next      int
	classes   map[prim.Class]*usual
	failing   float64
	failures  int // consecutive
	hold      time.Time
	last      time.Time // last completion
	recent    [32]point
	nextPoint int
}

// point is one observed latency, for estimates.
type point struct {
	at       time.Time
	inFlight int
	latency  time.Duration
}

func newLimiter(c Config) limiter {
	return limiter{c: c, published: c.Published, value: float64(c.ColdCap), warming: c.ColdWork, ratio: 1, high: minHigh, classes: make(map[prim.Class]*usual)}
}

// limit returns the number of requests that may be at the server.
func (l *limiter) limit() int { return max(0, min(l.published, int(l.value))) }

// admit records that a request starts.
func (l *limiter) admit(now time.Time, inFlight int) work {
	l.admitted++
	return work{l.admitted, now, inFlight, inFlight >= l.limit()-1}
}

// cold returns the limit to the cold cap. If the sign was only a matter of
// latency, the limit may grow back fast.
func (l *limiter) cold(latency bool) {
	if l.target = max(l.target, l.value); !latency {
		l.target = 0
		l.warming = l.c.ColdWork
	}
	l.value = min(l.value, float64(l.c.ColdCap))
	l.forget()
	l.ratio = 1
	l.ratios = [jumpWindow]float64{}
	l.recent = [len(l.recent)]point{}
}

// forget makes requests that are now in flight say nothing about the server,
// because the time that they took includes a pause of this process.
func (l *limiter) forget() { l.cutAt, l.coldAt = l.admitted, l.admitted }

func (l *limiter) cut(factor float64) {
	// One less for each decrease, so that a lasting loss of capacity is learned.
	l.target = max(l.value, l.target-1)
	l.value = max(float64(l.c.ColdCap), min(l.value, float64(l.published))*factor)
	l.cutAt = l.admitted
	// The next decrease needs evidence of its own: requests admitted after this
	// one still share the slow phase that caused it.
	l.ratio = min(l.ratio, goodRatio)
}

// class returns the usual latency of a class. Beyond maxClasses, the remaining
// classes share one.
func (l *limiter) class(c prim.Class) *usual {
	u := l.classes[c]
	if u != nil {
		return u
	}
	if len(l.classes) >= maxClasses {
		c = ""
		if u = l.classes[c]; u != nil {
			return u
		}
	}
	u = &usual{}
	l.classes[c] = u
	return u
}

// done learns from the end of a request. It reports why the server seems to be
// cold, or "".
func (l *limiter) done(now time.Time, w work, c prim.Class, a prim.Attempt) (cold string) {
	quiet := now.Sub(l.last) > l.c.Quiet
	if a.Outcome != prim.NotRun || a.Failed || a.Reset {
		l.last = now
	}
	switch {
	case a.Reset:
		l.failed(now)
		return "connection reset"
	case a.Failed:
		l.failed(now)
		if quiet {
			return "failure after a quiet period"
		}
		if l.failing > failingCold {
			return "most requests fail"
		}
		if w.number > l.cutAt {
			l.cut(failCut)
		}
	case a.Outcome == prim.Done:
		l.failures = 0
		l.failing -= l.failing * failingWeight
		return l.succeeded(now, w, c, a.Latency)
	}
	return ""
}

func (l *limiter) failed(now time.Time) {
	l.failing += (1 - l.failing) * failingWeight
	l.failures++
	if n := l.failures - holdAfter; n >= 0 {
		l.hold = now.Add(min(maxHold, minHold<<min(n, 10)))
	}
}

func (l *limiter) succeeded(now time.Time, w work, c prim.Class, latency time.Duration) (cold string) {
	if w.number <= l.coldAt {
		return ""
	}
	l.recent[l.nextPoint] = point{now, w.inFlight, latency}
	l.nextPoint = (l.nextPoint + 1) % len(l.recent)
	u := l.class(c)
	ratio := 1.0
	if u.n > 0 && u.value > 0 {
		ratio = latency.Seconds() / u.value
	}
	u.add(latency.Seconds())
	jumps := 0
	l.ratios[l.next] = ratio
	l.next = (l.next + 1) % len(l.ratios)
	for _, r := range l.ratios {
		if r > l.jump() {
			jumps++
		}
	}
	good, bad := max(goodRatio, goodHigh*l.high), max(badRatio, badHigh*l.high)
	switch {
	case l.value < float64(l.c.ColdCap)+1:
		// A slow or cold server must not widen its own bounds.
	case ratio > l.high:
		l.high = min(maxHigh, l.high*(1+highStep))
	default:
		l.high = max(minHigh, l.high*(1-highStep/19))
	}
	l.ratio += (min(maxRatio, ratio) - l.ratio) * ratioWeight
	if l.warming > 0 {
		l.warming--
	}
	switch {
	case jumps >= jumpCount && l.value > float64(l.c.ColdCap):
		return signJump
	case w.number <= l.cutAt:
	case l.ratio > bad:
		l.cut(slowCut)
	case l.warming > 0:
	case ratio < good && l.ratio < good && w.full && l.value < float64(l.published):
		if l.value+1 <= l.target {
			l.value++
		} else {
			l.value += 1 / l.value
		}
	}
	return ""
}

// jump returns the ratio above which a request counts as a jump.
func (l *limiter) jump() float64 { return max(jumpRatio, jumpHigh*l.high) }

// late reports whether a running request has exceeded the jump in service time.
func (l *limiter) late(now time.Time, w work, c prim.Class) bool {
	u := l.classes[c]
	return w.number > l.coldAt && u != nil && u.n >= jumpWindow && now.Sub(w.at).Seconds() > l.jump()*u.value
}

// latency estimates the time that a request takes with n requests in flight:
// the median of the recent latencies at the nearest numbers in flight. It is
// zero if nothing finished lately.
func (l *limiter) latency(now time.Time, n int) time.Duration {
	var near [len(l.recent)]point
	ps := near[:0]
	for _, p := range l.recent {
		if p.latency > 0 && now.Sub(p.at) <= l.c.LatencyAge {
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return 0
	}
	slices.SortFunc(ps, func(a, b point) int {
		if d := abs(a.inFlight-n) - abs(b.inFlight-n); d != 0 {
			return d
		}
		return b.at.Compare(a.at)
	})
	ps = ps[:min(len(ps), 9)]
	slices.SortFunc(ps, func(a, b point) int { return int(a.latency - b.latency) })
	return ps[len(ps)/2].latency
}

func abs(n int) int { return max(n, -n) }
