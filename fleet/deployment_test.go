package fleet_test

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// deployment describes one of the fleets of section 2.3 of docs/design.md.
type deployment struct {
	name         string
	region       prim.Region
	linkCost     time.Duration // one-way network cost between two data centres
	dataCentres  []prim.DataCentre
	services     []fleet.Service // without hosts
	hosts        []int           // number of hosts of each service
	requestKinds []requestKind
	customers    []customer
}

func tasmania() *deployment {
	return &deployment{
		name: "tasmania", region: "tasmania", linkCost: 3 * time.Millisecond,
		dataCentres: []prim.DataCentre{"hobart", "launceston", "devonport"},
		services:    []fleet.Service{{Name: "bookings", Slots: 9, Connections: 200}, {Name: "payments", Slots: 9, Connections: 200}},
		hosts:       []int{7, 3},
		requestKinds: []requestKind{
			{35, "bookings", http.MethodGet, "/slots?day=2026-12-05", "", true, false},
			{15, "bookings", http.MethodGet, "/tides?port=hobart", "", true, false},
			{10, "bookings", http.MethodPost, "/reservations", `{"Trip":7,"Seats":2}`, false, false},
			{5, "bookings", http.MethodPost, "/charters", `{"Trip":9}`, false, true},
			{10, "payments", http.MethodPost, "/refunds", `{"Amount":300}`, false, false},
			{25, "payments", http.MethodPost, "/deposits", `{"Amount":4000}`, false, true},
		},
		customers: newCustomers(),
	}
}

func kumasi() *deployment {
	return &deployment{
		name: "kumasi", region: "ashanti", linkCost: 5 * time.Millisecond,
		dataCentres: []prim.DataCentre{"adum", "asokwa", "bantama"},
		services:    []fleet.Service{{Name: "orders", Slots: 6, Connections: 250}, {Name: "dispatch", Slots: 6, Connections: 250}},
		hosts:       []int{10, 3},
		requestKinds: []requestKind{
			{35, "orders", http.MethodGet, "/catalogue?page=2", "", true, false},
			{15, "orders", http.MethodGet, "/stock?item=17", "", true, false},
			{15, "orders", http.MethodPost, "/deposits", `{"Amount":900}`, false, true},
			{15, "orders", http.MethodPost, "/notes", `{"Text":"late"}`, false, false},
			{15, "dispatch", http.MethodPost, "/couriers", `{"Parcel":3}`, false, true},
			{5, "dispatch", http.MethodPost, "/pickups", `{"Parcel":4}`, false, false},
		},
		customers: newCustomers(),
	}
}

// newCustomers returns two customers that stay within their allowance and one,
// trial, that exceeds it.
func newCustomers() []customer {
	return []customer{
		{"harbour", 2000, 2000, rand.Text()},
		{"market", 2000, 2000, rand.Text()},
		{"trial", 20, 20, rand.Text()},
	}
}

// config returns the configuration of the fleet with its documents; Folder is not
// set.
func (d *deployment) config() fleet.Config {
	var costs []string
	for i, a := range d.dataCentres {
		for _, b := range d.dataCentres[:i] {
			costs = append(costs, fmt.Sprintf("%s/%s=%s", a, b, d.linkCost))
		}
	}
	c := fleet.Config{Bin: binDir, Replicas: 2, Journals: true,
		NodeArgs: []string{"-costs", strings.Join(costs, ","), "-drain-timeout", "10s"}}
	for _, k := range d.customers {
		c.Plans.Customers = append(c.Plans.Customers, prim.CustomerEntry{
			Name: k.name, Plan: string(k.name), Credentials: []string{fleet.HashToken(k.token)}})
		p := prim.Plan{Name: string(k.name)}
		for _, s := range d.services {
			p.Allowances = append(p.Allowances, prim.Allowance{Service: s.Name, Rate: k.rate, Burst: k.burst})
		}
		c.Allowances.Plans = append(c.Allowances.Plans, p)
	}
	for _, k := range d.requestKinds {
		path, _, _ := strings.Cut(k.path, "?")
		c.Allowances.Routes = append(c.Allowances.Routes, prim.Route{
			Service: k.service, Method: k.method, Path: path, Class: prim.Class(path[1:]), Idempotent: k.idempotent})
	}
	for _, n := range d.dataCentres {
		c.DataCentres.DataCentres = append(c.DataCentres.DataCentres,
			prim.DataCentreEntry{Name: n, Region: d.region, InService: true})
	}
	at := 0
	for i, s := range d.services {
		for n := range d.hosts[i] {
			s.Hosts = append(s.Hosts, fleet.HostPlacement{
				Host: prim.HostName(fmt.Sprintf("%s-%d", s.Name, n+1)), DataCentre: d.dataCentres[at%len(d.dataCentres)]})
			at++
		}
		c.Services = append(c.Services, s)
	}
	return c
}
