package gossip

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// budget is a token bucket in bytes whose balance may become negative. A transfer
// may start only while the balance is positive and is charged in full once its
// size is known. In any time T it therefore admits at most rate*T + burst bytes,
// plus the transfers in progress when the balance reached zero.
type budget struct{ limiter *rate.Limiter }

func newBudget(perSecond float64, burst int) budget {
	return budget{rate.NewLimiter(rate.Limit(perSecond), burst)}
}

func (b budget) ready(now time.Time) bool { return b.limiter.TokensAt(now) > 0 }

func (b budget) charge(now time.Time, n int) {
	// The limiter rejects a reservation larger than its burst.
	for n > 0 {
		chunk := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, chunk)
		n -= chunk
	}
}

// readyAt returns the earliest time at which the balance is positive.
func (b budget) readyAt(now time.Time) time.Time {
	tokens := b.limiter.TokensAt(now)
	if tokens > 0 {
		return now
	}
	// One token more than the debt, so that rounding cannot leave the balance at or
	// just below zero.
	return now.Add(time.Duration((1 - tokens) / float64(b.limiter.Limit()) * float64(time.Second)))
}

// budgets is a list of token buckets in order of preference; a transfer is charged
// to the first one with a positive balance. Each document has a dedicated bucket,
// so that a large host list cannot delay a change to a data centre, and falls back
// to a bucket shared by all documents, so that the one that changes most often can
// use most of the rate.
type budgets []budget

func (bs budgets) ready(now time.Time) bool {
	return slices.ContainsFunc(bs, func(b budget) bool { return b.ready(now) })
}

func (bs budgets) charge(now time.Time, n int) {
	i := slices.IndexFunc(bs, func(b budget) bool { return b.ready(now) })
	if i < 0 {
		i = len(bs) - 1
	}
	bs[i].charge(now, n)
}

func (bs budgets) readyAt(now time.Time) time.Time {
	earliest := bs[0].readyAt(now)
	for _, b := range bs[1:] {
		if t := b.readyAt(now); t.Before(earliest) {
			earliest = t
		}
	}
	return earliest
}
