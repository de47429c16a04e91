package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// WalkerConfig configures a Walker. All fields are required except Again and Track.
type WalkerConfig struct {
	Host         prim.HostName
	Documents    prim.Documents
	Reachability prim.Reachability
	Policy       prim.Policy
	Owners       prim.Owners
	// Again waits until another attempt is permitted, as retry.Caller.Again
	// does. If it is nil, the Walker waits for the delay only.
	Again func(ctx context.Context, r *prim.Request, delay time.Duration) error
	// Track counts an attempt as in flight at a host until the returned
	// function is called, as retry.Caller.Track does. If it is nil, attempts
	// are not counted.
	Track func(h prim.HostName) func()
}

// Walker is the prim.Caller for requests with an idempotency key. It asks the
// candidates of the key in order.
type Walker struct{ config WalkerConfig }

// NewWalker returns a Walker.
func NewWalker(c WalkerConfig) *Walker { return &Walker{c} }

const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// maxConsecutiveLost is how many consecutive attempts at one candidate may
	// end with a lost answer. The limit is needed because a record in stateLost
	// looks like a broken link. A lookup is retried as often.
	maxConsecutiveLost = 3
)

// walk is the state of one request while the candidates are asked.
type walk struct {
	*Walker
	request  *prim.Request
	lookup   *prim.Request // the same request as a lookup of the record
	hosts    []*prim.Host
	position int // of the current candidate; all before it recorded tombstones

	attempts       int                // at the current candidate
	refusal        *prim.RefusalError // by the current candidate, which has not run the key
	lostErr        error              // set if an attempt may still run at the current candidate
	lostCount      int
	searchComplete bool // all other candidates were asked since position changed
}

// Do runs a request with a key or returns the recorded answer of an earlier one. The
// outcome of an error is NotRun only if no candidate has run the key: all candidates
// before the last one asked recorded tombstones, and the last one refused without
// having a record.
func (w *Walker) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if r.Deadline.IsZero() {
		copied := *r
		copied.Deadline = time.Now().Add(prim.DefaultTimeout)
		r = &copied
	}
	lookup := *r
	lookup.Lookup = true
	call := &walk{Walker: w, request: r, lookup: &lookup}
	deadlineCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err := call.waitForCandidates(deadlineCtx); err != nil {
		return nil, err
	}
	if r.Lookup {
		return call.findRecord(deadlineCtx)
	}
	return call.run(ctx, deadlineCtx)
}

// waitForCandidates waits until the candidates of the key can be determined.
func (w *walk) waitForCandidates(deadlineCtx context.Context) error {
	for {
		changed := w.config.Documents.Changed()
		v, now := w.config.Documents.View(), time.Now()
		ahead := w.request.KeyCreated.Sub(now)
		switch {
		case now.Sub(w.request.KeyCreated) > KeyWindow && !w.request.KeyCreated.IsZero():
			return w.newUnknown(errKeyExpired)
		case !hostListIsRecent(v, now):
			select {
			case <-changed:
			case <-deadlineCtx.Done():
				return w.newUnknown(errHostListTooOld)
			}
			continue
		case ahead > KeyMargin:
			// Owners refuse keys created in the future: a later instance of
			// the owner could not detect that it lost the record of such a
			// key.
			if waits.Sleep(deadlineCtx, ahead-KeyMargin+time.Millisecond) != nil {
				return w.newUnknown(deadlineCtx.Err())
			}
			continue
		}
		hosts, ok := orderedCandidates(v, keyIDOf(w.request), w.request.KeyCreated, now)
		if !ok {
			return w.newUnknown(errUndatedKey)
		}
		if w.hosts = hosts; len(hosts) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-deadlineCtx.Done():
			return &prim.RefusalError{Reason: prim.ReasonNoHost, Host: w.config.Host}
		}
	}
}

// run asks the candidates in order until one of them decides the request.
func (w *walk) run(ctx, deadlineCtx context.Context) (*prim.Answer, error) {
	for w.position < len(w.hosts) {
		h := w.hosts[w.position]
		if w.removed(h) {
			if found, a, err := w.searchOthers(deadlineCtx); found {
				return a, err
			}
			if w.hosts[min(w.position, len(w.hosts)-1)] == h {
				return nil, w.newUnknown(errHostRemoved)
			}
			continue
		}
		attemptCtx, cancel := context.WithDeadline(ctx, w.request.Deadline)
		a, err := w.attempt(attemptCtx, h.Name, w.request, cancel)
		if err == nil {
			return a, nil
		}
		if answer, err := w.handleFailure(deadlineCtx, h, err); answer != nil || err != nil {
			return answer, err
		}
	}
	return nil, &prim.RefusalError{Reason: prim.ReasonTombstone, Host: w.hosts[len(w.hosts)-1].Name}
}

// handleFailure processes an attempt that returned no answer. It returns the result
// of the request, or nil and nil if another attempt is to be made.
func (w *walk) handleFailure(deadlineCtx context.Context, h *prim.Host, err error) (*prim.Answer, error) {
	var conflict *prim.KeyConflictError
	var refusal *prim.RefusalError
	switch {
	case errors.As(err, &conflict):
		return nil, err
	case !errors.As(err, &refusal):
		w.lostErr, w.refusal = err, nil
		if w.lostCount++; w.lostCount >= maxConsecutiveLost || h.Name == w.config.Host || deadlineCtx.Err() != nil {
			return nil, err
		}
	case refusal.Reason == prim.ReasonTombstone:
		w.moveTo(w.position + 1)
		if w.position == len(w.hosts) {
			return nil, nil
		}
		return nil, w.waitForRetry(deadlineCtx, 0)
	case refusal.Reason == prim.ReasonForgotten, refusal.Reason == prim.ReasonUnreachable:
		w.refusal = nil
		position := w.position
		// Searching only after 0, 1, 2, 4, ... attempts keeps the number of
		// searches logarithmic in the number of attempts.
		if w.attempts&(w.attempts-1) == 0 && !w.searchComplete {
			if found, a, err := w.searchOthers(deadlineCtx); found {
				return a, err
			}
		}
		if w.position != position {
			return nil, nil
		}
		if refusal.Reason == prim.ReasonForgotten && w.searchComplete {
			return nil, w.newUnknown(errHostRestarted)
		}
	case refusal.Reason == prim.ReasonBusy, refusal.Reason == prim.ReasonRecordsFull,
		refusal.Reason == prim.ReasonLeaving, refusal.Reason == prim.ReasonShed:
		w.refusal = refusal
	default:
		// The refusal does not concern the key.
		w.refusal = nil
	}
	w.attempts++
	return nil, w.waitForRetry(deadlineCtx, waits.Jitter(min(minBackoff<<min(w.attempts, 16), maxBackoff)))
}

// waitForRetry waits before another attempt. It returns the final error of the
// request if no further attempt is possible.
func (w *walk) waitForRetry(deadlineCtx context.Context, delay time.Duration) error {
	var err error
	if w.config.Again != nil {
		err = w.config.Again(deadlineCtx, w.request, delay)
	} else {
		err = waits.Sleep(deadlineCtx, delay)
	}
	switch {
	case err == nil:
		return nil
	case w.lostErr != nil:
		return w.lostErr
	case w.refusal != nil:
		return w.refusal
	}
	return w.newUnknown(errHostUnreachable)
}

func (w *walk) moveTo(position int) {
	w.position, w.attempts, w.refusal, w.lostErr, w.lostCount, w.searchComplete = position, 0, nil, nil, 0, false
}

// searchOthers asks the other candidates for the record while the current one cannot
// give it, and returns the record if one of them has it. A tombstone implies the
// tombstones of all earlier candidates, because a candidate is asked to run a key
// only after them. The walk therefore continues after the last tombstone found.
func (w *walk) searchOthers(deadlineCtx context.Context) (found bool, a *prim.Answer, err error) {
	nextPosition, complete := w.position, true
	for i, h := range w.hosts {
		if i == w.position || w.removed(h) {
			continue
		}
		a, err := w.attempt(deadlineCtx, h.Name, w.lookup, func() {})
		var refusal *prim.RefusalError
		var conflict *prim.KeyConflictError
		switch {
		case err == nil:
			return true, a, nil
		case errors.As(err, &conflict):
			return true, nil, err
		case !errors.As(err, &refusal):
			complete = false
		case refusal.Reason == prim.ReasonTombstone:
			nextPosition = max(nextPosition, i+1)
		case refusal.Reason == prim.ReasonNoRecord && refusal.Host != h.Name:
			// h received a tombstone of refusal.Host in a hand-over.
			if j := slices.IndexFunc(w.hosts, func(o *prim.Host) bool { return o.Name == refusal.Host }); j >= 0 {
				nextPosition = max(nextPosition, j+1)
			}
		case refusal.Reason == prim.ReasonLeaving && i == w.position+1 && refusal.Host == w.hosts[w.position].Name:
			// The current candidate has retired and has handed over all its
			// records for keys whose next candidate is h.
			nextPosition = max(nextPosition, i)
		default:
			complete = complete && (refusal.Reason == prim.ReasonNoRecord || refusal.Reason == prim.ReasonForgotten)
		}
	}
	if nextPosition != w.position {
		w.moveTo(nextPosition)
	} else {
		w.searchComplete = complete
	}
	return false, nil, nil
}

// findRecord executes a lookup: it asks every candidate for the record of the key.
func (w *walk) findRecord(deadlineCtx context.Context) (*prim.Answer, error) {
	w.position = len(w.hosts) // no current candidate
	for attempts := 0; ; attempts++ {
		var inconclusive error
		for _, h := range w.hosts {
			if w.removed(h) {
				inconclusive = errHostRemoved
				continue
			}
			a, err := w.attempt(deadlineCtx, h.Name, w.lookup, func() {})
			var refusal *prim.RefusalError
			switch {
			case err == nil:
				return a, nil
			case !errors.As(err, &refusal):
				var conflict *prim.KeyConflictError
				if errors.As(err, &conflict) {
					return nil, err
				}
				inconclusive = err
			case refusal.Reason != prim.ReasonNoRecord && refusal.Reason != prim.ReasonTombstone:
				inconclusive = refusal
			}
		}
		if inconclusive == nil {
			return nil, &prim.RefusalError{Reason: prim.ReasonNoRecord}
		}
		if attempts == maxConsecutiveLost || w.waitForRetry(deadlineCtx, waits.Jitter(min(minBackoff<<min(attempts, 16), maxBackoff))) != nil {
			return nil, w.newUnknown(inconclusive)
		}
	}
}

// removed reports whether a candidate was removed according to the host list.
func (w *walk) removed(h *prim.Host) bool {
	for _, e := range w.config.Documents.View().ServiceHosts(h.Service) {
		if e.Name == h.Name && e.Since.Equal(h.Since) {
			return e.State == prim.HostLost
		}
	}
	return true
}

// attempt makes one attempt at a host and reports it to the policy. It calls cancel
// when the attempt has ended and a streamed answer has been closed.
func (w *walk) attempt(ctx context.Context, h prim.HostName, r *prim.Request, cancel context.CancelFunc) (*prim.Answer, error) {
	done := cancel
	if w.config.Track != nil {
		untrack := w.config.Track(h)
		done = func() {
			untrack()
			cancel()
		}
	}
	started := time.Now()
	a, err := w.config.Owners.Owner(h).Dispatch(ctx, r)
	var lost *prim.LostAnswerError
	if errors.As(err, &lost) {
		// Keep only the text of the cause: a wrapped RefusalError would turn the
		// outcome into NotRun.
		err = &prim.LostAnswerError{Host: lost.Host, Cause: errors.New(fmt.Sprint(lost.Cause)), Reset: lost.Reset}
	}
	w.reportAttempt(h, a, err, time.Since(started))
	if a == nil || a.Rest == nil {
		done()
		return a, err
	}
	streamed := *a
	streamed.Rest = &streamedBody{a.Rest, done}
	return &streamed, err
}

func (w *walk) reportAttempt(h prim.HostName, a *prim.Answer, err error, latency time.Duration) {
	attempt := prim.Attempt{Host: h, Latency: latency, Outcome: prim.OutcomeOf(err)}
	sample := prim.LoadSample{}
	var refusal *prim.RefusalError
	var lost *prim.LostAnswerError
	switch {
	case err == nil:
		attempt.Failed, sample = a.Status >= 500, a.Sample
	case errors.As(err, &refusal):
		attempt.Failed, sample = refusal.Reason == prim.ReasonUnreachable, refusal.Sample
		if attempt.Failed {
			w.config.Reachability.MarkUnreachable(h)
		}
	case errors.As(err, &lost):
		attempt.Failed, attempt.Reset = true, lost.Reset
	}
	if sample.Host != "" {
		w.config.Policy.Observe(sample)
	}
	w.config.Policy.AttemptFinished(attempt)
}

// newUnknown returns the error of a request whose key may have run.
func (w *walk) newUnknown(cause error) error {
	// Keep only the text of the cause: a wrapped RefusalError would turn the outcome
	// into NotRun.
	return &prim.LostAnswerError{Host: w.config.Host, Cause: errors.New(cause.Error())}
}
