package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// group holds the links to one host.
type group struct {
	p    *Peers
	host prim.HostName

	mu      sync.Mutex
	links   []*link
	dialing chan struct{} // closed when the dial in progress ends; nil if none
	failed  error         // why the last dial failed
	retryAt time.Time
	backoff time.Duration
}

// ErrBackoff is the cause of calls to a host that could not be dialled a
// moment ago.
var ErrBackoff = errors.New("waiting before the next dial")

var errTooManyLinks = errors.New("too many links, or the node is stopping; raise MaxLinks if it is not")

// link returns an open link with few unanswered calls, and dials if there is
// none. It dials another one in the background when all are busy.
func (g *group) link(ctx context.Context) (*link, error) {
	for {
		g.mu.Lock()
		l := g.least()
		if l != nil {
			if l.calls.Load() >= linkLoad && len(g.links) < g.p.c.LinksPerHost && g.dialing == nil {
				g.startDial()
			}
			g.mu.Unlock()
			return l, nil
		}
		if g.dialing == nil {
			if wait := time.Until(g.retryAt); wait > 0 {
				err := g.failed
				g.mu.Unlock()
				return nil, fmt.Errorf("%w for %s: %w", ErrBackoff, wait.Round(time.Millisecond), err)
			}
			g.startDial()
			if g.dialing == nil {
				err := g.failed
				g.mu.Unlock()
				return nil, err
			}
		}
		dialing := g.dialing
		g.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.p.ctx.Done():
			return nil, errClosed
		}
		g.mu.Lock()
		if len(g.links) == 0 && g.failed != nil {
			err := g.failed
			g.mu.Unlock()
			return nil, err
		}
		g.mu.Unlock()
	}
}

// least returns the link with the fewest unanswered calls.
func (g *group) least() *link {
	var best *link
	for _, l := range g.links {
		if best == nil || l.calls.Load() < best.calls.Load() {
			best = l
		}
	}
	return best
}

// startDial dials in the background. The caller holds g.mu.
func (g *group) startDial() {
	dialing := make(chan struct{})
	if !g.p.begin() {
		g.failed = errTooManyLinks
		g.retryAt = time.Now().Add(maxBackoff)
		close(dialing)
		return
	}
	g.dialing = dialing
	go func(ctx context.Context) {
		defer g.p.end()
		l, err := g.p.dial(ctx, g.host)
		g.mu.Lock()
		g.dialing = nil
		g.failed = err
		if err != nil {
			g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
			// Jitter keeps the nodes of a fleet from dialling a returning
			// host at the same moment.
			g.retryAt = time.Now().Add(g.backoff/2 + rand.N(g.backoff/2))
		} else {
			g.backoff = 0
			g.links = append(g.links, l)
		}
		g.mu.Unlock()
		close(dialing)
		if err == nil {
			g.serve(ctx, l)
		}
	}(g.p.ctx)
}

// serve reads the answers on a dialled link until it ends.
func (g *group) serve(ctx context.Context, l *link) {
	g.p.dialled.Add(1)
	err := l.read(ctx, l.deliver)
	g.mu.Lock()
	for i, o := range g.links {
		if o == l {
			g.links = append(g.links[:i:i], g.links[i+1:]...)
			break
		}
	}
	last := len(g.links) == 0
	g.mu.Unlock()
	if last {
		g.p.c.Ended(g.host)
	}
	l.fail()
	g.p.dialled.Add(-1)
	if ctx.Err() == nil {
		g.p.c.Logger.Info("link ended", "Peer", g.host, "Error", err)
	}
}

// dial opens a link to a host and checks that the other side has the key.
func (p *Peers) dial(ctx context.Context, host prim.HostName) (*link, error) {
	addr, ok := p.c.Resolve(host)
	if !ok {
		return nil, fmt.Errorf("host %q is not in the host list; check the list's version in status", host)
	}
	ctx, cancel := context.WithTimeout(ctx, p.c.DialTimeout)
	defer cancel()
	proof := p.prove(host)
	conn, resp, err := websocket.Dial(ctx, "ws://"+addr.String()+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{
			headerProof:    {proof},
			headerHost:     {string(p.c.Self)},
			headerInstance: {p.c.Instance.String()},
		},
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      p.client,
	})
	if err != nil {
		return nil, fmt.Errorf("dial host %q at %s: %w", host, addr, err)
	}
	var instance prim.Instance
	if err := instance.UnmarshalText([]byte(resp.Header.Get(headerInstance))); err != nil || !p.proved(resp.Header, host, instance, proof) {
		conn.CloseNow()
		return nil, fmt.Errorf("host %q at %s did not prove the fleet key; check the address in the host list", host, addr)
	}
	l := newLink(p, conn, host)
	l.instance = instance
	p.c.Seen(host, instance)
	return l, nil
}

// Ask sends a control message and waits for its answer.
func (p *Peers) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	l, err := p.group(to).link(ctx)
	if err != nil {
		return prim.Message{}, err
	}
	c, err := l.open()
	if err != nil {
		return prim.Message{}, err
	}
	h := wire.Header{Type: wire.Ask, ID: c.id, Kind: m.Kind}
	if deadline, ok := ctx.Deadline(); ok {
		h.Remaining = time.Until(deadline)
	}
	if _, err := l.write(ctx, &h, m.Body); err != nil {
		l.close(c)
		return prim.Message{}, err
	}
	select {
	case r, ok := <-c.answer:
		if !ok {
			return prim.Message{}, errClosed
		}
		if r.head.Text != "" {
			return prim.Message{}, fmt.Errorf("host %q: %s", to, r.head.Text)
		}
		p.c.Seen(to, l.instance)
		return prim.Message{Kind: r.head.Kind, Body: r.body}, nil
	case <-ctx.Done():
		l.close(c)
		return prim.Message{}, ctx.Err()
	}
}

// Tell sends a control message that has no answer.
func (p *Peers) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	l, err := p.group(to).link(ctx)
	if err != nil {
		return err
	}
	_, err = l.write(ctx, &wire.Header{Type: wire.Tell, Kind: m.Kind}, m.Body)
	return err
}
