package peers

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Links are dialled on first use. A caller that wants to avoid the delay of that
// dial keeps links open with Connect.

// Connect dials a host in the background unless there is a link to it, a dial in
// progress or a backoff that has not elapsed.
func (p *Peers) Connect(h prim.HostName) {
	g := p.group(h)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.links) == 0 && g.dialDone == nil && !time.Now().Before(g.retryAt) {
		g.startDial()
	}
}

// Linked reports whether this node has an open dialled link to a host.
func (p *Peers) Linked(h prim.HostName) bool {
	p.mu.RLock()
	g := p.groups[h]
	p.mu.RUnlock()
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.links) > 0
}

// cutOffTTL is the time after a dial without an answer during which a host counts as cut
// off. It is longer than the largest backoff and a dial, so that dials in the background
// renew it, and short enough that a rarely used host is soon tried by a call again.
const cutOffTTL = 5 * time.Second

// CutOff reports whether there is no link to a host, and the last dial got no answer or the
// last link was closed because the host was silent, so that a call would probably wait for the next dial in vain. Wait is the time until that
// dial may begin. Hosts that refuse a dial are not cut off: calls fail there at once.
func (p *Peers) CutOff(h prim.HostName) (wait time.Duration, cutOff bool) {
	p.mu.RLock()
	g := p.groups[h]
	p.mu.RUnlock()
	if g == nil {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if len(g.links) > 0 || g.silentAt.IsZero() || now.Sub(g.silentAt) > cutOffTTL {
		return 0, false
	}
	return max(0, g.retryAt.Sub(now)), true
}
