package retry

import (
	"context"
	"errors"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A request that is not idempotent reserves a slot at another host before it
// commits. A reservation never runs by itself, so several may be asked for: when
// one is slow, because its owner is frozen or its queue is long, another host is
// asked too, and the first slot that is granted is committed. The slow
// reservation keeps its place in the owner's queue meanwhile. Giving it up
// instead sends the request to the end of another queue, which at 85% of
// capacity ended 38% of requests as NotRun when the retry budget ran out. For the
// same reason the second reservation is paid from the retry budget only if the
// first host is silent; a long queue is worth a hedge at most.

// hold is a reservation that has been asked for.
type hold struct {
	host    *prim.Host
	started time.Time
	cancel  context.CancelFunc
}

// grant is the owner's answer to a hold.
type grant struct {
	hold        *hold
	reservation prim.Reservation
	err         error
}

// holds is the set of reservations that one request has asked for.
type holds struct {
	call    *call
	waiting context.Context
	all     []*hold
	granted chan grant
}

// ask asks a host for a reservation. One that is granted after its hold was
// cancelled is released. The context of Reserve stays alive until the commit has
// ended, in case a reservation depends on it.
func (s *holds) ask(h *prim.Host) {
	ctx, cancel := context.WithCancel(s.waiting)
	untrack := s.call.caller.Track(h.Name)
	v := &hold{host: h, started: time.Now(), cancel: cancel}
	s.all = append(s.all, v)
	s.call.caller.attempts.Go(func() {
		owner := s.call.caller.config.Owners.Owner(h.Name)
		reservation, err := owner.Reserve(ctx, s.call.request)
		untrack() // commit tracks on its own
		select {
		case s.granted <- grant{v, reservation, err}:
		case <-ctx.Done():
			if err == nil {
				reservation.Release()
			}
		}
	})
}

// cancel gives up all holds.
func (s *holds) cancel() {
	for _, v := range s.all {
		v.cancel()
	}
	s.all = nil
}

// remove takes out a hold that has been answered.
func (s *holds) remove(v *hold) {
	s.all = slices.DeleteFunc(s.all, func(o *hold) bool { return o == v })
}

// doOnce runs a request that is not idempotent. It is handed to one server at a
// time, and to another only after an attempt that did not run.
func (k *call) doOnce(ctx, waiting context.Context) (*prim.Answer, error) {
	s := &holds{call: k, waiting: waiting, granted: make(chan grant)}
	defer s.cancel()
	slow := time.NewTimer(0)
	defer slow.Stop()
	var patience time.Duration
	for {
		var host prim.HostName
		var a *prim.Answer
		var err error
		if len(s.all) == 0 {
			h, none := k.pick(waiting)
			if none != nil {
				return nil, k.end(none)
			}
			if host = h.Name; host == k.caller.config.Host {
				c, cancel := context.WithDeadline(ctx, k.request.Deadline)
				a, err = k.attempt(c, cancel, h)
			} else {
				host = ""
				s.ask(h)
				patience = k.reserveWait(h)
				slow.Reset(patience)
			}
		}
		if host == "" {
			select {
			case g := <-s.granted:
				s.remove(g.hold)
				host = g.hold.host.Name
				a, err = k.commit(ctx, s, g)
			case <-slow.C:
				k.slow(s)
				patience *= 2
				slow.Reset(patience)
				continue
			case <-waiting.Done():
				return nil, k.end(waiting.Err())
			}
		}
		if err == nil {
			return a, nil
		}
		if !k.retryable(host, err) {
			return nil, err
		}
		if len(s.all) > 0 {
			continue
		}
		if err := k.again(waiting); err != nil {
			return nil, k.end(err)
		}
	}
}

// slow asks another host for a reservation beside the slow ones, if a budget
// permits.
func (k *call) slow(s *holds) {
	exclude := slices.Clone(k.tried)
	silent := true
	for _, v := range s.all {
		silent = k.caller.host(v.host.Name).silent(v.started, time.Now()) && silent
		exclude = append(exclude, v.host.Name)
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
	if len(s.all) >= maxRunning {
		s.all[0].cancel()
		s.remove(s.all[0])
	}
	s.ask(h)
}

// commit runs the request in a granted slot and gives up the other holds first.
// Whatever ended a reservation, the request did not run.
func (k *call) commit(ctx context.Context, s *holds, g grant) (*prim.Answer, error) {
	h := g.hold.host
	var refusal *prim.Refusal
	switch {
	case g.err == nil && s.waiting.Err() != nil:
		g.reservation.Release()
		g.err = &prim.Refusal{Reason: prim.ReasonExpired, Host: h.Name}
	case g.err != nil && !errors.As(g.err, &refusal):
		g.err = &prim.Refusal{Reason: prim.ReasonReservation, Host: h.Name}
	}
	if g.err != nil {
		g.hold.cancel()
		k.report(ctx, h.Name, nil, g.err, time.Since(g.hold.started))
		return nil, g.err
	}
	k.caller.host(h.Name).answered(time.Now())
	s.cancel()
	c, cancel := context.WithDeadline(ctx, k.request.Deadline)
	return k.finish(c, func() {
		cancel()
		g.hold.cancel()
	}, h, g.hold.started, func() (*prim.Answer, error) { return g.reservation.Commit(c) })
}

// reserveWait returns the time after which a reservation is slow.
func (k *call) reserveWait(h *prim.Host) time.Duration {
	cost, ok := k.caller.config.Costs[h.DataCentre]
	if !ok {
		cost = k.caller.config.DefaultCost
	}
	return k.caller.config.ReserveWait + 2*cost
}
