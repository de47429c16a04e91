package retry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// An attempt hands a request to one owner. At this node's own host, and for
// idempotent requests anywhere, that takes one step. A request that is not
// idempotent reserves a slot at another host first: up to the commit the request
// cannot run, so a busy, slow or frozen owner costs time but no certainty.

// attempt makes one attempt and reports it. It calls cancel when nothing of the
// attempt is left, which for a streamed answer is when its Rest is closed.
func (k *call) attempt(ctx context.Context, cancel context.CancelFunc, h *prim.Host) (*prim.Answer, error) {
	untrack := k.caller.Track(h.Name)
	end := func() {
		untrack()
		cancel()
	}
	started := time.Now()
	var a *prim.Answer
	var err error
	owner := k.caller.config.Owners.Owner(h.Name)
	if k.request.Idempotent || h.Name == k.caller.config.Host {
		a, err = owner.Dispatch(ctx, k.request)
	} else {
		a, err = k.twoStep(ctx, owner, h)
	}
	var lost *prim.Lost
	if errors.As(err, &lost) {
		// The text of the cause alone: a refusal among the causes would make
		// a request that may have run look like NotRun.
		err = &prim.Lost{Host: lost.Host, Cause: &cause{fmt.Sprint(lost.Cause), prim.IsTimeout(lost.Cause)}, Reset: lost.Reset}
	}
	k.report(ctx, h.Name, a, err, time.Since(started))
	if err != nil {
		end()
		return nil, err
	}
	if a.Rest == nil {
		end()
		return a, nil
	}
	streamed := *a
	streamed.Rest = &stream{ReadCloser: a.Rest, end: end}
	return &streamed, nil
}

// cause is the text of an error, and whether it came from a deadline.
type cause struct {
	text    string
	timeout bool
}

func (c *cause) Error() string { return c.text }

// Is reports whether the cause was a deadline.
func (c *cause) Is(target error) bool { return c.timeout && target == context.DeadlineExceeded }

// stream is the rest of an answer. Closing it ends the attempt.
type stream struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.once.Do(s.end)
	return err
}

// twoStep reserves and commits. Whatever ends the reservation, the request did
// not run.
func (k *call) twoStep(ctx context.Context, owner prim.Owner, h *prim.Host) (*prim.Answer, error) {
	reserving, cancel := context.WithCancel(ctx)
	defer cancel()
	giveUp := time.AfterFunc(k.reserveWait(h), cancel)
	reservation, err := owner.Reserve(reserving, k.request)
	slow := !giveUp.Stop()
	if err != nil {
		var refusal *prim.Refusal
		if errors.As(err, &refusal) && !slow {
			return nil, refusal
		}
		return nil, &prim.Refusal{Reason: prim.ReasonReservation, Host: h.Name}
	}
	if slow || ctx.Err() != nil {
		reservation.Release()
		return nil, &prim.Refusal{Reason: prim.ReasonReservation, Host: h.Name}
	}
	return reservation.Commit(ctx)
}

// reserveWait returns how long a reservation may take. It grows with every
// round in which all hosts refused: a request that was given up loses its place
// in the owner's queue, which helps only while other owners may be faster.
func (k *call) reserveWait(h *prim.Host) time.Duration {
	cost, ok := k.caller.config.Costs[h.DataCentre]
	if !ok {
		cost = DefaultCost
	}
	return k.caller.config.ReserveWait<<min(k.rounds, 6) + 2*cost
}

// report tells the policy and members how an attempt ended.
func (k *call) report(ctx context.Context, h prim.HostName, a *prim.Answer, err error, took time.Duration) {
	c := &k.caller.config
	end := prim.Attempt{Host: h, Latency: took, Outcome: prim.OutcomeOf(err)}
	var refusal *prim.Refusal
	var lost *prim.Lost
	switch {
	case err == nil:
		end.Failed = a.Status >= 500
		if a.Sample.Host != "" {
			c.Policy.Observe(a.Sample)
		}
	case errors.As(err, &refusal):
		// A slow reservation counts as a failure, or a policy would return
		// to a frozen owner with an old and good sample.
		end.Failed = refusal.Reason == prim.ReasonUnreachable || refusal.Reason == prim.ReasonReservation
		if refusal.Sample.Host != "" {
			c.Policy.Observe(refusal.Sample)
		}
		if refusal.Reason == prim.ReasonUnreachable {
			c.Members.Failed(h)
		}
	default:
		// A loser that was cancelled did not fail; its latency shows that
		// it was slow.
		end.Failed = !errors.Is(ctx.Err(), context.Canceled)
		if errors.As(err, &lost) {
			end.Reset = lost.Reset
		}
		if end.Failed && !end.Reset && !prim.IsTimeout(err) && ctx.Err() == nil {
			c.Members.Failed(h)
		}
	}
	if end.Outcome != prim.NotRun {
		k.service.latencies(k.request.Class).record(time.Now(), took)
	}
	c.Policy.Finished(end)
}
