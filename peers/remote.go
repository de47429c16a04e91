package peers

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// remoteOwner is the owner at another host, reached through a link.
type remoteOwner struct {
	peers *Peers
	host  prim.HostName
}

// Sample returns a sample that only names the host: the load of another host is
// known only from its answers.
func (o *remoteOwner) Sample() prim.LoadSample { return prim.LoadSample{Host: o.host} }

// Dispatch sends the request in one step. Once the frame was written, a call that
// ends without a response returns *prim.LostAnswerError.
func (o *remoteOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	l, c, err := o.openCall(ctx)
	if err != nil {
		return nil, err
	}
	return guardCall(l, c, func() (*prim.Answer, error) { return o.dispatchCall(ctx, l, c, r) })
}

// guardCall runs a call and cancels it if run panics. A call that stayed registered would count
// toward Config.MaxCalls for good.
func guardCall[T any](l *link, c *call, run func() (T, error)) (result T, err error) {
	returned := false
	defer func() {
		if !returned {
			l.cancelCall(c)
		}
	}()
	result, err = run()
	returned = true
	return result, err
}

// dispatchCall is Dispatch for a registered call.
func (o *remoteOwner) dispatchCall(ctx context.Context, l *link, c *call, r *prim.Request) (*prim.Answer, error) {
	h := wire.RequestHeader(wire.Dispatch, r, time.Now())
	h.ID = c.id
	h.Instance = l.instance
	if len(r.Body) > maxFrameBody {
		return o.dispatchInParts(ctx, l, c, &h, r.Body)
	}
	if sent, err := l.writeFrame(ctx, &h, r.Body); err != nil {
		return nil, o.failCall(l, c, sent, err)
	}
	return o.awaitAnswer(ctx, l, c)
}

// Reserve requests a slot. Nothing runs before Commit, so every failure is
// *prim.RefusalError. Requests with a large body can't be reserved.
func (o *remoteOwner) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	if len(r.Body) > maxFrameBody {
		return nil, o.refuseLarge()
	}
	l, c, err := o.openCall(ctx)
	if err != nil {
		return nil, err
	}
	return guardCall(l, c, func() (prim.Reservation, error) { return o.reserveCall(ctx, l, c, r) })
}

// reserveCall is Reserve for a registered call.
func (o *remoteOwner) reserveCall(ctx context.Context, l *link, c *call, r *prim.Request) (prim.Reservation, error) {
	h := wire.RequestHeader(wire.Reserve, r, time.Now())
	h.ID = c.id
	h.Instance = l.instance
	if sent, err := l.writeFrame(ctx, &h, r.Body); err != nil {
		if failed := o.failCall(l, c, sent, err); errors.Is(err, errNoMemory) {
			return nil, failed
		}
		refusal := &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: o.host}
		if sent && ctx.Err() != nil {
			refusal.Reason = prim.ReasonExpired
		}
		return nil, refusal
	}
	select {
	case reply, ok := <-c.reply:
		if !ok {
			return nil, &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: o.host}
		}
		if reply.header.Type == wire.Reserved {
			return &remoteReservation{owner: o, link: l, ticket: reply.header.Ticket}, nil
		}
		o.receiveSample(&reply.header)
		_, err := reply.header.Result(o.host, reply.body)
		if prim.OutcomeOf(err) != prim.NotRun {
			err = &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: o.host}
		}
		return nil, err
	case <-ctx.Done():
		l.cancelCall(c)
		return nil, &prim.RefusalError{Reason: prim.ReasonExpired, Host: o.host}
	}
}

// openCall acquires a link and registers a call on it. If it fails, nothing was
// sent and the error is *prim.RefusalError.
func (o *remoteOwner) openCall(ctx context.Context) (*link, *call, error) {
	l, err := o.peers.group(o.host).acquireLink(ctx)
	if err == nil {
		var c *call
		if c, err = l.registerCall(); err == nil {
			return l, c, nil
		}
	}
	reason := prim.ReasonUnreachable
	if errors.Is(err, errTooManyCalls) {
		reason = prim.ReasonBusy
	}
	if ctx.Err() != nil {
		reason = prim.ReasonExpired
	}
	return nil, nil, &prim.RefusalError{Reason: reason, Host: o.host}
}

// failCall ends a call whose write failed and maps the error. If nothing of the frame
// was written, the request cannot run and the result is *prim.RefusalError. Otherwise
// the call is cancelled, because a long frame may still arrive.
func (o *remoteOwner) failCall(l *link, c *call, sent bool, err error) error {
	if !sent {
		l.dropCall(c)
		if errors.Is(err, errNoMemory) {
			return o.refuseLarge()
		}
		return &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: o.host}
	}
	l.cancelCall(c)
	return &prim.LostAnswerError{Host: o.host, Cause: err}
}

// awaitAnswer waits for the result of a call whose request was written. If the
// context ends first, it cancels the call at the other side.
func (o *remoteOwner) awaitAnswer(ctx context.Context, l *link, c *call) (*prim.Answer, error) {
	select {
	case reply, ok := <-c.reply:
		if !ok {
			return nil, &prim.LostAnswerError{Host: o.host, Cause: errLinkClosed}
		}
		return o.receiveReply(l, &reply)
	case <-ctx.Done():
		l.cancelCall(c)
		if reply, ok := <-receivedReply(c); ok && reply.stream != nil {
			reply.stream.Close()
		}
		return nil, &prim.LostAnswerError{Host: o.host, Cause: ctx.Err()}
	}
}

// receiveReply returns the result of a call.
func (o *remoteOwner) receiveReply(l *link, reply *reply) (*prim.Answer, error) {
	o.peers.config.OnHostResponse(o.host, l.instance)
	o.receiveSample(&reply.header)
	answer, err := reply.header.Result(o.host, reply.body)
	if held := reply.held; held != nil && err == nil {
		answer.OnRelease(func() { held.release() })
	}
	if err == nil && reply.stream != nil {
		answer.Rest = reply.stream
	}
	if err != nil {
		o.reportBroken(err)
		if reply.stream != nil {
			reply.stream.Close()
		}
	}
	return answer, err
}

// reportBroken passes an invalid answer to Config.OnBrokenAnswer. One that the other node got
// from its server is reported there.
func (o *remoteOwner) reportBroken(err error) {
	var broken *prim.BrokenAnswerError
	if errors.As(err, &broken) {
		o.peers.config.OnBrokenAnswer(o.host, broken)
	}
}

// receiveSample passes the sample of a response to Config.IncomingSample, which charges
// the budget for it, and removes the sample if it is not to be used.
func (o *remoteOwner) receiveSample(h *wire.Header) {
	if h.Sample == nil {
		return
	}
	h.Sample.Host = cmp.Or(h.Sample.Host, o.host)
	s, ok := o.peers.config.IncomingSample(o.host, *h.Sample)
	h.Sample = &s
	if !ok {
		h.Sample = nil
	}
}

// receivedReply returns the call's channel if it holds a reply, else a closed
// channel, so that receiving from the result never blocks.
func receivedReply(c *call) <-chan reply {
	if len(c.reply) > 0 {
		return c.reply
	}
	closed := make(chan reply)
	close(closed)
	return closed
}

// remoteReservation is a slot held at another host. It is bound to the link on
// which it was made, and so to the instance that holds the slot.
type remoteReservation struct {
	owner  *remoteOwner
	link   *link
	ticket uint64
	used   atomic.Bool
}

// Commit runs the request in the reserved slot. A reservation can be committed
// once.
func (r *remoteReservation) Commit(ctx context.Context) (*prim.Answer, error) {
	refused := &prim.RefusalError{Reason: prim.ReasonReservationExpired, Host: r.owner.host}
	if r.used.Swap(true) {
		return nil, refused
	}
	c, err := r.link.registerCall()
	if err != nil {
		return nil, refused
	}
	return guardCall(r.link, c, func() (*prim.Answer, error) {
		h := wire.Header{Type: wire.Commit, ID: c.id, Instance: r.link.instance, Ticket: r.ticket}
		if deadline, ok := ctx.Deadline(); ok {
			h.Remaining = time.Until(deadline)
		}
		if sent, err := r.link.writeFrame(ctx, &h, nil); err != nil {
			return nil, r.owner.failCall(r.link, c, sent, err)
		}
		return r.owner.awaitAnswer(ctx, r.link, c)
	})
}

// Release releases the slot. It does nothing after Commit.
func (r *remoteReservation) Release() {
	if !r.used.Swap(true) {
		r.link.sendBestEffort(wire.Header{Type: wire.Release, Ticket: r.ticket})
	}
}
