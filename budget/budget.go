// Package budget implements the token bucket that limits retries and other
// additional attempts.
package budget

import (
	"math"
	"time"
)

// Budget is a token bucket that is refilled by first attempts. Each first attempt
// adds share tokens. In addition floor tokens are added per second, so that a
// service with little traffic can retry at all. The capacity is burst tokens plus
// share times the first attempts of about the last ten seconds, so that the
// tokens that an idle or healthy service accumulates stay in proportion to its
// recent traffic.
//
// In any period of T seconds with n first attempts, at most share*n + floor*T
// tokens plus the content at the start can be taken. A Budget is not safe for
// concurrent use.
type Budget struct {
	share, floor, burst float64

	tokens      float64
	recentFirst float64 // number of first attempts, decayed with trafficTimeConstant
	lastUpdate  time.Time
}

// trafficTimeConstant is the time constant of the exponential decay of the number
// of first attempts.
const trafficTimeConstant = 10 * time.Second

// New returns a Budget that holds burst tokens.
func New(share, floor, burst float64) *Budget {
	return &Budget{share: share, floor: floor, burst: burst, tokens: burst}
}

// advance updates the bucket to the given time.
func (b *Budget) advance(now time.Time) {
	if b.lastUpdate.IsZero() {
		b.lastUpdate = now
	}
	if elapsed := now.Sub(b.lastUpdate); elapsed > 0 {
		b.lastUpdate = now
		b.recentFirst *= math.Exp(-float64(elapsed) / float64(trafficTimeConstant))
		b.tokens += b.floor * elapsed.Seconds()
	}
	b.tokens = min(b.tokens, b.burst+b.share*b.recentFirst)
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.advance(now)
	b.recentFirst++
	b.tokens += b.share
}

// Take removes a token and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	// The tolerance covers rounding errors: ten additions of 0.2 must give two
	// tokens.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns an unused token to the bucket.
func (b *Budget) Refund() { b.tokens++ }

// UntilNextToken returns the time until the floor alone has added enough for a token.
func (b *Budget) UntilNextToken(now time.Time) time.Duration {
	b.advance(now)
	if b.tokens >= 1-1e-9 {
		return 0
	}
	if b.floor <= 0 {
		return trafficTimeConstant
	}
	return time.Duration((1-b.tokens)/b.floor*float64(time.Second)) + 1
}
