// Package slots implements admission control for the server on this host. It is
// for servers that report their slots, their current slowdown and the remaining
// warm-up time; package admit is for servers without reliable load reports.
//
// All requests for the server pass through the node on its host, so the count of
// running requests is exact. Three limits rely on that: the concurrency limit, the
// request rate of a cold server, and the request rate that a server in need names.
package slots

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Report is the server's report of its own state.
type Report struct {
	// ID identifies one run of the server process; it changes with every restart.
	ID string
	// Slots is the number of requests that the server processes concurrently; 0 if
	// not reported.
	Slots int
	// Slowdown is the factor by which service times exceed the usual ones; 0 if not
	// reported.
	Slowdown float64
	// ColdFor is the remaining warm-up time. Only health checks report it.
	ColdFor time.Duration
	// Running and Waiting are the numbers of requests that the server runs and queues. They
	// are used only from health checks.
	Running, Waiting int
	// Check is set if the report comes from a health check, which fills in all
	// fields.
	Check bool
	// Healthy is the result of the health check.
	Healthy bool
	// RateLimit is the number of requests a second that the server takes from all nodes
	// together; nil if the answer names none, which ends an earlier limit.
	RateLimit *float64
}

// RateLimit is a limit that a server has named.
type RateLimit struct {
	Server string  // ID of the server process
	Rate   float64 // requests a second
	Since  time.Time
}

// Config configures an Admitter.
type Config struct {
	Host    prim.HostName
	Service prim.Service
	// ColdRate returns the maximum number of requests that a cold server may
	// receive in any second, given the published rate; nil means the rate itself.
	ColdRate func(rate float64) float64
	Logger   *slog.Logger
}

// Admitter implements prim.Admitter. It adds locking, a clock and wake-ups to a
// scheduler.
type Admitter struct {
	mu        sync.Mutex
	scheduler scheduler
	changed   chan struct{}
	timer     *time.Timer // next call of scheduler.advance; nil if none is needed
}

var _ prim.Admitter = (*Admitter)(nil)

// New returns an Admitter that refuses all requests until the first report.
func New(c Config) *Admitter {
	if c.ColdRate == nil {
		c.ColdRate = func(rate float64) float64 { return rate }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Admitter{scheduler: newScheduler(c), changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives a value when the load may have changed
// since the previous receive.
func (a *Admitter) Changed() <-chan struct{} { return a.changed }

// update calls f on the scheduler, wakes the jobs that were admitted or refused, and
// resets the timer.
func (a *Admitter) update(f func(s *scheduler, now time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	f(&a.scheduler, now)
	next := a.scheduler.advance(now)
	for _, j := range a.scheduler.takeDecided() {
		close(j.wake)
	}
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if next > 0 {
		a.timer = time.AfterFunc(next, func() { a.update(func(*scheduler, time.Time) {}) })
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Admit waits for a slot for at most the request's MaxQueueTime. The error is a
// *prim.RefusalError with the current load and, if known, a time to retry after.
func (a *Admitter) Admit(ctx context.Context, r *prim.Request) (prim.Slot, error) {
	j := &job{request: r, wake: make(chan struct{})}
	a.update(func(s *scheduler, now time.Time) { s.offer(now, j) })
	select {
	case <-j.wake:
	case <-ctx.Done():
		why := prim.ReasonExpired
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			why = prim.ReasonCancelled
		}
		a.update(func(s *scheduler, now time.Time) { s.cancel(now, j, why) })
	}
	if j.refusal != nil {
		return nil, j.refusal
	}
	return &slot{a, j}, nil
}

// slot implements prim.Slot.
type slot struct {
	admitter *Admitter
	job      *job
}

// Done releases the slot.
func (sl *slot) Done(attempt prim.Attempt) {
	sl.admitter.update(func(s *scheduler, now time.Time) { s.done(now, sl.job, attempt) })
}

// ApplyReport applies a report of the server.
func (a *Admitter) ApplyReport(r Report) {
	a.update(func(s *scheduler, now time.Time) { s.applyReport(now, r) })
}

// BeginCheck records that a health check is about to be sent, whose report ApplyReport or
// Down gets next.
func (a *Admitter) BeginCheck() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.leftover.beginCheck(a.scheduler.running)
}

// Running returns the number of requests of this node at the server.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.running
}

// Leftover returns the number of slots in use by requests of earlier processes of this node.
func (a *Admitter) Leftover() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.leftover.inUse(time.Now())
}

// Down records that the server does not respond.
func (a *Admitter) Down(cause error) {
	a.update(func(s *scheduler, now time.Time) { s.markDown(now, cause) })
}

// SetRule sets the published rule for servers of this service.
func (a *Admitter) SetRule(r prim.ServiceRule) {
	a.update(func(s *scheduler, now time.Time) { s.setRule(now, r) })
}

// ServerID returns the ID of the running server process, or "" if the server is down.
func (a *Admitter) ServerID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.serverID
}

// RateLimit returns the limit that the server names; ok is false if it names none.
func (a *Admitter) RateLimit() (l RateLimit, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.scheduler
	return RateLimit{s.serverID, s.pace.rate, s.pace.since}, s.pace.limited
}

// Sample returns the current load.
func (a *Admitter) Sample() prim.LoadSample {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduler.sample(time.Now())
}

// SetLeaving stops admission if leaving is set, and resumes it otherwise.
func (a *Admitter) SetLeaving(leaving bool) {
	a.update(func(s *scheduler, now time.Time) { s.setLeaving(leaving) })
}

// SetAnswerBy stops the admission of requests that can't be expected to end by a time.
func (a *Admitter) SetAnswerBy(t time.Time) {
	a.update(func(s *scheduler, now time.Time) { s.answerBy = t })
}

// SetPublished sets the number of slots to assume if the server does not report it.
func (a *Admitter) SetPublished(slots int) {
	a.update(func(s *scheduler, now time.Time) { s.publishedSlots = slots })
}

// AssumeCold treats the server as cold for the warm-up time of the service's rule.
func (a *Admitter) AssumeCold(why string) {
	a.update(func(s *scheduler, now time.Time) { s.assumeCold(now, why) })
}
