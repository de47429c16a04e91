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

// clock is a time that tests set.
type clock struct{ now time.Time }

func candidates(n int, cost time.Duration) []prim.Candidate {
	cs := make([]prim.Candidate, n)
	for i := range cs {
		cs[i] = prim.Candidate{Host: &prim.Host{Name: prim.HostName(fmt.Sprint("h", i))}, Cost: cost}
	}
	return cs
}

func idle(h prim.HostName) prim.Sample {
	return prim.Sample{Host: h, InFlight: 2, Limit: 9, Latency: 10 * time.Millisecond}
}

func newTestPool(seed uint64) (*Pool, *clock) {
	c := &clock{now: time.Unix(1e9, 0)}
	r := rand.New(rand.NewPCG(seed, 1))
	return NewPool(PoolConfig{Rand: r.IntN, Now: func() time.Time { return c.now }, MaxHosts: 80}), c
}

// Guards against a choice outside the candidates, for any policy, number of
// candidates and order of events, and against memory that grows with the hosts.
func TestPickIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p, err := New(rapid.SampledFrom(Names[:]).Draw(t, "policy"), Config{Rand: r.IntN, Pool: PoolConfig{MaxHosts: 80}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := New("Nearest", Config{}); err == nil {
			t.Fatal("an unknown policy name was accepted")
		}
		for range 30 {
			cs := candidates(rapid.IntRange(1, 200).Draw(t, "n"), time.Millisecond)
			cs = cs[r.IntN(len(cs)):]
			i := p.Pick("s", cs)
			if i < 0 || i >= len(cs) {
				t.Fatalf("picked %d of %d", i, len(cs))
			}
			h := cs[i].Host.Name
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.Observe(prim.Sample{Host: h, InFlight: rapid.IntRange(0, 9).Draw(t, "load"), Limit: rapid.IntRange(0, 9).Draw(t, "limit")})
			case 1:
				p.Finished(prim.Attempt{Host: h, Failed: rapid.Bool().Draw(t, "failed"), Outcome: prim.Done})
			case 2:
				p.Finished(prim.Attempt{Host: h, Outcome: prim.NotRun})
			}
			if q, ok := p.(*Pool); ok && len(q.hosts) > 80 {
				t.Fatalf("%d hosts kept", len(q.hosts))
			}
		}
	})
}

// Guards against the same host and the same data centre being passed over when
// they are as good, and against staying there when they are clearly worse.
func TestPoolPrefersNearHosts(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(4, 3*time.Millisecond)
	cs[1].Cost, cs[2].Cost = 0, 200*time.Microsecond
	p.Pick("s", cs)
	c.now = c.now.Add(time.Millisecond)
	for _, k := range cs {
		p.Observe(idle(k.Host.Name))
	}
	is.Equal(p.Pick("s", cs), 1)
	c.now = c.now.Add(time.Millisecond)
	noise := idle("h1")
	noise.Latency = 20 * time.Millisecond
	p.Observe(noise)
	is.Equal(p.Pick("s", cs), 1)
	slow := idle("h1")
	slow.Latency = 100 * time.Millisecond
	p.Observe(slow)
	is.Equal(p.Pick("s", cs), 2)
	full := idle("h2")
	full.InFlight = 9
	p.Observe(full)
	is.True(p.Pick("s", cs)%3 == 0)
}

// Guards against a burst of this node's requests going to one host because its
// sample does not show them yet.
func TestPoolCountsOwnRequests(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(3, 0)
	p.Pick("s", cs)
	c.now = c.now.Add(time.Millisecond)
	for _, k := range cs {
		p.Observe(prim.Sample{Host: k.Host.Name, Limit: 4, Latency: 10 * time.Millisecond})
	}
	got := make([]int, 3)
	for range 12 {
		got[p.Pick("s", cs)]++
	}
	is.Equal(got, []int{4, 4, 4})
}

// Guards against an old sample's load being taken for the present one.
func TestPoolForgetsOldLoad(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(3, time.Millisecond)
	cs[0].Cost = 0
	p.Pick("s", cs)
	full := idle("h0")
	full.InFlight = 9
	p.Observe(full)
	p.Observe(idle("h2"))
	is.True(p.Pick("s", cs) != 0)
	c.now = c.now.Add(10 * decay)
	p.Observe(idle("h1"))
	is.Equal(p.Pick("s", cs), 0)
}

// Guards against a leaving host or one that refused being chosen while another
// has a free slot.
func TestPoolAvoids(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(2, 0)
	cs[1].Cost = 5 * time.Millisecond
	p.Pick("s", cs)
	leaving := idle("h0")
	leaving.Leaving = true
	p.Observe(leaving)
	p.Observe(idle("h1"))
	is.Equal(p.Pick("s", cs), 1)
	p.Observe(idle("h0"))
	is.Equal(p.Pick("s", cs), 0)
	c.now = c.now.Add(time.Millisecond)
	p.Finished(prim.Attempt{Host: "h0", Outcome: prim.NotRun})
	is.Equal(p.Pick("s", cs), 1)
}

// Guards against a slow host being given up for ever: once its sample is too
// old it gets one request at a time.
func TestPoolTriesSlowHostAgain(t *testing.T) {
	is := is.New(t)
	p, c := newTestPool(1)
	cs := candidates(2, 0)
	p.Pick("s", cs)
	slow := idle("h0")
	slow.Latency = time.Second
	p.Observe(slow)
	p.Observe(idle("h1"))
	is.Equal(p.Pick("s", cs), 1)
	c.now = c.now.Add(3 * time.Second)
	p.Observe(idle("h1"))
	is.Equal(p.Pick("s", cs), 0)
	cs[0].Pending = 1
	is.Equal(p.Pick("s", cs), 1)
}

// Guards against a host that fails fast attracting requests by its low latency
// and load, with and without samples of its owner.
func TestFailFastShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, c := newTestPool(rapid.Uint64().Draw(t, "seed"))
		samples := rapid.Bool().Draw(t, "samples")
		bad := rapid.IntRange(0, 4).Draw(t, "bad")
		cs := candidates(5, 200*time.Microsecond)
		type end struct {
			at time.Time
			i  int
		}
		var ends []end
		failed := 0
		const n = 2000
		for range n {
			c.now = c.now.Add(time.Millisecond)
			for len(ends) > 0 && !ends[0].at.After(c.now) {
				i := ends[0].i
				ends = ends[1:]
				cs[i].Pending--
				s := idle(cs[i].Host.Name)
				if i == bad {
					s.Latency, s.InFlight, s.Failing = time.Millisecond, 0, 0.9
				}
				if samples {
					p.Observe(s)
				}
				p.Finished(prim.Attempt{Host: s.Host, Outcome: prim.Done, Failed: i == bad})
			}
			i := p.Pick("s", cs)
			cs[i].Pending++
			if i == bad {
				failed++
			}
			ends = append(ends, end{c.now.Add(10 * time.Millisecond), i})
		}
		if failed > n/100 {
			t.Fatalf("%d of %d requests went to the failing host", failed, n)
		}
	})
}
