package prim

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// A View is built once for each combination of document versions and read-only
// afterwards, so the request path needs neither locks nor parsing.

// View is an immutable, indexed snapshot of the published documents.
type View struct {
	// Digests holds the digest of each document by its name. A document that was
	// never received is absent.
	Digests map[string]Digest

	Plans       Plans
	Allowances  Allowances
	DataCentres DataCentres
	Hosts       Hosts

	byCredential   map[string]*CustomerEntry
	byCustomer     map[Customer]*CustomerEntry
	plans          map[string]map[Service]Allowance
	routes         map[Service][]Route
	services       map[Service]*ServiceEntry
	hosts          map[HostName]*Host
	byService      map[Service][]*Host
	inService      map[Service][]*Host
	outDataCentres map[DataCentre]bool
	outHosts       map[HostName]bool
	regions        map[DataCentre]Region
}

// ViewConfig holds the documents from which a View is built.
type ViewConfig struct {
	Digests     map[string]Digest
	Plans       Plans
	Allowances  Allowances
	DataCentres DataCentres
	Hosts       Hosts
}

// NewView indexes validated documents. It retains the slices that it is given.
func NewView(c ViewConfig) *View {
	v := &View{
		Digests:        c.Digests,
		Plans:          c.Plans,
		Allowances:     c.Allowances,
		DataCentres:    c.DataCentres,
		Hosts:          c.Hosts,
		byCredential:   make(map[string]*CustomerEntry),
		byCustomer:     make(map[Customer]*CustomerEntry),
		plans:          make(map[string]map[Service]Allowance),
		routes:         make(map[Service][]Route),
		services:       make(map[Service]*ServiceEntry),
		hosts:          make(map[HostName]*Host),
		byService:      make(map[Service][]*Host),
		inService:      make(map[Service][]*Host),
		outDataCentres: make(map[DataCentre]bool),
		outHosts:       make(map[HostName]bool),
		regions:        make(map[DataCentre]Region),
	}
	v.indexCustomers()
	v.indexRoutes()
	v.indexHosts()
	return v
}

func (v *View) indexCustomers() {
	for i := range v.Plans.Customers {
		c := &v.Plans.Customers[i]
		v.byCustomer[c.Name] = c
		for _, h := range c.Credentials {
			v.byCredential[h] = c
		}
	}
	for _, p := range v.Allowances.Plans {
		m := make(map[Service]Allowance, len(p.Allowances))
		for _, a := range p.Allowances {
			m[a.Service] = a
		}
		v.plans[p.Name] = m
	}
}

func (v *View) indexRoutes() {
	for _, r := range v.Allowances.Routes {
		v.routes[r.Service] = append(v.routes[r.Service], r)
	}
	for _, rs := range v.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	}
}

func (v *View) indexHosts() {
	for _, d := range v.DataCentres.DataCentres {
		v.regions[d.Name] = d.Region
		if !d.InService {
			v.outDataCentres[d.Name] = true
		}
	}
	for _, h := range v.DataCentres.HostsOut {
		v.outHosts[h] = true
	}
	for i := range v.Hosts.Services {
		s := &v.Hosts.Services[i]
		v.services[s.Name] = s
	}
	for i := range v.Hosts.Hosts {
		h := &v.Hosts.Hosts[i]
		v.byService[h.Service] = append(v.byService[h.Service], h)
		if old := v.hosts[h.Name]; old == nil || old.State == HostLost {
			v.hosts[h.Name] = h
		}
		if h.State == HostLive && !v.IsHostOut(h) {
			v.inService[h.Service] = append(v.inService[h.Service], h)
		}
	}
}

// CustomerByToken returns the entry of the customer that a bearer token identifies.
func (v *View) CustomerByToken(token string) (*CustomerEntry, bool) {
	sum := sha256.Sum256([]byte(token))
	c, ok := v.byCredential[hex.EncodeToString(sum[:])]
	return c, ok
}

// Customer returns the entry of a customer.
func (v *View) Customer(name Customer) (*CustomerEntry, bool) {
	c, ok := v.byCustomer[name]
	return c, ok
}

// Allowance returns the allowance of a customer at a service. Its rate and burst
// are zero if the customer is unknown or its plan does not list the service.
func (v *View) Allowance(name Customer, s Service) Allowance {
	c, ok := v.byCustomer[name]
	if !ok {
		return Allowance{Service: s}
	}
	a, ok := v.plans[c.Plan][s]
	if !ok {
		return Allowance{Service: s}
	}
	return a
}

// Route returns the route of a request. A request without a listed route has the
// class "Other" and is idempotent only if its method is safe (RFC 9110, section
// 9.2.1).
func (v *View) Route(s Service, method, path string) Route {
	for _, r := range v.routes[s] {
		if r.Method == method && strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return Route{Service: s, Method: method, Class: "Other", Idempotent: safe}
}

// Service returns the entry of a service.
func (v *View) Service(s Service) (*ServiceEntry, bool) {
	e, ok := v.services[s]
	return e, ok
}

// Host returns the entry of a host. If the host was replaced under the same
// name, it returns the entry whose state is not HostLost.
func (v *View) Host(name HostName) (*Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// ServiceHosts returns every listed host of a service, including lost ones.
func (v *View) ServiceHosts(s Service) []*Host { return v.byService[s] }

// InService returns the hosts of a service that may receive new requests.
func (v *View) InService(s Service) []*Host { return v.inService[s] }

// IsHostOut reports whether operators have taken the host or its data centre out of
// service.
func (v *View) IsHostOut(h *Host) bool { return v.outHosts[h.Name] || v.outDataCentres[h.DataCentre] }

// Region returns the region of a data centre.
func (v *View) Region(d DataCentre) Region { return v.regions[d] }

// HostsIssued returns when the host list was last known to be current, by the
// platform's clock.
func (v *View) HostsIssued() time.Time { return v.Digests[NameHosts].Issued }
