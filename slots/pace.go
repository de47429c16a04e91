package slots

import (
	"math"
	"time"
)

// A server in need names the number of requests a second that it takes from all nodes
// together. All requests for a server pass through the node on its host, so the limit is
// enforced here, and needs no agreement between nodes.

const (
	// paceBurst is the part of a second for which an idle server's requests are saved up,
	// so that the limit can be used although requests arrive unevenly.
	paceBurst = 500 * time.Millisecond
	// tokenTolerance covers rounding errors when tokens are added.
	tokenTolerance = 1e-9
)

// pace limits the requests to a server that has named a limit, by a token bucket. In any
// period of T seconds at most rate*T + capacity requests start.
type pace struct {
	limited bool
	rate    float64 // requests per second; 0 means that the server takes none
	since   time.Time
	tokens  float64
	at      time.Time // last update of tokens
}

// set applies what the newest answer of the server says: the rate, or nil if it names none.
// It reports whether that is a change.
func (p *pace) set(now time.Time, rate *float64) (changed bool) {
	switch {
	case rate == nil:
		changed = p.limited
		*p = pace{}
	case !p.limited:
		// The server already has requests, so the bucket starts empty.
		*p = pace{limited: true, rate: *rate, since: now, at: now}
		changed = true
	case p.rate != *rate:
		p.refill(now)
		p.rate = *rate
		p.tokens = min(p.tokens, p.capacity())
		changed = true
	}
	return changed
}

// capacity returns the number of tokens that an idle server saves up.
func (p *pace) capacity() float64 {
	if p.rate <= 0 {
		return 0
	}
	return max(1, p.rate*paceBurst.Seconds())
}

func (p *pace) refill(now time.Time) {
	if elapsed := now.Sub(p.at); elapsed > 0 {
		p.tokens = min(p.capacity(), p.tokens+p.rate*elapsed.Seconds())
		p.at = now
	}
}

// room returns how many requests may start now.
func (p *pace) room(now time.Time) float64 {
	if !p.limited {
		return math.Inf(1)
	}
	p.refill(now)
	return p.tokens + tokenTolerance
}

// take removes the token of a request that starts.
func (p *pace) take(now time.Time) {
	if p.limited {
		p.refill(now)
		p.tokens--
	}
}

// wait returns the time until n requests may start while others take tokens at a rate of
// used a second. It returns maxPaceWait if that is longer.
func (p *pace) wait(now time.Time, n, used float64) time.Duration {
	missing := n - p.room(now)
	if missing <= 0 {
		return 0
	}
	if p.rate <= used {
		return maxPaceWait
	}
	return time.Duration(min(missing/(p.rate-used), maxPaceWait.Seconds()) * float64(time.Second))
}

// maxPaceWait is the RetryAfter of a request to a server that takes none, or hardly any.
const maxPaceWait = 5 * time.Second
