// Package node assembles a primrosethread node on a platform that publishes
// documents. Besides package mesh and the commands, it is the only package that
// knows which implementation of each interface is used.
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
	"github.com/primrosethread/primrosethread/conns"
	"github.com/primrosethread/primrosethread/front"
	"github.com/primrosethread/primrosethread/gossip"
	"github.com/primrosethread/primrosethread/member"
	"github.com/primrosethread/primrosethread/once"
	"github.com/primrosethread/primrosethread/owner"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/probe"
	"github.com/primrosethread/primrosethread/quota"
	"github.com/primrosethread/primrosethread/retry"
	"github.com/primrosethread/primrosethread/route"
	"github.com/primrosethread/primrosethread/server"
	"github.com/primrosethread/primrosethread/stats"
)

// loadReportInterval is the time between two reads of the server's load report.
// The report itself lags, so reading it more often gains little.
const loadReportInterval = 500 * time.Millisecond

// Config configures a Node.
type Config struct {
	Settings config.NodeSettings
	Logger   *slog.Logger
	Version  string
}

// Node is a primrosethread node: it routes the requests of callers and admits
// requests to the server of its host.
type Node struct {
	config           Config
	log              *slog.Logger
	instance         prim.Instance
	started          time.Time
	documents        *gossip.Node
	peers            *peers.Peers
	server           *server.Client
	admitter         *admit.Admitter
	records          *once.Owner
	caller           *retry.Caller
	recorder         *stats.Recorder
	members          *member.Members
	prober           *probe.Prober
	forgetSamples    func() // drops the policy's load samples
	allowanceLimiter *quota.AllowanceLimiter
	front            *front.Front
	leaveReasons     leaveReasonSet
}

// New builds a node. It serves nothing before Run is called.
func New(c Config) (*Node, error) {
	s := &c.Settings
	n := &Node{config: c, log: c.Logger, instance: prim.NewInstance(), started: time.Now()}
	var err error
	n.peers, err = peers.New(peers.Config{
		Self:           s.Name,
		Instance:       n.instance,
		Key:            s.FleetKey.Bytes(),
		Resolve:        n.resolveHost,
		OnHostResponse: func(h prim.HostName, i prim.Instance) { n.members.MarkReachable(h, i) },
		OnBrokenAnswer: n.recordBrokenAnswer,
		OutgoingSample: func(s prim.LoadSample) (prim.LoadSample, bool) { return n.prober.ChargeSent(s) },
		IncomingSample: func(h prim.HostName, s prim.LoadSample) (prim.LoadSample, bool) {
			return n.prober.ChargeReceived(h, s)
		},
		Logger: n.log,
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
	n.allowanceLimiter, err = quota.New(quota.Config{
		Self: s.Name, DataCentre: s.DataCentre, Address: s.PublishedAddress, Instance: n.instance,
		Timing: allowanceTiming(), Documents: n.documents, Transport: n.peers, Logger: n.log,
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

// recordBrokenAnswer records an invalid answer of a host's server.
func (n *Node) recordBrokenAnswer(h prim.HostName, err *prim.BrokenAnswerError) {
	n.recorder.Count("BrokenAnswers", 1)
	n.log.Warn("broken answer", "Host", h, "Server", n.config.Settings.Server, "Error", err)
}

// assembleOwner builds the components that run requests at this host's server.
func (n *Node) assembleOwner() {
	s := &n.config.Settings
	n.server = server.New(server.Config{Host: s.Name, Address: s.Server, Connections: 1,
		OnBrokenAnswer: func(err *prim.BrokenAnswerError) { n.recordBrokenAnswer(s.Name, err) }})
	n.admitter = admit.New(admit.Config{
		Host:   s.Name,
		OnCold: func(why string) { n.log.Info("server treated as cold", "Why", why) },
		OnPause: func(gap time.Duration) {
			n.log.Warn("process was paused", "Gap", gap)
			n.forgetSamples()
		},
	})
	// The idempotency records wrap the owner, so that a repeated request never
	// reaches admission.
	n.records = once.NewOwner(once.OwnerConfig{
		Host:           s.Name,
		Next:           owner.New(owner.Config{Host: s.Name, Server: n.server, Admitter: n.admitter}),
		Documents:      n.documents,
		Transport:      n.peers,
		Started:        n.started,
		MaxRecordBytes: int64(s.RecordBytes),
	})
	n.peers.SetLocal(n.records)
}

// assembleIngress builds the components that accept requests of callers and
// choose servers for them.
func (n *Node) assembleIngress() error {
	s := &n.config.Settings
	policy, err := route.New(s.Policy, route.Config{})
	if err != nil {
		return err
	}
	n.forgetSamples = func() {}
	staleHosts := func(int, time.Duration) []prim.HostName { return nil }
	if pool, ok := policy.(*route.Pool); ok { // the only policy that uses load samples
		n.forgetSamples, staleHosts = pool.Forget, pool.Stale
	}
	n.prober, err = probe.New(probe.Config{
		Transport: n.peers, Stale: staleHosts, Observe: policy.Observe, Sample: n.admitter.Sample,
	})
	if err != nil {
		return err
	}
	n.caller = retry.New(retry.Config{
		Host:         s.Name,
		Costs:        delaysFrom(s),
		DefaultCost:  s.DefaultCost,
		Documents:    n.documents,
		Reachability: n.members,
		Policy:       policy,
		Owners:       n.peers,
		Keyed:        n.newKeyedCaller(policy),
		Recorder:     n.recorder,
		Queue:        s.MaxWaiting,
	})
	n.front = front.New(front.Config{
		Documents:        n.documents,
		AllowanceLimiter: n.allowanceLimiter,
		Caller:           n.caller,
		Recorder:         n.recorder,
		KeyCreated:       once.KeyCreationTime,
		MaxCalls:         s.MaxCalls,
		Logger:           n.log,
	})
	return nil
}

// newKeyedCaller builds the component that runs requests with an idempotency
// key. It shares the retry budgets and the pending counts of n.caller, which is
// set later, so they are reached through closures.
func (n *Node) newKeyedCaller(policy prim.Policy) *once.Caller {
	return once.NewCaller(once.CallerConfig{
		Host:         n.config.Settings.Name,
		Documents:    n.documents,
		Reachability: n.members,
		Policy:       policy,
		Owners:       n.peers,
		WaitForRetry: func(ctx context.Context, r *prim.Request, delay time.Duration) error {
			return n.caller.WaitForRetry(ctx, r, delay)
		},
		TrackAttempt: func(h prim.HostName) func() { return n.caller.TrackAttempt(h) },
	})
}

// clockMargin is the assumed maximum difference between the wall clocks of two
// hosts. Time daemons keep it within tens of milliseconds. A new instance owns
// no part of an allowance for this long, so a longer margin would delay the
// start of a fleet.
const clockMargin = 2 * time.Second

// allowanceTiming returns the time parameters of allowances, which must be the
// same in the whole fleet.
func allowanceTiming() quota.Timing {
	t := quota.DefaultTiming
	t.ClockMargin = clockMargin
	return t
}

// delaysFrom returns the one-way network delay from this node's data centre to
// each one that the settings list.
func delaysFrom(s *config.NodeSettings) map[prim.DataCentre]time.Duration {
	m := map[prim.DataCentre]time.Duration{s.DataCentre: 0}
	for _, c := range s.Costs {
		for _, d := range []prim.DataCentre{c.A, c.B} {
			m[d] = s.Cost(s.DataCentre, d)
		}
	}
	return m
}

// resolveHost returns the address of the node on host h.
func (n *Node) resolveHost(h prim.HostName) (netip.AddrPort, bool) {
	if e, ok := n.documents.View().Host(h); ok && e.State != prim.HostLost {
		return e.Address, true
	}
	// A node that starts while the platform is down knows only its seeds.
	for _, e := range n.config.Settings.Seeds {
		if e.Name == h {
			return e.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// Run serves until the context ends or a listener fails, then stops gracefully:
// it admits no new requests and finishes those in flight. It returns nil after
// a planned stop.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.config.Settings.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for callers and peers: %w; free the address or change -listen", err)
	}
	adminListener, err := net.Listen("tcp", n.config.Settings.AdminListen.String())
	if err != nil {
		listener.Close()
		return fmt.Errorf("listen for metrics and status: %w; free the address or change -admin-listen", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	backgroundDone := n.startBackground(background)

	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle(peers.Path, n.peers.Handler())
	n.front.Mount(router)
	callerServer := newServer(n.closeConnectionsOnStop(router))
	limiter := &connectionLimiter{limit: int64(n.config.Settings.MaxConnections)}
	callerListener := conns.New(conns.Config{Listener: listener.(*net.TCPListener)})
	callerServer.ConnState = func(c net.Conn, s http.ConnState) {
		conns.Track(c, s)
		limiter.stateChanged(c, s)
	}
	adminServer := newServer(n.adminRoutes())
	serveErrors := make(chan error, 2)
	go func(context.Context) { serveErrors <- callerServer.Serve(callerListener) }(ctx)
	go func(context.Context) { serveErrors <- adminServer.Serve(adminListener) }(ctx)
	n.log.Info("node started", "Listen", listener.Addr().String(), "Admin", adminListener.Addr().String(), "Instance", n.instance)

	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		serveErrors <- err
		n.log.Error("listener failed", "Error", err)
	}
	err = n.drain(func(ctx context.Context) error { return callerListener.Drain(ctx, callerServer) })
	adminServer.Close()
	n.peers.Close()
	stop()
	for _, e := range backgroundDone {
		<-e
	}
	n.server.Close()
	for range 2 {
		if e := <-serveErrors; !errors.Is(e, http.ErrServerClosed) {
			err = errors.Join(err, e)
		}
	}
	n.log.Info("node stopped", "Error", err)
	return err
}

// startBackground starts the background tasks and returns the channels on which
// they report their end.
func (n *Node) startBackground(ctx context.Context) []<-chan error {
	return []<-chan error{
		n.documents.Run(ctx),
		n.members.Run(ctx),
		n.prober.Run(ctx),
		n.admitter.Run(ctx),
		n.server.Run(ctx),
		n.caller.Run(ctx),
		n.allowanceLimiter.Run(ctx),
		n.followDocuments(ctx),
		server.Watch(ctx, server.WatchConfig{
			URL:          "http://" + n.config.Settings.Server.String() + "/load",
			PollInterval: loadReportInterval,
			OnRestart:    func() { n.admitter.AssumeCold("the server's start id changed") },
			OnDraining:   func(d bool) { n.leaveReasons.set(n, leaveByServer, d) },
		}),
	}
}

// Timeouts of connections to the HTTP servers.
const (
	headerTimeout = 5 * time.Second  // for reading the header of a request
	idleTimeout   = 90 * time.Second // between requests
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    prim.MaxHeaderBytes,
	}
}
