package relay

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// A node uses a bounded part of a large service's servers, so that its links and the
// samples it gets do not grow with the service. The servers stand in a fixed order,
// and each node of a data centre takes a run of them that begins where its own place
// among the hosts says. So every server is used by about as many nodes as any other,
// and a host that comes or goes moves each run by one place at most.

const (
	// nearServers and farServers bound the servers of a service that a node uses
	// in its own data centre and in the others.
	nearServers = 16
	farServers  = 16
	// usedFor is how long after its last request a service counts as used.
	usedFor = time.Minute
	// firstLinks bounds the links of a node that has served no request yet.
	firstLinks = 64
)

// subset is what this node uses of one service, for one placement.
type subset struct {
	of        *prim.Placement
	near, far []*prim.ServerEntry
	used      time.Time
}

// all returns the servers of the subset.
func (u subset) all() iter.Seq[*prim.ServerEntry] {
	return func(yield func(*prim.ServerEntry) bool) {
		for _, part := range [...][]*prim.ServerEntry{u.near, u.far} {
			for _, e := range part {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// subset returns the servers of a service that this node uses.
func (r *Relay) subset(p *prim.Placement, s prim.Service) subset {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.subsets[s]
	if u == nil {
		u = &subset{}
		r.subsets[s] = u
	}
	u.used = time.Now()
	u.refresh(&r.c, p, s)
	return *u
}

// refresh computes the subset of a new placement.
func (u *subset) refresh(c *Config, p *prim.Placement, s prim.Service) {
	if u.of == p {
		return
	}
	var near, far []*prim.ServerEntry
	for _, e := range p.InService(s) {
		if e.DataCentre == c.DataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	at := position(c, p)
	*u = subset{p, run(near, at, nearServers), run(far, at, farServers), u.used}
	// The server beside this node needs no link.
	if own := p.Host(c.Host); own != nil && own.Service == s && slices.Contains(near, own) && !slices.Contains(u.near, own) {
		u.near = append(u.near, own)
	}
}

// place is that of a host among those of its data centre.
type place struct{ before, hosts int }

func position(c *Config, p *prim.Placement) place {
	hosts := p.Near(c.DataCentre)
	own := order(c.Host)
	before := 0
	for _, e := range hosts {
		if order(e.Host) < own {
			before++
		}
	}
	return place{before, max(1, len(hosts))}
}

func order(h prim.HostName) uint64 { return xxh3.HashString(string(h)) }

// run returns at most n of the servers, from a place in their order on.
func run(servers []*prim.ServerEntry, at place, n int) []*prim.ServerEntry {
	if len(servers) <= n {
		return servers
	}
	servers = slices.SortedFunc(slices.Values(servers), func(a, b *prim.ServerEntry) int {
		return cmp.Compare(order(a.Host), order(b.Host))
	})
	begin := at.before * len(servers) / at.hosts
	taken := make([]*prim.ServerEntry, 0, n+1)
	for i := range n {
		taken = append(taken, servers[(begin+i)%len(servers)])
	}
	return taken
}

// Near returns the hosts of this data centre to which links are worth keeping: those
// of the services used of late, or of all as long as none was used.
func (r *Relay) Near() (hosts []prim.HostName) {
	p := r.c.Placements.Placement()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, u := range r.subsets {
		if now.Sub(u.used) > usedFor {
			delete(r.subsets, s)
			continue
		}
		u.refresh(&r.c, p, s)
		for _, e := range u.near {
			hosts = append(hosts, e.Host)
		}
	}
	if len(r.subsets) > 0 {
		return hosts
	}
	near := p.Near(r.c.DataCentre)
	for _, e := range run(near, position(&r.c, p), firstLinks) {
		hosts = append(hosts, e.Host)
	}
	return hosts
}
