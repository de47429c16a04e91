// Package retry is the ingress side of a call: it chooses a server, makes
// attempts, and ends every request as Done, NotRun or Unknown (section 6.1 of
// the design page).
//
// Three rules bound what it does. A request that is not idempotent is repeated
// only after an attempt that did not run. Every attempt beyond the first is paid
// from a budget that first attempts fill, so retries cannot amplify an overload.
// A request that nobody admits waits for the budget and for a server until its
// deadline, and only then ends with an error.
package retry

import (
	"context"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Config configures a Caller. The ports are required except as noted; a zero
// number takes the default named at the field.
type Config struct {
	// Host is the host of this node. Its own server is preferred.
	Host prim.HostName
	// Costs is the one-way network distance of each data centre. A data
	// centre that is not listed costs DefaultCost, which is 10 ms if zero.
	Costs       map[prim.DataCentre]time.Duration
	DefaultCost time.Duration

	Documents prim.Documents
	Members   prim.Members
	Policy    prim.Policy
	Owners    prim.Owners
	// Keyed runs requests that have an idempotency key and are not
	// idempotent, and lookups of a key. If it is nil they are refused.
	Keyed prim.Caller
	// Recorder counts retries and hedges; nil counts nothing.
	Recorder prim.Recorder

	// RetryShare is the share of first attempts that may be repeated after an
	// attempt that may have reached a server: 0.2.
	RetryShare float64
	// RetryFloor is the number of retries a second that every service may
	// make regardless of its first attempts: 1.
	RetryFloor float64
	// RetryBurst is how much of the floor an idle service saves up: 10.
	RetryBurst float64
	// RefusalShare, RefusalFloor and RefusalBurst are the same for attempts
	// that follow a refusal, which load no server: 1, 20 a second and 50.
	RefusalShare, RefusalFloor, RefusalBurst float64
	// HedgeShare is the share of first attempts that may be hedged: 0.05.
	HedgeShare float64
	// HedgeQuantile is the quantile of a class's latencies after which an
	// attempt is late: 0.95.
	HedgeQuantile float64
	// HedgeUnknown is the time after which an attempt is late while too few
	// latencies of its class are known: 500 ms.
	HedgeUnknown time.Duration
	// ReserveWait is the time after which another host is asked for a
	// reservation too, to which the round trip to the host is added: 50 ms.
	ReserveWait time.Duration
	// Queue bounds the requests of one service that wait for a retry: 1024.
	Queue int
	// BackoffMin and BackoffMax bound the time between rounds in which every
	// host of the service refused: 2 ms and 250 ms.
	BackoffMin, BackoffMax time.Duration
}

// DefaultCost is the network distance of a data centre for which Config has none.
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
	setDefault(&c.HedgeUnknown, 500*time.Millisecond)
	setDefault(&c.ReserveWait, 50*time.Millisecond)
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

// Caller is the prim.Caller of an ingress node.
type Caller struct {
	config   Config
	services sync.Map // prim.Service to *service
	hosts    sync.Map // prim.HostName to *hostState
	attempts sync.WaitGroup
}

// New returns a Caller.
func New(c Config) *Caller {
	c.setDefaults()
	return &Caller{config: c}
}

// Run reports nil on the returned channel once ctx has ended and every attempt
// has come back; attempts that lost may outlive Do. The context must end after
// the last call of Do. Run starts no other work: a Caller serves without it.
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
	s.first()
	if r.Lookup || r.Key != "" && !r.Idempotent {
		if c.config.Keyed == nil {
			return nil, &prim.Refusal{Reason: prim.ReasonNoHost}
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
	// attempts derive theirs from the caller's context, not from this one.
	waiting, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Idempotent {
		return k.doRepeatable(ctx, waiting)
	}
	return k.doOnce(ctx, waiting)
}

// Again waits until the budget for attempts after a refusal permits another
// attempt of the request, at least for the delay. It returns the context's
// error when that ends first. Package once pays for the steps of its walk with
// it: a step runs nothing that an earlier one has run.
func (c *Caller) Again(ctx context.Context, r *prim.Request, delay time.Duration) error {
	s := c.service(r.Service)
	if err := s.wait(ctx, &s.refused, r.Deadline, delay); err != nil {
		return err
	}
	c.count("RetriesRefused")
	return nil
}

// afterLost is Again for a request whose last attempt may have run.
func (c *Caller) afterLost(ctx context.Context, r *prim.Request, delay time.Duration) error {
	s := c.service(r.Service)
	if err := s.wait(ctx, &s.lost, r.Deadline, delay); err != nil {
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

// Track counts an attempt at a host until the returned function is called.
// Package once tracks its attempts with it.
func (c *Caller) Track(h prim.HostName) (end func()) {
	state := c.host(h)
	state.pending.Add(1)
	return func() { state.pending.Add(-1) }
}

// Pending returns the number of this node's attempts at a host that have not
// been answered.
func (c *Caller) Pending(h prim.HostName) int { return int(c.host(h).pending.Load()) }
