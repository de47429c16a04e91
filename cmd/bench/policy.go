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

// The policy measurement is a discrete-event simulation on a virtual clock: it runs
// the real policies, admission gates and probers against modelled servers. Each
// server's host has one node, and every node is ingress for an equal share of the
// requests, whose arrivals are Poisson. A seed fixes the arrivals and the work of each
// request, so that all policies get the same requests.
//
// A refused request goes to another host immediately. When all hosts have refused it,
// it waits 5 to 10 ms and tries all of them again. No retry budget limits the attempts.

// Parameters of the model.
const (
	meanServiceTime     = 10 * time.Millisecond
	serviceTimeSigma    = 0.5 // of the lognormal service time
	sameDataCentreDelay = 200 * time.Microsecond
	requestTimeout      = 2 * time.Second
	warmUpTime          = 2 * time.Second // not recorded; the fault starts at its end
	fastFailureTime     = time.Millisecond
	coldSlowdown        = 8  // factor on the service time of a cold server; it falls with completed requests
	coldDecayRequests   = 50 // completed requests after which the extra time has fallen to 1/e
	coldInterval        = 4 * time.Second
	affectedHost        = 0 // the host with the fault
)

type deployment struct {
	name           string
	servers, slots int
	oneWay         time.Duration
}

var deployments = []deployment{
	{"7x9", 7, 9, 3 * time.Millisecond},
	{"10x6", 10, 6, 5 * time.Millisecond},
}

var caseNames = []string{"healthy", "slow", "failfast", "cold", "noisy"}

// trial is one run of a policy in a case.
type trial struct {
	deployment deployment
	caseName   string
	load       float64
	policy     string
	seed       uint64
	length     time.Duration
	fixedLimit bool // the limit stays at the published number of slots
}

// result holds the measurements of a trial after the warm-up.
type result struct {
	latency                               *hdrhistogram.Histogram // microseconds
	requests, errors, refused, onAffected int64
	maxProbeBytes, meanProbeBytes         float64 // bytes a second of load measurement: maximum and mean of the nodes
	p99                                   []int64 // for each seed, in microseconds
	// limitSum / slotSum is the mean limit of the hosts without a fault, as a share of
	// their slots. coldSigns counts how often the gates of these hosts found their
	// server cold.
	limitSum, slotSum, coldSigns int64
}

// call is a request in progress.
type call struct {
	request prim.Request
	ingress int
	start   time.Duration
	work    time.Duration // service time at full speed
	refused []bool        // by host, in this round of attempts
	sent    time.Duration
	host    int
	ticket  *admit.Ticket
}

// server is a modelled server together with the node on its host.
type server struct {
	name   prim.HostName
	gate   *admit.Gate
	prober *probe.Prober
	policy prim.Policy
	// pending is the number of this node's unanswered dispatches to each host.
	pending            []int
	costs              []time.Duration
	running            int
	completedSinceCold float64 // number of requests
	link               *link
	speedRand          *rand.Rand
	speedPhases        []speedPhase // of a noisy host
}

// speedPhase is a period in which a noisy server has a constant speed.
type speedPhase struct {
	end   time.Duration
	speed float64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// model is the state of a trial.
type model struct {
	trial
	result
	now            time.Duration
	seq            uint64
	queue          eventQueue
	servers        []*server
	hosts          []*prim.Host
	indexByName    map[prim.HostName]int
	arrivalRand    *rand.Rand
	networkRand    *rand.Rand
	waitingCalls   map[*admit.Ticket]*call
	candidates     []prim.Candidate
	candidateHosts []int
}

var epoch = time.Unix(1e9, 0)

func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, do})
}

// link implements prim.Transport between the modelled nodes.
type link struct {
	model    *model
	from     int
	handlers map[prim.Kind]prim.Handler
}

func (l *link) Handle(k prim.Kind, h prim.Handler) { l.handlers[k] = h }

func (l *link) Ask(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
	return prim.Message{}, fmt.Errorf("bench: the modelled transport has no Ask; use Tell")
}

func (l *link) Tell(ctx context.Context, to prim.HostName, msg prim.Message) error {
	m := l.model
	i := m.indexByName[to]
	m.schedule(m.delay(l.from, i), func() {
		// Handlers only fail on messages that the model never sends.
		_, _ = m.servers[i].link.handlers[msg.Kind](ctx, m.servers[l.from].name, msg)
	})
	return nil
}

// delay returns a one-way network delay with jitter.
func (m *model) delay(from, to int) time.Duration {
	c := m.servers[from].costs[to]
	return c + time.Duration(m.networkRand.ExpFloat64()*0.05*float64(c))
}

func newModel(t trial) (*model, error) {
	m := &model{trial: t, indexByName: make(map[prim.HostName]int), waitingCalls: make(map[*admit.Ticket]*call)}
	m.latency = hdrhistogram.New(1, 60_000_000, 3)
	m.arrivalRand = rand.New(rand.NewPCG(t.seed, 1))
	m.networkRand = rand.New(rand.NewPCG(t.seed, 2))
	for i := range t.deployment.servers {
		n := prim.HostName(fmt.Sprintf("host-%02d", i))
		m.indexByName[n] = i
		m.hosts = append(m.hosts, &prim.Host{Name: n, DataCentre: prim.DataCentre(strconv.Itoa(i % 3))})
	}
	for i, h := range m.hosts {
		if err := m.addServer(i, h.Name); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *model) addServer(i int, n prim.HostName) error {
	s := &server{name: n, pending: make([]int, m.deployment.servers), completedSinceCold: math.Inf(1)}
	s.speedRand = rand.New(rand.NewPCG(m.seed, 100+uint64(i)))
	coldCap := 1
	if m.fixedLimit {
		coldCap = m.deployment.slots
	}
	s.gate = admit.NewGate(admit.Config{Host: n, PublishedSlots: m.deployment.slots, ColdCap: coldCap, OnCold: func(string) {
		if m.now >= warmUpTime && (i != affectedHost || m.caseName == "healthy" || m.caseName == "noisy") {
			m.coldSigns++
		}
	}}, m.clock())
	choose := rand.New(rand.NewPCG(m.seed, 200+uint64(i)))
	var err error
	s.policy, err = route.New(m.policy, route.Config{Rand: choose.IntN, Pool: route.PoolConfig{Now: m.clock}})
	if err != nil {
		return err
	}
	stale := func(int, time.Duration) []prim.HostName { return nil }
	if p, ok := s.policy.(*route.Pool); ok {
		stale = p.Stale
	}
	s.link = &link{m, i, make(map[prim.Kind]prim.Handler)}
	s.prober, err = probe.New(probe.Config{
		Transport: s.link,
		Stale:     stale,
		Observe:   s.policy.Observe,
		Sample:    func() prim.LoadSample { return s.gate.Sample(m.clock()) },
		Now:       m.clock,
	})
	for j := range m.hosts {
		switch {
		case i == j:
			s.costs = append(s.costs, 0)
		case i%3 == j%3:
			s.costs = append(s.costs, sameDataCentreDelay)
		default:
			s.costs = append(s.costs, m.deployment.oneWay)
		}
	}
	m.servers = append(m.servers, s)
	return err
}

// run executes the trial.
func (m *model) run() result {
	m.schedule(0, m.arrive)
	m.schedule(0, m.tick)
	end := warmUpTime + m.length
	if m.caseName == "cold" {
		for at := warmUpTime; at < end; at += coldInterval {
			m.schedule(at, func() { m.servers[affectedHost].completedSinceCold = 0 })
		}
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	for _, s := range m.servers {
		b, _ := s.prober.Cost()
		rate := float64(b) / m.now.Seconds()
		m.maxProbeBytes = max(m.maxProbeBytes, rate)
		m.meanProbeBytes += rate / float64(len(m.servers))
	}
	m.p99 = []int64{m.latency.ValueAtPercentile(99)}
	return m.result
}

// tick does the periodic work that goroutines of the packages do in a real node.
func (m *model) tick() {
	for i, s := range m.servers {
		s.gate.Tick(m.clock())
		if i != affectedHost && m.now >= warmUpTime {
			m.limitSum += int64(s.gate.Sample(m.clock()).Limit)
			m.slotSum += int64(m.deployment.slots)
		}
		m.handleDecisions(s)
		for _, h := range s.prober.Due(4) {
			_ = s.link.Tell(context.Background(), h, prim.Message{Kind: probe.KindProbe})
		}
	}
	if m.now < warmUpTime+m.length+requestTimeout {
		m.schedule(admit.TickInterval, m.tick)
	}
}

func (m *model) arrive() {
	if m.now >= warmUpTime+m.length {
		return
	}
	n := m.deployment.servers
	rate := m.load * float64(n*m.deployment.slots) / meanServiceTime.Seconds()
	work := math.Exp(m.arrivalRand.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	c := &call{
		ingress: m.arrivalRand.IntN(n),
		start:   m.now,
		work:    time.Duration(work * float64(meanServiceTime)),
		refused: make([]bool, n),
	}
	customer := m.arrivalRand.IntN(20)
	c.request = prim.Request{Customer: prim.Customer(strconv.Itoa(customer)), Deadline: m.clock().Add(requestTimeout)}
	m.schedule(time.Duration(m.arrivalRand.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	m.dispatch(c)
}

// dispatch sends the call to a host that has not refused it in this round.
func (m *model) dispatch(c *call) {
	if !c.request.Deadline.After(m.clock()) {
		m.finish(c, true)
		return
	}
	in := m.servers[c.ingress]
	m.candidates, m.candidateHosts = m.candidates[:0], m.candidateHosts[:0]
	for i, h := range m.hosts {
		if !c.refused[i] {
			m.candidates = append(m.candidates, prim.Candidate{Host: h, Cost: in.costs[i], Pending: in.pending[i]})
			m.candidateHosts = append(m.candidateHosts, i)
		}
	}
	if len(m.candidates) == 0 {
		clear(c.refused)
		m.schedule(5*time.Millisecond+time.Duration(m.networkRand.Int64N(int64(5*time.Millisecond))), func() { m.dispatch(c) })
		return
	}
	c.host = m.candidateHosts[in.policy.Pick("service", m.candidates)]
	c.sent = m.now
	in.pending[c.host]++
	m.schedule(m.delay(c.ingress, c.host), func() { m.offer(c) })
}

func (m *model) offer(c *call) {
	s := m.servers[c.host]
	c.ticket = &admit.Ticket{Request: &c.request}
	s.gate.Offer(m.clock(), c.ticket)
	m.waitingCalls[c.ticket] = c
	if c.ticket.State != admit.Waiting {
		m.handleDecision(s, c.ticket)
	}
	m.handleDecisions(s)
}

func (m *model) handleDecisions(s *server) {
	for _, t := range s.gate.Decided() {
		m.handleDecision(s, t)
	}
}

// handleDecision starts an admitted request or sends back the refusal.
func (m *model) handleDecision(s *server, t *admit.Ticket) {
	c := m.waitingCalls[t]
	delete(m.waitingCalls, t)
	if t.State == admit.Refused {
		m.sendAnswer(c, prim.Attempt{Host: s.name, Outcome: prim.NotRun}, s)
		return
	}
	s.running++
	took, failed := m.serviceTime(s, c)
	m.schedule(took, func() {
		s.running--
		s.completedSinceCold++
		a := prim.Attempt{Host: s.name, Latency: took, Outcome: prim.Done, Failed: failed}
		s.gate.Done(m.clock(), t, a)
		m.sendAnswer(c, a, s)
		m.handleDecisions(s)
	})
}

// serviceTime returns how long the server takes for a request and whether it fails.
func (m *model) serviceTime(s *server, c *call) (took time.Duration, failed bool) {
	faulty := s == m.servers[affectedHost] && m.now >= warmUpTime
	if s == m.servers[affectedHost] && c.start >= warmUpTime {
		m.onAffected++
	}
	switch {
	case m.caseName == "noisy":
		return m.noisyServiceTime(s, c.work), false
	case m.caseName == "slow" && faulty:
		return 10 * c.work, false
	case m.caseName == "failfast" && faulty:
		return fastFailureTime, true
	case m.caseName == "cold" && faulty:
		// A cold server is slower, and slower still while it runs more than one
		// request plus one for each ten that it has completed.
		f := 1 + (coldSlowdown-1)*math.Exp(-s.completedSinceCold/coldDecayRequests)
		f *= max(1, float64(s.running)/(1+s.completedSinceCold/10))
		return time.Duration(f * float64(c.work)), false
	}
	return c.work, false
}

// noisyServiceTime returns the service time at a speed that changes every 2 to 20 ms.
func (m *model) noisyServiceTime(s *server, work time.Duration) time.Duration {
	at, left := m.now, float64(work)
	for len(s.speedPhases) > 0 && s.speedPhases[0].end <= at {
		s.speedPhases = s.speedPhases[1:]
	}
	for i := 0; ; i++ {
		if i == len(s.speedPhases) {
			from := at
			length := 2*time.Millisecond + time.Duration(s.speedRand.Int64N(int64(18*time.Millisecond)))
			speed := [...]float64{0.2, 0.6, 1.4, 1.8}[s.speedRand.IntN(4)]
			s.speedPhases = append(s.speedPhases, speedPhase{from + length, speed})
		}
		p := s.speedPhases[i]
		if most := p.speed * float64(p.end-at); left > most {
			left -= most
			at = p.end
			continue
		}
		return at + time.Duration(left/p.speed) - m.now
	}
}

// sendAnswer sends the result of an attempt to the ingress node, with a load sample
// if the prober's byte budget allows it.
func (m *model) sendAnswer(c *call, a prim.Attempt, s *server) {
	sample := s.gate.Sample(m.clock())
	local := s == m.servers[c.ingress]
	carried := local
	if !local {
		sample, carried = s.prober.ChargeSent(sample)
	}
	m.schedule(m.delay(c.host, c.ingress), func() {
		in := m.servers[c.ingress]
		in.pending[c.host]--
		if carried && !local {
			sample, carried = in.prober.ChargeReceived(s.name, sample)
		}
		if carried {
			in.policy.Observe(sample)
		}
		in.policy.AttemptFinished(a)
		if a.Outcome != prim.NotRun {
			m.finish(c, a.Failed)
			return
		}
		if c.start >= warmUpTime {
			m.refused++
		}
		c.refused[c.host] = true
		m.dispatch(c)
	})
}

func (m *model) finish(c *call, failed bool) {
	if c.start < warmUpTime {
		return
	}
	m.requests++
	if failed {
		m.errors++
		return
	}
	// The range of the histogram exceeds the timeout, so recording cannot fail.
	_ = m.latency.RecordValue(max(1, (m.now - c.start).Microseconds()))
}

// runPolicy compares the policies of package route.
func runPolicy(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("policy", flag.ContinueOnError)
	seeds := fs.Int("seeds", 5, "number of seeds")
	first := fs.Uint64("seed", 1, "first seed")
	length := fs.Duration("length", 10*time.Second, "virtual time of a trial after the warm-up")
	loads := fs.String("loads", "0.5,0.7,0.9", "offered loads as shares of the capacity")
	cases := fs.String("cases", strings.Join(caseNames, ","), "cases to run")
	names := fs.String("policies", strings.Join(route.Names[:], ","), "policies to compare")
	fixed := fs.Bool("fixed", false, "keep each limit at the published number of slots instead of adapting it")
	workers := fs.Int("workers", min(4, runtime.NumCPU()), "number of concurrent trials")
	if err := fs.Parse(args); err != nil {
		return err
	}
	var trials []trial
	for _, d := range deployments {
		for _, k := range strings.Split(*cases, ",") {
			if !slices.Contains(caseNames, k) {
				return fmt.Errorf("policy: unknown case %q; use a list of %s", k, strings.Join(caseNames, ","))
			}
			for _, l := range strings.Split(*loads, ",") {
				load, err := strconv.ParseFloat(l, 64)
				if err != nil || load <= 0 || load > 2 {
					return fmt.Errorf("policy: load %q is not a share of the capacity between 0 and 2; use one such as 0.7", l)
				}
				for _, p := range strings.Split(*names, ",") {
					for s := range uint64(*seeds) {
						trials = append(trials, trial{d, k, load, p, *first + s, *length, *fixed})
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
			m, err := newModel(t)
			if err != nil {
				return err
			}
			results[i] = m.run()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	printPolicy(os.Stdout, trials, results, *seeds)
	return nil
}

// printPolicy prints one line for each policy in a case, with all seeds merged.
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
			r.limitSum += o.limitSum
			r.slotSum += o.slotSum
			r.coldSigns += o.coldSigns
			r.maxProbeBytes = max(r.maxProbeBytes, o.maxProbeBytes)
			r.meanProbeBytes += o.meanProbeBytes
			r.p99 = append(r.p99, o.p99...)
		}
		quantileMs := func(q float64) float64 { return float64(r.latency.ValueAtPercentile(q)) / 1000 }
		share := func(n int64) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(r.requests)) }
		p99Range := fmt.Sprintf("%.1f..%.1f", float64(slices.Min(r.p99))/1000, float64(slices.Max(r.p99))/1000)
		fmt.Fprintf(out, "%-5s %-8s %3.0f%% %-10s %8.1f %8.1f %8.1f %17s %7s %7s %9s %5.0f%% %6d %8.0f %6.0f\n", t.deployment.name, t.caseName, 100*t.load, t.policy,
			quantileMs(50), quantileMs(99), quantileMs(99.9), p99Range, share(r.errors), share(r.refused), share(r.onAffected), 100*float64(r.limitSum)/float64(r.slotSum), r.coldSigns, r.maxProbeBytes, r.meanProbeBytes/float64(seeds))
	}
}
