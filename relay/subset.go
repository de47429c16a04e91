package relay

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
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

// Requests with home regions use another subset for each set of home regions. It is chosen
// among the servers there, so that it has as many of them as other subsets have servers. Of
// the far servers, those in other data centres of the same region come first, since they are
// cheaper to reach, but part of the subset is kept for other regions.

// otherRegionServers is the number of far servers that are in other regions even if enough
// others are in this one, so that a region that is overloaded or lost is replaced.
const otherRegionServers = farServers / 2

// subset holds the servers of one service that this node uses, for one placement.
type subset struct {
	placement   *prim.Placement
	near, far   []*prim.ServerEntry
	farInRegion int           // number of far servers in the region of this node, which come first
	usedAt      time.Time     // last request
	restricted  bool          // only servers in regions are used
	regions     []prim.Region // home regions of the requests
}

// proximity says how close a server is to this node.
type proximity int

const (
	inDataCentre  proximity = iota
	inRegion                // in another data centre of the same region
	inOtherRegion           // in another data centre of another region
)

// subsetKey identifies a subset: a service, and the home regions of its requests.
type subsetKey struct {
	service     prim.Service
	regionCount int    // 0 if the requests have no home regions
	regions     string // the only one, or all of them quoted and in order
}

// keyOf returns the key of the subset for a request. Home regions are not empty.
func keyOf(q *prim.Request) subsetKey {
	k := subsetKey{service: q.Service}
	if !q.HasRegions {
		return k
	}
	k.regionCount = len(q.Regions)
	if len(q.Regions) == 1 {
		k.regions = string(q.Regions[0])
		return k
	}
	regions := q.Regions
	if !slices.IsSorted(regions) {
		regions = slices.Sorted(slices.Values(regions))
	}
	var b []byte
	for _, r := range regions {
		b = strconv.AppendQuote(b, string(r))
	}
	k.regions = string(b)
	return k
}

// all iterates over the near servers, then the far ones.
func (s subset) all() iter.Seq2[*prim.ServerEntry, proximity] {
	return func(yield func(*prim.ServerEntry, proximity) bool) {
		for _, e := range s.near {
			if !yield(e, inDataCentre) {
				return
			}
		}
		for i, e := range s.far {
			p := inRegion
			if i >= s.farInRegion {
				p = inOtherRegion
			}
			if !yield(e, p) {
				return
			}
		}
	}
}

// subset returns the subset for a request and marks it as used.
func (r *Relay) subset(p *prim.Placement, q *prim.Request) subset {
	k := keyOf(q)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.subsets[k]
	if s == nil {
		s = &subset{restricted: q.HasRegions, regions: q.Regions}
		r.subsets[k] = s
	}
	s.usedAt = time.Now()
	s.refresh(&r.config, p, k.service)
	return *s
}

// SetRegions makes changed results of Config.Region take effect. No attempt that begins
// afterwards uses earlier results.
func (r *Relay) SetRegions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.subsets {
		s.placement = nil
	}
}

// sameRegion reports whether a data centre is in the region of this node. It is if one of
// the regions is unknown, as in a deployment that names none.
func (c *Config) sameRegion(d prim.DataCentre) bool {
	own, other := c.Region(c.DataCentre), c.Region(d)
	return own == other || own == "" || other == ""
}

// isHome reports whether a data centre is in one of the regions. A data centre whose region
// is unknown is in none.
func (c *Config) isHome(d prim.DataCentre, regions []prim.Region) bool {
	r := c.Region(d)
	return r != "" && slices.Contains(regions, r)
}

// refresh recomputes the subset if the placement has changed.
func (s *subset) refresh(c *Config, p *prim.Placement, service prim.Service) {
	if s.placement == p {
		return
	}
	var near, sameRegion, otherRegion []*prim.ServerEntry
	for _, e := range p.InService(service) {
		switch {
		case s.restricted && !c.isHome(e.DataCentre, s.regions):
		case e.DataCentre == c.DataCentre:
			near = append(near, e)
		case c.sameRegion(e.DataCentre):
			sameRegion = append(sameRegion, e)
		default:
			otherRegion = append(otherRegion, e)
		}
	}
	pos := position(c, p)
	sameRegion = consecutive(sameRegion, pos, farServers-min(len(otherRegion), otherRegionServers))
	otherRegion = consecutive(otherRegion, pos, farServers-len(sameRegion))
	s.placement, s.near = p, consecutive(near, pos, nearServers)
	s.far, s.farInRegion = slices.Concat(sameRegion, otherRegion), len(sameRegion)
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

// LinkTargets returns the hosts to which links should be kept open: those of this data centre
// in the subsets of recently used services, or up to initialLinks hosts of all services if
// none was used. For requests whose home regions have no server in this data centre it
// returns the far servers, so that these requests need not wait for a dial.
func (r *Relay) LinkTargets() (hosts []prim.HostName) {
	p := r.config.Placements.Placement()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, s := range r.subsets {
		if now.Sub(s.usedAt) > subsetIdleTime {
			delete(r.subsets, k)
			continue
		}
		s.refresh(&r.config, p, k.service)
		linked := s.near
		if s.restricted && len(linked) == 0 {
			linked = s.far
		}
		for _, e := range linked {
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
