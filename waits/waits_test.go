package waits_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosethread/primrosethread/waits"
)

// Guards against a delay below d/2, which could make retries a busy loop, and against
// one longer than d.
func TestJitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "d"))
		if j := waits.Jitter(d); j < d/2 || j > d {
			t.Fatalf("jitter of %s is %s", d, j)
		}
	})
}

// Guards against a sleep that continues after its context has ended.
func TestSleepEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(waits.Sleep(ctx, time.Hour), context.Canceled)
	is.NoErr(waits.Sleep(context.Background(), time.Nanosecond))
}
