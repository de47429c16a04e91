package roster

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// registry is a fake with one route version, one server and faults.
type registry struct {
	mu      sync.Mutex
	rev     uint64
	version uint64
	changed uint64 // revision of the version
	server  *prim.ServerEntry
	entryAt uint64 // revision of the server's last change
	err     error
	deaf    bool // operators' watches hear nothing
}

func (g *registry) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rev++
	f()
}

func (g *registry) Operators(context.Context) (prim.OperatorState, uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return prim.OperatorState{Routing: &prim.Routing{Version: g.version}}, g.rev, g.err
}

// wait polls until ready or the wait is over; it reports whether it was ready.
func (g *registry) wait(ctx context.Context, d time.Duration, ready func() bool) bool {
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		ok := ready() || g.err != nil
		g.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

func (g *registry) OperatorChanges(ctx context.Context, after uint64, d time.Duration) (prim.OperatorState, uint64, error) {
	g.wait(ctx, d, func() bool { return !g.deaf && g.changed > after })
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return prim.OperatorState{}, 0, ctx.Err()
	}
	if g.changed > after {
		return prim.OperatorState{Routing: &prim.Routing{Version: g.version}}, g.rev, g.err
	}
	return prim.OperatorState{}, after, g.err
}

func (g *registry) Servers(context.Context, bool) ([]prim.ServerEntry, uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server == nil {
		return nil, g.rev, g.err
	}
	return []prim.ServerEntry{*g.server}, g.rev, g.err
}

func (g *registry) Server(context.Context, string) (*prim.ServerEntry, uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server, g.rev, g.err
}

func (g *registry) ServerChanges(ctx context.Context, _ string, after uint64, d time.Duration) (*prim.ServerEntry, bool, uint64, error) {
	g.wait(ctx, d, func() bool { return g.entryAt > after })
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return nil, false, 0, ctx.Err()
	}
	return g.server, g.entryAt > after, g.rev, g.err
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
// nothing: another reader's failure makes it read everything again, and without
// one the watch is short.
func TestSilentWatch(t *testing.T) {
	for name, fails := range map[string]bool{"other reader fails": true, "nothing fails": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := New(Config{})
				g := &registry{rev: 1, version: 1, changed: 1}
				ctx, cancel := context.WithCancel(t.Context())
				ended := r.Follow(ctx, g, time.Second)
				time.Sleep(3 * time.Second)
				// Several changes, since a random watch may end at the right moment.
				for version := uint64(2); version < 10; version++ {
					g.set(func() { g.version, g.changed, g.deaf = version, g.rev, true })
					limit := minWatch
					if fails {
						r.doubt()
						limit = 2 * doubtGap
					}
					time.Sleep(limit)
					is.Equal(r.Placement().Routing.Version, version)
				}
				cancel()
				<-ended
			})
		})
	}
}

// Guards against a busy loop and against lost state while the registry is down.
func TestOutageKeepsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{})
		g := &registry{rev: 1, version: 1, changed: 1, server: &prim.ServerEntry{ID: "i-1", Service: "s", Host: "h"}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := r.Follow(ctx, g, 2*time.Second)
		time.Sleep(time.Second)
		g.set(func() { g.err = errors.New("down") })
		time.Sleep(10 * time.Second)
		is.Equal(r.Placement().Routing.Version, uint64(1))
		is.Equal(len(r.Placement().Servers), 1)
		// The entry has lapsed meanwhile and is back after a second.
		entry := g.server
		g.set(func() { g.err, g.server = nil, nil })
		time.Sleep(maxRetry + rejoin)
		is.Equal(len(r.Placement().Servers), 1)
		g.set(func() { g.server = entry })
		time.Sleep(2 * listEvery)
		is.Equal(len(r.Placement().Servers), 1)
		g.set(func() { g.server = nil })
		time.Sleep(3 * listEvery)
		is.Equal(len(r.Placement().Servers), 0)
		cancel()
		<-ended
	})
}

// Guards against work for a server whose entry drains or is removed, and against
// leaving because an entry lapsed during an outage of the registry.
func TestOwnServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{})
		entry := &prim.ServerEntry{ID: "i-1"}
		g := &registry{rev: 1, server: entry, entryAt: 1}
		var mu sync.Mutex
		leaving := false
		left := func() bool { mu.Lock(); defer mu.Unlock(); return leaving }
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.FollowServer(ctx, g, "i-1", 2*time.Second, func(on bool) { mu.Lock(); leaving = on; mu.Unlock() })
		}()
		write := func(e *prim.ServerEntry) { g.set(func() { g.server, g.entryAt = e, g.rev }) }
		time.Sleep(time.Second)
		is.True(!left())
		write(&prim.ServerEntry{ID: "i-1", Draining: true})
		time.Sleep(time.Second)
		is.True(left())
		write(entry)
		time.Sleep(time.Second)
		is.True(!left())
		// An outage during which the entry lapses; it is back in time.
		g.set(func() { g.err = errors.New("down") })
		time.Sleep(5 * time.Second)
		g.set(func() { g.err, g.server, g.entryAt = nil, nil, g.rev })
		time.Sleep(maxRetry)
		is.True(!left())
		write(entry)
		time.Sleep(3 * time.Second)
		is.True(!left())
		write(nil)
		time.Sleep(time.Second)
		is.True(left())
		cancel()
		<-ended
	})
}
