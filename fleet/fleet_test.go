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

// maxRunTime bounds the run of one fleet, excluding its start and stop.
const maxRunTime = 130 * time.Second

// Guards against faults, single and in pairs, that break a guarantee in the
// Tasmania fleet; see docs/failure-tests.md.
func TestTasmania(t *testing.T) {
	t.Parallel()
	runFleet(t, tasmania())
}

// Guards against faults, single and in pairs, that break a guarantee in the
// Kumasi fleet; see docs/failure-tests.md.
func TestKumasi(t *testing.T) {
	t.Parallel()
	runFleet(t, kumasi())
}

// runFleet starts a fleet, sends load, injects the faults, stops the fleet and checks
// the guarantees.
func runFleet(t *testing.T, d *deployment) {
	t.Logf("seed %d", baseSeed)
	// Each fleet gets the faults in its own order.
	seed := baseSeed ^ xxh3.HashString(d.name)
	bed := newTestbed(t.Context(), t, d, seed)
	err := bed.fleet.RunWhileAlive(t.Context(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, maxRunTime)
		defer cancel()
		bed.waitServing(ctx)
		var background sync.WaitGroup
		stop := make(chan struct{})
		watchCtx, stopWatching := context.WithCancel(ctx)
		background.Go(func() { bed.load.run(ctx, stop, seed) })
		background.Go(func() { bed.watchVersions(watchCtx) })
		bed.runSteps(ctx, seed)
		close(stop)
		stopWatching()
		background.Wait()
		bed.waitServing(ctx)
		return context.Cause(ctx)
	})
	if err != nil {
		t.Error(err)
	}
	if err := bed.fleet.Stop(); err != nil {
		t.Errorf("planned stop of all nodes: %v", err)
	}
	result := &runResult{records: bed.load.allRecords(), journals: make(map[*fleet.Host][]fleet.JournalEntry), spans: bed.spans}
	for _, h := range bed.fleet.Hosts {
		if result.journals[h], err = bed.fleet.Journal(h); err != nil {
			t.Error(err)
		}
	}
	for _, broken := range result.violations() {
		t.Error(broken)
	}
	bed.logSummary(result)
}

// hostPattern matches host names in answers, so that equal causes are counted
// together.
var hostPattern = regexp.MustCompile(`host "[^"]*"`)

// logSummary logs the request counts of a run, and the causes of answers with
// status 502 and above.
func (bed *testbed) logSummary(result *runResult) {
	outcomes := make(map[string]int)
	statuses := make(map[int]int)
	causes := make(map[string]int)
	var failed int
	for _, r := range result.records {
		if r.status >= 502 {
			cause := hostPattern.ReplaceAllString(r.detail, "a host")
			causes[fmt.Sprintf("%d %.180s", r.status, cause)]++
		}
		outcomes[r.outcome]++
		statuses[r.status]++
		if r.err != nil {
			failed++
		}
	}
	bed.t.Logf("%d requests, %d skipped, outcomes %v, statuses %v, %d without an answer, %.1f s",
		len(result.records), bed.load.skipped, outcomes, statuses, failed, time.Since(bed.started).Seconds())
	for c, n := range causes {
		bed.t.Logf("%5d times %s", n, c)
	}
}
