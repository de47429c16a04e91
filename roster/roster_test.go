package roster

import (
	"context"
	"errors"
	"fmt"
	"sync"
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

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
