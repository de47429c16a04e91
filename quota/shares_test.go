package quota

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/stats"
)

// sharesFleet simulates nodes that share quotas, on the clock of a synctest bubble.
type sharesFleet struct {
	t interface {
		Fatalf(format string, args ...any)
	}
	random    *rand.Rand
	rules     []prim.CustomerRule
	listed    []bool // entries in the registry
	born      []time.Time
	version   uint64
	nodes     []*sharesNode
	placement *prim.Placement // that of the registry
	silent    prim.HostName   // does not answer, and does not break its links

	mu     sync.Mutex
	grants []time.Time // of the first customer, in order of time
}

// sharesNode is one simulated node.
type sharesNode struct {
	fleet    *sharesFleet
	index    int
	shares   atomic.Pointer[Shares]
	view     atomic.Pointer[prim.Placement]
	syncedAt atomic.Pointer[time.Time]
	group    atomic.Int32 // nodes of different groups don't reach each other; only group 0 reaches the registry
	dead     atomic.Bool
}

func (n *sharesNode) Placement() *prim.Placement { return n.view.Load() }
func (n *sharesNode) Changed() <-chan struct{}   { return nil }

const sharesMaxAge = 4900 * time.Millisecond

var sharesBound = Bound{Window: 5 * time.Second, Overage: 0.25, Slack: 20}

// allowed returns the largest number of grants to a customer in one window: the bound less what
// repeated attempts may take, 0.05 of the requests and 2.5.
func allowed(c *prim.CustomerRule) float64 {
	return (1+sharesBound.Overage-0.05)*(c.Rate*sharesBound.Window.Seconds()+c.Burst) + sharesBound.Slack - 2.5
}

func newSharesFleet(t interface {
	Fatalf(format string, args ...any)
}, seed uint64, hosts int, rules ...prim.CustomerRule) *sharesFleet {
	f := &sharesFleet{t: t, random: rand.New(rand.NewPCG(seed, 20261204)), rules: rules, listed: make([]bool, hosts), born: make([]time.Time, hosts), version: 1}
	for i := range hosts {
		f.listed[i], f.born[i] = true, time.Now()
	}
	f.publish()
	for i := range hosts {
		n := &sharesNode{fleet: f, index: i}
		f.nodes = append(f.nodes, n)
		n.start()
	}
	return f
}

func sharesHost(i int) prim.HostName { return prim.HostName(fmt.Sprint("host-", i)) }

// publish publishes the listed hosts and the rules.
func (f *sharesFleet) publish() {
	var entries []prim.ServerEntry
	for i, listed := range f.listed {
		if listed {
			entries = append(entries, prim.ServerEntry{ID: fmt.Sprint("i-", i), Service: "s", Host: sharesHost(i), Address: netip.MustParseAddrPort("10.0.0.1:80"),
				DataCentre: prim.DataCentre(fmt.Sprint(i % 3)), Born: f.born[i]})
		}
	}
	f.version++
	f.placement = prim.NewPlacement(prim.Routing{Version: f.version, Customers: slices.Clone(f.rules)}, nil, entries)
}

// start starts a node, or restarts it without its state.
func (n *sharesNode) start() {
	n.view.Store(prim.NewPlacement(prim.Routing{}, nil, nil))
	n.syncedAt.Store(nil)
	n.dead.Store(false)
	n.shares.Store(NewShares(SharesConfig{
		Host: sharesHost(n.index), DataCentre: prim.DataCentre(fmt.Sprint(n.index % 3)), Placements: n, Transport: sharesTransport{from: n},
		Recorder: stats.New(stats.Config{}), Bound: func() Bound { return sharesBound }, MaxAge: func() time.Duration { return sharesMaxAge },
		Age: func(now time.Time) (time.Duration, bool) {
			at := n.syncedAt.Load()
			if at == nil {
				return 0, false
			}
			return now.Sub(*at), true
		},
	}))
	n.sync()
}

// sync reads the registry if the node reaches it.
func (n *sharesNode) sync() {
	if n.dead.Load() || n.group.Load() != 0 {
		return
	}
	now := time.Now()
	n.view.Store(n.fleet.placement)
	n.syncedAt.Store(&now)
	n.shares.Load().mu.Lock()
	n.shares.Load().follow(now)
	n.shares.Load().mu.Unlock()
}

// syncAll lets the nodes read the registry, which takes up to 2 s for each.
func (f *sharesFleet) syncAll(now time.Time) {
	for _, n := range f.nodes {
		if at := n.syncedAt.Load(); at == nil || now.Sub(*at) > time.Duration(1000+f.random.IntN(900))*time.Millisecond {
			n.sync()
		}
	}
}

// sharesTransport carries messages between simulated nodes.
type sharesTransport struct {
	prim.Transport
	from *sharesNode
}

var errUnreachable = errors.New("unreachable")

func (s sharesTransport) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	time.Sleep(2 * time.Millisecond)
	if s.from.fleet.silent == to {
		<-ctx.Done()
		return prim.Message{}, ctx.Err()
	}
	for _, n := range s.from.fleet.nodes {
		if sharesHost(n.index) == to && !n.dead.Load() && n.group.Load() == s.from.group.Load() {
			return n.shares.Load().Handle(ctx, sharesHost(s.from.index), m)
		}
	}
	return prim.Message{}, errUnreachable
}

// take sends one request of a customer to a node and records the result.
func (f *sharesFleet) take(n *sharesNode, rule *prim.CustomerRule, refused, total *atomic.Int64) {
	total.Add(1)
	withoutRoutes := n.Placement().Routing.Version == 0 // such a node answers 503
	if withoutRoutes || n.shares.Load().Take(context.Background(), rule) != nil {
		refused.Add(1)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants = append(f.grants, time.Now())
}

// checkBound fails if any window has more grants than allowed.
func (f *sharesFleet) checkBound(limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	begin := 0
	for end := range f.grants {
		for f.grants[end].Sub(f.grants[begin]) >= sharesBound.Window {
			begin++
		}
		if n := end - begin + 1; float64(n) > limit {
			f.t.Fatalf("%d requests granted in one window; the bound is %.1f", n, limit)
		}
	}
}

// run sends requests of the first customer at a rate for some time, as a Poisson process, to
// nodes chosen by pick. Event is called every 100 ms.
func (f *sharesFleet) run(d time.Duration, rate float64, pick func() *sharesNode, event func(now time.Time)) (refused, total int64) {
	var r, n atomic.Int64
	var requests sync.WaitGroup
	nextEvent, nextRequest := time.Now(), time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); {
		now := time.Now()
		if !now.Before(nextEvent) {
			nextEvent = now.Add(100 * time.Millisecond)
			f.syncAll(now)
			if event != nil {
				event(now)
			}
		}
		if !now.Before(nextRequest) {
			nextRequest = nextRequest.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
			if node := pick(); !node.dead.Load() {
				requests.Go(func() { f.take(node, &f.rules[0], &r, &n) })
			}
		}
		time.Sleep(time.Until(earlier(nextEvent, nextRequest)))
	}
	requests.Wait()
	return r.Load(), n.Load()
}

// anyNode picks nodes unevenly: a few get most requests.
func (f *sharesFleet) anyNode() *sharesNode {
	return f.nodes[int(float64(len(f.nodes))*math.Pow(f.random.Float64(), 3))]
}

// Guards against more requests of a customer in a window than the bound allows: with nodes that
// are killed, restarted and cut off from the registry and from the others, and with entries that
// come and go, while customers send several times their quota everywhere.
func TestSharesKeepBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			rate := rapid.Float64Range(3, 40).Draw(t, "rate")
			hosts := rapid.IntRange(1, 24).Draw(t, "hosts")
			rule := prim.CustomerRule{Name: "c", Rate: rate, Burst: rate}
			f := newSharesFleet(t, seed, hosts, rule)
			f.run(foundingAge+changeMargin, 3*rate, f.anyNode, nil) // rule 4 needs a start without faults
			f.run(30*time.Second, 3*rate, f.anyNode, func(now time.Time) {
				if f.random.IntN(200) == 0 {
					f.failMany()
				}
				n := f.nodes[f.random.IntN(len(f.nodes))]
				switch f.random.IntN(30) {
				case 0:
					n.dead.Store(true)
				case 1:
					n.start()
				case 2:
					n.group.Store(int32(1 + f.random.IntN(2)))
				case 3:
					n.group.Store(0)
				case 4:
					i := f.random.IntN(hosts)
					f.listed[i] = !f.listed[i]
					f.publish()
				case 5: // a data centre is cut off, and its entries expire
					for i, o := range f.nodes {
						if i%3 == 0 {
							o.group.Store(1)
							f.listed[i] = false
						}
					}
					f.publish()
				case 6:
					for _, o := range f.nodes {
						o.group.Store(0)
					}
				}
			})
			f.checkBound(allowed(&rule))
		})
	})
}

// failMany makes many nodes restart at once, cuts a group off, or makes entries expire or come
// back.
func (f *sharesFleet) failMany() {
	groups, group := 2+f.random.IntN(2), f.random.IntN(2)
	inGroup := func(i int) bool { return i%groups == group }
	expired, cut, restarted := f.random.IntN(2) == 0, f.random.IntN(2) == 0, f.random.IntN(2) == 0
	all := f.random.IntN(3) == 0 // nodes restart, else those that are not in the group
	for i, n := range f.nodes {
		f.listed[i] = !expired || !inGroup(i)
		n.group.Store(0)
		if cut && inGroup(i) {
			n.group.Store(1)
		}
	}
	f.publish()
	for i, n := range f.nodes {
		switch {
		case restarted && (all || !inGroup(i)):
			n.start()
		case f.random.IntN(2) == 0:
			n.sync()
		}
	}
}

// Guards against owners that grant too early after many nodes restarted at once, beside owners
// that are cut off or that are of another list.
func TestSharesKeepBoundAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			rate := rapid.Float64Range(1, 50).Draw(t, "rate")
			burst := rate * rapid.Float64Range(0.1, 3).Draw(t, "burst")
			hosts := rapid.IntRange(1, 24).Draw(t, "hosts")
			pause := rapid.IntRange(2, 80).Draw(t, "pause") // mean time between faults, in 0.1 s
			rule := prim.CustomerRule{Name: "c", Rate: rate, Burst: burst}
			f := newSharesFleet(t, seed, hosts, rule)
			f.idle(foundingAge + changeMargin + 5*time.Second) // rule 4 needs a start without faults
			pick := func() *sharesNode { return f.nodes[f.random.IntN(hosts)] }
			for range 2 {
				f.run(10*time.Second, 4*rate, pick, func(now time.Time) {
					if f.random.IntN(pause) == 0 {
						f.failMany()
					}
				})
				f.run(10*time.Second, 4*rate, pick, nil)
			}
			f.checkBound(allowed(&rule))
		})
	})
}

// idle lets time pass without requests.
func (f *sharesFleet) idle(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.syncAll(time.Now())
	}
}

// owners returns the owners of the first customer and the other hosts.
func (f *sharesFleet) owners() (owners, others []int) {
	list := f.nodes[0].shares.Load().customers[f.rules[0].Name].owners
	for i := range f.nodes {
		if slices.ContainsFunc(list, func(o shareOwner) bool { return o.host == sharesHost(i) }) {
			owners = append(owners, i)
		} else {
			others = append(others, i)
		}
	}
	return owners, others
}

// Guards against the loss of one of the rules of shares.go, each by the faults that it is for.
// The random faults of TestSharesKeepBound seldom meet the demand that shows it.
func TestSharesScenarios(t *testing.T) {
	cutOff := func(f *sharesFleet, hosts ...int) { // from the registry, from which their entries go
		for _, i := range hosts {
			f.nodes[i].sync()
			f.nodes[i].group.Store(1)
			f.listed[i] = false
		}
		f.publish()
		for _, n := range f.nodes {
			n.sync()
		}
	}
	restart := func(f *sharesFleet, hosts ...int) {
		for _, i := range hosts {
			f.nodes[i].start()
		}
	}
	for name, c := range map[string]struct {
		hosts       int
		rate, burst float64
		play        func(f *sharesFleet, flood func(time.Duration))
	}{
		"customer that was idle": {16, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			flood(time.Second)
			f.idle(time.Minute)
			flood(6 * time.Second)
		}},
		"half of the hosts cut off": {16, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			cutOff(f, 0, 1, 2, 3, 4, 5, 6, 7)
			f.idle(changeMargin)
			flood(12 * time.Second)
		}},
		"half of the hosts cut off, large burst": {16, 20, 400, func(f *sharesFleet, flood func(time.Duration)) {
			cutOff(f, 0, 1, 2, 3, 4, 5, 6, 7)
			f.idle(changeMargin + 800*time.Millisecond)
			flood(12 * time.Second)
		}},
		"long cut": {16, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			cutOff(f, 0, 1, 2, 3, 4, 5, 6, 7)
			f.idle(20 * time.Second)
			flood(12 * time.Second)
		}},
		"few hosts, one cut off": {3, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			cutOff(f, 0)
			flood(12 * time.Second)
		}},
		"back after a cut, when the other one is cut off": {2, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			cutOff(f, 0)
			f.idle(15 * time.Second)
			f.nodes[1].sync()
			f.nodes[1].group.Store(2)
			f.listed[0] = true
			f.publish()
			f.nodes[0].group.Store(0)
			f.nodes[0].sync()
			flood(12 * time.Second)
		}},
		"all restarted": {16, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			flood(time.Second)
			for _, n := range f.nodes {
				n.start()
			}
			flood(12 * time.Second)
		}},
		"all restarted twice": {8, 100, 10, func(f *sharesFleet, flood func(time.Duration)) {
			flood(time.Second)
			restart(f, 0, 1, 2, 3, 4, 5, 6, 7)
			flood(sharesMaxAge + 100*time.Millisecond)
			restart(f, 0, 1, 2, 3, 4, 5, 6, 7)
			flood(12 * time.Second)
		}},
		"all restarted but the hosts cut off": {16, 100, 100, func(f *sharesFleet, flood func(time.Duration)) {
			cutOff(f, 0, 1, 2, 3, 4, 5, 6, 7)
			restart(f, 8, 9, 10, 11, 12, 13, 14, 15)
			flood(12 * time.Second)
		}},
		"all restarted but the owners, which are cut off": {24, 100, 10, func(f *sharesFleet, flood func(time.Duration)) {
			owners, others := f.owners()
			cutOff(f, owners...)
			restart(f, others...)
			flood(12 * time.Second)
		}},
		"restarted while the owners had no entries, then cut off": {24, 100, 10, func(f *sharesFleet, flood func(time.Duration)) {
			owners, others := f.owners()
			for _, i := range owners {
				f.nodes[i].sync() // and not again before the entries are back
				f.listed[i] = false
			}
			f.publish()
			restart(f, others...)
			time.Sleep(1900 * time.Millisecond)
			for _, i := range others {
				f.nodes[i].sync()
				f.nodes[i].group.Store(1)
			}
			for _, i := range owners {
				f.listed[i] = true
			}
			f.publish()
			flood(12 * time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rule := prim.CustomerRule{Name: "c", Rate: c.rate, Burst: c.burst}
				f := newSharesFleet(t, 5, c.hosts, rule)
				f.idle(foundingAge + changeMargin + 15*time.Second)
				c.play(f, func(d time.Duration) {
					f.run(d, max(10*rule.Rate, 2*rule.Burst), func() *sharesNode { return f.nodes[f.random.IntN(len(f.nodes))] }, nil)
				})
				f.checkBound(allowed(&rule))
			})
		})
	}
}

// Guards against customers that stay without service for much longer than MaxAge after all
// nodes restarted.
func TestServiceAfterRestartOfAll(t *testing.T) {
	for _, rate := range []float64{3, 40, 115} {
		t.Run(fmt.Sprint("rate=", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rule := prim.CustomerRule{Name: "c", Rate: rate, Burst: rate}
				f := newSharesFleet(t, 1, 89, rule)
				f.run(15*time.Second, 0.5*rate, f.anyNode, nil)
				before := len(f.grants)
				restarted := time.Now()
				for _, n := range f.nodes {
					n.start()
				}
				refused, total := f.run(20*time.Second, 0.5*rate, f.anyNode, nil)
				first := f.grants[before].Sub(restarted)
				t.Logf("first grant after %v; refused %d of %d in 20 s", first, refused, total)
				if first > sharesMaxAge+1500*time.Millisecond {
					t.Errorf("first grant after %v", first)
				}
				f.checkBound(allowed(&rule))
			})
		})
	}
}

// Guards against a frozen owner for which the requests of each customer wait in turn.
func TestSilentOwnerDelaysFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rules := make([]prim.CustomerRule, 100)
		for i := range rules {
			rules[i] = prim.CustomerRule{Name: prim.Customer(fmt.Sprint("customer-", i)), Rate: 100, Burst: 100}
		}
		f := newSharesFleet(t, 3, 16, rules...)
		// Customers of whom the silent host is an owner and the ingress node is none.
		rules = slices.DeleteFunc(rules, func(r prim.CustomerRule) bool {
			owns := func(i int) bool { return !f.nodes[i].shares.Load().customers[r.Name].grantsFrom.IsZero() }
			return owns(0) || !owns(3) // in the same data centre
		})
		f.idle(foundingWait + time.Second)
		f.silent = sharesHost(3)
		slow := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			begin := time.Now()
			is.NoErr(f.nodes[0].shares.Load().Take(t.Context(), &rules[f.random.IntN(len(rules))]))
			if time.Since(begin) >= askTimeout {
				slow++
			}
			f.syncAll(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		is.True(slow <= 10) // once each awayTime, and not once for each customer
	})
}

// Guards against 429, which blames the customer, from nodes that may not grant yet.
func TestStartingOwnersDoNotBlameCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rule := prim.CustomerRule{Name: "c", Rate: 20, Burst: 20}
		f := newSharesFleet(t, 3, 20, rule)
		for range 3 { // also from what was answered before
			err := f.nodes[0].shares.Load().Take(t.Context(), &rule)
			var refusal *prim.RefusalError
			is.True(errors.As(err, &refusal))
			is.True(refusal.RetryAfter > 0)
		}
	})
}

// Guards against requests within the quota that are refused, with uneven arrivals, and against
// an owner that is away whose share is missing.
func TestSharesAreUsable(t *testing.T) {
	for _, rate := range []float64{3, 10, 40, 115} {
		for _, load := range []float64{0.5, 0.8} {
			for _, away := range []int{0, 1} {
				t.Run(fmt.Sprintf("rate=%v,load=%v,away=%d", rate, load, away), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						rule := prim.CustomerRule{Name: "c", Rate: rate, Burst: rate}
						f := newSharesFleet(t, 1, 89, rule)
						f.run(15*time.Second, load*rate, f.anyNode, nil)
						owner := f.nodes[0].shares.Load().customers["c"].owners[0].host
						for _, n := range f.nodes {
							n.dead.Store(away > 0 && sharesHost(n.index) == owner)
						}
						refused, total := f.run(60*time.Second, load*rate, f.anyNode, nil)
						messages := int64(0)
						for _, n := range f.nodes {
							messages += n.shares.Load().config.Recorder.(*stats.Recorder).Snapshot().Counters["QuotaMessages"]
						}
						t.Logf("refused %d of %d; %d messages", refused, total, messages)
						if float64(refused) > 0.02*float64(total) {
							t.Errorf("%d of %d requests within the quota were refused", refused, total)
						}
					})
				})
			}
		}
	}
}

// Guards against a quota that is not enforced within a window after it was lowered.
func TestLoweredQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSharesFleet(t, 3, 20, prim.CustomerRule{Name: "c", Rate: 100, Burst: 100})
		f.run(15*time.Second, 300, f.anyNode, nil)
		f.rules = []prim.CustomerRule{{Name: "c", Rate: 10, Burst: 10}}
		f.publish()
		f.run(sharesBound.Window, 300, f.anyNode, nil)
		f.grants = nil
		f.run(20*time.Second, 300, f.anyNode, nil)
		f.checkBound(allowed(&f.rules[0]))
	})
}

// Guards against a client that is told to wait for a time after which there is no token, or for
// much longer than needed.
func TestRetryAfterIsUseful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rule := prim.CustomerRule{Name: "c", Rate: 20, Burst: 20}
		f := newSharesFleet(t, 3, 20, rule)
		for range 12 {
			time.Sleep(time.Second)
			f.syncAll(time.Now())
		}
		n := f.nodes[0]
		// The first refusal is checked, not that of a later request: a request that asks an
		// owner takes time, in which a token comes in.
		var err error
		for err == nil {
			err = n.shares.Load().Take(t.Context(), &rule)
		}
		var over *prim.AllowanceExceededError
		is.True(errors.As(err, &over))
		is.True(over.RetryAfter > 0 && over.RetryAfter <= maxBackOff)
		time.Sleep(over.RetryAfter + 10*time.Millisecond)
		is.NoErr(n.shares.Load().Take(t.Context(), &rule))
	})
}

// Guards against 429, which blames the customer, from a node that reaches no owner.
func TestCutOffNodeDoesNotBlameCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rule := prim.CustomerRule{Name: "c", Rate: 20, Burst: 20}
		f := newSharesFleet(t, 3, 20, rule, prim.CustomerRule{Name: "free"})
		i := slices.IndexFunc(f.nodes, func(n *sharesNode) bool { return n.shares.Load().customers["c"].grantsFrom.IsZero() })
		f.idle(foundingWait)
		f.nodes[i].group.Store(1)
		err := f.nodes[i].shares.Load().Take(t.Context(), &rule)
		var refusal *prim.RefusalError
		is.True(errors.As(err, &refusal))
		is.True(refusal.RetryAfter > 0)
		is.NoErr(f.nodes[i].shares.Load().Take(t.Context(), &f.rules[1])) // without a limit
	})
}

// Guards against a message that panics a node, or that makes it grant what it has not.
func TestTokenMessagesAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSharesFleet(t, 3, 1, prim.CustomerRule{Name: "c", Rate: 1, Burst: 1})
		time.Sleep(foundingWait)
		f.nodes[0].sync()
		for _, r := range []tokensRequest{
			{Customers: []prim.Customer{"c"}}, {Wanted: []int{1}}, {Customers: make([]prim.Customer, maxAsked+1), Wanted: make([]int, maxAsked+1)},
		} {
			b, err := cbor.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.nodes[0].shares.Load().Handle(t.Context(), "h", prim.Message{Body: b}); err == nil {
				t.Errorf("%v is accepted", r)
			}
		}
		for _, wanted := range []int{-1, math.MinInt, math.MaxInt} {
			granted, _, _ := f.nodes[0].shares.Load().grant(time.Now(), "c", wanted)
			if granted < 0 || granted > 2 {
				t.Errorf("%d tokens granted of %d", granted, wanted)
			}
		}
	})
}

// BenchmarkSharesTake measures the check of one request's quota: with a token at this node, and
// refused without a message because no owner has one.
func BenchmarkSharesTake(b *testing.B) {
	for name, rate := range map[string]float64{"granted": 1e12, "refused": 1e-9} {
		b.Run(name, func(b *testing.B) {
			rules := make([]prim.CustomerRule, 87)
			for i := range rules {
				rules[i] = prim.CustomerRule{Name: prim.Customer(fmt.Sprint("customer-", i)), Rate: rate, Burst: rate}
			}
			f := newSharesFleet(b, 1, 1, rules...)
			a := f.nodes[0].shares.Load()
			for _, c := range a.customers {
				c.grantsFrom = c.grantsFrom.Add(-time.Minute)
			}
			now := time.Now().Add(time.Hour) // the age of the state stays below the limit
			f.nodes[0].syncedAt.Store(&now)
			b.ReportAllocs()
			for b.Loop() {
				a.Take(b.Context(), &rules[7])
			}
		})
	}
}
