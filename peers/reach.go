package peers

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Links are dialled when first needed. Who wants to avoid that delay keeps links
// open with Connect.

// Connect dials a host in the background if there is no link to it.
func (p *Peers) Connect(h prim.HostName) {
	g := p.group(h)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.links) == 0 && g.dialing == nil && !time.Now().Before(g.retryAt) {
		g.startDial()
	}
}

// Linked reports whether there is a link to a host.
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
