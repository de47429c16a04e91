package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

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
					"publish", "publish", "bad", "panic", "down", "stale", "up", "split", "heal", "offline", "online", "restart",
				}).Draw(t, "what"),
				host: rapid.IntRange(0, n-1).Draw(t, "host"),
			}
		}), 0, 12).Draw(t, "events")
		rapid.SyncTest(t, func(t *rapid.T) {
			w := newWorld(t, n, seed)
			w.loss, w.seeds = loss, []prim.HostName{"h0", "h1"}
			for _, h := range w.hosts {
				w.start(h)
			}
			defer w.endAll()
			w.settle(t)
			for _, e := range events {
				time.Sleep(e.pause)
				w.apply(e.what, w.hosts[e.host])
			}
			w.settle(t)
			w.mu.Lock()
			clear(w.side)
			w.mu.Unlock()
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
		w.down, w.stale = what == "down", 0
	case "stale":
		w.stale = 1 + w.r.IntN(3)
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
