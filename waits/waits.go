// Package waits holds the waits that several packages need.
package waits

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random time between half of d and d, so that waits that began
// together do not end together.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// Sleep waits for d. It returns the error of the context if that ends first.
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
