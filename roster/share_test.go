package roster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

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
