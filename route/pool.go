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
// of the network time both ways, the latency that the owner reports, increased
// with the share of the limit in use, and for a hot host, one without a free
// slot, the wait for one. The hot/cold threshold is that of Prequal, with the
// owner's limit in the place of a quantile of the load. A hot host only gets a
// surcharge, because a hot host of ordinary speed still beats a slow one that
// has a slot free. The shortest estimate wins, so a nearer host comes first
// until it is slower by more than the network path to another.
//
// Two things keep nodes from following noise. A latency below clearlyWorse times
// the median counts as the median. The load in a sample counts less the older it
// is; in its place comes the mean of all hosts, corrected by this node's own
// pending requests. To a sample are added the requests that this node sent too
// late to be counted in it.
//
// Hosts that leave or fail are avoided: they are chosen only if no others are
// candidates. A failing host is tried again after a delay that doubles with each
// failed trial. A host that gets no requests produces no latency; when its last
// one is too old, the median stands in, and it gets requests up to its limit.

// PoolConfig configures Pool. Zero fields take the defaults.
type PoolConfig struct {
	Rand Source
	// Now gives the time. It is time.Now unless a measurement runs on a
	// virtual clock.
	Now func() time.Time
	// MaxAge is the age beyond which a sample is not used. Default 2 s.
	MaxAge time.Duration
	// MaxScan bounds how many candidates a choice looks at. Default 64.
	MaxScan int
	// MaxHosts bounds the hosts that samples are kept of. Default 1024.
	MaxHosts int
}

// Bounds of the trial delay of a failing host.
const (
	minTrialDelay = 500 * time.Millisecond
	maxTrialDelay = 8 * time.Second
)

// failingShare is the share of failed requests above which a host is avoided.
// Ordinary servers fail in less than one of ten requests.
const failingShare = 0.1

// refusedFor is how long a refusal without a sample marks a host as hot. It
// is of the order of one service time, after which a slot has been freed.
const refusedFor = 5 * time.Millisecond

// The constants of the estimate, by the figures in
// docs/decisions/target-choice.md.
const (
	// clearlyWorse is the multiple of the median latency that is not noise.
	clearlyWorse = 3
	// loadWeight is the increase of the latency at the full limit. A larger one
	// spreads requests over more distant hosts.
	loadWeight = 0.5
	// hotWait is the surcharge of a hot host in median latencies.
	hotWait = 2
	// decay is the age at which the load in a sample counts by 1/e. It is of the
	// order of two service times, after which most requests have changed.
	decay = 20 * time.Millisecond
)

// Pool is the pool policy. It is safe for concurrent use.
type Pool struct {
	c     PoolConfig
	mu    sync.Mutex
	hosts map[prim.HostName]*entry
	ranks []rank // scratch space of Pick
}

// entry is what is known about one host.
type entry struct {
	sample  prim.Sample
	at      time.Time // arrival of the sample, zero if there is none
	used    time.Time // last time it was a candidate
	cost    time.Duration
	recent  [16]time.Time // times of this node's last choices of the host
	next    int
	refused time.Time     // last refusal
	failing float64       // moving share of this node's failed attempts
	delay   time.Duration // between trials while failing
	trial   time.Time     // earliest next trial while failing
}

type rank struct {
	index int
	avoid bool
	score float64 // seconds
}

// NewPool makes a Pool policy.
func NewPool(c PoolConfig) *Pool {
	c.Rand, c.Now = orDefault(c.Rand), orNow(c.Now)
	if c.MaxAge == 0 {
		c.MaxAge = 2 * time.Second
	}
	if c.MaxScan == 0 {
		c.MaxScan = 64
	}
	if c.MaxHosts == 0 {
		c.MaxHosts = 1024
	}
	return &Pool{c: c, hosts: make(map[prim.HostName]*entry)}
}

// Pick chooses the candidate with the shortest estimate, if possible one that is
// not to be avoided.
func (p *Pool) Pick(_ prim.Service, cs []prim.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.Now()
	first, n := 0, len(cs)
	if n > p.c.MaxScan {
		first, n = p.c.Rand(n), p.c.MaxScan
	}
	p.ranks = p.ranks[:0]
	all := p.fleet(now, cs, first, n)
	for k := range n {
		i := (first + k) % len(cs)
		e := p.entry(now, cs[i].Host.Name)
		e.used, e.cost = now, cs[i].Cost
		avoid, score := p.rank(now, e, &cs[i], all)
		p.ranks = append(p.ranks, rank{i, avoid, score})
	}
	best := p.choose()
	p.hosts[cs[best].Host.Name].chosen(now)
	return best
}

// choose returns the index of the best rank; of equal ones a random one.
func (p *Pool) choose() int {
	best, ties := p.ranks[0], 1
	for _, r := range p.ranks[1:] {
		switch {
		case r.avoid != best.avoid:
			if best.avoid {
				best, ties = r, 1
			}
		case r.score < best.score:
			best, ties = r, 1
		case r.score == best.score:
			ties++
			if p.c.Rand(ties) == 0 {
				best = r
			}
		}
	}
	return best.index
}

// fleet is what the candidates have in common.
type fleet struct {
	latency float64 // median, in seconds; stands in for an unknown one
	share   float64 // mean of load to limit
	pending float64 // mean
}

func (p *Pool) fleet(now time.Time, cs []prim.Candidate, first, n int) (f fleet) {
	var ls [64]time.Duration
	known := ls[:0]
	fresh := 0.0
	for k := range n {
		c := &cs[(first+k)%len(cs)]
		f.pending += float64(c.Pending) / float64(n)
		e := p.hosts[c.Host.Name]
		if e == nil || !p.fresh(now, e) {
			continue
		}
		fresh++
		f.share += float64(e.sample.InFlight+e.sample.Queued) / float64(max(1, e.sample.Limit))
		if e.sample.Latency > 0 {
			known = append(known, e.sample.Latency)
		}
	}
	f.share /= max(1, fresh)
	if len(known) > 0 {
		slices.Sort(known)
		// The lower median: of two hosts the slow one must not be the measure.
		f.latency = known[(len(known)-1)/2].Seconds()
	}
	return f
}

func (p *Pool) fresh(now time.Time, e *entry) bool {
	return !e.at.IsZero() && now.Sub(e.at) <= p.c.MaxAge
}

// rank returns whether a candidate is to be avoided, and the estimated duration
// of a request there.
func (p *Pool) rank(now time.Time, e *entry, c *prim.Candidate, f fleet) (avoid bool, score float64) {
	limit, latency := 1.0, f.latency
	load := float64(c.Pending)
	if p.fresh(now, e) {
		s := &e.sample
		limit = max(1, float64(s.Limit))
		weight := math.Exp(-float64(now.Sub(e.at)) / float64(decay))
		seen := float64(s.InFlight + s.Queued + e.since(e.at.Add(-2*e.cost)))
		usual := f.share*limit + float64(c.Pending) - f.pending
		load = max(load, weight*seen+(1-weight)*usual)
		if s.Latency > 0 {
			latency = s.Latency.Seconds()
			if latency < clearlyWorse*f.latency {
				latency = f.latency
			}
		}
		avoid = s.Leaving
	}
	if e.failing > failingShare || p.fresh(now, e) && e.sample.Failing > failingShare {
		avoid = avoid || now.Before(e.trial) || c.Pending > 0
	}
	score = 2*c.Cost.Seconds() + latency*(1+loadWeight*load/limit)
	if load > limit-0.5 || now.Sub(e.refused) < refusedFor && e.refused.After(e.at) {
		score += hotWait*f.latency + latency*max(0, load+1-limit)/limit
	}
	return avoid, score
}

// chosen records a choice of the host.
func (e *entry) chosen(now time.Time) {
	e.recent[e.next] = now
	e.next = (e.next + 1) % len(e.recent)
	if e.delay > 0 && !now.Before(e.trial) {
		e.trial = now.Add(e.delay)
	}
}

// since counts the recent choices from t on.
func (e *entry) since(t time.Time) (n int) {
	for _, r := range e.recent {
		if !r.Before(t) {
			n++
		}
	}
	return n
}

// entry returns the entry of a host. Beyond MaxHosts it drops the one that was
// not a candidate for the longest time.
func (p *Pool) entry(now time.Time, h prim.HostName) *entry {
	if e := p.hosts[h]; e != nil {
		return e
	}
	if len(p.hosts) >= p.c.MaxHosts {
		var name prim.HostName
		oldest := now
		for n, e := range p.hosts {
			if e.used.Before(oldest) || name == "" {
				name, oldest = n, e.used
			}
		}
		delete(p.hosts, name)
	}
	e := &entry{}
	p.hosts[h] = e
	return e
}

// Observe keeps the sample. Samples of hosts that were never candidates are
// ignored, so that a peer cannot fill the memory.
func (p *Pool) Observe(s prim.Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.hosts[s.Host]; e != nil {
		e.sample, e.at = s, p.c.Now()
	}
}

// Finished counts failures and refusals.
func (p *Pool) Finished(a prim.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.hosts[a.Host]
	if e == nil {
		return
	}
	now := p.c.Now()
	switch {
	case a.Failed || a.Reset:
		e.failing += (1 - e.failing) / 4
		if e.failing > failingShare {
			e.delay = min(max(2*e.delay, minTrialDelay), maxTrialDelay)
			e.trial = now.Add(e.delay)
		}
	case a.Outcome == prim.NotRun:
		e.refused = now
	case a.Outcome == prim.Done:
		e.failing -= e.failing / 4
		e.trial = time.Time{}
		if e.failing <= failingShare {
			e.delay = 0
		}
	}
}

// Forget drops all samples, for example after this process was paused.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.hosts {
		e.at = time.Time{}
	}
}

// Stale returns up to n hosts that were candidates lately and whose sample is
// older than age, the oldest samples first.
func (p *Pool) Stale(n int, age time.Duration) []prim.HostName {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.Now()
	var names []prim.HostName
	for h, e := range p.hosts {
		if now.Sub(e.used) <= p.c.MaxAge && now.Sub(e.at) > age {
			names = append(names, h)
		}
	}
	slices.SortFunc(names, func(a, b prim.HostName) int {
		if c := p.hosts[a].at.Compare(p.hosts[b].at); c != 0 {
			return c
		}
		return strings.Compare(string(a), string(b))
	})
	return names[:min(n, len(names))]
}
