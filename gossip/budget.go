package gossip

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// budget is a token bucket in bytes that may go into debt. A transfer starts
// only while the bucket is not empty and is charged in full once its size is
// known. In any time T it therefore passes at most rate*T + burst bytes and the
// transfers under way when it ran empty.
type budget struct{ limiter *rate.Limiter }

func newBudget(perSecond float64, burst int) budget {
	return budget{rate.NewLimiter(rate.Limit(perSecond), burst)}
}

func (b budget) ready(now time.Time) bool { return b.limiter.TokensAt(now) > 0 }

func (b budget) charge(now time.Time, n int) {
	// The limiter refuses a reservation larger than its burst.
	for n > 0 {
		k := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, k)
		n -= k
	}
}

// readyAt returns when the bucket is next not empty.
func (b budget) readyAt(now time.Time) time.Time {
	t := b.limiter.TokensAt(now)
	if t > 0 {
		return now
	}
	// One token more than the debt, so that rounding does not end just below zero.
	return now.Add(time.Duration((1 - t) / float64(b.limiter.Limit()) * float64(time.Second)))
}

// budgets are buckets of which a transfer uses the first that is not empty: one
// for a document alone, so that a large host list cannot delay a data centre's
// switch, and one that all documents share, so that the one that changes most
// may use most.
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
	at := bs[0].readyAt(now)
	for _, b := range bs[1:] {
		if t := b.readyAt(now); t.Before(at) {
			at = t
		}
	}
	return at
}
