package admit

import (
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The limit is the maximum number of requests in flight at the server. It is
// controlled by additive increase and multiplicative decrease.
//
// The latency of each completed request is compared with the baseline of its
// class. The smoothed ratio of the two shows whether the server keeps up. While
// it does, each request that was admitted with the limit nearly used up raises
// the limit by 1/limit, so a round of requests raises it by one. A bad ratio or a
// failure multiplies the limit by a factor below one, at most once per round:
// requests admitted before the last decrease are no evidence about the new limit.
//
// Evidence that the server is cold resets the limit to the cold cap. Only
// requests admitted after that can raise it again. If the decrease or the reset
// was based on latency alone, each such request raises the limit by one up to its
// former value. This is safe, since a server that is really cold has bad latency
// until it is warm. Without it a server whose speed varies by itself would lose
// its slots for many rounds.

// The reasons for treating a server as cold that are based on latency alone.
const (
	coldReasonJump = "jump in service time"
	coldReasonLate = "running requests are late"
)

const (
	// The limit may grow while the smoothed ratio of latency to baseline is below
	// goodRatio and decreases when it is above badRatio; in between it stays.
	// Ordinary servers have a mean ratio of about 1.2.
	goodRatio = 1.8
	badRatio  = 2.5
	// ratioWeight is the weight of one request in the smoothed ratio.
	ratioWeight = 0.2
	// slowDecrease and failureDecrease are the factors of a decrease because of
	// latency and of a failure.
	slowDecrease    = 0.7
	failureDecrease = 0.5
	// Service time has jumped when jumpCount of the last jumpWindow requests
	// exceed jumpRatio. A single slow request is ordinary.
	jumpRatio  = 4.0
	jumpWindow = 5
	jumpCount  = 4
	// A server whose speed varies by itself gets wider bounds: these multiples
	// of its high ratio, the 95th percentile of its ratios. Without them such a
	// server would be at the cold cap most of the time.
	goodHighFactor = 0.5
	badHighFactor  = 0.8
	jumpHighFactor = 1.5
	// The high ratio is bounded, so that a tenfold slowdown is a jump at any
	// server. It rises by highRatioStep when a request exceeds it and falls by a
	// nineteenth of that otherwise, so it follows the 95th percentile.
	minHighRatio  = 2.0
	maxHighRatio  = 5.0
	highRatioStep = 0.02
	// failureWeight is the weight of one request in the smoothed failure share;
	// above coldFailureShare the server is treated as cold.
	failureWeight    = 0.2
	coldFailureShare = 0.5
	// From holdAfterFailures consecutive failures on, each failure stops admission
	// for a time that doubles from minHold to maxHold. Without it a server that
	// fails within a millisecond almost always has a free slot and would attract
	// most of the requests offered to it.
	holdAfterFailures = 3
	minHold           = 10 * time.Millisecond
	maxHold           = time.Second
	// baselineStep is the relative change of the baseline by one request, once it
	// has settled. At 600 requests a second the baseline doubles within about
	// 1.2 s, so a permanent change of a server is accepted, but only after the
	// limit has reacted to it.
	baselineStep = 0.001
	// After fastStreakLength consecutive requests below half the baseline, the
	// baseline falls faster, since the server was cold when it was measured.
	fastStreakLength = 8
	// maxClasses bounds the number of request classes with their own baseline.
	maxClasses = 64
	// maxCountedRatio keeps a single very late answer from decreasing the limit:
	// the answer moves the smoothed ratio from 1 to 1.8.
	maxCountedRatio = 5
)

// latencyBaseline tracks the median latency of a request class. Each request
// moves it by a small relative step. The step is larger for the first requests,
// so that the baseline settles quickly.
type latencyBaseline struct {
	value      float64 // seconds
	count      int
	fastStreak int // consecutive requests below half the value
}

func (b *latencyBaseline) add(latency float64) {
	b.count++
	if b.count == 1 {
		b.value = latency
		return
	}
	b.fastStreak++
	if latency >= b.value/2 {
		b.fastStreak = 0
	}
	step := max(baselineStep, 0.5/float64(b.count))
	switch {
	case b.fastStreak >= fastStreakLength:
		b.value *= 0.9
	case latency < b.value:
		b.value *= 1 - step
	default:
		b.value *= 1 + step
	}
}

// admission is the state at the admission of a request.
type admission struct {
	seq       uint64 // sequence number, from 1
	startedAt time.Time
	inFlight  int  // including this request
	nearLimit bool // at most one slot was left
}

type limiter struct {
	config              Config
	published           int
	rawLimit            float64             // the limit before it is rounded and capped at published
	recoveryLimit       float64             // up to this value each good request raises the limit by one
	warmUpLeft          int                 // requests to complete before the limit grows
	admissions          uint64              // number of requests admitted so far
	decreaseSeq         uint64              // admissions up to this one neither raise nor decrease the limit
	ignoreSeq           uint64              // latencies of admissions up to this one are ignored
	meanRatio           float64             // smoothed
	highRatio           float64             // 95th percentile of the ratios, bounded
	recentRatios        [jumpWindow]float64 // 0 where empty
	nextRatio           int
	classBaselines      map[prim.Class]*latencyBaseline
	failureShare        float64 // smoothed
	consecutiveFailures int
	holdUntil           time.Time // no admission before this time
	lastCompletion      time.Time
	recentLatencies     [32]latencySample
	nextLatency         int
}

// latencySample is the latency of one completed request.
type latencySample struct {
	at       time.Time
	inFlight int
	latency  time.Duration
}

func newLimiter(c Config) limiter {
	return limiter{config: c, published: c.PublishedSlots, rawLimit: float64(c.ColdCap), warmUpLeft: c.ColdRequests, meanRatio: 1, highRatio: minHighRatio, classBaselines: make(map[prim.Class]*latencyBaseline)}
}

// limit returns the maximum number of requests in flight.
func (l *limiter) limit() int { return max(0, min(l.published, int(l.rawLimit))) }

// admit records the admission of a request.
func (l *limiter) admit(now time.Time, inFlight int) admission {
	l.admissions++
	return admission{l.admissions, now, inFlight, inFlight >= l.limit()-1}
}

// resetToColdCap resets the limit to the cold cap. With latencyOnly, the limit
// may recover quickly and no new warm-up is required.
func (l *limiter) resetToColdCap(latencyOnly bool) {
	if l.recoveryLimit = max(l.recoveryLimit, l.rawLimit); !latencyOnly {
		l.recoveryLimit = 0
		l.warmUpLeft = l.config.ColdRequests
	}
	l.rawLimit = min(l.rawLimit, float64(l.config.ColdCap))
	l.ignoreInFlight()
	l.meanRatio = 1
	l.recentRatios = [jumpWindow]float64{}
	l.recentLatencies = [len(l.recentLatencies)]latencySample{}
}

// ignoreInFlight excludes the requests in flight from the control of the limit.
// Their latency may include a pause of this process, or be evidence from before a
// reset.
func (l *limiter) ignoreInFlight() { l.decreaseSeq, l.ignoreSeq = l.admissions, l.admissions }

func (l *limiter) decrease(factor float64) {
	// The recovery limit drops by one with each decrease, so that it adapts to a
	// lasting loss of capacity.
	l.recoveryLimit = max(l.rawLimit, l.recoveryLimit-1)
	l.rawLimit = max(float64(l.config.ColdCap), min(l.rawLimit, float64(l.published))*factor)
	l.decreaseSeq = l.admissions
	// The next decrease requires new evidence: requests admitted after this
	// decrease still belong to the slow phase that caused it.
	l.meanRatio = min(l.meanRatio, goodRatio)
}

// classBaseline returns the latency baseline of a class. Classes beyond maxClasses
// share one baseline.
func (l *limiter) classBaseline(c prim.Class) *latencyBaseline {
	baseline := l.classBaselines[c]
	if baseline != nil {
		return baseline
	}
	if len(l.classBaselines) >= maxClasses {
		c = ""
		if baseline = l.classBaselines[c]; baseline != nil {
			return baseline
		}
	}
	baseline = &latencyBaseline{}
	l.classBaselines[c] = baseline
	return baseline
}

// done adjusts the limit by the result of a request. It returns the reason for
// treating the server as cold, or "".
func (l *limiter) done(now time.Time, admitted admission, c prim.Class, a prim.Attempt) (coldReason string) {
	quiet := now.Sub(l.lastCompletion) > l.config.QuietPeriod
	if a.Outcome != prim.NotRun || a.Failed || a.Reset {
		l.lastCompletion = now
	}
	switch {
	case a.Reset:
		l.recordFailure(now)
		return "connection reset"
	case a.Failed:
		l.recordFailure(now)
		if quiet {
			return "failure after a quiet period"
		}
		if l.failureShare > coldFailureShare {
			return "most requests fail"
		}
		if admitted.seq > l.decreaseSeq {
			l.decrease(failureDecrease)
		}
	case a.Outcome == prim.Done:
		l.consecutiveFailures = 0
		l.failureShare -= l.failureShare * failureWeight
		return l.recordSuccess(now, admitted, c, a.Latency)
	}
	return ""
}

func (l *limiter) recordFailure(now time.Time) {
	l.failureShare += (1 - l.failureShare) * failureWeight
	l.consecutiveFailures++
	if n := l.consecutiveFailures - holdAfterFailures; n >= 0 {
		l.holdUntil = now.Add(min(maxHold, minHold<<min(n, 10)))
	}
}

func (l *limiter) recordSuccess(now time.Time, admitted admission, c prim.Class, latency time.Duration) (coldReason string) {
	if admitted.seq <= l.ignoreSeq {
		return ""
	}
	l.recentLatencies[l.nextLatency] = latencySample{now, admitted.inFlight, latency}
	l.nextLatency = (l.nextLatency + 1) % len(l.recentLatencies)
	baseline := l.classBaseline(c)
	ratio := 1.0
	if baseline.count > 0 && baseline.value > 0 {
		ratio = latency.Seconds() / baseline.value
	}
	baseline.add(latency.Seconds())
	jumps := 0
	l.recentRatios[l.nextRatio] = ratio
	l.nextRatio = (l.nextRatio + 1) % len(l.recentRatios)
	for _, r := range l.recentRatios {
		if r > l.jumpThreshold() {
			jumps++
		}
	}
	goodBound, badBound := max(goodRatio, goodHighFactor*l.highRatio), max(badRatio, badHighFactor*l.highRatio)
	switch {
	case l.rawLimit < float64(l.config.ColdCap)+1:
		// The high ratio stays: a slow or cold server must not widen its own bounds.
	case ratio > l.highRatio:
		l.highRatio = min(maxHighRatio, l.highRatio*(1+highRatioStep))
	default:
		l.highRatio = max(minHighRatio, l.highRatio*(1-highRatioStep/19))
	}
	l.meanRatio += (min(maxCountedRatio, ratio) - l.meanRatio) * ratioWeight
	if l.warmUpLeft > 0 {
		l.warmUpLeft--
	}
	switch {
	case jumps >= jumpCount && l.rawLimit > float64(l.config.ColdCap):
		return coldReasonJump
	case admitted.seq <= l.decreaseSeq:
	case l.meanRatio > badBound:
		l.decrease(slowDecrease)
	case l.warmUpLeft > 0:
	case ratio < goodBound && l.meanRatio < goodBound && admitted.nearLimit && l.rawLimit < float64(l.published):
		if l.rawLimit+1 <= l.recoveryLimit {
			l.rawLimit++
		} else {
			l.rawLimit += 1 / l.rawLimit
		}
	}
	return ""
}

// jumpThreshold returns the ratio above which a request counts towards a jump.
func (l *limiter) jumpThreshold() float64 { return max(jumpRatio, jumpHighFactor*l.highRatio) }

// isLate reports whether a running request has already exceeded the jump threshold.
func (l *limiter) isLate(now time.Time, admitted admission, c prim.Class) bool {
	baseline := l.classBaselines[c]
	return admitted.seq > l.ignoreSeq && baseline != nil && baseline.count >= jumpWindow && now.Sub(admitted.startedAt).Seconds() > l.jumpThreshold()*baseline.value
}

// estimateLatency estimates the latency of a request at the given number in
// flight: the median of the recent latencies at the nearest numbers in flight. It
// is zero if no request completed recently.
func (l *limiter) estimateLatency(now time.Time, inFlight int) time.Duration {
	var buffer [len(l.recentLatencies)]latencySample
	samples := buffer[:0]
	for _, sample := range l.recentLatencies {
		if sample.latency > 0 && now.Sub(sample.at) <= l.config.MaxLatencyAge {
			samples = append(samples, sample)
		}
	}
	if len(samples) == 0 {
		return 0
	}
	slices.SortFunc(samples, func(a, b latencySample) int {
		if d := abs(a.inFlight-inFlight) - abs(b.inFlight-inFlight); d != 0 {
			return d
		}
		return b.at.Compare(a.at)
	})
	samples = samples[:min(len(samples), 9)]
	slices.SortFunc(samples, func(a, b latencySample) int { return int(a.latency - b.latency) })
	return samples[len(samples)/2].latency
}

func abs(n int) int { return max(n, -n) }
