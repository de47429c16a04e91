package slots

import "time"

// Servers share their hosts with other workloads and report by which factor they are
// slowed down at the moment. A request keeps the slowdown of the moment at which it
// starts, so a short delay may let it finish sooner. Requests wait only for the end of a
// spike, which is a slowdown well above the lowest recent one, and not for the end of a
// lasting slowdown.

const (
	// slowdownTTL is how long a reported slowdown remains valid.
	slowdownTTL = 250 * time.Millisecond
	// spikeFactor is the factor over the baseline from which a slowdown is a spike.
	spikeFactor = 1.5
	// initialSpike is the expected duration of a spike before any was observed.
	// maxSpike caps an observed duration, since a longer slowdown is not a spike.
	initialSpike = 150 * time.Millisecond
	maxSpike     = time.Second
	// delayStep is the interval at which a delayed request is checked again if the
	// server sends no report.
	delayStep = 20 * time.Millisecond
	// baselineWindow is the period whose lowest slowdown is the baseline. It is longer
	// than several spikes, so that a lasting slowdown becomes the baseline.
	baselineWindow = time.Second
)

// currentSlowdown returns the current slowdown, 1 if it is unknown.
func (s *scheduler) currentSlowdown(now time.Time) float64 {
	if s.slowdown > 0 && now.Sub(s.slowdownAt) < slowdownTTL {
		return s.slowdown
	}
	return 1
}

// baselineSlowdown returns the lowest recent slowdown, 1 if it is unknown.
func (s *scheduler) baselineSlowdown(now time.Time) float64 {
	if s.baseline > 0 && now.Sub(s.baselineAt) < 2*baselineWindow {
		return s.baseline
	}
	return 1
}

// shouldDelay reports whether a request is expected to finish sooner if it waits for the
// end of a slowdown spike, and can still meet its deadline if it starts delayStep later.
// Servers fix the duration of a request when it starts.
func (s *scheduler) shouldDelay(now time.Time, j *job) bool {
	relative := s.currentSlowdown(now) / s.baselineSlowdown(now)
	if relative < spikeFactor {
		return false
	}
	e := s.expectedServiceTime(now, j)
	if time.Duration((relative-1)*float64(e)) < s.meanSpike {
		return false
	}
	return now.Add(delayStep + time.Duration(serviceTimeMargin*float64(e))).Before(j.request.Deadline)
}

// learnSlowdown records a reported slowdown and updates the baseline and the mean
// duration of spikes.
func (s *scheduler) learnSlowdown(now time.Time, slowdown float64) {
	s.slowdown, s.slowdownAt = slowdown, now
	if slowdown <= s.baseline || now.Sub(s.baselineAt) > baselineWindow {
		s.baseline, s.baselineAt = slowdown, now
	}
	switch normal := slowdown < spikeFactor*s.baseline; {
	case !normal && s.spikeStart.IsZero():
		s.spikeStart = now
	case normal && !s.spikeStart.IsZero():
		s.meanSpike = movingAverage(s.meanSpike, min(now.Sub(s.spikeStart), maxSpike))
		s.spikeStart = time.Time{}
	}
}
