package main

import (
	"fmt"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// This file describes the two fleets of section 2.3 of the design page.

// deployment describes one fleet.
type deployment struct {
	name     string
	region   prim.Region
	cost     time.Duration // one way between two data centres
	centres  []prim.DataCentre
	services []service
	calls    []call
}

// service is a set of servers of the same size.
type service struct {
	name                        prim.Service
	servers, slots, connections int
}

// call is one kind of request. Weights are relative.
type call struct {
	weight   int
	route    prim.Route
	path     string // with query
	body     string
	keyed    bool // sent with an idempotency key
	internal bool // sent by the operator's own application only
}

func get(service prim.Service, class prim.Class, path, query string) call {
	return call{route: prim.Route{Service: service, Method: "GET", Path: path, Class: class, Idempotent: true}, path: path + query}
}

func post(service prim.Service, class prim.Class, path, body string) call {
	return call{route: prim.Route{Service: service, Method: "POST", Path: path, Class: class}, path: path, body: body}
}

func (c call) times(weight int) call { c.weight = weight; return c }
func (c call) withKey() call         { c.keyed = true; return c }
func (c call) internally() call      { c.internal, c.route.Internal = true, true; return c }

var deployments = map[string]deployment{
	"tasmania": {
		name: "tasmania", region: "tasmania", cost: 3 * time.Millisecond,
		centres:  []prim.DataCentre{"hobart", "launceston", "devonport"},
		services: []service{{"bookings", 7, 9, 200}, {"payments", 3, 9, 200}},
		calls: []call{
			get("bookings", "SlotCheck", "/slots", "?day=2026-12-05").times(40),
			get("bookings", "TideCheck", "/tides", "?port=hobart").times(25),
			post("bookings", "Reservation", "/reservations", `{"Trip":7,"Seats":2}`).times(12),
			post("payments", "Deposit", "/deposits", `{"Amount":4000}`).withKey().times(18),
			get("bookings", "Manifest", "/manifest", "?day=2026-12-04").times(5),
		},
	},
	"kumasi": {
		name: "kumasi", region: "ashanti", cost: 5 * time.Millisecond,
		centres:  []prim.DataCentre{"adum", "asokwa", "bantama"},
		services: []service{{"orders", 10, 6, 250}, {"dispatch", 3, 6, 250}},
		calls: []call{
			get("orders", "Catalogue", "/catalogue", "?page=2").times(40),
			get("orders", "Stock", "/stock", "?item=17").times(25),
			post("orders", "Deposit", "/deposits", `{"Amount":900}`).withKey().times(15),
			post("dispatch", "CourierBooking", "/couriers", `{"Parcel":3}`).withKey().times(12),
			get("orders", "DryingShed", "/sheds", "?shed=4").internally().times(8),
		},
	},
}

// hosts counts the hosts.
func (f *deployment) hosts() (n int) {
	for _, s := range f.services {
		n += s.servers
	}
	return n
}

// summary lists the services.
func (f *deployment) summary() string {
	var parts []string
	for _, s := range f.services {
		parts = append(parts, fmt.Sprintf("%s on %d", s.name, s.servers))
	}
	return strings.Join(parts, ", ")
}

// customer is one caller of the demo.
type customer struct {
	name        prim.Customer
	plan        string
	rate, burst float64 // at each service
	internal    bool
	token       string // drawn at each run
}

// Three customers stay within their plans. The fourth sends more than its plan
// allows, so that a run also shows refusals.
var customers = []customer{
	{name: "harbour", plan: "large", rate: 5000, burst: 5000},
	{name: "market", plan: "large", rate: 5000, burst: 5000},
	{name: "operator", plan: "large", rate: 5000, burst: 5000, internal: true},
	{name: "trial", plan: "small", rate: 40, burst: 40},
}

// over reports whether the customer sends more than its plan allows.
func (c *customer) over() bool { return c.plan == "small" }

// config returns the fleet with its documents, without folders.
func (f *deployment) config(cs []customer) fleet.Config {
	c := fleet.Config{NodeArgs: []string{"-costs", f.costs(), "-drain-timeout", "8s", "-log-format", "text"}}
	for _, k := range cs {
		c.Plans.Customers = append(c.Plans.Customers, prim.CustomerEntry{
			Name: k.name, Plan: k.plan, Credentials: []string{fleet.Hash(k.token)}, Internal: k.internal})
		if n := len(c.Allowances.Plans); n > 0 && c.Allowances.Plans[n-1].Name == k.plan {
			continue
		}
		p := prim.Plan{Name: k.plan}
		for _, s := range f.services {
			p.Allowances = append(p.Allowances, prim.Allowance{Service: s.name, Rate: k.rate, Burst: k.burst})
		}
		c.Allowances.Plans = append(c.Allowances.Plans, p)
	}
	for _, k := range f.calls {
		c.Allowances.Routes = append(c.Allowances.Routes, k.route)
	}
	for _, d := range f.centres {
		c.DataCentres.DataCentres = append(c.DataCentres.DataCentres, prim.DataCentreEntry{Name: d, Region: f.region, InService: true})
	}
	hosts := 0
	for _, s := range f.services {
		e := fleet.Service{Name: s.name, Slots: s.slots, Connections: s.connections}
		for n := range s.servers {
			e.Hosts = append(e.Hosts, fleet.Place{
				Host: prim.HostName(fmt.Sprintf("%s-%d", s.name, n+1)), DataCentre: f.centres[hosts%len(f.centres)]})
			hosts++
		}
		c.Services = append(c.Services, e)
	}
	return c
}

// costs lists the times between the data centres as the nodes' setting.
func (f *deployment) costs() string {
	var costs []string
	for i, a := range f.centres {
		for _, b := range f.centres[:i] {
			costs = append(costs, fmt.Sprintf("%s/%s=%s", a, b, f.cost))
		}
	}
	return strings.Join(costs, ",")
}
