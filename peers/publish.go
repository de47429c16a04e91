package peers

import (
	"context"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// A node may push load samples to the hosts that have dialled it. The samples are
// sent on the links that those hosts opened, so no further links are needed.

// addInbound registers an accepted link for Publish and InboundHosts.
func (p *Peers) addInbound(l *inboundLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inboundLinks[l] = struct{}{}
}

func (p *Peers) removeInbound(l *inboundLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inboundLinks, l)
}

// Publish sends a load sample on one link of each host that has dialled this
// node and for which want returns true. It returns the number of frames written.
// A link is skipped if another write keeps it busy.
func (p *Peers) Publish(s prim.LoadSample, want func(prim.HostName) bool) (sent int) {
	p.mu.RLock()
	var links []*inboundLink
	chosen := make(map[prim.HostName]bool, len(p.inboundLinks))
	for l := range p.inboundLinks {
		if !chosen[l.host] && want(l.host) {
			chosen[l.host] = true
			links = append(links, l)
		}
	}
	p.mu.RUnlock()
	for _, l := range links {
		ctx, cancel := context.WithTimeout(p.ctx, bestEffortTimeout)
		if ok, err := l.writeFrame(ctx, &wire.Header{Type: wire.LoadSample, Sample: &s}, nil); ok && err == nil {
			sent++
		}
		cancel()
	}
	return sent
}

// InboundHosts returns the hosts that have dialled this node. A host with several
// links is listed once for each of them.
func (p *Peers) InboundHosts() (hosts []prim.HostName) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for l := range p.inboundLinks {
		hosts = append(hosts, l.host)
	}
	return hosts
}
