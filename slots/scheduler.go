package slots

import (
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

const (
	// coldWindow is the sliding window for the request rate of a cold server: one
	// second plus 20 ms for differences in the latency between node and server.
	coldWindow = 1020 * time.Millisecond
	// coldMargin extends the warm-up time that a server reports. The rate limit
	// applies to every second that begins while the server is cold; another 100 ms
	// cover the latency of the report and of requests.
	coldMargin = coldWindow + 100*time.Millisecond
	// serviceTimeMargin is the factor on the expected service time in the check
	// whether a request that starts now can finish in time.
	serviceTimeMargin = 1.2
	// defaultObjectiveShare is the expected service time of a class that has not
	// been measured yet, as a share of the time until the objective.
	defaultObjectiveShare = 0.4
	// maxQueuedPerSlot is the maximum queue length as a multiple of the concurrency
	// limit.
	maxQueuedPerSlot = 4
	// minRetryAfter is the minimum RetryAfter of a refusal with ReasonBusy, and the
	// RetryAfter of a queued request that can no longer finish before its deadline.
	minRetryAfter = 20 * time.Millisecond
)

// job is a request that is queued, running or refused. Its fields are set before wake
// is closed and do not change until done or cancel is called.
type job struct {
	request       *prim.Request
	refusal       *prim.RefusalError // nil if the request was admitted
	wake          chan struct{}
	decided       bool // admitted or refused
	arrivedAt     time.Time
	startedAt     time.Time
	slowdown      float64 // server's slowdown at startedAt
	duringSpike   bool    // slowdown was at least spikeFactor times the baseline
	highOccupancy bool    // occupancy was above highOccupancyShare at startedAt
}

// scheduler is the state machine behind the Admitter. It has no goroutines, locks or
// clock of its own: every method that depends on the time takes it as an argument.
type scheduler struct {
	config          Config
	serverID        string // ID of the running server process; empty while the server is down
	healthy         bool
	leaving         bool
	answerBy        time.Time // requests have to be answered by then; zero if this node does not stop
	publishedSlots  int       // used if the server does not report its slots
	slots           int       // as reported; 0 if unknown
	rule            prim.ServiceRule
	slowdown        float64
	slowdownAt      time.Time
	baseline        float64 // lowest slowdown in baselineWindow
	baselineAt      time.Time
	spikeStart      time.Time     // start of the current slowdown spike; zero if there is none
	meanSpike       time.Duration // mean duration of a slowdown spike
	saturation      saturation
	coldUntil       time.Time
	pace            pace
	running         int // requests of this node
	leftover        leftover
	starts          []startRecord                // within coldWindow, oldest first
	demands         map[int]*demand              // by priority
	queue           []*job                       // most urgent first
	decided         []*job                       // decided since the last takeDecided
	serviceTimes    map[prim.Class]time.Duration // moving averages, corrected for slowdown
	meanServiceTime time.Duration                // moving average over all classes
}

// startRecord records a request that was passed to the server.
type startRecord struct {
	at       time.Time
	priority int
}

func newScheduler(c Config) scheduler {
	return scheduler{config: c, serviceTimes: make(map[prim.Class]time.Duration), demands: make(map[int]*demand), meanSpike: initialSpike}
}

// slotCount returns the server's number of slots: as reported, else as published.
func (s *scheduler) slotCount() int {
	if s.slots > 0 {
		return s.slots
	}
	return max(1, s.publishedSlots)
}

// limit returns the maximum number of running requests. It is below the number of
// slots if high occupancy increases service times so much that throughput falls.
func (s *scheduler) limit(now time.Time) int {
	all := s.slotCount()
	part := max(1, int(highOccupancyShare*float64(all)))
	if float64(all) < s.saturation.latencyFactor(now)*float64(part) {
		return part
	}
	return all
}

// cold reports whether the server is warming up.
func (s *scheduler) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// coldHeadroom returns how many more requests a cold server may receive now.
func (s *scheduler) coldHeadroom(now time.Time) int {
	s.expireStarts(now)
	if s.rule.WarmUpRate <= 0 {
		return s.limit(now)
	}
	return max(0, int(s.coldLimit())-len(s.starts))
}

// coldLimit returns the maximum number of requests to a cold server per coldWindow.
func (s *scheduler) coldLimit() float64 { return s.config.ColdRate(s.rule.WarmUpRate) }

func (s *scheduler) expireStarts(now time.Time) {
	n := 0
	for n < len(s.starts) && now.Sub(s.starts[n].at) >= coldWindow {
		n++
	}
	s.starts = slices.Delete(s.starts, 0, n)
}

// expectedServiceTime returns the expected service time of a request at the baseline
// slowdown.
func (s *scheduler) expectedServiceTime(now time.Time, j *job) time.Duration {
	d, ok := s.serviceTimes[j.request.Class]
	if !ok {
		// Operators set objectives well above the usual service time.
		d = time.Duration(defaultObjectiveShare * float64(dueTime(j).Sub(j.arrivedAt)))
	}
	return max(0, time.Duration(s.baselineSlowdown(now)*float64(d)))
}

// occupied returns the number of slots in use, by requests of this node and leftover ones.
func (s *scheduler) occupied(now time.Time) int { return s.running + s.leftover.inUse(now) }

// hasCapacity reports whether the concurrency limit, the limit that the server names and
// the rate limit of a cold server allow a request to start now.
func (s *scheduler) hasCapacity(now time.Time, j *job) bool {
	if s.occupied(now) >= s.limit(now) || s.pace.room(now) < 1+s.reservedTokens(now, j.request.Priority) {
		return false
	}
	return !s.cold(now) || s.rule.WarmUpRate <= 0 || s.coldHeadroom(now) > s.reservedHeadroom(now, j.request.Priority)
}

// offer admits, queues or refuses a new job.
func (s *scheduler) offer(now time.Time, j *job) {
	j.arrivedAt = now
	r := j.request
	if !r.PreviouslyRefused {
		s.recordDemand(now, r.Priority)
	}
	switch {
	case r.Service != s.config.Service:
		s.refuse(now, j, prim.ReasonNoHost, 0)
	case s.leaving || s.outlastsStop(now, j):
		s.refuse(now, j, prim.ReasonLeaving, 0)
	case s.serverID == "":
		s.refuse(now, j, prim.ReasonUnreachable, 0)
	case !r.Deadline.After(now):
		s.refuse(now, j, prim.ReasonExpired, 0)
	case s.hasCapacity(now, j) && s.queuedAhead(now, j) == 0 && !s.shouldDelay(now, j):
		s.start(now, j)
	case r.MaxQueueTime <= 0, len(s.queue) >= maxQueuedPerSlot*s.limit(now), s.paceWait(now, j) > r.MaxQueueTime:
		s.refuse(now, j, prim.ReasonBusy, s.estimatedWait(now, j))
	default:
		s.queue = append(s.queue, j)
	}
}

// outlastsStop reports whether a request that starts now can't be expected to end before this
// node stops.
func (s *scheduler) outlastsStop(now time.Time, j *job) bool {
	if s.answerBy.IsZero() {
		return false
	}
	e := time.Duration(prim.StopMargin * float64(s.expectedServiceTime(now, j)))
	end := now.Add(e)
	if j.request.Deadline.Before(end) {
		end = j.request.Deadline // the server ends it then
	}
	return end.After(s.answerBy)
}

// queueOrder returns the comparison function of the queue order: jobs that can still meet
// their objective first, then by priority, due time and arrival.
func (s *scheduler) queueOrder(now time.Time) func(a, b *job) int {
	return func(a, b *job) int {
		if x, y := s.missesObjective(now, a), s.missesObjective(now, b); x != y {
			if y {
				return -1
			}
			return 1
		}
		if d := a.request.Priority - b.request.Priority; d != 0 {
			return d
		}
		if d := dueTime(a).Compare(dueTime(b)); d != 0 {
			return d
		}
		return a.arrivedAt.Compare(b.arrivedAt)
	}
}

// missesObjective reports whether a request that starts now is expected to miss its
// objective.
func (s *scheduler) missesObjective(now time.Time, j *job) bool {
	e := time.Duration(serviceTimeMargin * float64(s.expectedServiceTime(now, j)))
	return dueTime(j).Before(now.Add(e))
}

// dueTime returns the objective of a request, or its deadline if it has none.
func dueTime(j *job) time.Time {
	if j.request.Objective.IsZero() {
		return j.request.Deadline
	}
	return j.request.Objective
}

// queuedAhead returns the number of queued jobs that precede a new one.
func (s *scheduler) queuedAhead(now time.Time, j *job) (n int) {
	order := s.queueOrder(now)
	for _, q := range s.queue {
		if order(q, j) <= 0 {
			n++
		}
	}
	return n
}

// estimatedWait returns the estimated time until a new job could start.
func (s *scheduler) estimatedWait(now time.Time, j *job) time.Duration {
	ahead := s.queuedAhead(now, j)
	e := time.Duration(s.currentSlowdown(now) * float64(s.meanServiceTime))
	d := e * time.Duration(max(0, s.occupied(now)+ahead+1-s.limit(now))) / time.Duration(s.limit(now))
	if s.cold(now) && s.coldHeadroom(now) <= ahead && len(s.starts) > 0 {
		d = max(d, coldWindow-now.Sub(s.starts[min(ahead, len(s.starts)-1)].at))
	}
	return max(d, s.paceWait(now, j), minRetryAfter)
}

// paceWait returns the time until the limit that the server names allows a new job to start,
// after those that precede it and besides more urgent ones that arrive meanwhile.
func (s *scheduler) paceWait(now time.Time, j *job) time.Duration {
	if !s.pace.limited {
		return 0
	}
	priority := j.request.Priority
	tokens := 1 + float64(s.queuedAhead(now, j)) + s.reservedTokens(now, priority)
	return s.pace.wait(now, tokens, s.urgentRate(now, priority))
}

// advance admits or refuses queued jobs where possible. It returns the time after which
// it has to be called again, 0 if no queued job depends on the time.
func (s *scheduler) advance(now time.Time) time.Duration {
	var next time.Duration
	wakeAfter := func(d time.Duration) {
		if next == 0 || d < next {
			next = max(d, time.Millisecond)
		}
	}
	slices.SortFunc(s.queue, s.queueOrder(now))
	kept := s.queue[:0]
	for _, j := range s.queue {
		r := j.request
		e := s.expectedServiceTime(now, j)
		switch {
		case s.leaving || s.outlastsStop(now, j):
			s.refuse(now, j, prim.ReasonLeaving, 0)
		case s.serverID == "":
			s.refuse(now, j, prim.ReasonUnreachable, 0)
		case !r.Deadline.After(now.Add(e)):
			s.refuse(now, j, prim.ReasonExpired, minRetryAfter)
		case !s.hasCapacity(now, j):
			if !now.Before(j.arrivedAt.Add(r.MaxQueueTime)) {
				s.refuse(now, j, prim.ReasonBusy, s.estimatedWait(now, j))
				continue
			}
			wakeAfter(j.arrivedAt.Add(r.MaxQueueTime).Sub(now))
			if s.occupied(now) < s.limit(now) && len(s.starts) > 0 {
				wakeAfter(coldWindow - now.Sub(s.starts[0].at))
			}
			if d := s.pace.wait(now, 1+s.reservedTokens(now, r.Priority), 0); d > 0 {
				wakeAfter(d)
			}
			kept = append(kept, j)
		case s.shouldDelay(now, j):
			wakeAfter(delayStep)
			kept = append(kept, j)
		default:
			s.start(now, j)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return next
}

func (s *scheduler) start(now time.Time, j *job) {
	s.running++
	s.leftover.recordStart()
	j.startedAt, j.slowdown = now, s.currentSlowdown(now)
	j.duringSpike = j.slowdown >= spikeFactor*s.baselineSlowdown(now)
	j.highOccupancy = float64(s.occupied(now)) > highOccupancyShare*float64(s.slotCount())
	s.expireStarts(now)
	s.starts = append(s.starts, startRecord{now, j.request.Priority})
	s.pace.take(now)
	s.markDecided(j)
}

func (s *scheduler) refuse(now time.Time, j *job, why prim.Reason, after time.Duration) {
	j.refusal = &prim.RefusalError{Reason: why, Host: s.config.Host, Sample: s.sample(now), RetryAfter: after}
	s.markDecided(j)
}

// markDecided marks a job as admitted or refused. Its caller is woken after takeDecided.
func (s *scheduler) markDecided(j *job) {
	j.decided = true
	s.decided = append(s.decided, j)
}

func (s *scheduler) takeDecided() []*job {
	d := s.decided
	s.decided = nil
	return d
}

// cancel removes a job whose caller no longer waits, and releases its slot if it was
// admitted.
func (s *scheduler) cancel(now time.Time, j *job, why prim.Reason) {
	if j.decided {
		if j.refusal == nil {
			s.running--
			j.refusal = &prim.RefusalError{Reason: why, Host: s.config.Host, Sample: s.sample(now)}
		}
		return
	}
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	s.refuse(now, j, why, 0)
}

// serviceTimeWeight is the weight of a new value in movingAverage.
const serviceTimeWeight = 0.1

// done releases the slot of an admitted job and, if the server answered without a
// failure, updates the service time estimates.
func (s *scheduler) done(now time.Time, j *job, a prim.Attempt) {
	if j.startedAt.IsZero() {
		return
	}
	s.running--
	if a.Outcome == prim.Done && !a.Failed {
		s.learnServiceTime(now, j)
	}
	j.startedAt = time.Time{}
}

// learnServiceTime updates the service time estimates. Requests started at high occupancy
// feed only the saturation estimate, unless their class has no estimate yet.
func (s *scheduler) learnServiceTime(now time.Time, j *job) {
	d := time.Duration(float64(now.Sub(j.startedAt)) / max(1, j.slowdown))
	usual := s.serviceTimes[j.request.Class]
	if usual > 0 && !j.duringSpike {
		s.saturation.observe(now, float64(d)/float64(usual), j.highOccupancy)
	}
	if !j.highOccupancy || usual == 0 {
		s.serviceTimes[j.request.Class] = movingAverage(usual, d)
		s.meanServiceTime = movingAverage(s.meanServiceTime, d)
	}
}

// movingAverage returns the exponentially weighted moving average of old and d; an old
// value of 0 means none.
func movingAverage(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(serviceTimeWeight*float64(d-old))
}

// applyReport applies a report of the server.
func (s *scheduler) applyReport(now time.Time, r Report) {
	if r.ID != "" && r.ID != s.serverID {
		s.config.Logger.Info("server started", "Server", r.ID, "Before", s.serverID, "ColdFor", r.ColdFor)
		s.serverID = r.ID
		s.pace = pace{}
		s.leftover = leftover{own: s.leftover.own}
	}
	s.applyRateLimit(now, r.RateLimit)
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	if r.Slowdown > 0 {
		s.learnSlowdown(now, r.Slowdown)
	}
	if !r.Check {
		return
	}
	s.applyLeftover(now, r.Running+r.Waiting)
	if r.Healthy != s.healthy {
		s.config.Logger.Info("health of the server changed", "Server", s.serverID, "Healthy", r.Healthy)
		s.healthy = r.Healthy
	}
	if r.ColdFor > 0 && !s.cold(now) {
		s.config.Logger.Info("server is cold", "Server", s.serverID, "ColdFor", r.ColdFor)
	}
	if until := now.Add(r.ColdFor + coldMargin); r.ColdFor > 0 || s.coldUntil.After(until) {
		s.coldUntil = until
	}
}

// applyRateLimit applies the limit that an answer of the server names, nil for none.
func (s *scheduler) applyRateLimit(now time.Time, rate *float64) {
	since := s.pace.since
	if !s.pace.set(now, rate) {
		return
	}
	if rate == nil {
		s.config.Logger.Info("server names no limit any more", "Server", s.serverID, "After", now.Sub(since))
		return
	}
	s.config.Logger.Info("server names a limit", "Server", s.serverID, "RequestsPerSecond", *rate, "Since", s.pace.since)
}

// applyLeftover applies the number of requests at the server that a health check reports.
func (s *scheduler) applyLeftover(now time.Time, reported int) {
	before := s.leftover.inUse(now)
	s.leftover.endCheck(now, reported)
	after := s.leftover.inUse(now)
	if (before == 0) != (after == 0) {
		s.config.Logger.Info("leftover requests at the server changed", "Server", s.serverID, "Before", before, "After", after,
			"Reported", reported, "Running", s.running)
	}
}

func (s *scheduler) markDown(now time.Time, cause error) {
	if s.serverID != "" {
		s.config.Logger.Warn("server is down", "Server", s.serverID, "Cause", cause)
	}
	s.serverID, s.healthy = "", false
	s.pace = pace{}
	s.leftover = leftover{}
	// Assume that a restarted server is cold until it reports otherwise.
	s.assumeCold(now, "the server was down")
}

// assumeCold treats the server as cold for the warm-up time of the rule.
func (s *scheduler) assumeCold(now time.Time, why string) {
	if until := now.Add(s.rule.WarmUp); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

func (s *scheduler) setRule(now time.Time, r prim.ServiceRule) { s.rule = r }

func (s *scheduler) setLeaving(leaving bool) { s.leaving = leaving }

func (s *scheduler) sample(now time.Time) prim.LoadSample {
	sample := prim.LoadSample{
		Host:     s.config.Host,
		InFlight: s.occupied(now),
		Queued:   len(s.queue),
		Limit:    s.limit(now),
		Latency:  s.meanServiceTime,
		Leaving:  s.leaving || s.serverID == "",
		Slowdown: s.currentSlowdown(now),
		Steady:   s.baselineSlowdown(now),
		Cold:     s.cold(now),
	}
	if sample.Cold {
		sample.ColdRoom = s.coldHeadroom(now)
	}
	if s.pace.limited {
		sample.Limited, sample.Rate, sample.RateRoom = true, s.pace.rate, int(s.pace.room(now))
	}
	if !s.healthy {
		sample.Failing = 1
	}
	return sample
}
