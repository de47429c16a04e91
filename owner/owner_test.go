package owner_test

import (
	"context"
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
