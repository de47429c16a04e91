// Package mesh assembles a node for the users' platform: the process that runs beside
// each server of a deployment. The routes, servers and data centre switches of the
// deployment are published in the platform's store.
package mesh

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/access"
	"github.com/primrosethread/primrosethread/budget"
	"github.com/primrosethread/primrosethread/conns"
	"github.com/primrosethread/primrosethread/guard"
	"github.com/primrosethread/primrosethread/httpd"
	"github.com/primrosethread/primrosethread/memory"
	"github.com/primrosethread/primrosethread/owner"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/platform"
	"github.com/primrosethread/primrosethread/quota"
	"github.com/primrosethread/primrosethread/relay"
	"github.com/primrosethread/primrosethread/roster"
	"github.com/primrosethread/primrosethread/server"
	"github.com/primrosethread/primrosethread/slots"
	"github.com/primrosethread/primrosethread/stats"
)

// Config configures a Node.
type Config struct {
	Settings platform.Settings
	// Path is the settings file; if empty, settings are not reloaded. A value on
	// Reload requests a reload; it may be nil.
	Path   string
	Reload <-chan os.Signal
	// MetricsPort is the port for metrics and status on the host's address; 0 disables
	// them.
	MetricsPort uint16
	Logger      *slog.Logger
	Version     string
}

// Node is one process of the mesh.
type Node struct {
	config          Config
	currentSettings atomic.Pointer[platform.Settings]
	guard           *guard.Guard
	memory          *memory.Budget
	log             *slog.Logger
	instance        prim.Instance
	store           *platform.Client
	registry        *platform.Registry
	roster          *roster.Roster
	peers           *peers.Peers
	client          *server.Client
	server          *platform.Server
	admitter        *slots.Admitter
	relay           *relay.Relay
	shares          *quota.Shares
	handler         *platform.Handler
	recorder        *stats.Recorder
	leaving         leaveState
	stopping        atomic.Bool
	answerBy        atomic.Pointer[time.Time] // requests are answered by then; nil if the node does not stop
	callsEnded      context.Context           // ends the requests of callers that are still in progress then
	endCalls        context.CancelFunc
	readinessChecks atomic.Int64       // readiness checks since the stop began
	callsInProgress atomic.Int64       // requests of callers in progress
	aheadPeers      chan prim.HostName // a node with newer state
	verifyPeers     chan prim.HostName // a node whose routes are known to be current
	checkNow        chan struct{}      // triggers an immediate health check
	startedAt       time.Time
	reportedAt      atomic.Int64 // nanoseconds from startedAt to the last load report in an answer
}

// coldBudgetShare is the share of the request rate allowed for a cold server that this
// node uses. The rest covers requests that the server counts in a different second
// than this node.
const coldBudgetShare = 0.96

// retryBudgetShare is the share of the fleet's retry limit that the nodes use, each an
// equal part. The rest covers nodes that see different numbers of hosts.
const retryBudgetShare = 0.25

// New builds a node. It serves nothing until Run is called.
func New(c Config) (*Node, error) {
	s := &c.Settings
	n := &Node{config: c, log: c.Logger, guard: guard.New(c.Logger), startedAt: time.Now(), instance: prim.NewInstance(), recorder: stats.New(stats.Config{}),
		checkNow: make(chan struct{}, 1), aheadPeers: make(chan prim.HostName, 1), verifyPeers: make(chan prim.HostName, 1)}
	n.currentSettings.Store(s)
	n.memory = memory.New(memory.Config{Bytes: s.MemoryMB << 20, Descriptors: s.MaxFDs, InUse: memory.InUse})
	n.callsEnded, n.endCalls = context.WithCancel(context.Background())
	n.store = platform.NewClient(s.Store.String())
	n.registry = platform.NewRegistry(n.store, n.log)
	n.roster = roster.New(roster.Config{Host: s.Host, DataCentre: s.DataCentre, RepublishDelay: s.RepublishDelay, SettleTime: s.SettleTime, DrainTime: s.DrainTime, EntryTTL: s.EntryTTL, Logger: n.log, Guard: n.guard,
		VerifyRoutes: n.needsVerifiedRoutes})
	var err error
	n.peers, err = peers.New(peers.Config{
		Self:           s.Host,
		Instance:       n.instance,
		Keyless:        true,
		Resolve:        n.resolve,
		OnHostResponse: func(h prim.HostName, _ prim.Instance) { n.relay.LinkOpened(h) },
		OnUnlinked:     func(h prim.HostName) { n.relay.LinkClosed(h) },
		OnBrokenAnswer: func(h prim.HostName, err *prim.BrokenAnswerError) { n.recordBrokenAnswer(h, "", err) },
		OutgoingSample: func(s prim.LoadSample) (prim.LoadSample, bool) { return n.roster.Annotate(time.Now(), s), true },
		IncomingSample: n.observeSample,
		Logger:         n.log,
		Guard:          n.guard,
		Memory:         n.memory.Requests(),
		// Dialling a host that lost power has to fail quickly.
		DialTimeout: dialTimeout,
	})
	if err != nil {
		return nil, err
	}
	n.admitter = slots.New(slots.Config{
		Host: s.Host, Service: s.Service, Logger: n.log,
		ColdRate: func(rate float64) float64 {
			return coldBudgetShare * (rate*n.settings().ColdFactor + n.settings().ColdExtra)
		},
	})
	n.client = server.New(server.Config{Host: s.Host, Address: s.Server, OmitNodeHeaders: true,
		Match: platform.MatchAnswer, Buffers: platform.BuffersAnswer, IdleTimeout: serverIdle, Memory: n.memory.Optional(), HeaderMemory: n.memory.Requests(),
		OnBrokenAnswer: n.recordOwnBrokenAnswer})
	n.server = platform.NewServer(platform.ServerConfig{
		Host: s.Host, Client: n.client, ServerID: n.admitter.ServerID, AnswerBy: n.serverAnswersBy, OnReport: n.applyAnswerReport,
		OnLeaving: func(leaving bool) { n.setLeaveReason(leaveServer, leaving) }, OnBrokenAnswer: n.recordOwnBrokenAnswer, Logger: n.log,
		NeedsKeys: func() bool { return n.roster.Placement().Routing.NeedsKeys() },
	})
	n.peers.SetLocal(owner.New(owner.Config{Host: s.Host, Server: checkOnFailure{n}, Admitter: n.admitter}))
	n.peers.Handle(roster.KindState, n.roster.Handle)
	n.relay = relay.New(relay.Config{
		Host: s.Host, DataCentre: s.DataCentre, Placements: n.roster, Owners: n.peers, Links: n.peers,
		Recorder: n.recorder, Logger: n.log, Budget: n.retryBudget, AnswerBy: n.answersBy, CheckAnswer: n.checkAnswer, Region: n.region,
		DataCentreDelay: dataCentreDelay, RegionDelay: regionDelay, LinkCostPerKB: linkCostPerKB,
	})
	n.shares = quota.NewShares(quota.SharesConfig{
		Host: s.Host, DataCentre: s.DataCentre, Placements: n.roster, Transport: n.peers, Recorder: n.recorder,
		Bound: n.quotaBound, Age: n.roster.RoutesAge, MaxAge: n.maxQuotaAge,
	})
	n.peers.Handle(quota.KindTokens, n.shares.Handle)
	n.handler = platform.NewHandler(platform.HandlerConfig{
		Placements: n.roster, Caller: n.relay, Recorder: n.recorder, Logger: n.log,
		Origin: s.Service, Leaving: n.stopping.Load, Ages: n.roster.Ages, Limits: n.clientLimits, Memory: n.memory,
		Access: access.New(access.Config{MaxAge: func() time.Duration { return n.settings().MaxRoutesAge() }}), KeyAge: n.keyAge, TakeQuota: n.shares.Take,
	})
	n.applyRegions(s)
	return n, nil
}

const (
	dialTimeout = 300 * time.Millisecond
	// serverIdle is the idle timeout of a connection to the server.
	serverIdle = 4 * time.Second
	// dataCentreDelay is the one-way delay to another data centre of the same region that is
	// assumed until it is measured.
	dataCentreDelay = 5 * time.Millisecond
	// regionDelay is the same for another region. It is that of a deployment with regions
	// on one continent.
	regionDelay = 30 * time.Millisecond
	// linkCostPerKB is the time that a server in another data centre has to save, per
	// kilobyte sent over the link, to be chosen.
	linkCostPerKB = 250 * time.Millisecond
)

// retryBudget returns this node's share of the fleet's retry budget for a service.
func (n *Node) retryBudget() *budget.Budget {
	s := n.settings()
	nodes := float64(max(1, n.roster.Placement().HostCount()))
	extra := retryBudgetShare * s.RetryExtra / nodes
	// Within one window the bucket may spend its burst and the refill of the whole
	// window, so each is half of extra.
	return budget.New(retryBudgetShare*s.RetryShare, extra/2/s.RetryWindow.Seconds(), max(1, extra/2))
}

// resolve returns the address of a host's node. A host's name is its IP address, and
// all nodes use the same port.
func (n *Node) resolve(h prim.HostName) (netip.AddrPort, bool) {
	a, err := netip.ParseAddr(string(h))
	return netip.AddrPortFrom(a, n.config.Settings.PeerListen.Port()), err == nil
}

// observeSample processes a load sample from another node.
func (n *Node) observeSample(h prim.HostName, s prim.LoadSample) (prim.LoadSample, bool) {
	n.relay.Observe(h, s)
	if n.roster.ObserveSample(time.Now(), h, s) {
		n.requestCatchUp(h)
	}
	n.requestVerification(h, s)
	return s, true
}

// applyAnswerReport applies the load report of an answer to a request.
func (n *Node) applyAnswerReport(r slots.Report) {
	if r.Slowdown > 0 {
		n.reportedAt.Store(int64(time.Since(n.startedAt)))
	}
	n.admitter.ApplyReport(r)
}

// checkOnFailure wraps the server and triggers an immediate health check when a
// connection breaks or the server refuses a request for a reason other than
// shedding.
type checkOnFailure struct{ n *Node }

// Do implements prim.Server.
func (w checkOnFailure) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	a, err := w.n.server.Do(ctx, r)
	var lost *prim.LostAnswerError
	var refusal *prim.RefusalError
	if errors.As(err, &lost) && lost.Reset || errors.As(err, &refusal) && refusal.Reason != prim.ReasonShed {
		select {
		case w.n.checkNow <- struct{}{}:
		default:
		}
	}
	return a, err
}

// endpoint is an address that a node listens on, with its HTTP server.
type endpoint struct {
	name     string
	address  netip.AddrPort
	config   net.ListenConfig
	server   interface{ Serve(net.Listener) error }
	listener net.Listener
}

// Run serves until the context ends, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	s := &n.config.Settings
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle(peers.Path, n.peers.Handler())
	callers := n.callerServer()
	readiness := &http.Server{Handler: n.readyRoutes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	metrics := &http.Server{Handler: n.statusRoutes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	links := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	endpoints := []endpoint{
		{"callers", s.CallerListen, net.ListenConfig{}, callers, nil},
		{"readiness", s.ReadyListen, net.ListenConfig{}, readiness, nil},
		{"peers", s.PeerListen, peers.ListenConfig, links, nil},
	}
	if n.config.MetricsPort > 0 {
		at := netip.AddrPortFrom(s.PeerListen.Addr(), n.config.MetricsPort)
		endpoints = append(endpoints, endpoint{"metrics", at, net.ListenConfig{}, metrics, nil})
	}
	for i := range endpoints {
		l := &endpoints[i]
		var err error
		if l.listener, err = l.config.Listen(ctx, "tcp", l.address.String()); err != nil {
			return fmt.Errorf("listen for %s: %w; free the address or change the settings", l.name, err)
		}
	}
	callerListener := conns.New(conns.Config{Listener: endpoints[0].listener.(*net.TCPListener), OnReject: n.recordRejection, Bounds: n.connectionBounds()})
	endpoints[0].listener = callerListener
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	served := make(chan error, len(endpoints))
	for _, l := range endpoints {
		go func(context.Context) { served <- l.server.Serve(l.listener) }(ctx)
	}
	ended := []<-chan error{
		n.roster.Follow(background, n.registry),
		n.followPlacement(background),
		n.checkServer(background),
		n.client.Run(background),
		n.publishLoad(background),
		n.maintainLinks(background),
		n.catchUp(background),
		n.verifyRoutes(background),
		n.shares.Follow(background),
		n.followSettings(background),
	}
	n.log.Info("node started", "Service", s.Service, "DataCentre", s.DataCentre,
		"Callers", s.CallerListen, "Peers", s.PeerListen, "Instance", n.instance)

	<-ctx.Done()
	err := n.drain(func(ctx context.Context) error { return callerListener.Drain(ctx, callers) })
	links.Close()
	n.peers.Close()
	readiness.Close()
	metrics.Close()
	stop()
	for _, e := range ended {
		<-e
	}
	n.client.Close()
	for range endpoints {
		if e := <-served; !errors.Is(e, http.ErrServerClosed) {
			err = errors.Join(err, e)
		}
	}
	n.log.Info("node stopped", "Error", err)
	return err
}

// callerServer returns the server for callers. The contexts of their requests end with
// callsEnded.
func (n *Node) callerServer() *httpd.Server {
	return httpd.New(httpd.Config{
		Handler: conns.Handler(n.trackCalls(n.handler)), Concurrent: n.handler.Concurrent, Leaving: n.stopping.Load, Limits: n.clientLimits, Memory: n.memory.Optional(), Requests: n.memory.Requests(), Unread: n.memory.Unread(),
		ConnState:   conns.Track,
		ConnContext: func(_ context.Context, c net.Conn) context.Context { return conns.Context(n.callsEnded, c) },
		Logger:      n.log, Recorder: n.recorder,
	})
}

// Timeouts for connections to the readiness and metrics endpoints and to links.
const (
	headerTimeout = prim.DefaultHeaderTimeout
	idleTimeout   = prim.DefaultIdleTimeout
)

// recordRejection records a response that the server sent without calling the handler.
func (n *Node) recordRejection(client net.Addr, response string) {
	if strings.HasPrefix(response, strconv.Itoa(http.StatusServiceUnavailable)) {
		n.recorder.Count("RejectedWithoutMemory", 1)
		n.log.Info("request rejected for lack of memory", "Client", client.String(), "Response", response)
		return
	}
	n.recorder.Count("RejectedAsMalformed", 1)
	n.log.Info("request rejected as malformed", "Client", client.String(), "Response", response)
}

// recordBrokenAnswer records an invalid answer of a host's server. The ID of the server is
// empty if it is not known.
func (n *Node) recordBrokenAnswer(h prim.HostName, id string, err *prim.BrokenAnswerError) {
	n.recorder.Count("BrokenAnswers", 1)
	n.log.Warn("broken answer", "Host", h, "Server", id, "Error", err)
}

// recordOwnBrokenAnswer records an invalid answer of this host's server.
func (n *Node) recordOwnBrokenAnswer(err *prim.BrokenAnswerError) {
	n.recordBrokenAnswer(n.config.Settings.Host, n.admitter.ServerID(), err)
}

// checkAnswer checks an answer that came from the owner at a host, and records it if it is
// not that of the host's server.
func (n *Node) checkAnswer(h prim.HostName, r *prim.Request, a *prim.Answer) error {
	err := platform.CheckAnswer(h, r, a)
	var broken *prim.BrokenAnswerError
	if errors.As(err, &broken) {
		n.recordBrokenAnswer(h, "", broken)
	}
	return err
}

// trackCalls counts the callers' requests in progress.
func (n *Node) trackCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.callsInProgress.Add(1)
		defer n.callsInProgress.Add(-1)
		next.ServeHTTP(w, r)
	})
}
