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
