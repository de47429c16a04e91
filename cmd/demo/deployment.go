package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file describes the two fleets of section 2.3 of the design page.

// fleet is one deployment.
type fleet struct {
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

var fleets = map[string]fleet{
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

// summary lists the services.
func (f *fleet) summary() string {
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

// documents returns the published documents of a fleet on the given hosts.
func (f *fleet) documents(cs []customer, hosts []prim.Host, since time.Time) map[string]any {
	var plans prim.Plans
	var allowances prim.Allowances
	for _, c := range cs {
		sum := sha256.Sum256([]byte(c.token))
		plans.Customers = append(plans.Customers, prim.CustomerEntry{
			Name: c.name, Plan: c.plan, Credentials: []string{hex.EncodeToString(sum[:])}, Internal: c.internal})
		if n := len(allowances.Plans); n > 0 && allowances.Plans[n-1].Name == c.plan {
			continue
		}
		p := prim.Plan{Name: c.plan}
		for _, s := range f.services {
			p.Allowances = append(p.Allowances, prim.Allowance{Service: s.name, Rate: c.rate, Burst: c.burst})
		}
		allowances.Plans = append(allowances.Plans, p)
	}
	for _, c := range f.calls {
		allowances.Routes = append(allowances.Routes, c.route)
	}
	var centres prim.DataCentres
	for _, c := range f.centres {
		centres.DataCentres = append(centres.DataCentres, prim.DataCentreEntry{Name: c, Region: f.region, InService: true})
	}
	list := prim.Hosts{Hosts: hosts}
	for _, s := range f.services {
		list.Services = append(list.Services, prim.ServiceEntry{Name: s.name, Since: since, Slots: s.slots, Connections: s.connections})
	}
	return map[string]any{
		prim.NamePlans: plans, prim.NameAllowances: allowances, prim.NameDataCentres: centres, prim.NameHosts: list,
	}
}
