package retry

import (
	"context"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
	"github.com/primrosethread/primrosethread/waits"
)

// service holds the budgets, the waiting requests and the latencies of one
// service at this ingress node.
type service struct {
	config *Config

	mu      sync.Mutex
	lost    lane // requests whose last attempt may have reached a server
	refused lane // requests whose last attempt did not
	hedges  *budget.Budget
	classes map[prim.Class]*latencies
}

// lane is a retry budget with the requests that wait for it. Attempts that
// follow a lost one load a server again; those that follow a refusal load only
// the owner node, so they have a larger budget of their own. With one budget
// for both, a few owners that refuse for a moment leave no retries, and
// requests run into their deadline while servers are idle.
type lane struct {
	budget *budget.Budget
	queue  *queue
	timer  *time.Timer // calls release; nil while nobody waits
}

func (c *Caller) service(name prim.Service) *service {
	if v, ok := c.services.Load(name); ok {
		return v.(*service)
	}
	v, _ := c.services.LoadOrStore(name, &service{
		config: &c.config,
		lost: lane{
			budget: budget.New(c.config.RetryShare, c.config.RetryFloor, c.config.RetryBurst),
			queue:  newQueue(c.config.Queue),
		},
		refused: lane{
			budget: budget.New(c.config.RefusalShare, c.config.RefusalFloor, c.config.RefusalBurst),
			queue:  newQueue(c.config.Queue),
		},
		// Hedges have no floor: an attempt that is late without a hedge is
		// replaced under the retry budget in the end.
		hedges:  budget.New(c.config.HedgeShare, 0, 1),
		classes: make(map[prim.Class]*latencies),
	})
	return v.(*service)
}

// first counts a first attempt, which may pay for a waiting request.
func (s *service) first() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.hedges.First(now)
	for _, l := range []*lane{&s.lost, &s.refused} {
		l.budget.First(now)
		if l.timer != nil {
			s.release(l, now)
		}
	}
}

func (s *service) takeHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedges.Take(time.Now())
}

// takeRetry takes from the retry budget unless others wait for it.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lost.queue.ready.all) == 0 && s.lost.budget.Take(time.Now())
}

// wait returns nil when the request may make another attempt, not before the
// delay has passed, or the error of the context.
func (s *service) wait(ctx context.Context, l *lane, deadline time.Time, delay time.Duration) error {
	w := &waiter{deadline: deadline, released: make(chan struct{})}
	for {
		s.mu.Lock()
		now := time.Now()
		w.after = now.Add(delay)
		queued := l.queue.push(w)
		if queued {
			s.release(l, now)
		}
		s.mu.Unlock()
		if queued {
			break
		}
		// The queue is full. The caller still gets no error before its
		// deadline; the request asks for a place again later.
		if err := waits.Sleep(ctx, waits.Jitter(s.config.BackoffMax)); err != nil {
			return err
		}
	}
	select {
	case <-w.released:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.queue.remove(w) {
		l.budget.GiveBack()
		s.release(l, time.Now())
	}
	return ctx.Err()
}

// release lets waiting requests go and sets the timer for the next ones. The
// caller holds s.mu.
func (s *service) release(l *lane, now time.Time) {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	next, waiting := l.queue.release(now, l.budget)
	if !waiting {
		return
	}
	l.timer = time.AfterFunc(next, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release(l, time.Now())
	})
}

// latencies returns the latencies of a class.
func (s *service) latencies(c prim.Class) *latencies {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.classes[c]
	if !ok {
		l = newLatencies(s.config.HedgeQuantile, s.config.HedgeUnknown)
		s.classes[c] = l
	}
	return l
}
