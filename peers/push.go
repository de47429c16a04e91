package peers

import (
	"context"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// A node may push load samples to the hosts that have dialled it. They go on the
// links that those hosts opened, so that no further links are needed.

func (p *Peers) listen(a *acceptor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[a] = struct{}{}
}

func (p *Peers) unlisten(a *acceptor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.listeners, a)
}

// Publish sends a load sample on one link of each host that has dialled this
// node and that want accepts. It returns the number of frames written. A link
// that another frame occupies is passed over.
func (p *Peers) Publish(s prim.Sample, want func(prim.HostName) bool) (sent int) {
	p.mu.RLock()
	var to []*acceptor
	told := make(map[prim.HostName]bool, len(p.listeners))
	for a := range p.listeners {
		if !told[a.host] && want(a.host) {
			told[a.host] = true
			to = append(to, a)
		}
	}
	p.mu.RUnlock()
	for _, a := range to {
		ctx, cancel := context.WithTimeout(p.ctx, tellWait)
		if ok, err := a.write(ctx, &wire.Header{Type: wire.Load, Sample: &s}, nil); ok && err == nil {
			sent++
		}
		cancel()
	}
	return sent
}

// Callers returns the hosts that have dialled this node.
func (p *Peers) Callers() (hosts []prim.HostName) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for a := range p.listeners {
		hosts = append(hosts, a.host)
	}
	return hosts
}
