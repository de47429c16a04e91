package owner_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/guard"
	"github.com/primrosethread/primrosethread/owner"
)

// acceptingAdmitter admits every request and reports when a slot is released.
type acceptingAdmitter struct {
	prim.Admitter
	released chan prim.Attempt
}

func (a acceptingAdmitter) Admit(context.Context, *prim.Request) (prim.Slot, error) { return a, nil }

func (a acceptingAdmitter) Done(attempt prim.Attempt) { a.released <- attempt }

// Guards against a crash when a reservation expires during a pause of the process
// right after its timer was started, before the timer is stored.
func TestReservationExpiresAtOnce(t *testing.T) {
	is := is.New(t)
	a := acceptingAdmitter{released: make(chan prim.Attempt)}
	o := owner.New(owner.Config{Host: "h", Admitter: a, ReserveTerm: time.Nanosecond})
	for range 2000 {
		_, err := o.Reserve(t.Context(), &prim.Request{})
		is.NoErr(err)
		is.Equal((<-a.released).Outcome, prim.NotRun)
	}
}

// refusingAdmitter refuses every request.
type refusingAdmitter struct {
	prim.Admitter
	retryAfter time.Duration
}

func (r refusingAdmitter) Admit(context.Context, *prim.Request) (prim.Slot, error) {
	return nil, &prim.RefusalError{Reason: prim.ReasonBusy, RetryAfter: r.retryAfter}
}

func (refusingAdmitter) Sample() prim.LoadSample { return prim.LoadSample{} }

// Guards against a refusal that loses the time after which the admitter expects a
// free slot, so that callers retry too early or too late.
func TestRefusalKeepsRetryAfter(t *testing.T) {
	is := is.New(t)
	o := owner.New(owner.Config{Host: "h", Admitter: refusingAdmitter{retryAfter: 300 * time.Millisecond}})
	_, err := o.Dispatch(t.Context(), &prim.Request{})
	var refusal *prim.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.RetryAfter, 300*time.Millisecond)
}

// panickingServer panics in every request.
type panickingServer struct{}

func (panickingServer) Do(context.Context, *prim.Request) (*prim.Answer, error) { panic("test") }

// Guards against a slot that stays in use for good after an unexpected error at the
// server's client.
func TestPanicReleasesSlot(t *testing.T) {
	is := is.New(t)
	a := acceptingAdmitter{released: make(chan prim.Attempt, 1)}
	o := owner.New(owner.Config{Host: "h", Admitter: a, Server: panickingServer{}})
	err := guard.New(slog.New(slog.DiscardHandler)).Run(func() error {
		_, err := o.Dispatch(t.Context(), &prim.Request{Deadline: time.Now().Add(time.Minute)})
		return err
	})
	is.True(err != nil)
	select {
	case attempt := <-a.released:
		is.Equal(attempt.Outcome, prim.Unknown)
	default:
		t.Error("the slot is still in use")
	}
}

// openAnswer is a prim.Server whose answers are still being received.
type openAnswer struct {
	prim.Server
	closed int
}

func (s *openAnswer) Do(context.Context, *prim.Request) (*prim.Answer, error) {
	return &prim.Answer{Status: 200, Rest: s}, nil
}
func (s *openAnswer) Read([]byte) (int, error) { return 0, nil }
func (s *openAnswer) Close() error {
	s.closed++
	return nil
}

// panickingSample is an acceptingAdmitter whose Sample panics.
type panickingSample struct{ acceptingAdmitter }

func (panickingSample) Sample() prim.LoadSample { panic("test") }

// Guards against a connection to the server that stays open, and a slot that stays in use, after an
// unexpected error between an answer and its return.
func TestPanicDropsAnswer(t *testing.T) {
	is := is.New(t)
	a := panickingSample{acceptingAdmitter{released: make(chan prim.Attempt, 2)}}
	s := &openAnswer{}
	o := owner.New(owner.Config{Host: "h", Admitter: a, Server: s})
	err := guard.New(slog.New(slog.DiscardHandler)).Run(func() error {
		_, err := o.Dispatch(t.Context(), &prim.Request{Deadline: time.Now().Add(time.Minute)})
		return err
	})
	is.True(err != nil)
	is.Equal(s.closed, 1)
	is.True(len(a.released) > 0)
}
