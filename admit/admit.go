// Package admit implements admission control for the server of this host: an
// adaptive concurrency limit and a bounded, fair queue in front of it. The owner
// node is the only admission authority for its server, so the number of requests
// in flight is exact.
package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// TickInterval is the interval between calls of Gate.Tick.
const TickInterval = 50 * time.Millisecond

// PauseBound is the longest gap between ticks that does not count as a pause of
// the process.
const PauseBound = 500 * time.Millisecond

// Config configures an Admitter. Zero fields take the defaults.
type Config struct {
	Host prim.HostName
	// PublishedSlots is the server's number of slots in the host list, the upper
	// bound of the limit. Zero admits nothing.
	PublishedSlots int
	// ColdCap is the limit of a cold server. Default 1.
	ColdCap int
	// ColdRequests is the number of requests that a cold server completes before
	// its limit grows. Servers warm up with completed requests and have good
	// latency below their cold limit throughout, so latency alone does not show
	// when they can take more load. Default 50.
	ColdRequests int
	// QueuePerSlot is the maximum length of each queue class, as a multiple of
	// the limit. Default 1.
	QueuePerSlot float64
	// QuietPeriod is the time without completed requests after which a single
	// failure marks the server as cold. Default 1 s.
	QuietPeriod time.Duration
	// MaxLatencyAge is the age beyond which a latency is left out of the
	// estimate. Default 2 s.
	MaxLatencyAge time.Duration
	// OnPause is called after a pause of the process is detected, before any
	// other request is admitted. It must not call the Admitter. May be nil.
	OnPause func(gap time.Duration)
	// OnCold is called after the limit is reset to the cold cap. It must not call
	// the Admitter. May be nil.
	OnCold func(why string)
}

func (c Config) withDefaults() Config {
	if c.ColdCap == 0 {
		c.ColdCap = 1
	}
	if c.ColdRequests == 0 {
		c.ColdRequests = 50
	}
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = 1
	}
	if c.QuietPeriod == 0 {
		c.QuietPeriod = time.Second
	}
	if c.MaxLatencyAge == 0 {
		c.MaxLatencyAge = 2 * time.Second
	}
	return c
}

// Admitter implements prim.Admitter. It guards a Gate with a lock and blocks the
// goroutines whose requests are queued.
type Admitter struct {
	host prim.HostName
	mu   sync.Mutex
	gate *Gate
}

// New returns an admitter for a server that is assumed to be cold.
func New(c Config) *Admitter {
	return &Admitter{host: c.Host, gate: NewGate(c, time.Now())}
}

// Run starts a goroutine that calls Gate.Tick until the context ends and then
// sends the context's error on the returned channel.
func (a *Admitter) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- ctx.Err()
				return
			case <-ticker.C:
				a.withGate(func(g *Gate, now time.Time) { g.Tick(now) })
			}
		}
	}()
	return done
}

// withGate calls f with the lock held, then wakes the waiters whose tickets were
// decided.
func (a *Admitter) withGate(f func(g *Gate, now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.gate, time.Now())
	for _, t := range a.gate.Decided() {
		close(t.Wake)
	}
}

// Admit waits for a slot until the context ends or the request's deadline passes.
// The error is a *prim.RefusalError with the current load.
func (a *Admitter) Admit(ctx context.Context, r *prim.Request) (prim.Slot, error) {
	if ctx.Err() != nil {
		return nil, &prim.RefusalError{Reason: prim.ReasonCancelled, Host: a.host, Sample: a.Sample()}
	}
	ticket := &Ticket{Request: r, Wake: make(chan struct{})}
	state := Waiting
	a.withGate(func(g *Gate, now time.Time) {
		g.Offer(now, ticket)
		state = ticket.State
	})
	if state == Waiting {
		a.waitForDecision(ctx, ticket)
	}
	var err *prim.RefusalError
	a.withGate(func(g *Gate, now time.Time) {
		// The process may have been paused since the decision.
		if ticket.State == Admitted && !r.Deadline.After(now) {
			g.Cancel(now, ticket, prim.ReasonExpired)
		}
		if ticket.State == Refused {
			err = ticket.Err
			err.Sample = g.Sample(now)
		}
	})
	if err != nil {
		return nil, err
	}
	return &slot{a, ticket}, nil
}

// waitForDecision blocks until the ticket is decided. It cancels the ticket when
// the context ends or the deadline passes.
func (a *Admitter) waitForDecision(ctx context.Context, ticket *Ticket) {
	timer := time.NewTimer(time.Until(ticket.Request.Deadline))
	defer timer.Stop()
	why := prim.ReasonExpired
	select {
	case <-ticket.Wake:
		return
	case <-timer.C:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			why = prim.ReasonCancelled
		}
	}
	a.withGate(func(g *Gate, now time.Time) { g.Cancel(now, ticket, why) })
}

// slot implements prim.Slot.
type slot struct {
	admitter *Admitter
	ticket   *Ticket
}

// Done releases the slot.
func (s *slot) Done(attempt prim.Attempt) {
	s.admitter.withGate(func(g *Gate, now time.Time) { g.Done(now, s.ticket, attempt) })
}

// Sample returns the current load of the server.
func (a *Admitter) Sample() (s prim.LoadSample) {
	a.withGate(func(g *Gate, now time.Time) { s = g.Sample(now) })
	return s
}

// SetLeaving stops or resumes admission. Queued requests are refused.
func (a *Admitter) SetLeaving(leaving bool) {
	a.withGate(func(g *Gate, now time.Time) { g.SetLeaving(now, leaving) })
}

// SetPublished sets the server's number of slots in the host list.
func (a *Admitter) SetPublished(slots int) {
	a.withGate(func(g *Gate, now time.Time) { g.SetPublished(now, slots) })
}

// AssumeCold treats the server as cold and resets the limit to the cold cap.
func (a *Admitter) AssumeCold(why string) {
	a.withGate(func(g *Gate, now time.Time) { g.AssumeCold(now, why) })
}

var _ prim.Admitter = (*Admitter)(nil)
