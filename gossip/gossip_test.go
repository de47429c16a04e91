package gossip_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// TestMain runs the tests with GOMAXPROCS=1. With more, the race detector runtime of
// Go 1.26.8 sometimes crashes on timers in synctest bubbles (in StackDepot, or with
// "CHECK failed: tsan_rtl.cpp:346"). Races are still detected, since the detector
// checks the order of synchronisation rather than timing.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}

// convergenceTime is the time in which a change must be in effect on all reachable
// nodes.
const convergenceTime = 10 * time.Second

// newestVersions returns the newest valid version of each document that is known in a
// partition: held by one of its nodes or served by the platform to one of them.
func (f *fleet) newestVersions(partition int) map[string]uint64 {
	newest := map[string]uint64{}
	current := f.history[max(len(prim.DocumentNames), len(f.history)-1-f.platformLag)]
	for h, n := range f.nodes {
		if f.partition[h] != partition {
			continue
		}
		for name, d := range n.View().Digests {
			newest[name] = max(newest[name], d.Version)
		}
		for name, d := range current {
			if !f.platformDown && !f.platformBlocked[h] && string(d.Body) == fmt.Sprintf(`"good %d"`, d.Version) {
				newest[name] = max(newest[name], d.Version)
			}
		}
	}
	return newest
}

// requireConvergence waits for convergenceTime and checks that every node then holds
// the versions that were the newest in its partition before.
func (f *fleet) requireConvergence(t *rapid.T) {
	want := map[int]map[string]uint64{}
	for h := range f.nodes {
		want[f.partition[h]] = f.newestVersions(f.partition[h])
	}
	time.Sleep(convergenceTime)
	for h, n := range f.nodes {
		for name, v := range want[f.partition[h]] {
			if got := n.View().Digests[name].Version; got < v {
				t.Errorf("%s holds %s at version %d after %s, want %d; %+v", h, name, got, convergenceTime, v, n.Status())
			}
		}
	}
}

// Guards against a version decreasing, an invalid version replacing a valid one, and
// a reachable node not getting the newest version, under message loss, delay,
// duplication and reordering, partitions, a platform that is down or stale, and nodes
// that restart with empty state.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "nodes")
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		seed := rapid.Uint64().Draw(t, "seed")
		type event struct {
			pause time.Duration
			kind  string
			host  int
		}
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
				kind: rapid.SampledFrom([]string{
					"publish", "publish", "bad", "panic", "down", "stale", "flap", "up", "split", "heal", "offline", "online", "restart",
				}).Draw(t, "what"),
				host: rapid.IntRange(0, n-1).Draw(t, "host"),
			}
		}), 0, 12).Draw(t, "events")
		rapid.SyncTest(t, func(t *rapid.T) {
			f := newFleet(t, n, seed)
			f.lossRate, f.seeds = loss, []prim.HostName{"h0", "h1"}
			defer f.stopAll()
			f.startAll()
			f.requireConvergence(t)
			for _, e := range events {
				time.Sleep(e.pause)
				f.applyEvent(e.kind, f.hosts[e.host])
			}
			f.requireConvergence(t)
			f.applyEvent("heal", f.hosts[0])
			f.requireConvergence(t)
		})
	})
}

func (f *fleet) applyEvent(kind string, h prim.Host) {
	documents := []string{prim.NamePlans, prim.NameDataCentres}
	name := documents[f.random()%2]
	switch kind {
	case "publish":
		f.publish(name, "good")
	case "bad", "panic":
		f.publish(name, kind)
	case "restart":
		f.stop(h.Name)
		f.start(h)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case "down", "up":
		f.platformDown, f.platformLag, f.platformFlaps = kind == "down", 0, false
	case "stale", "flap":
		f.platformLag, f.platformFlaps = 1+f.rng.IntN(3), kind == "flap"
	case "split":
		for _, h := range f.hosts {
			f.partition[h.Name] = f.rng.IntN(2)
		}
	case "heal":
		clear(f.partition)
	case "offline", "online":
		f.platformBlocked[h.Name] = kind == "offline"
	}
}

// checkFleets checks a property of fleets of random sizes in a synctest bubble. All
// hosts are in the host list; the property starts the nodes that it needs.
func checkFleets(t *testing.T, minHosts, maxHosts int, property func(t *rapid.T, f *fleet)) {
	rapid.Check(t, func(t *rapid.T) {
		n, seed := rapid.IntRange(minHosts, maxHosts).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed")
		rapid.SyncTest(t, func(t *rapid.T) {
			f := newFleet(t, n, seed)
			defer f.stopAll()
			property(t, f)
		})
	})
}

// Guards against an invalid version being fetched in a loop and against a valid
// version that follows it being ignored.
func TestBadVersionFetchedOnce(t *testing.T) {
	checkFleets(t, 1, 6, func(t *rapid.T, f *fleet) {
		f.startAll()
		f.requireConvergence(t)
		f.publish(prim.NamePlans, "bad")
		time.Sleep(time.Minute)
		f.mu.Lock()
		n, reads := len(f.hosts), f.fetchCounts[`"bad 2"`]
		f.mu.Unlock()
		if reads < n || reads > 2*n {
			t.Errorf("%d nodes fetched the invalid version %d times in a minute", n, reads)
		}
		if s := f.nodes["h0"].Status().Documents[0]; s.Version != 1 || s.Refused == nil || s.Refused.Version != 2 {
			t.Errorf("status does not show the refused version: %+v", s)
		}
		f.publish(prim.NamePlans, "good")
		f.requireConvergence(t)
	})
}

// Guards against a new Issued reaching only the nodes that read the platform, and
// against Issued decreasing when the platform serves stale documents.
func TestIssuedSpreads(t *testing.T) {
	checkFleets(t, 2, 8, func(t *rapid.T, f *fleet) {
		for _, h := range f.hosts[1:] {
			f.platformBlocked[h.Name] = true
		}
		f.startAll()
		time.Sleep(2 * convergenceTime)
		lastIssued := map[prim.HostName]time.Time{}
		for h, n := range f.nodes {
			lastIssued[h] = n.View().HostsIssued()
			if age := time.Since(lastIssued[h]); age > convergenceTime {
				t.Errorf("%s has a host list issued %s ago", h, age)
			}
		}
		f.applyEvent("stale", f.hosts[0])
		time.Sleep(convergenceTime)
		for h, n := range f.nodes {
			if issued := n.View().HostsIssued(); issued.Before(lastIssued[h]) {
				t.Errorf("%s: Issued decreased from %s to %s", h, lastIssued[h], issued)
			}
		}
	})
}

// Guards against a node without state that only one other node can reach, which has no
// other way to find it than to try, while three in ten messages are lost and the platform is
// down.
func TestRestartInPartitionOfTwo(t *testing.T) {
	checkFleets(t, 4, 8, func(t *rapid.T, f *fleet) {
		f.lossRate, f.seeds = 0.3, []prim.HostName{"h0", "h1"}
		f.startAll()
		f.requireConvergence(t)
		f.applyEvent("down", f.hosts[0])
		f.mu.Lock()
		f.partition["h2"], f.partition["h3"] = 1, 1
		f.mu.Unlock()
		time.Sleep(time.Duration(f.random()%3000) * time.Millisecond)
		f.applyEvent("restart", f.hosts[2])
		f.requireConvergence(t)
	})
}

// Guards against a node that starts while the platform is down getting no documents,
// even if it is not in the host list of the other nodes.
func TestJoinWhilePlatformDown(t *testing.T) {
	checkFleets(t, 1, 6, func(t *rapid.T, f *fleet) {
		f.startAll()
		f.requireConvergence(t)
		f.applyEvent("down", f.hosts[0])
		f.seeds = []prim.HostName{"h0"}
		joiner := f.start(prim.Host{Name: "joiner", DataCentre: "d1"})
		defer f.stop("joiner")
		f.requireConvergence(t)
		if s := joiner.Status(); s.Documents[0].Source == "platform" || s.PlatformError == "" {
			t.Errorf("unexpected status of the joined node: %+v", s)
		}
	})
}

// Guards against a node of a large fleet that reaches the platform but no peer
// keeping the regular read interval of 25 s in a fleet of that size.
func TestIsolatedNodeReadsOften(t *testing.T) {
	checkFleets(t, 9100, 9100, func(t *rapid.T, f *fleet) {
		f.start(f.hosts[0])
		f.requireConvergence(t)
		f.mu.Lock()
		start, readsBefore := time.Now(), f.indexReads
		f.mu.Unlock()
		for range 4 {
			time.Sleep(time.Duration(f.random()%20_000) * time.Millisecond)
			f.publish(prim.NamePlans, "good")
			f.requireConvergence(t)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if n, maxReads := f.indexReads-readsBefore, int(time.Since(start)/(4*time.Second))+1; n > maxReads {
			t.Errorf("%d reads in %s, want at most %d", n, time.Since(start), maxReads)
		}
	})
}
