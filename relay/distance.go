package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The one-way delay to another data centre is learned from dispatches: half of the time
// between a dispatch and its answer that the request did not spend at the owner's node. This
// addresses deployments whose data centres are at very different distances, 0.5 ms within a
// region and 30 ms between regions: one constant for all would hold servers that are close
// for far away, and send requests that are urgent to servers that can't answer in time.

const (
	// distanceWindow is the time over which the least measured delay is taken. The least
	// one is free of waits for a processor or a busy link. A longer delay, for example on
	// another path, shows after two windows.
	distanceWindow = 5 * time.Second
	// distanceTTL is the time without a measurement after which the default applies again.
	// A data centre that once seemed too far would otherwise never be measured again.
	distanceTTL = 30 * time.Second
	// minDistanceMeasurements is the number of measurements from which they are used. One
	// alone may be that of a request which waited.
	minDistanceMeasurements = 5
	// maxDistance bounds a measured delay.
	maxDistance = time.Second
	// maxMeasuredBytes is the size of request and answer bodies up to which a dispatch is
	// measured. The transfer of more bytes takes longer than the delay.
	maxMeasuredBytes = 16 << 10
)

// distances holds the measured one-way delays to other data centres.
type distances struct {
	mu           sync.Mutex
	byDataCentre map[prim.DataCentre]*distance
}

// distance holds the measurements of one data centre.
type distance struct {
	measurements int // at most minDistanceMeasurements
	measuredAt   time.Time
	windowStart  time.Time
	least        time.Duration // of the current window
	previous     time.Duration // least of the previous window
	hasPrevious  bool
}

// observe records a dispatch to a data centre that took the given time, of which the request
// spent ownerTime at the owner's node.
func (s *distances) observe(now time.Time, d prim.DataCentre, took, ownerTime time.Duration) {
	delay := min(max(0, took-ownerTime)/2, maxDistance)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byDataCentre[d]
	if m == nil || now.Sub(m.measuredAt) > distanceTTL {
		m = &distance{windowStart: now, least: delay}
		s.byDataCentre[d] = m
	}
	if now.Sub(m.windowStart) > distanceWindow {
		m.previous, m.hasPrevious = m.least, true
		m.windowStart, m.least = now, delay
	}
	m.least = min(m.least, delay)
	m.measuredAt = now
	m.measurements = min(m.measurements+1, minDistanceMeasurements)
}

// delay returns the measured one-way delay to a data centre. It reports false if there are
// no measurements or they are too old.
func (s *distances) delay(now time.Time, d prim.DataCentre) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byDataCentre[d].delay(now)
}

func (m *distance) delay(now time.Time) (time.Duration, bool) {
	switch {
	case m == nil || m.measurements < minDistanceMeasurements || now.Sub(m.measuredAt) > distanceTTL:
		return 0, false
	case m.hasPrevious:
		return min(m.least, m.previous), true
	}
	return m.least, true
}

// Distance is the one-way delay to a data centre.
type Distance struct {
	DataCentre prim.DataCentre
	Delay      time.Duration
}

// Distances returns the measured delays, ordered by data centre.
func (r *Relay) Distances(now time.Time) (all []Distance) {
	r.distances.mu.Lock()
	defer r.distances.mu.Unlock()
	for d, m := range r.distances.byDataCentre {
		if delay, ok := m.delay(now); ok {
			all = append(all, Distance{d, delay})
		}
	}
	slices.SortFunc(all, func(a, b Distance) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return all
}

// delay returns the expected one-way delay to a data centre: the measured one, or else the
// default for its proximity.
func (r *Relay) delay(now time.Time, d prim.DataCentre, p proximity) time.Duration {
	if p == inDataCentre {
		return 0
	}
	if measured, ok := r.distances.delay(now, d); ok {
		return measured
	}
	if p == inOtherRegion {
		return max(r.config.RegionDelay, r.config.DataCentreDelay)
	}
	return r.config.DataCentreDelay
}
