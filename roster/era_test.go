package roster

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// loseChanges makes changes that a restore from the returned copy loses. All of them are
// known to the nodes.
func loseChanges(g *fakeRegistry) (lost *fakeRegistry) {
	time.Sleep(10 * time.Second)
	lost = g.copyRegistry()
	g.publishRoutes(2)
	g.putEntry("i-3", true)
	g.removeEntry("i-4")
	g.putEntry("i-new", false)
	g.setSwitch("b", true)
	g.publishRoutes(3)
	time.Sleep(reportedRemovalWindow + time.Second) // an outage doesn't revert the removal
	return lost
}

// isInEffect reports whether a node uses what loseChanges published.
func isInEffect(p *prim.Placement) bool {
	return p.Routing.Version >= 3 && p.ServerByID("i-3").Draining && p.ServerByID("i-4") == nil &&
		p.ServerByID("i-new") != nil && p.IsDataCentreOut("b")
}

// Guards against confirmed changes that are reverted, and later ones that are not
// applied, because the registry was restored from an older copy.
func TestChangesHoldAcrossRestore(t *testing.T) {
	for name, outage := range map[string]time.Duration{"short outage": 0, "long outage": 2 * time.Second} {
		// With more writes after the restore than changes that were lost, numbers of the
		// new era are above those known from before.
		for _, writes := range []int{0, 3, 20} {
			t.Run(fmt.Sprint(name, ", ", writes, " writes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testRestore(t, outage, writes) })
			})
		}
	}
}

func testRestore(t *testing.T, outage time.Duration, writes int) {
	is := is.New(t)
	g := newRegistry()
	rosters, _ := startGroup(t, g, 12)
	old := loseChanges(g)
	if outage > 0 {
		g.setError(errors.New("down"))
		time.Sleep(outage)
		g.setError(nil)
	}
	g.restore(old)
	for range writes {
		g.update(func() {})
	}
	check := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, r := range rosters {
				is.True(isInEffect(r.Placement()))
			}
		}
	}
	check(time.Second)
	g.setSwitch("b", true)
	g.putEntry("i-new", false)
	g.putEntry("i-3", true)
	g.removeEntry("i-4")
	g.publishRoutes(3)
	check(10 * time.Second)
	g.publishRoutes(4)
	g.putEntry("i-5", true)
	g.setSwitch("b", false)
	time.Sleep(2 * time.Second)
	for _, r := range rosters {
		p := r.Placement()
		is.Equal(p.Routing.Version, uint64(4))
		is.True(p.ServerByID("i-5").Draining)
		is.True(!p.IsDataCentreOut("b"))
	}
}

// Guards against entries and switches from before a restore that are kept for ever
// although nobody writes them again.
func TestLostChangesEndAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, _ := startGroup(t, g, 12)
		g.restore(loseChanges(g))
		// The nodes notice the restore by a poll, and confirm their state by another one.
		time.Sleep(2*(minPollAge+pollAgeJitter) + republishDelay + time.Second)
		for _, r := range rosters {
			p := r.Placement()
			is.Equal(p.Routing.Version, uint64(3)) // versions of the routes never go back
			is.True(!p.ServerByID("i-3").Draining) // no start of the server is known
			is.True(p.ServerByID("i-4") != nil)
			is.True(p.ServerByID("i-new") == nil)
			is.True(!p.IsDataCentreOut("b"))
		}
	})
}

// startOf returns a start time of a server.
func startOf(n int) time.Time { return epoch.Add(time.Duration(n) * time.Minute) }

// putStart lists a start of a server.
func (g *fakeRegistry) putStart(id string, start int, draining bool) {
	g.putEntry(id, draining)
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[id]
	e.Born = startOf(start)
	g.entries[id] = e
}

// readAt applies a full read to a roster of the host of a server.
func readAt(t *testing.T, r *Roster, g *fakeRegistry) {
	t.Helper()
	s, revision, _ := g.Read(t.Context())
	is.New(t).NoErr(r.applySnapshot(time.Now(), s, revision))
}

// Guards against requests to a server that drained or left before a restore, and against
// servers that get none although they are alive, whatever the copy lists of them.
func TestServersAcrossRestore(t *testing.T) {
	const ttl = 3 * republishDelay
	for name, e := range map[string]struct {
		before, after func(g *fakeRegistry) // changes that are lost, and after the restore
		inUse         [3]bool               // at once, after RepublishDelay, and after EntryTTL
	}{
		"drained":                      {func(g *fakeRegistry) { g.putStart("i-1", 1, true) }, nil, [3]bool{false, false, false}},
		"restarted and drained":        {func(g *fakeRegistry) { g.putStart("i-1", 2, true) }, nil, [3]bool{false, false, false}},
		"drained, restarted after it":  {func(g *fakeRegistry) { g.putStart("i-1", 1, true) }, func(g *fakeRegistry) { g.putStart("i-1", 2, false) }, [3]bool{true, true, true}},
		"removed":                      {func(g *fakeRegistry) { g.removeEntry("i-1") }, nil, [3]bool{false, false, true}},
		"removed, restarted after it":  {func(g *fakeRegistry) { g.removeEntry("i-1") }, func(g *fakeRegistry) { g.putStart("i-1", 2, false) }, [3]bool{true, true, true}},
		"new, not written again":       {func(g *fakeRegistry) { g.removeEntry("i-1"); g.putStart("i-1", 2, false) }, func(g *fakeRegistry) { g.removeEntry("i-1") }, [3]bool{true, false, false}},
		"removed before and after it":  {func(g *fakeRegistry) { g.removeEntry("i-1") }, func(g *fakeRegistry) { g.removeEntry("i-1") }, [3]bool{false, false, false}},
		"lost, and removed in between": {func(*fakeRegistry) {}, func(g *fakeRegistry) { g.removeEntry("i-1") }, [3]bool{true, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRegistry()
				g.putStart("i-1", 1, false)
				g.putStart("i-2", 1, false)
				old := g.copyRegistry()
				r := New(Config{RepublishDelay: republishDelay, EntryTTL: ttl, Host: "host-i-2", DataCentre: "a"})
				readAt(t, r, g)
				e.before(g)
				g.update(func() {})
				readAt(t, r, g)
				g.restore(old)
				if e.after != nil {
					e.after(g)
				}
				for i, d := range []time.Duration{0, republishDelay, ttl} {
					time.Sleep(d)
					readAt(t, r, g)
					r.confirm(time.Now())
					r.endOverlay(time.Now())
					is.Equal(len(r.Placement().InService("s")) == 2, e.inUse[i])
				}
			})
		})
	}
}

// Guards against a restore from a copy of an era before the last one, whose numbers are
// above those of the last one.
func TestTwoRestoresKeepRemoval(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	early := g.copyRegistry()
	g.putEntry("i-0", false)
	for range 10 {
		g.update(func() {})
	}
	g.putEntry("i-1", false)
	late := g.copyRegistry()
	r := New(Config{RepublishDelay: republishDelay, DataCentre: "a"})
	readAt(t, r, g)
	g.removeEntry("i-1")
	readAt(t, r, g)
	g.restore(early)
	readAt(t, r, g)
	g.restore(late)
	readAt(t, r, g)
	is.True(r.Placement().ServerByID("i-1") == nil)
}

// Guards against what was kept from before a restore ending before the node has read what
// was written again, because the network is slow or the registry is away again.
func TestKeptUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		old := g.copyRegistry()
		r := New(Config{RepublishDelay: republishDelay, DataCentre: "a"})
		readAt(t, r, g)
		g.setSwitch("b", true)
		readAt(t, r, g)
		g.restore(old)
		begin := time.Now()
		s, revision, _ := g.Read(t.Context())
		time.Sleep(2 * republishDelay) // the transfer
		is.NoErr(r.applySnapshot(begin, s, revision))
		r.confirm(begin)
		r.endOverlay(time.Now())
		is.True(r.Placement().IsDataCentreOut("b"))
		time.Sleep(2 * republishDelay)
		r.endOverlay(time.Now())
		is.True(r.Placement().IsDataCentreOut("b"))
		r.confirm(time.Now())
		r.endOverlay(time.Now())
		is.True(!r.Placement().IsDataCentreOut("b"))
	})
}

// Guards against this host's server, and servers of hosts that are cut off with it, that
// get no requests because nobody wrote their entries again.
func TestOwnEntryIsKeptAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		old := g.copyRegistry()
		g.putEntry("i-1", false)
		g.putEntry("i-2", false)
		cut := New(Config{RepublishDelay: republishDelay, Host: "host-i-1", DataCentre: "a"})
		other := New(Config{RepublishDelay: republishDelay, Host: "host-i-3", DataCentre: "a"})
		readAt(t, cut, g)
		cut.setRegistryLost(time.Now())
		g.restore(old)
		readAt(t, other, g)
		cut.applyResponse(other.changesSince(cut.request()), "test")
		time.Sleep(2 * republishDelay)
		cut.confirm(time.Now())
		cut.endOverlay(time.Now())
		is.True(cut.mustRead())
		is.Equal(len(cut.Placement().Servers), 2)
		readAt(t, cut, g)
		is.Equal(len(cut.Placement().Servers), 0)
	})
}

// Guards against a node that starts after a restore, reads the older copy, and answers
// 404 for routes that the other nodes know.
func TestRestartAfterRestoreLearnsRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, _ := startGroup(t, g, 3)
		g.restore(loseChanges(g))
		time.Sleep(5 * time.Second)
		r, stop := startRoster(t, g)
		defer stop()
		time.Sleep(time.Second)
		is.Equal(r.Placement().Routing.Version, uint64(1))
		is.True(r.ObserveSample(time.Now(), "host-i-0", rosters[0].Annotate(time.Now(), prim.LoadSample{})))
		r.applyResponse(rosters[0].changesSince(r.request()), "test")
		is.Equal(r.Placement().Routing.Version, uint64(3))
	})
}

// Guards against nodes of this and of an earlier version, which doesn't know eras, that
// can't take over each other's changes during an update of the fleet.
func TestNodesWithoutEras(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	g.putEntry("i-1", false)
	g.restore(g.copyRegistry())
	read := func() *Roster {
		r := New(Config{RepublishDelay: republishDelay, DataCentre: "a"})
		s, revision, _ := g.Read(t.Context())
		is.NoErr(r.applySnapshot(epoch, s, revision))
		return r
	}
	older := read()
	g.putEntry("i-2", false)
	newer := read()
	sample := newer.Annotate(epoch, prim.LoadSample{})
	sample.Era = 0
	is.True(older.IsBehind(sample))
	req := older.request()
	req.Era = 0
	resp := newer.changesSince(req)
	for _, e := range resp.Servers {
		is.Equal(e.Revision.Era(), uint64(0))
	}
	resp.Era = 0
	older.applyResponse(resp, "test")
	is.Equal(older.Revision(), newer.Revision())
	is.Equal(older.Placement().Servers, newer.Placement().Servers)
}

// Guards against a node of an earlier version that hasn't noticed a restore, and whose
// higher numbers a node of this version takes for newer ones.
func TestNodeWithoutErasAfterRestore(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	g.putEntry("i-1", false)
	old := g.copyRegistry()
	for range 10 {
		g.update(func() {})
	}
	older, r := New(Config{RepublishDelay: republishDelay, DataCentre: "a"}), New(Config{RepublishDelay: republishDelay, DataCentre: "a"})
	g.publishRoutes(2)
	readAt(t, older, g)
	readAt(t, r, g)
	g.restore(old)
	readAt(t, r, g)
	sample := older.Annotate(epoch, prim.LoadSample{})
	sample.Era = 0
	is.True(!r.IsBehind(sample))
	older.SetRouting(prim.Routing{Version: 3}, "test")
	resp := older.changesSince(r.request())
	resp.Era = 0
	r.applyResponse(resp, "test")
	is.Equal(r.Revision(), g.revision)
	is.Equal(r.Placement().Routing.Version, uint64(3)) // versions order routes
}

// inconsistentRegistry is a registry whose watches are in another era than its full reads.
type inconsistentRegistry struct{ *fakeRegistry }

func (inconsistentRegistry) Changes(context.Context, prim.Revision, time.Duration) (prim.Published, prim.Revision, error) {
	return prim.Published{}, 0, prim.ErrHistoryGone
}

// Guards against full reads without a pause, if the registry disagrees with itself or
// with the other nodes about its era.
func TestDisputedEraIsReadSlowly(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, g *fakeRegistry, r *Roster) prim.Registry{
		"watches": func(_ *testing.T, g *fakeRegistry, _ *Roster) prim.Registry { return inconsistentRegistry{g} },
		"other nodes": func(t *testing.T, g *fakeRegistry, r *Roster) prim.Registry {
			ahead := newRegistry()
			ahead.restore(ahead.copyRegistry())
			readAt(t, r, ahead)
			return g
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRegistry()
				g.putEntry("i-1", false)
				r := New(Config{RepublishDelay: republishDelay, Host: "host-i-1", DataCentre: "a"})
				registry := start(t, g, r)
				ctx, cancel := context.WithCancel(t.Context())
				ended := r.Follow(ctx, registry)
				time.Sleep(time.Minute)
				is.True(g.callCount() < 100)
				is.True(g.callCount() > 5) // it tries again
				cancel()
				<-ended
			})
		})
	}
}

// Guards against contents from before a restore that arrive late and replace newer ones.
func TestEarlierEraIsRefused(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	g.putEntry("i-1", false)
	ctx := context.Background()
	early, earlyRevision, _ := g.Read(ctx)
	c := g.copyRegistry()
	g.restore(c)
	g.putEntry("i-1", true)
	r := New(Config{RepublishDelay: republishDelay, DataCentre: "a"})
	s, revision, _ := g.Read(ctx)
	is.NoErr(r.applySnapshot(epoch, s, revision))
	is.True(errors.Is(r.applySnapshot(epoch, early, earlyRevision), errEarlierEra))
	is.True(errors.Is(r.applyChanges(epoch, early, earlyRevision), errEarlierEra))
	is.True(r.Placement().ServerByID("i-1").Draining)
	is.Equal(r.Revision(), revision)
}
