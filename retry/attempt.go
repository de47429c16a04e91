package retry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// An attempt sends a request to one owner. At this node's own host, and for
// idempotent requests at any host, that takes one step. Other requests first
// reserve a slot; see reserve.go.

// dispatch makes an attempt in one step and reports how it ended. It calls cancel
// when the attempt is complete, which for a streamed answer is when its Rest is
// closed.
func (k *call) dispatch(ctx context.Context, cancel context.CancelFunc, h *prim.Host) (*prim.Answer, error) {
	owner := k.caller.config.Owners.Owner(h.Name)
	return k.runAttempt(ctx, cancel, h, time.Now(), func() (*prim.Answer, error) { return owner.Dispatch(ctx, k.request) })
}

// runAttempt calls run, which sends the request to an owner, and reports how the
// attempt ended. It calls cancel as dispatch does.
func (k *call) runAttempt(ctx context.Context, cancel context.CancelFunc, h *prim.Host, started time.Time, run func() (*prim.Answer, error)) (*prim.Answer, error) {
	untrack := k.caller.TrackAttempt(h.Name)
	release := func() {
		untrack()
		cancel()
	}
	a, err := run()
	var lost *prim.LostAnswerError
	if errors.As(err, &lost) {
		err = &prim.LostAnswerError{Host: lost.Host, Cause: prim.NewLostCause(lost.Cause), Reset: lost.Reset}
	}
	k.report(ctx, h.Name, a, err, time.Since(started))
	if err != nil {
		release()
		return nil, err
	}
	if a.Rest == nil {
		release()
		return a, nil
	}
	streamed := *a
	streamed.Rest = &stream{ReadCloser: a.Rest, onClose: release}
	return &streamed, nil
}

// stream is the rest of a streamed answer. Closing it ends the attempt.
type stream struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

func (s *stream) Close() error {
	err := s.ReadCloser.Close()
	s.once.Do(s.onClose)
	return err
}

// report tells Policy and Reachability how an attempt ended.
func (k *call) report(ctx context.Context, h prim.HostName, a *prim.Answer, err error, took time.Duration) {
	c := &k.caller.config
	attempt := prim.Attempt{Host: h, Latency: took, Outcome: prim.OutcomeOf(err)}
	var refusal *prim.RefusalError
	var lost *prim.LostAnswerError
	switch {
	case err == nil:
		k.caller.host(h).markAnswered(time.Now())
		attempt.Failed = a.Status >= 500
		if a.Sample.Host != "" {
			c.Policy.Observe(a.Sample)
		}
	case errors.As(err, &refusal):
		attempt.Failed = refusal.Reason == prim.ReasonUnreachable || refusal.Reason == prim.ReasonReservationExpired
		if !attempt.Failed {
			k.caller.host(h).markAnswered(time.Now())
		}
		if refusal.Sample.Host != "" {
			c.Policy.Observe(refusal.Sample)
		}
		if refusal.Reason == prim.ReasonUnreachable {
			c.Reachability.MarkUnreachable(h)
		}
	default:
		// An attempt cancelled because another one won did not fail; its latency
		// shows that it was slow.
		attempt.Failed = !errors.Is(ctx.Err(), context.Canceled)
		if errors.As(err, &lost) {
			attempt.Reset = lost.Reset
		}
		if attempt.Failed && !attempt.Reset && !prim.IsTimeout(err) && ctx.Err() == nil {
			c.Reachability.MarkUnreachable(h)
		}
	}
	if attempt.Outcome != prim.NotRun {
		k.service.estimator(k.request.Class).record(time.Now(), took)
	}
	c.Policy.AttemptFinished(attempt)
}
