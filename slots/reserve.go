package slots

import (
	"math"
	"time"
)

// If more requests are queued than a cold server may receive in a second, they use up
// its limit at once, and a more urgent request that arrives next would wait for the rest
// of the second. Part of the limit is therefore reserved for more urgent requests,
// according to their recent arrival rate.

const (
	// demandDecay is the time constant of the exponential decay of past demand.
	demandDecay = time.Second
	// minDemandHistory is the minimum period over which a rate is computed.
	minDemandHistory = 200 * time.Millisecond
	// maxReservedShare is the maximum share of the limit that is reserved, so that less
	// urgent requests are not starved.
	maxReservedShare = 0.5
)

// demand estimates the arrival rate of requests of one priority.
type demand struct {
	firstAt   time.Time // first request
	updatedAt time.Time // last update of count
	count     float64   // requests, decayed with demandDecay
}

func (d *demand) decay(now time.Time) {
	d.count *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandDecay.Seconds())
	d.updatedAt = now
}

// rate returns the arrival rate in requests per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	decay := demandDecay.Seconds()
	return d.count / (decay * (1 - math.Exp(-max(now.Sub(d.firstAt), minDemandHistory).Seconds()/decay)))
}

// recordDemand counts a request that was offered to this owner first. Refused requests
// count as well; otherwise the reserve would shrink when it is too small. Requests that
// another owner has refused do not count, since a request would be counted many times
// when owners are busy.
func (s *scheduler) recordDemand(now time.Time, priority int) {
	d := s.demands[priority]
	if d == nil {
		d = &demand{firstAt: now, updatedAt: now}
		s.demands[priority] = d
	}
	d.decay(now)
	d.count++
}

// reservedTokens returns how many tokens of a server that names a limit are reserved for
// requests that are more urgent than the given priority.
func (s *scheduler) reservedTokens(now time.Time, priority int) float64 {
	if !s.pace.limited {
		return 0
	}
	return max(0, min(s.urgentRate(now, priority)*paceBurst.Seconds(), maxReservedShare*(s.pace.capacity()-1)))
}

// urgentRate returns the arrival rate of requests that are more urgent than the given
// priority, in requests per second.
func (s *scheduler) urgentRate(now time.Time, priority int) (rate float64) {
	for p, d := range s.demands {
		if p < priority {
			rate += d.rate(now)
		}
	}
	return rate
}

// reservedHeadroom returns how much of coldHeadroom is reserved for requests that are
// more urgent than the given priority.
func (s *scheduler) reservedHeadroom(now time.Time, priority int) int {
	reserved := s.urgentRate(now, priority) * coldWindow.Seconds()
	for _, started := range s.starts {
		if started.priority < priority {
			reserved--
		}
	}
	return int(math.Round(max(0, min(reserved, maxReservedShare*s.coldLimit()))))
}
