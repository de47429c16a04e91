// Package stats records finished requests: outcome counts and latency
// histograms for each customer and class, the latency that the system added,
// and named counters. It implements prim.Recorder and expvar.Var.
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

// Other is the customer, class or counter name of what is beyond a bound. No
// customer has this name, since names have no brackets.
const Other = "(other)"

// Config holds the bounds of a Recorder. Zero values take the defaults.
type Config struct {
	// MaxSeries bounds the pairs of customer and class, 256 by default. Each
	// takes about 40 kB, so the default is 10 MB of a node's 128 MB.
	MaxSeries int
	// MaxCounters bounds the named counters, 256 by default.
	MaxCounters int
	// Window is the time that a histogram covers, 1 minute by default. A
	// summary covers the current window and the one before it.
	Window time.Duration
}

// idleWindows is the number of windows after which a series without requests
// may make room for a new one.
const idleWindows = 10

// key names a series.
type key struct {
	customer prim.Customer
	class    prim.Class
}

// series holds the measurements of one customer and class.
type series struct {
	done, notRun, unknown, errors atomic.Int64
	took                          *window
}

// Recorder records finished requests. Its methods may be called at once from
// many goroutines.
type Recorder struct {
	c     Config
	since time.Time

	// The maps are replaced as a whole when a name is added, so that the request
	// path reads them without a lock. mu serialises the replacements.
	series   atomic.Pointer[map[key]*series]
	added    atomic.Pointer[map[prim.Class]*window]
	counters atomic.Pointer[map[string]*atomic.Int64]

	mu sync.Mutex
	// pruned is when the series were last looked through for idle ones, in
	// nanoseconds since the start.
	pruned atomic.Int64
}

var _ prim.Recorder = (*Recorder)(nil)

// New returns a Recorder.
func New(c Config) *Recorder {
	if c.MaxSeries <= 0 {
		c.MaxSeries = 256
	}
	if c.MaxCounters <= 0 {
		c.MaxCounters = 256
	}
	if c.Window <= 0 {
		c.Window = time.Minute
	}
	r := &Recorder{c: c, since: time.Now()}
	r.series.Store(&map[key]*series{})
	r.added.Store(&map[prim.Class]*window{})
	r.counters.Store(&map[string]*atomic.Int64{})
	return r
}

// Request records a call as the caller saw it. An added time of zero is unknown
// and not recorded.
func (r *Recorder) Request(q *prim.Request, o prim.Outcome, status int, took, added time.Duration) {
	now := time.Now()
	s := r.find(key{q.Customer, q.Class}, now)
	switch o {
	case prim.Done:
		s.done.Add(1)
		if status >= 500 {
			s.errors.Add(1)
		}
	case prim.NotRun:
		s.notRun.Add(1)
	default:
		s.unknown.Add(1)
	}
	// Refusals for the caller's own cause, such as 429, take no time and would
	// hide the latency of the calls that were let in.
	if o != prim.NotRun || status >= 500 {
		s.took.record(took, now)
	}
	if added > 0 {
		w := get(&r.mu, &r.added, q.Class, r.c.MaxSeries, Other, func() *window { return newWindow(r.c.Window, now) })
		w.record(added, now)
	}
}

// Count adds to a named counter.
func (r *Recorder) Count(name string, n int64) {
	get(&r.mu, &r.counters, name, r.c.MaxCounters, Other, func() *atomic.Int64 { return new(atomic.Int64) }).Add(n)
}

// find returns the series of a key, or the common one if there are too many.
func (r *Recorder) find(k key, now time.Time) *series {
	if s, ok := (*r.series.Load())[k]; ok {
		return s
	}
	r.prune(now)
	return get(&r.mu, &r.series, k, r.c.MaxSeries, key{Other, Other}, func() *series {
		return &series{took: newWindow(r.c.Window, now)}
	})
}

// prune removes idle series if the bound is reached, at most once in a window.
// A request that is recorded at this moment for an idle series may be lost.
func (r *Recorder) prune(now time.Time) {
	at, last := int64(now.Sub(r.since)), r.pruned.Load()
	if len(*r.series.Load()) < r.c.MaxSeries || at-last < int64(r.c.Window) || !r.pruned.CompareAndSwap(last, at) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.series.Load())
	maps.DeleteFunc(next, func(_ key, s *series) bool { return s.took.idle(now) > idleWindows*r.c.Window })
	r.series.Store(&next)
}

// get returns the value of a key and creates it if there is room; otherwise it
// returns the value of the key rest, which is beyond the bound.
func get[K comparable, V any](mu *sync.Mutex, in *atomic.Pointer[map[K]*V], k K, most int, rest K, create func() *V) *V {
	now := *in.Load()
	if v, ok := now[k]; ok {
		return v
	}
	if v, ok := now[rest]; ok && len(now) >= most {
		return v
	}
	mu.Lock()
	defer mu.Unlock()
	old := *in.Load()
	if len(old) >= most {
		k = rest
	}
	if v, ok := old[k]; ok {
		return v
	}
	next := maps.Clone(old)
	next[k] = create()
	in.Store(&next)
	return next[k]
}

// Snapshot is the state of a Recorder, in the form that status and metrics show.
type Snapshot struct {
	Since time.Time
	// Requests are sorted by customer and class.
	Requests []RequestSummary
	// Added is the time that the system spent on requests, by class.
	Added    []AddedSummary
	Counters map[string]int64
}

// RequestSummary sums up the requests of one customer and class. The counts
// are since the start; the latency is that of the current window and the last,
// without calls that were refused with a status below 500.
type RequestSummary struct {
	Customer              prim.Customer
	Class                 prim.Class
	Done, NotRun, Unknown int64
	// ServerErrors are those among Done with a status of 500 and above.
	ServerErrors int64
	Latency      Summary
}

// AddedSummary sums up the added latency of one class.
type AddedSummary struct {
	Class   prim.Class
	Latency Summary
}

// Snapshot returns the current state.
func (r *Recorder) Snapshot() Snapshot {
	now := time.Now()
	out := Snapshot{Since: r.since, Requests: []RequestSummary{}, Added: []AddedSummary{}, Counters: map[string]int64{}}
	for k, s := range *r.series.Load() {
		out.Requests = append(out.Requests, RequestSummary{
			Customer: k.customer, Class: k.class,
			Done: s.done.Load(), NotRun: s.notRun.Load(), Unknown: s.unknown.Load(), ServerErrors: s.errors.Load(),
			Latency: s.took.summary(now),
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
