package retry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// call is the state of one request across its attempts.
type call struct {
	caller  *Caller
	service *service
	request *prim.Request

	tried           []prim.HostName    // failed in the current round
	completedRounds int                // completed rounds, for the backoff
	lastRefusal     *prim.RefusalError // reported if no attempt was lost
	firstLost       error              // error of the first attempt that ended as Unknown
	failureAnswer   *prim.Answer       // latest answer with a failure status, returned if no other comes
	mayHaveRun      bool               // the last failed attempt may have reached a server
}

// runningAttempt is an attempt that has not returned.
type runningAttempt struct {
	host    prim.HostName
	started time.Time
	cancel  context.CancelFunc
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt *runningAttempt
	answer  *prim.Answer
	err     error
}

const (
	// maxConcurrentAttempts is the maximum number of concurrent attempts of one request.
	// Another one replaces the oldest.
	maxConcurrentAttempts = 4
	// lateChecksBeforeRetry is the number of late checks after which another
	// attempt may take a retry token. It covers a hedge budget that stays empty
	// while the owner is frozen.
	lateChecksBeforeRetry = 3
	// resultGrace is the maximum time to wait for attempts whose context has
	// ended.
	resultGrace = 5 * time.Millisecond
)

// doIdempotent runs an idempotent request. If every attempt fails, it returns the
// last answer with a failure status, if there is one, rather than an error.
func (k *call) doIdempotent(ctx, deadlineCtx context.Context) (*prim.Answer, error) {
	a, err := k.attemptWithHedges(ctx, deadlineCtx)
	if err != nil && k.failureAnswer != nil {
		return k.failureAnswer, nil
	}
	return a, err
}

// attemptWithHedges makes the attempts of an idempotent request. A late attempt is
// hedged at another host; the first answer wins and the other attempts are
// cancelled.
func (k *call) attemptWithHedges(ctx, deadlineCtx context.Context) (*prim.Answer, error) {
	var attempts []*runningAttempt
	results := make(chan attemptResult)
	finished := make(chan struct{})
	defer func() {
		close(finished)
		for _, a := range attempts {
			a.cancel()
		}
	}()
	start := func(h *prim.Host) {
		attemptCtx, cancel := context.WithDeadline(ctx, k.request.Deadline)
		r := &runningAttempt{h.Name, time.Now(), cancel}
		attempts = append(attempts, r)
		k.caller.attempts.Go(func() {
			a, err := k.dispatch(attemptCtx, cancel, h)
			select {
			case results <- attemptResult{r, a, err}:
			case <-finished:
				if a != nil && a.Rest != nil {
					a.Rest.Close()
				}
			}
		})
	}
	lateTimer := time.NewTimer(0)
	defer lateTimer.Stop()
	var checkInterval time.Duration
	var lateChecks int
	for {
		if len(attempts) == 0 {
			h, err := k.awaitHost(deadlineCtx)
			if err != nil {
				return nil, k.finalError(err)
			}
			start(h)
			checkInterval, lateChecks = k.service.estimator(k.request.Class).lateAfter(), 0
			lateTimer.Reset(checkInterval)
		}
		select {
		case r := <-results:
			attempts = slices.DeleteFunc(attempts, func(a *runningAttempt) bool { return a == r.attempt })
			if r.err == nil {
				if !k.retryFailureStatus(r) {
					return r.answer, nil
				}
				continue
			}
			if !k.recordFailure(r.attempt.host, r.err) {
				return nil, r.err
			}
			if len(attempts) > 0 {
				continue
			}
			if err := k.waitForRetry(deadlineCtx); err != nil {
				return nil, k.finalError(err)
			}
		case <-lateTimer.C:
			lateChecks++
			if h := k.hedge(attempts, lateChecks); h != nil {
				if len(attempts) >= maxConcurrentAttempts {
					attempts[0].cancel()
				}
				start(h)
			}
			// Doubling the interval bounds the late checks and hedges of one
			// request by the logarithm of its duration.
			checkInterval *= 2
			lateTimer.Reset(checkInterval)
		case <-deadlineCtx.Done():
			return k.collectResults(attempts, results, deadlineCtx.Err())
		}
	}
}

// retryFailureStatus reports whether to make another attempt after an answer whose
// status indicates that the server is overloaded, cold or broken. The attempt needs
// an untried host and takes a retry token: a fault of the application, which every
// server shares, must not multiply the load.
func (k *call) retryFailureStatus(r attemptResult) bool {
	switch r.answer.Status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		return false
	}
	if r.answer.Rest != nil {
		return false
	}
	k.tried = append(k.tried, r.attempt.host)
	if k.choose(k.tried) == nil || !k.service.takeRetry() {
		return false
	}
	k.caller.count("Retries")
	k.failureAnswer = r.answer
	return true
}

// collectResults collects the results of the attempts that were running at the
// deadline. Their contexts have ended too, so they return at once. If all of them
// were refused or never sent, the request may still end as NotRun.
func (k *call) collectResults(attempts []*runningAttempt, results <-chan attemptResult, cause error) (*prim.Answer, error) {
	grace := time.NewTimer(resultGrace)
	defer grace.Stop()
	for range attempts {
		select {
		case r := <-results:
			if r.err == nil {
				return r.answer, nil
			}
			if !k.recordFailure(r.attempt.host, r.err) {
				return nil, r.err
			}
		case <-grace.C:
			k.recordLost(&prim.LostAnswerError{Host: attempts[0].host, Cause: cause})
			return nil, k.finalError(cause)
		}
	}
	return nil, k.finalError(cause)
}

// hedge returns the host for another attempt concurrent with the running ones, or
// nil if there is no other host or no budget for it.
func (k *call) hedge(attempts []*runningAttempt, lateChecks int) *prim.Host {
	exclude := slices.Clone(k.tried)
	for _, a := range attempts {
		exclude = append(exclude, a.host)
	}
	if lateChecks >= lateChecksBeforeRetry {
		for _, a := range attempts {
			k.caller.host(a.host).markSilent(a.started, time.Now())
		}
	}
	h := k.choose(exclude)
	switch {
	case h == nil:
		return nil
	case k.service.takeHedge():
		k.caller.count("Hedges")
		return h
	case lateChecks >= lateChecksBeforeRetry && k.service.takeRetry():
		k.caller.count("Retries")
		return h
	}
	return nil
}

// recordFailure records how an attempt failed and reports whether the request may
// be retried.
func (k *call) recordFailure(h prim.HostName, err error) bool {
	var conflict *prim.KeyConflictError
	if errors.As(err, &conflict) {
		return false
	}
	k.tried = append(k.tried, h)
	k.mayHaveRun = prim.OutcomeOf(err) == prim.Unknown
	if k.mayHaveRun {
		k.recordLost(err)
		return k.request.Idempotent
	}
	errors.As(err, &k.lastRefusal)
	return true
}

func (k *call) recordLost(err error) {
	if k.firstLost == nil {
		k.firstLost = err
	}
}

// waitForRetry waits until the budget permits another attempt. There is a backoff
// delay only when every host of the service has been tried.
func (k *call) waitForRetry(deadlineCtx context.Context) error {
	var delay time.Duration
	if k.choose(k.tried) == nil {
		delay = k.backoff()
		k.tried = k.tried[:0]
	}
	if k.mayHaveRun {
		return k.caller.waitAfterLost(deadlineCtx, k.request, delay)
	}
	return k.caller.WaitForRetry(deadlineCtx, k.request, delay)
}

// backoff returns the delay after a round in which every host was tried. It is
// jittered and doubles with each round up to BackoffMax.
func (k *call) backoff() time.Duration {
	c := &k.caller.config
	d := min(c.BackoffMin<<min(k.completedRounds, 16), c.BackoffMax)
	k.completedRounds++
	return waits.Jitter(d)
}

// finalError returns the error of a request that ends without an answer; err is
// the error of its context.
func (k *call) finalError(err error) error {
	switch {
	case k.firstLost != nil:
		return k.firstLost
	case errors.Is(err, context.Canceled):
		return &prim.RefusalError{Reason: prim.ReasonCancelled}
	case k.lastRefusal != nil:
		return k.lastRefusal
	}
	return &prim.RefusalError{Reason: prim.ReasonExpired}
}
