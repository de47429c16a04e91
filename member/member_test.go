package member_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/member"
)

// simFleet is a fleet of Members on a simulated network.
type simFleet struct {
	mu          sync.Mutex // guards the fields that tests change
	view        *prim.View
	nodes       map[prim.HostName]*node
	lossRate    float64
	random      *rand.Rand
	bytesSent   int64
	partitioned func(a, b prim.HostName) bool
	changed     chan struct{}
}

type node struct {
	*member.Members
	fleet    *simFleet
	name     prim.HostName
	down     bool
	handlers map[prim.Kind]prim.Handler
	stop     context.CancelFunc
	done     <-chan error
}

func (f *simFleet) View() *prim.View         { return f.view }
func (f *simFleet) Changed() <-chan struct{} { return f.changed }

func (n *node) Handle(k prim.Kind, h prim.Handler)                      { n.handlers[k] = h }
func (n *node) Tell(context.Context, prim.HostName, prim.Message) error { return nil }
func (n *node) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	time.Sleep(time.Millisecond)
	target, dropped := n.fleet.transmit(n, to, len(m.Body))
	if dropped {
		<-ctx.Done()
		return prim.Message{}, ctx.Err()
	}
	response, err := target.handlers[m.Kind](ctx, n.name, m)
	if err != nil {
		return response, err
	}
	if _, dropped = n.fleet.transmit(n, to, len(response.Body)); dropped {
		<-ctx.Done()
		return prim.Message{}, errors.New("answer lost")
	}
	return response, nil
}

// transmit counts the bytes of a message and reports whether the message is lost.
func (f *simFleet) transmit(n *node, to prim.HostName, size int) (*node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.nodes[to]
	f.bytesSent += int64(size)
	return target, n.down || target.down || f.random.Float64() < f.lossRate || f.partitioned != nil && f.partitioned(n.name, to)
}

// update applies a change under the lock.
func (f *simFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func newSimFleet(size int, seed uint64) *simFleet {
	f := &simFleet{nodes: make(map[prim.HostName]*node), random: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
	var list []prim.Host
	for i := range size {
		list = append(list, prim.Host{
			Name: prim.HostName(fmt.Sprintf("h%d", i)), DataCentre: prim.DataCentre(fmt.Sprintf("d%d", i%3)), State: prim.HostLive,
		})
	}
	f.view = prim.NewView(prim.ViewConfig{Hosts: prim.Hosts{Hosts: list}})
	for _, h := range list {
		f.startNode(h.Name, prim.Instance(len(f.nodes)+1), h.DataCentre)
	}
	return f
}

func (f *simFleet) startNode(name prim.HostName, instance prim.Instance, dataCentre prim.DataCentre) {
	n := &node{fleet: f, name: name, handlers: make(map[prim.Kind]prim.Handler)}
	n.Members = member.New(member.Config{Host: name, DataCentre: dataCentre, Instance: instance, Documents: f, Transport: n})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	f.update(func() { f.nodes[name] = n })
	n.done = n.Run(ctx)
}

func (f *simFleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
}

// avoidedBy returns the number of live nodes that avoid a host.
func (f *simFleet) avoidedBy(h prim.HostName) int {
	count := 0
	for _, n := range f.nodes {
		if n.name != h && !n.down && !n.Reachable(h) {
			count++
		}
	}
	return count
}

// Guards against a dead host that stays in use for long, and against live hosts
// that are declared dead together with it.
func TestDeadHostIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(12, 1) // few enough that every host is a peer of all
		defer f.close()
		time.Sleep(40 * time.Second) // every node has exchanged messages with its peers
		f.update(func() { f.nodes["h3"].down = true })
		time.Sleep(20 * time.Second)
		is.Equal(f.avoidedBy("h3"), 11)
		for h := range f.nodes {
			if h != "h3" {
				is.Equal(f.avoidedBy(h), 0)
			}
		}
		f.update(func() { f.nodes["h3"].down = false })
		time.Sleep(20 * time.Second)
		is.Equal(f.avoidedBy("h3"), 0)
	})
}

// Guards against hosts that stay unreachable after a network partition, and
// against hosts on a node's own side being declared dead along with the others.
func TestPartitionHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			size := rapid.IntRange(4, 16).Draw(t, "size")
			f := newSimFleet(size, rapid.Uint64().Draw(t, "seed"))
			defer f.close()
			loss := rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
			f.update(func() { f.lossRate = loss })
			time.Sleep(time.Duration(rapid.IntRange(1, 60).Draw(t, "before")) * time.Second)
			side := make(map[prim.HostName]bool)
			for h := range f.nodes {
				side[h] = rapid.Bool().Draw(t, string(h))
			}
			f.update(func() { f.partitioned = func(a, b prim.HostName) bool { return side[a] != side[b] } })
			time.Sleep(time.Duration(rapid.IntRange(1, 60).Draw(t, "partition")) * time.Second)
			if loss == 0 {
				for a, n := range f.nodes {
					for b := range f.nodes {
						if a != b && side[a] == side[b] && !n.Reachable(b) {
							t.Fatalf("%s avoids %s on its own side: %+v", a, b, n.Status())
						}
					}
				}
			}
			f.update(func() { f.partitioned, f.lossRate = nil, 0 })
			time.Sleep(time.Minute)
			for h := range f.nodes {
				if c := f.avoidedBy(h); c != 0 {
					t.Fatalf("%d nodes avoid %s a minute after the partition", c, h)
				}
			}
		})
	})
}

// Guards against a restarted node being avoided because its previous instance was
// declared dead.
func TestNewInstanceIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(6, 2)
		defer f.close()
		time.Sleep(40 * time.Second)
		f.update(func() { f.nodes["h1"].down = true })
		time.Sleep(15 * time.Second)
		is.Equal(f.avoidedBy("h1"), 5)
		previous := f.nodes["h1"]
		previous.stop()
		<-previous.done
		f.startNode("h1", 99, "d1")
		time.Sleep(15 * time.Second)
		is.Equal(f.avoidedBy("h1"), 0)
	})
}

// Guards against a failed attempt that takes effect only with the next probe, and
// against a host that is avoided for long after one failure.
func TestFailedAttemptTakesEffectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(3, 3)
		defer f.close()
		n := f.nodes["h0"]
		n.MarkUnreachable("h1")
		is.True(!n.Reachable("h1"))
		time.Sleep(100 * time.Millisecond)
		is.True(n.Reachable("h1"))
		n.MarkUnreachable("h1")
		time.Sleep(100 * time.Millisecond)
		is.True(!n.Reachable("h1")) // the second failure doubles the time
		n.MarkReachable("h1", 2)
		is.True(n.Reachable("h1"))
	})
}

// Guards against live hosts being avoided when a fifth of the messages is lost
// each way, and against a node that exceeds its byte budget.
func TestMessageLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimFleet(24, 4)
		defer f.close()
		time.Sleep(time.Minute)
		f.update(func() { f.lossRate, f.bytesSent = 0.2, 0 })
		const seconds = 600
		avoided, total := 0, 0
		for range seconds {
			time.Sleep(time.Second)
			for h := range f.nodes {
				avoided += f.avoidedBy(h)
				total += len(f.nodes) - 1
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		perNode := float64(f.bytesSent) / seconds / float64(len(f.nodes))
		t.Logf("avoided %d of %d pair seconds, %.0f bytes/s sent per node", avoided, total, perNode)
		// Avoiding live hosts for 1% of the time only routes requests to other
		// hosts. The budget of a node for all control traffic is 23 KB/s.
		is.True(avoided*100 < total)
		is.True(perNode < 2300)
	})
}
