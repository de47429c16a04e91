package gossip_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// TestMain runs the tests on one processor. With more, the race detector's own
// runtime of Go 1.26.8 crashes in some runs of timers in synctest bubbles (in
// StackDepot, or with "CHECK failed: tsan_rtl.cpp:346"). Races are still found,
// since the detector compares the order of synchronisation, not of time.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}

// inEffect is the time in which a change must be in effect on reachable nodes.
const inEffect = 10 * time.Second

// newest returns the newest good version of each document that is known on a
// side: held by one of its nodes or offered by the platform to one of them.
func (w *world) newest(side int) map[string]uint64 {
	best := map[string]uint64{}
	current := w.history[max(len(prim.DocumentNames), len(w.history)-1-w.stale)]
	for h, n := range w.nodes {
		if w.side[h] != side {
			continue
		}
		for name, d := range n.View().Digests {
			best[name] = max(best[name], d.Version)
		}
		for name, d := range current {
			if !w.down && !w.offline[h] && string(d.Body) == fmt.Sprintf(`"good %d"`, d.Version) {
				best[name] = max(best[name], d.Version)
			}
		}
	}
	return best
}

// settle waits until changes must be in effect and checks that they are.
func (w *world) settle(t *rapid.T) {
	want := map[int]map[string]uint64{}
	for h := range w.nodes {
		want[w.side[h]] = w.newest(w.side[h])
	}
	time.Sleep(inEffect)
	for h, n := range w.nodes {
		for name, v := range want[w.side[h]] {
			if got := n.View().Digests[name].Version; got < v {
				t.Errorf("%s holds %s at version %d after %s, want %d; %+v", h, name, got, inEffect, v, n.Status())
			}
		}
	}
}

// Guards against a version going back, a bad version replacing a good one, and a
// reachable node staying without the newest version, under loss, delay,
// duplicates, reordering, partitions, a platform that is down or stale, and nodes
// that restart with empty state.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "nodes")
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		seed := rapid.Uint64().Draw(t, "seed")
		type event struct {
			pause time.Duration
			what  string
			host  int
		}
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
				what: rapid.SampledFrom([]string{
					"publish", "publish", "bad", "panic", "down", "stale", "flap", "up", "split", "heal", "offline", "online", "restart",
				}).Draw(t, "what"),
				host: rapid.IntRange(0, n-1).Draw(t, "host"),
			}
		}), 0, 12).Draw(t, "events")
		rapid.SyncTest(t, func(t *rapid.T) {
			w := newWorld(t, n, seed)
			w.loss, w.seeds = loss, []prim.HostName{"h0", "h1"}
			defer w.endAll()
			w.startAll()
			w.settle(t)
			for _, e := range events {
				time.Sleep(e.pause)
				w.apply(e.what, w.hosts[e.host])
			}
			w.settle(t)
			w.apply("heal", w.hosts[0])
			w.settle(t)
		})
	})
}

func (w *world) apply(what string, h prim.Host) {
	documents := []string{prim.NamePlans, prim.NameDataCentres}
	name := documents[w.random()%2]
	switch what {
	case "publish":
		w.publish(name, "good")
	case "bad", "panic":
		w.publish(name, what)
	case "restart":
		w.end(h.Name)
		w.start(h)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch what {
	case "down", "up":
		w.down, w.stale, w.flaps = what == "down", 0, false
	case "stale", "flap":
		w.stale, w.flaps = 1+w.r.IntN(3), what == "flap"
	case "split":
		for _, h := range w.hosts {
			w.side[h.Name] = w.r.IntN(2)
		}
	case "heal":
		clear(w.side)
	case "offline", "online":
		w.offline[h.Name] = what == "offline"
	}
}

// check runs a property on fleets of generated sizes in a synctest bubble. The
// world has the hosts of its list, of which the property starts some or all.
func check(t *testing.T, least, most int, property func(t *rapid.T, w *world)) {
	rapid.Check(t, func(t *rapid.T) {
		n, seed := rapid.IntRange(least, most).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed")
		rapid.SyncTest(t, func(t *rapid.T) {
			w := newWorld(t, n, seed)
			defer w.endAll()
			property(t, w)
		})
	})
}

// Guards against a bad version being fetched in a loop and against the
// operator's correction being ignored after it.
func TestBadVersionFetchedOnce(t *testing.T) {
	check(t, 1, 6, func(t *rapid.T, w *world) {
		w.startAll()
		w.settle(t)
		w.publish(prim.NamePlans, "bad")
		time.Sleep(time.Minute)
		w.mu.Lock()
		n, reads := len(w.hosts), w.served[`"bad 2"`]
		w.mu.Unlock()
		if reads < n || reads > 2*n {
			t.Errorf("%d nodes fetched the bad version %d times in a minute", n, reads)
		}
		if s := w.nodes["h0"].Status().Documents[0]; s.Version != 1 || s.Refused == nil || s.Refused.Version != 2 {
			t.Errorf("status does not show the refused version: %+v", s)
		}
		w.publish(prim.NamePlans, "good")
		w.settle(t)
	})
}

// Guards against freshness that reaches only the nodes that read the platform,
// and against Issued going back when the platform turns stale.
func TestIssuedSpreads(t *testing.T) {
	check(t, 2, 8, func(t *rapid.T, w *world) {
		for _, h := range w.hosts[1:] {
			w.offline[h.Name] = true
		}
		w.startAll()
		time.Sleep(2 * inEffect)
		last := map[prim.HostName]time.Time{}
		for h, n := range w.nodes {
			last[h] = n.View().HostsIssued()
			if age := time.Since(last[h]); age > inEffect {
				t.Errorf("%s has a host list issued %s ago", h, age)
			}
		}
		w.apply("stale", w.hosts[0])
		time.Sleep(inEffect)
		for h, n := range w.nodes {
			if i := n.View().HostsIssued(); i.Before(last[h]) {
				t.Errorf("%s: Issued went back from %s to %s", h, last[h], i)
			}
		}
	})
}

// Guards against a node that starts while the platform is down staying without
// documents, also when the others do not have it in their host list.
func TestJoinWhilePlatformDown(t *testing.T) {
	check(t, 1, 6, func(t *rapid.T, w *world) {
		w.startAll()
		w.settle(t)
		w.apply("down", w.hosts[0])
		w.seeds = []prim.HostName{"h0"}
		joiner := w.start(prim.Host{Name: "joiner", DataCentre: "d1"})
		defer w.end("joiner")
		w.settle(t)
		if s := joiner.Status(); s.Documents[0].Source == "platform" || s.PlatformError == "" {
			t.Errorf("status of the joined node: %+v", s)
		}
	})
}

// Guards against a node of a large fleet that reaches the platform but no peer
// waiting the 25 s between two reads of a node in such a fleet.
func TestIsolatedNodeReadsOften(t *testing.T) {
	check(t, 9100, 9100, func(t *rapid.T, w *world) {
		w.start(w.hosts[0])
		w.settle(t)
		w.mu.Lock()
		start, before := time.Now(), w.indexes
		w.mu.Unlock()
		for range 4 {
			time.Sleep(time.Duration(w.random()%20_000) * time.Millisecond)
			w.publish(prim.NamePlans, "good")
			w.settle(t)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if n, most := w.indexes-before, int(time.Since(start)/(4*time.Second))+1; n > most {
			t.Errorf("%d reads in %s, want at most %d", n, time.Since(start), most)
		}
	})
}
