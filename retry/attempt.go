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
// idempotent requests anywhere, that takes one step; see reserve.go for the others.

// attempt makes an attempt in one step and reports it. It calls cancel when
// nothing of the attempt is left, which for a streamed answer is when its Rest is
// closed.
func (k *call) attempt(ctx context.Context, cancel context.CancelFunc, h *prim.Host) (*prim.Answer, error) {
	owner := k.caller.config.Owners.Owner(h.Name)
	return k.finish(ctx, cancel, h, time.Now(), func() (*prim.Answer, error) { return owner.Dispatch(ctx, k.request) })
}

// finish has an owner run the request and reports the end of the attempt.
func (k *call) finish(ctx context.Context, cancel context.CancelFunc, h *prim.Host, started time.Time, run func() (*prim.Answer, error)) (*prim.Answer, error) {
	untrack := k.caller.Track(h.Name)
	end := func() {
		untrack()
		cancel()
	}
	a, err := run()
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

// report tells the policy and members how an attempt ended.
func (k *call) report(ctx context.Context, h prim.HostName, a *prim.Answer, err error, took time.Duration) {
	c := &k.caller.config
	end := prim.Attempt{Host: h, Latency: took, Outcome: prim.OutcomeOf(err)}
	var refusal *prim.Refusal
	var lost *prim.Lost
	switch {
	case err == nil:
		k.caller.host(h).answered(time.Now())
		end.Failed = a.Status >= 500
		if a.Sample.Host != "" {
			c.Policy.Observe(a.Sample)
		}
	case errors.As(err, &refusal):
		end.Failed = refusal.Reason == prim.ReasonUnreachable || refusal.Reason == prim.ReasonReservation
		if !end.Failed {
			k.caller.host(h).answered(time.Now())
		}
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
