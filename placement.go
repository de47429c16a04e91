package prim

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// This file defines what operators and servers publish on a platform that has
// routes and server entries in place of the four documents of document.go.
// Adapters fill these types; package roster keeps the newest of each.

// PathRoute sends the requests for an authority whose path begins with Prefix
// to a service. The longest prefix wins.
type PathRoute struct {
	Name      string
	Authority string // HTTP host, without port
	Prefix    string // begins and ends with a slash
	// Targets share the requests by weight. There is at least one.
	Targets    []Target
	Idempotent bool
	// Timeout is the longest time that a caller waits; 0 means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	Priority  int // 0 is the most urgent
	// Attempts is the number of servers that one request may be sent to.
	Attempts int
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service Service
	Weight  int
}

// ServiceRule says how the servers of a service are to be treated.
type ServiceRule struct {
	Name       Service
	HealthPath string
	// Connections is the number that one server accepts from all callers.
	Connections int
	// WarmUp is how long a server is cold after its start, and WarmUpRate the
	// requests per second that it bears meanwhile; 0 means no bound.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Routing is one version of the operators' routes and services.
type Routing struct {
	Version  uint64
	Routes   []PathRoute
	Services []ServiceRule
	// Revision is that of the registry at which the version was published.
	Revision uint64
}

// ServerEntry is what a server has published about itself. It lags; the node
// on the server's host knows better.
type ServerEntry struct {
	ID         string
	Service    Service
	Host       HostName
	Address    netip.AddrPort
	DataCentre DataCentre
	Slots      int
	Draining   bool
	// Born is the start of the server on its own clock; zero if not told.
	Born time.Time
	// Revision is that of the registry's last change of the entry.
	Revision uint64
}

// Same reports whether two entries tell the same, whatever their revisions.
func (e *ServerEntry) Same(o *ServerEntry) bool {
	a, b := *e, *o
	a.Revision, b.Revision = 0, 0
	if !a.Born.Equal(b.Born) {
		return false
	}
	a.Born, b.Born = time.Time{}, time.Time{}
	return a == b
}

// CentreSwitch is an operator's order to take a data centre out of service or
// to put it back. The switch with the highest revision holds.
type CentreSwitch struct {
	DataCentre DataCentre
	Out        bool
	Revision   uint64
}

// Placement is an immutable, indexed set of what is published.
type Placement struct {
	Routing  Routing
	Switches []CentreSwitch
	Servers  []ServerEntry

	routes   map[string][]*PathRoute // by authority, longest prefix first
	services map[Service]*ServiceRule
	servers  map[Service][]*ServerEntry
	hosts    map[HostName]*ServerEntry
	near     map[DataCentre][]*ServerEntry
	ids      map[string]*ServerEntry
	out      map[DataCentre]bool
}

// NewPlacement indexes checked values. It keeps the slices it is given.
func NewPlacement(routing Routing, switches []CentreSwitch, servers []ServerEntry) *Placement {
	p := &Placement{
		Routing: routing, Switches: switches, Servers: servers,
		routes:   make(map[string][]*PathRoute),
		services: make(map[Service]*ServiceRule, len(routing.Services)),
		servers:  make(map[Service][]*ServerEntry),
		hosts:    make(map[HostName]*ServerEntry, len(servers)),
		near:     make(map[DataCentre][]*ServerEntry),
		ids:      make(map[string]*ServerEntry, len(servers)),
		out:      make(map[DataCentre]bool),
	}
	for i := range routing.Routes {
		r := &routing.Routes[i]
		p.routes[r.Authority] = append(p.routes[r.Authority], r)
	}
	for _, rs := range p.routes {
		slices.SortStableFunc(rs, func(a, b *PathRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range routing.Services {
		p.services[routing.Services[i].Name] = &routing.Services[i]
	}
	for _, s := range switches {
		if s.Out {
			p.out[s.DataCentre] = true
		}
	}
	for i := range servers {
		if old := p.hosts[servers[i].Host]; old == nil || newer(&servers[i], old) {
			p.hosts[servers[i].Host] = &servers[i]
		}
	}
	for i := range servers {
		e := &servers[i]
		p.ids[e.ID] = e
		if p.hosts[e.Host] != e {
			continue // the newer server of the host holds
		}
		p.near[e.DataCentre] = append(p.near[e.DataCentre], e)
		if !e.Draining && !p.out[e.DataCentre] {
			p.servers[e.Service] = append(p.servers[e.Service], e)
		}
	}
	return p
}

// newer reports whether a replaces b as the entry of their host.
func newer(a, b *ServerEntry) bool {
	if a.Draining != b.Draining {
		return b.Draining
	}
	return a.Born.After(b.Born)
}

// Route returns the route of a request, or nil if there is none.
func (p *Placement) Route(authority, path string) *PathRoute {
	for _, r := range p.routes[authority] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the rule of a service, or nil if there is none.
func (p *Placement) Service(s Service) *ServiceRule { return p.services[s] }

// InService returns the servers of a service that may get new requests.
func (p *Placement) InService(s Service) []*ServerEntry { return p.servers[s] }

// Hosts returns the number of hosts with a server.
func (p *Placement) Hosts() int { return len(p.hosts) }

// Host returns the entry of a host's server, or nil if there is none.
func (p *Placement) Host(h HostName) *ServerEntry { return p.hosts[h] }

// Out reports whether operators have taken a data centre out of service.
func (p *Placement) Out(d DataCentre) bool { return p.out[d] }

// Near returns the entries of the hosts of a data centre, one for each.
func (p *Placement) Near(d DataCentre) []*ServerEntry { return p.near[d] }

// Entry returns the entry of a server, or nil if there is none.
func (p *Placement) Entry(id string) *ServerEntry { return p.ids[id] }
