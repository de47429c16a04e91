package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// frozen is longer than every deadline of the load and than the bound on pauses.
const frozen = deadline + time.Second

// resource is what two faults at once must not both use.
type resource uint8

const (
	hosts     resource = iota // single hosts, which are claimed
	links                     // links between many nodes
	documents                 // published documents, and the platform that spreads them
	whole                     // the whole fleet: never in a pair
)

// fault is one row of the table. Its plan claims hosts and returns what is done
// to them; plans of two faults at once are made one after the other.
type fault struct {
	name string
	uses resource
	plan func(w *world, random *rand.Rand) func(ctx context.Context)
}

var faults = []fault{
	{"node killed", hosts, nodeKilled},
	{"server killed", hosts, serverKilled},
	{"node frozen", hosts, freeze(true, false)},
	{"server frozen", hosts, freeze(false, true)},
	{"node and server frozen", hosts, freeze(true, true)},
	{"node cut off", links, separate(1, relayFault{cut: true})},
	{"pair of nodes cut", links, cutPair},
	{"links of a node held", links, separate(1, relayFault{hold: true})},
	{"links of three nodes slow", links, separate(3, relayFault{delay: 40 * time.Millisecond})},
	{"data centres cut from each other", links, cutCentre},
	{"platform down", documents, platform(`{"Down":true}`, `{"Down":false}`)},
	{"platform slow", documents, platform(`{"SlowMs":400}`, `{"SlowMs":0}`)},
	{"platform stale", documents, platformStale},
	{"malformed document", documents, malformed},
	{"allowance lowered", documents, allowanceLowered},
	{"host leaves, is removed and replaced", documents, hostReplaced},
	{"planned stop of each node", whole, plannedStops},
	{"data centre out and back", documents, centreOut},
	{"host out and back", documents, hostOut},
	{"server drained", hosts, serverFault(`{"Drain":true}`, `{"Drain":false}`)},
	{"server cold", hosts, serverFault(`{"Cold":true}`, `{"Cold":false}`)},
	{"server restarted in place", hosts, serverFault(`{"Restart":true}`, `{"Restart":false}`)},
	{"server slow", hosts, serverFault(`{"Slow":10}`, `{"Slow":1}`)},
	{"server fails fast", hosts, serverFault(`{"FailFast":1}`, `{"FailFast":0}`)},
	{"answers cut", hosts, serverFault(`{"Cut":0.3}`, `{"Cut":0}`)},
	{"long answers, some cut", hosts, longAnswers},
	{"load reports wrong", hosts, serverFault(`{"Mislead":1}`, `{"Mislead":0}`)},
}

// compatible reports whether two faults may happen at once. Two that use the
// same resource would undo each other's work; hosts are claimed one by one.
func compatible(a, b resource) bool {
	return a != whole && b != whole && (a != b || a == hosts)
}

// steps draws the order of the faults and which of them happen at once: every
// fourth step is a single fault, the others are pairs while any fits.
func steps(random *rand.Rand) [][]fault {
	only := regexp.MustCompile(*onlyFlag)
	var left []fault
	for _, i := range random.Perm(len(faults)) {
		if only.MatchString(faults[i].name) {
			left = append(left, faults[i])
		}
	}
	var out [][]fault
	for len(left) > 0 {
		step := left[:1:1]
		left = left[1:]
		if len(out)%4 > 0 {
			if i := slices.IndexFunc(left, func(f fault) bool { return compatible(f.uses, step[0].uses) }); i >= 0 {
				step = append(step, left[i])
				left = slices.Delete(left, i, i+1)
			}
		}
		out = append(out, step)
	}
	return out
}

// run makes every step and waits for its end.
func (w *world) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for _, step := range steps(random) {
		var names []string
		var acts sync.WaitGroup
		var plans []func(ctx context.Context)
		// A data centre needs all its hosts, so it is claimed before single ones.
		slices.SortFunc(step, func(a, b fault) int { return int(b.uses) - int(a.uses) })
		for _, f := range step {
			names = append(names, f.name)
			plans = append(plans, f.plan(w, random))
		}
		w.t.Logf("%6.1fs %s", time.Since(w.began).Seconds(), strings.Join(names, " + "))
		for _, p := range plans {
			late := time.Duration(random.IntN(400)) * time.Millisecond
			acts.Go(func() {
				if pause(ctx, late) {
					p(ctx)
				}
			})
		}
		acts.Wait()
		if ctx.Err() != nil {
			w.t.Errorf("steps ended early: %v", context.Cause(ctx))
			return
		}
	}
}

// note logs which hosts a fault hits.
func (w *world) note(hs ...*fleet.Host) {
	for _, h := range hs {
		w.t.Logf("        host %s in %s", h.Place.Host, h.DataCentre)
	}
}

// restart starts a node that has ended and waits until it serves.
func (w *world) restart(ctx context.Context, h *fleet.Host) {
	if err := w.f.StartNode(h); err != nil {
		w.t.Error(err)
		return
	}
	if err := w.f.WaitReady(ctx, h); err != nil {
		w.t.Error(err)
	}
}

// crowd fills a host with slow requests, so that a fault that follows meets work
// in flight whose callers then repeat it under the same key. The function waits
// for their ends.
func (w *world) crowd(ctx context.Context, h *fleet.Host) (wait func()) {
	w.fault(ctx, h.Control, `{"Slow":40}`)
	var own sync.WaitGroup
	for i := range 32 {
		for j := range w.d.calls {
			c := &w.d.calls[j]
			if c.service != h.Service || c.idempotent {
				continue
			}
			r := &record{call: c, customer: &w.d.customers[i%2], id: uuid7()}
			if c.keyed {
				r.key = uuid7()
			}
			w.load.mu.Lock()
			r.ingress = w.load.ingress(w.load.random, h)
			w.load.mu.Unlock()
			own.Go(func() { w.load.send(ctx, r) })
		}
	}
	pause(ctx, 100*time.Millisecond)
	return func() {
		w.fault(ctx, h.Control, `{"Slow":1}`)
		own.Wait()
	}
}

func nodeKilled(w *world, random *rand.Rand) func(ctx context.Context) {
	hs, release := w.claim(random, 1)
	pauseFor := time.Duration(random.IntN(1000)) * time.Millisecond
	return func(ctx context.Context) {
		defer release()
		h := hs[0]
		w.note(h)
		defer w.during(&w.spans.killed, h)()
		defer w.unreachable(h)()
		defer w.crowd(ctx, h)()
		h.Node.Kill()
		<-h.Node.Ended()
		pause(ctx, pauseFor)
		w.restart(ctx, h)
	}
}

func serverKilled(w *world, random *rand.Rand) func(ctx context.Context) {
	hs, release := w.claim(random, 1)
	pauseFor := time.Duration(random.IntN(1000)) * time.Millisecond
	return func(ctx context.Context) {
		defer release()
		h := hs[0]
		w.note(h)
		wait := w.crowd(ctx, h)
		h.ServerOf.Kill()
		<-h.ServerOf.Ended()
		pause(ctx, pauseFor)
		if err := w.f.StartServer(h); err != nil {
			w.t.Error(err)
			return
		}
		if err := w.f.WaitReady(ctx, h); err != nil {
			w.t.Error(err)
		}
		pause(ctx, time.Second)
		wait()
	}
}

func freeze(node, server bool) func(w *world, random *rand.Rand) func(ctx context.Context) {
	return func(w *world, random *rand.Rand) func(ctx context.Context) {
		hs, release := w.claim(random, 1)
		return func(ctx context.Context) {
			defer release()
			h := hs[0]
			w.note(h)
			defer w.unreachable(h)()
			wait := w.crowd(ctx, h)
			if node {
				h.Node.Freeze()
			}
			if server {
				h.ServerOf.Freeze()
			}
			pause(ctx, frozen)
			h.Node.Thaw()
			h.ServerOf.Thaw()
			wait()
		}
	}
}

// between sets a fault on the links between two hosts, both ways.
func (w *world) between(a, b *fleet.Host, f relayFault) {
	w.relays[a.Place.Host].set(b.Place.Host, f)
	w.relays[b.Place.Host].set(a.Place.Host, f)
}

// separate puts a fault on all links of n nodes.
func separate(n int, f relayFault) func(w *world, random *rand.Rand) func(ctx context.Context) {
	return func(w *world, random *rand.Rand) func(ctx context.Context) {
		hs, release := w.claim(random, n)
		return func(ctx context.Context) {
			defer release()
			w.note(hs...)
			set := func(f relayFault) {
				for _, a := range hs {
					for _, b := range w.f.Hosts {
						if a != b {
							w.between(a, b, f)
						}
					}
				}
			}
			defer w.unreachable(hs...)()
			wait := w.crowd(ctx, hs[0])
			set(f)
			pause(ctx, frozen)
			set(relayFault{})
			wait()
		}
	}
}

func cutPair(w *world, random *rand.Rand) func(ctx context.Context) {
	hs, release := w.claim(random, 2)
	return func(ctx context.Context) {
		defer release()
		w.note(hs...)
		w.between(hs[0], hs[1], relayFault{cut: true})
		pause(ctx, frozen)
		w.between(hs[0], hs[1], relayFault{})
	}
}

// cutCentre cuts one data centre from the others. Its nodes still reach the
// platform, so documents must arrive.
func cutCentre(w *world, random *rand.Rand) func(ctx context.Context) {
	centre := w.d.centres[random.IntN(len(w.d.centres))]
	return func(ctx context.Context) {
		set := func(f relayFault) {
			for i, a := range w.f.Hosts {
				for _, b := range w.f.Hosts[:i] {
					if (a.DataCentre == centre) != (b.DataCentre == centre) {
						w.between(a, b, f)
					}
				}
			}
		}
		w.t.Logf("        data centre %s", centre)
		set(relayFault{cut: true})
		pause(ctx, frozen)
		set(relayFault{})
	}
}

func platform(on, off string) func(w *world, random *rand.Rand) func(ctx context.Context) {
	return func(w *world, random *rand.Rand) func(ctx context.Context) {
		return func(ctx context.Context) {
			for _, a := range w.f.Platforms {
				w.fault(ctx, a, on)
			}
			pause(ctx, frozen)
			for _, a := range w.f.Platforms {
				w.fault(ctx, a, off)
			}
			// What is published after the fault must spread as usual.
			v, at := w.publishDocument(ctx, prim.NamePlans, w.morePlans())
			w.inForce(ctx, prim.NamePlans, v, at)
		}
	}
}

// morePlans returns the customers with one more, so that the document changes.
func (w *world) morePlans() prim.Plans {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := prim.Customer(fmt.Sprintf("new-%d", len(w.plans.Customers)))
	w.plans.Customers = append(slices.Clone(w.plans.Customers), prim.CustomerEntry{
		Name: name, Plan: string(w.d.customers[0].name), Credentials: []string{fleet.Hash(string(name))}})
	return w.plans
}

// platformStale makes the first replica serve what it had, while the other one
// serves a change.
func platformStale(w *world, random *rand.Rand) func(ctx context.Context) {
	return func(ctx context.Context) {
		w.fault(ctx, w.f.Platforms[0], `{"Stale":true}`)
		v, at := w.publishDocument(ctx, prim.NamePlans, w.morePlans())
		w.inForce(ctx, prim.NamePlans, v, at)
		pause(ctx, time.Second)
		w.fault(ctx, w.f.Platforms[0], `{"Stale":false}`)
	}
}

func malformed(w *world, random *rand.Rand) func(ctx context.Context) {
	bad := []struct{ name, body string }{
		{prim.NamePlans, `{"Customers":7}`},
		{prim.NameAllowances, `{"Plans":[{"Name":"trial","Allowances":[{"Service":"","Rate":-1,"Burst":0}]}]}`},
		{prim.NameDataCentres, `{"DataCentres":[{"Name":"","Region":"","InService":"no"}]}`},
		{prim.NameHosts, `[]`},
	}[random.IntN(4)]
	return func(ctx context.Context) {
		w.t.Logf("        document %s", bad.name)
		v, at := w.publish(ctx, bad.name, func() error { return w.f.PublishRaw(bad.name, []byte(bad.body)) })
		w.refused(ctx, bad.name, v, at)
		var good any
		w.mu.Lock()
		switch bad.name {
		case prim.NamePlans:
			good = w.plans
		case prim.NameAllowances:
			good = w.allowed
		case prim.NameDataCentres:
			good = w.centres
		}
		w.mu.Unlock()
		v, at = w.publish(ctx, bad.name, func() error {
			if good == nil {
				return w.f.PublishHosts(func(*prim.Hosts) {})
			}
			return w.f.Publish(bad.name, good)
		})
		w.inForce(ctx, bad.name, v, at)
	}
}

// allowanceLowered lowers what the customer trial may use, waits until the
// limit for changes has passed, and then measures for some seconds.
func allowanceLowered(w *world, random *rand.Rand) func(ctx context.Context) {
	return func(ctx context.Context) {
		low := prim.Allowances{Routes: w.allowed.Routes}
		for _, p := range w.allowed.Plans {
			p.Allowances = slices.Clone(p.Allowances)
			for i := range p.Allowances {
				if p.Name == "trial" {
					p.Allowances[i].Rate, p.Allowances[i].Burst = lowRate, lowRate
				}
			}
			low.Plans = append(low.Plans, p)
		}
		v, at := w.publishDocument(ctx, prim.NameAllowances, low)
		w.inForce(ctx, prim.NameAllowances, v, at)
		// A node that another fault kept from the documents has its own limit.
		w.mu.Lock()
		for _, t := range w.back {
			if t.After(at) {
				at = t
			}
		}
		w.mu.Unlock()
		pause(ctx, time.Until(at.Add(spreadWithin)))
		end := w.during(&w.spans.low)
		pause(ctx, 3*time.Second)
		end()
		v, at = w.publishDocument(ctx, prim.NameAllowances, w.allowed)
		w.inForce(ctx, prim.NameAllowances, v, at)
	}
}

// setState changes the entry of a host.
func (w *world) setState(h *fleet.Host, s prim.HostState) func() error {
	return func() error {
		return w.f.PublishHosts(func(l *prim.Hosts) {
			for i := range l.Hosts {
				if e := &l.Hosts[i]; e.Name == h.Place.Host && e.State != prim.HostLost {
					if e.State = s; s == prim.HostLost {
						e.Until = time.Now().UTC()
					}
				}
			}
		})
	}
}

// hostReplaced sets a host leaving, stops its node, removes it from the list,
// and puts a new host of the same name and address in its place.
func hostReplaced(w *world, random *rand.Rand) func(ctx context.Context) {
	hs, release := w.claim(random, 1)
	return func(ctx context.Context) {
		defer release()
		h := hs[0]
		w.note(h)
		v, at := w.publish(ctx, prim.NameHosts, w.setState(h, prim.HostLeaving))
		end := w.during(&w.spans.out, h)
		w.inForce(ctx, prim.NameHosts, v, at)
		pause(ctx, time.Until(at.Add(stopsWithin+time.Second)))
		again := w.load.avoid(h)
		away := w.unreachable(h)
		w.stop(ctx, h)
		v, at = w.publish(ctx, prim.NameHosts, w.setState(h, prim.HostLost))
		w.mu.Lock()
		w.gone[h] = true
		w.mu.Unlock()
		w.inForce(ctx, prim.NameHosts, v, at)
		h.ServerOf.Stop()
		<-h.ServerOf.Ended()

		end()
		w.mu.Lock()
		delete(w.gone, h)
		w.mu.Unlock()
		v, at = w.publish(ctx, prim.NameHosts, func() error {
			return w.f.PublishHosts(func(l *prim.Hosts) {
				for _, e := range l.Hosts {
					if e.Name == h.Place.Host {
						e.State, e.Since, e.Until = prim.HostLive, time.Now().UTC(), time.Time{}
						l.Hosts = append(l.Hosts, e)
						return
					}
				}
			})
		})
		if err := w.f.StartServer(h); err != nil {
			w.t.Error(err)
			return
		}
		w.restart(ctx, h)
		away()
		w.inForce(ctx, prim.NameHosts, v, at)
		again()
	}
}

// stop makes a planned stop of a node and checks its exit status.
func (w *world) stop(ctx context.Context, h *fleet.Host) {
	h.Node.Stop()
	select {
	case <-h.Node.Ended():
		if err := h.Node.Err(); err != nil {
			w.t.Errorf("node of %s did not stop with status 0: %v", h.Place.Host, err)
		}
	case <-ctx.Done():
		w.t.Errorf("node of %s has not stopped: %v", h.Place.Host, ctx.Err())
	}
}

// plannedStops stops and starts every node in turn. Its server is slow
// meanwhile, so that requests are in flight at the stop.
func plannedStops(w *world, random *rand.Rand) func(ctx context.Context) {
	order := random.Perm(len(w.f.Hosts))
	return func(ctx context.Context) {
		defer w.during(&w.spans.calm)()
		for _, i := range order {
			h := w.f.Hosts[i]
			if ctx.Err() != nil {
				return
			}
			// The requests must last longer than the time that a stopping node gives
			// callers to leave, and not as long as their deadline.
			w.fault(ctx, h.Control, `{"Slow":160}`)
			var own sync.WaitGroup
			for range 4 {
				for j := range w.d.calls {
					if c := &w.d.calls[j]; c.service == h.Service && !c.keyed {
						own.Go(func() {
							w.load.exchange(ctx, &record{call: c, customer: &w.d.customers[0], id: uuid7(), ingress: h})
						})
					}
				}
			}
			pause(ctx, 100*time.Millisecond)
			again := w.load.avoid(h)
			away := w.unreachable(h)
			w.stop(ctx, h)
			own.Wait()
			w.fault(ctx, h.Control, `{"Slow":1}`)
			w.restart(ctx, h)
			away()
			again()
		}
	}
}

func centreOut(w *world, random *rand.Rand) func(ctx context.Context) {
	centre, hs, release := w.claimCentre(random)
	return func(ctx context.Context) {
		defer release()
		w.t.Logf("        data centre %s", centre)
		w.out(ctx, hs, func(d *prim.DataCentres) {
			d.DataCentres = slices.Clone(d.DataCentres)
			for i := range d.DataCentres {
				d.DataCentres[i].InService = d.DataCentres[i].Name != centre
			}
		})
	}
}

func hostOut(w *world, random *rand.Rand) func(ctx context.Context) {
	hs, release := w.claim(random, 1)
	return func(ctx context.Context) {
		defer release()
		w.note(hs...)
		w.out(ctx, hs, func(d *prim.DataCentres) { d.HostsOut = []prim.HostName{hs[0].Place.Host} })
	}
}

// out publishes a change that takes hosts out, waits, and takes it back.
func (w *world) out(ctx context.Context, hs []*fleet.Host, edit func(d *prim.DataCentres)) {
	d := w.centres
	edit(&d)
	end := w.during(&w.spans.out, hs...)
	v, at := w.publishDocument(ctx, prim.NameDataCentres, d)
	w.inForce(ctx, prim.NameDataCentres, v, at)
	pause(ctx, time.Until(at.Add(stopsWithin+1500*time.Millisecond)))
	end()
	v, at = w.publishDocument(ctx, prim.NameDataCentres, w.centres)
	w.inForce(ctx, prim.NameDataCentres, v, at)
}

func serverFault(on, off string) func(w *world, random *rand.Rand) func(ctx context.Context) {
	return func(w *world, random *rand.Rand) func(ctx context.Context) {
		hs, release := w.claim(random, 1)
		return func(ctx context.Context) {
			defer release()
			w.note(hs...)
			w.fault(ctx, hs[0].Control, on)
			pause(ctx, 2*time.Second)
			w.fault(ctx, hs[0].Control, off)
		}
	}
}

// longAnswers makes a server send answers that stream, and cut some of them.
func longAnswers(w *world, random *rand.Rand) func(ctx context.Context) {
	hs, release := w.claim(random, 1)
	return func(ctx context.Context) {
		defer release()
		w.note(hs...)
		end := w.during(&w.spans.long, hs...)
		w.fault(ctx, hs[0].Control, `{"AnswerBytes":2500000,"Cut":0.3}`)
		pause(ctx, 2*time.Second)
		w.fault(ctx, hs[0].Control, `{"AnswerBytes":0,"Cut":0}`)
		// Answers that began to stream before may still be cut.
		pause(ctx, deadline)
		end()
	}
}
