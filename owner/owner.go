// Package owner is the owner side of a request: it admits the request, hands
// it to the server of this host, and keeps reservations.
package owner

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// DefaultReserveTerm is how long a reservation is held. It covers a round trip
// between data centres several times over, and is short enough that abandoned
// reservations cost little capacity.
const DefaultReserveTerm = 50 * time.Millisecond

// Config configures an Owner.
type Config struct {
	Host     prim.HostName
	Server   prim.Server
	Admitter prim.Admitter
	// ReserveTerm is how long a reservation is held; 0 means
	// DefaultReserveTerm.
	ReserveTerm time.Duration
}

// Owner implements prim.Owner for this host.
type Owner struct{ c Config }

// New returns an owner.
func New(c Config) *Owner {
	if c.ReserveTerm == 0 {
		c.ReserveTerm = DefaultReserveTerm
	}
	return &Owner{c: c}
}

// Sample returns the load of the server.
func (o *Owner) Sample() prim.Sample {
	s := o.c.Admitter.Sample()
	s.Host = o.c.Host
	return s
}

// Dispatch admits the request and runs it. The returned answer carries the
// sample that was current when it ended.
func (o *Owner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if r.Lookup {
		return nil, o.refuse(prim.ReasonNoRecord)
	}
	slot, err := o.admit(ctx, r)
	if err != nil {
		return nil, err
	}
	return o.run(ctx, r, slot)
}

// Reserve admits the request and holds its slot until it is committed,
// released or expired.
func (o *Owner) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	slot, err := o.admit(ctx, r)
	if err != nil {
		return nil, err
	}
	v := &reservation{o: o, r: r, slot: slot, until: time.Now().Add(o.c.ReserveTerm)}
	// After a pause of the process the timer may fire before it is stored.
	v.mu.Lock()
	v.timer = time.AfterFunc(o.c.ReserveTerm, v.Release)
	v.mu.Unlock()
	return v, nil
}

func (o *Owner) admit(ctx context.Context, r *prim.Request) (prim.Slot, error) {
	slot, err := o.c.Admitter.Admit(ctx, r)
	if err == nil {
		return slot, nil
	}
	var refusal *prim.Refusal
	if !errors.As(err, &refusal) {
		return nil, o.refuse(prim.ReasonExpired)
	}
	return nil, &prim.Refusal{Reason: refusal.Reason, Host: o.c.Host, Sample: o.Sample(), RetryAfter: refusal.RetryAfter}
}

func (o *Owner) refuse(reason prim.Reason) error {
	return &prim.Refusal{Reason: reason, Host: o.c.Host, Sample: o.Sample()}
}

// run hands the request over. The deadline is checked here, after any wait and
// any pause of the process, so that a request whose caller has been told that
// its time is up does not start.
func (o *Owner) run(ctx context.Context, r *prim.Request, slot prim.Slot) (*prim.Answer, error) {
	start := time.Now()
	if !start.Before(r.Deadline) || ctx.Err() != nil {
		slot.Done(prim.Attempt{Host: o.c.Host, Outcome: prim.NotRun})
		return nil, o.refuse(prim.ReasonExpired)
	}
	answer, err := o.c.Server.Do(ctx, r)
	if err != nil {
		slot.Done(o.failed(err, time.Since(start)))
		var refusal *prim.Refusal
		if errors.As(err, &refusal) {
			return nil, o.refuse(refusal.Reason)
		}
		return nil, err
	}
	a := prim.Attempt{Host: o.c.Host, Latency: time.Since(start), Outcome: prim.Done, Failed: answer.Status >= 500}
	if answer.Rest != nil {
		// The server is busy with this request until its answer is read.
		answer.Rest = &held{ReadCloser: answer.Rest, slot: slot, attempt: a}
	} else {
		slot.Done(a)
	}
	answer.Sample = o.Sample()
	return answer, nil
}

// failed describes an attempt without an answer. A cancelled one says nothing
// about the server.
func (o *Owner) failed(err error, took time.Duration) prim.Attempt {
	a := prim.Attempt{Host: o.c.Host, Latency: took, Outcome: prim.OutcomeOf(err)}
	var refusal *prim.Refusal
	var lost *prim.Lost
	switch {
	case errors.As(err, &refusal):
		a.Failed = refusal.Reason == prim.ReasonShed || refusal.Reason == prim.ReasonUnreachable
		a.Reset = refusal.Reason == prim.ReasonUnreachable
	case errors.As(err, &lost):
		a.Failed = !errors.Is(lost.Cause, context.Canceled)
		a.Reset = lost.Reset
	}
	return a
}

// held gives the slot back when the rest of a long answer was read or closed.
type held struct {
	io.ReadCloser
	slot    prim.Slot
	attempt prim.Attempt
}

// Read gives the slot back at the end of the answer.
func (h *held) Read(b []byte) (int, error) {
	n, err := h.ReadCloser.Read(b)
	if err != nil {
		h.attempt.Failed = h.attempt.Failed || err != io.EOF
		h.slot.Done(h.attempt)
	}
	return n, err
}

// Close gives the slot back.
func (h *held) Close() error {
	err := h.ReadCloser.Close()
	h.slot.Done(h.attempt)
	return err
}

// reservation is a slot held for a request.
type reservation struct {
	o     *Owner
	r     *prim.Request
	slot  prim.Slot
	until time.Time
	timer *time.Timer
	mu    sync.Mutex
	used  bool
}

// take reports whether the caller is the first to use the reservation.
func (v *reservation) take() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := !v.used
	v.used = true
	return first
}

// Commit runs the request unless the reservation has expired. The timer alone
// would not do: after a pause of the process it may fire late.
func (v *reservation) Commit(ctx context.Context) (*prim.Answer, error) {
	if !v.take() {
		return nil, v.o.refuse(prim.ReasonReservation)
	}
	v.timer.Stop()
	if time.Now().After(v.until) {
		v.slot.Done(prim.Attempt{Host: v.o.c.Host, Outcome: prim.NotRun})
		return nil, v.o.refuse(prim.ReasonReservation)
	}
	return v.o.run(ctx, v.r, v.slot)
}

// Release gives the slot back.
func (v *reservation) Release() {
	if v.take() {
		v.timer.Stop()
		v.slot.Done(prim.Attempt{Host: v.o.c.Host, Outcome: prim.NotRun})
	}
}
