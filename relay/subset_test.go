package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// fixedPlacement implements prim.Placements.
type fixedPlacement struct{ placement *prim.Placement }

func (f fixedPlacement) Placement() *prim.Placement { return f.placement }
func (f fixedPlacement) Changed() <-chan struct{}   { return nil }

// newPlacement returns a placement with the given number of servers of service s in
// data centre a, and half as many in data centre b.
func newPlacement(servers int) *prim.Placement {
	var entries []prim.ServerEntry
	for i := range servers + servers/2 {
		dataCentre := prim.DataCentre("a")
		if i >= servers {
			dataCentre = "b"
		}
		id := fmt.Sprintf("i-%d", i)
		entries = append(entries, prim.ServerEntry{ID: id, Service: "s", Host: prim.HostName("host-" + id), DataCentre: dataCentre})
	}
	return prim.NewPlacement(prim.Routing{}, nil, entries)
}

// subsetsOfAllNodes returns the subset of service s for each node of data centre a.
func subsetsOfAllNodes(p *prim.Placement) (all []subset) {
	for _, e := range p.ServersIn("a") {
		r := New(Config{Host: e.Host, DataCentre: "a", Placements: fixedPlacement{p}})
		all = append(all, r.subset(p, "s"))
	}
	return all
}

// Guards against a number of links that grows with the service, and against servers that
// are used by few nodes or none.
func TestSubsetsAreBoundedAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "servers")
		p := newPlacement(n)
		nodesPerHost := make(map[prim.HostName]int)
		for _, s := range subsetsOfAllNodes(p) {
			if len(s.near) > nearServers+1 || len(s.far) > farServers {
				t.Fatalf("%d near and %d far servers", len(s.near), len(s.far))
			}
			if want := min(n, nearServers); len(s.near) < want {
				t.Fatalf("%d near servers of %d", len(s.near), n)
			}
			for _, e := range s.near {
				nodesPerHost[e.Host]++
			}
		}
		for _, e := range p.ServersIn("a") {
			// The node on the server's own host may be an additional one.
			if want := min(n, nearServers); nodesPerHost[e.Host] < want || nodesPerHost[e.Host] > want+1 {
				t.Fatalf("server at %s is used by %d nodes of %d, want %d", e.Host, nodesPerHost[e.Host], n, want)
			}
		}
	})
}

// Guards against links to all hosts of a data centre, and against a node without links
// before its first request.
func TestLinksFollowUse(t *testing.T) {
	is := is.New(t)
	p := newPlacement(200)
	r := New(Config{Host: "host-i-0", DataCentre: "a", Placements: fixedPlacement{p}})
	is.Equal(len(r.LinkTargets()), initialLinks)
	s := r.subset(p, "s")
	is.Equal(len(r.LinkTargets()), len(s.near))
	is.True(len(s.near) <= nearServers+1)
}

// Guards against a subset without the server on the node's own host, which needs no link.
// Hosts of another service shift the positions so that this could happen.
func TestOwnServerIsUsed(t *testing.T) {
	is := is.New(t)
	entries := newPlacement(60).Servers
	for i := range 40 {
		id := fmt.Sprintf("o-%d", i)
		entries = append(entries, prim.ServerEntry{ID: id, Service: "other", Host: prim.HostName("host-" + id), DataCentre: "a"})
	}
	p := prim.NewPlacement(prim.Routing{}, nil, entries)
	for _, e := range p.ServersIn("a") {
		r := New(Config{Host: e.Host, DataCentre: "a", Placements: fixedPlacement{p}})
		near := r.subset(p, "s").near
		usesLocal := slices.ContainsFunc(near, func(o *prim.ServerEntry) bool { return o.Host == e.Host })
		is.Equal(usesLocal, e.Service == "s")
	}
}
