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
	"context"
	"errors"
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
	}
}

const (
	// eagerTries is the number of dispatches that the owner may not keep
	// waiting, unless the samples show that every server is busy.
	eagerTries = 3
	// maxTries bounds the dispatches of one request, refused ones included.
	maxTries = 24
	// maxExpired is the number of owners that have to say that they can't finish
	// a request in time before it is given up.
	maxExpired = 2
	// patienceStep is how long an owner may keep a request at first before the
	// servers are compared again.
	patienceStep = 60 * time.Millisecond
	// maxDoublings bounds how often the patience of a request doubles.
	maxDoublings = 5
	// farPatienceStep is the same in another data centre, where each
	// comparison costs a round trip and its bytes.
	farPatienceStep = 200 * time.Millisecond
	// fallbackRetryAfter goes to callers when no owner has named a time.
	fallbackRetryAfter = 100 * time.Millisecond
)

// call is one request on its way through its attempts.
type call struct {
	r       *Relay
	request *prim.Request
	class   *class
	begun   time.Time
	ran     []prim.HostName // hosts whose servers were handed the request
	refusal *prim.Refusal
	failure *prim.Answer // a failure that a server answered, if nothing better comes
	lost    error
}

// Do runs a request and returns the whole answer, or the error that tells its
// outcome. A refusal's RetryAfter is set.
func (r *Relay) Do(ctx context.Context, q *prim.Request) (*prim.Answer, error) {
	k := &call{r: r, request: q, class: r.class(q.Class), begun: time.Now()}
	r.first(q.Service)
	a, err := k.run(ctx)
	if err == nil {
		return a, nil
	}
	if k.failure != nil {
		return k.failure, nil
	}
	if k.lost != nil {
		return nil, k.lost
	}
	var refusal *prim.Refusal
	if errors.As(err, &refusal) {
		copied := *refusal
		if copied.RetryAfter <= 0 {
			copied.RetryAfter = fallbackRetryAfter
		}
		return nil, &copied
	}
	return nil, err
}

// run makes attempts until one ends the request.
func (k *call) run(ctx context.Context) (*prim.Answer, error) {
	expired := 0 // owners that can't finish the request in time
	busy := 0    // owners that have kept it waiting in vain
	for tries := 1; ; tries++ {
		if ctx.Err() != nil {
			return nil, &prim.Refusal{Reason: prim.ReasonCancelled}
		}
		now := time.Now()
		if !k.request.Deadline.After(now) {
			return nil, k.refused(prim.ReasonExpired)
		}
		c := k.choose(now)
		if c.host == nil {
			return nil, k.refused(prim.ReasonNoHost)
		}
		if c.busy && tries > 1 && !k.request.Deadline.After(now.Add(k.expected())) {
			return nil, k.refused(prim.ReasonBusy)
		}
		q := k.request
		wait := c.busy || tries > eagerTries
		if wait {
			copied := *q
			copied.Patience = k.patience(now, c, busy)
			q = &copied
		}
		a, err := k.attempt(ctx, q, c)
		k.log(tries, c, q.Patience, a, err)
		if err == nil && (a.Status < 500 || !k.again(k.request.Idempotent && a.Rest == nil)) {
			return a, nil
		}
		if err == nil {
			k.failure = a
			continue
		}
		var refusal *prim.Refusal
		if !errors.As(err, &refusal) {
			k.lost = err
			if !k.request.Idempotent || !k.again(true) {
				return nil, err
			}
			continue
		}
		k.refusal = refusal
		if refusal.Reason == prim.ReasonShed || refusal.Reason == prim.ReasonInstance {
			// It has reached the server, so another attempt is a repeat there.
			if !k.again(true) {
				return nil, refusal
			}
		}
		switch {
		case refusal.Reason == prim.ReasonExpired:
			expired++
		case wait && refusal.Reason == prim.ReasonBusy:
			busy++
		}
		if tries >= maxTries || expired >= maxExpired {
			return nil, refusal
		}
	}
}

// refused returns the last refusal, or one with the reason if there was none.
func (k *call) refused(why prim.Reason) *prim.Refusal {
	if k.refusal != nil {
		return k.refusal
	}
	return &prim.Refusal{Reason: why}
}

// again reports whether another server may be handed the request, and takes that
// from the budget.
func (k *call) again(possible bool) bool {
	if !possible || k.request.Attempts > 0 && len(k.ran) >= k.request.Attempts {
		return false
	}
	if !k.r.take(k.request.Service) {
		return false
	}
	k.r.count("Repeats")
	return true
}

// patience is how long the owner may keep the request waiting: longer each time that
// it waited in vain, and not so long that it could not finish in time.
func (k *call) patience(now time.Time, c choice, busy int) time.Duration {
	step := patienceStep
	if c.far {
		step = farPatienceStep
	}
	return max(0, min(step<<min(busy, maxDoublings), k.request.Deadline.Sub(now)-k.expected()))
}

// attempt hands the request to one owner and learns from the end.
func (k *call) attempt(ctx context.Context, q *prim.Request, c choice) (*prim.Answer, error) {
	h := c.host
	h.pending.Add(1)
	defer h.pending.Add(-1)
	if c.far {
		k.r.count("FarDispatches")
	}
	begin := time.Now()
	a, err := k.r.c.Owners.Owner(h.name).Dispatch(ctx, q)
	now := time.Now()
	var refusal *prim.Refusal
	switch {
	case err == nil:
		k.ran = append(k.ran, h.name)
		h.observe(now, a.Sample)
		h.finished(now, a.Status >= 500)
		k.class.finished(a.Served, a.Sample.Slowdown, len(a.Body)+len(q.Body))
		h.served(now, a.Served, k.class.expected(), a.Sample.Slowdown)
	case errors.As(err, &refusal):
		if refusal.Reason == prim.ReasonShed {
			k.ran = append(k.ran, h.name)
		}
		if refusal.Sample.Host != "" {
			h.observe(now, refusal.Sample)
		}
		if refusal.Reason == prim.ReasonUnreachable {
			h.unreachable(now)
		}
	default:
		k.ran = append(k.ran, h.name)
		if ctx.Err() == nil {
			h.finished(now, true)
			if !q.Deadline.After(now) {
				h.served(now, now.Sub(begin), k.class.expected(), 1)
			}
		}
	}
	return a, err
}

// log writes a line for an attempt that did not simply succeed.
func (k *call) log(try int, c choice, patience time.Duration, a *prim.Answer, err error) {
	if err == nil && try == 1 && a.Status < 500 {
		return
	}
	s, age := c.host.last(time.Now())
	status := 0
	if a != nil {
		status = a.Status
	}
	k.r.c.Logger.Info("attempt", "ID", k.request.ID, "Try", try, "Service", k.request.Service, "Target", c.host.name,
		"Far", c.far, "Estimate", c.rank, "Patience", patience, "InFlight", s.InFlight, "Limit", s.Limit, "Slowdown", s.Slowdown,
		"Cold", s.Cold, "SampleAge", age, "Outcome", prim.OutcomeOf(err).String(), "Status", status, "Error", err)
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

// Linked tells that a link to a host was opened, Unlinked that the last one ended.
func (r *Relay) Linked(h prim.HostName) { r.host(h).reachable() }

// Unlinked see Linked.
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
