package slots

import (
	"math"
	"time"
)

// Requests at a crowded server may take so much longer that fewer are done in a
// given time. That shows in the service times of requests that began on a crowded
// server, relative to those that did not: both are compared with the usual time of
// their class, so that what shifts all of them cancels out. What was learned holds
// for a few seconds, then the server is filled again: a wrong conclusion must not
// last, since a server that is never crowded shows nothing.

const (
	// crowdShare is the share of the slots above which a server counts as
	// crowded.
	crowdShare = 0.8
	// crowdWeight is the least weight of a new observation.
	crowdWeight = 0.05
	// calmSamples and crowdSamples are the numbers of observations needed.
	calmSamples  = 8
	crowdSamples = 2
	// crowdBound bounds one observation, as a logarithm: a single slow request
	// says little.
	crowdBound = 0.7
	// crowdKeep is how long observations of a crowded server hold.
	crowdKeep = 4 * time.Second
)

// crowd compares requests at a crowded server with others. The values are means of
// logarithms of the service time over the usual one.
type crowd struct {
	calm, crowded   float64
	calms, crowdeds int
	at              time.Time // of the last crowded observation
}

// observe takes the service time of a request relative to the usual one.
func (c *crowd) observe(now time.Time, ratio float64, crowded bool) {
	v := max(-crowdBound, min(math.Log(ratio), crowdBound))
	mean, n := &c.calm, &c.calms
	if crowded {
		if now.Sub(c.at) > crowdKeep {
			c.crowded, c.crowdeds = 0, 0
		}
		mean, n = &c.crowded, &c.crowdeds
		c.at = now
	}
	*n++
	*mean += max(crowdWeight, 1/float64(*n)) * (v - *mean)
}

// factor returns how many times as long requests take at a crowded server, 1 if
// that is not known.
func (c *crowd) factor(now time.Time) float64 {
	if c.calms < calmSamples || c.crowdeds < crowdSamples || now.Sub(c.at) > crowdKeep {
		return 1
	}
	return math.Exp(c.crowded - c.calm)
}
