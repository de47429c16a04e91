// Package retry is the ingress side of a call. It chooses a server, makes
// attempts and ends every request as Done, NotRun or Unknown (section 6.1 of the
// design page).
//
// Three rules bound the attempts. A request that is not idempotent is repeated
// only after an attempt that did not run. Every attempt beyond the first takes a
// token from a budget that first attempts fill, so retries cannot amplify an
// overload. A request that no owner admits waits for the budget and for a server,
// and ends with an error only at its deadline.
package retry

import (
	"context"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Config configures a Caller. All ports are required except Keyed and Recorder.
// A numeric field that is zero takes the default given at the end of its comment.
type Config struct {
	// Host is the host of this node. Its own server is preferred.
	Host prim.HostName
	// Costs is the one-way network latency to each data centre. DefaultCost is
	// the latency to a data centre that Costs does not list: 10 ms.
	Costs       map[prim.DataCentre]time.Duration
	DefaultCost time.Duration

	Documents    prim.Documents
	Reachability prim.Reachability
	Policy       prim.Policy
	Owners       prim.Owners
	// Keyed runs lookups of an idempotency key, and requests that have a key
	// and are not idempotent. If nil, they are refused.
	Keyed prim.Caller
	// Recorder counts retries and hedges. If nil, nothing is counted.
	Recorder prim.Recorder

	// RetryShare is the number of retries that each first attempt adds to the
	// budget for requests whose last attempt may have reached a server: 0.2.
	RetryShare float64
	// RetryFloor is the number of retries per second that every service may
	// make regardless of its first attempts: 1.
	RetryFloor float64
	// RetryBurst is the number of retries that an idle service accumulates
	// from the floor: 10.
	RetryBurst float64
	// RefusalShare, RefusalFloor and RefusalBurst are the same limits for
	// attempts that follow a refusal, which put no load on a server: 1, 20 per
	// second and 50.
	RefusalShare, RefusalFloor, RefusalBurst float64
	// HedgeShare is the maximum number of hedges per first attempt: 0.05.
	HedgeShare float64
	// HedgeQuantile is the quantile of a class's latencies after which an
	// attempt counts as late: 0.95.
	HedgeQuantile float64
	// HedgeInitialDelay is the time after which an attempt counts as late
	// until enough latencies of its class are recorded: 500 ms.
	HedgeInitialDelay time.Duration
	// ReserveHedgeDelay plus the round trip to the host is the time after which a
	// reservation counts as slow and another host is asked too: 50 ms.
	ReserveHedgeDelay time.Duration
	// Queue is the maximum number of requests of one service that wait for
	// one of its two retry budgets: 1024.
	Queue int
	// BackoffMin and BackoffMax bound the delay after a round of failed attempts
	// at every host of the service: 2 ms and 250 ms.
	BackoffMin, BackoffMax time.Duration
}

// DefaultCost is the default of Config.DefaultCost, the one-way network latency
// to a data centre that Config.Costs does not list.
const DefaultCost = 10 * time.Millisecond

func (c *Config) setDefaults() {
	setDefault(&c.DefaultCost, DefaultCost)
	setDefault(&c.RetryShare, 0.2)
	setDefault(&c.RetryFloor, 1)
	setDefault(&c.RetryBurst, 10)
	setDefault(&c.RefusalShare, 1)
	setDefault(&c.RefusalFloor, 20)
	setDefault(&c.RefusalBurst, 50)
	setDefault(&c.HedgeShare, 0.05)
	setDefault(&c.HedgeQuantile, 0.95)
	setDefault(&c.HedgeInitialDelay, 500*time.Millisecond)
	setDefault(&c.ReserveHedgeDelay, 50*time.Millisecond)
	setDefault(&c.Queue, 1024)
	setDefault(&c.BackoffMin, 2*time.Millisecond)
	setDefault(&c.BackoffMax, 250*time.Millisecond)
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Caller implements prim.Caller for an ingress node.
type Caller struct {
	config   Config
	services sync.Map // prim.Service to *service
	hosts    sync.Map // prim.HostName to *hostState
	attempts sync.WaitGroup
}

// New returns a Caller with the defaults applied to c.
func New(c Config) *Caller {
	c.setDefaults()
	return &Caller{config: c}
}

// Run sends nil on the returned channel once ctx has ended and every attempt has
// returned: an attempt may outlive Do if another one won. The context must not end
// before the last call of Do. Run starts no background work: a Caller works without
// it.
func (c *Caller) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		c.attempts.Wait()
		done <- nil
	}()
	return done
}

// Do runs a request. A zero deadline means prim.DefaultTimeout from now.
func (c *Caller) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	s := c.service(r.Service)
	s.countFirstAttempt()
	if r.Lookup || r.Key != "" && !r.Idempotent {
		if c.config.Keyed == nil {
			return nil, &prim.RefusalError{Reason: prim.ReasonNoHost}
		}
		return c.config.Keyed.Do(ctx, r)
	}
	if r.Deadline.IsZero() {
		copied := *r
		copied.Deadline = time.Now().Add(prim.DefaultTimeout)
		r = &copied
	}
	k := &call{caller: c, service: s, request: r}
	// The context of an attempt outlives Do when the answer is streamed, so
	// attempts derive theirs from ctx and not from deadlineCtx.
	deadlineCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Idempotent {
		return k.doIdempotent(ctx, deadlineCtx)
	}
	return k.doNonIdempotent(ctx, deadlineCtx)
}

// WaitForRetry waits until the delay has passed and the budget for attempts after a
// refusal permits another attempt of the request. It returns the context's error
// if the context ends first. Package once calls it before each further attempt of
// a request with a key: an attempt runs nothing that an earlier one has run.
func (c *Caller) WaitForRetry(ctx context.Context, r *prim.Request, delay time.Duration) error {
	s := c.service(r.Service)
	if err := s.wait(ctx, &s.afterRefusal, r.Deadline, delay); err != nil {
		return err
	}
	c.count("RetriesRefused")
	return nil
}

// waitAfterLost is like WaitForRetry for a request whose last attempt may have run; it
// uses the retry budget.
func (c *Caller) waitAfterLost(ctx context.Context, r *prim.Request, delay time.Duration) error {
	s := c.service(r.Service)
	if err := s.wait(ctx, &s.afterLost, r.Deadline, delay); err != nil {
		return err
	}
	c.count("Retries")
	return nil
}

func (c *Caller) count(name string) {
	if c.config.Recorder != nil {
		c.config.Recorder.Count(name, 1)
	}
}

func (c *Caller) host(h prim.HostName) *hostState {
	if v, ok := c.hosts.Load(h); ok {
		return v.(*hostState)
	}
	v, _ := c.hosts.LoadOrStore(h, &hostState{})
	return v.(*hostState)
}

// TrackAttempt counts an attempt at a host as pending until the returned function is
// called. Package once calls it for its attempts.
func (c *Caller) TrackAttempt(h prim.HostName) (end func()) {
	state := c.host(h)
	state.pending.Add(1)
	return func() { state.pending.Add(-1) }
}

// Pending returns the number of this node's attempts at a host that are not
// answered.
func (c *Caller) Pending(h prim.HostName) int { return int(c.host(h).pending.Load()) }
