package retry

import (
	"context"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
	"github.com/primrosethread/primrosethread/waits"
)

// service holds the retry budgets, the waiting requests and the latency estimates
// of one service at this ingress node.
type service struct {
	config *Config

	mu           sync.Mutex
	afterLost    budgetQueue // requests whose last attempt may have reached a server
	afterRefusal budgetQueue // requests whose last attempt did not
	hedgeBudget  *budget.Budget
	estimators   map[prim.Class]*latencyEstimator
}

// budgetQueue is a retry budget with the queue of requests that wait for it.
// Attempts after a lost one load a server again. Attempts after a refusal load only
// the owner node, so they have a separate, larger budget. With one budget for both,
// a few owners that refuse for a moment use up all retries, and requests reach
// their deadline while servers are idle.
type budgetQueue struct {
	budget *budget.Budget
	queue  *queue
	timer  *time.Timer // calls release; nil if no request waits
}

func (c *Caller) service(name prim.Service) *service {
	if v, ok := c.services.Load(name); ok {
		return v.(*service)
	}
	v, _ := c.services.LoadOrStore(name, &service{
		config: &c.config,
		afterLost: budgetQueue{
			budget: budget.New(c.config.RetryShare, c.config.RetryFloor, c.config.RetryBurst),
			queue:  newQueue(c.config.Queue),
		},
		afterRefusal: budgetQueue{
			budget: budget.New(c.config.RefusalShare, c.config.RefusalFloor, c.config.RefusalBurst),
			queue:  newQueue(c.config.Queue),
		},
		// The hedge budget has no floor: a late attempt that gets no hedge is
		// eventually replaced from the retry budget.
		hedgeBudget: budget.New(c.config.HedgeShare, 0, 1),
		estimators:  make(map[prim.Class]*latencyEstimator),
	})
	return v.(*service)
}

// countFirstAttempt adds a first attempt to the budgets and releases the waiting
// requests that this pays for.
func (s *service) countFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.hedgeBudget.RecordFirst(now)
	for _, q := range []*budgetQueue{&s.afterLost, &s.afterRefusal} {
		q.budget.RecordFirst(now)
		if q.timer != nil {
			s.release(q, now)
		}
	}
}

func (s *service) takeHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedgeBudget.Take(time.Now())
}

// takeRetry takes a retry token unless other requests are ready and wait for one.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.afterLost.queue.ready.items) == 0 && s.afterLost.budget.Take(time.Now())
}

// wait returns nil when the request may make another attempt, which is not before
// the delay has passed, or the error of the context if that ends first.
func (s *service) wait(ctx context.Context, q *budgetQueue, deadline time.Time, delay time.Duration) error {
	w := &waiter{deadline: deadline, released: make(chan struct{})}
	for {
		s.mu.Lock()
		now := time.Now()
		w.backoffEnd = now.Add(delay)
		queued := q.queue.push(w)
		if queued {
			s.release(q, now)
		}
		s.mu.Unlock()
		if queued {
			break
		}
		// The queue is full. The request must not fail before its deadline,
		// so it tries to enter the queue again later.
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
	if !q.queue.remove(w) {
		q.budget.Refund()
		s.release(q, time.Now())
	}
	return ctx.Err()
}

// release releases the waiting requests that the budget pays for and sets the
// timer for the next ones. The caller holds s.mu.
func (s *service) release(q *budgetQueue, now time.Time) {
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
	next, waiting := q.queue.release(now, q.budget)
	if !waiting {
		return
	}
	q.timer = time.AfterFunc(next, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release(q, time.Now())
	})
}

// estimator returns the latency estimator of a class.
func (s *service) estimator(c prim.Class) *latencyEstimator {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.estimators[c]
	if !ok {
		e = newLatencyEstimator(s.config.HedgeQuantile, s.config.HedgeInitialDelay)
		s.estimators[c] = e
	}
	return e
}
