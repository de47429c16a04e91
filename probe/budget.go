package probe

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	prim "github.com/primrosethread/primrosethread"
)

// The budget is two token buckets, one in bytes and one in processor time.
// Whatever a node sends for load measurement is taken from both buckets before
// it is sent, and is not sent if either is short. What a node receives cannot be
// refused, so it is charged afterwards and may leave a debt, which the node
// pays by sending less.
//
// In any interval T a node thus sends at most Bytes*T + burst. Every byte
// received was taken from the bucket of its sender, so the fleet's nodes together
// send and receive at most twice that, and because of the debts less.

// burstTime is the part of a second's budget that may be spent at once.
const burstTime = 250 * time.Millisecond

// maxDebt bounds the debt in both buckets, in time of refill, so that a node
// measures again soon after it was flooded.
const maxDebt = time.Second

type cost struct {
	bytes int
	time  time.Duration // of a processor
}

type budget struct {
	mu    sync.Mutex
	bytes *rate.Limiter
	time  *rate.Limiter // tokens are nanoseconds
}

func newBudget(bytes, share float64) *budget {
	nanos := share * float64(time.Second)
	return &budget{
		bytes: rate.NewLimiter(rate.Limit(bytes), int(bytes*burstTime.Seconds())),
		time:  rate.NewLimiter(rate.Limit(nanos), int(nanos*burstTime.Seconds())),
	}
}

// spend takes c if both buckets hold it and the part keep of their burst.
func (b *budget) spend(now time.Time, c cost, keep float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !holds(b.bytes, now, c.bytes, keep) || !holds(b.time, now, int(c.time), keep) {
		return false
	}
	b.bytes.AllowN(now, c.bytes)
	b.time.AllowN(now, int(c.time))
	return true
}

func holds(l *rate.Limiter, now time.Time, n int, keep float64) bool {
	return l.TokensAt(now) >= float64(n)+keep*float64(l.Burst())
}

// charge takes c, which was spent already. It returns false if the debt is at
// its bound.
func (b *budget) charge(now time.Time, c cost) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	owe(b.bytes, now, c.bytes)
	owe(b.time, now, int(c.time))
	return !indebted(b.bytes, now) && !indebted(b.time, now)
}

func indebted(l *rate.Limiter, now time.Time) bool {
	return l.TokensAt(now) <= -float64(l.Limit())*maxDebt.Seconds()
}

// owe takes n tokens in parts, since a reservation is at most the burst.
func owe(l *rate.Limiter, now time.Time, n int) {
	for n > 0 && !indebted(l, now) {
		part := min(n, l.Burst())
		l.ReserveN(now, part)
		n -= part
	}
}

// size returns the length of a sample in CBOR.
func size(s prim.Sample) int {
	n := 1 // map
	if s.Host != "" {
		n += 1 + head(uint64(len(s.Host))) + len(s.Host)
	}
	for _, v := range [...]int64{int64(s.InFlight), int64(s.Queued), int64(s.Limit), int64(s.Latency)} {
		switch {
		case v > 0:
			n += 1 + head(uint64(v))
		case v < 0:
			n += 1 + head(uint64(-v-1))
		}
	}
	if s.Failing != 0 {
		n += 1 + 9
	}
	if s.Leaving {
		n += 1 + 1
	}
	return n
}

// head returns the length of a CBOR item head.
func head(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}
