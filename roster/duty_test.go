package roster

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// group starts rosters that hear from each other, as samples would carry it. A
// silenced one is not heard.
func group(t *testing.T, g *registry, n int) (rosters []*Roster, silenced []atomic.Bool) {
	ctx, cancel := context.WithCancel(t.Context())
	silenced = make([]atomic.Bool, n)
	var ended []<-chan error
	for i := range n {
		id := fmt.Sprint("i-", i)
		g.put(id, false)
		r := New(Config{Host: prim.HostName("host-" + id), DataCentre: "a"})
		rosters = append(rosters, r)
		ended = append(ended, r.Follow(ctx, g, republished))
	}
	spread := make(chan struct{})
	go func(ctx context.Context) {
		defer close(spread)
		for ctx.Err() == nil {
			now := time.Now()
			for i, from := range rosters {
				s := from.Stamp(now, prim.Sample{})
				for j, to := range rosters {
					if i == j || silenced[i].Load() || silenced[j].Load() {
						continue
					}
					if to.Heard(now, from.c.Host, s) {
						q := to.question()
						to.adopt(from.since(q), "test")
					}
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}(ctx)
	t.Cleanup(func() {
		cancel()
		<-spread
		for _, e := range ended {
			<-e
		}
	})
	return rosters, silenced
}

func reading(rosters []*Roster) (n int) {
	for _, r := range rosters {
		if r.Stamp(time.Now(), prim.Sample{}).Reading {
			n++
		}
	}
	return n
}

// Guards against every node following the registry, and against changes that the
// others miss when all readers are gone at once.
func TestFewRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, silenced := group(t, g, 20)
		time.Sleep(10 * time.Second)
		is.Equal(reading(rosters), readers(20))
		calls := g.count()
		time.Sleep(60 * time.Second)
		is.True(g.count()-calls < 60) // about one a second, whatever the number of nodes
		for version := uint64(2); version < 5; version++ {
			gone := 0
			for i, r := range rosters {
				if r.Stamp(time.Now(), prim.Sample{}).Reading {
					silenced[i].Store(true)
					gone++
				}
			}
			is.True(gone > 0)
			g.route(version)
			time.Sleep(hearFor + 3*dutyEvery + 200*time.Millisecond)
			for _, r := range rosters {
				is.Equal(r.Placement().Routing.Version, version)
			}
			for i := range silenced {
				silenced[i].Store(false)
			}
			time.Sleep(5 * time.Second)
			is.Equal(reading(rosters), readers(20))
		}
	})
}

// Guards against a fleet that calls a registry which is down as often as it has
// nodes, and against nodes that notice its return late.
func TestOutageIsTriedByFew(t *testing.T) {
	for _, n := range []int{3, 3, 3, 3, 20} {
		synctest.Test(t, func(t *testing.T) { testOutage(t, n) })
	}
}

func testOutage(t *testing.T, n int) {
	is := is.New(t)
	g := newRegistry()
	rosters, silenced := group(t, g, n)
	time.Sleep(10 * time.Second)
	g.fail(errors.New("down"))
	calls := g.count()
	time.Sleep(10 * time.Second)
	is.True(g.count()-calls < 120) // 20 nodes that try every 1.6 s at most make 200 and more
	g.fail(nil)
	g.route(2)
	time.Sleep(maxRetry + 400*time.Millisecond)
	for _, r := range rosters {
		is.Equal(r.Placement().Routing.Version, uint64(2))
	}
	// Nodes that had given up trying are ready to take over again.
	for i, r := range rosters {
		silenced[i].Store(r.Stamp(time.Now(), prim.Sample{}).Reading)
	}
	g.route(3)
	time.Sleep(hearFor + 3*dutyEvery + 200*time.Millisecond)
	for _, r := range rosters {
		is.Equal(r.Placement().Routing.Version, uint64(3))
	}
}

// Guards against readers that all nodes of a large data centre link to, and against
// nodes that listen to too few.
func TestListenersAreSpread(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	const hosts = 320
	for i := range hosts {
		g.put(fmt.Sprint("i-", i), false)
	}
	s, at, _ := g.Read(context.Background())
	listeners := make(map[prim.HostName]int)
	first := 0
	for i := range hosts {
		r := New(Config{Host: prim.HostName(fmt.Sprint("host-i-", i)), DataCentre: "a"})
		r.applyAll(epoch, s, at)
		is.Equal(len(r.Readers()), listenTo)
		for _, h := range r.Readers() {
			listeners[h]++
		}
		if r.ranked().first {
			first++
		}
	}
	is.Equal(first, readers(hosts))
	is.Equal(len(listeners), readers(hosts))
	for _, n := range listeners {
		is.True(n <= listenTo*(hosts/readers(hosts)+1))
	}
}

// Guards against a node that relies on others and goes on with its server after the
// server's entry was removed.
func TestOwnRemovalIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, _ := group(t, g, 20)
		time.Sleep(10 * time.Second)
		for i, r := range rosters {
			if r.Stamp(time.Now(), prim.Sample{}).Reading {
				continue
			}
			id := fmt.Sprint("i-", i)
			g.drop(id)
			time.Sleep(watchGap + 3*dutyEvery + 400*time.Millisecond)
			is.True(r.Placement().Entry(id) == nil)
			return
		}
	})
}

// Guards against nodes that all rely on each other: where the first ones are silent,
// each of the others hears the rest read, and after a dropped history nobody reads
// anything.
func TestOthersTakeOverForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegistry()
		rosters, silenced := group(t, g, 12)
		time.Sleep(10 * time.Second)
		for i, r := range rosters {
			silenced[i].Store(r.Stamp(time.Now(), prim.Sample{}).Reading)
		}
		time.Sleep(5 * time.Second)
		for version := uint64(2); version < 12; version++ {
			acting := 0
			for i, r := range rosters {
				if !silenced[i].Load() && r.Stamp(time.Now(), prim.Sample{}).Reading {
					acting++
				}
			}
			is.True(acting >= leastReaders)
			is.True(acting <= leastReaders+1)
			g.set(func() { g.from, g.deaf = g.rev, true })
			g.route(version)
			g.set(func() { g.from = g.rev })
			time.Sleep(checkAfter + checkSpread + 2*actFor)
			g.set(func() { g.deaf = false })
			for i, r := range rosters {
				if !silenced[i].Load() {
					is.Equal(r.Placement().Routing.Version, version)
				}
			}
		}
	})
}
