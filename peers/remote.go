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

// remote is the owner at another host.
type remote struct {
	p    *Peers
	host prim.HostName
}

// Sample returns the zero sample: the load of another host is known only from
// its answers.
func (o *remote) Sample() prim.Sample { return prim.Sample{Host: o.host} }

// Dispatch sends the request in one step. After the frame was written any end
// without an answer is *prim.Lost.
func (o *remote) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	l, c, err := o.open(ctx)
	if err != nil {
		return nil, err
	}
	h := wire.RequestHeader(wire.Dispatch, r, time.Now())
	h.ID = c.id
	h.Instance = l.instance
	if sent, err := l.write(ctx, &h, r.Body); err != nil {
		l.close(c)
		return nil, o.writeError(sent, err)
	}
	return o.wait(ctx, l, c)
}

// Reserve asks for a slot. Nothing runs before Commit, so every failure is a
// *prim.Refusal.
func (o *remote) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	l, c, err := o.open(ctx)
	if err != nil {
		return nil, err
	}
	h := wire.RequestHeader(wire.Reserve, r, time.Now())
	h.ID = c.id
	h.Instance = l.instance
	if _, err := l.write(ctx, &h, r.Body); err != nil {
		l.close(c)
		return nil, &prim.Refusal{Reason: prim.ReasonUnreachable, Host: o.host}
	}
	select {
	case a, ok := <-c.answer:
		if !ok {
			return nil, &prim.Refusal{Reason: prim.ReasonUnreachable, Host: o.host}
		}
		if a.head.Type == wire.Reserved {
			return &reservation{o: o, l: l, ticket: a.head.Ticket}, nil
		}
		o.receive(&a.head)
		_, err := a.head.Result(o.host, a.body)
		if prim.OutcomeOf(err) != prim.NotRun {
			err = &prim.Refusal{Reason: prim.ReasonUnreachable, Host: o.host}
		}
		return nil, err
	case <-ctx.Done():
		l.close(c)
		l.tell(wire.Header{Type: wire.Cancel, ID: c.id})
		return nil, &prim.Refusal{Reason: prim.ReasonExpired, Host: o.host}
	}
}

// open finds a link and registers a call. Nothing was sent when it fails.
func (o *remote) open(ctx context.Context) (*link, *call, error) {
	l, err := o.p.group(o.host).link(ctx)
	if err == nil {
		var c *call
		if c, err = l.open(); err == nil {
			return l, c, nil
		}
	}
	reason := prim.ReasonUnreachable
	if errors.Is(err, errTooMany) {
		reason = prim.ReasonBusy
	}
	if ctx.Err() != nil {
		reason = prim.ReasonExpired
	}
	return nil, nil, &prim.Refusal{Reason: reason, Host: o.host}
}

// writeError maps a failed write: if nothing was written nothing can run.
func (o *remote) writeError(sent bool, err error) error {
	if !sent {
		return &prim.Refusal{Reason: prim.ReasonUnreachable, Host: o.host}
	}
	return &prim.Lost{Host: o.host, Cause: err}
}

// wait returns the end of a call whose request was written.
func (o *remote) wait(ctx context.Context, l *link, c *call) (*prim.Answer, error) {
	select {
	case a, ok := <-c.answer:
		if !ok {
			return nil, &prim.Lost{Host: o.host, Cause: errClosed}
		}
		o.p.c.Seen(o.host, l.instance)
		o.receive(&a.head)
		answer, err := a.head.Result(o.host, a.body)
		if err == nil && a.rest != nil {
			answer.Rest = a.rest
		}
		return answer, err
	case <-ctx.Done():
		l.close(c)
		if a, ok := <-drained(c); ok && a.rest != nil {
			a.rest.Close()
		}
		l.tell(wire.Header{Type: wire.Cancel, ID: c.id})
		return nil, &prim.Lost{Host: o.host, Cause: ctx.Err()}
	}
}

// receive charges for the sample of an answer and drops it if it is not to be
// used.
func (o *remote) receive(h *wire.Header) {
	if h.Sample == nil {
		return
	}
	h.Sample.Host = cmp.Or(h.Sample.Host, o.host)
	s, ok := o.p.c.Received(o.host, *h.Sample)
	h.Sample = &s
	if !ok {
		h.Sample = nil
	}
}

// drained returns the call's channel if a reply is waiting, else a closed one.
func drained(c *call) <-chan reply {
	if len(c.answer) > 0 {
		return c.answer
	}
	closed := make(chan reply)
	close(closed)
	return closed
}

// reservation is a slot held at another host. It is bound to the link on which
// it was made, and so to the instance that holds it.
type reservation struct {
	o      *remote
	l      *link
	ticket uint64
	used   atomic.Bool
}

// Commit runs the reserved request.
func (v *reservation) Commit(ctx context.Context) (*prim.Answer, error) {
	refused := &prim.Refusal{Reason: prim.ReasonReservation, Host: v.o.host}
	if v.used.Swap(true) {
		return nil, refused
	}
	c, err := v.l.open()
	if err != nil {
		return nil, refused
	}
	h := wire.Header{Type: wire.Commit, ID: c.id, Instance: v.l.instance, Ticket: v.ticket}
	if deadline, ok := ctx.Deadline(); ok {
		h.Remaining = time.Until(deadline)
	}
	if sent, err := v.l.write(ctx, &h, nil); err != nil {
		v.l.close(c)
		return nil, v.o.writeError(sent, err)
	}
	return v.o.wait(ctx, v.l, c)
}

// Release gives the slot back.
func (v *reservation) Release() {
	if !v.used.Swap(true) {
		v.l.tell(wire.Header{Type: wire.Release, Ticket: v.ticket})
	}
}
