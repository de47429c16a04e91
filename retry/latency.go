package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	prim "github.com/primrosethread/primrosethread"
)

// latencies estimates when an attempt of a class is late. Two histograms cover
// the current and the last period, so that an estimate forgets a slow phase
// within two periods.
type latencies struct {
	quantile float64
	unknown  time.Duration

	mu        sync.Mutex
	now, last *hdrhistogram.Histogram // microseconds
	started   time.Time
	fresh     int // values recorded since the estimate
	estimate  time.Duration
}

const (
	latencyPeriod = 10 * time.Second
	// latencyRefresh is how many values an estimate is kept for. Reading a
	// quantile scans the whole histogram.
	latencyRefresh = 32
)

func newLatencies(quantile float64, unknown time.Duration) *latencies {
	return &latencies{quantile: quantile, unknown: unknown, now: newHistogram(), last: newHistogram(), estimate: unknown}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, 2)
}

// maxMicros is prim.MaxTimeout in the unit of the histograms.
const maxMicros = int64(prim.MaxTimeout / time.Microsecond)

// record adds the latency of an attempt. A cancelled one counts with the time
// that it had taken, since leaving out the slow ones would move the quantile
// down and cause more hedges.
func (l *latencies) record(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started.IsZero() {
		l.started = now
	}
	if now.Sub(l.started) > latencyPeriod {
		l.now, l.last = l.last, l.now
		l.now.Reset()
		l.started = now
	}
	// Values beyond the histogram's range cannot occur below prim.MaxTimeout.
	_ = l.now.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
	if l.fresh++; l.fresh < latencyRefresh {
		return
	}
	l.fresh = 0
	q := max(l.now.ValueAtQuantile(l.quantile*100), l.last.ValueAtQuantile(l.quantile*100))
	l.estimate = time.Duration(q) * time.Microsecond
}

// late returns the time after which an attempt is late.
func (l *latencies) late() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate
}
