package main

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/once"
	"github.com/primrosethread/primrosethread/retry"
)

// runCalls measures the processor time that packages retry and once add to a call
// whose owner answers immediately, by the number of hosts of the service.
func runCalls(_ context.Context, args []string) error {
	f := flag.NewFlagSet("calls", flag.ContinueOnError)
	body := f.Int("body", 200, "bytes of the request body")
	if err := f.Parse(args); err != nil {
		return err
	}
	fmt.Println("hosts  kind            ns/call  B/call  allocs/call")
	for _, hosts := range []int{3, 20, 200} {
		p := newInstantService(hosts)
		keyedCaller := once.NewCaller(once.CallerConfig{
			Host: "ingress", Documents: p, Reachability: p, Policy: p, Owners: p,
		})
		caller := retry.New(retry.Config{
			Host: "ingress", Documents: p, Reachability: p, Policy: p, Owners: p, Keyed: keyedCaller,
		})
		for _, kind := range []string{"idempotent", "two-step", "keyed"} {
			p.useRecords = kind == "keyed"
			n := 0
			r := testing.Benchmark(func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n++
					r := &prim.Request{Service: "s", Class: "c", Method: "POST", Path: "/", Body: make([]byte, *body),
						Idempotent: kind == "idempotent", Deadline: time.Now().Add(time.Second)}
					if kind == "keyed" {
						r.Key, r.KeyCreated = fmt.Sprint(n), time.Now()
					}
					if _, err := caller.Do(context.Background(), r); err != nil {
						b.Fatal(err)
					}
				}
			})
			fmt.Printf("%5d  %-12s %10d %7d %12d\n", hosts, kind, r.NsPerOp(), r.AllocedBytesPerOp(), r.AllocsPerOp())
		}
	}
	return nil
}

// instantService is a service whose owners answer immediately. It implements the
// interfaces through which packages retry and once reach the hosts. Requests without a
// key always go to its first host.
type instantService struct {
	prim.Reachability
	prim.Policy
	view       *prim.View
	owners     map[prim.HostName]*once.Owner
	useRecords bool // whether Owner returns the owners that keep idempotency records
}

func newInstantService(hosts int) *instantService {
	p := &instantService{owners: make(map[prim.HostName]*once.Owner)}
	since := time.Now().Add(-24 * time.Hour)
	var list []prim.Host
	for i := range hosts {
		h := prim.HostName(fmt.Sprint("h", i))
		list = append(list, prim.Host{Name: h, Service: "s", State: prim.HostLive, Since: since})
		// The limit on record bytes is high so that a long run does not reach it.
		p.owners[h] = once.NewOwner(once.OwnerConfig{Host: h, Next: instantOwner{}, Documents: p, Started: since, MaxRecordBytes: 8 << 30})
	}
	p.view = prim.NewView(prim.ViewConfig{
		Digests: map[string]prim.Digest{prim.NameHosts: {Issued: time.Now()}},
		Hosts:   prim.Hosts{Services: []prim.ServiceEntry{{Name: "s", Since: since}}, Hosts: list},
	})
	return p
}

func (p *instantService) View() *prim.View                        { return p.view }
func (p *instantService) Changed() <-chan struct{}                { return nil }
func (p *instantService) Reachable(prim.HostName) bool            { return true }
func (p *instantService) Pick(prim.Service, []prim.Candidate) int { return 0 }
func (p *instantService) Observe(prim.LoadSample)                 {}
func (p *instantService) AttemptFinished(prim.Attempt)            {}
func (p *instantService) Owner(h prim.HostName) prim.Owner {
	if p.useRecords {
		return p.owners[h]
	}
	return instantOwner{}
}

// instantOwner answers immediately and serves as its own reservation.
type instantOwner struct{}

var instantAnswer = prim.Answer{Status: 200, Body: make([]byte, 200)}

func (instantOwner) Sample() prim.LoadSample { return prim.LoadSample{} }

func (instantOwner) Dispatch(context.Context, *prim.Request) (*prim.Answer, error) {
	return &instantAnswer, nil
}

func (o instantOwner) Reserve(context.Context, *prim.Request) (prim.Reservation, error) {
	return o, nil
}

func (instantOwner) Commit(context.Context) (*prim.Answer, error) { return &instantAnswer, nil }

func (instantOwner) Release() {}
