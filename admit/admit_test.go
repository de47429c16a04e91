package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against a waiter that is never woken, a slot leaked by a cancelled
// waiter, a refusal with the wrong reason and a tick goroutine that outlives its
// context.
func TestAdmitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		a := New(Config{Host: "h", PublishedSlots: 9})
		end := a.Run(ctx)
		r := request("a", time.Now().Add(time.Second))
		first, err := a.Admit(ctx, r)
		is.NoErr(err)
		got := make(chan prim.Slot)
		go func() {
			s, err := a.Admit(ctx, r)
			is.NoErr(err)
			got <- s
		}()
		synctest.Wait()
		is.Equal(a.Sample().Queued, 1)
		_, err = a.Admit(ctx, r)
		is.Equal(err.(*prim.RefusalError).Reason, prim.ReasonBusy)
		first.Done(good)
		first.Done(good)
		second := <-got

		short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
		defer stop()
		for a.Sample().InFlight < a.Sample().Limit {
			_, err = a.Admit(ctx, r)
			is.NoErr(err)
		}
		_, err = a.Admit(short, r)
		is.Equal(err.(*prim.RefusalError).Reason, prim.ReasonExpired)
		is.Equal(a.Sample().Queued, 0)

		a.SetLeaving(true)
		second.Done(good)
		_, err = a.Admit(ctx, r)
		is.Equal(err.(*prim.RefusalError).Reason, prim.ReasonLeaving)
		cancel()
		is.Equal(<-end, context.Canceled)
	})
}
