package relay

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// A node uses a bounded subset of the servers of a large service, so that its links and
// the samples that it receives do not grow with the service. The servers are ordered by a
// hash of their host names. Each node of a data centre uses consecutive servers, starting
// at a position that is proportional to its own rank among the hosts. Thus every server
// is used by about the same number of nodes, and adding or removing a host shifts each
// subset by one position at most.

const (
	// nearServers and farServers are the maximum numbers of servers per service that a
	// node uses in its own data centre and in all others.
	nearServers = 16
	farServers  = 16
	// subsetIdleTime is the time since the last request after which a service no
	// longer counts as used.
	subsetIdleTime = time.Minute
	// initialLinks is the maximum number of links while no service is used.
	initialLinks = 64
)

// subset holds the servers of one service that this node uses, for one placement.
type subset struct {
	placement *prim.Placement
	near, far []*prim.ServerEntry
	usedAt    time.Time // last request
}

// all iterates over the near servers, then the far ones.
func (s subset) all() iter.Seq[*prim.ServerEntry] {
	return func(yield func(*prim.ServerEntry) bool) {
		for _, list := range [...][]*prim.ServerEntry{s.near, s.far} {
			for _, e := range list {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// subset returns the subset of a service and marks the service as used.
func (r *Relay) subset(p *prim.Placement, service prim.Service) subset {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.subsets[service]
	if s == nil {
		s = &subset{}
		r.subsets[service] = s
	}
	s.usedAt = time.Now()
	s.refresh(&r.config, p, service)
	return *s
}

// refresh recomputes the subset if the placement has changed.
func (s *subset) refresh(c *Config, p *prim.Placement, service prim.Service) {
	if s.placement == p {
		return
	}
	var near, far []*prim.ServerEntry
	for _, e := range p.InService(service) {
		if e.DataCentre == c.DataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	pos := position(c, p)
	*s = subset{p, consecutive(near, pos, nearServers), consecutive(far, pos, farServers), s.usedAt}
	// Always include the server on this host, since it needs no link.
	if local := p.Host(c.Host); local != nil && local.Service == service && slices.Contains(near, local) && !slices.Contains(s.near, local) {
		s.near = append(s.near, local)
	}
}

// hostPosition is the rank of a host among the hosts of its data centre, in the order of
// hostHash.
type hostPosition struct{ index, hosts int }

// position returns the position of this node's host.
func position(c *Config, p *prim.Placement) hostPosition {
	hosts := p.ServersIn(c.DataCentre)
	local := hostHash(c.Host)
	index := 0
	for _, e := range hosts {
		if hostHash(e.Host) < local {
			index++
		}
	}
	return hostPosition{index, max(1, len(hosts))}
}

func hostHash(h prim.HostName) uint64 { return xxh3.HashString(string(h)) }

// consecutive returns at most n consecutive servers in the order of hostHash, wrapping
// around at the end. The first one is at pos, scaled to the number of servers.
func consecutive(servers []*prim.ServerEntry, pos hostPosition, n int) []*prim.ServerEntry {
	if len(servers) <= n {
		return servers
	}
	servers = slices.SortedFunc(slices.Values(servers), func(a, b *prim.ServerEntry) int {
		return cmp.Compare(hostHash(a.Host), hostHash(b.Host))
	})
	start := pos.index * len(servers) / pos.hosts
	selected := make([]*prim.ServerEntry, 0, n+1)
	for i := range n {
		selected = append(selected, servers[(start+i)%len(servers)])
	}
	return selected
}

// LinkTargets returns the hosts of this data centre to which links should be kept open:
// those in the subsets of recently used services, or up to initialLinks hosts of all services
// if none was used.
func (r *Relay) LinkTargets() (hosts []prim.HostName) {
	p := r.config.Placements.Placement()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.subsets {
		if now.Sub(s.usedAt) > subsetIdleTime {
			delete(r.subsets, service)
			continue
		}
		s.refresh(&r.config, p, service)
		for _, e := range s.near {
			hosts = append(hosts, e.Host)
		}
	}
	if len(r.subsets) > 0 {
		return hosts
	}
	near := p.ServersIn(r.config.DataCentre)
	for _, e := range consecutive(near, position(&r.config, p), initialLinks) {
		hosts = append(hosts, e.Host)
	}
	return hosts
}
