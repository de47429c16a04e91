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

// faultDuration exceeds the timeout of every request of the load and the limit on
// how long a process may be paused.
const faultDuration = requestTimeout + time.Second

// resource is what a fault uses; it decides which faults may run concurrently.
type resource uint8

const (
	hostResource     resource = iota // single hosts, each reserved with claim
	linkResource                     // links between nodes
	documentResource                 // published documents and the platform that serves them
	fleetResource                    // the whole fleet: never paired with another fault
)

// fault is one row of the table. Its plan claims hosts and returns the function
// that injects the fault; the plans of concurrent faults are made one after the
// other.
type fault struct {
	name string
	uses resource
	plan func(bed *testbed, random *rand.Rand) func(ctx context.Context)
}

var faults = []fault{
	{"node killed", hostResource, nodeKilled},
	{"server killed", hostResource, serverKilled},
	{"node frozen", hostResource, freeze(true, false)},
	{"server frozen", hostResource, freeze(false, true)},
	{"node and server frozen", hostResource, freeze(true, true)},
	{"node cut off", linkResource, linkFault(1, relayFault{cut: true})},
	{"pair of nodes cut", linkResource, cutPair},
	{"links of a node held", linkResource, linkFault(1, relayFault{hold: true})},
	{"links of three nodes slow", linkResource, linkFault(3, relayFault{delay: 40 * time.Millisecond})},
	{"data centres cut from each other", linkResource, cutDataCentre},
	{"platform down", documentResource, platformFault(`{"Down":true}`, `{"Down":false}`)},
	{"platform slow", documentResource, platformFault(`{"SlowMs":400}`, `{"SlowMs":0}`)},
	{"platform stale", documentResource, platformStale},
	{"malformed document", documentResource, malformedDocument},
	{"allowance lowered", documentResource, allowanceLowered},
	{"host leaves, is removed and replaced", documentResource, hostReplaced},
	{"planned stop of each node", fleetResource, plannedStops},
	{"data centre out and back", documentResource, dataCentreOut},
	{"host out and back", documentResource, hostOut},
	{"server drained", hostResource, serverFault(`{"Drain":true}`, `{"Drain":false}`)},
	{"server cold", hostResource, serverFault(`{"Cold":true}`, `{"Cold":false}`)},
	{"server restarted in place", hostResource, serverFault(`{"Restart":true}`, `{"Restart":false}`)},
	{"server slow", hostResource, serverFault(`{"Slow":10}`, `{"Slow":1}`)},
	{"server fails fast", hostResource, serverFault(`{"FailFast":1}`, `{"FailFast":0}`)},
	{"answers cut", hostResource, serverFault(`{"Cut":0.3}`, `{"Cut":0}`)},
	{"long answers, some cut", hostResource, longAnswers},
	{"load reports wrong", hostResource, serverFault(`{"Mislead":1}`, `{"Mislead":0}`)},
}

// compatible reports whether two faults may run concurrently. Two faults on the
// same resource would undo each other's changes, except on hosts, which are
// claimed individually.
func compatible(a, b resource) bool {
	return a != fleetResource && b != fleetResource && (a != b || a == hostResource)
}

// drawSteps draws a random order of the faults and pairs them: every fourth step
// is a single fault, the others are pairs as long as a compatible fault is left.
func drawSteps(random *rand.Rand) [][]fault {
	only := regexp.MustCompile(*onlyFlag)
	var remaining []fault
	for _, i := range random.Perm(len(faults)) {
		if only.MatchString(faults[i].name) {
			remaining = append(remaining, faults[i])
		}
	}
	var order [][]fault
	for len(remaining) > 0 {
		step := remaining[:1:1]
		remaining = remaining[1:]
		if len(order)%4 > 0 {
			if i := slices.IndexFunc(remaining, func(f fault) bool { return compatible(f.uses, step[0].uses) }); i >= 0 {
				step = append(step, remaining[i])
				remaining = slices.Delete(remaining, i, i+1)
			}
		}
		order = append(order, step)
	}
	return order
}

// runSteps runs the steps in order and waits for the end of each.
func (bed *testbed) runSteps(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for _, step := range drawSteps(random) {
		var names []string
		var running sync.WaitGroup
		var plans []func(ctx context.Context)
		// A fault on a data centre needs all its hosts, so it claims them before a
		// fault on single hosts does.
		slices.SortFunc(step, func(a, b fault) int { return int(b.uses) - int(a.uses) })
		for _, f := range step {
			names = append(names, f.name)
			plans = append(plans, f.plan(bed, random))
		}
		bed.t.Logf("%6.1fs %s", time.Since(bed.started).Seconds(), strings.Join(names, " + "))
		for _, p := range plans {
			startDelay := time.Duration(random.IntN(400)) * time.Millisecond
			running.Go(func() {
				if sleep(ctx, startDelay) {
					p(ctx)
				}
			})
		}
		running.Wait()
		if ctx.Err() != nil {
			bed.t.Errorf("not all faults were run: %v", context.Cause(ctx))
			return
		}
	}
}

// logHosts logs the hosts that a fault hits.
func (bed *testbed) logHosts(hs ...*fleet.Host) {
	for _, h := range hs {
		bed.t.Logf("        host %s in %s", h.HostPlacement.Host, h.DataCentre)
	}
}

// restartNode starts a node that has exited and waits until it is ready.
func (bed *testbed) restartNode(ctx context.Context, h *fleet.Host) {
	if err := bed.fleet.StartNode(h); err != nil {
		bed.t.Error(err)
		return
	}
	if err := bed.fleet.WaitReady(ctx, h); err != nil {
		bed.t.Error(err)
	}
}

// saturate fills a host with slow requests, so that the fault that follows hits
// requests in flight, which their callers then repeat under the same key. The
// returned function makes the server fast again and waits until they have ended.
func (bed *testbed) saturate(ctx context.Context, h *fleet.Host) (wait func()) {
	bed.setFaults(ctx, h.Control, `{"Slow":40}`)
	var requests sync.WaitGroup
	for i := range 32 {
		for j := range bed.deployment.requestKinds {
			c := &bed.deployment.requestKinds[j]
			if c.service != h.Service || c.idempotent {
				continue
			}
			r := &record{kind: c, customer: &bed.deployment.customers[i%2], id: uuid7()}
			if c.keyed {
				r.key = uuid7()
			}
			bed.load.mu.Lock()
			r.ingress = bed.load.chooseIngress(bed.load.random, h)
			bed.load.mu.Unlock()
			requests.Go(func() { bed.load.send(ctx, r) })
		}
	}
	sleep(ctx, 100*time.Millisecond)
	return func() {
		bed.setFaults(ctx, h.Control, `{"Slow":1}`)
		requests.Wait()
	}
}

func nodeKilled(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	hs, release := bed.claim(random, 1)
	downtime := time.Duration(random.IntN(1000)) * time.Millisecond
	return func(ctx context.Context) {
		defer release()
		h := hs[0]
		bed.logHosts(h)
		defer bed.beginSpan(&bed.spans.nodeKilled, h)()
		defer bed.markUnreachable(h)()
		defer bed.saturate(ctx, h)()
		h.Node.Kill()
		<-h.Node.Ended()
		sleep(ctx, downtime)
		bed.restartNode(ctx, h)
	}
}

func serverKilled(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	hs, release := bed.claim(random, 1)
	downtime := time.Duration(random.IntN(1000)) * time.Millisecond
	return func(ctx context.Context) {
		defer release()
		h := hs[0]
		bed.logHosts(h)
		wait := bed.saturate(ctx, h)
		h.ServerProcess.Kill()
		<-h.ServerProcess.Ended()
		sleep(ctx, downtime)
		if err := bed.fleet.StartServer(h); err != nil {
			bed.t.Error(err)
			return
		}
		if err := bed.fleet.WaitReady(ctx, h); err != nil {
			bed.t.Error(err)
		}
		sleep(ctx, time.Second)
		wait()
	}
}

func freeze(node, server bool) func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	return func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
		hs, release := bed.claim(random, 1)
		return func(ctx context.Context) {
			defer release()
			h := hs[0]
			bed.logHosts(h)
			defer bed.markUnreachable(h)()
			wait := bed.saturate(ctx, h)
			if node {
				h.Node.Freeze()
			}
			if server {
				h.ServerProcess.Freeze()
			}
			sleep(ctx, faultDuration)
			h.Node.Thaw()
			h.ServerProcess.Thaw()
			wait()
		}
	}
}

// setLinkFault sets a fault on the links between two hosts, in both directions.
func (bed *testbed) setLinkFault(a, b *fleet.Host, f relayFault) {
	bed.relays[a.HostPlacement.Host].setFault(b.HostPlacement.Host, f)
	bed.relays[b.HostPlacement.Host].setFault(a.HostPlacement.Host, f)
}

// linkFault injects a fault on all links of n nodes.
func linkFault(n int, f relayFault) func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	return func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
		hs, release := bed.claim(random, n)
		return func(ctx context.Context) {
			defer release()
			bed.logHosts(hs...)
			set := func(f relayFault) {
				for _, a := range hs {
					for _, b := range bed.fleet.Hosts {
						if a != b {
							bed.setLinkFault(a, b, f)
						}
					}
				}
			}
			defer bed.markUnreachable(hs...)()
			wait := bed.saturate(ctx, hs[0])
			set(f)
			sleep(ctx, faultDuration)
			set(relayFault{})
			wait()
		}
	}
}

func cutPair(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	hs, release := bed.claim(random, 2)
	return func(ctx context.Context) {
		defer release()
		bed.logHosts(hs...)
		bed.setLinkFault(hs[0], hs[1], relayFault{cut: true})
		sleep(ctx, faultDuration)
		bed.setLinkFault(hs[0], hs[1], relayFault{})
	}
}

// cutDataCentre cuts the links between one data centre and the others. Its nodes
// still reach the platform, so documents must still arrive there.
func cutDataCentre(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	dataCentre := bed.deployment.dataCentres[random.IntN(len(bed.deployment.dataCentres))]
	return func(ctx context.Context) {
		set := func(f relayFault) {
			for i, a := range bed.fleet.Hosts {
				for _, b := range bed.fleet.Hosts[:i] {
					if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
						bed.setLinkFault(a, b, f)
					}
				}
			}
		}
		bed.t.Logf("        data centre %s", dataCentre)
		set(relayFault{cut: true})
		sleep(ctx, faultDuration)
		set(relayFault{})
	}
}

func platformFault(on, off string) func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	return func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
		return func(ctx context.Context) {
			for _, a := range bed.fleet.Platforms {
				bed.setFaults(ctx, a, on)
			}
			sleep(ctx, faultDuration)
			for _, a := range bed.fleet.Platforms {
				bed.setFaults(ctx, a, off)
			}
			// A document published after the fault must reach every node within the limit.
			v, at := bed.publishDocument(ctx, prim.NamePlans, bed.addCustomer())
			bed.checkInForce(ctx, prim.NamePlans, v, at)
		}
	}
}

// addCustomer adds a customer and returns the plans document, which thus changes.
func (bed *testbed) addCustomer() prim.Plans {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	name := prim.Customer(fmt.Sprintf("new-%d", len(bed.plans.Customers)))
	bed.plans.Customers = append(slices.Clone(bed.plans.Customers), prim.CustomerEntry{
		Name: name, Plan: string(bed.deployment.customers[0].name), Credentials: []string{fleet.HashToken(string(name))}})
	return bed.plans
}

// platformStale makes the first replica serve old documents while the other one
// serves a change.
func platformStale(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	return func(ctx context.Context) {
		bed.setFaults(ctx, bed.fleet.Platforms[0], `{"Stale":true}`)
		v, at := bed.publishDocument(ctx, prim.NamePlans, bed.addCustomer())
		bed.checkInForce(ctx, prim.NamePlans, v, at)
		sleep(ctx, time.Second)
		bed.setFaults(ctx, bed.fleet.Platforms[0], `{"Stale":false}`)
	}
}

func malformedDocument(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	bad := []struct{ name, body string }{
		{prim.NamePlans, `{"Customers":7}`},
		{prim.NameAllowances, `{"Plans":[{"Name":"trial","Allowances":[{"Service":"","Rate":-1,"Burst":0}]}]}`},
		{prim.NameDataCentres, `{"DataCentres":[{"Name":"","Region":"","InService":"no"}]}`},
		{prim.NameHosts, `[]`},
	}[random.IntN(4)]
	return func(ctx context.Context) {
		bed.t.Logf("        document %s", bad.name)
		v, at := bed.publish(ctx, bad.name, func() error { return bed.fleet.PublishRaw(bad.name, []byte(bad.body)) })
		bed.checkRefused(ctx, bad.name, v, at)
		var good any
		bed.mu.Lock()
		switch bad.name {
		case prim.NamePlans:
			good = bed.plans
		case prim.NameAllowances:
			good = bed.allowances
		case prim.NameDataCentres:
			good = bed.dataCentres
		}
		bed.mu.Unlock()
		v, at = bed.publish(ctx, bad.name, func() error {
			if good == nil {
				return bed.fleet.PublishHosts(func(*prim.Hosts) {})
			}
			return bed.fleet.Publish(bad.name, good)
		})
		bed.checkInForce(ctx, bad.name, v, at)
	}
}

// allowanceLowered lowers the allowance of customer trial, waits until the limit
// for document changes has passed, and then records a span of 3 s in which the
// checks expect the lower rate.
func allowanceLowered(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	return func(ctx context.Context) {
		lowered := prim.Allowances{Routes: bed.allowances.Routes}
		for _, p := range bed.allowances.Plans {
			p.Allowances = slices.Clone(p.Allowances)
			for i := range p.Allowances {
				if p.Name == "trial" {
					p.Allowances[i].Rate, p.Allowances[i].Burst = loweredRate, loweredRate
				}
			}
			lowered.Plans = append(lowered.Plans, p)
		}
		v, at := bed.publishDocument(ctx, prim.NameAllowances, lowered)
		bed.checkInForce(ctx, prim.NameAllowances, v, at)
		// For a node that another fault kept from the documents, the limit counts
		// from the end of that fault.
		bed.mu.Lock()
		for _, t := range bed.restoredAt {
			if t.After(at) {
				at = t
			}
		}
		bed.mu.Unlock()
		sleep(ctx, time.Until(at.Add(documentSpreadLimit)))
		end := bed.beginSpan(&bed.spans.loweredAllowance)
		sleep(ctx, 3*time.Second)
		end()
		v, at = bed.publishDocument(ctx, prim.NameAllowances, bed.allowances)
		bed.checkInForce(ctx, prim.NameAllowances, v, at)
	}
}

// setState returns a function that publishes a new state of a host.
func (bed *testbed) setState(h *fleet.Host, s prim.HostState) func() error {
	return func() error {
		return bed.fleet.PublishHosts(func(l *prim.Hosts) {
			for i := range l.Hosts {
				if e := &l.Hosts[i]; e.Name == h.HostPlacement.Host && e.State != prim.HostLost {
					if e.State = s; s == prim.HostLost {
						e.Until = time.Now().UTC()
					}
				}
			}
		})
	}
}

// hostReplaced publishes a host as leaving, stops its node, publishes it as lost,
// and then adds a new host with the same name and address.
func hostReplaced(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	hs, release := bed.claim(random, 1)
	return func(ctx context.Context) {
		defer release()
		h := hs[0]
		bed.logHosts(h)
		v, at := bed.publish(ctx, prim.NameHosts, bed.setState(h, prim.HostLeaving))
		end := bed.beginSpan(&bed.spans.outOfService, h)
		bed.checkInForce(ctx, prim.NameHosts, v, at)
		sleep(ctx, time.Until(at.Add(dispatchStopLimit+time.Second)))
		resume := bed.load.avoid(h)
		reachable := bed.markUnreachable(h)
		bed.stopNode(ctx, h)
		v, at = bed.publish(ctx, prim.NameHosts, bed.setState(h, prim.HostLost))
		bed.mu.Lock()
		bed.removed[h] = true
		bed.mu.Unlock()
		bed.checkInForce(ctx, prim.NameHosts, v, at)
		h.ServerProcess.Stop()
		<-h.ServerProcess.Ended()

		end()
		bed.mu.Lock()
		delete(bed.removed, h)
		bed.mu.Unlock()
		v, at = bed.publish(ctx, prim.NameHosts, func() error {
			return bed.fleet.PublishHosts(func(l *prim.Hosts) {
				for _, e := range l.Hosts {
					if e.Name == h.HostPlacement.Host {
						e.State, e.Since, e.Until = prim.HostLive, time.Now().UTC(), time.Time{}
						l.Hosts = append(l.Hosts, e)
						return
					}
				}
			})
		})
		if err := bed.fleet.StartServer(h); err != nil {
			bed.t.Error(err)
			return
		}
		bed.restartNode(ctx, h)
		reachable()
		bed.checkInForce(ctx, prim.NameHosts, v, at)
		resume()
	}
}

// stopNode stops a node gracefully and checks its exit status.
func (bed *testbed) stopNode(ctx context.Context, h *fleet.Host) {
	h.Node.Stop()
	select {
	case <-h.Node.Ended():
		if err := h.Node.Err(); err != nil {
			bed.t.Errorf("node of %s did not stop with status 0: %v", h.HostPlacement.Host, err)
		}
	case <-ctx.Done():
		bed.t.Errorf("node of %s has not stopped: %v", h.HostPlacement.Host, ctx.Err())
	}
}

// plannedStops stops and restarts every node in turn. The host's server is slow
// meanwhile, so that requests are in flight when the node stops.
func plannedStops(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	order := random.Perm(len(bed.fleet.Hosts))
	return func(ctx context.Context) {
		defer bed.beginSpan(&bed.spans.plannedStops)()
		for _, i := range order {
			h := bed.fleet.Hosts[i]
			if ctx.Err() != nil {
				return
			}
			// The requests must take longer than the time that a stopping node gives
			// callers to leave, and less than their timeout.
			bed.setFaults(ctx, h.Control, `{"Slow":160}`)
			var requests sync.WaitGroup
			for range 4 {
				for j := range bed.deployment.requestKinds {
					if c := &bed.deployment.requestKinds[j]; c.service == h.Service && !c.keyed {
						requests.Go(func() {
							bed.load.exchange(ctx, &record{kind: c, customer: &bed.deployment.customers[0], id: uuid7(), ingress: h})
						})
					}
				}
			}
			sleep(ctx, 100*time.Millisecond)
			resume := bed.load.avoid(h)
			reachable := bed.markUnreachable(h)
			bed.stopNode(ctx, h)
			requests.Wait()
			bed.setFaults(ctx, h.Control, `{"Slow":1}`)
			bed.restartNode(ctx, h)
			reachable()
			resume()
		}
	}
}

func dataCentreOut(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	dataCentre, hs, release := bed.claimDataCentre(random)
	return func(ctx context.Context) {
		defer release()
		bed.t.Logf("        data centre %s", dataCentre)
		bed.takeOutOfService(ctx, hs, func(d *prim.DataCentres) {
			d.DataCentres = slices.Clone(d.DataCentres)
			for i := range d.DataCentres {
				d.DataCentres[i].InService = d.DataCentres[i].Name != dataCentre
			}
		})
	}
}

func hostOut(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	hs, release := bed.claim(random, 1)
	return func(ctx context.Context) {
		defer release()
		bed.logHosts(hs...)
		bed.takeOutOfService(ctx, hs, func(d *prim.DataCentres) { d.HostsOut = []prim.HostName{hs[0].HostPlacement.Host} })
	}
}

// takeOutOfService publishes a change that takes hosts out of service, waits, and
// reverts it.
func (bed *testbed) takeOutOfService(ctx context.Context, hs []*fleet.Host, edit func(d *prim.DataCentres)) {
	d := bed.dataCentres
	edit(&d)
	end := bed.beginSpan(&bed.spans.outOfService, hs...)
	v, at := bed.publishDocument(ctx, prim.NameDataCentres, d)
	bed.checkInForce(ctx, prim.NameDataCentres, v, at)
	sleep(ctx, time.Until(at.Add(dispatchStopLimit+1500*time.Millisecond)))
	end()
	v, at = bed.publishDocument(ctx, prim.NameDataCentres, bed.dataCentres)
	bed.checkInForce(ctx, prim.NameDataCentres, v, at)
}

func serverFault(on, off string) func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	return func(bed *testbed, random *rand.Rand) func(ctx context.Context) {
		hs, release := bed.claim(random, 1)
		return func(ctx context.Context) {
			defer release()
			bed.logHosts(hs...)
			bed.setFaults(ctx, hs[0].Control, on)
			sleep(ctx, 2*time.Second)
			bed.setFaults(ctx, hs[0].Control, off)
		}
	}
}

// longAnswers makes a server stream long answers and truncate some of them.
func longAnswers(bed *testbed, random *rand.Rand) func(ctx context.Context) {
	hs, release := bed.claim(random, 1)
	return func(ctx context.Context) {
		defer release()
		bed.logHosts(hs...)
		end := bed.beginSpan(&bed.spans.longAnswers, hs...)
		bed.setFaults(ctx, hs[0].Control, `{"AnswerBytes":2500000,"Cut":0.3}`)
		sleep(ctx, 2*time.Second)
		bed.setFaults(ctx, hs[0].Control, `{"AnswerBytes":0,"Cut":0}`)
		// Answers that began to stream earlier may still be truncated.
		sleep(ctx, requestTimeout)
		end()
	}
}
