// Package route chooses the host that a request is sent to.
//
// The random, round robin and least in flight policies are the baselines that
// the pool policy is measured against. They look at no load samples. The pool
// policy, in pool.go, is the default.
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
	NameLeast      = "LeastOfTwo"
	NamePool       = "Pool"
	// DefaultName is the policy that is used when no flag names one.
	DefaultName = NamePool
)

// Names lists every policy, baselines first.
var Names = [...]string{NameRandom, NameRoundRobin, NameLeast, NamePool}

// Source gives a uniform random integer in [0, n). It must be safe for
// concurrent use. A nil Source means math/rand/v2.
type Source func(n int) int

// Config configures a policy that is made by its name.
type Config struct {
	Rand Source
	// Pool configures the pool policy. Its Rand is replaced by the one above.
	Pool PoolConfig
}

// New makes the policy of the given name.
func New(name string, c Config) (prim.Policy, error) {
	switch name {
	case NameRandom:
		return NewRandom(RandomConfig{Rand: c.Rand}), nil
	case NameRoundRobin:
		return NewRoundRobin(RoundRobinConfig{Rand: c.Rand}), nil
	case NameLeast:
		return NewLeast(LeastConfig{Rand: c.Rand}), nil
	case NamePool:
		c.Pool.Rand = c.Rand
		return NewPool(c.Pool), nil
	}
	return nil, fmt.Errorf("route: unknown policy %q; use one of %s", name, strings.Join(Names[:], ", "))
}

// blind is the part of a policy that learns nothing.
type blind struct{}

// Observe does nothing.
func (blind) Observe(prim.Sample) {}

// Finished does nothing.
func (blind) Finished(prim.Attempt) {}

// RandomConfig configures Random.
type RandomConfig struct{ Rand Source }

// Random chooses uniformly, without regard to distance.
type Random struct {
	blind
	rand Source
}

// NewRandom makes a Random policy.
func NewRandom(c RandomConfig) *Random { return &Random{rand: orDefault(c.Rand)} }

// Pick chooses uniformly among the candidates.
func (r *Random) Pick(_ prim.Service, cs []prim.Candidate) int { return r.rand(len(cs)) }

// RoundRobinConfig configures RoundRobin.
type RoundRobinConfig struct{ Rand Source }

// RoundRobin takes the candidates of each service in turn. Each service starts
// at a random place, so that nodes that start together do not move in step.
type RoundRobin struct {
	blind
	rand Source
	mu   sync.Mutex
	next map[prim.Service]uint64
}

// NewRoundRobin makes a RoundRobin policy.
func NewRoundRobin(c RoundRobinConfig) *RoundRobin {
	return &RoundRobin{rand: orDefault(c.Rand), next: make(map[prim.Service]uint64)}
}

// Pick chooses the candidate after the previous one.
func (r *RoundRobin) Pick(s prim.Service, cs []prim.Candidate) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.next[s]
	if !ok {
		n = uint64(r.rand(1 << 16))
	}
	r.next[s] = n + 1
	return int(n % uint64(len(cs)))
}

// LeastConfig configures Least.
type LeastConfig struct{ Rand Source }

// Least chooses, of two random candidates, the one with fewer of this node's
// own requests in flight, and of equal ones the nearer.
type Least struct {
	blind
	rand Source
}

// NewLeast makes a Least policy.
func NewLeast(c LeastConfig) *Least { return &Least{rand: orDefault(c.Rand)} }

// Pick compares two different random candidates.
func (l *Least) Pick(_ prim.Service, cs []prim.Candidate) int {
	if len(cs) == 1 {
		return 0
	}
	a := l.rand(len(cs))
	b := l.rand(len(cs) - 1)
	if b >= a {
		b++
	}
	if cs[b].Pending < cs[a].Pending || cs[b].Pending == cs[a].Pending && cs[b].Cost < cs[a].Cost {
		return b
	}
	return a
}

func orDefault(s Source) Source {
	if s == nil {
		return rand.IntN
	}
	return s
}

func orNow(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
