package peers

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// A connection can fail without a reset: its host lost power, or a network
// device dropped the connection from its state. Two mechanisms detect this. The
// kernel closes a connection whose sent bytes stay unacknowledged for
// tcpUserTimeout. CheckLinks pings a host that has unanswered calls and has sent
// nothing for a while, and closes the link if it still receives nothing.

// tcpUserTimeout is how long sent bytes may stay unacknowledged. It allows for
// several round trips with one lost packet each.
const tcpUserTimeout = 1500 * time.Millisecond

// KindPing is the kind of a control message that only checks that the other node
// responds.
const KindPing prim.Kind = "Ping"

// setTCPUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setTCPUserTimeout(_, _ string, conn syscall.RawConn) error {
	var err error
	if controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// ListenConfig creates the listeners for links. Accepted connections inherit
// TCP_USER_TIMEOUT from the listening socket.
var ListenConfig = net.ListenConfig{Control: setTCPUserTimeout, KeepAlive: -1}

// newDialer returns the HTTP client for dialling links.
func newDialer() *http.Client {
	d := net.Dialer{Control: setTCPUserTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: false, MaxResponseHeaderBytes: prim.MaxHeaderBytes}}
}

// CheckLinks detects dialled links whose host no longer responds. On a link with
// unanswered calls it sends a ping if nothing was received for pingAfter, and
// closes the link if nothing was received for closeAfter. It returns the host of
// each link that it closed. It must be called periodically.
func (p *Peers) CheckLinks(pingAfter, closeAfter time.Duration) (closed []prim.HostName) {
	p.mu.RLock()
	groups := make([]*linkGroup, 0, len(p.groups))
	for _, g := range p.groups {
		groups = append(groups, g)
	}
	p.mu.RUnlock()
	now := time.Since(epoch)
	for _, g := range groups {
		g.mu.Lock()
		links := append([]*link(nil), g.links...)
		g.mu.Unlock()
		for _, l := range links {
			idle := now - time.Duration(l.lastReceived.Load())
			switch {
			case l.unanswered.Load() == 0:
				// No call is unanswered. Keep the idle time below pingAfter,
				// so that the next call starts with a recent lastReceived.
				if idle > pingAfter {
					l.lastReceived.Store(int64(now - pingAfter/2))
				}
			case idle > closeAfter:
				closed = append(closed, g.host)
				g.mu.Lock()
				g.silentAt = time.Now() // calls don't wait for the next dial
				g.mu.Unlock()
				l.conn.CloseNow()
			case idle > pingAfter:
				l.sendBestEffort(wire.Header{Type: wire.Ask, ID: l.nextCallID(), Kind: KindPing})
			}
		}
	}
	return closed
}

// ProbeLinks sends a ping on the dialled links to the given hosts that have no unanswered
// calls. CheckLinks then closes those that stay silent. Without it, each link that a
// network fault has cut would be found out by a call that waits on it.
func (p *Peers) ProbeLinks(probed func(prim.HostName) bool) {
	p.mu.RLock()
	groups := make([]*linkGroup, 0, len(p.groups))
	for h, g := range p.groups {
		if probed(h) {
			groups = append(groups, g)
		}
	}
	p.mu.RUnlock()
	for _, g := range groups {
		g.mu.Lock()
		links := append([]*link(nil), g.links...)
		g.mu.Unlock()
		for _, l := range links {
			if l.unanswered.Load() > 0 {
				continue
			}
			if c, err := l.registerCall(); err == nil {
				l.sendSurely(wire.Header{Type: wire.Ask, ID: c.id, Kind: KindPing})
			}
		}
	}
}

// nextCallID returns an id for a ping. Its reply is not awaited: receiving any
// frame is enough.
func (l *link) nextCallID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return l.lastID
}
