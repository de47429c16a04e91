// Package node assembles one primrosethread process: the only package besides
// the commands that knows which implementation stands behind each port.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/admit"
	"github.com/primrosethread/primrosethread/config"
	"github.com/primrosethread/primrosethread/front"
	"github.com/primrosethread/primrosethread/gossip"
	"github.com/primrosethread/primrosethread/member"
	"github.com/primrosethread/primrosethread/once"
	"github.com/primrosethread/primrosethread/owner"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/probe"
	"github.com/primrosethread/primrosethread/retry"
	"github.com/primrosethread/primrosethread/route"
	"github.com/primrosethread/primrosethread/server"
	"github.com/primrosethread/primrosethread/share"
	"github.com/primrosethread/primrosethread/stats"
)

// loadReportEvery is the time between two reads of the server's load report.
// The report lags by itself, so reading it more often tells little more.
const loadReportEvery = 500 * time.Millisecond

// Config configures a Node.
type Config struct {
	Settings config.Node
	Logger   *slog.Logger
	Version  string
}

// Node is one process of the system.
type Node struct {
	c         Config
	log       *slog.Logger
	instance  prim.Instance
	started   time.Time
	documents *gossip.Node
	peers     *peers.Peers
	server    *server.Client
	admitter  *admit.Admitter
	records   *once.Owner
	caller    *retry.Caller
	recorder  *stats.Recorder
	members   *member.Members
	prober    *probe.Prober
	forget    func() // drops load samples
	ledger    *share.Share
	front     *front.Front
	leaving   leaving
}

// New builds a node that serves nothing yet.
func New(c Config) (*Node, error) {
	s := &c.Settings
	n := &Node{c: c, log: c.Logger, instance: prim.NewInstance(), started: time.Now()}
	var err error
	n.peers, err = peers.New(peers.Config{
		Self:     s.Name,
		Instance: n.instance,
		Key:      s.FleetKey.Bytes(),
		Resolve:  n.resolve,
		Seen:     func(h prim.HostName, i prim.Instance) { n.members.Seen(h, i) },
		Carry:    func(s prim.Sample) (prim.Sample, bool) { return n.prober.Carry(s) },
		Received: func(h prim.HostName, s prim.Sample) (prim.Sample, bool) { return n.prober.Received(h, s) },
		Logger:   n.log,
	})
	if err != nil {
		return nil, err
	}
	if n.documents, err = n.newDocuments(); err != nil {
		return nil, err
	}
	n.members = member.New(member.Config{
		Host: s.Name, DataCentre: s.DataCentre, Instance: n.instance,
		Documents: n.documents, Transport: n.peers,
	})
	n.recorder = stats.New(stats.Config{})
	n.ledger, err = share.New(share.Config{
		Self: s.Name, DataCentre: s.DataCentre, Address: s.PublishedAddress, Instance: n.instance,
		Terms: terms(), Documents: n.documents, Transport: n.peers, Logger: n.log,
	})
	if err != nil {
		return nil, err
	}
	n.assembleOwner()
	if err := n.assembleIngress(); err != nil {
		return nil, err
	}
	return n, nil
}

// assembleOwner builds what runs requests at this host's server.
func (n *Node) assembleOwner() {
	s := &n.c.Settings
	n.server = server.New(server.Config{Host: s.Name, Address: s.Server, Connections: 1})
	n.admitter = admit.New(admit.Config{
		Host: s.Name,
		Cold: func(why string) { n.log.Info("server treated as cold", "Why", why) },
		Paused: func(gap time.Duration) {
			n.log.Warn("process was paused", "Gap", gap)
			n.forget()
		},
	})
	// Records wrap the owner, so that a repeat never reaches admission.
	n.records = once.NewOwner(once.OwnerConfig{
		Host:      s.Name,
		Next:      owner.New(owner.Config{Host: s.Name, Server: n.server, Admitter: n.admitter}),
		Documents: n.documents,
		Transport: n.peers,
		Started:   n.started,
		Bytes:     int64(s.RecordBytes),
	})
	n.peers.SetLocal(n.records)
}

// assembleIngress builds what takes requests of callers and places them.
func (n *Node) assembleIngress() error {
	s := &n.c.Settings
	policy, err := route.New(s.Policy, route.Config{})
	if err != nil {
		return err
	}
	n.forget = func() {}
	stale := func(int, time.Duration) []prim.HostName { return nil }
	if pool, ok := policy.(*route.Pool); ok { // the only one that uses samples
		n.forget, stale = pool.Forget, pool.Stale
	}
	n.prober, err = probe.New(probe.Config{
		Transport: n.peers, Stale: stale, Observe: policy.Observe, Sample: n.admitter.Sample,
	})
	if err != nil {
		return err
	}
	n.caller = retry.New(retry.Config{
		Host:        s.Name,
		Costs:       costs(s),
		DefaultCost: s.DefaultCost,
		Documents:   n.documents,
		Members:     n.members,
		Policy:      policy,
		Owners:      n.peers,
		Keyed:       n.walker(policy),
		Recorder:    n.recorder,
		Queue:       s.MaxWaiting,
	})
	n.front = front.New(front.Config{
		Documents:  n.documents,
		Ledger:     n.ledger,
		Caller:     n.caller,
		Recorder:   n.recorder,
		KeyCreated: once.Created,
		MaxCalls:   s.MaxCalls,
		Logger:     n.log,
	})
	return nil
}

// walker builds the caller of requests with an idempotency key. It shares the
// budgets and the pending counts of n.caller, which is set after it.
func (n *Node) walker(policy prim.Policy) *once.Walker {
	return once.NewWalker(once.WalkerConfig{
		Host:      n.c.Settings.Name,
		Documents: n.documents,
		Members:   n.members,
		Policy:    policy,
		Owners:    n.peers,
		Again: func(ctx context.Context, r *prim.Request, delay time.Duration) error {
			return n.caller.Again(ctx, r, delay)
		},
		Track: func(h prim.HostName) func() { return n.caller.Track(h) },
	})
}

// clockMargin bounds the difference between two hosts' wall clocks. Time daemons
// keep them within tens of milliseconds. A new instance owns no part of an
// allowance for as long, so a longer margin would delay a fleet's start.
const clockMargin = 2 * time.Second

// terms are the times that allowances rest on, the same in the whole fleet.
func terms() share.Terms {
	t := share.DefaultTerms
	t.ClockMargin = clockMargin
	return t
}

// costs lists the distance of every data centre from this one.
func costs(s *config.Node) map[prim.DataCentre]time.Duration {
	m := map[prim.DataCentre]time.Duration{s.DataCentre: 0}
	for _, c := range s.Costs {
		for _, d := range []prim.DataCentre{c.A, c.B} {
			m[d] = s.Cost(s.DataCentre, d)
		}
	}
	return m
}

// resolve returns the address of a host's node.
func (n *Node) resolve(h prim.HostName) (netip.AddrPort, bool) {
	if e, ok := n.documents.View().Host(h); ok && e.State != prim.HostLost {
		return e.Address, true
	}
	// A node that joins while the platform is down knows only its seeds.
	for _, e := range n.c.Settings.Seeds {
		if e.Name == h {
			return e.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// Run serves until the context ends, then stops gracefully: it
// admits nothing new and finishes the requests in flight. It returns nil
// after a planned stop.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.c.Settings.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for callers and peers: %w; free the address or change -listen", err)
	}
	admin, err := net.Listen("tcp", n.c.Settings.AdminListen.String())
	if err != nil {
		listener.Close()
		return fmt.Errorf("listen for metrics and status: %w; free the address or change -admin-listen", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := n.start(background)

	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle(peers.Path, n.peers.Handler())
	n.front.Mount(router)
	callers := newServer(n.closing(router))
	limit := &connections{most: int64(n.c.Settings.MaxConnections)}
	callers.ConnState = limit.changed
	status := newServer(n.adminRoutes())
	served := make(chan error, 2)
	go func(context.Context) { served <- callers.Serve(listener) }(ctx)
	go func(context.Context) { served <- status.Serve(admin) }(ctx)
	n.log.Info("node started", "Listen", listener.Addr().String(), "Admin", admin.Addr().String(), "Instance", n.instance)

	select {
	case <-ctx.Done():
	case err := <-served:
		served <- err
		n.log.Error("listener failed", "Error", err)
	}
	err = n.drain(callers)
	status.Close()
	n.peers.Close()
	stop()
	for _, e := range ended {
		<-e
	}
	n.server.Close()
	for range 2 {
		if e := <-served; !errors.Is(e, http.ErrServerClosed) {
			err = errors.Join(err, e)
		}
	}
	n.log.Info("node stopped", "Error", err)
	return err
}

// start starts the background work and returns the channels on which it
// reports its end.
func (n *Node) start(ctx context.Context) []<-chan error {
	return []<-chan error{
		n.documents.Run(ctx),
		n.members.Run(ctx),
		n.prober.Run(ctx),
		n.admitter.Run(ctx),
		n.caller.Run(ctx),
		n.ledger.Run(ctx),
		n.follow(ctx),
		server.Watch(ctx, server.WatchConfig{
			URL:       "http://" + n.c.Settings.Server.String() + "/load",
			Every:     loadReportEvery,
			Restarted: func() { n.admitter.Suspect("the server's start id changed") },
			Draining:  func(d bool) { n.leaving.set(n, byServer, d) },
		}),
	}
}

// Bounds on callers' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    prim.MaxHeaderBytes,
	}
}
