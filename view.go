package prim

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// A View is built once for each combination of document versions and then
// only read, so the request path takes no lock and does no parsing.

// View is an immutable, indexed set of published documents.
type View struct {
	// Digests are those of the documents in force, by name. A document that
	// was never received is absent.
	Digests map[string]Digest

	Plans       Plans
	Allowances  Allowances
	DataCentres DataCentres
	Hosts       Hosts

	byCredential map[string]*CustomerEntry
	byCustomer   map[Customer]*CustomerEntry
	plans        map[string]map[Service]Allowance
	routes       map[Service][]Route
	services     map[Service]*ServiceEntry
	hosts        map[HostName]*Host
	byService    map[Service][]*Host
	inService    map[Service][]*Host
	outCentres   map[DataCentre]bool
	outHosts     map[HostName]bool
	regions      map[DataCentre]Region
}

// ViewConfig holds the documents of a View.
type ViewConfig struct {
	Digests     map[string]Digest
	Plans       Plans
	Allowances  Allowances
	DataCentres DataCentres
	Hosts       Hosts
}

// NewView indexes checked documents. It keeps the slices it is given.
func NewView(c ViewConfig) *View {
	v := &View{
		Digests:      c.Digests,
		Plans:        c.Plans,
		Allowances:   c.Allowances,
		DataCentres:  c.DataCentres,
		Hosts:        c.Hosts,
		byCredential: make(map[string]*CustomerEntry),
		byCustomer:   make(map[Customer]*CustomerEntry),
		plans:        make(map[string]map[Service]Allowance),
		routes:       make(map[Service][]Route),
		services:     make(map[Service]*ServiceEntry),
		hosts:        make(map[HostName]*Host),
		byService:    make(map[Service][]*Host),
		inService:    make(map[Service][]*Host),
		outCentres:   make(map[DataCentre]bool),
		outHosts:     make(map[HostName]bool),
		regions:      make(map[DataCentre]Region),
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
			v.outCentres[d.Name] = true
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
		if h.State == HostLive && !v.Out(h) {
			v.inService[h.Service] = append(v.inService[h.Service], h)
		}
	}
}

// Credential returns the customer that a bearer token identifies.
func (v *View) Credential(token string) (*CustomerEntry, bool) {
	sum := sha256.Sum256([]byte(token))
	c, ok := v.byCredential[hex.EncodeToString(sum[:])]
	return c, ok
}

// Customer returns the entry of a customer.
func (v *View) Customer(name Customer) (*CustomerEntry, bool) {
	c, ok := v.byCustomer[name]
	return c, ok
}

// Allowance returns what a customer may use of a service. It is the zero
// Allowance when the customer or the service is not in its plan.
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

// Route classifies a request. A route that is not listed has the class
// "Other" and is idempotent only for methods without effects (RFC 9110,
// section 9.2.1).
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

// Host returns the entry of a host. If a host was replaced under the same
// name, it is the entry that is not Lost.
func (v *View) Host(name HostName) (*Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// ServiceHosts returns every listed host of a service, lost ones included.
func (v *View) ServiceHosts(s Service) []*Host { return v.byService[s] }

// InService returns the hosts of a service that may receive new requests.
func (v *View) InService(s Service) []*Host { return v.inService[s] }

// Out reports whether operators have taken out the host or its data centre.
func (v *View) Out(h *Host) bool { return v.outHosts[h.Name] || v.outCentres[h.DataCentre] }

// Region returns the region of a data centre.
func (v *View) Region(d DataCentre) Region { return v.regions[d] }

// HostsIssued returns when the host list was last known to be current.
func (v *View) HostsIssued() time.Time { return v.Digests[NameHosts].Issued }
