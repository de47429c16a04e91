package prim

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file defines what operators and servers publish on a platform with routes
// and server entries instead of the four documents of document.go. Platform
// adapters fill in these types; package roster keeps the newest version of each.

// PathRoute directs the requests to an authority whose path begins with Prefix
// to its targets. If several routes match, the longest prefix wins.
type PathRoute struct {
	Name      string
	Authority string // HTTP host, without port
	Prefix    string // begins and ends with a slash
	// Targets receive the requests in proportion to their weights. There is at
	// least one.
	Targets    []Target
	Idempotent bool
	// Timeout is the longest time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// Objective is the target latency: an answer within this time is of full use
	// to the caller.
	Objective time.Duration
	Priority  int // 0 is the most urgent
	// Attempts is the maximum number of servers that a request may be sent to.
	Attempts int
	// Regions lists the home regions: requests may be served and stored only there. If
	// empty, they may be served anywhere.
	Regions []Region
	// Public is set if requests need no key although customers are configured.
	Public bool
	// Closed is set if the route has a field that restricts who may send requests and that
	// this version of the program doesn't know. Its requests are refused.
	Closed bool
}

// Equal reports whether two routes are equal.
func (r *PathRoute) Equal(o *PathRoute) bool {
	return r.Name == o.Name && r.Authority == o.Authority && r.Prefix == o.Prefix && slices.Equal(r.Targets, o.Targets) &&
		r.Idempotent == o.Idempotent && r.Timeout == o.Timeout && r.Objective == o.Objective && r.Priority == o.Priority && r.Attempts == o.Attempts &&
		slices.Equal(r.Regions, o.Regions) && r.Public == o.Public && r.Closed == o.Closed
}

// HomeRegions returns the regions in which the requests of a customer on this route may be
// served. Customer holds the home regions of the customer, and is empty if it has none. If
// restricted is false, the requests may be served anywhere; if it is true and regions is
// empty, nowhere.
func (r *PathRoute) HomeRegions(customer []Region) (regions []Region, restricted bool) {
	switch {
	case len(customer) == 0:
		return r.Regions, len(r.Regions) > 0
	case len(r.Regions) == 0:
		return customer, true
	}
	for _, g := range r.Regions {
		if slices.Contains(customer, g) {
			regions = append(regions, g)
		}
	}
	return regions, true
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service Service
	Weight  int
}

// ServiceRule holds the operators' settings for the servers of a service.
type ServiceRule struct {
	Name       Service
	HealthPath string
	// Connections is the number of connections that one server accepts from all
	// callers together.
	Connections int
	// WarmUp is how long a server is cold after its start, and WarmUpRate is the
	// number of requests per second that it can handle during that time; 0 means
	// no limit.
	WarmUp     time.Duration
	WarmUpRate float64
}

// CustomerRule holds the operators' settings for one customer.
type CustomerRule struct {
	Name Customer
	// Keys holds the digests of the customer's keys. The keys themselves are not kept.
	Keys []KeyDigest
	// Priority replaces that of the route; nil if the customer has none.
	Priority *int
	// Rate is the allowance in requests per second over all nodes, and Burst what may be
	// used at once beyond it. There is no limit if Rate is 0.
	Rate, Burst float64
	// Regions lists the home regions, as in PathRoute. If a route has home regions as well,
	// both bind.
	Regions []Region
	// Closed is as in PathRoute: requests with the customer's keys are refused.
	Closed bool
}

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [32]byte

// ClientLimits bounds what a client may send and how long it may take.
type ClientLimits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the header block and the body of a request.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is the time for a whole header block, IdleTimeout the time that a
	// connection may be idle between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Defaults of ClientLimits, and their largest values where the node can't do more.
const (
	// DefaultHeaderTimeout and DefaultIdleTimeout exceed the longest timeouts that
	// operators usually publish, so that no client is cut off early.
	DefaultHeaderTimeout = 15 * time.Second
	DefaultIdleTimeout   = 90 * time.Second
)

// WithDefaults returns the limits with defaults for fields that are zero, and with sizes of at
// most MaxHeaderBytes and MaxRequestBody.
func (l ClientLimits) WithDefaults() ClientLimits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = MaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = MaxRequestBody
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	l.MaxHeaderBytes = min(l.MaxHeaderBytes, MaxHeaderBytes)
	l.MaxBodyBytes = min(l.MaxBodyBytes, MaxRequestBody)
	return l
}

// LogValue implements slog.LogValuer.
func (l ClientLimits) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("MaxHeaderBytes", l.MaxHeaderBytes), slog.Int("MaxBodyBytes", l.MaxBodyBytes),
		slog.Duration("HeaderTimeout", l.HeaderTimeout), slog.Duration("IdleTimeout", l.IdleTimeout))
}

// Routing is one version of the operators' routes and services.
type Routing struct {
	Version  uint64
	Routes   []PathRoute
	Services []ServiceRule
	// Customers holds the customers. It is nil if requests need no keys, and empty if the
	// configuration lists no customers; see NeedsKeys.
	Customers []CustomerRule
	// Limits bounds what clients may send. Fields that are zero have defaults.
	Limits ClientLimits
	// Revision is the revision of the registry at which this version was published.
	Revision Revision
}

// RoutingError reports a field of the routes that can't be used.
type RoutingError struct {
	Version              uint64
	Field, Value, Remedy string
}

// Error names the version, the field, its value and the remedy.
func (e *RoutingError) Error() string {
	return fmt.Sprintf("version %d of the routes: field %s has the value %q; %s", e.Version, e.Field, e.Value, e.Remedy)
}

// Check returns a *RoutingError if requests could not be answered by these routes. What else
// operators have to observe is checked when the registry is read.
func (r *Routing) Check() error {
	for i := range r.Routes {
		if v := &r.Routes[i]; len(v.Targets) == 0 {
			return &RoutingError{r.Version, "Targets", "", fmt.Sprintf("give route %q at least one target", v.Name)}
		}
	}
	if l := &r.Limits; min(l.MaxHeaderBytes, l.MaxBodyBytes) < 0 || min(l.HeaderTimeout, l.IdleTimeout) < 0 {
		return &RoutingError{r.Version, "Limits", fmt.Sprint(*l), "give limits that are not negative"}
	}
	return nil
}

// ServerEntry is what a server has published about itself. It can be out of
// date; the node on the server's host has more recent information.
type ServerEntry struct {
	ID         string
	Service    Service
	Host       HostName
	Address    netip.AddrPort
	DataCentre DataCentre
	Slots      int
	Draining   bool
	// Born is the start time of the server by its own clock; zero if unknown.
	Born time.Time
	// Revision is the revision of the registry at which the entry last changed.
	Revision Revision
}

// Bounds of a server entry. A time outside the years 0 to 9999 can't be sent to other
// nodes.
const maxEntrySlots = 1 << 20

var (
	minEntryBorn = time.Unix(0, 0)
	maxEntryBorn = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)
)

// EntryError reports a field of a server entry that can't be used.
type EntryError struct{ ID, Field, Value, Remedy string }

// Error names the server, the field, its value and the remedy.
func (e *EntryError) Error() string {
	return fmt.Sprintf("entry of server %q: field %s has the value %q; %s", e.ID, e.Field, e.Value, e.Remedy)
}

// Check returns an *EntryError if the entry can't be used or can't be sent to other
// nodes.
func (e *ServerEntry) Check() error {
	switch {
	case e.ID == "":
		return &EntryError{e.ID, "ID", "", "give the ID of the server"}
	case e.Service == "":
		return &EntryError{e.ID, "Service", "", "give the service of the server"}
	case e.Host == "":
		return &EntryError{e.ID, "Host", "", "give the host of the server"}
	case !e.Address.IsValid() || e.Address.Port() == 0 || e.Address.Addr().Zone() != "":
		return &EntryError{e.ID, "Address", e.Address.String(), "give an IP address without a zone, and a port from 1 to 65535"}
	case e.Slots < 0 || e.Slots > maxEntrySlots:
		return &EntryError{e.ID, "Slots", strconv.Itoa(e.Slots), fmt.Sprintf("give 0 to %d", maxEntrySlots)}
	case !e.Born.IsZero() && (e.Born.Before(minEntryBorn) || e.Born.After(maxEntryBorn)):
		return &EntryError{e.ID, "Born", strconv.FormatInt(e.Born.UnixMilli(), 10) + " ms", "give a time from 1970 to 9999"}
	}
	return nil
}

// EqualIgnoringRevision reports whether two entries are equal apart from their revisions.
func (e *ServerEntry) EqualIgnoringRevision(o *ServerEntry) bool {
	a, b := *e, *o
	a.Revision, b.Revision = 0, 0
	if !a.Born.Equal(b.Born) {
		return false
	}
	a.Born, b.Born = time.Time{}, time.Time{}
	return a == b
}

// DataCentreSwitch is an operator's command to take a data centre out of service or
// to bring it back. The switch with the highest revision takes effect.
type DataCentreSwitch struct {
	DataCentre DataCentre
	Out        bool
	Revision   Revision
}

// Placement is an immutable, indexed snapshot of the published routes, switches
// and servers.
type Placement struct {
	Routing  Routing
	Switches []DataCentreSwitch
	Servers  []ServerEntry

	byAuthority    map[string][]*PathRoute // longest prefix first
	rules          map[Service]*ServiceRule
	inService      map[Service][]*ServerEntry
	byHost         map[HostName]*ServerEntry
	byDataCentre   map[DataCentre][]*ServerEntry
	byID           map[string]*ServerEntry
	outDataCentres map[DataCentre]bool
}

// NewPlacement indexes validated values. It retains the slices that it is given.
func NewPlacement(routing Routing, switches []DataCentreSwitch, servers []ServerEntry) *Placement {
	p := &Placement{
		Routing: routing, Switches: switches, Servers: servers,
		byAuthority:    make(map[string][]*PathRoute),
		rules:          make(map[Service]*ServiceRule, len(routing.Services)),
		inService:      make(map[Service][]*ServerEntry),
		byHost:         make(map[HostName]*ServerEntry, len(servers)),
		byDataCentre:   make(map[DataCentre][]*ServerEntry),
		byID:           make(map[string]*ServerEntry, len(servers)),
		outDataCentres: make(map[DataCentre]bool),
	}
	for i := range routing.Routes {
		r := &routing.Routes[i]
		p.byAuthority[r.Authority] = append(p.byAuthority[r.Authority], r)
	}
	for _, rs := range p.byAuthority {
		slices.SortStableFunc(rs, func(a, b *PathRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range routing.Services {
		p.rules[routing.Services[i].Name] = &routing.Services[i]
	}
	for _, s := range switches {
		if s.Out {
			p.outDataCentres[s.DataCentre] = true
		}
	}
	for i := range servers {
		e := &servers[i]
		p.byID[e.ID] = e
		if len(routing.Services) > 0 && p.rules[e.Service] == nil {
			continue // an entry of a service that isn't configured names no server
		}
		if old := p.byHost[e.Host]; old == nil || supersedes(e, old) {
			p.byHost[e.Host] = e
		}
	}
	for i := range servers {
		e := &servers[i]
		if p.byHost[e.Host] != e {
			continue // another entry of the host supersedes this one, or it names no server
		}
		p.byDataCentre[e.DataCentre] = append(p.byDataCentre[e.DataCentre], e)
		if !e.Draining && !p.outDataCentres[e.DataCentre] {
			p.inService[e.Service] = append(p.inService[e.Service], e)
		}
	}
	return p
}

// supersedes reports whether a replaces b as the entry of their host.
func supersedes(a, b *ServerEntry) bool {
	if a.Draining != b.Draining {
		return b.Draining
	}
	return a.Born.After(b.Born)
}

// Route returns the route of a request, or nil if there is none.
func (p *Placement) Route(authority, path string) *PathRoute {
	for _, r := range p.byAuthority[authority] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the rule of a service, or nil if there is none.
func (p *Placement) Service(s Service) *ServiceRule { return p.rules[s] }

// InService returns the servers of a service that may receive new requests.
func (p *Placement) InService(s Service) []*ServerEntry { return p.inService[s] }

// HostCount returns the number of hosts that have a server entry.
func (p *Placement) HostCount() int { return len(p.byHost) }

// Host returns the entry of a host's server, or nil if there is none.
func (p *Placement) Host(h HostName) *ServerEntry { return p.byHost[h] }

// IsDataCentreOut reports whether operators have taken a data centre out of service.
func (p *Placement) IsDataCentreOut(d DataCentre) bool { return p.outDataCentres[d] }

// ServersIn returns the entries of the servers in a data centre, one for each host.
func (p *Placement) ServersIn(d DataCentre) []*ServerEntry { return p.byDataCentre[d] }

// ServerByID returns the entry of the server with this ID, or nil if there is none.
func (p *Placement) ServerByID(id string) *ServerEntry { return p.byID[id] }
