package main

import (
	"container/heap"
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/admit"
	"github.com/primrosethread/primrosethread/probe"
	"github.com/primrosethread/primrosethread/route"
)

// The measurement runs the real policies, admission gates and probers against
// modelled servers on a virtual clock, in a loop over timed events. One run has
// one node on each server's host; every node is ingress for an equal part of
// the requests, which arrive at random (Poisson). A seed fixes the arrivals and
// the work of each request, so all policies get the same requests.
//
// A refused request is sent to another host at once; when all have refused it
// waits 5 to 10 ms and starts again. Attempts are not bounded by a retry budget.

// The constants of the model.
const (
	meanService  = 10 * time.Millisecond
	serviceSigma = 0.5 // of the lognormal service time
	sameCentre   = 200 * time.Microsecond
	timeout      = 2 * time.Second
	warmUp       = 2 * time.Second // not recorded; the fault starts at its end
	failTime     = time.Millisecond
	coldFactor   = 8 // service time of a cold server, falling with completed work
	coldWork     = 50
	coldEvery    = 4 * time.Second
	affected     = 0 // the host with the fault
)

type size struct {
	name           string
	servers, slots int
	oneWay         time.Duration
}

var sizes = []size{
	{"7x9", 7, 9, 3 * time.Millisecond},
	{"10x6", 10, 6, 5 * time.Millisecond},
}

var cases = []string{"healthy", "slow", "failfast", "cold", "noisy"}

// trial is one run: a policy in a case.
type trial struct {
	size   size
	kind   string
	load   float64
	policy string
	seed   uint64
	length time.Duration
	fixed  bool // the limit is always the published number of slots
}

// result is what a trial measured after the warm-up.
type result struct {
	latency                               *hdrhistogram.Histogram // microseconds
	requests, errors, refused, onAffected int64
	bytes, meanBytes                      float64 // of load measurement a second, largest and mean of the nodes
	p99                                   []int64 // of each seed
	// limits and ticks give the mean limit of the hosts without a fault, as a
	// share of their slots; colds counts signs of a cold server at these hosts.
	limits, ticks, colds int64
}

// call is one request on its way.
type call struct {
	request prim.Request
	ingress int
	start   time.Duration
	work    time.Duration // at full speed
	refused []bool
	sent    time.Duration
	host    int
	ticket  *admit.Ticket
}

type server struct {
	name   prim.HostName
	gate   *admit.Gate
	prober *probe.Prober
	policy prim.Policy
	// pending counts this node's unanswered dispatches to each host.
	pending []int
	costs   []time.Duration
	busy    int
	warmth  float64 // completed requests since the server was cold
	link    *link
	shift   *rand.Rand
	phases  []phase // of a noisy host
}

// phase is a time in which a noisy server keeps its speed.
type phase struct {
	end   time.Duration
	speed float64
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// world is the state of a trial.
type world struct {
	trial
	result
	now     time.Duration
	order   uint64
	events  events
	servers []*server
	hosts   []*prim.Host
	names   map[prim.HostName]int
	arrive  *rand.Rand
	network *rand.Rand
	calls   map[*admit.Ticket]*call
	scratch []prim.Candidate
	indices []int
}

var epoch = time.Unix(1e9, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

// link implements prim.Transport between the modelled nodes.
type link struct {
	w        *world
	from     int
	handlers map[prim.Kind]prim.Handler
}

func (l *link) Handle(k prim.Kind, h prim.Handler) { l.handlers[k] = h }

func (l *link) Ask(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
	return prim.Message{}, fmt.Errorf("bench: the modelled transport has no Ask; use Tell")
}

func (l *link) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	w := l.w
	i := w.names[to]
	w.after(w.delay(l.from, i), func() {
		// Handlers only fail on messages that the model never sends.
		_, _ = w.servers[i].link.handlers[m.Kind](ctx, w.servers[l.from].name, m)
	})
	return nil
}

// delay is the network time one way, with some jitter.
func (w *world) delay(from, to int) time.Duration {
	c := w.servers[from].costs[to]
	return c + time.Duration(w.network.ExpFloat64()*0.05*float64(c))
}

func newWorld(t trial) (*world, error) {
	w := &world{trial: t, names: make(map[prim.HostName]int), calls: make(map[*admit.Ticket]*call)}
	w.latency = hdrhistogram.New(1, 60_000_000, 3)
	w.arrive = rand.New(rand.NewPCG(t.seed, 1))
	w.network = rand.New(rand.NewPCG(t.seed, 2))
	for i := range t.size.servers {
		n := prim.HostName(fmt.Sprintf("host-%02d", i))
		w.names[n] = i
		w.hosts = append(w.hosts, &prim.Host{Name: n, DataCentre: prim.DataCentre(strconv.Itoa(i % 3))})
	}
	for i, h := range w.hosts {
		if err := w.addServer(i, h.Name); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addServer(i int, n prim.HostName) error {
	s := &server{name: n, pending: make([]int, w.size.servers), warmth: math.Inf(1)}
	s.shift = rand.New(rand.NewPCG(w.seed, 100+uint64(i)))
	coldCap := 1
	if w.fixed {
		coldCap = w.size.slots
	}
	s.gate = admit.NewGate(admit.Config{Host: n, Published: w.size.slots, ColdCap: coldCap, Cold: func(string) {
		if w.now >= warmUp && (i != affected || w.kind == "healthy" || w.kind == "noisy") {
			w.colds++
		}
	}}, w.clock())
	choose := rand.New(rand.NewPCG(w.seed, 200+uint64(i)))
	var err error
	s.policy, err = route.New(w.policy, route.Config{Rand: choose.IntN, Pool: route.PoolConfig{Now: w.clock}})
	if err != nil {
		return err
	}
	stale := func(int, time.Duration) []prim.HostName { return nil }
	if p, ok := s.policy.(*route.Pool); ok {
		stale = p.Stale
	}
	s.link = &link{w, i, make(map[prim.Kind]prim.Handler)}
	s.prober, err = probe.New(probe.Config{
		Transport: s.link,
		Stale:     stale,
		Observe:   s.policy.Observe,
		Sample:    func() prim.Sample { return s.gate.Sample(w.clock()) },
		Now:       w.clock,
	})
	for j := range w.hosts {
		switch {
		case i == j:
			s.costs = append(s.costs, 0)
		case i%3 == j%3:
			s.costs = append(s.costs, sameCentre)
		default:
			s.costs = append(s.costs, w.size.oneWay)
		}
	}
	w.servers = append(w.servers, s)
	return err
}

// run executes the trial.
func (w *world) run() result {
	w.after(0, w.arrival)
	w.after(0, w.tick)
	end := warmUp + w.length
	if w.kind == "cold" {
		for at := warmUp; at < end; at += coldEvery {
			w.after(at, func() { w.servers[affected].warmth = 0 })
		}
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	for _, s := range w.servers {
		b, _ := s.prober.Cost()
		rate := float64(b) / w.now.Seconds()
		w.bytes = max(w.bytes, rate)
		w.meanBytes += rate / float64(len(w.servers))
	}
	w.p99 = []int64{w.latency.ValueAtPercentile(99)}
	return w.result
}

// tick drives what the packages' goroutines do in a node.
func (w *world) tick() {
	for i, s := range w.servers {
		s.gate.Tick(w.clock())
		if i != affected && w.now >= warmUp {
			w.limits += int64(s.gate.Sample(w.clock()).Limit)
			w.ticks += int64(w.size.slots)
		}
		w.decide(s)
		for _, h := range s.prober.Due(4) {
			_ = s.link.Tell(context.Background(), h, prim.Message{Kind: probe.Kind})
		}
	}
	if w.now < warmUp+w.length+timeout {
		w.after(admit.TickEvery, w.tick)
	}
}

func (w *world) arrival() {
	if w.now >= warmUp+w.length {
		return
	}
	n := w.size.servers
	rate := w.load * float64(n*w.size.slots) / meanService.Seconds()
	work := math.Exp(w.arrive.NormFloat64()*serviceSigma - serviceSigma*serviceSigma/2)
	c := &call{
		ingress: w.arrive.IntN(n),
		start:   w.now,
		work:    time.Duration(work * float64(meanService)),
		refused: make([]bool, n),
	}
	customer := w.arrive.IntN(20)
	c.request = prim.Request{Customer: prim.Customer(strconv.Itoa(customer)), Deadline: w.clock().Add(timeout)}
	w.after(time.Duration(w.arrive.ExpFloat64()/rate*float64(time.Second)), w.arrival)
	w.dispatch(c)
}

// dispatch sends the call to a host that has not refused it in this round.
func (w *world) dispatch(c *call) {
	if !c.request.Deadline.After(w.clock()) {
		w.end(c, true)
		return
	}
	in := w.servers[c.ingress]
	w.scratch, w.indices = w.scratch[:0], w.indices[:0]
	for i, h := range w.hosts {
		if !c.refused[i] {
			w.scratch = append(w.scratch, prim.Candidate{Host: h, Cost: in.costs[i], Pending: in.pending[i]})
			w.indices = append(w.indices, i)
		}
	}
	if len(w.scratch) == 0 {
		clear(c.refused)
		w.after(5*time.Millisecond+time.Duration(w.network.Int64N(int64(5*time.Millisecond))), func() { w.dispatch(c) })
		return
	}
	c.host = w.indices[in.policy.Pick("service", w.scratch)]
	c.sent = w.now
	in.pending[c.host]++
	w.after(w.delay(c.ingress, c.host), func() { w.offer(c) })
}

func (w *world) offer(c *call) {
	s := w.servers[c.host]
	c.ticket = &admit.Ticket{Request: &c.request}
	s.gate.Offer(w.clock(), c.ticket)
	w.calls[c.ticket] = c
	if c.ticket.State != admit.Waiting {
		w.decided(s, c.ticket)
	}
	w.decide(s)
}

func (w *world) decide(s *server) {
	for _, t := range s.gate.Decided() {
		w.decided(s, t)
	}
}

// decided starts an admitted request or sends the refusal back.
func (w *world) decided(s *server, t *admit.Ticket) {
	c := w.calls[t]
	delete(w.calls, t)
	if t.State == admit.Refused {
		w.answer(c, prim.Attempt{Host: s.name, Outcome: prim.NotRun}, s)
		return
	}
	s.busy++
	took, failed := w.serve(s, c)
	w.after(took, func() {
		s.busy--
		s.warmth++
		a := prim.Attempt{Host: s.name, Latency: took, Outcome: prim.Done, Failed: failed}
		s.gate.Done(w.clock(), t, a)
		w.answer(c, a, s)
		w.decide(s)
	})
}

// serve returns how long the server takes and whether it fails.
func (w *world) serve(s *server, c *call) (took time.Duration, failed bool) {
	faulty := s == w.servers[affected] && w.now >= warmUp
	if s == w.servers[affected] && c.start >= warmUp {
		w.onAffected++
	}
	switch {
	case w.kind == "noisy":
		return w.noisy(s, c.work), false
	case w.kind == "slow" && faulty:
		return 10 * c.work, false
	case w.kind == "failfast" && faulty:
		return failTime, true
	case w.kind == "cold" && faulty:
		// A cold server is slower, and slower still with more requests at once
		// than one for each ten that it completed.
		f := 1 + (coldFactor-1)*math.Exp(-s.warmth/coldWork)
		f *= max(1, float64(s.busy)/(1+s.warmth/10))
		return time.Duration(f * float64(c.work)), false
	}
	return c.work, false
}

// noisy returns the time of the work at a speed that shifts every 2 to 20 ms.
func (w *world) noisy(s *server, work time.Duration) time.Duration {
	at, left := w.now, float64(work)
	for len(s.phases) > 0 && s.phases[0].end <= at {
		s.phases = s.phases[1:]
	}
	for i := 0; ; i++ {
		if i == len(s.phases) {
			from := at
			length := 2*time.Millisecond + time.Duration(s.shift.Int64N(int64(18*time.Millisecond)))
			speed := [...]float64{0.2, 0.6, 1.4, 1.8}[s.shift.IntN(4)]
			s.phases = append(s.phases, phase{from + length, speed})
		}
		p := s.phases[i]
		if most := p.speed * float64(p.end-at); left > most {
			left -= most
			at = p.end
			continue
		}
		return at + time.Duration(left/p.speed) - w.now
	}
}

// answer sends the end of an attempt to the ingress node, with a load sample if
// the budget allows it.
func (w *world) answer(c *call, a prim.Attempt, s *server) {
	sample := s.gate.Sample(w.clock())
	local := s == w.servers[c.ingress]
	carried := local
	if !local {
		sample, carried = s.prober.Carry(sample)
	}
	w.after(w.delay(c.host, c.ingress), func() {
		in := w.servers[c.ingress]
		in.pending[c.host]--
		if carried && !local {
			sample, carried = in.prober.Received(s.name, sample)
		}
		if carried {
			in.policy.Observe(sample)
		}
		in.policy.Finished(a)
		if a.Outcome != prim.NotRun {
			w.end(c, a.Failed)
			return
		}
		if c.start >= warmUp {
			w.refused++
		}
		c.refused[c.host] = true
		w.dispatch(c)
	})
}

func (w *world) end(c *call, failed bool) {
	if c.start < warmUp {
		return
	}
	w.requests++
	if failed {
		w.errors++
		return
	}
	// The histogram holds any time up to the timeout.
	_ = w.latency.RecordValue(max(1, (w.now - c.start).Microseconds()))
}

// policy compares the policies of package route.
func policy(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("policy", flag.ContinueOnError)
	seeds := fs.Int("seeds", 5, "number of seeds")
	first := fs.Uint64("seed", 1, "first seed")
	length := fs.Duration("length", 10*time.Second, "virtual time of a trial after the warm-up")
	loads := fs.String("loads", "0.5,0.7,0.9", "loads as shares of the capacity")
	kinds := fs.String("cases", strings.Join(cases, ","), "cases")
	names := fs.String("policies", strings.Join(route.Names[:], ","), "policies")
	fixed := fs.Bool("fixed", false, "keep each limit at the published number of slots instead of adapting it")
	workers := fs.Int("workers", min(4, runtime.NumCPU()), "trials at the same time")
	if err := fs.Parse(args); err != nil {
		return err
	}
	var trials []trial
	for _, sz := range sizes {
		for _, k := range strings.Split(*kinds, ",") {
			if !slices.Contains(cases, k) {
				return fmt.Errorf("policy: unknown case %q; use some of %s", k, strings.Join(cases, ","))
			}
			for _, l := range strings.Split(*loads, ",") {
				load, err := strconv.ParseFloat(l, 64)
				if err != nil || load <= 0 || load > 2 {
					return fmt.Errorf("policy: load %q; use a share of the capacity such as 0.7", l)
				}
				for _, p := range strings.Split(*names, ",") {
					for s := range uint64(*seeds) {
						trials = append(trials, trial{sz, k, load, p, *first + s, *length, *fixed})
					}
				}
			}
		}
	}
	results := make([]result, len(trials))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(*workers)
	for i, t := range trials {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			w, err := newWorld(t)
			if err != nil {
				return err
			}
			results[i] = w.run()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	printPolicy(os.Stdout, trials, results, *seeds)
	return nil
}

// printPolicy writes one line for each policy in a case, with all seeds merged.
func printPolicy(out io.Writer, trials []trial, results []result, seeds int) {
	fmt.Fprintf(out, "%-5s %-8s %4s %-10s %8s %8s %8s %17s %7s %7s %9s %6s %6s %8s %6s\n", "size", "case", "load", "policy",
		"p50 ms", "p99 ms", "p99.9 ms", "p99 over seeds", "errors", "wasted", "affected", "limit", "colds", "B/s max", "mean")
	for i := 0; i < len(trials); i += seeds {
		t, r := trials[i], results[i]
		for _, o := range results[i+1 : i+seeds] {
			r.latency.Merge(o.latency)
			r.requests += o.requests
			r.errors += o.errors
			r.refused += o.refused
			r.onAffected += o.onAffected
			r.limits += o.limits
			r.ticks += o.ticks
			r.colds += o.colds
			r.bytes = max(r.bytes, o.bytes)
			r.meanBytes += o.meanBytes
			r.p99 = append(r.p99, o.p99...)
		}
		ms := func(q float64) float64 { return float64(r.latency.ValueAtPercentile(q)) / 1000 }
		share := func(n int64) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(r.requests)) }
		between := fmt.Sprintf("%.1f..%.1f", float64(slices.Min(r.p99))/1000, float64(slices.Max(r.p99))/1000)
		fmt.Fprintf(out, "%-5s %-8s %3.0f%% %-10s %8.1f %8.1f %8.1f %17s %7s %7s %9s %5.0f%% %6d %8.0f %6.0f\n", t.size.name, t.kind, 100*t.load, t.policy,
			ms(50), ms(99), ms(99.9), between, share(r.errors), share(r.refused), share(r.onAffected), 100*float64(r.limits)/float64(r.ticks), r.colds, r.bytes, r.meanBytes/float64(seeds))
	}
}
