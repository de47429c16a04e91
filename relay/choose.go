package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A server is ranked by the time after which it is expected to answer: the way
// there and back, the wait for a slot, and the service time with the slowdown
// that the server reports and the one that was observed. Servers of other data
// centres carry a surcharge for the bytes, so that they are used only when the
// near ones would answer much later.

const (
	// unknownSlowdown stands for a server whose slowdown is not known.
	unknownSlowdown = 1.4
	// slow is how many times the steady pace a slowdown has to be for an owner
	// to keep a request waiting.
	slow = 1.5
	// spell is how long a slowdown is expected to last at most.
	spell = 150 * time.Millisecond
	// loadWeight is how much a full server is expected to be slower than an
	// idle one. It spreads requests among servers that are equal otherwise.
	loadWeight = 0.5
	// failurePenalty is the surcharge for a server that fails all requests, in
	// units of the service time.
	failurePenalty = 20.0
	// dialPenalty is charged for a host without a link, in ways to it.
	dialPenalty = 4
	// spread is the share by which ranks are varied at random, so that nodes
	// with the same samples do not all choose the same server.
	spread = 0.1
	// objectiveShare is the part of the time until its objective that a request
	// is expected to take until some of its class were seen.
	objectiveShare = 0.4
	// defaultUsual stands for a class without an objective.
	defaultUsual = 50 * time.Millisecond
)

// A tier says what an answer after the expected time is worth. It goes before
// all else: bytes between data centres are saved only where that costs no answer
// its use.
type tier int

const (
	inTime  tier = iota // within the objective
	late                // within the deadline
	tooLate             // after the deadline
)

// A request may take so many times as long as expected and still has to be in time.
// It is more in another data centre, since the way there has to pay.
const (
	nearMargin = 1.0
	farMargin  = 1.2
)

// tier returns the tier of an answer that is expected after a number of seconds.
func (k *call) tier(now time.Time, seconds float64) tier {
	at := now.Add(time.Duration(seconds * float64(time.Second)))
	switch {
	case !k.request.Objective.IsZero() && !at.After(k.request.Objective):
		return inTime
	case !at.After(k.request.Deadline):
		return late
	}
	return tooLate
}

// choice is the host for the next attempt.
type choice struct {
	host *host // nil if there is none
	rank time.Duration
	busy bool // the request would have to wait for a slot
	far  bool // the host is in another data centre
}

// choose returns the host that is expected to answer first.
func (k *call) choose(now time.Time) (best choice) {
	p := k.r.c.Placements.Placement()
	lowest := tooLate
	first := math.Inf(1)
	for e := range k.r.subset(p, k.request.Service).all() {
		if slices.Contains(k.ran, e.Host) {
			continue
		}
		h := k.r.host(e.Host)
		v, wait, ok := k.rank(now, h, e)
		if !ok {
			continue
		}
		margin := nearMargin
		if e.DataCentre != k.r.c.DataCentre {
			margin = farMargin
		}
		t := k.tier(now, v*margin)
		if e.DataCentre != k.r.c.DataCentre {
			v += k.r.c.Detour.Seconds() * k.class.kilobytes()
		}
		v *= 1 + spread*rand.Float64()
		if best.host == nil || t < lowest || t == lowest && v < first {
			lowest, first = t, v
			best = choice{h, time.Duration(v * float64(time.Second)), wait, e.DataCentre != k.r.c.DataCentre}
		}
	}
	return best
}

// expected returns the service time of the request without slowdown, as far as
// that is known.
func (k *call) expected() time.Duration {
	if d := k.class.expected(); d > 0 {
		return d
	}
	if k.request.Objective.IsZero() {
		return defaultUsual
	}
	return time.Duration(objectiveShare * float64(k.request.Objective.Sub(k.begun)))
}

// rank returns the expected time of an answer in seconds and whether the request
// would have to wait for a slot. It reports false if the host is not to be used.
func (k *call) rank(now time.Time, h *host, e *prim.ServerEntry) (v float64, busy, ok bool) {
	c := &k.r.c
	own := e.Host == c.Host
	pending := float64(h.pending.Load())
	h.mu.Lock()
	defer h.mu.Unlock()
	s, age := h.sample, now.Sub(h.at)
	if own {
		s, age = c.Owners.Owner(e.Host).Sample(), 0
	} else if now.Before(h.down) {
		return 0, false, false
	}
	known := (own || !h.at.IsZero()) && age < heldFor
	if known && s.Leaving {
		return 0, false, false
	}
	usual := k.expected()
	limit := max(1, float64(e.Slots))
	load := pending
	slowdown, steady := unknownSlowdown, 1.0
	fresh := freshFor
	if e.DataCentre != c.DataCentre {
		fresh = farFreshFor
	}
	if known {
		limit = max(1, float64(s.Limit))
		load = max(pending, float64(s.InFlight+s.Queued))
		if age < fresh && s.Slowdown > 0 {
			slowdown = s.Slowdown
		}
		if s.Steady > 0 {
			steady = s.Steady
		}
		busy = s.Cold && s.ColdRoom == 0 && age < fresh
	}
	busy = busy || load >= limit || slowdown >= slow*steady
	// An owner keeps a request waiting if a slowdown is soon over.
	slowdown = min(slowdown, steady+spell.Seconds()/usual.Seconds())
	work := usual.Seconds() * slowdown * math.Exp(fade(h.slower, now.Sub(h.slowAt)))
	v = work * (1 + loadWeight*load/limit + max(0, load+1-limit)/limit)
	v += failurePenalty * usual.Seconds() * (fade(h.failing, now.Sub(h.failAt)) + s.Failing)
	if busy && s.Cold {
		v += usual.Seconds()
	}
	if e.DataCentre != c.DataCentre {
		v += 2 * c.Distance.Seconds()
	}
	if !own && !c.Links.Linked(e.Host) {
		v += dialPenalty * max(c.Distance, time.Millisecond).Seconds()
	}
	return v, busy, true
}
