package fleet_test

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosethread/primrosethread/fleet"
)

// longest bounds the run of one fleet without its start and stop.
const longest = 130 * time.Second

// Guards against failures, alone and in pairs, that break a guarantee in the
// fleet of Tasmania: see docs/failure-tests.md.
func TestTasmania(t *testing.T) {
	t.Parallel()
	run(t, tasmania())
}

// Guards against the same in the fleet of Kumasi.
func TestKumasi(t *testing.T) {
	t.Parallel()
	run(t, kumasi())
}

// run starts a fleet, sends the load, makes the faults and checks what is left.
func run(t *testing.T, d *deployment) {
	t.Logf("seed %d", drawnSeed)
	// The two fleets meet the faults in different orders.
	seed := drawnSeed ^ xxh3.HashString(d.name)
	w := newWorld(t.Context(), t, d, seed)
	err := w.f.While(t.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, longest)
		defer cancel()
		w.serves(ctx)
		var background sync.WaitGroup
		stop := make(chan struct{})
		watching, end := context.WithCancel(ctx)
		background.Go(func() { w.load.run(ctx, stop, seed) })
		background.Go(func() { w.watch(watching) })
		w.run(ctx, seed)
		close(stop)
		end()
		background.Wait()
		w.serves(ctx)
		return context.Cause(ctx)
	})
	if err != nil {
		t.Error(err)
	}
	if err := w.f.Stop(); err != nil {
		t.Errorf("planned stop of all: %v", err)
	}
	e := &evidence{records: w.load.all(), journals: make(map[*fleet.Host][]fleet.Entry), spans: w.spans}
	for _, h := range w.f.Hosts {
		if e.journals[h], err = w.f.Journal(h); err != nil {
			t.Error(err)
		}
	}
	for _, broken := range e.judge() {
		t.Error(broken)
	}
	w.summary(e)
}

var host = regexp.MustCompile(`host "[^"]*"`)

// summary logs the figures of a run.
func (w *world) summary(e *evidence) {
	outcomes := make(map[string]int)
	statuses := make(map[int]int)
	causes := make(map[string]int)
	var failed int
	for _, r := range e.records {
		if r.status >= 502 {
			cause := host.ReplaceAllString(r.detail, "a host")
			causes[fmt.Sprintf("%d %.180s", r.status, cause)]++
		}
		outcomes[r.outcome]++
		statuses[r.status]++
		if r.err != nil {
			failed++
		}
	}
	w.t.Logf("%d requests, %d not sent, outcomes %v, statuses %v, %d without an answer, %.1f s",
		len(e.records), w.load.skipped, outcomes, statuses, failed, time.Since(w.began).Seconds())
	for c, n := range causes {
		w.t.Logf("%5d times %s", n, c)
	}
}
