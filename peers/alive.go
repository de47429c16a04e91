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

// A link may go silent without a reset: its host lost power, or a network
// device forgot the connection. Two things show it. The kernel gives up on bytes
// that stay unacknowledged for userTimeout; and Check asks a host that owes an
// answer and has sent nothing for a while, and closes the link if it stays
// silent.

// userTimeout is how long sent bytes may stay unacknowledged. It is several
// round trips with a lost packet each.
const userTimeout = 1500 * time.Millisecond

// KindPing is a control message that only asks for an answer.
const KindPing prim.Kind = "Ping"

// setUserTimeout bounds the time that bytes stay unacknowledged on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// ListenConfig makes listeners for links: their connections inherit the bound
// on unacknowledged bytes.
var ListenConfig = net.ListenConfig{Control: setUserTimeout, KeepAlive: -1}

// newDialer returns the client that dials links.
func newDialer() *http.Client {
	d := net.Dialer{Control: setUserTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: false}}
}

// Check looks after the dialled links. A host that owes an answer and has sent
// nothing for quiet gets a ping; after silent its links are closed. It returns
// the hosts whose links it closed.
func (p *Peers) Check(quiet, silent time.Duration) (closed []prim.HostName) {
	p.mu.RLock()
	groups := make([]*group, 0, len(p.groups))
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
			age := now - time.Duration(l.heard.Load())
			switch {
			case l.calls.Load() == 0:
				// Nothing is owed; the age counts from the next call.
				if age > quiet {
					l.heard.Store(int64(now - quiet/2))
				}
			case age > silent:
				closed = append(closed, g.host)
				l.conn.CloseNow()
			case age > quiet:
				l.tell(wire.Header{Type: wire.Ask, ID: l.ping(), Kind: KindPing})
			}
		}
	}
	return closed
}

// ping draws the id of a call whose answer nobody waits for.
func (l *link) ping() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return l.next
}
