package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file implements latency histograms over a sliding time window. In a
// histogram over the lifetime of the process, a slow minute would be hidden by
// the data of the days before it.

const (
	// maxLatencyMicros is the longest latency that a histogram distinguishes, in
	// microseconds. It is twice the longest timeout that a caller may ask for.
	maxLatencyMicros = int64(2 * time.Minute / time.Microsecond)
	// significantDigits is the precision of a histogram in decimal digits. With two
	// digits, values are accurate to 1% and a histogram takes 20 kB; with three it
	// would take 160 kB.
	significantDigits = 2
)

// window holds two histograms: that of the current time window and that of the
// previous one.
type window struct {
	duration time.Duration

	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	start             time.Time // of the current window
	lastRecord        time.Time
}

func newWindow(duration time.Duration, now time.Time) *window {
	return &window{duration: duration, start: now, lastRecord: now,
		current:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		previous: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// record adds one duration.
func (w *window) record(d time.Duration, now time.Time) {
	micros := min(max(d.Microseconds(), 0), maxLatencyMicros)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	w.lastRecord = now
	// RecordValue fails only for a value outside the range.
	_ = w.current.RecordValue(micros)
}

// rotate starts a new window if the current one is over.
func (w *window) rotate(now time.Time) {
	elapsed := now.Sub(w.start)
	if elapsed < w.duration {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	if elapsed >= 2*w.duration {
		w.previous.Reset()
	}
	w.start = now
}

// idleTime returns the time since the last recorded value.
func (w *window) idleTime(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastRecord)
}

// Summary summarises a latency histogram, in milliseconds. The values are
// accurate to 1%.
type Summary struct {
	Count                       int64
	P50Ms, P99Ms, P999Ms, MaxMs float64
}

// summary summarises the current window and the previous one.
func (w *window) summary(now time.Time) Summary {
	w.mu.Lock()
	w.rotate(now)
	h := w.current.Clone()
	h.Merge(w.previous)
	w.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	if h.TotalCount() == 0 {
		return Summary{}
	}
	return Summary{
		Count: h.TotalCount(),
		P50Ms: ms(h.ValueAtQuantile(50)), P99Ms: ms(h.ValueAtQuantile(99)), P999Ms: ms(h.ValueAtQuantile(99.9)),
		MaxMs: ms(h.Max()),
	}
}
