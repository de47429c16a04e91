// Package stats records measurements of finished requests: outcome counts and
// latency histograms for each customer and class, the latency added by this
// system for each class, and named counters. Recorder implements prim.Recorder
// and expvar.Var.
package stats

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Other is the customer, class or counter name under which everything beyond a
// limit is recorded. No customer has this name because names contain no
// parentheses.
const Other = "(other)"

// Config configures a Recorder. Zero values select the defaults.
type Config struct {
	// MaxSeries limits the number of series, which are pairs of customer and class;
	// 256 by default. A series takes about 40 kB, so the default is 10 MB of a
	// node's 128 MB.
	MaxSeries int
	// MaxCounters limits the number of named counters; 256 by default.
	MaxCounters int
	// Window is the time that a histogram covers; 1 minute by default. A summary
	// covers the current window and the previous one.
	Window time.Duration
}

// idleWindows is the number of windows without requests after which a series may
// be removed to make room for a new one.
const idleWindows = 10

// seriesKey identifies a series.
type seriesKey struct {
	customer prim.Customer
	class    prim.Class
}

// series holds the measurements of one customer and class.
type series struct {
	done, notRun, unknown, serverErrors atomic.Int64
	latency                             *window
}

// Recorder records finished requests. Its methods are safe for concurrent use.
type Recorder struct {
	config Config
	start  time.Time

	// The maps are copied on write, so that the request path reads them without a
	// lock. mu serialises the writes.
	series   atomic.Pointer[map[seriesKey]*series]
	added    atomic.Pointer[map[prim.Class]*window]
	counters atomic.Pointer[map[string]*atomic.Int64]

	mu sync.Mutex
	// lastPrune is when idle series were last removed, in nanoseconds since start.
	lastPrune atomic.Int64
}

var _ prim.Recorder = (*Recorder)(nil)

// New returns a Recorder.
func New(config Config) *Recorder {
	if config.MaxSeries <= 0 {
		config.MaxSeries = 256
	}
	if config.MaxCounters <= 0 {
		config.MaxCounters = 256
	}
	if config.Window <= 0 {
		config.Window = time.Minute
	}
	r := &Recorder{config: config, start: time.Now()}
	r.series.Store(&map[seriesKey]*series{})
	r.added.Store(&map[prim.Class]*window{})
	r.counters.Store(&map[string]*atomic.Int64{})
	return r
}

// Request records a call as the caller observed it. An added latency of zero is
// unknown and is not recorded.
func (r *Recorder) Request(request *prim.Request, outcome prim.Outcome, status int, latency, added time.Duration) {
	now := time.Now()
	s := r.seriesFor(seriesKey{request.Customer, request.Class}, now)
	switch outcome {
	case prim.Done:
		s.done.Add(1)
		if status >= 500 {
			s.serverErrors.Add(1)
		}
	case prim.NotRun:
		s.notRun.Add(1)
	default:
		s.unknown.Add(1)
	}
	// Refusals caused by the caller, such as 429, take almost no time and would
	// hide the latency of the accepted calls.
	if outcome != prim.NotRun || status >= 500 {
		s.latency.record(latency, now)
	}
	if added > 0 {
		w := loadOrCreate(&r.mu, &r.added, request.Class, r.config.MaxSeries, Other, func() *window { return newWindow(r.config.Window, now) })
		w.record(added, now)
	}
}

// Count adds n to a named counter.
func (r *Recorder) Count(name string, n int64) {
	loadOrCreate(&r.mu, &r.counters, name, r.config.MaxCounters, Other, func() *atomic.Int64 { return new(atomic.Int64) }).Add(n)
}

// seriesFor returns the series of a key, or the shared overflow series if the
// limit is reached.
func (r *Recorder) seriesFor(k seriesKey, now time.Time) *series {
	if s, ok := (*r.series.Load())[k]; ok {
		return s
	}
	r.pruneIdleSeries(now)
	return loadOrCreate(&r.mu, &r.series, k, r.config.MaxSeries, seriesKey{Other, Other}, func() *series {
		return &series{latency: newWindow(r.config.Window, now)}
	})
}

// pruneIdleSeries removes idle series if the limit is reached, at most once in a window. A
// request that is being recorded for an idle series at the same time may be lost.
func (r *Recorder) pruneIdleSeries(now time.Time) {
	sinceStart, lastPrune := int64(now.Sub(r.start)), r.lastPrune.Load()
	if len(*r.series.Load()) < r.config.MaxSeries || sinceStart-lastPrune < int64(r.config.Window) || !r.lastPrune.CompareAndSwap(lastPrune, sinceStart) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.series.Load())
	maps.DeleteFunc(next, func(_ seriesKey, s *series) bool { return s.latency.idleTime(now) > idleWindows*r.config.Window })
	r.series.Store(&next)
}

// loadOrCreate returns the value of a key and creates it if it is missing and the
// map has fewer than limit values. At the limit it returns the value of the key
// overflow instead, which may be created in addition to limit values.
func loadOrCreate[K comparable, V any](mu *sync.Mutex, pointer *atomic.Pointer[map[K]*V], k K, limit int, overflow K, create func() *V) *V {
	current := *pointer.Load()
	if v, ok := current[k]; ok {
		return v
	}
	if v, ok := current[overflow]; ok && len(current) >= limit {
		return v
	}
	mu.Lock()
	defer mu.Unlock()
	latest := *pointer.Load()
	if len(latest) >= limit {
		k = overflow
	}
	if v, ok := latest[k]; ok {
		return v
	}
	next := maps.Clone(latest)
	next[k] = create()
	pointer.Store(&next)
	return next[k]
}

// Snapshot is the state of a Recorder as reported by the status and metrics
// endpoints.
type Snapshot struct {
	Since time.Time
	// Requests is sorted by customer and class.
	Requests []RequestSummary
	// Added is the latency added by this system, sorted by class.
	Added    []AddedSummary
	Counters map[string]int64
}

// RequestSummary summarises the requests of one customer and class. The counts
// are since the series was created; the latency covers the current window and the
// previous one, without calls that were refused with a status below 500.
type RequestSummary struct {
	Customer              prim.Customer
	Class                 prim.Class
	Done, NotRun, Unknown int64
	// ServerErrors counts those among Done with a status of 500 or above.
	ServerErrors int64
	Latency      Summary
}

// AddedSummary summarises the added latency of one class.
type AddedSummary struct {
	Class   prim.Class
	Latency Summary
}

// Snapshot returns the current state.
func (r *Recorder) Snapshot() Snapshot {
	now := time.Now()
	out := Snapshot{Since: r.start, Requests: []RequestSummary{}, Added: []AddedSummary{}, Counters: map[string]int64{}}
	for k, s := range *r.series.Load() {
		out.Requests = append(out.Requests, RequestSummary{
			Customer: k.customer, Class: k.class,
			Done: s.done.Load(), NotRun: s.notRun.Load(), Unknown: s.unknown.Load(), ServerErrors: s.serverErrors.Load(),
			Latency: s.latency.summary(now),
		})
	}
	slices.SortFunc(out.Requests, func(a, b RequestSummary) int {
		if c := strings.Compare(string(a.Customer), string(b.Customer)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Class), string(b.Class))
	})
	for c, w := range *r.added.Load() {
		out.Added = append(out.Added, AddedSummary{Class: c, Latency: w.summary(now)})
	}
	slices.SortFunc(out.Added, func(a, b AddedSummary) int { return strings.Compare(string(a.Class), string(b.Class)) })
	for name, n := range *r.counters.Load() {
		out.Counters[name] = n.Load()
	}
	return out
}

// String returns the snapshot as JSON, which makes a Recorder an expvar.Var.
func (r *Recorder) String() string {
	b, err := json.Marshal(r.Snapshot())
	if err != nil {
		return `{"Error":"the snapshot cannot be encoded"}`
	}
	return string(b)
}
