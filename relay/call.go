package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

const (
	// noWaitDispatches is the number of initial dispatches that an owner must admit
	// or refuse at once. It may queue them if its samples show that it is busy, or if
	// it is in another data centre and has refused the request before.
	noWaitDispatches = 3
	// maxDispatches is the maximum number of dispatches per request, including
	// refused ones.
	maxDispatches = 24
	// maxExpiredRefusals is the number of refusals with ReasonExpired after which a
	// request ends.
	maxExpiredRefusals = 2
	// initialMaxQueueTime is how long an owner may queue a request before the servers
	// are ranked again. It doubles with every wait that ends in a refusal.
	initialMaxQueueTime = 60 * time.Millisecond
	// maxQueueTimeDoublings is the maximum number of doublings of MaxQueueTime.
	maxQueueTimeDoublings = 5
	// farInitialMaxQueueTime applies to owners in other data centres. It is longer,
	// since each refusal costs a round trip and traffic between data centres.
	farInitialMaxQueueTime = 200 * time.Millisecond
	// largeBody is the size of a body, in bytes, above which the owner may queue a request
	// from the first dispatch on and until its deadline: each further dispatch would send
	// the body again, in parts.
	largeBody = 1 << 20
	// defaultRetryAfter is used if a refusal has no RetryAfter.
	defaultRetryAfter = 100 * time.Millisecond
	// entryRetryAfter is the time to retry after if no server in the home regions is in
	// service. A new entry of a server reaches the nodes within it: the readers of the
	// registry watch it every 0.4 s and push the news.
	entryRetryAfter = time.Second
	// configRetryAfter is the time to retry after if no region is a home region of both the
	// route and the customer. Only another configuration ends that, which takes 2 to 3 s to
	// be in force.
	configRetryAfter = 3 * time.Second
	// slowDial is the time after which a dial that failed counts as unanswered. A host that
	// is up refuses a dial within a round trip.
	slowDial = 100 * time.Millisecond
	// maxSlowDials is the number of unanswered dials that a request waits for. One may be
	// due to a host that has just lost power.
	maxSlowDials = 2
	// deadlineGrace is how long after the deadline an owner's answer is awaited. The
	// owner ends the request at the deadline and knows its outcome better.
	deadlineGrace = 30 * time.Millisecond
)

// call is the state of one request across its attempts.
type call struct {
	relay           *Relay
	request         *prim.Request
	class           *class
	startedAt       time.Time
	dispatches      int             // including refused ones
	expiredRefusals int             // refusals with ReasonExpired
	timedOutWaits   int             // refusals as busy after waiting in an owner's queue
	attempted       []prim.HostName // hosts whose servers were sent the request
	lastRefusal     *prim.RefusalError
	// pacedUntil holds when the owners of servers that name a limit, and that have refused
	// the request as busy, expect to have room for it.
	pacedUntil map[prim.HostName]time.Time
	// excluded lists the hosts that have refused the request for good: they are leaving, or
	// their servers are of another service since the published state is behind, or they have no
	// room for its body.
	excluded []prim.HostName
	// slowDials counts the dials that the request has waited for in vain.
	slowDials int
	// refusedByFar lists the hosts in other data centres that refused the request.
	refusedByFar  []prim.HostName
	serverFailure *prim.Answer // 5xx answer to return if no later attempt succeeds
	lostErr       error        // error of the last attempt whose outcome is unknown
}

// Do sends a request to a server, with retries, and returns the answer, or an error from
// which prim.OutcomeOf derives the outcome. RetryAfter is set in every refusal.
func (r *Relay) Do(ctx context.Context, q *prim.Request) (*prim.Answer, error) {
	c := &call{relay: r, request: q, class: r.class(q.Class), startedAt: time.Now()}
	if refusal := c.boundByStop(); refusal != nil {
		return nil, refusal
	}
	q = c.request
	r.countFirstAttempt(q.Service)
	// An unresponsive owner or a stalled link must not block the caller.
	ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(deadlineGrace))
	streams := false
	defer func() {
		if !streams {
			cancel()
		}
	}()
	a, err := c.run(ctx)
	if err == nil && a.Rest != nil {
		streamed := *a
		streamed.Rest = &stream{a.Rest, cancel}
		streams = true
		return &streamed, nil
	}
	if err == nil {
		return a, nil
	}
	if c.serverFailure != nil {
		return c.serverFailure, nil
	}
	if c.lostErr != nil {
		return nil, c.lostErr
	}
	var refusal *prim.RefusalError
	if errors.As(err, &refusal) {
		copied := *refusal
		if copied.RetryAfter <= 0 {
			copied.RetryAfter = defaultRetryAfter
		}
		return nil, &copied
	}
	return nil, err
}

// boundByStop bounds the deadline of the request by the stop of this node. It refuses a
// request that can't be expected to be answered before.
func (c *call) boundByStop() *prim.RefusalError {
	by := c.relay.config.AnswerBy()
	if by.IsZero() || !by.Before(c.request.Deadline) {
		return nil
	}
	left := by.Sub(c.startedAt)
	if left < time.Duration(prim.StopMargin*float64(c.expectedServiceTime())) {
		c.relay.count("RefusedByStop")
		return &prim.RefusalError{Reason: prim.ReasonLeaving, Host: c.relay.config.Host, RetryAfter: max(defaultRetryAfter, left)}
	}
	bounded := *c.request
	bounded.Deadline = by
	c.request = &bounded
	return nil
}

// stream is the rest of a streamed answer. Closing it cancels the request's context.
type stream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (s *stream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}

// run makes attempts until one ends the request.
func (c *call) run(ctx context.Context) (*prim.Answer, error) {
	for c.dispatches = 1; ; c.dispatches++ {
		cand, q, err := c.nextAttempt(ctx, time.Now())
		if err != nil {
			return nil, err
		}
		a, err := c.attempt(ctx, q, cand)
		c.log(cand, q.MaxQueueTime, a, err)
		if c.recordOutcome(cand, q, a, err) {
			return a, err
		}
	}
}

// nextAttempt returns the host for the next attempt and the request to send, or the
// refusal that ends the request.
func (c *call) nextAttempt(ctx context.Context, now time.Time) (candidate, *prim.Request, error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return candidate{}, nil, &prim.RefusalError{Reason: prim.ReasonCancelled}
	}
	if !c.request.Deadline.After(now) {
		return candidate{}, nil, c.finalRefusal(prim.ReasonExpired)
	}
	if c.request.HasRegions && len(c.request.Regions) == 0 {
		c.relay.count("RefusedWithoutCommonRegion")
		return candidate{}, nil, &prim.RefusalError{Reason: prim.ReasonNoHomeRegion, Host: c.relay.config.Host, RetryAfter: configRetryAfter}
	}
	cand := c.bestCandidate(now)
	if cand.host == nil && c.request.HasRegions && len(c.attempted) == 0 {
		return cand, nil, c.refuseOutsideRegions(now)
	}
	if cand.host == nil {
		return cand, nil, c.finalRefusal(prim.ReasonNoHost)
	}
	if cand.busy && c.dispatches > 1 && !c.request.Deadline.After(now.Add(c.expectedServiceTime())) {
		return cand, nil, c.finalRefusal(prim.ReasonBusy)
	}
	if cand.pacedFor > 0 && !c.request.Deadline.After(now.Add(cand.pacedFor+c.expectedServiceTime())) {
		return cand, nil, &prim.RefusalError{Reason: prim.ReasonBusy, Host: cand.host.name, RetryAfter: cand.pacedFor}
	}
	q := *c.request
	q.PreviouslyRefused = c.dispatches > 1
	if cand.busy || c.dispatches > noWaitDispatches || cand.far() && slices.Contains(c.refusedByFar, cand.host.name) {
		q.MaxQueueTime = c.maxQueueTime(now, cand)
	}
	if cand.pacedFor > 0 || len(q.Body) > largeBody {
		q.MaxQueueTime = max(0, c.request.Deadline.Sub(now)-c.expectedServiceTime())
	}
	return cand, &q, nil
}

// recordOutcome records the outcome of an attempt and reports whether it ends the
// request.
func (c *call) recordOutcome(cand candidate, q *prim.Request, a *prim.Answer, err error) bool {
	var refusal *prim.RefusalError
	switch {
	case err == nil:
		if a.Status < 500 || !c.takeRetry(q.Idempotent && a.Rest == nil) {
			return true
		}
		c.serverFailure = a
		return false
	case !errors.As(err, &refusal):
		c.lostErr = err
		return !c.takeRetry(q.Idempotent)
	}
	c.lastRefusal = refusal
	if cand.far() {
		c.refusedByFar = append(c.refusedByFar, cand.host.name)
	}
	switch refusal.Reason {
	case prim.ReasonShed, prim.ReasonOtherInstance:
		// The request has reached the server, so another attempt is a retry.
		if !c.takeRetry(true) {
			return true
		}
	case prim.ReasonNoHost, prim.ReasonLeaving, prim.ReasonNoRoom:
		// Another attempt at a node without room would send a large body again.
		c.excluded = append(c.excluded, cand.host.name)
	case prim.ReasonExpired:
		c.expiredRefusals++
	case prim.ReasonBusy:
		if refusal.Sample.Limited {
			if c.pacedUntil == nil {
				c.pacedUntil = make(map[prim.HostName]time.Time)
			}
			c.pacedUntil[cand.host.name] = time.Now().Add(refusal.RetryAfter)
		}
		if q.MaxQueueTime > 0 {
			c.timedOutWaits++
		}
	}
	return c.dispatches >= maxDispatches || c.expiredRefusals >= maxExpiredRefusals
}

// finalRefusal returns the last refusal by an owner, or one with the given reason if
// there was none.
func (c *call) finalRefusal(why prim.Reason) *prim.RefusalError {
	if c.lastRefusal != nil {
		return c.lastRefusal
	}
	return &prim.RefusalError{Reason: why}
}

// refuseOutsideRegions returns the refusal of a request for which no server in its home
// regions can be used. Its RetryAfter is the least time after which a server there may be
// used again.
func (c *call) refuseOutsideRegions(now time.Time) *prim.RefusalError {
	after := entryRetryAfter
	subset := c.relay.subset(c.relay.config.Placements.Placement(), c.request)
	for e := range subset.all() {
		wait := c.relay.host(e.Host).unreachableFor(now)
		if dialAfter, cutOff := c.relay.config.Links.CutOff(e.Host); cutOff {
			wait = max(wait, dialAfter, defaultRetryAfter)
		}
		if wait > 0 {
			after = min(after, wait)
		}
	}
	if c.lastRefusal != nil && c.lastRefusal.RetryAfter > 0 {
		after = min(after, c.lastRefusal.RetryAfter)
	}
	c.relay.count("RefusedOutsideRegions")
	c.relay.config.Logger.Info("no server in the home regions", "ID", c.request.ID, "Service", c.request.Service, "Regions", c.request.Regions,
		"Servers", len(subset.near)+len(subset.far), "RetryAfter", after)
	return &prim.RefusalError{Reason: prim.ReasonNoHomeRegion, Host: c.relay.config.Host, RetryAfter: after}
}

// takeRetry reports whether the request may be sent to another server, and can be expected to be
// answered there before its deadline. If so, it takes a token from the retry budget.
func (c *call) takeRetry(retryable bool) bool {
	if !retryable || c.request.Attempts > 0 && len(c.attempted) >= c.request.Attempts {
		return false
	}
	if !c.request.Deadline.After(time.Now().Add(c.expectedServiceTime())) {
		return false
	}
	if !c.relay.takeRetryToken(c.request.Service) {
		return false
	}
	c.relay.count("Repeats")
	return true
}

// maxQueueTime returns how long the owner may queue the request. It doubles with every wait
// that ends in a refusal, and leaves enough time to finish before the deadline.
func (c *call) maxQueueTime(now time.Time, cand candidate) time.Duration {
	step := initialMaxQueueTime
	if cand.far() {
		step = farInitialMaxQueueTime
	}
	return max(0, min(step<<min(c.timedOutWaits, maxQueueTimeDoublings), c.request.Deadline.Sub(now)-c.expectedServiceTime()))
}

// attempt dispatches the request to one owner and updates the statistics of its host and
// class.
func (c *call) attempt(ctx context.Context, q *prim.Request, cand candidate) (*prim.Answer, error) {
	h := cand.host
	h.pending.Add(1)
	defer h.pending.Add(-1)
	if cand.far() {
		c.relay.count("FarDispatches")
	}
	if cand.proximity == inOtherRegion {
		c.relay.count("OtherRegionDispatches")
	}
	start := time.Now()
	a, err := c.dispatch(ctx, q, h.name)
	now := time.Now()
	var refusal *prim.RefusalError
	c.measureDistance(now, now.Sub(start), cand, q, a, err)
	switch {
	case err == nil:
		c.attempted = append(c.attempted, h.name)
		h.observe(now, a.Sample)
		h.recordOutcome(now, a.Status >= 500)
		c.class.recordAnswer(a.ServiceTime, a.Sample.Slowdown, len(a.Body)+len(q.Body))
		h.recordServiceTime(now, a.ServiceTime, c.class.expectedServiceTime(), a.Sample.Slowdown)
	case errors.As(err, &refusal):
		// The request is not sent to the same server again: a late second copy of this
		// refusal would be taken for the answer to the repeat.
		if refusal.Reason == prim.ReasonShed || refusal.Reason == prim.ReasonOtherInstance {
			c.attempted = append(c.attempted, h.name)
		}
		if refusal.Sample.Host != "" {
			h.observe(now, refusal.Sample)
		}
		if refusal.Reason == prim.ReasonUnreachable {
			h.markUnreachable(now)
			if now.Sub(start) >= slowDial {
				c.slowDials++
			}
		}
	default:
		c.attempted = append(c.attempted, h.name)
		if ctx.Err() == nil {
			h.recordOutcome(now, true)
			if !q.Deadline.After(now) {
				h.recordServiceTime(now, now.Sub(start), c.class.expectedServiceTime(), 1)
			}
		}
	}
	return a, err
}

// dispatch sends the request to the owner at a host and returns its server's answer if that may
// reach the caller.
func (c *call) dispatch(ctx context.Context, q *prim.Request, h prim.HostName) (*prim.Answer, error) {
	a, err := c.relay.config.Owners.Owner(h).Dispatch(ctx, q)
	if err != nil {
		return nil, err
	}
	accepted := false
	defer func() {
		if !accepted {
			a.Drop() // also after a panic
		}
	}()
	if err := c.relay.config.CheckAnswer(h, q, a); err != nil {
		return nil, err
	}
	accepted = true
	return a, nil
}

// measureDistance records the delay to the data centre of an attempt, if its owner has told
// how long it had the request. Nodes of earlier versions don't.
func (c *call) measureDistance(now time.Time, took time.Duration, cand candidate, q *prim.Request, a *prim.Answer, err error) {
	ownerTime, bytes := time.Duration(0), len(q.Body)
	var refusal *prim.RefusalError
	switch {
	case !cand.far() || !cand.linked:
		return // the time includes that of a dial
	case err == nil && a.Rest == nil:
		ownerTime = a.OwnerTime
		bytes += len(a.Body)
	case errors.As(err, &refusal):
		ownerTime = refusal.OwnerTime
	}
	if ownerTime > 0 && bytes <= maxMeasuredBytes {
		c.relay.distances.observe(now, cand.dataCentre, took, ownerTime)
	}
}

// log logs an attempt, unless it was the first one and the server answered without a
// 5xx status.
func (c *call) log(cand candidate, maxQueueTime time.Duration, a *prim.Answer, err error) {
	if err == nil && c.dispatches == 1 && a.Status < 500 {
		return
	}
	s, age := cand.host.lastSample(time.Now())
	status := 0
	if a != nil {
		status = a.Status
	}
	c.relay.config.Logger.Info("attempt", "ID", c.request.ID, "Try", c.dispatches, "Service", c.request.Service, "Target", cand.host.name,
		"Far", cand.far(), "Estimate", cand.estimate, "Patience", maxQueueTime, "InFlight", s.InFlight, "Limit", s.Limit, "Slowdown", s.Slowdown,
		"Cold", s.Cold, "SampleAge", age, "Outcome", prim.OutcomeOf(err).String(), "Status", status, "Error", err)
}
