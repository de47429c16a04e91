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

// call is one request on its way through its attempts.
type call struct {
	caller  *Caller
	service *service
	request *prim.Request

	tried   []prim.HostName // refused in this round
	rounds  int             // rounds in which every host refused
	refusal *prim.Refusal   // the last one
	lost    error           // the first end that was Unknown
	failure *prim.Answer    // an answer with a failure status, if no better one comes
	reached bool            // the last attempt may have reached a server
}

// running is an attempt that has not ended.
type running struct {
	host    prim.HostName
	started time.Time
	cancel  context.CancelFunc
}

// result is the end of an attempt.
type result struct {
	attempt *running
	answer  *prim.Answer
	err     error
}

const (
	// maxRunning bounds the concurrent attempts of one request. A further
	// one replaces the oldest.
	maxRunning = 4
	// impatience is the number of times that an attempt is found late before
	// another one may be paid from the retry budget, in case the hedge budget
	// stays empty while the owner is frozen.
	impatience = 3
	// settleGrace bounds the wait for attempts whose context has ended.
	settleGrace = 5 * time.Millisecond
)

// doRepeatable runs an idempotent request. If every attempt fails, an answer in
// which a server says so is better than no answer.
func (k *call) doRepeatable(ctx, waiting context.Context) (*prim.Answer, error) {
	a, err := k.repeat(ctx, waiting)
	if err != nil && k.failure != nil {
		return k.failure, nil
	}
	return a, err
}

// repeat makes the attempts. One that is late gets a hedge at another host; the
// first answer wins and the other attempts are cancelled.
func (k *call) repeat(ctx, waiting context.Context) (*prim.Answer, error) {
	var attempts []*running
	results := make(chan result)
	over := make(chan struct{})
	defer func() {
		close(over)
		for _, a := range attempts {
			a.cancel()
		}
	}()
	start := func(h *prim.Host) {
		c, cancel := context.WithDeadline(ctx, k.request.Deadline)
		r := &running{h.Name, time.Now(), cancel}
		attempts = append(attempts, r)
		k.caller.attempts.Go(func() {
			a, err := k.attempt(c, cancel, h)
			select {
			case results <- result{r, a, err}:
			case <-over:
				if a != nil && a.Rest != nil {
					a.Rest.Close()
				}
			}
		})
	}
	late := time.NewTimer(0)
	defer late.Stop()
	var patience time.Duration
	var checks int
	for {
		if len(attempts) == 0 {
			h, err := k.pick(waiting)
			if err != nil {
				return nil, k.end(err)
			}
			start(h)
			patience, checks = k.service.latencies(k.request.Class).late(), 0
			late.Reset(patience)
		}
		select {
		case r := <-results:
			attempts = slices.DeleteFunc(attempts, func(a *running) bool { return a == r.attempt })
			if r.err == nil {
				if !k.tryElsewhere(r) {
					return r.answer, nil
				}
				continue
			}
			if !k.retryable(r.attempt.host, r.err) {
				return nil, r.err
			}
			if len(attempts) > 0 {
				continue
			}
			if err := k.again(waiting); err != nil {
				return nil, k.end(err)
			}
		case <-late.C:
			checks++
			if h := k.hedge(attempts, checks); h != nil {
				if len(attempts) >= maxRunning {
					attempts[0].cancel()
				}
				start(h)
			}
			// Doubling bounds the checks and the hedges of one request by
			// the logarithm of its time.
			patience *= 2
			late.Reset(patience)
		case <-waiting.Done():
			return k.settle(attempts, results, waiting.Err())
		}
	}
}

// tryElsewhere reports whether another attempt shall follow an answer, because it
// has a status with which servers fail that are overloaded, cold or broken. It
// needs a host that was not tried and comes from the retry budget: a fault of the
// application itself, which every server shares, must not multiply the load.
func (k *call) tryElsewhere(r result) bool {
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
	k.failure = r.answer
	return true
}

// settle collects the ends of the attempts that were running when the time ran
// out. Their contexts have ended too, so they come back at once, and one that
// was refused or never sent leaves the request NotRun.
func (k *call) settle(attempts []*running, results <-chan result, cause error) (*prim.Answer, error) {
	grace := time.NewTimer(settleGrace)
	defer grace.Stop()
	for range attempts {
		select {
		case r := <-results:
			if r.err == nil {
				return r.answer, nil
			}
			if !k.retryable(r.attempt.host, r.err) {
				return nil, r.err
			}
		case <-grace.C:
			k.lose(&prim.Lost{Host: attempts[0].host, Cause: cause})
			return nil, k.end(cause)
		}
	}
	return nil, k.end(cause)
}

// hedge returns the host for another attempt beside the running ones, or nil
// if there is no other host or no budget for it.
func (k *call) hedge(attempts []*running, checks int) *prim.Host {
	exclude := slices.Clone(k.tried)
	for _, a := range attempts {
		exclude = append(exclude, a.host)
	}
	if checks >= impatience {
		for _, a := range attempts {
			k.caller.host(a.host).silent(a.started, time.Now())
		}
	}
	h := k.choose(exclude)
	switch {
	case h == nil:
		return nil
	case k.service.takeHedge():
		k.caller.count("Hedges")
		return h
	case checks >= impatience && k.service.takeRetry():
		k.caller.count("Retries")
		return h
	}
	return nil
}

// retryable notes how an attempt failed and reports whether another may follow.
func (k *call) retryable(h prim.HostName, err error) bool {
	var conflict *prim.KeyConflict
	if errors.As(err, &conflict) {
		return false
	}
	k.tried = append(k.tried, h)
	k.reached = prim.OutcomeOf(err) == prim.Unknown
	if k.reached {
		k.lose(err)
		return k.request.Idempotent
	}
	errors.As(err, &k.refusal)
	return true
}

func (k *call) lose(err error) {
	if k.lost == nil {
		k.lost = err
	}
}

// again waits for the permission to make another attempt. It is not delayed
// while a host of the service has not been tried, except by the budget.
func (k *call) again(waiting context.Context) error {
	var delay time.Duration
	if k.choose(k.tried) == nil {
		delay = k.backoff()
		k.tried = k.tried[:0]
	}
	if k.reached {
		return k.caller.afterLost(waiting, k.request, delay)
	}
	return k.caller.Again(waiting, k.request, delay)
}

// backoff returns the time to wait after a round in which every host refused.
func (k *call) backoff() time.Duration {
	c := &k.caller.config
	d := min(c.BackoffMin<<min(k.rounds, 16), c.BackoffMax)
	k.rounds++
	return waits.Jitter(d)
}

// end returns the error of a request whose time has run out.
func (k *call) end(err error) error {
	switch {
	case k.lost != nil:
		return k.lost
	case errors.Is(err, context.Canceled):
		return &prim.Refusal{Reason: prim.ReasonCancelled}
	case k.refusal != nil:
		return k.refusal
	}
	return &prim.Refusal{Reason: prim.ReasonExpired}
}
