package roster

import (
	"slices"

	prim "github.com/primrosethread/primrosethread"
)

// Most changes of the routes concern a few of many. Nodes keep the last versions, so that
// a node with one of these is sent only what changed since. A version identifies its
// contents, so the result is that of a full transfer.

const (
	// maxPreviousVersions and maxPreviousRoutes bound the versions that are kept. Customers
	// and their keys count like routes.
	maxPreviousVersions = 8
	maxPreviousRoutes   = 20000
)

// routingFields is the generation of the fields of prim.Routing that this version of the
// program knows. It is sent with every state: a node of an earlier generation drops the
// fields that it doesn't know, so its routes may lack the customers, and with them the need
// for keys, and the home regions. It has to be raised with every field whose absence admits requests that the
// operators don't want to run.
const routingFields = 1

// routesDiff is the difference between two versions of the routes.
type routesDiff struct {
	Base            uint64             `cbor:"1,keyasint"` // the version that it applies to
	Version         uint64             `cbor:"2,keyasint"`
	Number          uint64             `cbor:"7,keyasint"` // of the revision of Version
	Removed         []routeKey         `cbor:"3,keyasint,omitempty"`
	Changed         []prim.PathRoute   `cbor:"4,keyasint,omitempty"` // also added ones
	ServicesChanged bool               `cbor:"5,keyasint,omitempty"`
	Services        []prim.ServiceRule `cbor:"6,keyasint,omitempty"` // all of them, if any changed
	// Limits holds the limits for clients if they changed. Nodes of earlier versions have
	// none, and send none.
	Limits *prim.ClientLimits `cbor:"12,keyasint,omitempty"`
	// CustomersChanged is set if Customers replaces those of Base. A nil list is sent as null,
	// an empty one as such; see prim.Routing.NeedsKeys.
	CustomersChanged bool                `cbor:"8,keyasint,omitempty"`
	Customers        []prim.CustomerRule `cbor:"9,keyasint"`
}

// routeKey identifies a route within one version.
type routeKey struct {
	_         struct{} `cbor:",toarray"`
	Authority string
	Prefix    string
}

func keyOf(v *prim.PathRoute) routeKey { return routeKey{Authority: v.Authority, Prefix: v.Prefix} }

// diffRoutes returns the difference from one version to another.
func diffRoutes(from, to *prim.Routing) *routesDiff {
	d := &routesDiff{Base: from.Version, Version: to.Version, Number: to.Revision.Number()}
	before := make(map[routeKey]*prim.PathRoute, len(from.Routes))
	for i := range from.Routes {
		before[keyOf(&from.Routes[i])] = &from.Routes[i]
	}
	for i := range to.Routes {
		v := &to.Routes[i]
		if old := before[keyOf(v)]; old == nil || !old.Equal(v) {
			d.Changed = append(d.Changed, *v)
		}
		delete(before, keyOf(v))
	}
	for i := range from.Routes {
		if k := keyOf(&from.Routes[i]); before[k] != nil {
			d.Removed = append(d.Removed, k)
		}
	}
	if !slices.Equal(from.Services, to.Services) {
		d.ServicesChanged, d.Services = true, to.Services
	}
	if from.Limits != to.Limits {
		d.Limits = &to.Limits
	}
	if !equalCustomers(from, to) {
		d.CustomersChanged, d.Customers = true, to.Customers
	}
	return d
}

// equalCustomers reports whether two versions have the same customers, and both or neither
// need keys.
func equalCustomers(a, b *prim.Routing) bool {
	return a.NeedsKeys() == b.NeedsKeys() &&
		slices.EqualFunc(a.Customers, b.Customers, func(x, y prim.CustomerRule) bool { return x.Equal(&y) })
}

// apply returns the version that follows from the one that d applies to.
func (d *routesDiff) apply(from *prim.Routing) prim.Routing {
	to := prim.Routing{Version: d.Version, Services: from.Services, Customers: from.Customers, Limits: from.Limits, Revision: prim.Revision(d.Number)}
	if d.ServicesChanged {
		to.Services = d.Services
	}
	if d.Limits != nil {
		to.Limits = *d.Limits
	}
	if d.CustomersChanged {
		to.Customers = d.Customers
	}
	replaced := make(map[routeKey]bool, len(d.Removed)+len(d.Changed))
	for _, k := range d.Removed {
		replaced[k] = true
	}
	for i := range d.Changed {
		replaced[keyOf(&d.Changed[i])] = true
	}
	to.Routes = make([]prim.PathRoute, 0, len(from.Routes)+len(d.Changed))
	for i := range from.Routes {
		if !replaced[keyOf(&from.Routes[i])] {
			to.Routes = append(to.Routes, from.Routes[i])
		}
	}
	to.Routes = append(to.Routes, d.Changed...)
	return to
}

// keepRouting adds a version to the previous ones. The caller holds r.mu.
func (r *Roster) keepRouting(v prim.Routing) {
	if v.Version == 0 {
		return
	}
	r.previousRoutings = append(r.previousRoutings, v)
	kept := 0
	for i, p := range slices.Backward(r.previousRoutings) {
		kept += len(p.Routes)
		for j := range p.Customers {
			kept += 1 + len(p.Customers[j].Keys)
		}
		if kept > maxPreviousRoutes || len(r.previousRoutings)-i > maxPreviousVersions {
			r.previousRoutings = slices.Delete(r.previousRoutings, 0, i+1)
			return
		}
	}
}

// routesSince returns the difference from a version to the current one, or nil if the
// version isn't kept or the difference isn't shorter than the whole. The caller holds
// r.mu.
func (r *Roster) routesSince(version uint64) *routesDiff {
	i := slices.IndexFunc(r.previousRoutings, func(v prim.Routing) bool { return v.Version == version })
	if i < 0 {
		return nil
	}
	d := diffRoutes(&r.previousRoutings[i], &r.routing)
	if len(d.Removed)+len(d.Changed) >= len(r.routing.Routes) {
		return nil
	}
	return d
}
