package peers

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// linkGroup holds the dialled links to one host.
type linkGroup struct {
	peers *Peers
	host  prim.HostName

	mu       sync.Mutex
	links    []*link
	dialDone chan struct{} // closed when the dial in progress ends; nil if none
	dialErr  error         // result of the last dial
	retryAt  time.Time     // no dial before this time
	backoff  time.Duration
	silentAt time.Time // when a link was closed or a dial ended without an answer; zero if the last dial had one
}

// ErrBackoff is the cause of calls that fail because a recent dial to the host
// failed and the backoff has not elapsed.
var ErrBackoff = errors.New("waiting before the next dial")

var errTooManyLinks = errors.New("too many links, or the node is stopping; raise MaxLinks if it is not")

// acquireLink returns the open link with the fewest unanswered calls and dials one if
// there is none. If every link has extraLinkThreshold unanswered calls, it dials
// another link in the background. If every link is writing a long frame, it waits for
// another link or for the end of the frame, whichever comes first.
func (g *linkGroup) acquireLink(ctx context.Context) (*link, error) {
	for {
		g.mu.Lock()
		l := g.leastLoaded()
		var linkFree chan struct{}
		if l != nil {
			long := l.writingLong.Load()
			if (long || l.bodiesInProgress.Load() > 0 || l.unanswered.Load() >= extraLinkThreshold) && g.mayDialExtra() {
				g.startDial()
			}
			if !long || g.dialDone == nil {
				g.mu.Unlock()
				return l, nil
			}
			linkFree = l.writeSem
		} else if g.dialDone == nil {
			if wait := time.Until(g.retryAt); wait > 0 {
				err := g.dialErr
				g.mu.Unlock()
				return nil, fmt.Errorf("%w for %s: %w", ErrBackoff, wait.Round(time.Millisecond), err)
			}
			g.startDial()
			if g.dialDone == nil {
				err := g.dialErr
				g.mu.Unlock()
				return nil, err
			}
		}
		dialDone := g.dialDone
		g.mu.Unlock()
		select {
		case <-dialDone:
		case linkFree <- struct{}{}:
			<-linkFree
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.peers.ctx.Done():
			return nil, errLinkClosed
		}
		g.mu.Lock()
		if len(g.links) == 0 && g.dialErr != nil {
			err := g.dialErr
			g.mu.Unlock()
			return nil, err
		}
		g.mu.Unlock()
	}
}

// mayDialExtra reports whether a link may be dialled besides the open ones. The caller
// holds g.mu.
func (g *linkGroup) mayDialExtra() bool {
	return g.dialDone == nil && len(g.links) < g.peers.config.LinksPerHost && time.Now().After(g.retryAt)
}

// leastLoaded returns the link with the fewest unanswered calls, or nil if there
// are no links. Links that are writing a long frame come last, and a request in parts counts
// as extraLinkThreshold calls. The caller holds g.mu.
func (g *linkGroup) leastLoaded() *link {
	var least *link
	var leastCalls int64
	for _, l := range g.links {
		calls := l.unanswered.Load() + extraLinkThreshold*l.bodiesInProgress.Load()
		if l.writingLong.Load() {
			calls += math.MaxInt32
		}
		if least == nil || calls < leastCalls {
			least, leastCalls = l, calls
		}
	}
	return least
}

// startDial dials a link in the background and serves it. The caller holds g.mu.
func (g *linkGroup) startDial() {
	dialDone := make(chan struct{})
	if !g.peers.tryAcquireLinkSem() {
		g.dialErr = errTooManyLinks
		g.retryAt = time.Now().Add(maxBackoff)
		close(dialDone)
		return
	}
	g.dialDone = dialDone
	go func(ctx context.Context) {
		defer g.peers.releaseLinkSem()
		start := time.Now()
		l, err := g.peers.dialLink(ctx, g.host)
		g.mu.Lock()
		g.dialDone = nil
		g.dialErr = err
		g.silentAt = time.Time{}
		if now := time.Now(); err != nil && now.Sub(start) >= g.peers.config.DialTimeout/2 {
			g.silentAt = now // a host that is up refuses a dial within a round trip
		}
		if err != nil {
			g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
			// Jitter keeps the nodes of a fleet from dialling a recovered
			// host all at once.
			g.retryAt = time.Now().Add(g.backoff/2 + rand.N(g.backoff/2))
		} else {
			g.backoff = 0
			g.links = append(g.links, l)
		}
		g.mu.Unlock()
		close(dialDone)
		if err == nil {
			g.serveLink(ctx, l)
		}
	}(g.peers.ctx)
}

// serveLink reads frames from a dialled link until it closes, then removes the link
// from the group.
func (g *linkGroup) serveLink(ctx context.Context, l *link) {
	g.peers.dialled.Add(1)
	err := l.readFrames(ctx, l.deliverFrame)
	g.mu.Lock()
	for i, other := range g.links {
		if other == l {
			g.links = append(g.links[:i:i], g.links[i+1:]...)
			break
		}
	}
	last := len(g.links) == 0
	g.mu.Unlock()
	if last {
		g.peers.config.OnUnlinked(g.host)
	}
	l.shutDown()
	g.peers.dialled.Add(-1)
	if ctx.Err() == nil {
		g.peers.config.Logger.Info("link ended", "Peer", g.host, "Error", err)
	}
}

// dialLink opens a link to a host and verifies that the other side holds the fleet
// key.
func (p *Peers) dialLink(ctx context.Context, host prim.HostName) (*link, error) {
	addr, ok := p.config.Resolve(host)
	if !ok {
		return nil, fmt.Errorf("host %q is not in the host list; check the list's version in status", host)
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	proof := p.newDialProof(host)
	conn, resp, err := websocket.Dial(ctx, "ws://"+addr.String()+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{
			headerProof:    {proof},
			headerHost:     {string(p.config.Self)},
			headerInstance: {p.config.Instance.String()},
			headerFeatures: {featureBodyParts},
		},
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      p.dialClient,
	})
	if err != nil {
		return nil, fmt.Errorf("dial host %q at %s: %w", host, addr, err)
	}
	var instance prim.Instance
	if err := instance.UnmarshalText([]byte(resp.Header.Get(headerInstance))); err != nil || !p.verifyAcceptProof(resp.Header, host, instance, proof) {
		conn.CloseNow()
		return nil, fmt.Errorf("host %q at %s did not prove the fleet key; check the address in the host list", host, addr)
	}
	l := newLink(p, conn, host)
	l.instance = instance
	l.bodyParts = supportsBodyParts(resp.Header)
	p.config.OnHostResponse(host, instance)
	return l, nil
}

// Ask sends a control message and waits for the reply.
func (p *Peers) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	l, err := p.group(to).acquireLink(ctx)
	if err != nil {
		return prim.Message{}, err
	}
	c, err := l.registerCall()
	if err != nil {
		return prim.Message{}, err
	}
	h := wire.Header{Type: wire.Ask, ID: c.id, Kind: m.Kind}
	if deadline, ok := ctx.Deadline(); ok {
		h.Remaining = time.Until(deadline)
	}
	if _, err := l.writeFrame(ctx, &h, m.Body); err != nil {
		l.dropCall(c)
		return prim.Message{}, err
	}
	select {
	case reply, ok := <-c.reply:
		if !ok {
			return prim.Message{}, errLinkClosed
		}
		if reply.header.Text != "" {
			return prim.Message{}, fmt.Errorf("host %q: %s", to, reply.header.Text)
		}
		p.config.OnHostResponse(to, l.instance)
		return prim.Message{Kind: reply.header.Kind, Body: reply.body}, nil
	case <-ctx.Done():
		l.dropCall(c)
		return prim.Message{}, ctx.Err()
	}
}

// Tell sends a control message that has no reply.
func (p *Peers) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	l, err := p.group(to).acquireLink(ctx)
	if err != nil {
		return err
	}
	_, err = l.writeFrame(ctx, &wire.Header{Type: wire.Tell, Kind: m.Kind}, m.Body)
	return err
}
