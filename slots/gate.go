package slots

import (
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The gate is the state machine behind the Admitter. It has no goroutine, lock or
// clock; every method takes the current time.

const (
	// coldWindow is the span over which the rate of a cold server is counted: a
	// second, and what the ways of requests differ.
	coldWindow = 1020 * time.Millisecond
	// coldMargin is how much longer than it says a server is treated as cold: the
	// bound holds for every second that begins while it is cold, and the rest
	// covers the way of the report and of requests.
	coldMargin = coldWindow + 100*time.Millisecond
	// dueMargin is the share by which a request may take longer than expected
	// and still meet its objective when it begins now.
	dueMargin = 1.2
	// objectiveShare is the part of the time until its objective that a request
	// is expected to take at the server until some of its class were seen.
	objectiveShare = 0.4
	// maxWaiting bounds the queue, in requests per slot.
	maxWaiting = 4
	// minRetryAfter is the shortest time that a refusal asks a caller to wait.
	minRetryAfter = 20 * time.Millisecond
)

// ticket is one request at the gate. Its fields are set before wake is closed
// and not changed until done is called.
type ticket struct {
	request *prim.Request
	refusal *prim.Refusal // nil if the request was admitted
	wake    chan struct{}
	decided bool
	offered time.Time
	begun   time.Time
	pace    float64 // slowdown when it began
	slowed  bool    // that was well above the steady pace
	crowded bool    // the server was crowded then
}

type gate struct {
	c         Config
	server    string // id of the server's current start; empty while it is down
	healthy   bool
	leaving   bool
	published int
	slots     int
	rule      prim.ServiceRule
	slowdown  float64
	slowedAt  time.Time
	steady    float64 // least slowdown of late
	steadyAt  time.Time
	spellFrom time.Time     // start of the current slowdown; zero if there is none
	spell     time.Duration // mean length of a slowdown
	crowd     crowd
	coldUntil time.Time
	running   int
	starts    []start         // within coldWindow, oldest first
	demands   map[int]*demand // by priority
	queue     []*ticket       // most urgent first
	decided   []*ticket
	usual     map[prim.Class]time.Duration // service time without slowdown
	overall   time.Duration                // mean of usual, weighted by use
}

// start is a request that the server was given.
type start struct {
	at       time.Time
	priority int
}

func newGate(c Config) gate {
	return gate{c: c, usual: make(map[prim.Class]time.Duration), demands: make(map[int]*demand), spell: firstSpell}
}

// told returns the number of slots that the server has.
func (g *gate) told() int {
	if g.slots > 0 {
		return g.slots
	}
	return max(1, g.published)
}

// limit returns the number of requests that may run at once. It is below the
// slots if requests at a crowded server take so much longer that fewer are done
// in a given time.
func (g *gate) limit(now time.Time) int {
	all := g.told()
	part := max(1, int(crowdShare*float64(all)))
	if float64(all) < g.crowd.factor(now)*float64(part) {
		return part
	}
	return all
}

// cold reports whether the server is warming up.
func (g *gate) cold(now time.Time) bool { return now.Before(g.coldUntil) }

// coldRoom returns how many requests a cold server may get at once.
func (g *gate) coldRoom(now time.Time) int {
	g.expireStarts(now)
	if g.rule.WarmUpRate <= 0 {
		return g.limit(now)
	}
	return max(0, int(g.coldBound())-len(g.starts))
}

// coldBound returns how many requests a cold server may get within coldWindow.
func (g *gate) coldBound() float64 { return g.c.ColdRate(g.rule.WarmUpRate) }

func (g *gate) expireStarts(now time.Time) {
	n := 0
	for n < len(g.starts) && now.Sub(g.starts[n].at) >= coldWindow {
		n++
	}
	g.starts = slices.Delete(g.starts, 0, n)
}

// expected returns how long a request takes at the steady pace, as far as that is
// known.
func (g *gate) expected(now time.Time, t *ticket) time.Duration {
	d, ok := g.usual[t.request.Class]
	if !ok {
		// Operators set objectives with room for the usual case.
		d = time.Duration(objectiveShare * float64(due(t).Sub(t.offered)))
	}
	return max(0, time.Duration(g.steadyPace(now)*float64(d)))
}

// free reports whether a request may begin now.
func (g *gate) free(now time.Time, t *ticket) bool {
	if g.running >= g.limit(now) {
		return false
	}
	return !g.cold(now) || g.rule.WarmUpRate <= 0 || g.coldRoom(now) > g.roomKept(now, t.request.Priority)
}

// offer admits, queues or refuses a new ticket.
func (g *gate) offer(now time.Time, t *ticket) {
	t.offered = now
	r := t.request
	if !r.Reoffered {
		g.want(now, r.Priority)
	}
	switch {
	case r.Service != g.c.Service:
		g.refuse(now, t, prim.ReasonNoHost, 0)
	case g.leaving:
		g.refuse(now, t, prim.ReasonLeaving, 0)
	case g.server == "":
		g.refuse(now, t, prim.ReasonUnreachable, 0)
	case !r.Deadline.After(now):
		g.refuse(now, t, prim.ReasonExpired, 0)
	case g.free(now, t) && g.ahead(now, t) == 0 && !g.hold(now, t):
		g.begin(now, t)
	case r.Patience <= 0, len(g.queue) >= maxWaiting*g.limit(now):
		g.refuse(now, t, prim.ReasonBusy, g.wait(now, t))
	default:
		g.queue = append(g.queue, t)
	}
}

// compare returns the order of tickets: those first that can still meet their
// objective, then by priority and by the time until which an answer is of full
// use.
func (g *gate) compare(now time.Time) func(a, b *ticket) int {
	return func(a, b *ticket) int {
		if x, y := g.late(now, a), g.late(now, b); x != y {
			if y {
				return -1
			}
			return 1
		}
		if d := a.request.Priority - b.request.Priority; d != 0 {
			return d
		}
		if d := due(a).Compare(due(b)); d != 0 {
			return d
		}
		return a.offered.Compare(b.offered)
	}
}

// late reports whether a request that begins now would miss its objective.
func (g *gate) late(now time.Time, t *ticket) bool {
	e := time.Duration(dueMargin * float64(g.expected(now, t)))
	return due(t).Before(now.Add(e))
}

func due(t *ticket) time.Time {
	if t.request.Objective.IsZero() {
		return t.request.Deadline
	}
	return t.request.Objective
}

// ahead returns the number of waiting tickets that go before a new one.
func (g *gate) ahead(now time.Time, t *ticket) (n int) {
	order := g.compare(now)
	for _, q := range g.queue {
		if order(q, t) <= 0 {
			n++
		}
	}
	return n
}

// wait estimates the time until a new ticket could begin.
func (g *gate) wait(now time.Time, t *ticket) time.Duration {
	ahead := g.ahead(now, t)
	e := time.Duration(g.pace(now) * float64(g.overall))
	d := e * time.Duration(max(0, g.running+ahead+1-g.limit(now))) / time.Duration(g.limit(now))
	if g.cold(now) && g.coldRoom(now) <= ahead && len(g.starts) > 0 {
		d = max(d, coldWindow-now.Sub(g.starts[min(ahead, len(g.starts)-1)].at))
	}
	return max(d, minRetryAfter)
}

// advance decides waiting tickets. It returns the time until it has to be called
// again, 0 if nothing waits for the time to pass.
func (g *gate) advance(now time.Time) time.Duration {
	var next time.Duration
	at := func(d time.Duration) {
		if next == 0 || d < next {
			next = max(d, time.Millisecond)
		}
	}
	slices.SortFunc(g.queue, g.compare(now))
	kept := g.queue[:0]
	for _, t := range g.queue {
		r := t.request
		e := g.expected(now, t)
		switch {
		case g.leaving:
			g.refuse(now, t, prim.ReasonLeaving, 0)
		case g.server == "":
			g.refuse(now, t, prim.ReasonUnreachable, 0)
		case !r.Deadline.After(now.Add(e)):
			g.refuse(now, t, prim.ReasonExpired, minRetryAfter)
		case !g.free(now, t):
			if !now.Before(t.offered.Add(r.Patience)) {
				g.refuse(now, t, prim.ReasonBusy, g.wait(now, t))
				continue
			}
			at(t.offered.Add(r.Patience).Sub(now))
			if g.running < g.limit(now) && len(g.starts) > 0 {
				at(coldWindow - now.Sub(g.starts[0].at))
			}
			kept = append(kept, t)
		case g.hold(now, t):
			at(holdStep)
			kept = append(kept, t)
		default:
			g.begin(now, t)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	return next
}

func (g *gate) begin(now time.Time, t *ticket) {
	g.running++
	t.begun, t.pace = now, g.pace(now)
	t.slowed = t.pace >= slow*g.steadyPace(now)
	t.crowded = float64(g.running) > crowdShare*float64(g.told())
	g.expireStarts(now)
	g.starts = append(g.starts, start{now, t.request.Priority})
	g.decide(t)
}

func (g *gate) refuse(now time.Time, t *ticket, why prim.Reason, after time.Duration) {
	t.refusal = &prim.Refusal{Reason: why, Host: g.c.Host, Sample: g.sample(now), RetryAfter: after}
	g.decide(t)
}

func (g *gate) decide(t *ticket) {
	t.decided = true
	g.decided = append(g.decided, t)
}

func (g *gate) takeDecided() []*ticket {
	d := g.decided
	g.decided = nil
	return d
}

// cancel takes a ticket back whose caller no longer waits.
func (g *gate) cancel(now time.Time, t *ticket, why prim.Reason) {
	if t.decided {
		if t.refusal == nil {
			g.running--
			t.refusal = &prim.Refusal{Reason: why, Host: g.c.Host, Sample: g.sample(now)}
		}
		return
	}
	if i := slices.Index(g.queue, t); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	}
	g.refuse(now, t, why, 0)
}

// usualWeight is the weight of a new service time in the mean.
const usualWeight = 0.1

// done takes back the slot of an admitted ticket and learns its service time.
func (g *gate) done(now time.Time, t *ticket, a prim.Attempt) {
	if t.begun.IsZero() {
		return
	}
	g.running--
	if a.Outcome == prim.Done && !a.Failed {
		g.learnTime(now, t)
	}
	t.begun = time.Time{}
}

// learnTime learns from the service time of a finished request.
func (g *gate) learnTime(now time.Time, t *ticket) {
	d := time.Duration(float64(now.Sub(t.begun)) / max(1, t.pace))
	usual := g.usual[t.request.Class]
	if usual > 0 && !t.slowed {
		g.crowd.observe(now, float64(d)/float64(usual), t.crowded)
	}
	if !t.crowded || usual == 0 {
		g.usual[t.request.Class] = mean(usual, d)
		g.overall = mean(g.overall, d)
	}
}

func mean(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(usualWeight*float64(d-old))
}

// learn takes a report of the server.
func (g *gate) learn(now time.Time, r Report) {
	if r.ID != "" && r.ID != g.server {
		g.c.Logger.Info("server started", "Server", r.ID, "Before", g.server, "ColdFor", r.ColdFor)
		g.server = r.ID
	}
	if r.Slots > 0 {
		g.slots = r.Slots
	}
	if r.Slowdown > 0 {
		g.learnPace(now, r.Slowdown)
	}
	if !r.Check {
		return
	}
	if r.Healthy != g.healthy {
		g.c.Logger.Info("health of the server changed", "Server", g.server, "Healthy", r.Healthy)
		g.healthy = r.Healthy
	}
	if r.ColdFor > 0 && !g.cold(now) {
		g.c.Logger.Info("server is cold", "Server", g.server, "ColdFor", r.ColdFor)
	}
	if until := now.Add(r.ColdFor + coldMargin); r.ColdFor > 0 || g.coldUntil.After(until) {
		g.coldUntil = until
	}
}

func (g *gate) down(now time.Time, cause error) {
	if g.server != "" {
		g.c.Logger.Warn("server is down", "Server", g.server, "Cause", cause)
	}
	g.server, g.healthy = "", false
	// A server that comes back is cold until it says otherwise.
	g.suspect(now, "the server was down")
}

func (g *gate) suspect(now time.Time, why string) {
	if until := now.Add(g.rule.WarmUp); until.After(g.coldUntil) {
		g.coldUntil = until
	}
}

func (g *gate) setRule(now time.Time, r prim.ServiceRule) { g.rule = r }

func (g *gate) setLeaving(leaving bool) { g.leaving = leaving }

func (g *gate) sample(now time.Time) prim.Sample {
	s := prim.Sample{
		Host:     g.c.Host,
		InFlight: g.running,
		Queued:   len(g.queue),
		Limit:    g.limit(now),
		Latency:  g.overall,
		Leaving:  g.leaving || g.server == "",
		Slowdown: g.pace(now),
		Steady:   g.steadyPace(now),
		Cold:     g.cold(now),
	}
	if s.Cold {
		s.ColdRoom = g.coldRoom(now)
	}
	if !g.healthy {
		s.Failing = 1
	}
	return s
}
