package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// benchBorrower returns the borrower of an ingress node with the given number of
// customers, each of which needs leases from all owners, and its view and clocks.
func benchBorrower(owners, customers int) (*borrower, *prim.View, clockReading) {
	sim := newFleetSim(1, owners, quota{1e6, 1e6})
	h, _ := sim.hostsAt(sim.now)
	c := prim.ViewConfig{Hosts: h, Allowances: prim.Allowances{Plans: []prim.Plan{{Name: "p", Allowances: []prim.Allowance{{Service: "s", Rate: 1e6, Burst: 1e6}}}}}}
	for i := range customers {
		c.Plans.Customers = append(c.Plans.Customers, prim.CustomerEntry{Name: prim.Customer(fmt.Sprintf("customer-%06d", i)), Plan: "p"})
	}
	v, at := prim.NewView(c), clockReading{time.Minute, epoch.Add(sim.now)}
	b := newBorrower(&Config{Self: "ingress", Instance: 1, Timing: testTiming})
	for _, x := range v.Plans.Customers {
		b.take(at, v, key{x.Name, "s"}, false)
		e := b.entries[key{x.Name, "s"}]
		e.fastRate, e.slowRate = 1e6, 1e6
	}
	return b, v, at
}

// grantAll grants all requests in full. It returns the number and the size of the
// messages.
func grantAll(b *borrower, at clockReading, due []batch) (messages, bytes int) {
	for _, d := range due {
		a := leaseResponse{Instance: 2, Slots: 1, Items: make([]leaseResponseItem, len(d.request.Items))}
		for i, x := range d.request.Items {
			a.Items[i] = leaseResponseItem{Rate: x.WantRate, Burst: x.WantBurst, Tokens: x.WantBurst}
		}
		request, _ := encode(KindLeaseRequest, &d.request)
		response, _ := encode(KindLease, &a)
		messages, bytes = messages+2, bytes+len(request.Body)+len(response.Body)
		b.handleResponse(at, &d, &a, false)
	}
	return messages, bytes
}

// BenchmarkPlan measures the background cost of active customers that need leases
// from all owners: the CPU time of the ticks and responses, the messages and
// bytes per second, and the memory of an entry with its leases.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []struct{ owners, customers int }{{7, 10}, {7, 100}, {7, 1000}, {20, 100}, {100, 100}} {
		b.Run(fmt.Sprintf("owners=%d/customers=%d", n.owners, n.customers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, v, at := benchBorrower(n.owners, n.customers)
			for range 4 {
				grantAll(s, at, s.planRequests(at, v))
				at.mono, at.wall = at.mono+testTick, at.wall.Add(testTick)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			messages, bytes, ticks := 0, 0, 0
			for b.Loop() {
				for _, e := range s.entries {
					e.arrivals, e.lastCall = 250_000, at.mono
				}
				m, x := grantAll(s, at, s.planRequests(at, v))
				messages, bytes, ticks = messages+m, bytes+x, ticks+1
				at.mono, at.wall = at.mono+testTick, at.wall.Add(testTick)
			}
			seconds := float64(ticks) * testTick.Seconds()
			each := float64(n.customers)
			b.ReportMetric(float64(bytes)/seconds/each, "B/s/customer")
			b.ReportMetric(float64(messages)/seconds, "messages/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/each, "B/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds/each, "ns/s/customer")
		})
	}
}

// BenchmarkTake measures the decision about one call for several numbers of active
// customers.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			s, v, at := benchBorrower(7, n)
			grantAll(s, at, s.planRequests(at, v))
			keys := make([]key, 0, n)
			for k := range s.entries {
				keys = append(keys, k)
			}
			i := 0
			for b.Loop() {
				s.take(at, v, keys[i%n], false)
				i++
			}
		})
	}
}
