package share

import (
	"testing"
	"time"
)

// Guards against the bound being broken by sequences of faults that random
// schedules reach too rarely. Each scenario fails when one rule is left out.
func TestScenarios(t *testing.T) {
	const margin = 1500 * time.Millisecond
	hold := testTerms.ShareHold
	wait := func(w *world, d time.Duration) { w.run(w.now + d) }
	for name, play := range map[string]func(w *world){
		// A node with a fresh host list and an old, larger allowance.
		"old allowance": func(w *world) {
			w.versions = append(w.versions, allowanceVersion{w.now, part{2, 1}})
			w.procs[0].lagLists = time.Hour
			w.procs[1].calls, w.procs[2].calls = 0, 0
			wait(w, hold+10*time.Second)
		},
		// A new instance lends while leases of its predecessor are in use.
		"restart": func(w *world) {
			for range 5 {
				w.procs[0].dead = true
				w.procs[0] = w.boot(w.entries[0], -margin, 0, 12)
				wait(w, 5*time.Second)
			}
		},
		// A slot was handed over, and its host restarts with a list from before.
		"old list": func(w *world) {
			w.entries[0].leaving = w.now
			wait(w, 3*time.Second)
			w.procs[0].dead = true
			w.boot(w.entries[0], 0, 6*time.Second, 12)
			wait(w, 15*time.Second)
		},
		"old list within the margin": func(w *world) {
			w.entries[0].leaving = w.now
			wait(w, time.Second)
			w.procs[0].dead = true
			w.boot(w.entries[0], -margin, 1200*time.Millisecond, 12).cut = true
			wait(w, 15*time.Second)
		},
		// The name of a machine was given to another one; both run.
		"namesake": func(w *world) {
			w.entries[0].until, w.procs[0].dead = w.now, true
			w.boot(w.addHost("h0", w.now), 0, 0, 12)
			wait(w, 2*hold)
			w.boot(w.entries[0], 0, 0, 12)
			wait(w, 10*time.Second)
		},
		// A repeated hand-over reaches another machine under the same name.
		"second receiver": func(w *world) {
			w.entries[0].leaving = w.now
			wait(w, 600*time.Millisecond)
			w.entries[1].until, w.procs[1].cut, w.procs[2].cut = w.now, true, true
			w.boot(w.addHost("h1", w.now), -margin, 0, 12)
			wait(w, 12*time.Second)
		},
		// An ingress node has a lease from the giver of a slot and loses touch.
		"hand-over": func(w *world) {
			w.entries[0].leaving = w.now
			wait(w, 600*time.Millisecond)
			w.procs[2].side = 1
			wait(w, 4*time.Second)
		},
		// A removed host with a slow clock, another one with a fast clock.
		"removed": func(w *world) {
			w.procs[0].skew, w.procs[1].skew = -margin, margin
			w.procs[0].lagHosts, w.procs[2].cut = 4*time.Second, true
			w.entries[0].until = w.now
			wait(w, hold+8*time.Second)
		},
		// A new host with a fast clock, the others with slow ones.
		"added": func(w *world) {
			w.procs[0].skew, w.procs[1].skew = -margin, -margin
			w.boot(w.addHost("", w.now), margin, 0, 12)
			wait(w, hold+8*time.Second)
		},
		// The service is published again while old nodes run on.
		"founded again": func(w *world) {
			w.service = w.now
			for i := range w.entries {
				w.entries[i].until, w.procs[i].cut = w.now, true
			}
			w.boot(w.addHost("", w.now), 0, 0, 12)
			w.boot(w.addHost("", w.now), 0, 0, 12)
			wait(w, 12*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newWorld(seed, 2, part{20, 1 + float64(seed%2)})
				for _, e := range w.entries {
					w.boot(e, 0, 0, 12)
				}
				w.boot(hostEntry{name: "ingress"}, 0, 0, 12)
				wait(w, 8*time.Second)
				play(w)
				if err := w.check(); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
