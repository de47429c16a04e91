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

// fleet is a set of nodes with a simulated network and platform, run in a synctest
// bubble. Document bodies are JSON strings such as "good 3": the kind, where "good" is
// valid, and the version.
type fleet struct {
	t     *rapid.T
	hosts []prim.Host
	seeds []prim.HostName

	mu              sync.Mutex
	rng             *rand.Rand
	lossRate        float64
	partition       map[prim.HostName]int  // partition of each host; messages do not cross partitions
	platformBlocked map[prim.HostName]bool // hosts that cannot reach the platform
	platformDown    bool
	platformLag     int  // the platform serves the state before that many latest changes
	platformFlaps   bool // half of the platform's responses ignore platformLag
	history         []map[string]prim.Document
	fetchCounts     map[string]int // fetches from the platform or a peer by document body
	indexReads      int
	nodes           map[prim.HostName]*testNode
}

type testNode struct {
	*gossip.Node
	endpoint  *endpoint
	cancel    context.CancelFunc
	done      <-chan error
	watchDone chan struct{}
}

func newFleet(t *rapid.T, hostCount int, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), fetchCounts: map[string]int{},
		partition: map[prim.HostName]int{}, platformBlocked: map[prim.HostName]bool{},
		nodes: map[prim.HostName]*testNode{}, history: []map[string]prim.Document{{}},
	}
	for i := range hostCount {
		f.hosts = append(f.hosts, prim.Host{
			Name: prim.HostName(fmt.Sprintf("h%d", i)), DataCentre: prim.DataCentre(fmt.Sprintf("d%d", i%2)), State: prim.HostLive,
		})
	}
	for _, n := range prim.DocumentNames {
		f.publish(n, "good")
	}
	return f
}

// publish adds a new version of a document to the platform.
func (f *fleet) publish(name, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	documents := map[string]prim.Document{}
	for n, d := range f.history[len(f.history)-1] {
		documents[n] = d
	}
	v := documents[name].Version + 1
	b := []byte(fmt.Sprintf("%q", fmt.Sprintf("%s %d", kind, v)))
	documents[name] = prim.Document{Digest: prim.Digest{Name: name, Version: v, Hash: xxh3.Hash(b), Issued: time.Now()}, Body: b}
	f.history = append(f.history, documents)
}

// parse implements Config.Parse. It stores the body in a field of the view that
// watchViews checks.
func (f *fleet) parse(d prim.Document, current *prim.View) (*prim.View, error) {
	body := strings.Trim(string(d.Body), `"`)
	switch {
	case strings.HasPrefix(body, "panic"):
		panic(body)
	case !strings.HasPrefix(body, "good"):
		return nil, errors.New("body is " + body)
	}
	view := *current // the lookup indexes are not used here
	switch d.Name {
	case prim.NamePlans:
		view.Plans.Customers = []prim.CustomerEntry{{Plan: body}}
	case prim.NameDataCentres:
		view.DataCentres.HostsOut = []prim.HostName{prim.HostName(body)}
	case prim.NameHosts:
		view.Hosts.Hosts = f.hosts
	}
	return &view, nil
}

func (f *fleet) start(h prim.Host) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	e := &endpoint{fleet: f, self: h.Name, handlers: map[prim.Kind]prim.Handler{}}
	gossipNode, err := gossip.New(gossip.Config{
		Self: h.Name, DataCentre: h.DataCentre, Seeds: f.seeds, Parse: f.parse, Transport: e, Platform: e,
		Rand: rand.New(rand.NewPCG(f.random(), 2)),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	n := &testNode{Node: gossipNode, endpoint: e, cancel: cancel, done: gossipNode.Run(ctx), watchDone: make(chan struct{})}
	f.mu.Lock()
	f.nodes[h.Name] = n
	f.mu.Unlock()
	go f.watchViews(ctx, n)
	return n
}

// watchViews checks in every view of a node that no version decreased and that each
// version has its own, valid content.
func (f *fleet) watchViews(ctx context.Context, n *testNode) {
	defer close(n.watchDone)
	var last *prim.View
	for {
		changed := n.Changed()
		v := n.View()
		for name, d := range v.Digests {
			if last != nil && d.Version < last.Digests[name].Version {
				f.t.Errorf("%s decreased from version %d to %d", name, last.Digests[name].Version, d.Version)
			}
		}
		checkContent := func(name, got string) {
			if d := v.Digests[name]; got != fmt.Sprintf("good %d", d.Version) {
				f.t.Errorf("%s version %d in force has content %q", name, d.Version, got)
			}
		}
		for _, c := range v.Plans.Customers {
			checkContent(prim.NamePlans, c.Plan)
		}
		for _, h := range v.DataCentres.HostsOut {
			checkContent(prim.NameDataCentres, string(h))
		}
		last = v
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (f *fleet) stop(host prim.HostName) {
	n := f.nodes[host]
	n.cancel()
	<-n.done
	<-n.watchDone
	f.mu.Lock()
	delete(f.nodes, host)
	f.mu.Unlock()
}

func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		if f.nodes[h.Name] != nil {
			f.stop(h.Name)
		}
	}
}

func (f *fleet) random() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Uint64()
}

// deliver waits for a random message delay and reports whether the message arrives.
// A lost message blocks until ctx is done.
func (f *fleet) deliver(ctx context.Context, lossRate float64, reachable func() bool) bool {
	f.mu.Lock()
	delay := time.Duration(f.rng.IntN(20)) * time.Millisecond
	if f.rng.IntN(10) == 0 {
		delay = time.Duration(f.rng.IntN(400)) * time.Millisecond // may be overtaken by later messages
	}
	lost := f.rng.Float64() < lossRate || !reachable()
	f.mu.Unlock()
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

// endpoint implements the transport and the platform of one node.
type endpoint struct {
	fleet    *fleet
	self     prim.HostName
	handlers map[prim.Kind]prim.Handler
}

func (e *endpoint) Handle(k prim.Kind, h prim.Handler) { e.handlers[k] = h }

func (e *endpoint) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	_, err := e.Ask(ctx, to, m)
	if e.fleet.random()%10 == 0 { // duplicates
		_, err = e.Ask(ctx, to, m)
	}
	return err
}

func (e *endpoint) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	f := e.fleet
	reachable := func() bool { return f.partition[e.self] == f.partition[to] && f.nodes[to] != nil }
	if !f.deliver(ctx, f.lossRate, reachable) {
		return prim.Message{}, ctx.Err()
	}
	f.mu.Lock()
	peer := f.nodes[to]
	f.mu.Unlock()
	if peer == nil {
		return prim.Message{}, errors.New("host stopped")
	}
	answer, err := peer.endpoint.handlers[m.Kind](ctx, e.self, m)
	if err == nil && answer.Kind == gossip.KindDocument {
		f.countFetch(string(answer.Body))
	}
	if !f.deliver(ctx, f.lossRate, reachable) {
		return prim.Message{}, ctx.Err()
	}
	return answer, err
}

func (f *fleet) countFetch(body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetchCounts[body]++
}

func (e *endpoint) platformDocuments(ctx context.Context) (map[string]prim.Document, error) {
	f := e.fleet
	// Calls to the platform are not lost at random, since TCP retransmits; the
	// platform is unreachable for some time instead.
	if !f.deliver(ctx, 0, func() bool { return !f.platformDown && !f.platformBlocked[e.self] }) {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	docs, lag := map[string]prim.Document{}, f.platformLag
	if f.platformFlaps && f.rng.IntN(2) == 0 {
		lag = 0
	}
	for n, d := range f.history[max(len(prim.DocumentNames), len(f.history)-1-lag)] {
		if lag == 0 {
			d.Issued = time.Now()
		}
		docs[n] = d
	}
	return docs, nil
}

func (e *endpoint) Index(ctx context.Context) (digests []prim.Digest, err error) {
	docs, err := e.platformDocuments(ctx)
	e.fleet.mu.Lock()
	e.fleet.indexReads++
	e.fleet.mu.Unlock()
	for _, d := range docs {
		digests = append(digests, d.Digest)
	}
	return digests, err
}

func (e *endpoint) Read(ctx context.Context, name string) (prim.Document, error) {
	docs, err := e.platformDocuments(ctx)
	if err == nil {
		e.fleet.countFetch(string(docs[name].Body))
	}
	return docs[name], err
}
