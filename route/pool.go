package route

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The pool policy keeps the last load sample of each host and estimates, for
// every candidate, how long a request would take there. The estimate is the sum
// of the network round trip, the latency that the owner reports, scaled up by the
// share of the limit in use, and, for a hot host (one without a free slot), the
// wait for a slot. The hot/cold classification is that of Prequal, with the
// owner's limit as the threshold instead of a quantile of the load. A hot host
// only gets a penalty, because a hot host of ordinary speed is still better than
// a slow one with a free slot. The lowest estimate wins, so a nearer host is
// preferred until it is slower by more than the network path to another.
//
// Two measures keep nodes from reacting to noise. A latency below minOutlierRatio
// times the median counts as the median. The load in a sample loses weight as the
// sample ages and is replaced by the mean of all hosts, corrected by this node's
// own pending requests. Requests that this node sent too late to be counted in a
// sample are added to it.
//
// Hosts that leave or fail are avoided: they are chosen only if there are no other
// candidates. A failing host is tried again after a delay that doubles with each
// failed attempt. A host that gets no requests produces no new latency; once its
// last latency is too old, the median is used instead, and the host gets requests
// up to its limit.

// PoolConfig configures Pool. Zero fields take the defaults.
type PoolConfig struct {
	Rand Source
	// Now returns the current time. Default time.Now; simulations set a virtual
	// clock.
	Now func() time.Time
	// MaxAge is the age beyond which a sample is not used. Default 2 s.
	MaxAge time.Duration
	// MaxScan is the maximum number of candidates that Pick examines. Default 64.
	MaxScan int
	// MaxHosts is the maximum number of hosts whose state is kept. Default 1024.
	MaxHosts int
}

// Bounds of the delay before a failing host is tried again.
const (
	minTrialDelay = 500 * time.Millisecond
	maxTrialDelay = 8 * time.Second
)

// maxFailureShare is the share of failed requests above which a host is avoided.
// Ordinary servers fail less than one request in ten.
const maxFailureShare = 0.1

// refusalPeriod is how long a refusal without a sample marks a host as hot. It is
// of the order of one service time, after which a slot has usually been released.
const refusalPeriod = 5 * time.Millisecond

// The constants of the estimate. docs/decisions/target-choice.md has the
// measurements behind them.
const (
	// minOutlierRatio is the multiple of the median latency from which on a latency
	// is not treated as noise.
	minOutlierRatio = 3
	// loadWeight is the relative increase of the latency when the limit is fully
	// used. A larger one spreads requests over more distant hosts.
	loadWeight = 0.5
	// hotPenalty is the penalty of a hot host in median latencies.
	hotPenalty = 2
	// loadDecay is the time constant with which the load in a sample loses weight.
	// It is of the order of two service times, after which most of the requests
	// that were counted have completed.
	loadDecay = 20 * time.Millisecond
)

// Pool is the pool policy. It is safe for concurrent use.
type Pool struct {
	config  PoolConfig
	mu      sync.Mutex
	hosts   map[prim.HostName]*hostState
	ranking []rankedCandidate // buffer that Pick reuses
}

// hostState is what this node knows about one host.
type hostState struct {
	sample        prim.LoadSample
	sampledAt     time.Time     // arrival of the sample; zero if there is none
	lastCandidate time.Time     // when the host was last a candidate
	cost          time.Duration // one-way network time
	recentChoices [16]time.Time // when this node last chose the host
	nextChoice    int           // index in recentChoices
	lastRefusal   time.Time
	failureShare  float64       // smoothed, of this node's attempts
	trialDelay    time.Duration // between attempts while the host fails
	nextTrial     time.Time     // earliest next attempt while the host fails
}

// rankedCandidate is one candidate with its rating.
type rankedCandidate struct {
	index    int // in the candidates
	avoid    bool
	estimate float64 // seconds
}

// NewPool returns a Pool policy.
func NewPool(c PoolConfig) *Pool {
	c.Rand, c.Now = defaultSource(c.Rand), defaultClock(c.Now)
	if c.MaxAge == 0 {
		c.MaxAge = 2 * time.Second
	}
	if c.MaxScan == 0 {
		c.MaxScan = 64
	}
	if c.MaxHosts == 0 {
		c.MaxHosts = 1024
	}
	return &Pool{config: c, hosts: make(map[prim.HostName]*hostState)}
}

// Pick chooses the candidate with the lowest estimate. Candidates to be avoided
// are chosen only if there are no others.
func (p *Pool) Pick(_ prim.Service, candidates []prim.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	first, n := 0, len(candidates)
	if n > p.config.MaxScan {
		first, n = p.config.Rand(n), p.config.MaxScan
	}
	p.ranking = p.ranking[:0]
	means := p.candidateMeans(now, candidates, first, n)
	for k := range n {
		i := (first + k) % len(candidates)
		state := p.hostState(now, candidates[i].Host.Name)
		state.lastCandidate, state.cost = now, candidates[i].Cost
		avoid, estimate := p.rankCandidate(now, state, &candidates[i], means)
		p.ranking = append(p.ranking, rankedCandidate{i, avoid, estimate})
	}
	best := p.bestIndex()
	p.hosts[candidates[best].Host.Name].recordChoice(now)
	return best
}

// bestIndex returns the index of the best candidate in the ranking, at random among
// equal ones.
func (p *Pool) bestIndex() int {
	best, ties := p.ranking[0], 1
	for _, r := range p.ranking[1:] {
		switch {
		case r.avoid != best.avoid:
			if best.avoid {
				best, ties = r, 1
			}
		case r.estimate < best.estimate:
			best, ties = r, 1
		case r.estimate == best.estimate:
			ties++
			if p.config.Rand(ties) == 0 {
				best = r
			}
		}
	}
	return best.index
}

// candidateMeans holds averages over the candidates.
type candidateMeans struct {
	latency float64 // median, in seconds; used for hosts without a known latency
	share   float64 // mean ratio of load to limit
	pending float64 // mean of this node's pending requests
}

func (p *Pool) candidateMeans(now time.Time, candidates []prim.Candidate, first, n int) (means candidateMeans) {
	var buffer [64]time.Duration
	known := buffer[:0]
	fresh := 0.0
	for k := range n {
		candidate := &candidates[(first+k)%len(candidates)]
		means.pending += float64(candidate.Pending) / float64(n)
		state := p.hosts[candidate.Host.Name]
		if state == nil || !p.isFresh(now, state) {
			continue
		}
		fresh++
		means.share += float64(state.sample.InFlight+state.sample.Queued) / float64(max(1, state.sample.Limit))
		if state.sample.Latency > 0 {
			known = append(known, state.sample.Latency)
		}
	}
	means.share /= max(1, fresh)
	if len(known) > 0 {
		slices.Sort(known)
		// The lower median, so that the slower of two hosts is not the reference.
		means.latency = known[(len(known)-1)/2].Seconds()
	}
	return means
}

func (p *Pool) isFresh(now time.Time, state *hostState) bool {
	return !state.sampledAt.IsZero() && now.Sub(state.sampledAt) <= p.config.MaxAge
}

// rankCandidate returns whether a candidate is to be avoided, and the estimated
// duration in seconds of a request there.
func (p *Pool) rankCandidate(now time.Time, state *hostState, candidate *prim.Candidate, means candidateMeans) (avoid bool, estimate float64) {
	limit, latency := 1.0, means.latency
	load := float64(candidate.Pending)
	if p.isFresh(now, state) {
		sample := &state.sample
		limit = max(1, float64(sample.Limit))
		weight := math.Exp(-float64(now.Sub(state.sampledAt)) / float64(loadDecay))
		reported := float64(sample.InFlight + sample.Queued + state.choicesSince(state.sampledAt.Add(-2*state.cost)))
		expected := means.share*limit + float64(candidate.Pending) - means.pending
		load = max(load, weight*reported+(1-weight)*expected)
		if sample.Latency > 0 {
			latency = sample.Latency.Seconds()
			if latency < minOutlierRatio*means.latency {
				latency = means.latency
			}
		}
		avoid = sample.Leaving
	}
	if state.failureShare > maxFailureShare || p.isFresh(now, state) && state.sample.Failing > maxFailureShare {
		avoid = avoid || now.Before(state.nextTrial) || candidate.Pending > 0
	}
	estimate = 2*candidate.Cost.Seconds() + latency*(1+loadWeight*load/limit)
	if load > limit-0.5 || now.Sub(state.lastRefusal) < refusalPeriod && state.lastRefusal.After(state.sampledAt) {
		estimate += hotPenalty*means.latency + latency*max(0, load+1-limit)/limit
	}
	return avoid, estimate
}

// recordChoice records that Pick chose the host.
func (s *hostState) recordChoice(now time.Time) {
	s.recentChoices[s.nextChoice] = now
	s.nextChoice = (s.nextChoice + 1) % len(s.recentChoices)
	if s.trialDelay > 0 && !now.Before(s.nextTrial) {
		s.nextTrial = now.Add(s.trialDelay)
	}
}

// choicesSince counts the recent choices from t on.
func (s *hostState) choicesSince(t time.Time) (n int) {
	for _, r := range s.recentChoices {
		if !r.Before(t) {
			n++
		}
	}
	return n
}

// hostState returns the state of a host and creates it if necessary. Beyond
// MaxHosts it evicts the host that has not been a candidate for the longest time.
func (p *Pool) hostState(now time.Time, host prim.HostName) *hostState {
	if state := p.hosts[host]; state != nil {
		return state
	}
	if len(p.hosts) >= p.config.MaxHosts {
		var name prim.HostName
		oldest := now
		for n, state := range p.hosts {
			if state.lastCandidate.Before(oldest) || name == "" {
				name, oldest = n, state.lastCandidate
			}
		}
		delete(p.hosts, name)
	}
	state := &hostState{}
	p.hosts[host] = state
	return state
}

// Observe stores the sample. Samples of hosts that were never candidates are
// ignored, so that a peer cannot exhaust the memory.
func (p *Pool) Observe(s prim.LoadSample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.hosts[s.Host]; state != nil {
		state.sample, state.sampledAt = s, p.config.Now()
	}
}

// AttemptFinished updates the failure and refusal state of the attempt's host.
func (p *Pool) AttemptFinished(a prim.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.hosts[a.Host]
	if state == nil {
		return
	}
	now := p.config.Now()
	switch {
	case a.Failed || a.Reset:
		state.failureShare += (1 - state.failureShare) / 4
		if state.failureShare > maxFailureShare {
			state.trialDelay = min(max(2*state.trialDelay, minTrialDelay), maxTrialDelay)
			state.nextTrial = now.Add(state.trialDelay)
		}
	case a.Outcome == prim.NotRun:
		state.lastRefusal = now
	case a.Outcome == prim.Done:
		state.failureShare -= state.failureShare / 4
		state.nextTrial = time.Time{}
		if state.failureShare <= maxFailureShare {
			state.trialDelay = 0
		}
	}
}

// Forget discards all samples, for example after a pause of this process.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.hosts {
		state.sampledAt = time.Time{}
	}
}

// Stale returns up to n hosts that were candidates within the last MaxAge and
// whose sample is older than age, oldest samples first.
func (p *Pool) Stale(n int, age time.Duration) []prim.HostName {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	var names []prim.HostName
	for host, state := range p.hosts {
		if now.Sub(state.lastCandidate) <= p.config.MaxAge && now.Sub(state.sampledAt) > age {
			names = append(names, host)
		}
	}
	slices.SortFunc(names, func(a, b prim.HostName) int {
		if c := p.hosts[a].sampledAt.Compare(p.hosts[b].sampledAt); c != 0 {
			return c
		}
		return strings.Compare(string(a), string(b))
	})
	return names[:min(n, len(names))]
}
