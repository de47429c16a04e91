package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	prim "github.com/primrosethread/primrosethread"
)

// latencyEstimator estimates the time after which an attempt of a class is late.
// Two histograms cover the current and the previous period, so the estimate drops
// a slow phase within two periods.
type latencyEstimator struct {
	quantile float64
	initial  time.Duration

	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram // microseconds
	periodStart       time.Time
	sinceEstimate     int // values recorded since the estimate was updated
	estimate          time.Duration
}

const (
	latencyPeriod = 10 * time.Second
	// valuesPerEstimate is the number of values recorded between two updates of
	// the estimate. Reading a quantile scans the whole histogram.
	valuesPerEstimate = 32
)

func newLatencyEstimator(quantile float64, initial time.Duration) *latencyEstimator {
	return &latencyEstimator{quantile: quantile, initial: initial, current: newHistogram(), previous: newHistogram(), estimate: initial}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, 2)
}

// maxLatencyMicros is prim.MaxTimeout in microseconds, the unit of the histograms.
const maxLatencyMicros = int64(prim.MaxTimeout / time.Microsecond)

// record adds the latency of an attempt. A cancelled attempt counts with the time
// until its cancellation: leaving out slow attempts would lower the quantile and
// cause more hedges.
func (e *latencyEstimator) record(now time.Time, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.periodStart.IsZero() {
		e.periodStart = now
	}
	if now.Sub(e.periodStart) > latencyPeriod {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.periodStart = now
	}
	// RecordValue fails only for values above maxLatencyMicros, which min
	// excludes.
	_ = e.current.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
	if e.sinceEstimate++; e.sinceEstimate < valuesPerEstimate {
		return
	}
	e.sinceEstimate = 0
	q := max(e.current.ValueAtQuantile(e.quantile*100), e.previous.ValueAtQuantile(e.quantile*100))
	e.estimate = time.Duration(q) * time.Microsecond
}

// lateAfter returns the time after which an attempt is late.
func (e *latencyEstimator) lateAfter() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate
}
