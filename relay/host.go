package relay

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// host is what this node knows of one server and the way to it.
type host struct {
	name    prim.HostName
	pending atomic.Int64 // this node's unanswered dispatches

	mu      sync.Mutex
	sample  prim.Sample
	at      time.Time // of the sample
	failing float64   // share of recent requests that failed, decaying
	failAt  time.Time
	slower  float64 // service time relative to the mean of all servers
	slowAt  time.Time
	down    time.Time // not to be used before
	backoff time.Duration
}

const (
	// freshFor is how long a reported slowdown is believed. Servers change it
	// several times a second.
	freshFor = 300 * time.Millisecond
	// farFreshFor is the same for a host of another data centre, which does not
	// tell when its slowdown ends.
	farFreshFor = 120 * time.Millisecond
	// heldFor is how long the number of running requests is believed.
	heldFor = time.Second
	// forget is the time constant with which failures and slowness fade.
	forget = 3 * time.Second
	// minDown and maxDown bound the time for which an unreachable host is
	// passed over.
	minDown = 50 * time.Millisecond
	maxDown = time.Second
	// weight is the weight of a new observation.
	weight = 0.2
)

func (h *host) observe(now time.Time, s prim.Sample) {
	if s.Host == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sample, h.at = s, now
	h.down, h.backoff = time.Time{}, 0
}

func (h *host) last(now time.Time) (prim.Sample, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at.IsZero() {
		return prim.Sample{}, 0
	}
	return h.sample, now.Sub(h.at)
}

func (h *host) unreachable(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.down) {
		return
	}
	h.backoff = min(max(2*h.backoff, minDown), maxDown)
	h.down = now.Add(h.backoff)
	h.at = time.Time{}
}

func (h *host) reachable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down, h.backoff = time.Time{}, 0
}

// finished notes whether the server answered with a failure or not at all.
func (h *host) finished(now time.Time, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = fade(h.failing, now.Sub(h.failAt))
	h.failAt = now
	if failed {
		h.failing += weight * (1 - h.failing)
	} else {
		h.failing -= weight * h.failing
	}
}

// served notes how long the server took, compared with the mean of its class
// and with what it reports of its own slowdown.
func (h *host) served(now time.Time, took, usual time.Duration, slowdown float64) {
	if took <= 0 || usual <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ratio := math.Log(took.Seconds() / usual.Seconds())
	if slowdown > 1 {
		ratio -= math.Log(slowdown)
	}
	h.slower = fade(h.slower, now.Sub(h.slowAt))
	h.slowAt = now
	h.slower += weight * (max(-2, min(ratio, 3)) - h.slower)
}

// fade lets a value decay with the time since it was updated.
func fade(v float64, age time.Duration) float64 {
	return v * math.Exp(-age.Seconds()/forget.Seconds())
}

// class is what this node knows of the requests of one route.
type class struct {
	mu    sync.Mutex
	usual time.Duration
	bytes float64
}

// usualWeight is the weight of a new service time or size in the mean.
const usualWeight = 0.05

func (c *class) finished(took time.Duration, slowdown float64, bytes int) {
	if took <= 0 {
		return
	}
	took = time.Duration(float64(took) / max(1, slowdown))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usual == 0 {
		c.usual, c.bytes = took, float64(bytes)
		return
	}
	c.usual += time.Duration(usualWeight * float64(took-c.usual))
	c.bytes += usualWeight * (float64(bytes) - c.bytes)
}

// expected returns the mean service time without slowdown, 0 if none is known.
func (c *class) expected() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usual
}

func (c *class) kilobytes() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes / 1024
}
