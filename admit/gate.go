package admit

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Gate makes the decisions. It has no goroutine, lock or clock: every method
// takes the current time, which must not go back. Requests are tickets. Offer
// decides at once or queues the ticket; tickets that were decided later are
// collected from Decided after any other call.
//
// A pause of the process shows as a gap between ticks. Whichever call comes
// first after the gap detects it, so nothing is admitted on the strength of
// what was known before the pause.

// Ticket is one request at the gate.
type Ticket struct {
	Request *prim.Request
	// Err is why the request was refused; nil while State is not Refused.
	Err *prim.Refusal
	// State is where the ticket stands.
	State State
	// Wake is for the caller of the gate, which does not use it.
	Wake chan struct{}

	cost    float64
	arrival uint64
	place   int // in the heap of its customer
	work    work
}

// State is where a ticket stands.
type State uint8

// The states of a ticket.
const (
	Waiting State = iota
	Admitted
	Refused
	Finished
)

// Gate is the admission state machine of one server.
type Gate struct {
	c        Config
	limiter  limiter
	queue    queue
	running  map[*Ticket]struct{}
	decided  []*Ticket
	arrivals uint64
	leaving  bool
	tick     time.Time
}

// NewGate makes a gate for a server that may be cold.
func NewGate(c Config, now time.Time) *Gate {
	c = c.withDefaults()
	return &Gate{c: c, limiter: newLimiter(c), queue: newQueue(), running: make(map[*Ticket]struct{}), tick: now}
}

// Offer admits, queues or refuses a new ticket.
func (g *Gate) Offer(now time.Time, t *Ticket) {
	g.wake(now)
	g.arrivals++
	t.arrival = g.arrivals
	t.cost = g.cost(t)
	switch {
	case g.leaving:
		g.refuse(t, prim.ReasonLeaving)
	case !t.Request.Deadline.After(now):
		g.refuse(t, prim.ReasonExpired)
	case g.free(now) && g.queue.len() == 0:
		g.admit(now, t)
	case now.Before(g.limiter.hold) || g.tooLate(now, t):
		g.refuse(t, prim.ReasonBusy)
	default:
		if d := g.queue.push(t, g.bound()); d != nil {
			g.refuse(d, prim.ReasonBusy)
			if d != t {
				g.decided = append(g.decided, d)
			}
		}
		g.next(now)
	}
}

// Done takes back the slot of an admitted ticket and learns from the attempt.
// Only the first call counts.
func (g *Gate) Done(now time.Time, t *Ticket, a prim.Attempt) {
	if t.State != Admitted {
		return
	}
	g.wake(now)
	t.State = Finished
	delete(g.running, t)
	if a.Latency == 0 {
		a.Latency = now.Sub(t.work.at)
	}
	if why := g.limiter.done(now, t.work, t.Request.Class, a); why != "" {
		g.cold(why)
	}
	g.next(now)
}

// Cancel gives up a ticket, waiting or admitted, that was not handed over.
func (g *Gate) Cancel(now time.Time, t *Ticket, why prim.Reason) {
	g.wake(now)
	switch t.State {
	case Waiting:
		g.queue.remove(t)
	case Admitted:
		delete(g.running, t)
	default:
		return
	}
	g.refuse(t, why)
	g.next(now)
}

// Tick must be called every TickEvery. It detects pauses, requests that run far
// too long, and waiting tickets that expired.
func (g *Gate) Tick(now time.Time) {
	g.wake(now)
	g.tick = now
	late := 0
	for t := range g.running {
		if g.limiter.late(now, t.work, t.Request.Class) {
			late++
		}
	}
	if late >= minLate && 2*late > len(g.running) {
		g.cold(signLate)
	}
	g.next(now)
}

// minLate is the number of late requests that make the server suspect; fewer
// may be late by chance.
const minLate = 3

// Suspect returns the limit to the cold cap.
func (g *Gate) Suspect(now time.Time, why string) {
	g.wake(now)
	g.cold(why)
	g.next(now)
}

// SetLeaving stops or resumes admission. Waiting tickets are refused.
func (g *Gate) SetLeaving(now time.Time, leaving bool) {
	g.wake(now)
	g.leaving = leaving
	if leaving {
		g.drop(g.queue.trim(0), prim.ReasonLeaving)
	}
}

// SetPublished sets the number of slots in the host list.
func (g *Gate) SetPublished(now time.Time, slots int) {
	g.wake(now)
	g.limiter.published = slots
	g.next(now)
}

// Decided returns the waiting tickets that were decided since the last call.
func (g *Gate) Decided() []*Ticket {
	d := g.decided
	g.decided = nil
	return d
}

// Sample returns the load.
func (g *Gate) Sample(now time.Time) prim.Sample {
	n := len(g.running)
	return prim.Sample{
		Host:     g.c.Host,
		InFlight: n,
		Queued:   g.queue.len(),
		Limit:    g.limiter.limit(),
		Latency:  g.limiter.latency(now, n),
		Failing:  g.limiter.failing,
		Leaving:  g.leaving,
	}
}

// wake handles a pause of the process if there was one: requests in flight say
// nothing about the server, and nothing that expired may stay in the queue.
func (g *Gate) wake(now time.Time) {
	gap := now.Sub(g.tick)
	if gap <= PauseBound {
		return
	}
	g.tick = now
	g.limiter.forget()
	g.drop(g.queue.expired(now), prim.ReasonExpired)
	if g.c.Paused != nil {
		g.c.Paused(gap)
	}
}

// cold reacts to a sign of a cold server. What no longer fits the queue is
// refused at once, so that it can run elsewhere.
func (g *Gate) cold(why string) {
	g.limiter.cold(why == signJump || why == signLate)
	g.drop(g.queue.trim(g.bound()), prim.ReasonBusy)
	if g.c.Cold != nil {
		g.c.Cold(why)
	}
}

func (g *Gate) free(now time.Time) bool {
	return len(g.running) < g.limiter.limit() && !now.Before(g.limiter.hold)
}

// bound returns the length of each class of the queue.
func (g *Gate) bound() int { return int(g.c.QueuePerSlot * float64(g.limiter.limit())) }

// next admits waiting tickets while slots are free.
func (g *Gate) next(now time.Time) {
	if now.Before(g.limiter.hold) {
		g.drop(g.queue.trim(0), prim.ReasonBusy)
		return
	}
	for g.free(now) {
		t := g.queue.pop()
		if t == nil {
			return
		}
		if t.Request.Deadline.After(now) {
			g.admit(now, t)
		} else {
			g.refuse(t, prim.ReasonExpired)
		}
		g.decided = append(g.decided, t)
	}
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	t.State = Admitted
	g.running[t] = struct{}{}
	t.work = g.limiter.admit(now, len(g.running))
}

func (g *Gate) refuse(t *Ticket, why prim.Reason) {
	t.State = Refused
	t.Err = &prim.Refusal{Reason: why, Host: g.c.Host}
}

func (g *Gate) drop(ts []*Ticket, why prim.Reason) {
	for _, t := range ts {
		g.refuse(t, why)
	}
	g.decided = append(g.decided, ts...)
}

// tooLate reports whether the wait alone is expected to exceed the deadline.
func (g *Gate) tooLate(now time.Time, t *Ticket) bool {
	l := g.limiter.latency(now, len(g.running))
	wait := l * time.Duration(g.queue.len()) / time.Duration(max(1, g.limiter.limit()))
	return t.Request.Deadline.Before(now.Add(wait))
}

// cost returns the usual time of the ticket at the server, relative to the mean
// of all classes.
func (g *Gate) cost(t *Ticket) float64 {
	u := g.limiter.classes[t.Request.Class]
	if u == nil || u.value == 0 {
		return 1
	}
	var sum, n float64
	for _, v := range g.limiter.classes {
		sum += v.value * float64(v.n)
		n += float64(v.n)
	}
	return max(minCost, min(maxCost, u.value*n/sum))
}
