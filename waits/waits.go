// Package waits provides jittered delays and a sleep that a context can interrupt.
package waits

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration between d/2 and d, so that delays that begin at
// the same time do not end at the same time.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// Sleep pauses for d. If the context ends first, Sleep returns its error.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
