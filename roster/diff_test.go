package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// drawRouting draws a version with routes from few names, so that versions share routes.
func drawRouting(t *rapid.T, version uint64) prim.Routing {
	v := prim.Routing{Version: version, Revision: prim.Revision(version + 10)}
	for i := range 10 {
		if rapid.Bool().Draw(t, "listed") {
			v.Routes = append(v.Routes, prim.PathRoute{
				Name: fmt.Sprint(i), Authority: fmt.Sprint(i % 2), Prefix: fmt.Sprintf("/%d/", i), Attempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
				Targets: []prim.Target{{Service: "s", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}},
				Regions: rapid.SampledFrom([][]prim.Region{nil, {"r1"}, {"r1", "r2"}}).Draw(t, "regions"),
			})
		}
	}
	if rapid.Bool().Draw(t, "service") {
		v.Services = []prim.ServiceRule{{Name: "s"}}
	}
	v.Limits.MaxBodyBytes = rapid.IntRange(0, 2).Draw(t, "limit")
	v.Customers = drawCustomers(t)
	return v
}

// drawCustomers draws customers from few names and keys, or none at all.
func drawCustomers(t *rapid.T) []prim.CustomerRule {
	if rapid.Bool().Draw(t, "no customers") {
		return nil
	}
	customers := []prim.CustomerRule{}
	for _, name := range []prim.Customer{"a", "b"} {
		if !rapid.Bool().Draw(t, "is customer") {
			continue
		}
		c := prim.CustomerRule{Name: name, Rate: float64(rapid.IntRange(0, 1).Draw(t, "rate")), Closed: rapid.Bool().Draw(t, "closed")}
		for _, key := range []string{"x", "y"} {
			if rapid.Bool().Draw(t, "has key") {
				c.Keys = append(c.Keys, prim.DigestKey(string(name)+key))
			}
		}
		if rapid.Bool().Draw(t, "has priority") {
			p := rapid.IntRange(0, 1).Draw(t, "priority")
			c.Priority = &p
		}
		if rapid.Bool().Draw(t, "has region") {
			c.Regions = []prim.Region{"r"}
		}
		customers = append(customers, c)
	}
	return customers
}

func sortedRoutes(v prim.Routing) []prim.PathRoute {
	return slices.SortedFunc(slices.Values(v.Routes), func(a, b prim.PathRoute) int { return strings.Compare(a.Name, b.Name) })
}

// Guards against routes or customers that are missing, left over or outdated after a
// difference was applied, also after it was encoded: a list without customers must not become
// no list, which admits everyone.
func TestDiffGivesVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		from, to := drawRouting(t, 1), drawRouting(t, 2)
		b, err := encoding.Marshal(diffRoutes(&from, &to))
		is.NoErr(err)
		var d routesDiff
		is.NoErr(cbor.Unmarshal(b, &d))
		got := d.apply(&from)
		is.Equal(got.Version, to.Version)
		is.Equal(got.Revision, to.Revision)
		is.Equal(sortedRoutes(got), sortedRoutes(to))
		is.Equal(got.Services, to.Services)
		is.Equal(got.Limits, to.Limits)
		is.Equal(got.Customers, to.Customers)
		is.Equal(got.NeedsKeys(), to.NeedsKeys())
	})
}

// Guards against a state between nodes that grows with the number of routes instead of
// with what changed, and against versions that are kept without bound.
func TestChangedRoutesAreSentAlone(t *testing.T) {
	is := is.New(t)
	from, to := New(Config{DataCentre: "a"}), New(Config{DataCentre: "a"})
	var routes []prim.PathRoute
	publish := func(version uint64) {
		routes = append(slices.Clone(routes), prim.PathRoute{Name: fmt.Sprint(version), Authority: "a", Prefix: fmt.Sprintf("/%d/", version), Targets: []prim.Target{{Service: "s", Weight: 1}}})
		from.SetRouting(prim.Routing{Version: version, Routes: routes, Revision: prim.Revision(version)}, "test")
	}
	for version := uint64(1); version <= 100; version++ {
		publish(version)
	}
	is.Equal(len(from.previousRoutings), maxPreviousVersions)
	is.NoErr(to.Fetch(t.Context(), messages{to: from}, "host-1"))
	for version := uint64(101); version < 150; version += maxPreviousVersions / 2 {
		for v := version; v < version+maxPreviousVersions/2; v++ {
			publish(v)
		}
		resp := from.changesSince(to.request())
		is.True(resp.Routing == nil)
		is.Equal(len(resp.RoutesDiff.Changed), maxPreviousVersions/2)
		is.NoErr(to.Fetch(t.Context(), messages{to: from}, "host-1"))
		is.Equal(to.Placement().Routing.Version, from.Placement().Routing.Version)
		is.Equal(sortedRoutes(to.Placement().Routing), sortedRoutes(from.Placement().Routing))
	}
	// A node of an earlier version gets all routes.
	req := to.request()
	publish(200)
	req.AppliesDiffs = false
	is.Equal(len(from.changesSince(req).Routing.Routes), len(routes))
	// A difference to another version than the node's own isn't applied.
	resp := from.changesSince(to.request())
	resp.RoutesDiff.Base--
	before := to.Placement().Routing.Version
	to.applyResponse(resp, "test")
	is.Equal(to.Placement().Routing.Version, before)
	is.True(to.IsBehind(from.Annotate(epoch, prim.LoadSample{})))
}

// Guards against previous versions of large configurations that fill the memory.
func TestPreviousRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	r := New(Config{DataCentre: "a"})
	for version := uint64(1); version <= 10; version++ {
		r.SetRouting(prim.Routing{Version: version, Routes: make([]prim.PathRoute, maxPreviousRoutes/3)}, "test")
	}
	is.Equal(len(r.previousRoutings), 3)
}

// Guards against a node that claims to know all changes up to a revision although it lacks
// the routes of one, and whose watch continues after that revision.
func TestUnappliedDifferenceDoesNotRaiseRevision(t *testing.T) {
	is := is.New(t)
	g := newRegistry()
	publish := func(version uint64) {
		g.update(func() {
			routes := make([]prim.PathRoute, 20)
			for i := range routes {
				routes[i] = prim.PathRoute{Name: "r", Authority: "a.example", Prefix: fmt.Sprintf("/%d/", i), Targets: []prim.Target{{Service: "s", Weight: 1}}}
			}
			routes[0].Priority = int(version)
			g.routing = prim.Routing{Version: version, Routes: routes, Revision: g.revision}
		})
	}
	read := func(r *Roster) {
		s, at, _ := g.Read(t.Context())
		is.NoErr(r.applySnapshot(epoch, s, at))
	}
	newRoster := func() *Roster { return New(Config{RepublishDelay: republishDelay, DataCentre: "a"}) }
	r, between, ahead := newRoster(), newRoster(), newRoster()
	publish(2)
	read(r)
	read(ahead)
	publish(3)
	read(between)
	publish(4)
	is.NoErr(ahead.applyChanges(epoch, g.changesSince(ahead.Revision()), g.revision))
	resp := ahead.changesSince(r.request())
	is.True(resp.RoutesDiff != nil)
	r.applyResponse(between.changesSince(r.request()), "test")
	is.Equal(r.Placement().Routing.Version, uint64(3))
	r.applyResponse(resp, "test")
	is.True(r.Revision() < ahead.Revision())
	is.NoErr(r.applyChanges(epoch, g.changesSince(r.Revision()), g.revision))
	is.Equal(r.Placement().Routing.Version, uint64(4))
}

// Guards against home regions that are lost because a node of an earlier version, which
// drops them, passes on newer routes. Whether these had home regions can't be told, so the
// node stays behind and reads the registry also if the routes in force have none.
func TestRoutesWithoutHomeRegionsAreNotApplied(t *testing.T) {
	for _, regions := range [][]prim.Region{nil, {"r1"}} {
		for _, diffs := range []bool{false, true} {
			is := is.New(t)
			from, to := New(Config{DataCentre: "a"}), New(Config{DataCentre: "a"})
			publish := func(version uint64) {
				routes := make([]prim.PathRoute, 3)
				for i := range routes {
					routes[i] = prim.PathRoute{Authority: "a", Prefix: fmt.Sprintf("/%d/", i), Targets: []prim.Target{{Service: "s", Weight: 1}}, Regions: regions}
				}
				routes[0].Priority = int(version)
				from.SetRouting(prim.Routing{Version: version, Routes: routes, Revision: prim.Revision(version)}, "test")
			}
			publish(1)
			is.NoErr(to.Fetch(t.Context(), messages{to: from}, "host-1"))
			is.Equal(to.Placement().Routing.Routes[0].Regions, regions)
			publish(2)
			req := to.request()
			req.AppliesDiffs = diffs
			resp := from.changesSince(req)
			is.Equal(resp.RoutesDiff != nil, diffs)
			resp.RoutingFields = 0
			to.applyResponse(resp, "test")
			is.Equal(to.Placement().Routing.Version, uint64(1))
			is.True(to.IsBehind(from.Annotate(epoch, prim.LoadSample{})))
			is.NoErr(to.Fetch(t.Context(), messages{to: from}, "host-1"))
			is.Equal(to.Placement().Routing.Version, uint64(2))
			is.Equal(to.Placement().Routing.Routes[0].Regions, regions)
		}
	}
}
