package relay

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// host is this node's view of one server and the link to it.
type host struct {
	name    prim.HostName
	pending atomic.Int64 // unanswered dispatches of this node

	mu               sync.Mutex
	sample           prim.LoadSample
	sampledAt        time.Time // when sample was received; zero if there is none
	failureRate      float64   // moving average of failures; decays with decayTime
	failureRateAt    time.Time
	logSlowness      float64 // log of service time over the mean of all servers; decays with decayTime
	logSlownessAt    time.Time
	unreachableUntil time.Time     // the host is not used before
	backoff          time.Duration // grows with repeated failures to reach the host
}

const (
	// slowdownTTL is how long a reported slowdown remains valid. It changes several
	// times per second.
	slowdownTTL = 300 * time.Millisecond
	// farSlowdownTTL applies to hosts in other data centres, which do not push the end
	// of a slowdown.
	farSlowdownTTL = 120 * time.Millisecond
	// sampleTTL is how long the other fields of a sample remain valid.
	sampleTTL = time.Second
	// decayTime is the time constant of the exponential decay of failureRate and
	// logSlowness.
	decayTime = 3 * time.Second
	// minBackoff and maxBackoff bound the time for which an unreachable host is not
	// used.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// observationWeight is the weight of a new observation in failureRate and
	// logSlowness.
	observationWeight = 0.2
)

// observe records a load sample, which also shows that the host is reachable.
func (h *host) observe(now time.Time, s prim.LoadSample) {
	if s.Host == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sample, h.sampledAt = s, now
	h.unreachableUntil, h.backoff = time.Time{}, 0
}

// lastSample returns the latest sample and its age, zero values if there is none.
func (h *host) lastSample(now time.Time) (prim.LoadSample, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sampledAt.IsZero() {
		return prim.LoadSample{}, 0
	}
	return h.sample, now.Sub(h.sampledAt)
}

// markUnreachable drops the sample and excludes the host for an exponentially growing
// time.
func (h *host) markUnreachable(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.unreachableUntil) {
		return
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.unreachableUntil = now.Add(h.backoff)
	h.sampledAt = time.Time{}
}

// unreachableFor returns the time for which the host is not used because it could not be
// reached.
func (h *host) unreachableFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.unreachableUntil.Sub(now))
}

// markReachable allows the host to be used again.
func (h *host) markReachable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachableUntil, h.backoff = time.Time{}, 0
}

// recordOutcome updates the failure rate. A request without an answer counts as failed.
func (h *host) recordOutcome(now time.Time, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failureRate = decay(h.failureRate, now.Sub(h.failureRateAt))
	h.failureRateAt = now
	if failed {
		h.failureRate += observationWeight * (1 - h.failureRate)
	} else {
		h.failureRate -= observationWeight * h.failureRate
	}
}

// recordServiceTime updates the slowness of the server from a service time, relative to
// the expected one and corrected for the slowdown that the server reported.
func (h *host) recordServiceTime(now time.Time, took, expected time.Duration, slowdown float64) {
	if took <= 0 || expected <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ratio := math.Log(took.Seconds() / expected.Seconds())
	if slowdown > 1 {
		ratio -= math.Log(slowdown)
	}
	h.logSlowness = decay(h.logSlowness, now.Sub(h.logSlownessAt))
	h.logSlownessAt = now
	h.logSlowness += observationWeight * (max(-2, min(ratio, 3)) - h.logSlowness)
}

// decay returns the value v after exponential decay over the time since its update.
func decay(v float64, age time.Duration) float64 {
	return v * math.Exp(-age.Seconds()/decayTime.Seconds())
}

// class holds statistics of the requests of one class.
type class struct {
	mu          sync.Mutex
	serviceTime time.Duration // moving average, corrected for slowdown
	meanBytes   float64       // moving average of request and answer body sizes
}

// classMeanWeight is the weight of a new value in the moving averages of a class.
const classMeanWeight = 0.05

// recordAnswer updates the moving averages from an answered request.
func (c *class) recordAnswer(took time.Duration, slowdown float64, bytes int) {
	if took <= 0 {
		return
	}
	took = time.Duration(float64(took) / max(1, slowdown))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serviceTime == 0 {
		c.serviceTime, c.meanBytes = took, float64(bytes)
		return
	}
	c.serviceTime += time.Duration(classMeanWeight * float64(took-c.serviceTime))
	c.meanBytes += classMeanWeight * (float64(bytes) - c.meanBytes)
}

// expectedServiceTime returns the mean service time without slowdown, 0 if it is unknown.
func (c *class) expectedServiceTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serviceTime
}

func (c *class) meanKilobytes() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meanBytes / 1024
}
