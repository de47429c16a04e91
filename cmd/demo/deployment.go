package main

import (
	"fmt"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// This file defines the two fleets of docs/design.md, section 2.3.

// deployment defines one fleet.
type deployment struct {
	name         string
	region       prim.Region
	delay        time.Duration // one-way delay between two data centres
	dataCentres  []prim.DataCentre
	services     []service
	requestKinds []requestKind
}

// service is a set of servers with the same capacity.
type service struct {
	name                        prim.Service
	servers, slots, connections int
}

// requestKind is one kind of request of the generated load.
type requestKind struct {
	weight   int // relative frequency
	route    prim.Route
	path     string // with the query string
	body     string
	keyed    bool // sent with an idempotency key
	internal bool // sent only for internal customers
}

func get(service prim.Service, class prim.Class, path, query string) requestKind {
	return requestKind{route: prim.Route{Service: service, Method: "GET", Path: path, Class: class, Idempotent: true}, path: path + query}
}

func post(service prim.Service, class prim.Class, path, body string) requestKind {
	return requestKind{route: prim.Route{Service: service, Method: "POST", Path: path, Class: class}, path: path, body: body}
}

func (c requestKind) withWeight(weight int) requestKind { c.weight = weight; return c }
func (c requestKind) withKey() requestKind              { c.keyed = true; return c }
func (c requestKind) internalOnly() requestKind         { c.internal, c.route.Internal = true, true; return c }

var deployments = map[string]deployment{
	"tasmania": {
		name: "tasmania", region: "tasmania", delay: 3 * time.Millisecond,
		dataCentres: []prim.DataCentre{"hobart", "launceston", "devonport"},
		services:    []service{{"bookings", 7, 9, 200}, {"payments", 3, 9, 200}},
		requestKinds: []requestKind{
			get("bookings", "SlotCheck", "/slots", "?day=2026-12-05").withWeight(40),
			get("bookings", "TideCheck", "/tides", "?port=hobart").withWeight(25),
			post("bookings", "Reservation", "/reservations", `{"Trip":7,"Seats":2}`).withWeight(12),
			post("payments", "Deposit", "/deposits", `{"Amount":4000}`).withKey().withWeight(18),
			get("bookings", "Manifest", "/manifest", "?day=2026-12-04").withWeight(5),
		},
	},
	"kumasi": {
		name: "kumasi", region: "ashanti", delay: 5 * time.Millisecond,
		dataCentres: []prim.DataCentre{"adum", "asokwa", "bantama"},
		services:    []service{{"orders", 10, 6, 250}, {"dispatch", 3, 6, 250}},
		requestKinds: []requestKind{
			get("orders", "Catalogue", "/catalogue", "?page=2").withWeight(40),
			get("orders", "Stock", "/stock", "?item=17").withWeight(25),
			post("orders", "Deposit", "/deposits", `{"Amount":900}`).withKey().withWeight(15),
			post("dispatch", "CourierBooking", "/couriers", `{"Parcel":3}`).withKey().withWeight(12),
			get("orders", "DryingShed", "/sheds", "?shed=4").internalOnly().withWeight(8),
		},
	},
}

// hostCount returns the number of hosts.
func (f *deployment) hostCount() (n int) {
	for _, s := range f.services {
		n += s.servers
	}
	return n
}

// summary lists the services with their numbers of servers.
func (f *deployment) summary() string {
	var parts []string
	for _, s := range f.services {
		parts = append(parts, fmt.Sprintf("%s on %d", s.name, s.servers))
	}
	return strings.Join(parts, ", ")
}

// customer is one customer of the demo.
type customer struct {
	name        prim.Customer
	plan        string
	rate, burst float64 // allowance per service, in requests per second and requests
	internal    bool
	token       string // random for each run of the demo
}

// demoCustomers are the customers of the demo, without their tokens. Three stay within
// their plans. The fourth sends more than its plan allows, so that a run also shows
// refusals.
var demoCustomers = []customer{
	{name: "harbour", plan: "large", rate: 5000, burst: 5000},
	{name: "market", plan: "large", rate: 5000, burst: 5000},
	{name: "operator", plan: "large", rate: 5000, burst: 5000, internal: true},
	{name: "trial", plan: "small", rate: 40, burst: 40},
}

// exceedsPlan reports whether the customer sends more than its plan allows.
func (c *customer) exceedsPlan() bool { return c.plan == "small" }

// config returns the configuration of the fleet with its documents, for the given
// customers. The caller sets the folders.
func (f *deployment) config(customers []customer) fleet.Config {
	c := fleet.Config{NodeArgs: []string{"-costs", f.delaysFlag(), "-drain-timeout", "8s", "-log-format", "text"}}
	for _, k := range customers {
		c.Plans.Customers = append(c.Plans.Customers, prim.CustomerEntry{
			Name: k.name, Plan: k.plan, Credentials: []string{fleet.HashToken(k.token)}, Internal: k.internal})
		if n := len(c.Allowances.Plans); n > 0 && c.Allowances.Plans[n-1].Name == k.plan {
			continue
		}
		p := prim.Plan{Name: k.plan}
		for _, s := range f.services {
			p.Allowances = append(p.Allowances, prim.Allowance{Service: s.name, Rate: k.rate, Burst: k.burst})
		}
		c.Allowances.Plans = append(c.Allowances.Plans, p)
	}
	for _, k := range f.requestKinds {
		c.Allowances.Routes = append(c.Allowances.Routes, k.route)
	}
	for _, d := range f.dataCentres {
		c.DataCentres.DataCentres = append(c.DataCentres.DataCentres, prim.DataCentreEntry{Name: d, Region: f.region, InService: true})
	}
	hosts := 0
	for _, s := range f.services {
		e := fleet.Service{Name: s.name, Slots: s.slots, Connections: s.connections}
		for n := range s.servers {
			e.Hosts = append(e.Hosts, fleet.HostPlacement{
				Host: prim.HostName(fmt.Sprintf("%s-%d", s.name, n+1)), DataCentre: f.dataCentres[hosts%len(f.dataCentres)]})
			hosts++
		}
		c.Services = append(c.Services, e)
	}
	return c
}

// delaysFlag returns the delays between the data centres as the value of the nodes'
// flag -costs.
func (f *deployment) delaysFlag() string {
	var delays []string
	for i, a := range f.dataCentres {
		for _, b := range f.dataCentres[:i] {
			delays = append(delays, fmt.Sprintf("%s/%s=%s", a, b, f.delay))
		}
	}
	return strings.Join(delays, ",")
}
