// Package route implements the load balancing policies, which choose the host
// that a request is sent to.
//
// The pool policy, in pool.go, is the default. The random, round robin and least
// of two policies are the baselines that it is measured against; they use no load
// samples.
package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The names by which a flag selects a policy.
const (
	NameRandom     = "Random"
	NameRoundRobin = "RoundRobin"
	NameLeastOfTwo = "LeastOfTwo"
	NamePool       = "Pool"
	// DefaultName is the policy that is used when no flag names one.
	DefaultName = NamePool
)

// Names lists every policy, baselines first.
var Names = [...]string{NameRandom, NameRoundRobin, NameLeastOfTwo, NamePool}

// Source returns a uniform random integer in [0, n). It must be safe for
// concurrent use. A nil Source means rand.IntN of math/rand/v2.
type Source func(n int) int

// Config configures the policy that New returns.
type Config struct {
	Rand Source
	// Pool configures the pool policy. Its Rand is ignored in favour of the Rand
	// of this Config.
	Pool PoolConfig
}

// New returns the policy of the given name.
func New(name string, c Config) (prim.Policy, error) {
	switch name {
	case NameRandom:
		return NewRandom(RandomConfig{Rand: c.Rand}), nil
	case NameRoundRobin:
		return NewRoundRobin(RoundRobinConfig{Rand: c.Rand}), nil
	case NameLeastOfTwo:
		return NewLeastOfTwo(LeastOfTwoConfig{Rand: c.Rand}), nil
	case NamePool:
		c.Pool.Rand = c.Rand
		return NewPool(c.Pool), nil
	}
	return nil, fmt.Errorf("route: unknown policy %q; use one of %s", name, strings.Join(Names[:], ", "))
}

// noFeedback is embedded by policies that use neither samples nor results.
type noFeedback struct{}

// Observe does nothing.
func (noFeedback) Observe(prim.LoadSample) {}

// AttemptFinished does nothing.
func (noFeedback) AttemptFinished(prim.Attempt) {}

// RandomConfig configures Random.
type RandomConfig struct{ Rand Source }

// Random chooses uniformly, regardless of network cost.
type Random struct {
	noFeedback
	rand Source
}

// NewRandom returns a Random policy.
func NewRandom(c RandomConfig) *Random { return &Random{rand: defaultSource(c.Rand)} }

// Pick chooses uniformly among the candidates.
func (r *Random) Pick(_ prim.Service, candidates []prim.Candidate) int {
	return r.rand(len(candidates))
}

// RoundRobinConfig configures RoundRobin.
type RoundRobinConfig struct{ Rand Source }

// RoundRobin takes the candidates of each service in turn. Each service starts
// at a random index, so that nodes that start together are not synchronized.
type RoundRobin struct {
	noFeedback
	rand Source
	mu   sync.Mutex
	next map[prim.Service]uint64
}

// NewRoundRobin returns a RoundRobin policy.
func NewRoundRobin(c RoundRobinConfig) *RoundRobin {
	return &RoundRobin{rand: defaultSource(c.Rand), next: make(map[prim.Service]uint64)}
}

// Pick chooses the candidate after the previous one.
func (r *RoundRobin) Pick(service prim.Service, candidates []prim.Candidate) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.next[service]
	if !ok {
		n = uint64(r.rand(1 << 16))
	}
	r.next[service] = n + 1
	return int(n % uint64(len(candidates)))
}

// LeastOfTwoConfig configures LeastOfTwo.
type LeastOfTwoConfig struct{ Rand Source }

// LeastOfTwo chooses, of two random candidates, the one with fewer requests of this
// node in flight, or the nearer one if they are equal.
type LeastOfTwo struct {
	noFeedback
	rand Source
}

// NewLeastOfTwo returns a LeastOfTwo policy.
func NewLeastOfTwo(c LeastOfTwoConfig) *LeastOfTwo { return &LeastOfTwo{rand: defaultSource(c.Rand)} }

// Pick compares two distinct random candidates.
func (l *LeastOfTwo) Pick(_ prim.Service, candidates []prim.Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	a := l.rand(len(candidates))
	b := l.rand(len(candidates) - 1)
	if b >= a {
		b++
	}
	if candidates[b].Pending < candidates[a].Pending || candidates[b].Pending == candidates[a].Pending && candidates[b].Cost < candidates[a].Cost {
		return b
	}
	return a
}

func defaultSource(s Source) Source {
	if s == nil {
		return rand.IntN
	}
	return s
}

func defaultClock(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
