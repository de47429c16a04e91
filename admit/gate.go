package admit

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Gate is a deterministic state machine without goroutines, locks or a clock:
// every method takes the current time, which must not decrease. Each request is
// represented by a ticket. Offer admits, refuses or queues the ticket; after any
// other call, Decided returns the queued tickets that have been decided since.
//
// A pause of the process is detected as a gap between ticks, by whichever call
// comes first after the gap. No request is therefore admitted on information
// from before the pause.

// Ticket represents one request at the gate.
type Ticket struct {
	Request *prim.Request
	// Err is the reason for a refusal; nil unless State is Refused.
	Err   *prim.RefusalError
	State State
	// Wake is for the caller; the gate does not use it.
	Wake chan struct{}

	cost      float64 // expected service time relative to the mean
	arrival   uint64  // sequence number of the offer
	heapIndex int     // in the heap of its customer
	admission admission
}

// State is the state of a ticket.
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
	config   Config
	limiter  limiter
	queue    queue
	running  map[*Ticket]struct{}
	decided  []*Ticket
	arrivals uint64
	leaving  bool
	lastTick time.Time
}

// NewGate returns a gate for a server that is assumed to be cold.
func NewGate(c Config, now time.Time) *Gate {
	c = c.withDefaults()
	return &Gate{config: c, limiter: newLimiter(c), queue: newQueue(), running: make(map[*Ticket]struct{}), lastTick: now}
}

// Offer admits, queues or refuses a new ticket.
func (g *Gate) Offer(now time.Time, t *Ticket) {
	g.detectPause(now)
	g.arrivals++
	t.arrival = g.arrivals
	t.cost = g.cost(t)
	switch {
	case g.leaving:
		g.refuse(t, prim.ReasonLeaving)
	case !t.Request.Deadline.After(now):
		g.refuse(t, prim.ReasonExpired)
	case g.hasFreeSlot(now) && g.queue.len() == 0:
		g.admit(now, t)
	case now.Before(g.limiter.holdUntil) || g.expiresInQueue(now, t):
		g.refuse(t, prim.ReasonBusy)
	default:
		if dropped := g.queue.push(t, g.queueBound()); dropped != nil {
			g.refuse(dropped, prim.ReasonBusy)
			if dropped != t {
				g.decided = append(g.decided, dropped)
			}
		}
		g.admitQueued(now)
	}
}

// Done releases the slot of an admitted ticket and adjusts the limit by the
// result of the attempt. Further calls for the same ticket have no effect.
func (g *Gate) Done(now time.Time, t *Ticket, a prim.Attempt) {
	if t.State != Admitted {
		return
	}
	g.detectPause(now)
	t.State = Finished
	delete(g.running, t)
	if a.Latency == 0 {
		a.Latency = now.Sub(t.admission.startedAt)
	}
	if why := g.limiter.done(now, t.admission, t.Request.Class, a); why != "" {
		g.treatAsCold(why)
	}
	g.admitQueued(now)
}

// Cancel refuses a ticket that is waiting, or admitted but not yet sent to the
// server.
func (g *Gate) Cancel(now time.Time, t *Ticket, why prim.Reason) {
	g.detectPause(now)
	switch t.State {
	case Waiting:
		g.queue.remove(t)
	case Admitted:
		delete(g.running, t)
	default:
		return
	}
	g.refuse(t, why)
	g.admitQueued(now)
}

// Tick must be called every TickInterval. It detects a pause of the process, treats
// the server as cold if most running requests are late, and admits waiting
// tickets.
func (g *Gate) Tick(now time.Time) {
	g.detectPause(now)
	g.lastTick = now
	late := 0
	for t := range g.running {
		if g.limiter.isLate(now, t.admission, t.Request.Class) {
			late++
		}
	}
	if late >= minLateRequests && 2*late > len(g.running) {
		g.treatAsCold(coldReasonLate)
	}
	g.admitQueued(now)
}

// minLateRequests is the number of late requests from which on the server may be
// treated as cold; fewer may be late by chance.
const minLateRequests = 3

// AssumeCold treats the server as cold and resets the limit to the cold cap.
func (g *Gate) AssumeCold(now time.Time, why string) {
	g.detectPause(now)
	g.treatAsCold(why)
	g.admitQueued(now)
}

// SetLeaving stops or resumes admission. Waiting tickets are refused.
func (g *Gate) SetLeaving(now time.Time, leaving bool) {
	g.detectPause(now)
	g.leaving = leaving
	if leaving {
		g.refuseAll(g.queue.trim(0), prim.ReasonLeaving)
	}
}

// SetPublished sets the server's number of slots in the host list.
func (g *Gate) SetPublished(now time.Time, slots int) {
	g.detectPause(now)
	g.limiter.published = slots
	g.admitQueued(now)
}

// Decided returns the queued tickets that were decided since the last call.
func (g *Gate) Decided() []*Ticket {
	decided := g.decided
	g.decided = nil
	return decided
}

// Sample returns the current load of the server.
func (g *Gate) Sample(now time.Time) prim.LoadSample {
	n := len(g.running)
	return prim.LoadSample{
		Host:     g.config.Host,
		InFlight: n,
		Queued:   g.queue.len(),
		Limit:    g.limiter.limit(),
		Latency:  g.limiter.estimateLatency(now, n),
		Failing:  g.limiter.failureShare,
		Leaving:  g.leaving,
	}
}

// detectPause checks for a pause of the process. After one, the latencies of the
// requests in flight are ignored, because they are no evidence about the server,
// and expired tickets are removed from the queue.
func (g *Gate) detectPause(now time.Time) {
	gap := now.Sub(g.lastTick)
	if gap <= PauseBound {
		return
	}
	g.lastTick = now
	g.limiter.ignoreInFlight()
	g.refuseAll(g.queue.removeExpired(now), prim.ReasonExpired)
	if g.config.OnPause != nil {
		g.config.OnPause(gap)
	}
}

// treatAsCold resets the limit to the cold cap. Tickets beyond the new queue
// bound are refused at once, so that their requests can run on another host.
func (g *Gate) treatAsCold(why string) {
	g.limiter.resetToColdCap(why == coldReasonJump || why == coldReasonLate)
	g.refuseAll(g.queue.trim(g.queueBound()), prim.ReasonBusy)
	if g.config.OnCold != nil {
		g.config.OnCold(why)
	}
}

func (g *Gate) hasFreeSlot(now time.Time) bool {
	return len(g.running) < g.limiter.limit() && !now.Before(g.limiter.holdUntil)
}

// queueBound returns the maximum length of each queue class.
func (g *Gate) queueBound() int { return int(g.config.QueuePerSlot * float64(g.limiter.limit())) }

// admitQueued admits waiting tickets while slots are free. During the delay after
// consecutive failures it refuses all of them.
func (g *Gate) admitQueued(now time.Time) {
	if now.Before(g.limiter.holdUntil) {
		g.refuseAll(g.queue.trim(0), prim.ReasonBusy)
		return
	}
	for g.hasFreeSlot(now) {
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
	t.admission = g.limiter.admit(now, len(g.running))
}

func (g *Gate) refuse(t *Ticket, why prim.Reason) {
	t.State = Refused
	t.Err = &prim.RefusalError{Reason: why, Host: g.config.Host}
}

func (g *Gate) refuseAll(tickets []*Ticket, why prim.Reason) {
	for _, t := range tickets {
		g.refuse(t, why)
	}
	g.decided = append(g.decided, tickets...)
}

// expiresInQueue reports whether the expected wait alone exceeds the deadline.
func (g *Gate) expiresInQueue(now time.Time, t *Ticket) bool {
	latency := g.limiter.estimateLatency(now, len(g.running))
	wait := latency * time.Duration(g.queue.len()) / time.Duration(max(1, g.limiter.limit()))
	return t.Request.Deadline.Before(now.Add(wait))
}

// cost returns the expected service time of the ticket, relative to the mean of
// all request classes.
func (g *Gate) cost(t *Ticket) float64 {
	baseline := g.limiter.classBaselines[t.Request.Class]
	if baseline == nil || baseline.value == 0 {
		return 1
	}
	var sum, n float64
	for _, other := range g.limiter.classBaselines {
		sum += other.value * float64(other.count)
		n += float64(other.count)
	}
	return max(minCost, min(maxCost, baseline.value*n/sum))
}
