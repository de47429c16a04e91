package roster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// registry is a fake with faults. Its history is never dropped by itself.
type registry struct {
	mu      sync.Mutex
	rev     uint64
	routing prim.Routing
	entries map[string]prim.ServerEntry
	removed []prim.Removal
	from    uint64 // the history goes back to it
	err     error
	deaf    bool // watches that wait hear nothing
	calls   int
}

func newRegistry() *registry {
	return &registry{rev: 1, from: 1, routing: prim.Routing{Version: 1, Revision: 1}, entries: make(map[string]prim.ServerEntry)}
}

func (g *registry) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rev++
	f()
}

func (g *registry) route(version uint64) {
	g.set(func() { g.routing = prim.Routing{Version: version, Revision: g.rev} })
}

func (g *registry) put(id string, draining bool) {
	g.set(func() {
		g.entries[id] = prim.ServerEntry{ID: id, Service: "s", Host: prim.HostName("host-" + id), DataCentre: "a", Draining: draining, Revision: g.rev}
	})
}

func (g *registry) drop(id string) {
	g.set(func() {
		delete(g.entries, id)
		g.removed = append(g.removed, prim.Removal{ID: id, Revision: g.rev})
	})
}

// count returns the number of calls so far.
func (g *registry) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func (g *registry) fail(err error) { g.set(func() { g.err = err }) }

// since returns what has changed after a revision. The caller holds g.mu.
func (g *registry) since(after uint64) (s prim.Published) {
	if g.routing.Revision > after {
		v := g.routing
		s.Routing = &v
	}
	for _, e := range g.entries {
		if e.Revision > after {
			s.Servers = append(s.Servers, e)
		}
	}
	for _, m := range g.removed {
		if _, back := g.entries[m.ID]; m.Revision > after && !back {
			s.Removed = append(s.Removed, m)
		}
	}
	return s
}

func (g *registry) Read(context.Context) (prim.Published, uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	s := g.since(0)
	s.Removed = nil
	return s, g.rev, g.err
}

func (g *registry) Changes(ctx context.Context, after uint64, d time.Duration) (prim.Published, uint64, error) {
	g.mu.Lock()
	g.calls++
	g.mu.Unlock()
	deadline := time.Now().Add(d)
	for first := true; ; first = false {
		g.mu.Lock()
		s, at, err, gone, deaf := g.since(after), g.rev, g.err, after < g.from, g.deaf && !first
		g.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return prim.Published{}, 0, ctx.Err()
		case err != nil:
			return prim.Published{}, 0, err
		case deaf && time.Now().Before(deadline):
		case gone:
			return prim.Published{}, 0, prim.ErrHistoryGone
		case !s.Empty(), !time.Now().Before(deadline):
			return s, at, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// republished is how long entries are kept after an outage in these tests.
const republished = 2 * time.Second

// alone starts a roster that hears from no other node.
func alone(t *testing.T, g *registry) (r *Roster, stop func()) {
	r = New(Config{Host: "host-i-1", DataCentre: "a"})
	ctx, cancel := context.WithCancel(t.Context())
	ended := r.Follow(ctx, g, republished)
	return r, func() {
		cancel()
		<-ended
	}
}

// Guards against versions that go back, whatever order sources offer them in.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{})
		var routes, revision uint64
		out := false
		for range 50 {
			v := rapid.Uint64Range(1, 20).Draw(t, "version")
			r.SetRouting(prim.Routing{Version: v}, "test")
			routes = max(routes, v)
			s := prim.CentreSwitch{DataCentre: "a", Out: rapid.Bool().Draw(t, "out"), Revision: rapid.Uint64Range(1, 100).Draw(t, "revision")}
			if s.Revision > revision {
				revision, out = s.Revision, s.Out
			}
			r.SetSwitch(s, "test")
			p := r.Placement()
			if p.Routing.Version != routes || p.Out("a") != out {
				t.Fatalf("version %d, out %v; want %d, %v", p.Routing.Version, p.Out("a"), routes, out)
			}
		}
	})
}

// Guards against a node that goes on with old routes because its watch hears
// nothing, with and without history.
func TestSilentWatch(t *testing.T) {
	for name, compacted := range map[string]bool{"history is gone": true, "history is there": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRegistry()
				g.put("i-1", false)
				r, stop := alone(t, g)
				defer stop()
				time.Sleep(3 * time.Second)
				g.mu.Lock()
				g.deaf = true
				g.mu.Unlock()
				// Several changes, since a watch may end at the right moment.
				for version := uint64(2); version < 10; version++ {
					g.route(version)
					if compacted {
						g.set(func() { g.from = g.rev })
					}
					time.Sleep(checkAfter + checkSpread + 2*dutyEvery)
					is.Equal(r.Placement().Routing.Version, version)
				}
			})
		})
	}
}

// Guards against a busy loop and against lost state while the registry is down, and
// against servers that are given up because their entries lapsed meanwhile.
func TestOutageKeepsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		g.put("i-1", false)
		r, stop := alone(t, g)
		defer stop()
		time.Sleep(time.Second)
		g.fail(errors.New("down"))
		calls := g.count()
		time.Sleep(20 * time.Second)
		is.True(g.count()-calls < 30)
		is.Equal(r.Placement().Routing.Version, uint64(1))
		is.Equal(len(r.Placement().Servers), 1)
		// The entry has lapsed meanwhile and is back after a second; another one
		// lapses a moment after the return.
		g.put("i-2", false)
		g.drop("i-1")
		g.fail(nil)
		for len(r.Placement().Servers) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		g.drop("i-2")
		time.Sleep(republished / 2)
		is.Equal(len(r.Placement().Servers), 2)
		g.put("i-1", false)
		time.Sleep(2 * republished)
		is.Equal(len(r.Placement().Servers), 1)
		g.drop("i-1")
		time.Sleep(2 * watchGap)
		is.Equal(len(r.Placement().Servers), 0)
		// An entry that is still missing after the outage is gone.
		g.put("i-1", false)
		time.Sleep(2 * watchGap)
		g.fail(errors.New("down"))
		time.Sleep(5 * time.Second)
		g.drop("i-1")
		g.fail(nil)
		time.Sleep(maxRetry*2 + republished)
		is.Equal(len(r.Placement().Servers), 0)
	})
}

// Guards against servers that are all given up by a reader whose watch outlived an
// outage of the registry, and against keeping them for good.
func TestLapseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		for i := range 8 {
			g.put(fmt.Sprint("i-", i), false)
		}
		r, stop := alone(t, g)
		defer stop()
		time.Sleep(time.Second)
		for i := range 8 {
			g.drop(fmt.Sprint("i-", i))
		}
		time.Sleep(time.Second)
		is.Equal(len(r.Placement().Servers), 8)
		for i := range 6 {
			g.put(fmt.Sprint("i-", i), false)
		}
		time.Sleep(2 * republished)
		is.Equal(len(r.Placement().Servers), 6)
		// One or two that go are gone.
		g.drop("i-1")
		g.drop("i-2")
		time.Sleep(2 * watchGap)
		is.Equal(len(r.Placement().Servers), 4)
	})
}

// Guards against entries that a node keeps or loses when it takes the state of
// others: whatever the order of changes, reads and questions between nodes, a node
// that has asked one with a higher revision has the same state as the registry had.
func TestStatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRegistry()
		rosters := make([]*Roster, 4)
		at := make([]uint64, len(rosters))    // of the watches; 0 before a read
		var late []func()                     // answers of other nodes on their way
		watch := make([]func(), len(rosters)) // answers of watches on their way
		for i := range rosters {
			rosters[i] = New(Config{DataCentre: "a"})
		}
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, len(rosters)-1).Draw(t, "node")
			r := rosters[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 6:
				o := rosters[rapid.IntRange(0, len(rosters)-1).Draw(t, "other")]
				q := r.question()
				s := o.since(q)
				late = append(late, func() { r.adopt(s, "test") })
			case 7:
				if at[i] > 0 && watch[i] == nil {
					s, seen := g.since(at[i]), g.rev
					watch[i] = func() { r.applyChanges(now, s); at[i] = max(at[i], seen) }
				}
			case 9:
				if watch[i] != nil {
					watch[i]()
					watch[i] = nil
				}
			case 8:
				if len(late) > 0 {
					late[0]()
					late = late[1:]
				}
			case 0:
				g.put(fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "id")), rapid.Bool().Draw(t, "draining"))
			case 1:
				g.drop(fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "id")))
			case 2:
				g.route(g.routing.Version + 1)
			case 3:
				s, seen, _ := g.Read(context.Background())
				r.applyAll(now, s, seen)
				at[i], watch[i] = seen, nil
			case 4:
				if at[i] > 0 && watch[i] == nil {
					r.applyChanges(now, g.since(at[i]))
					at[i] = g.rev
				}
			case 5:
				o := rosters[rapid.IntRange(0, len(rosters)-1).Draw(t, "other")]
				q := r.question()
				r.adopt(o.since(q), "test")
			}
		}
		for _, f := range slices.Concat(late, watch) {
			if f != nil {
				f()
			}
		}
		// The first reads all, the others go on with their watches or ask it.
		s, seen, _ := g.Read(context.Background())
		rosters[0].applyAll(now, s, seen)
		for i, r := range rosters {
			if at[i] > 0 {
				r.applyChanges(now, g.since(at[i]))
				continue
			}
			q := r.question()
			r.adopt(rosters[0].since(q), "test")
		}
		for i, r := range rosters {
			if r.routing.Version != g.routing.Version || len(r.servers) != len(g.entries) {
				t.Fatalf("node %d has version %d and %d servers; published are %d and %d", i, r.routing.Version, len(r.servers), g.routing.Version, len(g.entries))
			}
			for id, e := range g.entries {
				if v := r.servers[id]; !v.Same(&e) {
					t.Fatalf("node %d has %v of server %s; published is %v", i, v, id, e)
				}
			}
		}
	})
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// group starts rosters that hear from each other, as samples would carry it. A
// silenced one is not heard.
func group(t *testing.T, g *registry, n int) (rosters []*Roster, silenced []atomic.Bool) {
	ctx, cancel := context.WithCancel(t.Context())
	silenced = make([]atomic.Bool, n)
	var ended []<-chan error
	for i := range n {
		id := fmt.Sprint("i-", i)
		g.put(id, false)
		r := New(Config{Host: prim.HostName("host-" + id), DataCentre: "a"})
		rosters = append(rosters, r)
		ended = append(ended, r.Follow(ctx, g, republished))
	}
	spread := make(chan struct{})
	go func(ctx context.Context) {
		defer close(spread)
		for ctx.Err() == nil {
			now := time.Now()
			for i, from := range rosters {
				s := from.Stamp(now, prim.Sample{})
				for j, to := range rosters {
					if i == j || silenced[i].Load() || silenced[j].Load() {
						continue
					}
					if to.Heard(now, from.c.Host, s) {
						q := to.question()
						to.adopt(from.since(q), "test")
					}
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}(ctx)
	t.Cleanup(func() {
		cancel()
		<-spread
		for _, e := range ended {
			<-e
		}
	})
	return rosters, silenced
}

func reading(rosters []*Roster) (n int) {
	for _, r := range rosters {
		if r.Stamp(time.Now(), prim.Sample{}).Reading {
			n++
		}
	}
	return n
}

// Guards against every node following the registry, and against changes that the
// others miss when all readers are gone at once.
func TestFewRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, silenced := group(t, g, 20)
		time.Sleep(10 * time.Second)
		is.Equal(reading(rosters), readers(20))
		calls := g.count()
		time.Sleep(60 * time.Second)
		is.True(g.count()-calls < 60) // about one a second, whatever the number of nodes
		for version := uint64(2); version < 5; version++ {
			gone := 0
			for i, r := range rosters {
				if r.Stamp(time.Now(), prim.Sample{}).Reading {
					silenced[i].Store(true)
					gone++
				}
			}
			is.True(gone > 0)
			g.route(version)
			time.Sleep(hearFor + 3*dutyEvery + 200*time.Millisecond)
			for _, r := range rosters {
				is.Equal(r.Placement().Routing.Version, version)
			}
			for i := range silenced {
				silenced[i].Store(false)
			}
			time.Sleep(5 * time.Second)
			is.Equal(reading(rosters), readers(20))
		}
	})
}

// Guards against a fleet that calls a registry which is down as often as it has
// nodes, and against nodes that notice its return late.
func TestOutageIsTriedByFew(t *testing.T) {
	for _, n := range []int{3, 3, 3, 3, 20} {
		synctest.Test(t, func(t *testing.T) { testOutage(t, n) })
	}
}

func testOutage(t *testing.T, n int) {
	is := is.New(t)
	g := newRegistry()
	rosters, silenced := group(t, g, n)
	time.Sleep(10 * time.Second)
	g.fail(errors.New("down"))
	calls := g.count()
	time.Sleep(10 * time.Second)
	is.True(g.count()-calls < 120) // 20 nodes that try every 1.6 s at most make 200 and more
	g.fail(nil)
	g.route(2)
	time.Sleep(maxRetry + 400*time.Millisecond)
	for _, r := range rosters {
		is.Equal(r.Placement().Routing.Version, uint64(2))
	}
	// Nodes that had given up trying are ready to take over again.
	for i, r := range rosters {
		silenced[i].Store(r.Stamp(time.Now(), prim.Sample{}).Reading)
	}
	g.route(3)
	time.Sleep(hearFor + 3*dutyEvery + 200*time.Millisecond)
	for _, r := range rosters {
		is.Equal(r.Placement().Routing.Version, uint64(3))
	}
}

// Guards against nodes that start together and send all entries to each other, since
// each has read at another revision.
func TestEqualEntriesAreNotSent(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	for i := range 50 {
		g.put(fmt.Sprint("i-", i), false)
	}
	read := func() *Roster {
		r := New(Config{DataCentre: "a"})
		s, at, _ := g.Read(context.Background())
		r.applyAll(epoch, s, at)
		return r
	}
	early := read()
	g.set(func() {}) // something that does not matter here
	late := read()
	s := late.since(early.question())
	is.True(s.Same && len(s.Servers) == 0)
	early.adopt(s, "test")
	is.Equal(early.Revision(), late.Revision())
	g.drop("i-7")
	s = read().since(early.question())
	is.True(s.Whole && len(s.Servers) == 49)
}

// Guards against readers that all nodes of a large data centre link to, and against
// nodes that listen to too few.
func TestListenersAreSpread(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	const hosts = 320
	for i := range hosts {
		g.put(fmt.Sprint("i-", i), false)
	}
	s, at, _ := g.Read(context.Background())
	listeners := make(map[prim.HostName]int)
	first := 0
	for i := range hosts {
		r := New(Config{Host: prim.HostName(fmt.Sprint("host-i-", i)), DataCentre: "a"})
		r.applyAll(epoch, s, at)
		is.Equal(len(r.Readers()), listenTo)
		for _, h := range r.Readers() {
			listeners[h]++
		}
		if r.ranked().first {
			first++
		}
	}
	is.Equal(first, readers(hosts))
	is.Equal(len(listeners), readers(hosts))
	for _, n := range listeners {
		is.True(n <= listenTo*(hosts/readers(hosts)+1))
	}
}

// Guards against a server that gets no more work because its host alone is cut off
// from the registry: its entry lapses, and the other nodes tell so.
func TestOwnEntryIsKeptWhenOthersTell(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	g.put("i-0", false)
	g.put("i-1", false)
	read := func(r *Roster) {
		s, at, _ := g.Read(context.Background())
		r.applyAll(epoch, s, at)
	}
	own, other := New(Config{Host: "host-i-0", DataCentre: "a"}), New(Config{Host: "host-i-1", DataCentre: "a"})
	read(own)
	g.drop("i-0")
	read(other)
	own.adopt(other.since(own.question()), "test")
	is.Equal(own.Revision(), other.Revision())
	is.True(own.Placement().Entry("i-0") != nil)
	is.True(own.doubts())
	// What the node reads itself counts.
	read(own)
	is.True(own.Placement().Entry("i-0") == nil)
	is.True(!own.doubts())
}

// Guards against a node that relies on others and goes on with its server after the
// server's entry was removed.
func TestOwnRemovalIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, _ := group(t, g, 20)
		time.Sleep(10 * time.Second)
		for i, r := range rosters {
			if r.Stamp(time.Now(), prim.Sample{}).Reading {
				continue
			}
			id := fmt.Sprint("i-", i)
			g.drop(id)
			time.Sleep(watchGap + 3*dutyEvery + 400*time.Millisecond)
			is.True(r.Placement().Entry(id) == nil)
			return
		}
	})
}

// Guards against nodes that all rely on each other: where the first ones are silent,
// each of the others hears the rest read, and after a dropped history nobody reads
// anything.
func TestOthersTakeOverForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, silenced := group(t, g, 12)
		time.Sleep(10 * time.Second)
		for i, r := range rosters {
			silenced[i].Store(r.Stamp(time.Now(), prim.Sample{}).Reading)
		}
		time.Sleep(5 * time.Second)
		for version := uint64(2); version < 12; version++ {
			acting := 0
			for i, r := range rosters {
				if !silenced[i].Load() && r.Stamp(time.Now(), prim.Sample{}).Reading {
					acting++
				}
			}
			is.True(acting >= leastReaders)
			is.True(acting <= leastReaders+1)
			g.set(func() { g.from, g.deaf = g.rev, true })
			g.route(version)
			g.set(func() { g.from = g.rev })
			time.Sleep(checkAfter + checkSpread + 2*actFor)
			g.set(func() { g.deaf = false })
			for i, r := range rosters {
				if !silenced[i].Load() {
					is.Equal(r.Placement().Routing.Version, version)
				}
			}
		}
	})
}

// Guards against a node that is cut off from the registry with others and stops using
// their servers, which it reaches, because the rest tell that their entries lapsed;
// and against keeping them when it is back.
func TestCutOffNodeKeepsServers(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	for i := range 6 {
		g.put(fmt.Sprint("i-", i), false)
	}
	read := func(r *Roster, now time.Time) {
		s, at, _ := g.Read(context.Background())
		r.applyAll(now, s, at)
	}
	cut, other := New(Config{Host: "host-i-0", DataCentre: "a"}), New(Config{Host: "host-i-5", DataCentre: "a"})
	now := time.Now()
	read(cut, now)
	read(other, now)
	tell := func(id string) {
		g.drop(id)
		read(other, now)
		cut.adopt(other.since(cut.question()), "test")
	}
	tell("i-1")
	is.Equal(len(cut.Placement().Servers), 5) // it may be gone
	tell("i-0")
	is.True(cut.doubts())
	cut.setLost(now)
	tell("i-2")
	is.Equal(len(cut.Placement().Servers), 6)
	s := cut.since(question{})
	is.Equal(len(s.Servers), 3) // what is held is not passed on
	// The registry is back: what is missing is kept for a while.
	cut.keepMissing(now.Add(republished))
	g.put("i-2", false)
	read(cut, now)
	is.Equal(len(cut.Placement().Servers), 6)
	read(cut, now.Add(2*republished))
	is.Equal(len(cut.Placement().Servers), 4)
}

// severed is one node's way to a registry, which may be cut.
type severed struct {
	*registry
	off atomic.Bool
}

var errSevered = errors.New("no way to the registry")

func (s *severed) Read(ctx context.Context) (prim.Published, uint64, error) {
	if s.off.Load() {
		return prim.Published{}, 0, errSevered
	}
	return s.registry.Read(ctx)
}

func (s *severed) Changes(ctx context.Context, after uint64, d time.Duration) (prim.Published, uint64, error) {
	if s.off.Load() {
		return prim.Published{}, 0, errSevered
	}
	return s.registry.Changes(ctx, after, d)
}

// Guards against the same at a running node that relies on others: it has to notice
// that it is cut off, and to drop what it held after the end of that.
func TestCutOffNodeNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		for i := range 6 {
			g.put(fmt.Sprint("i-", i), false)
		}
		way := &severed{registry: g}
		cut, other := New(Config{Host: "host-i-0", DataCentre: "b"}), New(Config{Host: "host-i-5", DataCentre: "a"})
		ctx, cancel := context.WithCancel(t.Context())
		ended := cut.Follow(ctx, way, republished)
		// Two readers are heard all the time, so the node itself does not read.
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				s := other.Stamp(time.Now(), prim.Sample{})
				s.Reading = true
				for _, h := range []prim.HostName{"reader-1", "reader-2"} {
					if cut.Heard(time.Now(), h, s) {
						cut.adopt(other.since(cut.question()), "test")
					}
				}
			}
		}
		tell := func(id string) {
			g.drop(id)
			s, at, _ := g.Read(ctx)
			other.applyAll(time.Now(), s, at)
			pass(time.Second)
		}
		pass(5 * time.Second)
		is.True(!cut.Stamp(time.Now(), prim.Sample{}).Reading)
		way.off.Store(true)
		tell("i-1")
		tell("i-0") // its own: it looks for itself and can't
		tell("i-2")
		is.Equal(len(cut.Placement().Servers), 6)
		way.off.Store(false)
		g.put("i-0", false)
		for cut.kept().IsZero() {
			pass(200 * time.Millisecond)
		}
		is.Equal(len(cut.Placement().Servers), 6)
		pass(2 * republished)
		is.Equal(len(cut.Placement().Servers), 4)
		cancel()
		<-ended
	})
}
