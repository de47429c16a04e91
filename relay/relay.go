// Package relay is the ingress side of a request whose route, deadline and kind
// are published and whose servers tell their load: it chooses a server, makes
// attempts and ends every request as Done, NotRun or Unknown.
//
// It differs from package retry in three points. The owners' samples are exact
// and pushed, so it ranks servers by the time at which each would answer, and
// does not explore. Dispatch takes one step also for requests that are not
// idempotent: the owner decides within microseconds, and a refusal says when to
// come back. And a request that no server can finish in time is refused at once,
// with a time to come back, instead of waiting until its deadline.
package relay

import (
	"log/slog"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
)

// Links tells which hosts can be reached without dialling.
type Links interface {
	Linked(h prim.HostName) bool
	Connect(h prim.HostName)
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
	// Budget returns the retry budget of a service at this node.
	Budget func() *budget.Budget
	// Distance is the time of one way to another data centre.
	Distance time.Duration
	// Detour is how much sooner a server of another data centre has to answer
	// to be chosen, per kilobyte that crosses the link.
	Detour time.Duration
}

// Relay implements prim.Caller.
type Relay struct {
	c Config

	mu       sync.Mutex
	hosts    map[prim.HostName]*host
	services map[prim.Service]*budget.Budget
	classes  map[prim.Class]*class
	subsets  map[prim.Service]*subset
}

var _ prim.Caller = (*Relay)(nil)

// New returns a Relay.
func New(c Config) *Relay {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Relay{
		c:        c,
		hosts:    make(map[prim.HostName]*host),
		services: make(map[prim.Service]*budget.Budget),
		classes:  make(map[prim.Class]*class),
		subsets:  make(map[prim.Service]*subset),
	}
}

// first counts a first attempt towards the budget of its service.
func (r *Relay) first(s prim.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(s).First(time.Now())
}

func (r *Relay) take(s prim.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(s).Take(time.Now())
}

// budget returns the budget of a service. The caller holds r.mu.
func (r *Relay) budget(s prim.Service) *budget.Budget {
	b := r.services[s]
	if b == nil {
		b = r.c.Budget()
		r.services[s] = b
	}
	return b
}

func (r *Relay) count(name string) {
	if r.c.Recorder != nil {
		r.c.Recorder.Count(name, 1)
	}
}

// Observe takes a load sample that an owner has pushed.
func (r *Relay) Observe(h prim.HostName, s prim.Sample) {
	s.Host = h
	r.host(h).observe(time.Now(), s)
}

// Last returns the newest sample of a host, zero if there is none.
func (r *Relay) Last(h prim.HostName) prim.Sample {
	s, _ := r.host(h).last(time.Now())
	return s
}

// Linked tells that a link to a host was opened.
func (r *Relay) Linked(h prim.HostName) { r.host(h).reachable() }

// Unlinked tells that the last link to a host has ended.
func (r *Relay) Unlinked(h prim.HostName) { r.host(h).unreachable(time.Now()) }

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

// Retain forgets hosts that are not listed, so that the memory of replaced
// hosts is freed.
func (r *Relay) Retain(listed func(prim.HostName) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.hosts {
		if !listed(name) && h.pending.Load() == 0 {
			delete(r.hosts, name)
		}
	}
}
