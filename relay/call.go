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
	// eagerTries is the number of dispatches that the owner may not keep
	// waiting, unless the samples show that it is busy or it is far and has
	// refused the request before.
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
	// deadlineGrace is how much later than the deadline an owner's answer may
	// come. The owner ends the request at the deadline itself and knows more.
	deadlineGrace = 30 * time.Millisecond
)

// call is one request on its way through its attempts.
type call struct {
	r       *Relay
	request *prim.Request
	class   *class
	begun   time.Time
	tries   int             // dispatches
	expired int             // owners that can't finish the request in time
	busy    int             // owners that have kept it waiting in vain
	ran     []prim.HostName // hosts whose servers were handed the request
	refusal *prim.Refusal
	// refusedBy are the far hosts whose owners refused the request.
	refusedBy []prim.HostName
	failure   *prim.Answer // a failure that a server answered, if nothing better comes
	lost      error
}

// Do runs a request and returns the whole answer, or the error that tells its
// outcome. A refusal's RetryAfter is set.
func (r *Relay) Do(ctx context.Context, q *prim.Request) (*prim.Answer, error) {
	k := &call{r: r, request: q, class: r.class(q.Class), begun: time.Now()}
	r.first(q.Service)
	// An owner that freezes, or the way to it, must not hold the caller up.
	ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(deadlineGrace))
	a, err := k.run(ctx)
	if err == nil && a.Rest != nil {
		streamed := *a
		streamed.Rest = &stream{a.Rest, cancel}
		return &streamed, nil
	}
	cancel()
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

// stream is the rest of an answer. Closing it ends the request.
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
func (k *call) run(ctx context.Context) (*prim.Answer, error) {
	for k.tries = 1; ; k.tries++ {
		c, q, err := k.next(ctx, time.Now())
		if err != nil {
			return nil, err
		}
		a, err := k.attempt(ctx, q, c)
		k.log(c, q.Patience, a, err)
		if k.over(c, q, a, err) {
			return a, err
		}
	}
}

// next returns the host of the next attempt and the request for it, or the refusal
// that ends the request.
func (k *call) next(ctx context.Context, now time.Time) (choice, *prim.Request, error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return choice{}, nil, &prim.Refusal{Reason: prim.ReasonCancelled}
	}
	if !k.request.Deadline.After(now) {
		return choice{}, nil, k.refused(prim.ReasonExpired)
	}
	c := k.choose(now)
	if c.host == nil {
		return c, nil, k.refused(prim.ReasonNoHost)
	}
	if c.busy && k.tries > 1 && !k.request.Deadline.After(now.Add(k.expected())) {
		return c, nil, k.refused(prim.ReasonBusy)
	}
	q := *k.request
	q.Reoffered = k.tries > 1
	if c.busy || k.tries > eagerTries || c.far && slices.Contains(k.refusedBy, c.host.name) {
		q.Patience = k.patience(now, c)
	}
	return c, &q, nil
}

// over reports whether an attempt ends the request, and notes its outcome.
func (k *call) over(c choice, q *prim.Request, a *prim.Answer, err error) bool {
	var refusal *prim.Refusal
	switch {
	case err == nil:
		if a.Status < 500 || !k.again(q.Idempotent && a.Rest == nil) {
			return true
		}
		k.failure = a
		return false
	case !errors.As(err, &refusal):
		k.lost = err
		return !k.again(q.Idempotent)
	}
	k.refusal = refusal
	if c.far {
		k.refusedBy = append(k.refusedBy, c.host.name)
	}
	switch refusal.Reason {
	case prim.ReasonShed, prim.ReasonInstance:
		// It has reached the server, so another attempt is a repeat there.
		if !k.again(true) {
			return true
		}
	case prim.ReasonExpired:
		k.expired++
	case prim.ReasonBusy:
		if q.Patience > 0 {
			k.busy++
		}
	}
	return k.tries >= maxTries || k.expired >= maxExpired
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
func (k *call) patience(now time.Time, c choice) time.Duration {
	step := patienceStep
	if c.far {
		step = farPatienceStep
	}
	return max(0, min(step<<min(k.busy, maxDoublings), k.request.Deadline.Sub(now)-k.expected()))
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
func (k *call) log(c choice, patience time.Duration, a *prim.Answer, err error) {
	if err == nil && k.tries == 1 && a.Status < 500 {
		return
	}
	s, age := c.host.last(time.Now())
	status := 0
	if a != nil {
		status = a.Status
	}
	k.r.c.Logger.Info("attempt", "ID", k.request.ID, "Try", k.tries, "Service", k.request.Service, "Target", c.host.name,
		"Far", c.far, "Estimate", c.rank, "Patience", patience, "InFlight", s.InFlight, "Limit", s.Limit, "Slowdown", s.Slowdown,
		"Cold", s.Cold, "SampleAge", age, "Outcome", prim.OutcomeOf(err).String(), "Status", status, "Error", err)
}
