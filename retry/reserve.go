package retry

import (
	"context"
	"errors"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A request that is not idempotent reserves a slot at another host before it is
// committed there. A reservation runs nothing by itself, so a request may ask for
// several. If one is slow, because its owner is frozen or has a long queue, another
// host is asked too, and the first slot that is granted is committed. The slow
// reservation keeps its place in the owner's queue meanwhile. Giving it up instead
// sent the request to the end of another queue: at 85% of capacity, 38% of requests
// then ended as NotRun because the retry budget was empty. For the same reason the
// second reservation takes a retry token only if every host asked is silent;
// against a long queue it may take only a hedge token.

// pendingReservation is a reservation that the owner has not answered.
type pendingReservation struct {
	host    *prim.Host
	started time.Time
	cancel  context.CancelFunc
}

// reserveResult is the owner's answer to a reservation.
type reserveResult struct {
	pending     *pendingReservation
	reservation prim.Reservation
	err         error
}

// reservationSet is the set of pending reservations of one request.
type reservationSet struct {
	call        *call
	deadlineCtx context.Context
	pending     []*pendingReservation
	results     chan reserveResult
}

// reserve asks a host for a reservation. One that is granted after its cancellation
// is released. The context of Reserve stays alive until the commit has ended, in
// case the reservation depends on it.
func (s *reservationSet) reserve(h *prim.Host) {
	ctx, cancel := context.WithCancel(s.deadlineCtx)
	untrack := s.call.caller.TrackAttempt(h.Name)
	p := &pendingReservation{host: h, started: time.Now(), cancel: cancel}
	s.pending = append(s.pending, p)
	s.call.caller.attempts.Go(func() {
		owner := s.call.caller.config.Owners.Owner(h.Name)
		reservation, err := owner.Reserve(ctx, s.call.request)
		untrack() // commit tracks the attempt itself
		select {
		case s.results <- reserveResult{p, reservation, err}:
		case <-ctx.Done():
			if err == nil {
				reservation.Release()
			}
		}
	})
}

// cancelAll cancels all pending reservations.
func (s *reservationSet) cancelAll() {
	for _, p := range s.pending {
		p.cancel()
	}
	s.pending = nil
}

// remove removes a reservation that has been answered.
func (s *reservationSet) remove(p *pendingReservation) {
	s.pending = slices.DeleteFunc(s.pending, func(o *pendingReservation) bool { return o == p })
}

// doNonIdempotent runs a request that is not idempotent. It is run at one server at
// a time, and at another only after an attempt that did not run.
func (k *call) doNonIdempotent(ctx, deadlineCtx context.Context) (*prim.Answer, error) {
	s := &reservationSet{call: k, deadlineCtx: deadlineCtx, results: make(chan reserveResult)}
	defer s.cancelAll()
	slowTimer := time.NewTimer(0)
	defer slowTimer.Stop()
	var checkInterval time.Duration
	for {
		var host prim.HostName
		var a *prim.Answer
		var err error
		if len(s.pending) == 0 {
			h, waitErr := k.awaitHost(deadlineCtx)
			if waitErr != nil {
				return nil, k.finalError(waitErr)
			}
			if host = h.Name; host == k.caller.config.Host {
				attemptCtx, cancel := context.WithDeadline(ctx, k.request.Deadline)
				a, err = k.dispatch(attemptCtx, cancel, h)
			} else {
				host = ""
				s.reserve(h)
				checkInterval = k.reserveDelay(h)
				slowTimer.Reset(checkInterval)
			}
		}
		if host == "" {
			select {
			case r := <-s.results:
				s.remove(r.pending)
				host = r.pending.host.Name
				a, err = k.commit(ctx, s, r)
			case <-slowTimer.C:
				k.hedgeReservation(s)
				checkInterval *= 2
				slowTimer.Reset(checkInterval)
				continue
			case <-deadlineCtx.Done():
				return nil, k.finalError(deadlineCtx.Err())
			}
		}
		if err == nil {
			return a, nil
		}
		if !k.recordFailure(host, err) {
			return nil, err
		}
		if len(s.pending) > 0 {
			continue
		}
		if err := k.waitForRetry(deadlineCtx); err != nil {
			return nil, k.finalError(err)
		}
	}
}

// hedgeReservation asks another host for a reservation in addition to the slow
// ones, if a budget permits.
func (k *call) hedgeReservation(s *reservationSet) {
	exclude := slices.Clone(k.tried)
	silent := true
	for _, p := range s.pending {
		silent = k.caller.host(p.host.Name).markSilent(p.started, time.Now()) && silent
		exclude = append(exclude, p.host.Name)
	}
	h := k.choose(exclude)
	switch {
	case h == nil:
		return
	case k.service.takeHedge():
		k.caller.count("Hedges")
	case silent && k.service.takeRetry():
		k.caller.count("Retries")
	default:
		return
	}
	if len(s.pending) >= maxConcurrentAttempts {
		s.pending[0].cancel()
		s.remove(s.pending[0])
	}
	s.reserve(h)
}

// commit cancels the other reservations and runs the request in the granted slot.
// If the reservation failed for any reason, the request did not run.
func (k *call) commit(ctx context.Context, s *reservationSet, r reserveResult) (*prim.Answer, error) {
	h := r.pending.host
	var refusal *prim.RefusalError
	switch {
	case r.err == nil && s.deadlineCtx.Err() != nil:
		r.reservation.Release()
		r.err = &prim.RefusalError{Reason: prim.ReasonExpired, Host: h.Name}
	case r.err != nil && !errors.As(r.err, &refusal):
		r.err = &prim.RefusalError{Reason: prim.ReasonReservationExpired, Host: h.Name}
	}
	if r.err != nil {
		r.pending.cancel()
		k.report(ctx, h.Name, nil, r.err, time.Since(r.pending.started))
		return nil, r.err
	}
	k.caller.host(h.Name).markAnswered(time.Now())
	s.cancelAll()
	commitCtx, cancel := context.WithDeadline(ctx, k.request.Deadline)
	return k.runAttempt(commitCtx, func() {
		cancel()
		r.pending.cancel()
	}, h, r.pending.started, func() (*prim.Answer, error) { return r.reservation.Commit(commitCtx) })
}

// reserveDelay returns the time after which a reservation is slow.
func (k *call) reserveDelay(h *prim.Host) time.Duration {
	cost, ok := k.caller.config.Costs[h.DataCentre]
	if !ok {
		cost = k.caller.config.DefaultCost
	}
	return k.caller.config.ReserveHedgeDelay + 2*cost
}
