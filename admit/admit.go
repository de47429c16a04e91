// Package admit decides how much work the server of this host gets. The owner
// node is the only admission authority for its server, so the number of
// requests in flight is exact.
package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Admitter wraps a Gate: it holds a lock and the goroutines that wait.

// TickEvery is the interval of Gate.Tick.
const TickEvery = 50 * time.Millisecond

// PauseBound is the gap between ticks beyond which the process was paused.
const PauseBound = 500 * time.Millisecond

// Config configures an Admitter. Zero fields take the defaults.
type Config struct {
	Host prim.HostName
	// Published is the number of slots in the host list. Zero admits nothing.
	Published int
	// ColdCap is the limit of a cold server. Default 1.
	ColdCap int
	// ColdWork is the number of requests that a cold server completes before
	// its limit grows. Servers warm up with the work that they have done, and
	// answer well below their cold limit all the while, so good latency alone
	// does not tell when they bear more. Default 50.
	ColdWork int
	// QueuePerSlot bounds each class of the queue, relative to the limit.
	// Default 1.
	QueuePerSlot float64
	// Quiet is the time without work after which one failure means that the
	// server is cold. Default 1 s.
	Quiet time.Duration
	// LatencyAge is the age beyond which a latency is not reported. Default 2 s.
	LatencyAge time.Duration
	// Paused is called when the process was paused, before anything else is
	// admitted. It must not call the Admitter. May be nil.
	Paused func(gap time.Duration)
	// Cold is called when the limit returned to the cold cap. It must not call
	// the Admitter. May be nil.
	Cold func(why string)
}

func (c Config) withDefaults() Config {
	if c.ColdCap == 0 {
		c.ColdCap = 1
	}
	if c.ColdWork == 0 {
		c.ColdWork = 50
	}
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = 1
	}
	if c.Quiet == 0 {
		c.Quiet = time.Second
	}
	if c.LatencyAge == 0 {
		c.LatencyAge = 2 * time.Second
	}
	return c
}

// Admitter implements prim.Admitter.
type Admitter struct {
	host prim.HostName
	mu   sync.Mutex
	gate *Gate
}

// New makes an admitter for a server that may be cold.
func New(c Config) *Admitter {
	return &Admitter{host: c.Host, gate: NewGate(c, time.Now())}
}

// Run ticks until the context ends, then sends its error on the channel.
func (a *Admitter) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(TickEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				end <- ctx.Err()
				return
			case <-ticker.C:
				a.do(func(g *Gate, now time.Time) { g.Tick(now) })
			}
		}
	}()
	return end
}

// do calls the gate and wakes the tickets that it decided.
func (a *Admitter) do(f func(g *Gate, now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.gate, time.Now())
	for _, t := range a.gate.Decided() {
		close(t.Wake)
	}
}

// Admit waits for a slot until the context or the request's deadline ends. The
// error is a *prim.Refusal that carries the load.
func (a *Admitter) Admit(ctx context.Context, r *prim.Request) (prim.Slot, error) {
	if ctx.Err() != nil {
		return nil, &prim.Refusal{Reason: prim.ReasonCancelled, Host: a.host, Sample: a.Sample()}
	}
	t := &Ticket{Request: r, Wake: make(chan struct{})}
	state := Waiting
	a.do(func(g *Gate, now time.Time) {
		g.Offer(now, t)
		state = t.State
	})
	if state == Waiting {
		a.wait(ctx, t)
	}
	var err *prim.Refusal
	a.do(func(g *Gate, now time.Time) {
		// The process may have been paused since the decision.
		if t.State == Admitted && !r.Deadline.After(now) {
			g.Cancel(now, t, prim.ReasonExpired)
		}
		if t.State == Refused {
			err = t.Err
			err.Sample = g.Sample(now)
		}
	})
	if err != nil {
		return nil, err
	}
	return &slot{a, t}, nil
}

// wait returns once the ticket is decided.
func (a *Admitter) wait(ctx context.Context, t *Ticket) {
	timer := time.NewTimer(time.Until(t.Request.Deadline))
	defer timer.Stop()
	why := prim.ReasonExpired
	select {
	case <-t.Wake:
		return
	case <-timer.C:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			why = prim.ReasonCancelled
		}
	}
	a.do(func(g *Gate, now time.Time) { g.Cancel(now, t, why) })
}

// slot implements prim.Slot.
type slot struct {
	a *Admitter
	t *Ticket
}

// Done gives the slot back.
func (s *slot) Done(at prim.Attempt) {
	s.a.do(func(g *Gate, now time.Time) { g.Done(now, s.t, at) })
}

// Sample returns the current load.
func (a *Admitter) Sample() (s prim.Sample) {
	a.do(func(g *Gate, now time.Time) { s = g.Sample(now) })
	return s
}

// SetLeaving stops or resumes admission.
func (a *Admitter) SetLeaving(leaving bool) {
	a.do(func(g *Gate, now time.Time) { g.SetLeaving(now, leaving) })
}

// SetPublished sets the number of slots that the host list gives.
func (a *Admitter) SetPublished(slots int) {
	a.do(func(g *Gate, now time.Time) { g.SetPublished(now, slots) })
}

// Suspect returns the limit to the cold cap.
func (a *Admitter) Suspect(why string) {
	a.do(func(g *Gate, now time.Time) { g.Suspect(now, why) })
}

var _ prim.Admitter = (*Admitter)(nil)
