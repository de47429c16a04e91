package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file holds latency histograms over a sliding time. A histogram since the
// start of a process would hide today's slow minute behind last week's.

const (
	// highest is the longest latency that is told apart, in microseconds. It is
	// twice the longest time that a caller may ask for.
	highest = int64(2 * time.Minute / time.Microsecond)
	// digits are the significant digits of a histogram. Two keep the values
	// within 1% and a histogram at 20 kB; three would take 160 kB.
	digits = 2
)

// window holds two histograms: the one of the current window of time and the
// one before it.
type window struct {
	length time.Duration

	mu        sync.Mutex
	now, last *hdrhistogram.Histogram
	start     time.Time // of the current window
	used      time.Time // of the last record
}

func newWindow(length time.Duration, now time.Time) *window {
	return &window{length: length, start: now, used: now,
		now:  hdrhistogram.New(1, highest, digits),
		last: hdrhistogram.New(1, highest, digits)}
}

// record adds one duration.
func (w *window) record(d time.Duration, now time.Time) {
	v := min(max(d.Microseconds(), 0), highest)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(now)
	w.used = now
	// The value is within the range, so there is no error.
	_ = w.now.RecordValue(v)
}

// turn starts a new window if the current one is over.
func (w *window) turn(now time.Time) {
	past := now.Sub(w.start)
	if past < w.length {
		return
	}
	w.now, w.last = w.last, w.now
	w.now.Reset()
	if past >= 2*w.length {
		w.last.Reset()
	}
	w.start = now
}

// idle returns the time since the last record.
func (w *window) idle(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.used)
}

// Summary sums up a latency histogram, in milliseconds. Values are exact to 1%.
type Summary struct {
	Count                       int64
	P50Ms, P99Ms, P999Ms, MaxMs float64
}

// summary sums up the current window and the one before it.
func (w *window) summary(now time.Time) Summary {
	w.mu.Lock()
	w.turn(now)
	h := w.now.Clone()
	h.Merge(w.last)
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
