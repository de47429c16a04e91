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

// This file measures how documents spread: the time until the last reachable
// node has a version, the platform's reads and the bytes of each node. All nodes
// run in one process on a virtual clock. Messages take 0.25 ms within a data
// centre and 5 ms between two, and bodies 1 ms for each 12.5 KB (100 Mbit/s); a
// lost message is silent and the sender waits for its timeout, which is harsher
// than TCP. Calls to the platform take 2 ms and are lost like messages.

// spreader is one node's side of a way to spread documents.
type spreader interface {
	Next(now time.Time) time.Time
	Step(now time.Time) []gossip.Action
	Receive(now time.Time, from prim.HostName, m prim.Message) (prim.Message, []gossip.Action, error)
	Answered(now time.Time, a gossip.Action, m prim.Message, err error) []gossip.Action
	Index(now time.Time, ds []prim.Digest, err error) []gossip.Action
	Read(now time.Time, a gossip.Action, d prim.Document, err error) []gossip.Action
	Version(name string) uint64
}

type leaderless struct{ *gossip.Core }

func (l leaderless) Version(name string) uint64 { return l.View().Digests[name].Version }

const (
	callTimeout   = gossip.DefaultFetchTimeout
	spreadWarmUp  = 15 * time.Second
	indexBytes    = 4*130 + 300 // an index or the fields of a document, with HTTP headers
	bytesPerSlice = 12_500      // bytes of a body that pass in one millisecond
)

type scenario struct {
	mode    string
	nodes   int
	loss    float64
	fault   string
	body    int
	changes int
	every   time.Duration
	rate    float64 // byte budget of bodies; 0 means the default
	seed    uint64
}

type station struct {
	spreader
	host    prim.Host
	wake    time.Time
	bytes   int // sent and received since the first change
	side    int
	cut     bool // does not reach the platform
	dead    bool
	reached []time.Time // by version
}

type spreadEvent struct {
	at  time.Time
	seq int
	do  func()
}

type spreadEvents []spreadEvent

func (q spreadEvents) Len() int { return len(q) }
func (q spreadEvents) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q spreadEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *spreadEvents) Push(x any)   { *q = append(*q, x.(spreadEvent)) }
func (q *spreadEvents) Pop() any     { e := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return e }

type spreadFleet struct {
	scenario
	now      time.Time
	queue    spreadEvents
	seq      int
	r        *rand.Rand
	stations []*station
	byName   map[prim.HostName]*station
	current  map[string]prim.Document
	previous map[string]prim.Document
	down     bool
	stale    bool
	reads    []int // platform reads by second since the first change
	measured time.Time
	view     *prim.View
}

func newFleet(s scenario) (*spreadFleet, error) {
	f := &spreadFleet{scenario: s, now: time.Unix(1_800_000_000, 0).UTC(), r: rand.New(rand.NewPCG(s.seed, 1)),
		byName: map[prim.HostName]*station{}, current: map[string]prim.Document{}}
	centres := 3
	if s.nodes >= 1000 {
		centres = 17
	}
	var hosts []prim.Host
	for i := range s.nodes {
		hosts = append(hosts, prim.Host{Name: prim.HostName(fmt.Sprintf("host-%05d", i)),
			DataCentre: prim.DataCentre(fmt.Sprintf("dc-%02d", i%centres)), State: prim.HostLive})
	}
	f.view = prim.NewView(prim.ViewConfig{Hosts: prim.Hosts{Hosts: hosts}})
	for _, n := range prim.DocumentNames {
		f.publish(n, 1000)
	}
	for _, h := range hosts {
		st := &station{host: h}
		f.stations = append(f.stations, st)
		f.byName[h.Name] = st
	}
	return f, f.start(centres)
}

// start creates the nodes with the first version of each document. They are
// created in parallel because each sorts the host list.
func (f *spreadFleet) start(centres int) error {
	members := map[prim.DataCentre][]prim.HostName{}
	for _, st := range f.stations {
		members[st.host.DataCentre] = append(members[st.host.DataCentre], st.host.Name)
	}
	errs := make([]error, len(f.stations))
	limit := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wg sync.WaitGroup
	for i, st := range f.stations {
		r := rand.New(rand.NewPCG(f.seed, uint64(i)+100))
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			if f.mode == "leader" {
				l := newLeader(members[st.host.DataCentre], i/centres, f.now, r)
				for n, d := range f.current {
					l.docs[n] = d
				}
				st.spreader = l
				return
			}
			c, err := f.core(st, r)
			errs[i] = err
			if err != nil {
				return
			}
			for _, a := range c.Index(f.now, digests(f.current), nil) {
				if a.Kind == gossip.ReadDocument {
					c.Read(f.now, a, f.current[a.Name], nil)
				}
			}
			st.spreader = leaderless{c}
		})
	}
	wg.Wait()
	for _, st := range f.stations {
		st.wake = f.now.Add(time.Duration(f.r.Float64() * float64(time.Second)))
		f.after(st.wake.Sub(f.now), func() { f.step(st) })
	}
	return errors.Join(errs...)
}

func (f *spreadFleet) core(st *station, r *rand.Rand) (*gossip.Core, error) {
	return gossip.NewCore(gossip.Config{
		Self: st.host.Name, DataCentre: st.host.DataCentre, Rand: r, BodyRate: f.rate,
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

func (f *spreadFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, spreadEvent{f.now.Add(d), f.seq, do})
}

// run advances the clock until a time.
func (f *spreadFleet) run(until time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(spreadEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *spreadFleet) step(st *station) {
	if st.dead || st.wake.After(f.now) {
		return // woken earlier for another reason
	}
	f.done(st, st.Step(f.now))
}

// done performs the actions of a node, notes the versions that it has reached,
// and sets its next wake-up.
func (f *spreadFleet) done(st *station, as []gossip.Action) {
	for _, a := range as {
		f.perform(st, a)
	}
	for v := st.Version(prim.NamePlans); uint64(len(st.reached)) <= v; {
		st.reached = append(st.reached, f.now)
	}
	next := st.Next(f.now)
	if !next.After(f.now) {
		next = f.now.Add(time.Microsecond)
	}
	if st.wake.Compare(f.now) <= 0 || next.Before(st.wake) {
		st.wake = next
		f.after(next.Sub(f.now), func() { f.step(st) })
	}
}

func (f *spreadFleet) delay(a, b *station, size int) time.Duration {
	d := 5 * time.Millisecond
	if a.host.DataCentre == b.host.DataCentre {
		d = 250 * time.Microsecond
	}
	return d + time.Duration(f.r.Float64()*float64(d)) + time.Duration(size/bytesPerSlice)*time.Millisecond
}

func (f *spreadFleet) count(st *station, n int) {
	if !f.measured.IsZero() {
		st.bytes += n
	}
}

// send passes a message to another node and calls arrived if it arrives.
func (f *spreadFleet) send(from, to *station, m prim.Message, arrived func()) bool {
	size := len(m.Body) + gossip.FrameOverhead
	f.count(from, size)
	if to == nil || to.dead || from.side != to.side || f.r.Float64() < f.loss {
		return false
	}
	f.after(f.delay(from, to, size), func() {
		f.count(to, size)
		if !to.dead {
			arrived()
		}
	})
	return true
}

func (f *spreadFleet) perform(st *station, a gossip.Action) {
	switch a.Kind {
	case gossip.Tell:
		to := f.byName[a.To]
		f.send(st, to, a.Message, func() {
			_, as, _ := to.Receive(f.now, st.host.Name, a.Message)
			f.done(to, as)
		})
	case gossip.Ask:
		to := f.byName[a.To]
		answered := false
		answer := func(m prim.Message, err error) {
			if !answered && !st.dead {
				answered = true
				f.done(st, st.Answered(f.now, a, m, err))
			}
		}
		f.after(callTimeout, func() { answer(prim.Message{}, context.DeadlineExceeded) })
		f.send(st, to, a.Message, func() {
			m, as, err := to.Receive(f.now, st.host.Name, a.Message)
			f.done(to, as)
			f.send(to, st, m, func() { answer(m, err) })
		})
	default:
		f.platform(st, a)
	}
}

// platform answers a read. A stale platform is one of two replicas that answers
// half of the reads from before the last change.
func (f *spreadFleet) platform(st *station, a gossip.Action) {
	if !f.measured.IsZero() {
		second := int(f.now.Sub(f.measured) / time.Second)
		for len(f.reads) <= second {
			f.reads = append(f.reads, 0)
		}
		f.reads[second]++
	}
	docs, size := f.current, indexBytes
	if f.stale && f.r.IntN(2) == 0 {
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
	wait, err := 2*time.Millisecond+time.Duration(size/bytesPerSlice)*time.Millisecond, error(nil)
	if f.down || st.cut || f.r.Float64() < f.loss {
		wait, err, read, ds = callTimeout, context.DeadlineExceeded, prim.Document{}, nil
	}
	f.after(wait, func() {
		if st.dead {
			return
		}
		if a.Kind == gossip.ReadDocument {
			f.count(st, size)
			f.done(st, st.Read(f.now, a, read, err))
			return
		}
		f.count(st, size)
		f.done(st, st.Index(f.now, ds, err))
	})
}

// faults are set at the time of the first change. A function that they return
// runs 20 s later.
var faults = map[string]func(f *spreadFleet) (later func()){
	"none": func(*spreadFleet) func() { return nil },
	// Every second node loses the other half and the platform, then it heals.
	"partition": func(f *spreadFleet) func() {
		for i, st := range f.stations {
			if i%2 == 1 {
				st.side, st.cut = 1, true
			}
		}
		return func() {
			for _, st := range f.stations {
				st.side, st.cut = 0, false
			}
		}
	},
	// The platform answers nothing after 1.5 s.
	"down": func(f *spreadFleet) func() {
		f.after(1500*time.Millisecond, func() { f.down = true })
		return nil
	},
	"stale": func(f *spreadFleet) func() { f.stale = true; return nil },
	// The oldest three nodes of each data centre of the fleet die.
	"dead": func(f *spreadFleet) func() {
		for _, st := range f.oldest() {
			st.dead = true
		}
		return nil
	},
	// The oldest three nodes of each data centre lose only the platform.
	"cut": func(f *spreadFleet) func() {
		for _, st := range f.oldest() {
			st.cut = true
		}
		return nil
	},
}

func (f *spreadFleet) oldest() []*station {
	seen := map[prim.DataCentre]int{}
	var out []*station
	for _, st := range f.stations {
		if seen[st.host.DataCentre] < 3 {
			seen[st.host.DataCentre]++
			out = append(out, st)
		}
	}
	return out
}

type spreadResult struct {
	last, healed    time.Duration // until the last node had a version, worst change
	missing         int           // nodes without the last version at the end
	reads, peak     float64       // platform reads a second
	mean, high      float64       // bytes a second of a node, sent and received
	age             time.Duration // of the oldest Issued at the end, leaderless only
	processed, took time.Duration
}

func measure(s scenario) (spreadResult, error) {
	started := time.Now()
	f, err := newFleet(s)
	if err != nil {
		return spreadResult{}, err
	}
	f.run(f.now.Add(spreadWarmUp + time.Duration(f.r.Float64()*float64(time.Second))))
	f.measured = f.now
	begin := f.now
	var published []time.Time
	var healed time.Time
	for i := range s.changes {
		f.publish(prim.NamePlans, s.body)
		published = append(published, f.now)
		if i == 0 {
			if later := faults[s.fault](f); later != nil {
				f.after(20*time.Second, func() { healed = f.now; later() })
			}
		}
		f.run(f.now.Add(s.every))
	}
	f.run(f.now.Add(30*time.Second - min(s.every, 30*time.Second)))
	r := spreadResult{processed: f.now.Sub(begin)}
	alive := 0
	for _, st := range f.stations {
		if st.dead {
			continue
		}
		alive++
		for i, p := range published {
			v := i + 2
			if len(st.reached) <= v {
				if i == len(published)-1 {
					r.missing++
				}
				continue
			}
			// During a partition the other side counts from the heal only.
			if at := st.reached[v]; !healed.IsZero() && at.After(healed) {
				r.healed = max(r.healed, at.Sub(healed))
			} else {
				r.last = max(r.last, at.Sub(p))
			}
		}
		if l, ok := st.spreader.(leaderless); ok {
			r.age = max(r.age, f.now.Sub(l.View().Digests[prim.NamePlans].Issued))
		}
		b := float64(st.bytes) / r.processed.Seconds()
		r.mean += b
		r.high = max(r.high, b)
	}
	r.mean /= float64(alive)
	for _, n := range f.reads {
		r.reads += float64(n) / r.processed.Seconds()
		r.peak = max(r.peak, float64(n))
	}
	r.took = time.Since(started)
	return r, nil
}

// spread compares the leaderless way with a leader in each data centre.
func spread(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("spread", flag.ContinueOnError)
	modes := fs.String("modes", "gossip,leader", "ways to compare")
	sizes := fs.String("sizes", "26,250,1000", "numbers of nodes")
	losses := fs.String("loss", "0,0.1,0.3", "shares of lost messages")
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
						s := scenario{mode: mode, fault: fault, changes: *changes, every: *every, rate: *rate, seed: *seed}
						var e1, e2, e3 error
						s.nodes, e1 = strconv.Atoi(size)
						s.loss, e2 = strconv.ParseFloat(loss, 64)
						s.body, e3 = strconv.Atoi(body)
						if err := errors.Join(e1, e2, e3, ctx.Err()); err != nil {
							return err
						}
						if faults[fault] == nil || !slices.Contains([]string{"gossip", "leader"}, mode) {
							return fmt.Errorf("unknown fault %q or mode %q; see -help", fault, mode)
						}
						r, err := measure(s)
						if err != nil {
							return err
						}
						fmt.Printf("%-7s %5d  %4.2f %-9s %7d | %6.2f  %6.2f %7d | %7.1f %5.0f | %8.0f %6.0f | %5.1f | %6.1f\n",
							mode, s.nodes, s.loss, fault, s.body, r.last.Seconds(), r.healed.Seconds(), r.missing,
							r.reads, r.peak, r.mean, r.high, r.age.Seconds(), r.took.Seconds())
					}
				}
			}
		}
	}
	return nil
}
