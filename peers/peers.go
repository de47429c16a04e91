// Package peers links nodes to each other over WebSocket. It carries requests
// to the owners at other hosts and control messages.
//
// A link is used for calls of the side that dialled it; the other side only
// answers. Links are dialled when first needed, kept open, and dialled again
// with backoff. Both sides prove the fleet key during the HTTP upgrade, before
// any frame is read.
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
)

// Default values of Config.
const (
	DefaultLinksPerHost = 4
	DefaultMaxCalls     = 4096
	DefaultMaxLinks     = 4096
	DefaultDialTimeout  = time.Second
	// writeTimeout closes a link whose peer does not read. A frozen peer must
	// not hold up calls that could go elsewhere.
	writeTimeout = 250 * time.Millisecond
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// linkLoad is the number of unanswered calls on every link to a host
	// above which another link is dialled.
	linkLoad = 16
)

// Config configures Peers.
type Config struct {
	Self     prim.HostName
	Instance prim.Instance
	// Key is the fleet key. Peers without it are refused.
	Key []byte
	// Keyless accepts peers without a proof. It is for networks that only the
	// fleet's hosts can reach and where no secret can be handed to a node.
	Keyless bool
	// Resolve returns the address of a host's node.
	Resolve func(prim.HostName) (netip.AddrPort, bool)
	// Local runs the requests that other nodes send to this one.
	Local prim.Owner
	// Seen is told when a host answered; it may be nil.
	Seen func(prim.HostName, prim.Instance)
	// Carry decides whether the load sample of an answer is sent along, and
	// Received whether one that came is used; both charge the budget for
	// measuring load. If they are nil every sample is sent and used.
	Carry    func(prim.Sample) (prim.Sample, bool)
	Received func(prim.HostName, prim.Sample) (prim.Sample, bool)
	// Ended is told when the last dialled link to a host has ended; it may be nil.
	Ended  func(prim.HostName)
	Logger *slog.Logger
	// LinksPerHost bounds the links to one host; 0 means DefaultLinksPerHost.
	LinksPerHost int
	// MaxLinks bounds the open links in both directions; 0 means
	// DefaultMaxLinks.
	MaxLinks int
	// DialTimeout bounds the opening of a link; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxCalls bounds the unanswered calls that one link may bring; 0 means
	// DefaultMaxCalls.
	MaxCalls int
}

// Peers implements prim.Transport and prim.Owners.
type Peers struct {
	c        Config
	ctx      context.Context
	stop     context.CancelFunc
	handlers map[prim.Kind]prim.Handler
	local    prim.Owner
	// running holds one token for each open link. A link's goroutine gives
	// its token back as its last act, so Close has only to take all of them.
	running chan struct{}
	closing sync.Once
	workers *workers

	mu        sync.RWMutex
	groups    map[prim.HostName]*group
	listeners map[*acceptor]struct{} // links that other nodes have dialled
	client    *http.Client           // dials

	dialled  atomic.Int64
	accepted atomic.Int64
	serving  atomic.Int64
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
}

// New returns Peers that dial nothing yet.
func New(c Config) (*Peers, error) {
	if len(c.Key) < MinKey && !c.Keyless {
		return nil, fmt.Errorf("fleet key has %d bytes; give at least %d", len(c.Key), MinKey)
	}
	if c.LinksPerHost == 0 {
		c.LinksPerHost = DefaultLinksPerHost
	}
	if c.MaxCalls == 0 {
		c.MaxCalls = DefaultMaxCalls
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.MaxLinks == 0 {
		c.MaxLinks = DefaultMaxLinks
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Carry == nil {
		c.Carry = func(s prim.Sample) (prim.Sample, bool) { return s, true }
	}
	if c.Received == nil {
		c.Received = func(_ prim.HostName, s prim.Sample) (prim.Sample, bool) { return s, true }
	}
	if c.Ended == nil {
		c.Ended = func(prim.HostName) {}
	}
	if c.Seen == nil {
		c.Seen = func(prim.HostName, prim.Instance) {}
	}
	ctx, stop := context.WithCancel(context.Background())
	pong := func(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
		return prim.Message{Kind: KindPing}, nil
	}
	return &Peers{
		c:        c,
		ctx:      ctx,
		stop:     stop,
		handlers: map[prim.Kind]prim.Handler{KindPing: pong},
		local:    c.Local,
		running:  make(chan struct{}, c.MaxLinks),
		workers:  newWorkers(ctx),
		groups:   make(map[prim.HostName]*group),

		listeners: make(map[*acceptor]struct{}),
		client:    newDialer(),
	}, nil
}

// SetLocal sets the owner of this host. It must be called before the first
// link is served when Config.Local is nil.
func (p *Peers) SetLocal(o prim.Owner) { p.local = o }

// Handle registers the handler of a kind of control message. It must be
// called before the first link is served.
func (p *Peers) Handle(k prim.Kind, h prim.Handler) { p.handlers[k] = h }

// Owner returns the owner at a host.
func (p *Peers) Owner(h prim.HostName) prim.Owner {
	if h == p.c.Self {
		return p.local
	}
	return &remote{p: p, host: h}
}

// Close closes all links and waits until their goroutines have ended.
// Unanswered calls end as lost.
func (p *Peers) Close() {
	p.stop()
	p.closing.Do(func() {
		for range cap(p.running) {
			p.running <- struct{}{}
		}
		p.workers.wait()
	})
}

// begin takes a token for a link; it reports false when there are too many
// links or p is closed. The link's goroutine calls end.
func (p *Peers) begin() bool {
	if p.ctx.Err() != nil {
		return false
	}
	select {
	case p.running <- struct{}{}:
		return true
	default:
		return false
	}
}

func (p *Peers) end() { <-p.running }

// Status describes the links for the status page.
type Status struct {
	Dialled  int64 // open links that this node dialled
	Accepted int64 // open links that other nodes dialled
	Serving  int64 // calls of other nodes that are in progress here
	BytesIn  int64
	BytesOut int64
}

// Status returns the current numbers.
func (p *Peers) Status() Status {
	return Status{
		Dialled:  p.dialled.Load(),
		Accepted: p.accepted.Load(),
		Serving:  p.serving.Load(),
		BytesIn:  p.bytesIn.Load(),
		BytesOut: p.bytesOut.Load(),
	}
}

// Handler serves the links that other nodes dial. It is mounted at Path.
func (p *Peers) Handler() http.Handler { return http.HandlerFunc(p.accept) }

// group returns the links to a host.
func (p *Peers) group(h prim.HostName) *group {
	p.mu.RLock()
	g := p.groups[h]
	p.mu.RUnlock()
	if g != nil {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g = p.groups[h]; g == nil {
		g = &group{p: p, host: h}
		p.groups[h] = g
	}
	return g
}
