package owner_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/owner"
)

// admitter admits everything and tells when a slot is given back.
type admitter struct {
	prim.Admitter
	done chan prim.Attempt
}

func (a admitter) Admit(context.Context, *prim.Request) (prim.Slot, error) { return a, nil }

func (a admitter) Done(t prim.Attempt) { a.done <- t }

// Guards against a process that ends because a reservation expired while the
// process was paused right after its timer was set.
func TestReservationExpiresAtOnce(t *testing.T) {
	is := is.New(t)
	a := admitter{done: make(chan prim.Attempt)}
	o := owner.New(owner.Config{Host: "h", Admitter: a, ReserveTerm: time.Nanosecond})
	for range 2000 {
		_, err := o.Reserve(t.Context(), &prim.Request{})
		is.NoErr(err)
		is.Equal((<-a.done).Outcome, prim.NotRun)
	}
}

// refusing is an admitter that refuses everything.
type refusing struct {
	prim.Admitter
	after time.Duration
}

func (r refusing) Admit(context.Context, *prim.Request) (prim.Slot, error) {
	return nil, &prim.Refusal{Reason: prim.ReasonBusy, RetryAfter: r.after}
}

func (refusing) Sample() prim.Sample { return prim.Sample{} }

// Guards against a refusal that loses the time at which the admitter expects room,
// so that callers come back too early or too late.
func TestRefusalKeepsRetryAfter(t *testing.T) {
	is := is.New(t)
	o := owner.New(owner.Config{Host: "h", Admitter: refusing{after: 300 * time.Millisecond}})
	_, err := o.Dispatch(t.Context(), &prim.Request{})
	var refusal *prim.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.RetryAfter, 300*time.Millisecond)
}
