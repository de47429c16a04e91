package slots

import (
	"math"
	"time"
)

// High occupancy may increase service times so much that the throughput of a server
// falls. To detect this, the service times of requests that started at high occupancy
// are compared with the others. Both are taken relative to the average of their class,
// so that changes that affect all requests cancel out. The result expires after a few
// seconds, and the server is filled again: while the limit is lowered there are no
// observations at high occupancy that could correct a wrong result.

const (
	// highOccupancyShare is the share of the slots above which occupancy is high.
	highOccupancyShare = 0.8
	// minObservationWeight is the minimum weight of a new observation in a mean.
	minObservationWeight = 0.05
	// minLowSamples and minHighSamples are the numbers of observations required at
	// low and at high occupancy.
	minLowSamples  = 8
	minHighSamples = 2
	// maxLogRatio clamps the logarithm of a single observation, so that one slow
	// request has little influence.
	maxLogRatio = 0.7
	// saturationTTL is how long observations at high occupancy remain valid.
	saturationTTL = 4 * time.Second
)

// saturation compares service times at low and at high occupancy. low and high are
// means of the logarithm of the service time relative to the average of the class.
type saturation struct {
	low, high           float64
	lowCount, highCount int
	highAt              time.Time // time of the last observation at high occupancy
}

// observe adds the service time of a request, relative to the average of its class.
func (s *saturation) observe(now time.Time, ratio float64, highOccupancy bool) {
	logRatio := max(-maxLogRatio, min(math.Log(ratio), maxLogRatio))
	mean, n := &s.low, &s.lowCount
	if highOccupancy {
		if now.Sub(s.highAt) > saturationTTL {
			s.high, s.highCount = 0, 0
		}
		mean, n = &s.high, &s.highCount
		s.highAt = now
	}
	*n++
	*mean += max(minObservationWeight, 1/float64(*n)) * (logRatio - *mean)
}

// latencyFactor returns the factor by which high occupancy increases service times, 1 if
// it is unknown.
func (s *saturation) latencyFactor(now time.Time) float64 {
	if s.lowCount < minLowSamples || s.highCount < minHighSamples || now.Sub(s.highAt) > saturationTTL {
		return 1
	}
	return math.Exp(s.high - s.low)
}
