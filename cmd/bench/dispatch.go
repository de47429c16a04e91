package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/once"
	"github.com/primrosethread/primrosethread/retry"
)

// runDispatch compares three ways to run a non-idempotent request at another host: in
// one step, in two steps (reserve and commit), and along the candidates of an
// idempotency key. The real retry and once packages call simulated owners in this
// process. Links have a fixed one-way delay. Faults hit one host after the other at
// fixed intervals, so that every mode sees the same ones.
func runDispatch(ctx context.Context, args []string) error {
	var c dispatchConfig
	f := flag.NewFlagSet("dispatch", flag.ContinueOnError)
	f.IntVar(&c.hosts, "hosts", 3, "hosts of the service")
	f.IntVar(&c.slots, "slots", 8, "slots of a server")
	f.IntVar(&c.overbook, "overbook", 0, "reservations that an owner grants beyond its slots; a commit waits for a slot")
	f.DurationVar(&c.work, "work", 20*time.Millisecond, "mean of the exponential service time")
	f.DurationVar(&c.oneWay, "oneway", 3*time.Millisecond, "one-way delay of a link")
	f.Float64Var(&c.load, "load", 0.5, "offered load as a share of the slots")
	f.DurationVar(&c.length, "length", 12*time.Second, "length of a run")
	f.DurationVar(&c.timeout, "timeout", time.Second, "timeout of a request")
	f.DurationVar(&c.every, "every", 2*time.Second, "interval of faults")
	f.DurationVar(&c.avoid, "avoid", 100*time.Millisecond, "time for which the policy avoids a host after a failed attempt")
	f.DurationVar(&c.freeze, "freeze", 1500*time.Millisecond, "length of a freeze")
	f.DurationVar(&c.cut, "cut", 200*time.Millisecond, "length of a link cut")
	f.Float64Var(&c.lose, "lose", 0.005, "share of answers lost with their link, in the scenario lost")
	f.DurationVar(&c.hold, "hold", 50*time.Millisecond, "time that an ingress node waits for a reservation, not counting the round trip")
	f.Float64Var(&c.share, "share", 0.2, "retry budget, as a share of first attempts")
	f.Float64Var(&c.floor, "floor", 1, "retries a second that the budget allows in addition to the share")
	f.Float64Var(&c.shedding, "shedding", 0, "time for which a refusal occupies a slot, as a share of the mean service time")
	modes := f.String("modes", "one,two,keyed", "dispatch modes to run")
	only := f.String("fault", "", "run only this scenario: none, freeze, cut, lost")
	if err := f.Parse(args); err != nil {
		return err
	}
	fmt.Printf("%+v\n", c)
	fmt.Println("fault   mode  requests   done  notrun  unknown  unknown%  runs>1  attempts/req      p50      p99    p99.9")
	for _, fault := range []string{"none", "freeze", "cut", "lost"} {
		for mode := range strings.SplitSeq(*modes, ",") {
			if *only != "" && *only != fault {
				continue
			}
			if err := c.run(ctx, mode, fault); err != nil {
				return err
			}
		}
	}
	return nil
}

type dispatchConfig struct {
	hosts, slots, overbook                                   int
	work, oneWay, length, timeout, every, freeze, cut, avoid time.Duration
	load, lose, share, floor, shedding                       float64
	hold                                                     time.Duration
}

// run runs one mode under one fault and prints its line.
func (c *dispatchConfig) run(ctx context.Context, mode, fault string) error {
	s := newSimulation(c, mode, fault)
	ctx, cancel := context.WithTimeout(ctx, c.length+c.timeout+time.Second)
	defer cancel()
	faults := s.inject(ctx)

	rate := c.load * float64(c.hosts*c.slots) / c.work.Seconds()
	took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var outcomes [3]int
	var wg sync.WaitGroup
	began := time.Now()
	requests := 0
	for at := time.Duration(0); at < c.length; at += time.Duration(rand.ExpFloat64() / rate * float64(time.Second)) {
		if time.Sleep(time.Until(began.Add(at))); ctx.Err() != nil {
			return ctx.Err()
		}
		requests++
		r := &prim.Request{Service: "s", Class: "c", Method: "POST", Path: fmt.Sprint("/", requests), Deadline: time.Now().Add(c.timeout)}
		if mode == "keyed" {
			r.Key, r.KeyCreated = r.Path, time.Now()
		}
		wg.Go(func() {
			started := time.Now()
			_, err := s.caller.Do(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			outcomes[prim.OutcomeOf(err)]++
			took.RecordValue(time.Since(started).Microseconds())
		})
	}
	wg.Wait()
	cancel()
	if err := <-faults; err != nil {
		return err
	}
	repeated := 0
	s.runs.Range(func(_, n any) bool {
		if n.(*atomic.Int64).Load() > 1 {
			repeated++
		}
		return true
	})
	quantile := func(q float64) string {
		return fmt.Sprintf("%6.1fms", float64(took.ValueAtQuantile(q))/1000)
	}
	fmt.Printf("%-7s %-5s %8d %6d %7d %8d %8.3f%% %7d %13.2f %8s %8s %8s\n", fault, mode, requests,
		outcomes[prim.Done], outcomes[prim.NotRun], outcomes[prim.Unknown], 100*float64(outcomes[prim.Unknown])/float64(requests),
		repeated, float64(s.attempts.Load())/float64(requests), quantile(50), quantile(99), quantile(99.9))
	if repeated > 0 {
		return fmt.Errorf("%d requests ran more than once in mode %s with fault %s", repeated, mode, fault)
	}
	return nil
}

// simulation is a service with simulated hosts. It implements the interfaces through
// which packages retry and once reach the hosts.
type simulation struct {
	*dispatchConfig
	mode, fault string
	caller      *retry.Caller
	view        *prim.View
	hosts       map[prim.HostName]*simulatedHost
	hostNames   []prim.HostName
	attempts    atomic.Int64
	runs        sync.Map // number of runs by path, as *atomic.Int64
}

func newSimulation(c *dispatchConfig, mode, fault string) *simulation {
	s := &simulation{dispatchConfig: c, mode: mode, fault: fault, hosts: make(map[prim.HostName]*simulatedHost)}
	since := time.Now().Add(-24 * time.Hour)
	var list []prim.Host
	for i := range c.hosts {
		name := prim.HostName(fmt.Sprint("h", i))
		list = append(list, prim.Host{Name: name, Service: "s", State: prim.HostLive, Since: since})
		h := &simulatedHost{simulation: s, name: name, reservations: make(chan struct{}, c.slots+c.overbook), slots: make(chan struct{}, c.slots), linkBroken: make(chan struct{})}
		h.owner = once.NewOwner(once.OwnerConfig{Host: name, Next: h, Documents: s, Started: since})
		s.hosts[name] = h
		s.hostNames = append(s.hostNames, name)
	}
	s.view = prim.NewView(prim.ViewConfig{
		Digests: map[string]prim.Digest{prim.NameHosts: {Issued: time.Now()}},
		Hosts:   prim.Hosts{Services: []prim.ServiceEntry{{Name: "s", Since: since}}, Hosts: list},
	})
	keyedCaller := once.NewCaller(once.CallerConfig{
		Host: "ingress", Documents: s, Reachability: s, Policy: s, Owners: s,
		WaitForRetry: func(ctx context.Context, r *prim.Request, d time.Duration) error {
			return s.caller.WaitForRetry(ctx, r, d)
		},
		TrackAttempt: func(h prim.HostName) func() { return s.caller.TrackAttempt(h) },
	})
	s.caller = retry.New(retry.Config{
		Host: "ingress", Costs: map[prim.DataCentre]time.Duration{"": c.oneWay}, ReserveHedgeDelay: c.hold,
		RetryShare: c.share, RetryFloor: c.floor,
		Documents: s, Reachability: s, Policy: s, Owners: s, Keyed: keyedCaller,
	})
	return s
}

// inject injects faults at one host after the other until the context ends.
func (s *simulation) inject(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		if s.fault != "freeze" && s.fault != "cut" {
			return
		}
		t := time.NewTicker(s.every)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
			h := s.hosts[s.hostNames[i%len(s.hostNames)]]
			if s.fault == "freeze" {
				h.frozenUntil.Store(time.Now().Add(s.freeze).UnixNano())
				continue
			}
			h.mu.Lock()
			close(h.linkBroken)
			h.linkBroken, h.linkUpAt = make(chan struct{}), time.Now().Add(s.cut)
			h.mu.Unlock()
		}
	}()
	return done
}

func (s *simulation) View() *prim.View                           { return s.view }
func (s *simulation) Changed() <-chan struct{}                   { return nil }
func (s *simulation) Reachable(prim.HostName) bool               { return true }
func (s *simulation) MarkUnreachable(prim.HostName)              {}
func (s *simulation) MarkReachable(prim.HostName, prim.Instance) {}
func (s *simulation) Observe(prim.LoadSample)                    {}
func (s *simulation) AttemptFinished(prim.Attempt)               {}
func (s *simulation) Owner(h prim.HostName) prim.Owner           { return &simulatedLink{s.hosts[h]} }
func (s *simulation) Pick(_ prim.Service, cs []prim.Candidate) int {
	// Picks a candidate with the fewest pending requests, at random among equals.
	best, ties, least := 0, 0, 0
	for i, c := range cs {
		pending := c.Pending
		if time.Now().UnixNano() < s.hosts[c.Host.Name].avoidedUntil.Load() {
			pending += 1 << 20
		}
		if ties == 0 || pending < least {
			best, ties, least = i, 1, pending
		} else if pending == least {
			if ties++; rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// simulatedHost is a server with admission control: a request gets a slot, waits in a
// queue that holds two requests per slot, or is refused.
type simulatedHost struct {
	simulation   *simulation
	name         prim.HostName
	owner        prim.Owner
	reservations chan struct{} // holds the admitted requests; the capacity is slots + overbook
	slots        chan struct{}
	queued       atomic.Int64
	// Times in Unix nanoseconds.
	frozenUntil, avoidedUntil atomic.Int64

	mu         sync.Mutex
	linkBroken chan struct{} // closed when the link breaks
	linkUpAt   time.Time     // when the broken link works again
}

func (h *simulatedHost) Sample() prim.LoadSample { return prim.LoadSample{} }

func (h *simulatedHost) refuse(reason prim.Reason) error {
	return &prim.RefusalError{Reason: reason, Host: h.name}
}

func (h *simulatedHost) admit(ctx context.Context) error {
	if h.queued.Add(1) > int64(2*h.simulation.slots) {
		h.queued.Add(-1)
		if h.simulation.shedding > 0 {
			// A refusal occupies a slot for a while.
			h.slots <- struct{}{}
			time.Sleep(time.Duration(h.simulation.shedding * float64(h.simulation.work)))
			<-h.slots
		}
		return h.refuse(prim.ReasonBusy)
	}
	defer h.queued.Add(-1)
	select {
	case h.reservations <- struct{}{}:
		return nil
	case <-ctx.Done():
		return h.refuse(prim.ReasonExpired)
	}
}

func (h *simulatedHost) serve(r *prim.Request) (*prim.Answer, error) {
	defer func() { <-h.reservations }()
	h.slots <- struct{}{}
	defer func() { <-h.slots }()
	h.waitWhileFrozen()
	if !time.Now().Before(r.Deadline) {
		return nil, h.refuse(prim.ReasonExpired)
	}
	n, _ := h.simulation.runs.LoadOrStore(r.Path, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(h.simulation.work)))
	return &prim.Answer{Status: 200, Body: []byte(r.Path)}, nil
}

// waitWhileFrozen waits until the simulated process is no longer frozen.
func (h *simulatedHost) waitWhileFrozen() { time.Sleep(time.Until(time.Unix(0, h.frozenUntil.Load()))) }

func (h *simulatedHost) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if err := h.admit(ctx); err != nil {
		return nil, err
	}
	return h.serve(r)
}

func (h *simulatedHost) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	if err := h.admit(ctx); err != nil {
		return nil, err
	}
	v := &simulatedReservation{host: h, request: r}
	time.AfterFunc(50*time.Millisecond, v.Release) // has no effect after Commit
	return v, nil
}

type simulatedReservation struct {
	host    *simulatedHost
	request *prim.Request
	used    atomic.Bool
}

func (v *simulatedReservation) Commit(context.Context) (*prim.Answer, error) {
	if v.used.Swap(true) {
		return nil, v.host.refuse(prim.ReasonReservationExpired)
	}
	return v.host.serve(v.request)
}

func (v *simulatedReservation) Release() {
	if !v.used.Swap(true) {
		<-v.host.reservations
	}
}

// simulatedLink calls a host over a link with delay and faults.
type simulatedLink struct{ host *simulatedHost }

func (l *simulatedLink) Sample() prim.LoadSample { return prim.LoadSample{} }

// exchange simulates a request and response over the link of a host: it calls handle
// at the host and returns its result. Each direction takes the one-way delay.
func exchange[T any](ctx context.Context, h *simulatedHost, handle func(context.Context) (T, error)) (T, error) {
	var none T
	h.mu.Lock()
	broken, down := h.linkBroken, time.Now().Before(h.linkUpAt)
	h.mu.Unlock()
	if down {
		return none, h.refuse(prim.ReasonUnreachable)
	}
	type reply struct {
		value T
		err   error
	}
	replies := make(chan reply, 1)
	go func() {
		time.Sleep(h.simulation.oneWay)
		select {
		case <-broken:
			return
		default:
		}
		h.waitWhileFrozen()
		v, err := handle(ctx)
		h.waitWhileFrozen()
		time.Sleep(h.simulation.oneWay)
		if h.simulation.fault == "lost" && rand.Float64() < h.simulation.lose {
			err = &prim.LostAnswerError{Host: h.name, Cause: io.EOF}
		}
		replies <- reply{v, err}
	}()
	select {
	case rep := <-replies:
		return rep.value, rep.err
	case <-broken:
		return none, &prim.LostAnswerError{Host: h.name, Cause: io.EOF}
	case <-ctx.Done():
		return none, &prim.LostAnswerError{Host: h.name, Cause: ctx.Err()}
	}
}

func (l *simulatedLink) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	l.host.simulation.attempts.Add(1)
	return exchange(ctx, l.host, func(ctx context.Context) (*prim.Answer, error) { return l.host.owner.Dispatch(ctx, r) })
}

func (l *simulatedLink) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	if l.host.simulation.mode == "one" {
		return &oneStepReservation{l, r}, nil
	}
	l.host.simulation.attempts.Add(1)
	v, err := exchange(ctx, l.host, func(ctx context.Context) (prim.Reservation, error) { return l.host.owner.Reserve(ctx, r) })
	if err != nil {
		return nil, err
	}
	return &remoteReservation{l.host, v}, nil
}

// oneStepReservation makes the two steps of package retry one: it reserves nothing,
// and Commit dispatches the request.
type oneStepReservation struct {
	link    *simulatedLink
	request *prim.Request
}

func (o *oneStepReservation) Commit(ctx context.Context) (*prim.Answer, error) {
	return o.link.Dispatch(ctx, o.request)
}
func (o *oneStepReservation) Release() {}

type remoteReservation struct {
	host        *simulatedHost
	reservation prim.Reservation
}

func (v *remoteReservation) Commit(ctx context.Context) (*prim.Answer, error) {
	a, err := exchange(ctx, v.host, v.reservation.Commit)
	var refusal *prim.RefusalError
	if errors.As(err, &refusal) && refusal.Reason == prim.ReasonUnreachable {
		v.reservation.Release() // the owner does the same when the link breaks
	}
	return a, err
}

func (v *remoteReservation) Release() { v.reservation.Release() }
