// Package owner implements the owner node's part of a request: it admits the
// request, runs it at the server of this host, and holds reservations.
package owner

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// DefaultReserveTerm is the default lifetime of a reservation. It is several round
// trips between data centres, and short enough that abandoned reservations cost
// little capacity.
const DefaultReserveTerm = 50 * time.Millisecond

// Config configures an Owner.
type Config struct {
	Host     prim.HostName
	Server   prim.Server
	Admitter prim.Admitter
	// ReserveTerm is the lifetime of a reservation. Default DefaultReserveTerm.
	ReserveTerm time.Duration
}

// Owner implements prim.Owner for this host.
type Owner struct{ config Config }

// New returns an Owner.
func New(config Config) *Owner {
	if config.ReserveTerm == 0 {
		config.ReserveTerm = DefaultReserveTerm
	}
	return &Owner{config: config}
}

// Sample returns the load of the server.
func (o *Owner) Sample() prim.LoadSample {
	s := o.config.Admitter.Sample()
	s.Host = o.config.Host
	return s
}

// Dispatch admits the request and runs it. The answer carries the load sample that
// was current when the server answered.
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

// Reserve admits the request and holds its slot until the reservation is
// committed, is released or expires.
func (o *Owner) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	slot, err := o.admit(ctx, r)
	if err != nil {
		return nil, err
	}
	res := &reservation{owner: o, request: r, slot: slot, expiresAt: time.Now().Add(o.config.ReserveTerm)}
	// The lock is needed because after a pause of the process the timer may fire
	// before it is stored.
	res.mu.Lock()
	res.timer = time.AfterFunc(o.config.ReserveTerm, res.Release)
	res.mu.Unlock()
	return res, nil
}

func (o *Owner) admit(ctx context.Context, r *prim.Request) (prim.Slot, error) {
	slot, err := o.config.Admitter.Admit(ctx, r)
	if err == nil {
		return slot, nil
	}
	var refusal *prim.RefusalError
	if !errors.As(err, &refusal) {
		return nil, o.refuse(prim.ReasonExpired)
	}
	return nil, &prim.RefusalError{Reason: refusal.Reason, Host: o.config.Host, Sample: o.Sample(), RetryAfter: refusal.RetryAfter}
}

func (o *Owner) refuse(reason prim.Reason) error {
	return &prim.RefusalError{Reason: reason, Host: o.config.Host, Sample: o.Sample()}
}

// run sends the request to the server. The deadline is checked here, after any
// wait and any pause of the process, so that a request does not start after its
// caller has been told that the deadline has passed.
func (o *Owner) run(ctx context.Context, r *prim.Request, slot prim.Slot) (*prim.Answer, error) {
	start := time.Now()
	if !start.Before(r.Deadline) || ctx.Err() != nil {
		slot.Done(prim.Attempt{Host: o.config.Host, Outcome: prim.NotRun})
		return nil, o.refuse(prim.ReasonExpired)
	}
	var answer *prim.Answer
	returned := false
	defer func() {
		if returned {
			return
		}
		// Something panicked. A slot that stayed in use would be lost for good.
		if answer != nil {
			answer.Drop()
		}
		slot.Done(prim.Attempt{Host: o.config.Host, Latency: time.Since(start), Outcome: prim.Unknown, Failed: true})
	}()
	answer, err := o.config.Server.Do(ctx, r)
	if err != nil {
		returned = true
		slot.Done(o.failedAttempt(err, time.Since(start)))
		var refusal *prim.RefusalError
		if errors.As(err, &refusal) {
			return nil, o.refuse(refusal.Reason)
		}
		return nil, err
	}
	a := prim.Attempt{Host: o.config.Host, Latency: time.Since(start), Outcome: prim.Done, Failed: answer.Status >= 500}
	if answer.Rest != nil {
		// The server works on this request until its answer has been read.
		answer.Rest = &slotReader{ReadCloser: answer.Rest, slot: slot, attempt: a}
	} else {
		slot.Done(a)
	}
	answer.Sample = o.Sample()
	returned = true
	return answer, nil
}

// failedAttempt describes an attempt without an answer. A cancelled attempt does
// not count as failed, because it is no evidence about the server.
func (o *Owner) failedAttempt(err error, took time.Duration) prim.Attempt {
	a := prim.Attempt{Host: o.config.Host, Latency: took, Outcome: prim.OutcomeOf(err)}
	var refusal *prim.RefusalError
	var lost *prim.LostAnswerError
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

// slotReader releases the slot when the rest of a long answer has been read or
// is closed.
type slotReader struct {
	io.ReadCloser
	slot    prim.Slot
	attempt prim.Attempt
}

// Read releases the slot at the end of the answer or on an error.
func (s *slotReader) Read(b []byte) (int, error) {
	n, err := s.ReadCloser.Read(b)
	if err != nil {
		s.attempt.Failed = s.attempt.Failed || err != io.EOF
		s.slot.Done(s.attempt)
	}
	return n, err
}

// Close releases the slot.
func (s *slotReader) Close() error {
	err := s.ReadCloser.Close()
	s.slot.Done(s.attempt)
	return err
}

// reservation implements prim.Reservation: a slot held for a request.
type reservation struct {
	owner     *Owner
	request   *prim.Request
	slot      prim.Slot
	expiresAt time.Time
	timer     *time.Timer
	mu        sync.Mutex
	consumed  bool
}

// consume marks the reservation as committed or released. It reports whether this
// is the first call.
func (r *reservation) consume() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.consumed
	r.consumed = true
	return first
}

// Commit runs the request unless the reservation has expired. The timer alone is
// not sufficient, because it may fire late after a pause of the process.
func (r *reservation) Commit(ctx context.Context) (*prim.Answer, error) {
	if !r.consume() {
		return nil, r.owner.refuse(prim.ReasonReservationExpired)
	}
	r.timer.Stop()
	if time.Now().After(r.expiresAt) {
		r.slot.Done(prim.Attempt{Host: r.owner.config.Host, Outcome: prim.NotRun})
		return nil, r.owner.refuse(prim.ReasonReservationExpired)
	}
	return r.owner.run(ctx, r.request, r.slot)
}

// Release releases the slot.
func (r *reservation) Release() {
	if r.consume() {
		r.timer.Stop()
		r.slot.Done(prim.Attempt{Host: r.owner.config.Host, Outcome: prim.NotRun})
	}
}
