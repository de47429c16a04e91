package waits_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosethread/primrosethread/waits"
)

// Guards against a wait of zero, which would retry in a loop, and against one
// longer than asked for.
func TestJitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "d"))
		if j := waits.Jitter(d); j < d/2 || j > d {
			t.Fatalf("jitter of %s is %s", d, j)
		}
	})
}

// Guards against a wait that outlives its caller.
func TestSleepEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(waits.Sleep(ctx, time.Hour), context.Canceled)
	is.NoErr(waits.Sleep(context.Background(), time.Nanosecond))
}
