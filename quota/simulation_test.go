package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	prim "github.com/primrosethread/primrosethread"
)

// This file simulates a fleet around the state machines, with explicit clocks, a
// lossy network, a platform that serves old documents, and processes that freeze,
// restart and are replaced. Times are durations since epoch on the platform's
// clock.

var (
	epoch      = time.Unix(1_000_000_000, 0).UTC()
	testTiming = Timing{HostChangeDelay: 16 * time.Second, ClockMargin: 1500 * time.Millisecond, LeaseTerm: 2 * time.Second}
	testKey    = key{"c", "s"}
)

const testTick = 250 * time.Millisecond

// hostEntry is the history of one entry of the host list. leaving and until are
// zero until the host is marked as leaving or lost.
type hostEntry struct {
	name                  prim.HostName
	address               netip.AddrPort
	since, leaving, until time.Duration
}

type allowanceVersion struct {
	at    time.Duration
	quota quota
}

type event struct {
	at      time.Duration
	process *process
	run     func()
}

// process is one instance of a node.
type process struct {
	sim              *fleetSim
	config           Config
	start            time.Duration
	skew             time.Duration // offset of the wall clock
	drift            float64       // relative rate error of the monotonic clock
	frozen           time.Duration // does not run before this time
	dead             bool
	partition        int // side of the network partition
	lagHosts         time.Duration
	lagLists         time.Duration
	disconnected     bool // gets no documents from the platform
	hostsAsOf        time.Duration
	listsAsOf        time.Duration
	view             *prim.View
	lender           *lender
	borrower         *borrower
	calls            float64 // per tick
	pendingCalls     float64
	handOverSent     bool
	equalSplit       *rate.Limiter // baseline for comparison, gets the same calls
	equalSplitGrants int
}

type fleetSim struct {
	now               time.Duration
	queue             []event // ordered by time
	rnd               *rand.Rand
	processes         []*process
	entries           []hostEntry
	serviceSince      time.Duration // Since of the service
	allowances        []allowanceVersion
	grants            []time.Duration
	loss, duplication float64
	delay             time.Duration // maximum; most messages are far faster
	messages          int
	bytes             int
}

func newFleetSim(seed uint64, hosts int, allowance quota) *fleetSim {
	sim := &fleetSim{now: 3 * testTiming.HostChangeDelay, rnd: rand.New(rand.NewPCG(seed, 1))}
	sim.allowances = []allowanceVersion{{0, allowance}}
	for range hosts {
		sim.addHost("", 0)
	}
	return sim
}

// addHost adds a host with a new address to the host list, under a new name if
// name is empty.
func (sim *fleetSim) addHost(name prim.HostName, since time.Duration) hostEntry {
	n := len(sim.entries)
	if name == "" {
		name = prim.HostName(fmt.Sprintf("h%d", n))
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 80)
	sim.entries = append(sim.entries, hostEntry{name: name, address: address, since: since})
	return sim.entries[n]
}

func (sim *fleetSim) schedule(d time.Duration, p *process, run func()) {
	i, _ := slices.BinarySearchFunc(sim.queue, d, func(e event, d time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, d), -1) // after events of the same time
	})
	sim.queue = slices.Insert(sim.queue, i, event{d, p, run})
}

// run executes the events until the time end. Events of a frozen process are
// delayed until it continues, those of a dead process are dropped.
func (sim *fleetSim) run(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = max(sim.now, e.at)
		switch {
		case e.process.dead:
		case e.process.frozen > e.at:
			sim.schedule(e.process.frozen, e.process, e.run)
		default:
			e.run()
		}
	}
	sim.now = end
}

// hostsAt returns the host list at a time. Entries of lost hosts are removed as
// early as docs/design.md allows.
func (sim *fleetSim) hostsAt(x time.Duration) (l prim.Hosts, version uint64) {
	l.Services = []prim.ServiceEntry{{Name: "s", Since: epoch}}
	if sim.serviceSince > 0 && sim.serviceSince <= x {
		l.Services[0].Since = epoch.Add(sim.serviceSince)
	}
	for _, e := range sim.entries {
		h := prim.Host{Name: e.name, Address: e.address, Service: "s", DataCentre: "d", State: prim.HostLive, Since: epoch.Add(e.since)}
		if e.since > x {
			continue
		}
		version++
		if e.leaving > 0 && e.leaving <= x {
			version++
			h.State = prim.HostLeaving
		}
		if e.until > 0 && e.until <= x {
			version++
			h.State, h.Until = prim.HostLost, epoch.Add(e.until)
			if e.until+testTiming.HostChangeDelay <= x {
				version++
				continue
			}
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, version
}

func (sim *fleetSim) allowanceAt(x time.Duration) (a quota, version uint64) {
	for i, v := range sim.allowances {
		if v.at <= x {
			a, version = v.quota, uint64(i+1)
		}
	}
	return a, version
}

func (sim *fleetSim) viewAt(hosts, lists time.Duration) *prim.View {
	h, hv := sim.hostsAt(hosts)
	a, lv := sim.allowanceAt(lists)
	return prim.NewView(prim.ViewConfig{
		Hosts:       h,
		Plans:       prim.Plans{Customers: []prim.CustomerEntry{{Name: "c", Plan: "p"}}},
		Allowances:  prim.Allowances{Plans: []prim.Plan{{Name: "p", Allowances: []prim.Allowance{{Service: "s", Rate: a.rate, Burst: a.burst}}}}},
		DataCentres: prim.DataCentres{DataCentres: []prim.DataCentreEntry{{Name: "d", InService: true}}},
		Digests: map[string]prim.Digest{
			prim.NameHosts:      {Version: hv, Issued: epoch.Add(hosts)},
			prim.NamePlans:      {Version: 1, Issued: epoch.Add(lists)},
			prim.NameAllowances: {Version: lv, Issued: epoch.Add(lists)},
		},
	})
}

// startProcess starts an instance with documents that are lag old.
func (sim *fleetSim) startProcess(e hostEntry, skew, lag time.Duration, calls float64) *process {
	p := &process{sim: sim, start: sim.now, skew: skew, calls: calls, hostsAsOf: sim.now - lag, listsAsOf: sim.now - lag, lagHosts: lag, lagLists: lag}
	p.drift = (sim.rnd.Float64() - 0.5) / 1000
	p.config = Config{Self: e.name, Address: e.address, DataCentre: "d", Instance: prim.Instance(len(sim.processes) + 1), Timing: testTiming}
	p.lender, p.borrower = newLender(&p.config, p.clock()), newBorrower(&p.config)
	p.view = sim.viewAt(p.hostsAsOf, p.listsAsOf)
	sim.processes = append(sim.processes, p)
	sim.schedule(sim.now+time.Duration(sim.rnd.Int64N(int64(testTick))), p, p.tick)
	return p
}

func (p *process) clock() clockReading {
	mono := time.Duration(float64(p.sim.now-p.start) * (1 + p.drift))
	return clockReading{mono: mono, wall: epoch.Add(p.sim.now + p.skew)}
}

func (p *process) take() {
	if p.equalSplit != nil && p.equalSplit.AllowN(epoch.Add(p.sim.now), 1) {
		p.equalSplitGrants++
	}
	if p.borrower.take(p.clock(), p.view, testKey, false).granted {
		p.sim.grants = append(p.sim.grants, p.sim.now)
	}
}

// tick reads the documents, sends the requests that are due and schedules the
// calls until the next tick.
func (p *process) tick() {
	sim := p.sim
	sim.schedule(sim.now+testTick, p, p.tick)
	if hosts, lists := max(p.hostsAsOf, sim.now-p.lagHosts), max(p.listsAsOf, sim.now-p.lagLists); !p.disconnected && (hosts > p.hostsAsOf || lists > p.listsAsOf) {
		p.hostsAsOf, p.listsAsOf = hosts, lists
		p.view = sim.viewAt(hosts, lists)
	}
	p.planRequests()
	if !p.handOverSent && len(p.lender.held) > 0 && p.lender.isLeaving(p.view) {
		p.handOver()
	}
	p.pendingCalls += p.calls
	for ; p.pendingCalls >= 1; p.pendingCalls-- {
		sim.schedule(sim.now+time.Duration(sim.rnd.Int64N(int64(testTick))), p, p.take)
	}
}

func (p *process) planRequests() {
	for _, b := range planRequests(p.clock(), p.view, p.lender, p.borrower) {
		pending := true
		finish := func(a *leaseResponse, failed bool) {
			if pending {
				pending = false
				p.borrower.handleResponse(p.clock(), &b, a, failed)
			}
		}
		var response leaseResponse
		p.send(b.to, KindLeaseRequest, &b.request, func(to *process, m prim.Message) any {
			var a leaseRequest
			must(decode(m, KindLeaseRequest, &a))
			response := to.lender.grantLeases(to.clock(), to.view, p.config.Self, &a)
			return &response
		}, &response, func() { finish(&response, false) })
		p.sim.schedule(p.sim.now+testTiming.LeaseTerm/4, p, func() { finish(nil, true) })
	}
}

// handOver hands the slots over as AllowanceLimiter.HandOver does.
func (p *process) handOver() {
	candidates := p.lender.handOverCandidates(p.view, "d")
	if len(candidates) == 0 {
		return
	}
	to := candidates[p.sim.rnd.IntN(len(candidates))]
	accept := func(to *process, m prim.Message) any {
		var h handOverRequest
		must(decode(m, KindSlotHandOver, &h))
		response := to.lender.acceptSlots(to.clock(), to.view, &h)
		return &response
	}
	var a, done handOverResponse
	p.send(to, KindSlotHandOver, &handOverRequest{Service: "s"}, accept, &a, func() {
		if !a.Accepted || p.handOverSent {
			return
		}
		p.handOverSent = true
		h := handOverRequest{Instance: a.Instance, Service: "s", Slots: p.lender.releaseSlots()}
		for i := range 4 { // repeats go to the same name, even if another host has it by then
			p.sim.schedule(p.sim.now+time.Duration(i)*testTiming.LeaseTerm, p, func() {
				p.send(to, KindSlotHandOver, &h, accept, &done, func() {})
			})
		}
	})
}

// send delivers a message to a process with the name to, and the response to it,
// subject to loss, delay, duplication and partitions.
func (p *process) send(to prim.HostName, k prim.Kind, body any, handle func(*process, prim.Message) any, response any, done func()) {
	sim := p.sim
	m, err := encode(k, body)
	must(err)
	copies := 1
	if sim.rnd.Float64() < sim.duplication {
		copies = 2
	}
	for range copies {
		sim.schedule(sim.now+sim.latency(), &process{sim: sim}, func() {
			var receivers []*process
			for _, q := range sim.processes {
				if q.config.Self == to && !q.dead && q.partition == p.partition {
					receivers = append(receivers, q)
				}
			}
			if len(receivers) == 0 || sim.rnd.Float64() < sim.loss {
				return
			}
			q := receivers[sim.rnd.IntN(len(receivers))]
			sim.schedule(sim.now, q, func() {
				back, err := encode(k, handle(q, m))
				must(err)
				sim.messages += 2
				sim.bytes += len(m.Body) + len(back.Body)
				sim.schedule(sim.now+sim.latency(), p, func() {
					if p.partition == q.partition && sim.rnd.Float64() >= sim.loss {
						must(decode(back, k, response))
						done()
					}
				})
			})
		})
	}
}

func (sim *fleetSim) latency() time.Duration {
	if sim.rnd.IntN(8) == 0 {
		return time.Duration(sim.rnd.Int64N(int64(sim.delay) + 1))
	}
	return time.Duration(sim.rnd.Int64N(int64(5*time.Millisecond))) + time.Microsecond
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// check returns the first violation of the bound. For each sequence of successive
// versions of the allowance it checks the grants at the times at which no other
// version is in use.
func (sim *fleetSim) check() error {
	for i := range sim.allowances {
		var most quota
		for j := i; j < len(sim.allowances); j++ {
			most.rate = max(most.rate, sim.allowances[j].quota.rate)
			most.burst = max(most.burst, sim.allowances[j].quota.burst)
			from, to := sim.allowances[i].at+testTiming.HostChangeDelay, time.Duration(1<<62)
			if i == 0 {
				from = 0
			}
			if j+1 < len(sim.allowances) {
				to = sim.allowances[j+1].at
			}
			tokens, last := most.burst, time.Duration(0)
			for _, g := range sim.grants {
				if g < from || g >= to {
					continue
				}
				// Monotonic clocks run fast by up to 500 parts in a million.
				tokens = min(most.burst, tokens+most.rate*1.0005*(g-last).Seconds()) - 1
				last = g
				if tokens < -1e-6 {
					return fmt.Errorf("at %s the grants exceed rate %g, burst %g by %g", g, most.rate, most.burst, -tokens)
				}
			}
		}
	}
	return nil
}
