package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Servers are ranked by the expected time until the answer: the round trip, the wait for
// a slot, and the service time, scaled by the reported and by the observed slowdown.
// Servers in other data centres get a penalty for the traffic, so that they are used only
// if the near ones would answer much later.

const (
	// defaultSlowdown is assumed if the slowdown of a server is unknown.
	defaultSlowdown = 1.4
	// spikeFactor is the factor over the baseline from which a slowdown is a spike.
	// The owner then delays requests, so the server counts as busy.
	spikeFactor = 1.5
	// maxSpike is the maximum expected duration of a slowdown spike.
	maxSpike = 150 * time.Millisecond
	// loadWeight is the assumed increase in service time from an idle to a full
	// server. It spreads requests over servers that are otherwise equal.
	loadWeight = 0.5
	// failurePenalty is the penalty for a server that fails all requests, as a
	// multiple of the service time.
	failurePenalty = 20.0
	// otherRegionCost is the factor on LinkCostPerKB for servers in other regions. Bytes
	// between regions cost more, and without a factor the jitter of the charge would hide
	// that another data centre of the same region is much closer.
	otherRegionCost = 2.0
	// dialPenaltyTrips is the penalty for a host without a link, in one-way latencies.
	dialPenaltyTrips = 4
	// jitter is the maximum share that is added at random to an estimate, so that
	// nodes with the same samples do not all select the same server.
	jitter = 0.1
	// defaultObjectiveShare is the expected service time of a class that has not been
	// measured yet, as a share of the time until the objective.
	defaultObjectiveShare = 0.4
	// defaultServiceTime is assumed for a class that has neither a measured service
	// time nor an objective.
	defaultServiceTime = 50 * time.Millisecond
)

// tier classifies an expected answer by the objective and the deadline of the request.
// A better tier takes precedence over all else: traffic between data centres is saved
// only if that does not make an answer late.
type tier int

const (
	meetsObjective tier = iota
	meetsDeadline
	missesDeadline
)

// nearMargin and farMargin are the safety factors on the estimate when the tier is
// determined. The factor is larger for other data centres, so that the transfer is worth
// its cost.
const (
	nearMargin = 1.0
	farMargin  = 1.2
)

// tierAfter returns the tier of an answer that is expected after the given time.
func (c *call) tierAfter(now time.Time, seconds float64) tier {
	at := now.Add(time.Duration(seconds * float64(time.Second)))
	switch {
	case !c.request.Objective.IsZero() && !at.After(c.request.Objective):
		return meetsObjective
	case !at.After(c.request.Deadline):
		return meetsDeadline
	}
	return missesDeadline
}

// candidate is a host for the next attempt.
type candidate struct {
	host     *host         // nil if there is none
	estimate time.Duration // expected time until the answer, with penalties and jitter
	busy     bool          // the request would have to wait
	pacedFor time.Duration // until the server's limit allows the request, as its owner has said
	proximity
	dataCentre prim.DataCentre
	linked     bool // a link to the host is open, or it is this one
}

// far reports whether the host is in another data centre.
func (c candidate) far() bool { return c.proximity != inDataCentre }

// bestCandidate returns the host with the best tier and, within it, the lowest estimate.
func (c *call) bestCandidate(now time.Time) (best candidate) {
	placement := c.relay.config.Placements.Placement()
	bestTier := missesDeadline
	bestSeconds := math.Inf(1)
	for e, p := range c.relay.subset(placement, c.request).all() {
		if slices.Contains(c.attempted, e.Host) || slices.Contains(c.excluded, e.Host) {
			continue
		}
		h := c.relay.host(e.Host)
		linked := e.Host == c.relay.config.Host || c.relay.config.Links.Linked(e.Host)
		if !linked && !c.mayDial(e.Host) {
			continue
		}
		seconds, busy, ok := c.estimate(now, h, e, p, linked)
		if !ok {
			continue
		}
		pacedFor := max(0, c.pacedUntil[e.Host].Sub(now))
		if pacedFor > 0 {
			seconds += pacedFor.Seconds()
			busy = true
		}
		margin := nearMargin
		if p != inDataCentre {
			margin = farMargin
		}
		answerTier := c.tierAfter(now, seconds*margin)
		cost := c.relay.config.LinkCostPerKB.Seconds() * c.class.meanKilobytes()
		switch p {
		case inRegion:
			seconds += cost
		case inOtherRegion:
			seconds += otherRegionCost * cost
		}
		seconds *= 1 + jitter*rand.Float64()
		if best.host == nil || answerTier < bestTier || answerTier == bestTier && seconds < bestSeconds {
			bestTier, bestSeconds = answerTier, seconds
			best = candidate{h, time.Duration(seconds * float64(time.Second)), busy, pacedFor, p, e.DataCentre, linked}
		}
	}
	return best
}

// mayDial reports whether the request may wait for the dial of a link to a host. If not, the
// link is dialled without it. This addresses a region that is cut off: requests would wait
// for a dial to one server there after the other.
func (c *call) mayDial(h prim.HostName) bool {
	links := c.relay.config.Links
	_, cutOff := links.CutOff(h)
	if cutOff || c.slowDials >= maxSlowDials {
		links.Connect(h)
		return false
	}
	if c.slowDials > 0 && c.request.HasRegions {
		links.Connect(h) // at the same time as the others, so that the next requests know
	}
	return true
}

// expectedServiceTime returns the expected service time of the request without slowdown.
func (c *call) expectedServiceTime() time.Duration {
	if d := c.class.expectedServiceTime(); d > 0 {
		return d
	}
	if c.request.Objective.IsZero() {
		return defaultServiceTime
	}
	return time.Duration(defaultObjectiveShare * float64(c.request.Objective.Sub(c.startedAt)))
}

// estimate returns the expected time until the answer, in seconds, and whether the
// request would have to wait. ok is false if the host can't be used.
func (c *call) estimate(now time.Time, h *host, e *prim.ServerEntry, p proximity, linked bool) (seconds float64, busy, ok bool) {
	config := &c.relay.config
	local := e.Host == config.Host
	pending := float64(h.pending.Load())
	h.mu.Lock()
	defer h.mu.Unlock()
	s, age := h.sample, now.Sub(h.sampledAt)
	if local {
		s, age = config.Owners.Owner(e.Host).Sample(), 0
	} else if now.Before(h.unreachableUntil) {
		return 0, false, false
	}
	known := (local || !h.sampledAt.IsZero()) && age < sampleTTL
	if known && s.Leaving {
		return 0, false, false
	}
	expected := c.expectedServiceTime()
	limit := max(1, float64(e.Slots))
	paceWait := 0.0 // seconds until the limit that the server names allows the request
	load := pending
	slowdown, baseline := defaultSlowdown, 1.0
	slowdownMaxAge := slowdownTTL
	if p != inDataCentre {
		slowdownMaxAge = farSlowdownTTL
	}
	if known {
		limit = max(1, float64(s.Limit))
		load = max(pending, float64(s.InFlight+s.Queued))
		if age < slowdownMaxAge && s.Slowdown > 0 {
			slowdown = s.Slowdown
		}
		if s.Steady > 0 {
			baseline = s.Steady
		}
		busy = s.Cold && s.ColdRoom == 0 && age < slowdownMaxAge
		if s.Limited && s.Rate <= 0 {
			return 0, false, false
		}
		if s.Limited && s.RateRoom == 0 {
			busy, paceWait = true, float64(1+s.Queued)/s.Rate
		}
	}
	busy = busy || load >= limit || slowdown >= spikeFactor*baseline
	// The owner delays a request until the end of a spike if that is faster.
	slowdown = min(slowdown, baseline+maxSpike.Seconds()/expected.Seconds())
	serviceTime := expected.Seconds() * slowdown * math.Exp(decay(h.logSlowness, now.Sub(h.logSlownessAt)))
	seconds = serviceTime * (1 + loadWeight*load/limit + max(0, load+1-limit)/limit)
	seconds += failurePenalty * expected.Seconds() * (decay(h.failureRate, now.Sub(h.failureRateAt)) + s.Failing)
	seconds += paceWait
	if busy && s.Cold {
		seconds += expected.Seconds()
	}
	delay := c.relay.delay(now, e.DataCentre, p)
	seconds += 2 * delay.Seconds()
	if !linked {
		if p == inDataCentre {
			delay = config.DataCentreDelay
		}
		seconds += dialPenaltyTrips * max(delay, time.Millisecond).Seconds()
	}
	return seconds, busy, true
}
