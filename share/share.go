// Package share grants calls within the customers' allowances. It implements
// prim.Ledger.
//
// The active hosts of a service own equal parts of every allowance at it. Owners
// lend parts to the ingress nodes that need them, for short terms, and an ingress
// node grants calls from its leases without asking anyone. The bound is: in every
// interval of length T the whole fleet grants a customer at most Rate*T + Burst,
// at the largest allowance published during the interval and the ShareHold
// before it. docs/decisions/allowances.md has the argument and its assumptions.
//
// The decisions are in two state machines without goroutines, lender (owner.go)
// and borrower (ingress.go). This file connects them to clocks, messages and
// documents.
package share

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

// Config holds what a Share needs.
type Config struct {
	// Self is the name of this host, DataCentre its data centre and Address
	// its peer address. A host entry with another address is another machine
	// that was given the name.
	Self       prim.HostName
	DataCentre prim.DataCentre
	Address    netip.AddrPort
	// Instance identifies this start of the node.
	Instance prim.Instance
	// Terms are the same on every node; DefaultTerms if zero.
	Terms Terms
	// Wait bounds how long the first call of a new customer waits for an
	// answer, 200 ms if zero.
	Wait      time.Duration
	Documents prim.Documents
	Transport prim.Transport
	// Logger reports hand-overs; slog.Default if nil.
	Logger *slog.Logger
}

// Share is the ledger of one node.
type Share struct {
	config Config
	start  time.Time
	kicks  chan struct{} // asks Run for a plan before the next tick
	moving chan struct{} // holds one value while a hand-over is in progress

	mu       sync.Mutex
	lender   *lender
	borrower *borrower
	asks     uint64 // messages sent
	failures uint64 // of them without an answer
	handing  bool   // Run has begun a hand-over

	calls, waited atomic.Uint64 // of Take
}

var _ prim.Ledger = (*Share)(nil)

// New returns a ledger and registers its message handlers. It grants nothing
// until Run is called.
func New(c Config) (*Share, error) {
	if c.Terms == (Terms{}) {
		c.Terms = DefaultTerms
	}
	if err := c.Terms.Check(); err != nil {
		return nil, err
	}
	if c.Self == "" || !c.Address.IsValid() || c.Instance == 0 || c.Documents == nil || c.Transport == nil {
		return nil, Error.New("Self, Address, Instance, Documents and Transport are required; set them in share.Config")
	}
	c.Wait = cmp.Or(c.Wait, 200*time.Millisecond)
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	s := &Share{config: c, start: time.Now(), kicks: make(chan struct{}, 1), moving: make(chan struct{}, 1)}
	s.lender = newLender(&s.config, s.now())
	s.borrower = newBorrower(&s.config)
	c.Transport.Handle(KindLeaseAsk, s.onLeaseAsk)
	c.Transport.Handle(KindSlotHandOver, s.onHandOver)
	return s, nil
}

// now reads both clocks. It is called with the lock held, so that waiting for
// the lock cannot make a reading old.
func (s *Share) now() instant {
	t := time.Now()
	return instant{mono: t.Sub(s.start), wall: t.Round(0)}
}

// Take grants one call or returns *prim.OverAllowance. Only calls of a customer
// that is new at this node wait, until the first answer and at most Config.Wait.
// The grant belongs to the time at which Take decides; a process that is paused
// between the decision and the call does not change that.
func (s *Share) Take(ctx context.Context, c prim.Customer, service prim.Service) error {
	k := key{c, service}
	s.calls.Add(1)
	d := s.take(k, false)
	if d.answered != nil {
		s.waited.Add(1)
		t := time.NewTimer(s.config.Wait)
		defer t.Stop()
		select {
		case <-d.answered:
		case <-t.C:
		case <-ctx.Done():
		}
		d = s.take(k, true)
	}
	if d.granted {
		return nil
	}
	return &prim.OverAllowance{Customer: c, Service: service, RetryAfter: d.retry}
}

// take decides about one call.
func (s *Share) take(k key, waited bool) verdict {
	v := s.config.Documents.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.borrower.take(s.now(), v, k, waited)
	if d.kick {
		s.kick()
	}
	return d
}

func (s *Share) kick() {
	select {
	case s.kicks <- struct{}{}:
	default:
	}
}

// reply is the end of one ask.
type reply struct {
	batch  batch
	answer lease
	err    error
}

// Run renews leases in the background until the context ends. The channel
// reports the end once; every goroutine that Run started has ended then.
func (s *Share) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.run(ctx) }()
	return done
}

func (s *Share) run(ctx context.Context) error {
	ticker := time.NewTicker(s.config.Terms.LeaseTerm / retry)
	defer ticker.Stop()
	replies := make(chan reply)
	handed := make(chan error, 1)
	open := 0 // goroutines that have not reported
	for {
		for _, b := range s.plan() {
			open++
			go func() { replies <- s.ask(ctx, b) }()
		}
		if s.mustHandOver() {
			open++
			go func() { handed <- s.HandOver(ctx) }()
		}
		select {
		case <-ticker.C:
		case <-s.kicks:
		case r := <-replies:
			open--
			s.absorb(r)
		case err := <-handed:
			open--
			if err != nil {
				s.config.Logger.Warn("allowance slot not handed over; it stays unused until the host list drops the host", "Error", err)
			}
		case <-ctx.Done():
			for ; open > 0; open-- {
				select {
				case <-replies:
				case <-handed:
				}
			}
			return nil
		}
	}
}

// plan returns the asks that are due at other nodes and answers its own.
func (s *Share) plan() []batch {
	v := s.config.Documents.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	due := planAll(now, v, s.lender, s.borrower)
	s.asks += uint64(len(due))
	return due
}

// planAll plans, and settles the asks of this node to itself at once.
func planAll(now instant, v *prim.View, l *lender, b *borrower) []batch {
	// The pools of this node fill from the time at which it notices that a slot
	// became usable, so it looks at every tick and not only when it is asked.
	l.refresh(now, v)
	l.sweep(now, v)
	due := b.plan(now, v)
	return slices.DeleteFunc(due, func(d batch) bool {
		if d.to != l.self {
			return false
		}
		answer := l.lend(now, v, l.self, &d.ask)
		b.absorb(now, &d, &answer, false)
		return true
	})
}

// ask sends one batch. An answer after a quarter of the term is worth little,
// and the owner cannot be asked again while one is awaited.
func (s *Share) ask(ctx context.Context, b batch) reply {
	ctx, cancel := context.WithTimeout(ctx, s.config.Terms.LeaseTerm/4)
	defer cancel()
	r := reply{batch: b}
	r.err = exchange(ctx, s.config.Transport, b.to, KindLeaseAsk, &b.ask, KindLease, &r.answer)
	return r
}

// absorb records the end of an ask.
func (s *Share) absorb(r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.err != nil {
		s.failures++
	}
	s.borrower.absorb(s.now(), &r.batch, &r.answer, r.err != nil)
	if s.borrower.again {
		s.kick()
	}
}

// exchange sends one message and decodes its answer.
func exchange(ctx context.Context, t prim.Transport, to prim.HostName, k prim.Kind, body any, answerKind prim.Kind, answer any) error {
	m, err := encode(k, body)
	if err != nil {
		return err
	}
	m, err = t.Ask(ctx, to, m)
	if err != nil {
		return Error.New("ask host %q for %s: %w; check that it is reachable", to, answerKind, err)
	}
	return decode(m, answerKind, answer)
}

func (s *Share) onLeaseAsk(_ context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
	var a leaseAsk
	if err := decode(m, KindLeaseAsk, &a); err != nil {
		return prim.Message{}, err
	}
	v := s.config.Documents.View()
	s.mu.Lock()
	out := s.lender.lend(s.now(), v, from, &a)
	s.mu.Unlock()
	return encode(KindLease, &out)
}

func (s *Share) onHandOver(_ context.Context, _ prim.HostName, m prim.Message) (prim.Message, error) {
	var h handOver
	if err := decode(m, KindSlotHandOver, &h); err != nil {
		return prim.Message{}, err
	}
	v := s.config.Documents.View()
	s.mu.Lock()
	out := s.lender.accept(s.now(), v, &h)
	s.mu.Unlock()
	return encode(KindAccepted, &out)
}

// mustHandOver reports whether the host list has begun to show this host as
// leaving while it holds slots. It reports so once.
func (s *Share) mustHandOver() bool {
	v := s.config.Documents.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handing || len(s.lender.held) == 0 || !s.lender.leaving(v) {
		return false
	}
	s.handing = true
	return true
}

// HandOver moves the slots of this host to another one before a planned stop.
// It does so only if the node's own host list shows the host as leaving: then no
// later instance of the host uses the slots, whatever list it starts with. Run
// calls it by itself; a node that stops calls it once more and so waits for the
// first one.
func (s *Share) HandOver(ctx context.Context) error {
	select {
	case s.moving <- struct{}{}:
		defer func() { <-s.moving }()
	case <-ctx.Done():
		return Error.New("hand-over did not begin: %w", ctx.Err())
	}
	v := s.config.Documents.View()
	s.mu.Lock()
	leaving, ids := s.lender.leaving(v), len(s.lender.held)
	service, peers := s.lender.service, s.lender.successors(v, s.config.DataCentre)
	s.mu.Unlock()
	switch {
	case ids == 0:
		return nil
	case !leaving:
		return Error.New("host %q is not shown as leaving in its own host list; mark it as leaving before the stop", s.config.Self)
	}
	for _, to := range peers {
		// The first question has no effect, so it may go to several peers.
		var answer accepted
		offer := handOver{Service: service}
		if err := exchange(ctx, s.config.Transport, to, KindSlotHandOver, &offer, KindAccepted, &answer); err != nil || !answer.Accepted {
			continue
		}
		return s.commit(ctx, to, handOver{Instance: answer.Instance, Service: service})
	}
	return Error.New("no host of service %q accepts the slots of %q; put another host in service", service, s.config.Self)
}

// commit gives the slots to one instance. An answer may be lost after the
// receiver has taken them, so nobody else is asked from here on, and the message
// is repeated to the same instance until the context ends.
func (s *Share) commit(ctx context.Context, to prim.HostName, h handOver) error {
	s.mu.Lock()
	h.Slots = s.lender.surrender()
	s.mu.Unlock()
	for {
		var answer accepted
		err := exchange(ctx, s.config.Transport, to, KindSlotHandOver, &h, KindAccepted, &answer)
		switch {
		case err == nil && answer.Accepted:
			s.config.Logger.Info("allowance slots handed over", "To", to, "Slots", len(h.Slots))
			return nil
		case err == nil:
			return Error.New("host %q was restarted during the hand-over; its slots stay unused", to)
		}
		select {
		case <-ctx.Done():
			return Error.New("hand-over to host %q was not confirmed: %w", to, err)
		case <-time.After(s.config.Terms.LeaseTerm / retry):
		}
	}
}

// Status is the use of one customer at one service as this node sees it.
type Status struct {
	Customer prim.Customer
	Service  prim.Service
	// Rate and Burst are the whole allowance.
	Rate, Burst float64
	// Used and Refused count calls since the customer became active here.
	Used, Refused uint64
	// LeasedRate and LeasedBurst are the leases in force at this node, from
	// Owners slot owners, and Tokens what can be granted at once.
	LeasedRate, LeasedBurst, Tokens float64
	Owners                          int
	// LentRate and LentBurst are reserved by this node for others' leases and
	// its own.
	LentRate, LentBurst float64
}

// Status returns the entries of all active customers, ordered by service and
// customer.
func (s *Share) Status() []Status {
	v := s.config.Documents.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
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
	for k, e := range s.borrower.entries {
		e.settle(now.mono, false)
		x := at(k)
		x.Used, x.Refused = e.used, e.refused
		x.LeasedRate, x.LeasedBurst, x.Tokens = e.sum.rate, e.sum.burst, e.tokens
		for _, l := range e.leases {
			if l.have != (part{}) {
				x.Owners++
			}
		}
	}
	for c, p := range s.lender.pools {
		for _, l := range p.loans {
			r := l.reserved(now.mono)
			x := at(key{c, s.lender.service})
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

// Usage sums up the messages of this node and the state of its own slots.
type Usage struct {
	Calls, Waited  uint64 // calls of Take, and those that waited for an owner
	Asks, Failures uint64 // messages sent to other owners, and those without an answer
	Held, Usable   int    // slots that this instance holds, and those it may lend from
}

// Usage returns the counters of the node as a whole.
func (s *Share) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Usage{Calls: s.calls.Load(), Waited: s.waited.Load(), Asks: s.asks, Failures: s.failures, Held: len(s.lender.held), Usable: len(s.lender.usable)}
}
