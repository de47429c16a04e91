package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// clock is a virtual clock that tests set.
type clock struct{ now time.Time }

func candidates(n int, cost time.Duration) []prim.Candidate {
	cs := make([]prim.Candidate, n)
	for i := range cs {
		cs[i] = prim.Candidate{Host: &prim.Host{Name: prim.HostName(fmt.Sprint("h", i))}, Cost: cost}
	}
	return cs
}

func lightLoad(h prim.HostName) prim.LoadSample {
	return prim.LoadSample{Host: h, InFlight: 2, Limit: 9, Latency: 10 * time.Millisecond}
}

func newTestPool(seed uint64) (*Pool, *clock) {
	c := &clock{now: time.Unix(1e9, 0)}
	random := rand.New(rand.NewPCG(seed, 1))
	return NewPool(PoolConfig{Rand: random.IntN, Now: func() time.Time { return c.now }, MaxHosts: 80}), c
}

// Guards against an index out of range, for any policy, number of candidates and
// order of events, and against state that grows without bound with the hosts.
func TestPickIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p, err := New(rapid.SampledFrom(Names[:]).Draw(t, "policy"), Config{Rand: random.IntN, Pool: PoolConfig{MaxHosts: 80}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := New("Nearest", Config{}); err == nil {
			t.Fatal("an unknown policy name was accepted")
		}
		for range 30 {
			hosts := candidates(rapid.IntRange(1, 200).Draw(t, "n"), time.Millisecond)
			hosts = hosts[random.IntN(len(hosts)):]
			i := p.Pick("s", hosts)
			if i < 0 || i >= len(hosts) {
				t.Fatalf("picked %d of %d", i, len(hosts))
			}
			h := hosts[i].Host.Name
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.Observe(prim.LoadSample{Host: h, InFlight: rapid.IntRange(0, 9).Draw(t, "load"), Limit: rapid.IntRange(0, 9).Draw(t, "limit")})
			case 1:
				p.AttemptFinished(prim.Attempt{Host: h, Failed: rapid.Bool().Draw(t, "failed"), Outcome: prim.Done})
			case 2:
				p.AttemptFinished(prim.Attempt{Host: h, Outcome: prim.NotRun})
			}
			if q, ok := p.(*Pool); ok && len(q.hosts) > 80 {
				t.Fatalf("%d hosts kept", len(q.hosts))
			}
		}
	})
}

// Guards against ignoring this host and this data centre when they are as good
// as others, and against preferring them when they are clearly worse.
func TestPoolPrefersNearHosts(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(4, 3*time.Millisecond)
	cs[1].Cost, cs[2].Cost = 0, 200*time.Microsecond
	p.Pick("s", cs)
	c.now = c.now.Add(time.Millisecond)
	for _, candidate := range cs {
		p.Observe(lightLoad(candidate.Host.Name))
	}
	is.Equal(p.Pick("s", cs), 1)
	c.now = c.now.Add(time.Millisecond)
	noise := lightLoad("h1")
	noise.Latency = 20 * time.Millisecond
	p.Observe(noise)
	is.Equal(p.Pick("s", cs), 1)
	slow := lightLoad("h1")
	slow.Latency = 100 * time.Millisecond
	p.Observe(slow)
	is.Equal(p.Pick("s", cs), 2)
	full := lightLoad("h2")
	full.InFlight = 9
	p.Observe(full)
	is.True(p.Pick("s", cs)%3 == 0)
}

// Guards against a burst of this node's requests going to a single host whose
// sample does not count them yet.
func TestPoolCountsOwnRequests(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(3, 0)
	p.Pick("s", cs)
	c.now = c.now.Add(time.Millisecond)
	for _, candidate := range cs {
		p.Observe(prim.LoadSample{Host: candidate.Host.Name, Limit: 4, Latency: 10 * time.Millisecond})
	}
	got := make([]int, 3)
	for range 12 {
		got[p.Pick("s", cs)]++
	}
	is.Equal(got, []int{4, 4, 4})
}

// Guards against treating the load in an old sample as the current load.
func TestPoolForgetsOldLoad(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(3, time.Millisecond)
	cs[0].Cost = 0
	p.Pick("s", cs)
	full := lightLoad("h0")
	full.InFlight = 9
	p.Observe(full)
	p.Observe(lightLoad("h2"))
	is.True(p.Pick("s", cs) != 0)
	c.now = c.now.Add(10 * loadDecay)
	p.Observe(lightLoad("h1"))
	is.Equal(p.Pick("s", cs), 0)
}

// Guards against choosing a host that is leaving or has just refused while another
// has a free slot.
func TestPoolAvoidsLeavingAndRefusingHosts(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(2, 0)
	cs[1].Cost = 5 * time.Millisecond
	p.Pick("s", cs)
	leaving := lightLoad("h0")
	leaving.Leaving = true
	p.Observe(leaving)
	p.Observe(lightLoad("h1"))
	is.Equal(p.Pick("s", cs), 1)
	p.Observe(lightLoad("h0"))
	is.Equal(p.Pick("s", cs), 0)
	c.now = c.now.Add(time.Millisecond)
	p.AttemptFinished(prim.Attempt{Host: "h0", Outcome: prim.NotRun})
	is.Equal(p.Pick("s", cs), 1)
}

// Guards against never using a slow host again: once its sample is too old, it
// gets one request at a time.
func TestPoolTriesSlowHostAgain(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(2, 0)
	p.Pick("s", cs)
	slow := lightLoad("h0")
	slow.Latency = time.Second
	p.Observe(slow)
	p.Observe(lightLoad("h1"))
	is.Equal(p.Pick("s", cs), 1)
	c.now = c.now.Add(3 * time.Second)
	p.Observe(lightLoad("h1"))
	is.Equal(p.Pick("s", cs), 0)
	cs[0].Pending = 1
	is.Equal(p.Pick("s", cs), 1)
}

// Guards against a host that fails fast and attracts requests by its low latency
// and load, with and without samples from its owner.
func TestFailFastHostGetsFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, c := newTestPool(rapid.Uint64().Draw(t, "seed"))
		samples := rapid.Bool().Draw(t, "samples")
		failing := rapid.IntRange(0, 4).Draw(t, "bad")
		cs := candidates(5, 200*time.Microsecond)
		type end struct {
			at    time.Time
			index int
		}
		var inFlight []end
		failed := 0
		const n = 2000
		for range n {
			c.now = c.now.Add(time.Millisecond)
			for len(inFlight) > 0 && !inFlight[0].at.After(c.now) {
				index := inFlight[0].index
				inFlight = inFlight[1:]
				cs[index].Pending--
				s := lightLoad(cs[index].Host.Name)
				if index == failing {
					s.Latency, s.InFlight, s.Failing = time.Millisecond, 0, 0.9
				}
				if samples {
					p.Observe(s)
				}
				p.AttemptFinished(prim.Attempt{Host: s.Host, Outcome: prim.Done, Failed: index == failing})
			}
			index := p.Pick("s", cs)
			cs[index].Pending++
			if index == failing {
				failed++
			}
			inFlight = append(inFlight, end{c.now.Add(10 * time.Millisecond), index})
		}
		if failed > n/100 {
			t.Fatalf("%d of %d requests went to the failing host", failed, n)
		}
	})
}
