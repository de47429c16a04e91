package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// withCustomers is a routing version with a customer, whose key matters.
func withCustomers(version uint64) prim.Routing {
	return prim.Routing{Version: version, Customers: []prim.CustomerRule{{Name: "c", Keys: []prim.KeyDigest{prim.DigestKey("k")}}}}
}

func (g *fakeRegistry) publishCustomers(version uint64) {
	g.update(func() {
		g.routing = withCustomers(version)
		g.routing.Revision = g.revision
	})
}

// Guards against a table of customers that is lost on its way between nodes: without it
// everyone is admitted. The empty table differs from none.
func TestCustomersReachOtherNodes(t *testing.T) {
	for name, customers := range map[string][]prim.CustomerRule{"none": nil, "empty": {}, "one": withCustomers(1).Customers} {
		for _, deflated := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				from, to := New(Config{DataCentre: "a"}), New(Config{DataCentre: "a"})
				routing := prim.Routing{Version: 2, Customers: customers, Revision: 2}
				if deflated {
					routing.Routes = slices.Repeat([]prim.PathRoute{{Targets: []prim.Target{{Service: "s", Weight: 1}}}}, 1000)
				}
				from.SetRouting(routing, "test")
				is.NoErr(to.Fetch(t.Context(), messages{to: from}, "host-1"))
				is.Equal(to.Placement().Routing.Customers, customers)
				is.Equal(to.Placement().Routing.NeedsKeys(), customers != nil)
			})
		}
	}
}

// Guards against routes of a node of an earlier version of the program, which drops customers
// that it doesn't know: with them this node would admit everyone, or customers whose keys were
// revoked.
func TestRoutesOfEarlierProgramAreNotApplied(t *testing.T) {
	is := is.New(t)
	asEarlier := func(resp stateResponse) stateResponse {
		resp.RoutingFields, resp.Age = 0, 0
		if resp.Routing != nil {
			resp.Routing.Customers = nil
		}
		if resp.RoutesDiff != nil {
			resp.RoutesDiff.CustomersChanged, resp.RoutesDiff.Customers = false, nil
		}
		b, err := encoding.Marshal(resp)
		is.NoErr(err)
		var received stateResponse
		is.NoErr(cbor.Unmarshal(b, &received))
		return received
	}
	earlier, empty, holder := New(Config{DataCentre: "a"}), New(Config{DataCentre: "a"}), New(Config{DataCentre: "a"})
	earlier.SetRouting(withCustomers(1), "test")
	holder.SetRouting(withCustomers(1), "test")
	next := withCustomers(2)
	next.Revision = 9
	next.Routes = slices.Repeat([]prim.PathRoute{{Targets: []prim.Target{{Service: "s", Weight: 1}}}}, 3)
	earlier.SetRouting(next, "test")
	for _, r := range []*Roster{empty, holder} {
		for _, diffs := range []bool{false, true} {
			before, revision := r.Placement().Routing, r.Revision()
			req := r.request()
			req.AppliesDiffs = diffs
			r.applyResponse(asEarlier(earlier.changesSince(req)), "test")
			is.Equal(r.Placement().Routing, before)
			is.Equal(r.Revision(), revision) // a watch from a later one would not bring the routes
		}
	}
}

// Guards against routes of another node that count as current from when they were received,
// although that node has heard nothing of the registry for long.
func TestOldRoutesOfOtherNodeStayOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		always := func(*prim.Routing) bool { return true }
		old := New(Config{DataCentre: "a", VerifyRoutes: always})
		old.SetRouting(withCustomers(3), "test")
		restarted := New(Config{DataCentre: "a", VerifyRoutes: always})
		_, known := restarted.RoutesAge(time.Now())
		is.True(!known)
		is.NoErr(restarted.Fetch(t.Context(), messages{to: old}, "host-1"))
		is.Equal(restarted.Placement().Routing.Version, uint64(3))
		_, known = restarted.RoutesAge(time.Now())
		is.True(!known) // the other node doesn't know either
		old.verifyRoutes(time.Now())
		time.Sleep(7 * time.Second)
		is.NoErr(restarted.Fetch(t.Context(), messages{to: old}, "host-1"))
		age, known := restarted.RoutesAge(time.Now())
		is.True(known)
		is.True(age >= 7*time.Second)
	})
}

// Guards against a node that takes another one's word for the age of the routes although it
// could not apply that node's routes.
func TestMissingRoutesAreNotVerified(t *testing.T) {
	is := is.New(t)
	always := func(*prim.Routing) bool { return true }
	from, to := New(Config{DataCentre: "a", VerifyRoutes: always}), New(Config{DataCentre: "a", VerifyRoutes: always})
	for v := uint64(1); v < 5; v++ {
		next := withCustomers(v)
		next.Routes = make([]prim.PathRoute, 8)
		from.SetRouting(next, "test")
	}
	from.verifyRoutes(time.Now())
	resp := from.changesSince(stateRequest{RoutingVersion: 3, AppliesDiffs: true})
	is.True(resp.RoutesDiff != nil && resp.Age > 0)
	to.applyResponse(resp, "test")
	to.vouch(time.Now(), &resp)
	_, known := to.RoutesAge(time.Now())
	is.True(!known)
}

// Guards against a machine that was suspended, while its monotonic clock stood still, and that
// takes its routes for young; and against a wall clock that was set back.
func TestSuspendedTimeCounts(t *testing.T) {
	is := is.New(t)
	is.Equal(longer(time.Second, time.Hour), time.Hour)
	is.Equal(longer(time.Second, -time.Hour), time.Second)
}

// delays draws delays that are mostly short and sometimes longer than the bound on the age of
// routes, as on a link that stalls or in the buffers of a process that is frozen.
type delays struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *delays) draw() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.random.IntN(8) == 0 {
		return time.Duration(d.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(d.random.IntN(20)) * time.Millisecond
}

// lateRegistry delays calls and their answers.
type lateRegistry struct {
	*fakeRegistry
	delays *delays
}

func (l lateRegistry) Read(ctx context.Context) (prim.Published, prim.Revision, error) {
	time.Sleep(l.delays.draw())
	s, at, err := l.fakeRegistry.Read(ctx)
	time.Sleep(l.delays.draw())
	return s, at, err
}

func (l lateRegistry) Changes(ctx context.Context, after prim.Revision, d time.Duration) (prim.Published, prim.Revision, error) {
	time.Sleep(l.delays.draw())
	s, at, err := l.fakeRegistry.Changes(ctx, after, d)
	time.Sleep(l.delays.draw()) // the answer arrives although the caller gave up
	return s, at, err
}

// lateMessages delays messages and their answers.
type lateMessages struct {
	messages
	delays *delays
}

func (l lateMessages) Ask(ctx context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
	time.Sleep(l.delays.draw())
	reply, err := l.messages.Ask(ctx, from, m)
	time.Sleep(l.delays.draw())
	return reply, err
}

// exchangeSamples sends the samples of all nodes each 200 ms, as package mesh does, and lets
// the receivers fetch what they need. Delay may be nil.
func exchangeSamples(ctx context.Context, rosters []*Roster, late *delays) (ended <-chan error) {
	done := make(chan error, 1)
	go func() {
		var receivers sync.WaitGroup
		fetching := make([]atomic.Bool, len(rosters))
		for ctx.Err() == nil {
			for i, from := range rosters {
				s := from.Annotate(time.Now(), prim.LoadSample{})
				for j, to := range rosters {
					if i == j {
						continue
					}
					receivers.Go(func() {
						var transport prim.Transport = messages{to: from}
						if late != nil {
							time.Sleep(late.draw())
							transport = lateMessages{messages{to: from}, late}
						}
						behind := to.ObserveSample(time.Now(), from.config.Host, s)
						if !behind && !to.WantsRoutes(time.Now(), s) || fetching[j].Swap(true) {
							return
						}
						defer fetching[j].Store(false)
						_ = to.Fetch(ctx, transport, from.config.Host) // a failed one is repeated with the next sample
					})
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		receivers.Wait()
		done <- ctx.Err()
	}()
	return done
}

// startVerifying starts n rosters that verify their routes.
func startVerifying(t *testing.T, g *fakeRegistry, n int, late *delays, registry func(i int) prim.Registry) []*Roster {
	ctx, cancel := context.WithCancel(t.Context())
	var rosters []*Roster
	var ended []<-chan error
	for i := range n {
		id := string(rune('a' + i))
		g.putEntry(id, false)
		r := New(Config{RepublishDelay: republishDelay, Host: prim.HostName("host-" + id), DataCentre: "a", VerifyRoutes: func(*prim.Routing) bool { return true }})
		rosters = append(rosters, r)
		ended = append(ended, r.Follow(ctx, registry(i)))
	}
	ended = append(ended, exchangeSamples(ctx, rosters, late))
	t.Cleanup(func() {
		cancel()
		for _, e := range ended {
			<-e
		}
	})
	return rosters
}

// Guards against an age of the routes that is too small: a node with it accepts keys that were
// revoked before. Answers, samples and fetches are late by up to 6 s each way, as after a
// freeze of any process or with a stalled link.
func TestRoutesAgeIsNeverTooSmall(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 20261204))
			late := &delays{random: rand.New(rand.NewPCG(seed, 1))}
			g := newRegistry()
			g.publishCustomers(1)
			rosters := startVerifying(t, g, 6, late, func(int) prim.Registry { return lateRegistry{g, late} })
			published := []time.Time{{}, time.Now()} // by version
			checked := 0
			for next := time.Now(); len(published) < 200; time.Sleep(7 * time.Millisecond) {
				now := time.Now()
				if !now.Before(next) {
					g.publishCustomers(uint64(len(published)))
					published = append(published, now)
					next = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
					time.Sleep(time.Millisecond)
					now = time.Now()
				}
				for i, r := range rosters {
					age, known := r.RoutesAge(now)
					version := r.Placement().Routing.Version
					if !known || version+1 >= uint64(len(published)) {
						continue
					}
					checked++
					if published[version+1].Before(now.Add(-age)) {
						t.Fatalf("seed %d: node %d has version %d and the age %s, but the next version is %s old", seed, i, version, age, now.Sub(published[version+1]))
					}
				}
			}
			if checked < 1000 {
				t.Fatalf("only %d ages were checked", checked)
			}
		})
	}
}

// maxCalmAge is the age of the routes that a node has at most while the registry answers it or
// a node that it hears.
const maxCalmAge = maxAnswerAge + answerAgeJitter + selectionInterval + 50*time.Millisecond

// watchAges returns the largest age of the routes of the nodes during some time.
func watchAges(t *testing.T, rosters []*Roster, d time.Duration) (largest time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, r := range rosters {
			age, known := r.RoutesAge(time.Now())
			if !known {
				t.Fatalf("node %d does not know the age of its routes", i)
			}
			largest = max(largest, age)
		}
	}
	return largest
}

// Guards against keys that are refused although the registry answers, and against nodes that
// all poll the registry to verify their routes instead of asking each other: with no changes,
// with many, and with a third of the nodes refused by the registry.
func TestRoutesAgeStaysSmall(t *testing.T) {
	for name, c := range map[string]struct {
		change  time.Duration // time between two changes, 0 for none
		refused func(i int) bool
	}{
		"quiet":           {0, func(int) bool { return false }},
		"busy":            {90 * time.Millisecond, func(int) bool { return false }},
		"now and then":    {time.Second, func(int) bool { return false }},
		"a third refused": {0, func(i int) bool { return i%3 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRegistry()
				g.publishCustomers(1)
				var refusing atomic.Bool
				rosters := startVerifying(t, g, 20, nil, func(i int) prim.Registry {
					if c.refused(i) {
						return refusingRegistry{g, &refusing}
					}
					return g
				})
				time.Sleep(10 * time.Second)
				refusing.Store(true)
				time.Sleep(10 * time.Second)
				if c.change > 0 {
					ctx, cancel := context.WithCancel(t.Context())
					changed := make(chan struct{})
					go func() {
						defer close(changed)
						for ctx.Err() == nil {
							g.putEntry("changing", time.Now().UnixMilli()%2 == 0)
							time.Sleep(c.change)
						}
					}()
					defer func() { cancel(); <-changed }()
				}
				calls := g.callCount()
				largest := watchAges(t, rosters, 30*time.Second)
				if largest > maxCalmAge {
					t.Errorf("routes were up to %s old; want at most %s", largest, maxCalmAge)
				}
				if c.change == 0 {
					if n := g.callCount() - calls; n > 60 {
						t.Errorf("%d calls in 30 s; want one for each poll", n) // if all 20 polled it would be hundreds
					}
				}
			})
		})
	}
}

// refusingRegistry answers no calls while refusing is set.
type refusingRegistry struct {
	*fakeRegistry
	refusing *atomic.Bool
}

var errRefused = errors.New("refused")

func (r refusingRegistry) Read(ctx context.Context) (prim.Published, prim.Revision, error) {
	if r.refusing.Load() {
		return prim.Published{}, 0, errRefused
	}
	return r.fakeRegistry.Read(ctx)
}

func (r refusingRegistry) Changes(ctx context.Context, after prim.Revision, d time.Duration) (prim.Published, prim.Revision, error) {
	if r.refusing.Load() {
		return prim.Published{}, 0, errRefused
	}
	return r.fakeRegistry.Changes(ctx, after, d)
}

// Guards against a node that no other one helps and that verifies its routes late after the
// registry's return, and against calls without a pause while the registry is away.
func TestRoutesAreVerifiedSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		g.publishCustomers(1)
		rosters := startVerifying(t, g, 20, nil, func(int) prim.Registry { return g })
		time.Sleep(10 * time.Second)
		g.setError(errors.New("down"))
		time.Sleep(5 * time.Second)
		calls := g.callCount()
		time.Sleep(10 * time.Second)
		is.True(g.callCount()-calls < 20*10*3) // each node at most three times a second
		g.setError(nil)
		time.Sleep(verifyRetryDelay + 2*selectionInterval + 50*time.Millisecond)
		for _, r := range rosters {
			age, known := r.RoutesAge(time.Now())
			is.True(known)
			is.True(age < maxCalmAge)
		}
	})
}
