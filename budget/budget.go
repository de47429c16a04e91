// Package budget holds the token bucket that pays for repeated attempts.
package budget

import (
	"math"
	"time"
)

// Budget is a token bucket that first attempts fill. Each first attempt adds
// share tokens, and the floor adds some every second, so that a service with
// little traffic can retry at all. The bucket holds at most burst tokens plus
// the share of the first attempts of about the last ten seconds: what an idle
// or a long healthy service saves up stays in proportion to its recent traffic.
//
// Over any time T with n first attempts at most share*n + floor*T + the
// content at the start are taken. A Budget has no lock.
type Budget struct {
	share, floor, burst float64

	tokens float64
	recent float64 // first attempts, decayed with memory
	last   time.Time
}

// memory is the time constant with which first attempts are forgotten.
const memory = 10 * time.Second

// New returns a full bucket.
func New(share, floor, burst float64) *Budget {
	return &Budget{share: share, floor: floor, burst: burst, tokens: burst}
}

func (b *Budget) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	if dt := now.Sub(b.last); dt > 0 {
		b.last = now
		b.recent *= math.Exp(-float64(dt) / float64(memory))
		b.tokens += b.floor * dt.Seconds()
	}
	b.tokens = min(b.tokens, b.burst+b.share*b.recent)
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.advance(now)
	b.recent++
	b.tokens += b.share
}

// Take removes a token if there is one.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	// The tolerance covers rounding: ten deposits of 0.2 shall pay for two.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// GiveBack returns a token that was taken and not used.
func (b *Budget) GiveBack() { b.tokens++ }

// Ready returns the time until the floor alone has filled up a token.
func (b *Budget) Ready(now time.Time) time.Duration {
	b.advance(now)
	if b.tokens >= 1-1e-9 {
		return 0
	}
	if b.floor <= 0 {
		return memory
	}
	return time.Duration((1-b.tokens)/b.floor*float64(time.Second)) + 1
}
