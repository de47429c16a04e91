// Package quota enforces the customers' allowances (rate limits) across the
// fleet without a central counter. It implements prim.AllowanceLimiter.
//
// Every active host of a service owns one slot, an equal part of every allowance
// at that service. Owners lease their parts for short terms to the ingress nodes
// that need them, and an ingress node grants calls from its leases locally. The
// guarantee is: in every interval of length T the whole fleet grants a customer
// at most Rate*T + Burst, where Rate and Burst are the largest published during
// the interval and the HostChangeDelay before it. docs/decisions/allowances.md
// has the proof and its assumptions.
//
// The decisions are made by two state machines without goroutines, lender
// (owner.go) and borrower (ingress.go). This file connects them to clocks,
// messages and documents.
package quota

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Config configures an AllowanceLimiter.
type Config struct {
	// Self is the name of this host, DataCentre its data centre and Address
	// its peer address. A host entry with the same name and another address
	// describes another host that reuses the name.
	Self       prim.HostName
	DataCentre prim.DataCentre
	Address    netip.AddrPort
	// Instance identifies this start of the node.
	Instance prim.Instance
	// Timing must be equal on every node. The default is DefaultTiming.
	Timing Timing
	// Wait is the longest time that a call of a new customer waits for the
	// first lease. The default is 200 ms.
	Wait      time.Duration
	Documents prim.Documents
	Transport prim.Transport
	// Logger logs slot hand-overs. The default is slog.Default.
	Logger *slog.Logger
}

// AllowanceLimiter is the allowance limiter of one node.
type AllowanceLimiter struct {
	config       Config
	start        time.Time
	wakeups      chan struct{} // makes Run plan requests before the next tick
	handOverLock chan struct{} // semaphore of size 1, held during a hand-over

	mu              sync.Mutex
	lender          *lender
	borrower        *borrower
	requests        uint64 // lease requests sent to other hosts
	failedRequests  uint64 // lease requests that failed
	handOverStarted bool   // Run has started the hand-over

	calls, waited atomic.Uint64 // calls of Take, and those that waited
}

var _ prim.AllowanceLimiter = (*AllowanceLimiter)(nil)

// New returns a limiter and registers its message handlers. It grants nothing
// until Run is called.
func New(c Config) (*AllowanceLimiter, error) {
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming
	}
	if err := c.Timing.Check(); err != nil {
		return nil, err
	}
	if c.Self == "" || !c.Address.IsValid() || c.Instance == 0 || c.Documents == nil || c.Transport == nil {
		return nil, Error.New("Self, Address, Instance, Documents and Transport are required; set them in quota.Config")
	}
	c.Wait = cmp.Or(c.Wait, 200*time.Millisecond)
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	l := &AllowanceLimiter{config: c, start: time.Now(),
		wakeups: make(chan struct{}, 1), handOverLock: make(chan struct{}, 1)}
	l.lender = newLender(&l.config, l.now())
	l.borrower = newBorrower(&l.config)
	c.Transport.Handle(KindLeaseRequest, l.handleLeaseRequest)
	c.Transport.Handle(KindSlotHandOver, l.handleHandOver)
	return l, nil
}

// now reads both clocks. Callers hold mu, so that the reading does not become
// stale while they wait for the lock.
func (l *AllowanceLimiter) now() clockReading {
	t := time.Now()
	return clockReading{mono: t.Sub(l.start), wall: t.Round(0)}
}

// Take grants one call or returns *prim.AllowanceExceededError. It blocks only for a
// customer that is new at this node, until the first lease arrives and at most
// for Config.Wait. A grant counts at the time of the decision, even if the
// process is paused between the decision and the call.
func (l *AllowanceLimiter) Take(ctx context.Context, c prim.Customer, service prim.Service) error {
	k := key{c, service}
	l.calls.Add(1)
	d := l.take(k, false)
	if d.waitFor != nil {
		l.waited.Add(1)
		t := time.NewTimer(l.config.Wait)
		defer t.Stop()
		select {
		case <-d.waitFor:
		case <-t.C:
		case <-ctx.Done():
		}
		d = l.take(k, true)
	}
	if d.granted {
		return nil
	}
	return &prim.AllowanceExceededError{Customer: c, Service: service, RetryAfter: d.retryAfter}
}

// take decides about one call. waited is set on the retry of a call that waited
// for the first lease.
func (l *AllowanceLimiter) take(k key, waited bool) decision {
	v := l.config.Documents.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.borrower.take(l.now(), v, k, waited)
	if d.wake {
		l.wakeRun()
	}
	return d
}

// wakeRun makes Run plan requests without waiting for the next tick.
func (l *AllowanceLimiter) wakeRun() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// leaseResult is the outcome of one lease request.
type leaseResult struct {
	batch    batch
	response leaseResponse
	err      error
}

// Run renews leases in the background until the context ends. The channel
// receives one value after every goroutine that Run started has ended.
func (l *AllowanceLimiter) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- l.run(ctx) }()
	return done
}

func (l *AllowanceLimiter) run(ctx context.Context) error {
	ticker := time.NewTicker(l.config.Timing.LeaseTerm / ticksPerTerm)
	defer ticker.Stop()
	results := make(chan leaseResult)
	handOverResult := make(chan error, 1)
	running := 0 // goroutines that have not sent their result
	for {
		for _, b := range l.dueRequests() {
			running++
			go func() { results <- l.sendRequest(ctx, b) }()
		}
		if l.beginHandOver() {
			running++
			go func() { handOverResult <- l.HandOver(ctx) }()
		}
		select {
		case <-ticker.C:
		case <-l.wakeups:
		case r := <-results:
			running--
			l.handleResult(r)
		case err := <-handOverResult:
			running--
			if err != nil {
				l.config.Logger.Warn("allowance slot not handed over; it stays unused until the host list drops the host", "Error", err)
			}
		case <-ctx.Done():
			for ; running > 0; running-- {
				select {
				case <-results:
				case <-handOverResult:
				}
			}
			return nil
		}
	}
}

// dueRequests returns the lease requests that are due to other hosts. Requests
// of this host to itself are answered directly.
func (l *AllowanceLimiter) dueRequests() []batch {
	v := l.config.Documents.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	due := planRequests(now, v, l.lender, l.borrower)
	l.requests += uint64(len(due))
	return due
}

// planRequests returns the lease requests of b that are due. It passes those for
// this host directly to l, and leaves them out of the result.
func planRequests(now clockReading, v *prim.View, l *lender, b *borrower) []batch {
	// The pools of this host fill from the time at which it notices that a slot
	// became usable, so it checks at every tick and not only on a request.
	l.refreshSlots(now, v)
	l.dropIdlePools(now, v)
	due := b.planRequests(now, v)
	return slices.DeleteFunc(due, func(d batch) bool {
		if d.to != l.self {
			return false
		}
		response := l.grantLeases(now, v, l.self, &d.request)
		b.handleResponse(now, &d, &response, false)
		return true
	})
}

// sendRequest sends one batch. The timeout is a quarter of the lease term: a
// later response has little of its term left, and the owner gets no other
// request while one is in flight.
func (l *AllowanceLimiter) sendRequest(ctx context.Context, b batch) leaseResult {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timing.LeaseTerm/4)
	defer cancel()
	result := leaseResult{batch: b}
	result.err = exchange(ctx, l.config.Transport, b.to, KindLeaseRequest, &b.request, KindLease, &result.response)
	return result
}

// handleResult passes the outcome of a lease request to the borrower.
func (l *AllowanceLimiter) handleResult(result leaseResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.err != nil {
		l.failedRequests++
	}
	l.borrower.handleResponse(l.now(), &result.batch, &result.response, result.err != nil)
	if l.borrower.replan {
		l.wakeRun()
	}
}

// exchange sends one message and decodes the response to it.
func exchange(ctx context.Context, t prim.Transport, to prim.HostName, k prim.Kind, body any, responseKind prim.Kind, response any) error {
	m, err := encode(k, body)
	if err != nil {
		return err
	}
	m, err = t.Ask(ctx, to, m)
	if err != nil {
		return Error.New("ask host %q for %s: %w; check that it is reachable", to, responseKind, err)
	}
	return decode(m, responseKind, response)
}

func (l *AllowanceLimiter) handleLeaseRequest(_ context.Context, from prim.HostName,
	m prim.Message) (prim.Message, error) {
	var a leaseRequest
	if err := decode(m, KindLeaseRequest, &a); err != nil {
		return prim.Message{}, err
	}
	v := l.config.Documents.View()
	l.mu.Lock()
	out := l.lender.grantLeases(l.now(), v, from, &a)
	l.mu.Unlock()
	return encode(KindLease, &out)
}

func (l *AllowanceLimiter) handleHandOver(_ context.Context, _ prim.HostName, m prim.Message) (prim.Message, error) {
	var h handOverRequest
	if err := decode(m, KindSlotHandOver, &h); err != nil {
		return prim.Message{}, err
	}
	v := l.config.Documents.View()
	l.mu.Lock()
	out := l.lender.acceptSlots(l.now(), v, &h)
	l.mu.Unlock()
	return encode(KindAccepted, &out)
}

// beginHandOver reports whether Run has to start a hand-over: the host list shows
// this host as leaving and it holds slots. It returns true at most once.
func (l *AllowanceLimiter) beginHandOver() bool {
	v := l.config.Documents.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handOverStarted || len(l.lender.held) == 0 || !l.lender.isLeaving(v) {
		return false
	}
	l.handOverStarted = true
	return true
}

// HandOver moves the slots of this host to another host before a planned stop.
// It fails unless this node's copy of the host list shows the host as leaving,
// because only then does no later instance of the host use the slots, whatever
// list that instance starts with. Run starts a hand-over by itself. A node that
// stops calls HandOver again, which waits until the hand-over in progress ends.
func (l *AllowanceLimiter) HandOver(ctx context.Context) error {
	select {
	case l.handOverLock <- struct{}{}:
		defer func() { <-l.handOverLock }()
	case <-ctx.Done():
		return Error.New("hand-over did not start: %w", ctx.Err())
	}
	v := l.config.Documents.View()
	l.mu.Lock()
	leaving, held := l.lender.isLeaving(v), len(l.lender.held)
	service, candidates := l.lender.service, l.lender.handOverCandidates(v, l.config.DataCentre)
	l.mu.Unlock()
	switch {
	case held == 0:
		return nil
	case !leaving:
		return Error.New("host %q is not shown as leaving in its copy of the host list; mark it as leaving before it stops", l.config.Self)
	}
	for _, to := range candidates {
		// The offer changes nothing at the receiver, so several hosts may get it.
		var response handOverResponse
		offer := handOverRequest{Service: service}
		if err := exchange(ctx, l.config.Transport, to, KindSlotHandOver, &offer, KindAccepted, &response); err != nil || !response.Accepted {
			continue
		}
		return l.commitHandOver(ctx, to, handOverRequest{Instance: response.Instance, Service: service})
	}
	return Error.New("no host of service %q accepts the slots of %q; put another host in service", service, l.config.Self)
}

// commitHandOver gives the slots to one instance. The response may be lost after
// the receiver has taken the slots, so no other host may get them from here on:
// the message is repeated to the same instance until the context ends.
func (l *AllowanceLimiter) commitHandOver(ctx context.Context, to prim.HostName, h handOverRequest) error {
	l.mu.Lock()
	h.Slots = l.lender.releaseSlots()
	l.mu.Unlock()
	for {
		var response handOverResponse
		err := exchange(ctx, l.config.Transport, to, KindSlotHandOver, &h, KindAccepted, &response)
		switch {
		case err == nil && response.Accepted:
			l.config.Logger.Info("allowance slots handed over", "To", to, "Slots", len(h.Slots))
			return nil
		case err == nil:
			return Error.New("host %q restarted during the hand-over; the slots sent to it stay unused", to)
		}
		select {
		case <-ctx.Done():
			return Error.New("hand-over to host %q was not confirmed: %w", to, err)
		case <-time.After(l.config.Timing.LeaseTerm / ticksPerTerm):
		}
	}
}

// Status is the usage of one customer at one service as seen by this node.
type Status struct {
	Customer prim.Customer
	Service  prim.Service
	// Rate and Burst are the customer's allowance in the whole fleet.
	Rate, Burst float64
	// Used and Refused count granted and refused calls since the customer
	// became active at this node.
	Used, Refused uint64
	// LeasedRate and LeasedBurst are the sums of the leases in force at this
	// node, Owners the number of hosts that granted them, and Tokens the calls
	// that can be granted at once.
	LeasedRate, LeasedBurst, Tokens float64
	Owners                          int
	// LentRate and LentBurst are what this node reserves, as a slot owner, for
	// the leases of all ingress nodes including itself.
	LentRate, LentBurst float64
}

// Status returns one entry for each active customer and service, ordered by
// service and customer.
func (l *AllowanceLimiter) Status() []Status {
	v := l.config.Documents.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	all := make(map[key]*Status)
	at := func(k key) *Status {
		x := all[k]
		if x == nil {
			a := v.Allowance(k.customer, k.service)
			x = &Status{Customer: k.customer, Service: k.service, Rate: a.Rate, Burst: a.Burst}
			all[k] = x
		}
		return x
	}
	for k, e := range l.borrower.entries {
		e.refill(now.mono, false)
		x := at(k)
		x.Used, x.Refused = e.used, e.refused
		x.LeasedRate, x.LeasedBurst, x.Tokens = e.leased.rate, e.leased.burst, e.tokens
		for _, lease := range e.leases {
			if lease.granted != (quota{}) {
				x.Owners++
			}
		}
	}
	for c, p := range l.lender.pools {
		for _, lease := range p.leases {
			r := lease.reserved(now.mono)
			x := at(key{c, l.lender.service})
			x.LentRate += r.rate
			x.LentBurst += r.burst
		}
	}
	out := make([]Status, 0, len(all))
	for _, x := range all {
		out = append(out, *x)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	return out
}

// Usage holds the message counters of this node and the numbers of its slots.
type Usage struct {
	Calls, Waited  uint64 // calls of Take, and those that waited for a first lease
	Asks, Failures uint64 // lease requests sent to other hosts, and those that failed
	Held, Usable   int    // slots that this instance holds, and those it may grant leases from
}

// Usage returns the counters of this node over all customers.
func (l *AllowanceLimiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Calls: l.calls.Load(), Waited: l.waited.Load(), Asks: l.requests, Failures: l.failedRequests, Held: len(l.lender.held), Usable: len(l.lender.usable)}
}
