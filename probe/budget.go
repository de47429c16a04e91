package probe

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	prim "github.com/primrosethread/primrosethread"
)

// The budget is a token bucket in bytes and one in processor time, each with a
// smaller one inside, of half its rate, for what the node sends.
//
// Whatever a node sends for load measurement is taken from all four before it is
// sent, and is not sent if one of them is short. What a node receives cannot be
// refused, so it is charged afterwards and may leave a debt, which the node pays
// by sending less.
//
// In any interval T a node thus sends at most Bytes/2*T + burst. The fleet's
// nodes together receive what they send, so a node sends and receives at most
// Bytes on average, and as long as it receives no more than twice the mean, the
// debts keep its own sum at Bytes too.

// burstTime is the part of a second's budget that may be spent at once.
const burstTime = 250 * time.Millisecond

// maxDebt bounds the debt in both buckets, in time of refill, so that a node
// measures again soon after it was flooded.
const maxDebt = time.Second

type cost struct {
	bytes int
	time  time.Duration // of a processor
}

// bucket is one dimension of the budget.
type bucket struct{ all, send *rate.Limiter }

func newBucket(perSecond float64) bucket {
	make := func(r float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(r), int(r*burstTime.Seconds()))
	}
	return bucket{all: make(perSecond), send: make(perSecond / 2)}
}

// holds reports whether n may be sent and leaves the part keep of the burst.
func (b bucket) holds(now time.Time, n int, keep float64) bool {
	for _, l := range [...]*rate.Limiter{b.all, b.send} {
		if l.TokensAt(now) < float64(n)+keep*float64(l.Burst()) {
			return false
		}
	}
	return true
}

func (b bucket) take(now time.Time, n int) {
	b.all.AllowN(now, n)
	b.send.AllowN(now, n)
}

// owe takes n in parts, since a reservation is at most the burst. It returns
// false if the debt is at its bound.
func (b bucket) owe(now time.Time, n int) bool {
	least := -float64(b.all.Limit()) * maxDebt.Seconds()
	for n > 0 && b.all.TokensAt(now) > least {
		part := min(n, b.all.Burst())
		b.all.ReserveN(now, part)
		n -= part
	}
	return b.all.TokensAt(now) > least
}

type budget struct {
	mu    sync.Mutex
	bytes bucket
	time  bucket // in nanoseconds
	// What was charged since the start.
	allBytes int64
	allTime  time.Duration
}

func newBudget(bytes, share float64) *budget {
	return &budget{bytes: newBucket(bytes), time: newBucket(share * float64(time.Second))}
}

// spend takes c for something to be sent, if all buckets hold it and leave the
// part keep of their burst.
func (b *budget) spend(now time.Time, c cost, keep float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bytes.holds(now, c.bytes, keep) || !b.time.holds(now, int(c.time), keep) {
		return false
	}
	b.count(c)
	b.bytes.take(now, c.bytes)
	b.time.take(now, int(c.time))
	return true
}

// charge takes c for something received. It returns false if a debt is at its
// bound.
func (b *budget) charge(now time.Time, c cost) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(c)
	bytes, busy := b.bytes.owe(now, c.bytes), b.time.owe(now, int(c.time))
	return bytes && busy
}

func (b *budget) count(c cost) {
	b.allBytes += int64(c.bytes)
	b.allTime += c.time
}

func (b *budget) total() (int64, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allBytes, b.allTime
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
