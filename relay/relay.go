// Package relay selects servers for requests on the ingress node and retries failed
// attempts. It is for services with published routes, deadlines and idempotency whose
// servers report their load. Every request ends as Done, NotRun or Unknown.
//
// It differs from package retry in three points. Owners, the nodes on the servers'
// hosts, push exact load samples, so servers are ranked by the expected time of an
// answer, without exploration. Requests that are not idempotent are dispatched in one
// step as well, without a reservation: the owner decides within microseconds, and a
// refusal carries a time to retry after. A request that no server can finish in time is
// refused at once, with a time to retry after, instead of waiting until its deadline.
package relay

import (
	"log/slog"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
)

// Links reports which hosts have an open link and opens links.
type Links interface {
	Linked(h prim.HostName) bool
	Connect(h prim.HostName)
	// CutOff reports whether a host without a link did not answer the last dial, and the
	// time until the next one may begin.
	CutOff(h prim.HostName) (wait time.Duration, cutOff bool)
}

// Config configures a Relay.
type Config struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
	Placements prim.Placements
	Owners     prim.Owners
	Links      Links
	Recorder   prim.Recorder
	Logger     *slog.Logger
	// Budget returns a new retry budget for one service at this node.
	Budget func() *budget.Budget
	// AnswerBy returns the time by which requests have to be answered because this node
	// stops; zero if it does not. It may be nil.
	AnswerBy func() time.Time
	// CheckAnswer returns an error for an answer of a host that must not reach a caller. It may
	// be nil. The owner has checked its server's answers; this is for owners at nodes of earlier
	// versions.
	CheckAnswer func(prim.HostName, *prim.Request, *prim.Answer) error
	// Region returns the region of a data centre, or "" if it is unknown. SetRegions must be
	// called after its results have changed. If it is nil, all regions are unknown.
	Region func(prim.DataCentre) prim.Region
	// DataCentreDelay and RegionDelay are the one-way latencies that are assumed until they
	// are measured: to another data centre of the same region and of another region, where
	// it is not less than DataCentreDelay.
	DataCentreDelay, RegionDelay time.Duration
	// LinkCostPerKB is how much sooner a server in another data centre has to answer to
	// be selected, per kilobyte of request and answer. Another region costs
	// otherRegionCost times as much.
	LinkCostPerKB time.Duration
}

// Relay implements prim.Caller.
type Relay struct {
	config    Config
	distances distances

	mu      sync.Mutex
	hosts   map[prim.HostName]*host
	budgets map[prim.Service]*budget.Budget
	classes map[prim.Class]*class
	subsets map[subsetKey]*subset
}

var _ prim.Caller = (*Relay)(nil)

// New returns a Relay. Nothing is logged if c.Logger is nil.
func New(c Config) *Relay {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.AnswerBy == nil {
		c.AnswerBy = func() time.Time { return time.Time{} }
	}
	if c.CheckAnswer == nil {
		c.CheckAnswer = func(prim.HostName, *prim.Request, *prim.Answer) error { return nil }
	}
	if c.Region == nil {
		c.Region = func(prim.DataCentre) prim.Region { return "" }
	}
	return &Relay{
		config:    c,
		distances: distances{byDataCentre: make(map[prim.DataCentre]*distance)},

		hosts:   make(map[prim.HostName]*host),
		budgets: make(map[prim.Service]*budget.Budget),
		classes: make(map[prim.Class]*class),
		subsets: make(map[subsetKey]*subset),
	}
}

// countFirstAttempt adds a first attempt to the retry budget of the service.
func (r *Relay) countFirstAttempt(s prim.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(s).RecordFirst(time.Now())
}

// takeRetryToken takes a token from the retry budget of the service, if there is one.
func (r *Relay) takeRetryToken(s prim.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(s).Take(time.Now())
}

// budget returns the retry budget of a service. The caller must hold r.mu.
func (r *Relay) budget(s prim.Service) *budget.Budget {
	b := r.budgets[s]
	if b == nil {
		b = r.config.Budget()
		r.budgets[s] = b
	}
	return b
}

func (r *Relay) count(name string) {
	if r.config.Recorder != nil {
		r.config.Recorder.Count(name, 1)
	}
}

// Observe records a load sample that an owner has pushed.
func (r *Relay) Observe(h prim.HostName, s prim.LoadSample) {
	s.Host = h
	r.host(h).observe(time.Now(), s)
}

// Last returns the latest sample of a host, the zero LoadSample if there is none.
func (r *Relay) Last(h prim.HostName) prim.LoadSample {
	s, _ := r.host(h).lastSample(time.Now())
	return s
}

// LinkOpened records that a link to a host was opened.
func (r *Relay) LinkOpened(h prim.HostName) { r.host(h).markReachable() }

// LinkClosed records that the last link to a host was closed.
func (r *Relay) LinkClosed(h prim.HostName) { r.host(h).markUnreachable(time.Now()) }

func (r *Relay) host(name prim.HostName) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hosts[name]
	if h == nil {
		h = &host{name: name}
		r.hosts[name] = h
	}
	return h
}

func (r *Relay) class(name prim.Class) *class {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[name]
	if c == nil {
		c = &class{}
		r.classes[name] = c
	}
	return c
}

// Retain deletes the state of hosts that are not listed and have no pending dispatches,
// to free the memory of replaced hosts.
func (r *Relay) Retain(listed func(prim.HostName) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.hosts {
		if !listed(name) && h.pending.Load() == 0 {
			delete(r.hosts, name)
		}
	}
}
