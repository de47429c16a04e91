package main

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/gossip"
)

// This file measures the distribution of documents: the time until the last reachable
// node has a version, the platform reads and the bytes of each node. All nodes run in
// one process on a virtual clock. Messages take 0.25 to 0.5 ms within a data centre and
// 5 to 10 ms between two, and bodies 1 ms more for each 12.5 KB (100 Mbit/s). A sender
// learns of a lost message only by its timeout, which is harsher than TCP. Calls to the
// platform take 2 ms and are lost like messages.

// spreadProtocol is the state of one node in a protocol that distributes documents.
type spreadProtocol interface {
	Next(now time.Time) time.Time
	Step(now time.Time) []gossip.Action
	HandleMessage(now time.Time, from prim.HostName, m prim.Message) (prim.Message, []gossip.Action, error)
	HandleResponse(now time.Time, a gossip.Action, m prim.Message, err error) []gossip.Action
	HandleIndex(now time.Time, ds []prim.Digest, err error) []gossip.Action
	HandleDocument(now time.Time, a gossip.Action, d prim.Document, err error) []gossip.Action
	Version(name string) uint64
}

// gossipNode is a node that runs package gossip, which has no leader.
type gossipNode struct{ *gossip.Core }

func (l gossipNode) Version(name string) uint64 { return l.View().Digests[name].Version }

const (
	callTimeout         = gossip.DefaultFetchTimeout
	spreadWarmUpTime    = 15 * time.Second
	indexReplyBytes     = 4*130 + 300 // an index or the fields of a document, with HTTP headers
	bytesPerMillisecond = 12_500      // at 100 Mbit/s
)

type spreadScenario struct {
	mode      string
	nodeCount int
	loss      float64
	fault     string
	body      int
	changes   int
	every     time.Duration
	bodyRate  float64 // byte budget of bodies in bytes a second; 0 means the default
	seed      uint64
}

type spreadNode struct {
	spreadProtocol
	host        prim.Host
	nextWake    time.Time
	bytes       int // sent and received since the first change
	partition   int
	platformCut bool // cannot reach the platform
	dead        bool
	reachedAt   []time.Time // when the node got each version, by version
}

type spreadEvent struct {
	at  time.Time
	seq int
	do  func()
}

type spreadQueue []spreadEvent

func (q spreadQueue) Len() int { return len(q) }
func (q spreadQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q spreadQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *spreadQueue) Push(x any)   { *q = append(*q, x.(spreadEvent)) }
func (q *spreadQueue) Pop() any     { e := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return e }

type spreadFleet struct {
	spreadScenario
	now           time.Time
	queue         spreadQueue
	seq           int
	rng           *rand.Rand
	nodes         []*spreadNode
	byName        map[prim.HostName]*spreadNode
	current       map[string]prim.Document
	previous      map[string]prim.Document
	platformDown  bool
	platformStale bool
	reads         []int // platform reads by second since the first change
	measureStart  time.Time
	view          *prim.View
}

func newSpreadFleet(s spreadScenario) (*spreadFleet, error) {
	f := &spreadFleet{spreadScenario: s, now: time.Unix(1_800_000_000, 0).UTC(), rng: rand.New(rand.NewPCG(s.seed, 1)),
		byName: map[prim.HostName]*spreadNode{}, current: map[string]prim.Document{}}
	dataCentres := 3
	if s.nodeCount >= 1000 {
		dataCentres = 17
	}
	var hosts []prim.Host
	for i := range s.nodeCount {
		hosts = append(hosts, prim.Host{Name: prim.HostName(fmt.Sprintf("host-%05d", i)),
			DataCentre: prim.DataCentre(fmt.Sprintf("dc-%02d", i%dataCentres)), State: prim.HostLive})
	}
	f.view = prim.NewView(prim.ViewConfig{Hosts: prim.Hosts{Hosts: hosts}})
	for _, n := range prim.DocumentNames {
		f.publish(n, 1000)
	}
	for _, h := range hosts {
		node := &spreadNode{host: h}
		f.nodes = append(f.nodes, node)
		f.byName[h.Name] = node
	}
	return f, f.start(dataCentres)
}

// start creates the nodes with the first version of each document. It does so in
// parallel because each node sorts the host list.
func (f *spreadFleet) start(dataCentres int) error {
	members := map[prim.DataCentre][]prim.HostName{}
	for _, node := range f.nodes {
		members[node.host.DataCentre] = append(members[node.host.DataCentre], node.host.Name)
	}
	errs := make([]error, len(f.nodes))
	limit := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wg sync.WaitGroup
	for i, node := range f.nodes {
		r := rand.New(rand.NewPCG(f.seed, uint64(i)+100))
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			if f.mode == "leader" {
				l := newLeaderNode(members[node.host.DataCentre], i/dataCentres, f.now, r)
				for n, d := range f.current {
					l.docs[n] = d
				}
				node.spreadProtocol = l
				return
			}
			c, err := f.newCore(node, r)
			errs[i] = err
			if err != nil {
				return
			}
			for _, a := range c.HandleIndex(f.now, digests(f.current), nil) {
				if a.Kind == gossip.ReadDocument {
					c.HandleDocument(f.now, a, f.current[a.Name], nil)
				}
			}
			node.spreadProtocol = gossipNode{c}
		})
	}
	wg.Wait()
	for _, node := range f.nodes {
		node.nextWake = f.now.Add(time.Duration(f.rng.Float64() * float64(time.Second)))
		f.schedule(node.nextWake.Sub(f.now), func() { f.wakeNode(node) })
	}
	return errors.Join(errs...)
}

func (f *spreadFleet) newCore(node *spreadNode, r *rand.Rand) (*gossip.Core, error) {
	return gossip.NewCore(gossip.Config{
		Self: node.host.Name, DataCentre: node.host.DataCentre, Rand: r, BodyRate: f.bodyRate,
		Seeds: []prim.HostName{"host-00000", "host-00001", "host-00002"},
		Parse: func(prim.Document, *prim.View) (*prim.View, error) { return f.view, nil },
	}, f.now)
}

func digests(docs map[string]prim.Document) (ds []prim.Digest) {
	for _, n := range prim.DocumentNames {
		ds = append(ds, docs[n].Digest)
	}
	return ds
}

func (f *spreadFleet) publish(name string, size int) {
	f.previous = f.current
	next := map[string]prim.Document{}
	for n, d := range f.current {
		next[n] = d
	}
	v := f.current[name].Version + 1
	b := make([]byte, size)
	copy(b, strconv.FormatUint(v, 10))
	next[name] = prim.Document{Digest: prim.Digest{Name: name, Version: v, Hash: xxh3.Hash(b), Issued: f.now}, Body: b}
	f.current = next
}

func (f *spreadFleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, spreadEvent{f.now.Add(d), f.seq, do})
}

// run processes events until a time and sets the clock to it.
func (f *spreadFleet) run(until time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(spreadEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *spreadFleet) wakeNode(node *spreadNode) {
	if node.dead || node.nextWake.After(f.now) {
		return // the node has run since and set a later wake-up
	}
	f.apply(node, node.Step(f.now))
}

// apply performs the actions of a node, records when it got new versions, and sets
// its next wake-up.
func (f *spreadFleet) apply(node *spreadNode, as []gossip.Action) {
	for _, a := range as {
		f.perform(node, a)
	}
	for v := node.Version(prim.NamePlans); uint64(len(node.reachedAt)) <= v; {
		node.reachedAt = append(node.reachedAt, f.now)
	}
	next := node.Next(f.now)
	if !next.After(f.now) {
		next = f.now.Add(time.Microsecond)
	}
	if node.nextWake.Compare(f.now) <= 0 || next.Before(node.nextWake) {
		node.nextWake = next
		f.schedule(next.Sub(f.now), func() { f.wakeNode(node) })
	}
}

func (f *spreadFleet) delay(a, b *spreadNode, size int) time.Duration {
	d := 5 * time.Millisecond
	if a.host.DataCentre == b.host.DataCentre {
		d = 250 * time.Microsecond
	}
	return d + time.Duration(f.rng.Float64()*float64(d)) + time.Duration(size/bytesPerMillisecond)*time.Millisecond
}

func (f *spreadFleet) countBytes(node *spreadNode, n int) {
	if !f.measureStart.IsZero() {
		node.bytes += n
	}
}

// send sends a message to another node and calls arrived when it arrives. It returns
// false if the message is lost.
func (f *spreadFleet) send(from, to *spreadNode, m prim.Message, arrived func()) bool {
	size := len(m.Body) + gossip.FrameOverhead
	f.countBytes(from, size)
	if to == nil || to.dead || from.partition != to.partition || f.rng.Float64() < f.loss {
		return false
	}
	f.schedule(f.delay(from, to, size), func() {
		f.countBytes(to, size)
		if !to.dead {
			arrived()
		}
	})
	return true
}

func (f *spreadFleet) perform(node *spreadNode, a gossip.Action) {
	switch a.Kind {
	case gossip.Tell:
		to := f.byName[a.To]
		f.send(node, to, a.Message, func() {
			_, as, _ := to.HandleMessage(f.now, node.host.Name, a.Message)
			f.apply(to, as)
		})
	case gossip.Ask:
		to := f.byName[a.To]
		answered := false
		answer := func(m prim.Message, err error) {
			if !answered && !node.dead {
				answered = true
				f.apply(node, node.HandleResponse(f.now, a, m, err))
			}
		}
		f.schedule(callTimeout, func() { answer(prim.Message{}, context.DeadlineExceeded) })
		f.send(node, to, a.Message, func() {
			m, as, err := to.HandleMessage(f.now, node.host.Name, a.Message)
			f.apply(to, as)
			f.send(to, node, m, func() { answer(m, err) })
		})
	default:
		f.readPlatform(node, a)
	}
}

// readPlatform performs a platform read. With a stale platform, one of two replicas
// lags behind, so that half of the reads return the state before the last change.
func (f *spreadFleet) readPlatform(node *spreadNode, a gossip.Action) {
	if !f.measureStart.IsZero() {
		second := int(f.now.Sub(f.measureStart) / time.Second)
		for len(f.reads) <= second {
			f.reads = append(f.reads, 0)
		}
		f.reads[second]++
	}
	docs, size := f.current, indexReplyBytes
	if f.platformStale && f.rng.IntN(2) == 0 {
		docs = f.previous
	}
	read, ds := docs[a.Name], digests(docs)
	if docs[a.Name].Version == f.current[a.Name].Version {
		read.Issued = f.now
	}
	for i := range ds {
		if ds[i].Version == f.current[ds[i].Name].Version {
			ds[i].Issued = f.now
		}
	}
	if a.Kind == gossip.ReadDocument {
		size += len(read.Body)
	}
	wait, err := 2*time.Millisecond+time.Duration(size/bytesPerMillisecond)*time.Millisecond, error(nil)
	if f.platformDown || node.platformCut || f.rng.Float64() < f.loss {
		wait, err, read, ds = callTimeout, context.DeadlineExceeded, prim.Document{}, nil
	}
	f.schedule(wait, func() {
		if node.dead {
			return
		}
		if a.Kind == gossip.ReadDocument {
			f.countBytes(node, size)
			f.apply(node, node.HandleDocument(f.now, a, read, err))
			return
		}
		f.countBytes(node, size)
		f.apply(node, node.HandleIndex(f.now, ds, err))
	})
}

// spreadFaults are injected at the time of the first change. A function that one
// returns runs 20 s later.
var spreadFaults = map[string]func(f *spreadFleet) (later func()){
	"none": func(*spreadFleet) func() { return nil },
	// Every second node loses contact with the other half and the platform, until the
	// partition heals.
	"partition": func(f *spreadFleet) func() {
		for i, node := range f.nodes {
			if i%2 == 1 {
				node.partition, node.platformCut = 1, true
			}
		}
		return func() {
			for _, node := range f.nodes {
				node.partition, node.platformCut = 0, false
			}
		}
	},
	// The platform answers no reads after 1.5 s.
	"down": func(f *spreadFleet) func() {
		f.schedule(1500*time.Millisecond, func() { f.platformDown = true })
		return nil
	},
	"stale": func(f *spreadFleet) func() { f.platformStale = true; return nil },
	// The oldest three nodes of each data centre crash.
	"dead": func(f *spreadFleet) func() {
		for _, node := range f.oldestNodes() {
			node.dead = true
		}
		return nil
	},
	// The oldest three nodes of each data centre lose only their connection to the
	// platform.
	"cut": func(f *spreadFleet) func() {
		for _, node := range f.oldestNodes() {
			node.platformCut = true
		}
		return nil
	},
}

func (f *spreadFleet) oldestNodes() []*spreadNode {
	seen := map[prim.DataCentre]int{}
	var out []*spreadNode
	for _, node := range f.nodes {
		if seen[node.host.DataCentre] < 3 {
			seen[node.host.DataCentre]++
			out = append(out, node)
		}
	}
	return out
}

type spreadResult struct {
	// maxDelay is the longest time from a change until a node got its version. Nodes that
	// got it after a partition healed count in maxDelayAfterHeal instead, from the heal on.
	maxDelay, maxDelayAfterHeal time.Duration
	missing                     int           // number of nodes without the last version at the end
	reads, peakReads            float64       // platform reads a second: mean and highest
	meanBytes, maxBytes         float64       // bytes a second that a node sent and received
	maxAge                      time.Duration // of the oldest Issued time at the end; gossip only
	measuredTime, wallTime      time.Duration
}

func measureSpread(s spreadScenario) (spreadResult, error) {
	started := time.Now()
	f, err := newSpreadFleet(s)
	if err != nil {
		return spreadResult{}, err
	}
	f.run(f.now.Add(spreadWarmUpTime + time.Duration(f.rng.Float64()*float64(time.Second))))
	f.measureStart = f.now
	begin := f.now
	var published []time.Time
	var healed time.Time
	for i := range s.changes {
		f.publish(prim.NamePlans, s.body)
		published = append(published, f.now)
		if i == 0 {
			if later := spreadFaults[s.fault](f); later != nil {
				f.schedule(20*time.Second, func() { healed = f.now; later() })
			}
		}
		f.run(f.now.Add(s.every))
	}
	f.run(f.now.Add(30*time.Second - min(s.every, 30*time.Second)))
	r := spreadResult{measuredTime: f.now.Sub(begin)}
	alive := 0
	for _, node := range f.nodes {
		if node.dead {
			continue
		}
		alive++
		for i, p := range published {
			v := i + 2
			if len(node.reachedAt) <= v {
				if i == len(published)-1 {
					r.missing++
				}
				continue
			}
			// A node that gets the version only after the heal may have been on the other
			// side of the partition, so its time counts from the heal.
			if at := node.reachedAt[v]; !healed.IsZero() && at.After(healed) {
				r.maxDelayAfterHeal = max(r.maxDelayAfterHeal, at.Sub(healed))
			} else {
				r.maxDelay = max(r.maxDelay, at.Sub(p))
			}
		}
		if l, ok := node.spreadProtocol.(gossipNode); ok {
			r.maxAge = max(r.maxAge, f.now.Sub(l.View().Digests[prim.NamePlans].Issued))
		}
		b := float64(node.bytes) / r.measuredTime.Seconds()
		r.meanBytes += b
		r.maxBytes = max(r.maxBytes, b)
	}
	r.meanBytes /= float64(alive)
	for _, n := range f.reads {
		r.reads += float64(n) / r.measuredTime.Seconds()
		r.peakReads = max(r.peakReads, float64(n))
	}
	r.wallTime = time.Since(started)
	return r, nil
}

// runSpread compares package gossip with a leader in each data centre.
func runSpread(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("spread", flag.ContinueOnError)
	modes := fs.String("modes", "gossip,leader", "protocols to compare")
	sizes := fs.String("sizes", "26,250,1000", "numbers of nodes")
	losses := fs.String("loss", "0,0.1,0.3", "probabilities of message loss")
	kinds := fs.String("faults", "none", "faults: none, partition, down, stale, dead, cut")
	bodies := fs.String("body", "2000", "body sizes in bytes")
	changes := fs.Int("changes", 1, "number of changes")
	every := fs.Duration("every", 3750*time.Millisecond, "time between changes")
	rate := fs.Float64("rate", 0, "byte budget of bodies in bytes a second, 0 for the default")
	seed := fs.Uint64("seed", 1, "seed of the random choices")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Println("mode    nodes  loss fault        body | last s  heal s missing | reads/s  peak | B/s mean    max | age s | took s")
	for _, size := range strings.Split(*sizes, ",") {
		for _, loss := range strings.Split(*losses, ",") {
			for _, fault := range strings.Split(*kinds, ",") {
				for _, body := range strings.Split(*bodies, ",") {
					for _, mode := range strings.Split(*modes, ",") {
						s := spreadScenario{mode: mode, fault: fault, changes: *changes, every: *every, bodyRate: *rate, seed: *seed}
						var e1, e2, e3 error
						s.nodeCount, e1 = strconv.Atoi(size)
						s.loss, e2 = strconv.ParseFloat(loss, 64)
						s.body, e3 = strconv.Atoi(body)
						if err := errors.Join(e1, e2, e3, ctx.Err()); err != nil {
							return err
						}
						if spreadFaults[fault] == nil || !slices.Contains([]string{"gossip", "leader"}, mode) {
							return fmt.Errorf("unknown fault %q or mode %q; see -help", fault, mode)
						}
						r, err := measureSpread(s)
						if err != nil {
							return err
						}
						fmt.Printf("%-7s %5d  %4.2f %-9s %7d | %6.2f  %6.2f %7d | %7.1f %5.0f | %8.0f %6.0f | %5.1f | %6.1f\n",
							mode, s.nodeCount, s.loss, fault, s.body, r.maxDelay.Seconds(), r.maxDelayAfterHeal.Seconds(), r.missing,
							r.reads, r.peakReads, r.meanBytes, r.maxBytes, r.maxAge.Seconds(), r.wallTime.Seconds())
					}
				}
			}
		}
	}
	return nil
}
