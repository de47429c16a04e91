// Package peers connects the nodes of a fleet with WebSocket links. The links
// carry requests to the owners at other hosts and control messages.
//
// Only the side that dialled a link makes calls on it; the other side answers
// them and may push load samples. Links are dialled on first use, kept open,
// and redialled with backoff. Unless Config.Keyless is set, both sides prove
// during the HTTP upgrade, before any frame is read, that they hold the fleet
// key.
package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/guard"
)

// Default values of Config, and fixed timeouts and thresholds.
const (
	DefaultLinksPerHost = 4
	DefaultMaxCalls     = 4096
	DefaultMaxLinks     = 4096
	DefaultDialTimeout  = time.Second
	// writeTimeout bounds the write of the first piece of a frame. A link whose peer
	// does not read is closed after it, because a frozen peer must not delay calls
	// that could go to another host.
	writeTimeout = 250 * time.Millisecond
	// stallTimeout bounds the write of each further piece. It is longer, because the
	// peer has just read and the windows of a slow network open in large steps.
	stallTimeout  = time.Second
	maxPieceBytes = 16 << 10
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 2 * time.Second
	// extraLinkThreshold is the number of unanswered calls at which another
	// link to a host is dialled, once every link to it has that many.
	extraLinkThreshold = 16
)

// Config configures Peers.
type Config struct {
	Self     prim.HostName
	Instance prim.Instance
	// Key is the fleet key. Peers that cannot prove it are refused.
	Key []byte
	// Keyless disables authentication: peers are accepted without a proof. It
	// is meant for networks that only the fleet's hosts can reach and where no
	// secret can be provided to a node.
	Keyless bool
	// Resolve returns the address of a host's node, and false if the host is
	// unknown.
	Resolve func(prim.HostName) (netip.AddrPort, bool)
	// Local runs the requests that other nodes send to this one.
	Local prim.Owner
	// OnHostResponse is called when a host has answered or opened a link; it may be nil.
	OnHostResponse func(prim.HostName, prim.Instance)
	// OutgoingSample returns the load sample to attach to an answer, and
	// whether to attach one. IncomingSample returns the sample to use of one
	// that has arrived, and whether to use it. Both charge the budget for
	// measuring load. If they are nil every sample is sent and used.
	OutgoingSample func(prim.LoadSample) (prim.LoadSample, bool)
	IncomingSample func(prim.HostName, prim.LoadSample) (prim.LoadSample, bool)
	// OnBrokenAnswer is called with every answer of another host that is invalid; it may be
	// nil.
	OnBrokenAnswer func(prim.HostName, *prim.BrokenAnswerError)
	// OnUnlinked is called when the last dialled link to a host has closed; it may be
	// nil.
	OnUnlinked func(prim.HostName)
	// Guard contains panics, which end one call or one link; nil uses a new one.
	Guard  *guard.Guard
	Logger *slog.Logger
	// LinksPerHost is the maximum number of dialled links to one host; 0 means
	// DefaultLinksPerHost.
	LinksPerHost int
	// MaxLinks is the maximum number of open links, dialled and accepted; 0
	// means DefaultMaxLinks.
	MaxLinks int
	// DialTimeout bounds the dial of a link including the upgrade; 0 means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxCalls is the maximum number of unanswered calls on one link; 0 means
	// DefaultMaxCalls.
	MaxCalls int
	// Memory accounts for the frames that other nodes send faster than they are handled, and
	// for the bodies of requests that they send in parts; nil means no bound. While a body is
	// collected, up to 1.25 times its length is charged.
	Memory prim.MemoryBudget
}

// Peers manages the links of one node. It implements prim.Transport and
// prim.Owners.
type Peers struct {
	config     Config
	ctx        context.Context
	cancel     context.CancelFunc
	handlers   map[prim.Kind]prim.Handler
	localOwner prim.Owner
	// linkSem is a semaphore that each open link holds one unit of. A link's
	// goroutine releases its unit last, so Close waits for all links by
	// acquiring the whole semaphore.
	linkSem    chan struct{}
	closeOnce  sync.Once
	workerPool *workerPool

	mu           sync.RWMutex
	groups       map[prim.HostName]*linkGroup
	inboundLinks map[*inboundLink]struct{} // links that other nodes have dialled
	dialClient   *http.Client              // sends the upgrade requests of dialled links

	dialled  atomic.Int64
	accepted atomic.Int64
	serving  atomic.Int64
	bytesIn  atomic.Int64
	bytesOut atomic.Int64

	bodyStallTimeout time.Duration
	bodiesSent       atomic.Int64
	bodiesReceived   atomic.Int64
	bodiesAbandoned  atomic.Int64
	waitedForMemory  atomic.Int64
	// answersWithoutMemory is the number of answers that were lost for lack of memory.
	answersWithoutMemory atomic.Int64
}

// New returns a Peers that has no links yet.
func New(config Config) (*Peers, error) {
	if len(config.Key) < MinKeyBytes && !config.Keyless {
		return nil, fmt.Errorf("fleet key has %d bytes; give at least %d", len(config.Key), MinKeyBytes)
	}
	if config.LinksPerHost == 0 {
		config.LinksPerHost = DefaultLinksPerHost
	}
	if config.MaxCalls == 0 {
		config.MaxCalls = DefaultMaxCalls
	}
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.MaxLinks == 0 {
		config.MaxLinks = DefaultMaxLinks
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.OutgoingSample == nil {
		config.OutgoingSample = func(s prim.LoadSample) (prim.LoadSample, bool) { return s, true }
	}
	if config.IncomingSample == nil {
		config.IncomingSample = func(_ prim.HostName, s prim.LoadSample) (prim.LoadSample, bool) { return s, true }
	}
	if config.Guard == nil {
		config.Guard = guard.New(config.Logger)
	}
	if config.OnBrokenAnswer == nil {
		config.OnBrokenAnswer = func(prim.HostName, *prim.BrokenAnswerError) {}
	}
	if config.Memory == nil {
		config.Memory = unbounded{}
	}
	if config.OnUnlinked == nil {
		config.OnUnlinked = func(prim.HostName) {}
	}
	if config.OnHostResponse == nil {
		config.OnHostResponse = func(prim.HostName, prim.Instance) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	answerPing := func(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
		return prim.Message{Kind: KindPing}, nil
	}
	return &Peers{
		config:     config,
		ctx:        ctx,
		cancel:     cancel,
		handlers:   map[prim.Kind]prim.Handler{KindPing: answerPing},
		localOwner: config.Local,
		linkSem:    make(chan struct{}, config.MaxLinks),
		workerPool: newWorkerPool(ctx),
		groups:     make(map[prim.HostName]*linkGroup),

		inboundLinks: make(map[*inboundLink]struct{}),
		dialClient:   newDialer(),

		bodyStallTimeout: bodyStallTimeout,
	}, nil
}

// SetLocal sets the owner of this host. If Config.Local is nil it must be called
// before the first link is served.
func (p *Peers) SetLocal(o prim.Owner) { p.localOwner = o }

// Handle registers the handler for control messages of kind k. It must be
// called before the first link is served.
func (p *Peers) Handle(k prim.Kind, h prim.Handler) { p.handlers[k] = h }

// Owner returns the owner at host h, which is the local one for this host.
func (p *Peers) Owner(h prim.HostName) prim.Owner {
	if h == p.config.Self {
		return p.localOwner
	}
	return &remoteOwner{peers: p, host: h}
}

// Close closes all links and waits for their goroutines to end. Unanswered calls
// fail; a dispatched request ends with *prim.LostAnswerError.
func (p *Peers) Close() {
	p.cancel()
	p.closeOnce.Do(func() {
		for range cap(p.linkSem) {
			p.linkSem <- struct{}{}
		}
		p.workerPool.wait()
	})
}

// tryAcquireLinkSem acquires a unit of linkSem. It returns false if MaxLinks are
// open or p is closed. The link's goroutine calls releaseLinkSem when it ends.
func (p *Peers) tryAcquireLinkSem() bool {
	if p.ctx.Err() != nil {
		return false
	}
	select {
	case p.linkSem <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *Peers) releaseLinkSem() { <-p.linkSem }

// Status holds link counters for the status page.
type Status struct {
	Dialled  int64 // open links that this node dialled
	Accepted int64 // open links that other nodes dialled
	Serving  int64 // requests from other nodes that are in progress here
	BytesIn  int64
	BytesOut int64
	// Requests in parts: sent to their end, received whole, and abandoned by this node on
	// either side.
	BodiesSent, BodiesReceived, BodiesAbandoned int64
	// WaitedForMemory is the number of frames that had to wait for memory.
	WaitedForMemory int64
	// AnswersWithoutMemory is the number of answers whose header had no room.
	AnswersWithoutMemory int64
}

// Status returns the current counters.
func (p *Peers) Status() Status {
	return Status{
		Dialled:  p.dialled.Load(),
		Accepted: p.accepted.Load(),
		Serving:  p.serving.Load(),
		BytesIn:  p.bytesIn.Load(),
		BytesOut: p.bytesOut.Load(),

		BodiesSent:      p.bodiesSent.Load(),
		BodiesReceived:  p.bodiesReceived.Load(),
		BodiesAbandoned: p.bodiesAbandoned.Load(),
		WaitedForMemory: p.waitedForMemory.Load(), AnswersWithoutMemory: p.answersWithoutMemory.Load(),
	}
}

// Handler returns the HTTP handler that accepts links from other nodes. It is
// mounted at Path.
func (p *Peers) Handler() http.Handler { return http.HandlerFunc(p.acceptLink) }

// group returns the link group of host h and creates it if there is none.
func (p *Peers) group(h prim.HostName) *linkGroup {
	p.mu.RLock()
	g := p.groups[h]
	p.mu.RUnlock()
	if g != nil {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g = p.groups[h]; g == nil {
		g = &linkGroup{peers: p, host: h}
		p.groups[h] = g
	}
	return g
}
