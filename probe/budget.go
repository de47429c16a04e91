package probe

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	prim "github.com/primrosethread/primrosethread"
)

// The budget limits the bytes and the CPU time that a node spends on load
// measurement. Each of the two has a token bucket for all traffic and one of half
// that rate for what the node sends.
//
// A message or sample to be sent takes tokens from all four buckets first and is
// not sent if one of them has too few. Received traffic cannot be refused, so it is
// charged afterwards, to the buckets for all traffic only. These may go into debt;
// the node then sends less until the debt is refilled.
//
// In any interval T a node thus sends at most BytesPerSecond/2*T + burst. The
// nodes of the fleet together receive what they send, so that on average a node
// sends and receives at most BytesPerSecond. As long as a node receives no more
// than twice the mean, its debt keeps its own sum within BytesPerSecond too.

// burstDuration is the burst of each bucket, as time at the bucket's rate.
const burstDuration = 250 * time.Millisecond

// maxDebt bounds the debt of a bucket, as refill time, so that a node resumes
// measuring soon after a flood of messages.
const maxDebt = time.Second

// cost is what one message or sample costs.
type cost struct {
	bytes   int
	cpuTime time.Duration
}

// bucket limits one resource: total is charged for everything, sending only for
// what the node sends.
type bucket struct{ total, sending *rate.Limiter }

func newBucket(perSecond float64) bucket {
	make := func(limit float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(limit), int(limit*burstDuration.Seconds()))
	}
	return bucket{total: make(perSecond), sending: make(perSecond / 2)}
}

// available reports whether both limiters hold n tokens and, in addition, the
// fraction reserve of their burst.
func (b bucket) available(now time.Time, n int, reserve float64) bool {
	for _, l := range [...]*rate.Limiter{b.total, b.sending} {
		if l.TokensAt(now) < float64(n)+reserve*float64(l.Burst()) {
			return false
		}
	}
	return true
}

// take takes n tokens for something to be sent.
func (b bucket) take(now time.Time, n int) {
	b.total.AllowN(now, n)
	b.sending.AllowN(now, n)
}

// takeWithDebt takes n tokens for something received and may go into debt up to
// maxDebt. It takes them in parts, since a reservation is at most the burst. It
// returns false if the debt is at its bound.
func (b bucket) takeWithDebt(now time.Time, n int) bool {
	minTokens := -float64(b.total.Limit()) * maxDebt.Seconds()
	for n > 0 && b.total.TokensAt(now) > minTokens {
		part := min(n, b.total.Burst())
		b.total.ReserveN(now, part)
		n -= part
	}
	return b.total.TokensAt(now) > minTokens
}

// budget limits and counts the cost of load measurement.
type budget struct {
	mu      sync.Mutex
	bytes   bucket
	cpuTime bucket // in nanoseconds
	// Totals since the start.
	chargedBytes int64
	chargedTime  time.Duration
}

func newBudget(bytesPerSecond, coreShare float64) *budget {
	return &budget{bytes: newBucket(bytesPerSecond), cpuTime: newBucket(coreShare * float64(time.Second))}
}

// trySpend charges c for something to be sent if all buckets hold it and, in
// addition, the fraction reserve of their burst. It reports whether they do.
func (b *budget) trySpend(now time.Time, c cost, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bytes.available(now, c.bytes, reserve) || !b.cpuTime.available(now, int(c.cpuTime), reserve) {
		return false
	}
	b.addCharge(c)
	b.bytes.take(now, c.bytes)
	b.cpuTime.take(now, int(c.cpuTime))
	return true
}

// charge charges c for something received. It returns false if the debt of a bucket
// is at its bound.
func (b *budget) charge(now time.Time, c cost) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addCharge(c)
	bytesOK, timeOK := b.bytes.takeWithDebt(now, c.bytes), b.cpuTime.takeWithDebt(now, int(c.cpuTime))
	return bytesOK && timeOK
}

func (b *budget) addCharge(c cost) {
	b.chargedBytes += int64(c.bytes)
	b.chargedTime += c.cpuTime
}

func (b *budget) charged() (int64, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chargedBytes, b.chargedTime
}

// encodedSize returns the length of a sample in CBOR.
func encodedSize(s prim.LoadSample) int {
	n := 1 // map
	if s.Host != "" {
		n += 1 + headSize(uint64(len(s.Host))) + len(s.Host)
	}
	for _, v := range [...]int64{int64(s.InFlight), int64(s.Queued), int64(s.Limit), int64(s.Latency)} {
		switch {
		case v > 0:
			n += 1 + headSize(uint64(v))
		case v < 0:
			n += 1 + headSize(uint64(-v-1))
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

// headSize returns the length of the head of a CBOR item with the argument v.
func headSize(v uint64) int {
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
