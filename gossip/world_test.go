package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/gossip"
)

// world is a fleet of nodes with a fake network and a fake platform, run in a
// synctest bubble. Bodies are JSON strings such as "good 3".
type world struct {
	t     *rapid.T
	hosts []prim.Host
	seeds []prim.HostName

	mu      sync.Mutex
	r       *rand.Rand
	loss    float64
	side    map[prim.HostName]int  // hosts on different sides do not reach each other
	offline map[prim.HostName]bool // hosts that do not reach the platform
	down    bool
	stale   int  // the platform serves what was current that many changes ago
	flaps   bool // every second answer on average is current all the same
	history []map[string]prim.Document
	served  map[string]int // document bodies read from the platform or a peer
	indexes int
	nodes   map[prim.HostName]*node
}

type node struct {
	*gossip.Node
	link  *link
	stop  context.CancelFunc
	ended <-chan error
	watch chan struct{}
}

func newWorld(t *rapid.T, names int, seed uint64) *world {
	w := &world{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), served: map[string]int{},
		side: map[prim.HostName]int{}, offline: map[prim.HostName]bool{},
		nodes: map[prim.HostName]*node{}, history: []map[string]prim.Document{{}},
	}
	for i := range names {
		w.hosts = append(w.hosts, prim.Host{
			Name: prim.HostName(fmt.Sprintf("h%d", i)), DataCentre: prim.DataCentre(fmt.Sprintf("d%d", i%2)), State: prim.HostLive,
		})
	}
	for _, n := range prim.DocumentNames {
		w.publish(n, "good")
	}
	return w
}

// publish makes a new version of a document current.
func (w *world) publish(name, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := map[string]prim.Document{}
	for n, d := range w.history[len(w.history)-1] {
		now[n] = d
	}
	v := now[name].Version + 1
	b := []byte(fmt.Sprintf("%q", fmt.Sprintf("%s %d", kind, v)))
	now[name] = prim.Document{Digest: prim.Digest{Name: name, Version: v, Hash: xxh3.Hash(b), Issued: time.Now()}, Body: b}
	w.history = append(w.history, now)
}

// parse puts the content of a test body where the checks of watch find it.
func (w *world) parse(d prim.Document, v *prim.View) (*prim.View, error) {
	body := strings.Trim(string(d.Body), `"`)
	switch {
	case strings.HasPrefix(body, "panic"):
		panic(body)
	case !strings.HasPrefix(body, "good"):
		return nil, errors.New("body is " + body)
	}
	c := *v // the indexes are not used here
	switch d.Name {
	case prim.NamePlans:
		c.Plans.Customers = []prim.CustomerEntry{{Plan: body}}
	case prim.NameDataCentres:
		c.DataCentres.HostsOut = []prim.HostName{prim.HostName(body)}
	case prim.NameHosts:
		c.Hosts.Hosts = w.hosts
	}
	return &c, nil
}

func (w *world) start(h prim.Host) *node {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{w: w, self: h.Name, handlers: map[prim.Kind]prim.Handler{}}
	g, err := gossip.New(gossip.Config{
		Self: h.Name, DataCentre: h.DataCentre, Seeds: w.seeds, Parse: w.parse, Transport: l, Platform: l,
		Rand: rand.New(rand.NewPCG(w.random(), 2)),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	n := &node{Node: g, link: l, stop: cancel, ended: g.Run(ctx), watch: make(chan struct{})}
	w.mu.Lock()
	w.nodes[h.Name] = n
	w.mu.Unlock()
	go w.follow(ctx, n)
	return n
}

// follow checks every view of a node against the two safety properties.
func (w *world) follow(ctx context.Context, n *node) {
	defer close(n.watch)
	var last *prim.View
	for {
		changed := n.Changed()
		v := n.View()
		for name, d := range v.Digests {
			if last != nil && d.Version < last.Digests[name].Version {
				w.t.Errorf("%s went back from version %d to %d", name, last.Digests[name].Version, d.Version)
			}
		}
		want := func(name, got string) {
			if d := v.Digests[name]; got != fmt.Sprintf("good %d", d.Version) {
				w.t.Errorf("%s version %d in force has content %q", name, d.Version, got)
			}
		}
		for _, c := range v.Plans.Customers {
			want(prim.NamePlans, c.Plan)
		}
		for _, h := range v.DataCentres.HostsOut {
			want(prim.NameDataCentres, string(h))
		}
		last = v
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (w *world) end(h prim.HostName) {
	n := w.nodes[h]
	n.stop()
	<-n.ended
	<-n.watch
	w.mu.Lock()
	delete(w.nodes, h)
	w.mu.Unlock()
}

func (w *world) startAll() {
	for _, h := range w.hosts {
		w.start(h)
	}
}

func (w *world) endAll() {
	for _, h := range w.hosts {
		if w.nodes[h.Name] != nil {
			w.end(h.Name)
		}
	}
}

func (w *world) random() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.r.Uint64()
}

// pass waits for the delay of one message and reports whether it arrives.
func (w *world) pass(ctx context.Context, loss float64, ok func() bool) bool {
	w.mu.Lock()
	delay := time.Duration(w.r.IntN(20)) * time.Millisecond
	if w.r.IntN(10) == 0 {
		delay = time.Duration(w.r.IntN(400)) * time.Millisecond // overtaken by later messages
	}
	lost := w.r.Float64() < loss || !ok()
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// link is the transport and the platform of one node.
type link struct {
	w        *world
	self     prim.HostName
	handlers map[prim.Kind]prim.Handler
}

func (l *link) Handle(k prim.Kind, h prim.Handler) { l.handlers[k] = h }

func (l *link) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	_, err := l.Ask(ctx, to, m)
	if l.w.random()%10 == 0 { // duplicates
		_, err = l.Ask(ctx, to, m)
	}
	return err
}

func (l *link) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	w := l.w
	reach := func() bool { return w.side[l.self] == w.side[to] && w.nodes[to] != nil }
	if !w.pass(ctx, w.loss, reach) {
		return prim.Message{}, ctx.Err()
	}
	w.mu.Lock()
	p := w.nodes[to]
	w.mu.Unlock()
	if p == nil {
		return prim.Message{}, errors.New("host stopped")
	}
	a, err := p.link.handlers[m.Kind](ctx, l.self, m)
	if err == nil && a.Kind == gossip.KindDocument {
		w.count(string(a.Body))
	}
	if !w.pass(ctx, w.loss, reach) {
		return prim.Message{}, ctx.Err()
	}
	return a, err
}

func (w *world) count(body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.served[body]++
}

func (l *link) platform(ctx context.Context) (map[string]prim.Document, error) {
	w := l.w
	// Calls to the platform are not lost at random, since TCP repeats them; it is
	// unreachable for a time instead.
	if !w.pass(ctx, 0, func() bool { return !w.down && !w.offline[l.self] }) {
		return nil, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	docs, stale := map[string]prim.Document{}, w.stale
	if w.flaps && w.r.IntN(2) == 0 {
		stale = 0
	}
	for n, d := range w.history[max(len(prim.DocumentNames), len(w.history)-1-stale)] {
		if stale == 0 {
			d.Issued = time.Now()
		}
		docs[n] = d
	}
	return docs, nil
}

func (l *link) Index(ctx context.Context) (ds []prim.Digest, err error) {
	docs, err := l.platform(ctx)
	l.w.mu.Lock()
	l.w.indexes++
	l.w.mu.Unlock()
	for _, d := range docs {
		ds = append(ds, d.Digest)
	}
	return ds, err
}

func (l *link) Read(ctx context.Context, name string) (prim.Document, error) {
	docs, err := l.platform(ctx)
	if err == nil {
		l.w.count(string(docs[name].Body))
	}
	return docs[name], err
}
