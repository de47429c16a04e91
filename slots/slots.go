// Package slots decides when a request may go to the server of this host. It is
// for servers that tell their slots, their momentary slowdown and how long they
// stay cold; package admit is for servers that tell nothing reliable.
//
// Every request for the server passes through the node beside it, so the number
// of running requests is exact, and so are the two bounds that rest on it: a
// share of the slots, and the rate that a cold server bears.
package slots

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Report is what the server says about itself.
type Report struct {
	// ID names one start of the server.
	ID string
	// Slots is the number of requests that it works on at once; 0 if not told.
	Slots int
	// Slowdown is how many times as long as usual work takes; 0 if not told.
	Slowdown float64
	// ColdFor is how much longer the server is cold; it is told with health
	// checks only.
	ColdFor time.Duration
	// Check is set for the answer to a health check, which tells all fields.
	Check bool
	// Healthy is what its health check says.
	Healthy bool
}

// Config configures an Admitter.
type Config struct {
	Host    prim.HostName
	Service prim.Service
	// ColdRate returns the number of requests that a cold server may get in
	// any second, given the published rate; nil means the rate itself.
	ColdRate func(rate float64) float64
	Logger   *slog.Logger
}

// Admitter implements prim.Admitter.
type Admitter struct {
	mu      sync.Mutex
	gate    gate
	changed chan struct{}
	timer   *time.Timer // admits or refuses waiting requests; nil if none is due
}

var _ prim.Admitter = (*Admitter)(nil)

// New returns an admitter that refuses everything until the first report.
func New(c Config) *Admitter {
	if c.ColdRate == nil {
		c.ColdRate = func(rate float64) float64 { return rate }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Admitter{gate: newGate(c), changed: make(chan struct{}, 1)}
}

// Changed gets a value when the load has changed since the last one was taken.
func (a *Admitter) Changed() <-chan struct{} { return a.changed }

// do calls the gate, wakes the tickets that it decided, and sets the timer.
func (a *Admitter) do(f func(g *gate, now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	f(&a.gate, now)
	next := a.gate.advance(now)
	for _, t := range a.gate.takeDecided() {
		close(t.wake)
	}
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if next > 0 {
		a.timer = time.AfterFunc(next, func() { a.do(func(*gate, time.Time) {}) })
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Admit waits for a slot at most for the request's Patience. The error is a
// *prim.Refusal that carries the load and when to come back.
func (a *Admitter) Admit(ctx context.Context, r *prim.Request) (prim.Slot, error) {
	t := &ticket{request: r, wake: make(chan struct{})}
	a.do(func(g *gate, now time.Time) { g.offer(now, t) })
	select {
	case <-t.wake:
	case <-ctx.Done():
		why := prim.ReasonExpired
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			why = prim.ReasonCancelled
		}
		a.do(func(g *gate, now time.Time) { g.cancel(now, t, why) })
	}
	if t.refusal != nil {
		return nil, t.refusal
	}
	return &slot{a, t}, nil
}

type slot struct {
	a *Admitter
	t *ticket
}

// Done gives the slot back.
func (s *slot) Done(at prim.Attempt) {
	s.a.do(func(g *gate, now time.Time) { g.done(now, s.t, at) })
}

// Learn takes a report of the server.
func (a *Admitter) Learn(r Report) { a.do(func(g *gate, now time.Time) { g.learn(now, r) }) }

// Down tells that the server does not answer.
func (a *Admitter) Down(cause error) { a.do(func(g *gate, now time.Time) { g.down(now, cause) }) }

// SetRule sets how the service's servers are to be treated.
func (a *Admitter) SetRule(r prim.ServiceRule) {
	a.do(func(g *gate, now time.Time) { g.setRule(now, r) })
}

// Server returns the id of the server's current start, empty if it is down.
func (a *Admitter) Server() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.server
}

// Sample returns the current load.
func (a *Admitter) Sample() prim.Sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.sample(time.Now())
}

// SetLeaving stops or resumes admission.
func (a *Admitter) SetLeaving(leaving bool) {
	a.do(func(g *gate, now time.Time) { g.setLeaving(leaving) })
}

// SetPublished sets the number of slots of a server that does not tell them.
func (a *Admitter) SetPublished(slots int) {
	a.do(func(g *gate, now time.Time) { g.published = slots })
}

// Suspect treats the server as cold for the time that the service's rule gives.
func (a *Admitter) Suspect(why string) {
	a.do(func(g *gate, now time.Time) { g.suspect(now, why) })
}
