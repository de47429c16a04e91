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

// CallerConfig configures a Caller. All fields are required except WaitForRetry and
// TrackAttempt.
type CallerConfig struct {
	Host         prim.HostName
	Documents    prim.Documents
	Reachability prim.Reachability
	Policy       prim.Policy
	Owners       prim.Owners
	// WaitForRetry waits until another attempt is permitted, as
	// retry.Caller.WaitForRetry does. If it is nil, the Caller waits for the delay only.
	WaitForRetry func(ctx context.Context, r *prim.Request, delay time.Duration) error
	// TrackAttempt counts an attempt as in flight at a host until the returned
	// function is called, as retry.Caller.TrackAttempt does. If it is nil,
	// attempts are not counted.
	TrackAttempt func(h prim.HostName) func()
}

// Caller is the prim.Caller for requests with an idempotency key. It asks the
// candidates of the key in order.
type Caller struct{ config CallerConfig }

// NewCaller returns a Caller.
func NewCaller(c CallerConfig) *Caller { return &Caller{c} }

const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// maxLostAnswers is the number of lost answers at one candidate after
	// which the request ends. The limit is needed because a record in stateLost
	// looks like a broken link. It also bounds the retries of a lookup.
	maxLostAnswers = 3
)

// keyedCall is the state of one request while the candidates are asked.
type keyedCall struct {
	*Caller
	request  *prim.Request
	lookup   *prim.Request // the same request as a lookup of the record
	hosts    []*prim.Host
	position int // of the current candidate; all before it recorded tombstones

	attempts       int                // at the current candidate
	refusal        *prim.RefusalError // by the current candidate, which has not run the key
	lostErr        error              // set if an attempt may still run at the current candidate
	lostCount      int                // lost answers at the current candidate
	searchComplete bool               // all other candidates were asked since position changed
}

// Do runs a request with a key or returns the recorded answer of an earlier one. The
// outcome of an error is NotRun only if no candidate has run the key: all candidates
// before the last one asked recorded tombstones, and the last one refused without
// having a record.
func (c *Caller) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if r.Deadline.IsZero() {
		copied := *r
		copied.Deadline = time.Now().Add(prim.DefaultTimeout)
		r = &copied
	}
	lookup := *r
	lookup.Lookup = true
	call := &keyedCall{Caller: c, request: r, lookup: &lookup}
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
func (k *keyedCall) waitForCandidates(deadlineCtx context.Context) error {
	for {
		changed := k.config.Documents.Changed()
		v, now := k.config.Documents.View(), time.Now()
		ahead := k.request.KeyCreated.Sub(now)
		switch {
		case now.Sub(k.request.KeyCreated) > KeyWindow && !k.request.KeyCreated.IsZero():
			return k.newUnknown(errKeyExpired)
		case !hostListIsRecent(v, now):
			select {
			case <-changed:
			case <-deadlineCtx.Done():
				return k.newUnknown(errHostListTooOld)
			}
			continue
		case ahead > KeyMargin:
			// Owners refuse keys created in the future: a later instance of
			// the owner could not detect that it lost the record of such a
			// key.
			if waits.Sleep(deadlineCtx, ahead-KeyMargin+time.Millisecond) != nil {
				return k.newUnknown(deadlineCtx.Err())
			}
			continue
		}
		hosts, ok := orderedCandidates(v, keyIDOf(k.request), k.request.KeyCreated, now)
		if !ok {
			return k.newUnknown(errUndatedKey)
		}
		if k.hosts = hosts; len(hosts) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-deadlineCtx.Done():
			return &prim.RefusalError{Reason: prim.ReasonNoHost, Host: k.config.Host}
		}
	}
}

// run asks the candidates in order until one of them decides the request.
func (k *keyedCall) run(ctx, deadlineCtx context.Context) (*prim.Answer, error) {
	for k.position < len(k.hosts) {
		h := k.hosts[k.position]
		if k.removed(h) {
			if found, a, err := k.searchOthers(deadlineCtx); found {
				return a, err
			}
			if k.hosts[min(k.position, len(k.hosts)-1)] == h {
				return nil, k.newUnknown(errHostRemoved)
			}
			continue
		}
		attemptCtx, cancel := context.WithDeadline(ctx, k.request.Deadline)
		a, err := k.attempt(attemptCtx, h.Name, k.request, cancel)
		if err == nil {
			return a, nil
		}
		if answer, err := k.handleFailure(deadlineCtx, h, err); answer != nil || err != nil {
			return answer, err
		}
	}
	return nil, &prim.RefusalError{Reason: prim.ReasonTombstone, Host: k.hosts[len(k.hosts)-1].Name}
}

// handleFailure processes an attempt that returned no answer. It returns the result
// of the request, or nil and nil if another attempt is to be made.
func (k *keyedCall) handleFailure(deadlineCtx context.Context, h *prim.Host, err error) (*prim.Answer, error) {
	var conflict *prim.KeyConflictError
	var refusal *prim.RefusalError
	switch {
	case errors.As(err, &conflict):
		return nil, err
	case !errors.As(err, &refusal):
		k.lostErr, k.refusal = err, nil
		if k.lostCount++; k.lostCount >= maxLostAnswers || h.Name == k.config.Host || deadlineCtx.Err() != nil {
			return nil, err
		}
	case refusal.Reason == prim.ReasonTombstone:
		k.moveTo(k.position + 1)
		if k.position == len(k.hosts) {
			return nil, nil
		}
		return nil, k.waitForRetry(deadlineCtx, 0)
	case refusal.Reason == prim.ReasonForgotten, refusal.Reason == prim.ReasonUnreachable:
		k.refusal = nil
		position := k.position
		// Searching only after 0, 1, 2, 4, ... attempts keeps the number of
		// searches logarithmic in the number of attempts.
		if k.attempts&(k.attempts-1) == 0 && !k.searchComplete {
			if found, a, err := k.searchOthers(deadlineCtx); found {
				return a, err
			}
		}
		if k.position != position {
			return nil, nil
		}
		if refusal.Reason == prim.ReasonForgotten && k.searchComplete {
			return nil, k.newUnknown(errHostRestarted)
		}
	case refusal.Reason == prim.ReasonBusy, refusal.Reason == prim.ReasonRecordsFull,
		refusal.Reason == prim.ReasonLeaving, refusal.Reason == prim.ReasonShed:
		k.refusal = refusal
	default:
		// The refusal does not concern the key.
		k.refusal = nil
	}
	k.attempts++
	return nil, k.waitForRetry(deadlineCtx, waits.Jitter(min(minBackoff<<min(k.attempts, 16), maxBackoff)))
}

// waitForRetry waits before another attempt. It returns the final error of the
// request if no further attempt is possible.
func (k *keyedCall) waitForRetry(deadlineCtx context.Context, delay time.Duration) error {
	var err error
	if k.config.WaitForRetry != nil {
		err = k.config.WaitForRetry(deadlineCtx, k.request, delay)
	} else {
		err = waits.Sleep(deadlineCtx, delay)
	}
	switch {
	case err == nil:
		return nil
	case k.lostErr != nil:
		return k.lostErr
	case k.refusal != nil:
		return k.refusal
	}
	return k.newUnknown(errHostUnreachable)
}

func (k *keyedCall) moveTo(position int) {
	k.position, k.attempts, k.refusal, k.lostErr, k.lostCount, k.searchComplete = position, 0, nil, nil, 0, false
}

// searchOthers asks the other candidates for the record while the current one cannot
// give it, and returns the record if one of them has it. A tombstone implies the
// tombstones of all earlier candidates, because a candidate is asked to run a key
// only after them. The search therefore continues after the last tombstone found.
func (k *keyedCall) searchOthers(deadlineCtx context.Context) (found bool, a *prim.Answer, err error) {
	nextPosition, complete := k.position, true
	for i, h := range k.hosts {
		if i == k.position || k.removed(h) {
			continue
		}
		a, err := k.attempt(deadlineCtx, h.Name, k.lookup, func() {})
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
			if j := slices.IndexFunc(k.hosts, func(o *prim.Host) bool { return o.Name == refusal.Host }); j >= 0 {
				nextPosition = max(nextPosition, j+1)
			}
		case refusal.Reason == prim.ReasonLeaving && i == k.position+1 && refusal.Host == k.hosts[k.position].Name:
			// The current candidate has retired and has handed over all its
			// records for keys whose next candidate is h.
			nextPosition = max(nextPosition, i)
		default:
			complete = complete && (refusal.Reason == prim.ReasonNoRecord || refusal.Reason == prim.ReasonForgotten)
		}
	}
	if nextPosition != k.position {
		k.moveTo(nextPosition)
	} else {
		k.searchComplete = complete
	}
	return false, nil, nil
}

// findRecord executes a lookup: it asks every candidate for the record of the key.
func (k *keyedCall) findRecord(deadlineCtx context.Context) (*prim.Answer, error) {
	k.position = len(k.hosts) // no current candidate
	for attempts := 0; ; attempts++ {
		var inconclusive error
		for _, h := range k.hosts {
			if k.removed(h) {
				inconclusive = errHostRemoved
				continue
			}
			a, err := k.attempt(deadlineCtx, h.Name, k.lookup, func() {})
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
		if attempts == maxLostAnswers || k.waitForRetry(deadlineCtx, waits.Jitter(min(minBackoff<<min(attempts, 16), maxBackoff))) != nil {
			return nil, k.newUnknown(inconclusive)
		}
	}
}

// removed reports whether a candidate was removed according to the host list.
func (k *keyedCall) removed(h *prim.Host) bool {
	for _, e := range k.config.Documents.View().ServiceHosts(h.Service) {
		if e.Name == h.Name && e.Since.Equal(h.Since) {
			return e.State == prim.HostLost
		}
	}
	return true
}

// attempt makes one attempt at a host and reports it to the policy. It calls cancel
// when the attempt has ended and a streamed answer has been closed.
func (k *keyedCall) attempt(ctx context.Context, h prim.HostName, r *prim.Request, cancel context.CancelFunc) (*prim.Answer, error) {
	done := cancel
	if k.config.TrackAttempt != nil {
		untrack := k.config.TrackAttempt(h)
		done = func() {
			untrack()
			cancel()
		}
	}
	started := time.Now()
	a, err := k.config.Owners.Owner(h).Dispatch(ctx, r)
	var lost *prim.LostAnswerError
	if errors.As(err, &lost) {
		// Keep only the text of the cause: a wrapped RefusalError would turn the
		// outcome into NotRun.
		err = &prim.LostAnswerError{Host: lost.Host, Cause: errors.New(fmt.Sprint(lost.Cause)), Reset: lost.Reset}
	}
	k.reportAttempt(h, a, err, time.Since(started))
	if a == nil || a.Rest == nil {
		done()
		return a, err
	}
	streamed := *a
	streamed.Rest = &streamedBody{a.Rest, done}
	return &streamed, err
}

func (k *keyedCall) reportAttempt(h prim.HostName, a *prim.Answer, err error, latency time.Duration) {
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
			k.config.Reachability.MarkUnreachable(h)
		}
	case errors.As(err, &lost):
		attempt.Failed, attempt.Reset = true, lost.Reset
	}
	if sample.Host != "" {
		k.config.Policy.Observe(sample)
	}
	k.config.Policy.AttemptFinished(attempt)
}

// newUnknown returns the error of a request whose key may have run.
func (k *keyedCall) newUnknown(cause error) error {
	// Keep only the text of the cause: a wrapped RefusalError would turn the outcome
	// into NotRun.
	return &prim.LostAnswerError{Host: k.config.Host, Cause: errors.New(cause.Error())}
}
