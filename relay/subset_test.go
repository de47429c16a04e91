package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

type fixed struct{ p *prim.Placement }

func (f fixed) Placement() *prim.Placement { return f.p }
func (f fixed) Changed() <-chan struct{}   { return nil }

// service lists so many servers of the service s in data centre a, and half as many
// in b.
func service(servers int) *prim.Placement {
	var list []prim.ServerEntry
	for i := range servers + servers/2 {
		d := prim.DataCentre("a")
		if i >= servers {
			d = "b"
		}
		id := fmt.Sprintf("i-%d", i)
		list = append(list, prim.ServerEntry{ID: id, Service: "s", Host: prim.HostName("host-" + id), DataCentre: d})
	}
	return prim.NewPlacement(prim.Routing{}, nil, list)
}

func subsets(p *prim.Placement) (all []subset) {
	for _, e := range p.Near("a") {
		r := New(Config{Host: e.Host, DataCentre: "a", Placements: fixed{p}})
		all = append(all, r.subset(p, "s"))
	}
	return all
}

// Guards against links that grow with a service, and against servers that few or no
// nodes use.
func TestSubsetsAreBoundedAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "servers")
		p := service(n)
		used := make(map[prim.HostName]int)
		for _, u := range subsets(p) {
			if len(u.near) > nearServers+1 || len(u.far) > farServers {
				t.Fatalf("%d near and %d far servers", len(u.near), len(u.far))
			}
			if want := min(n, nearServers); len(u.near) < want {
				t.Fatalf("%d near servers of %d", len(u.near), n)
			}
			for _, e := range u.near {
				used[e.Host]++
			}
		}
		for _, e := range p.Near("a") {
			// One more is the node beside the server.
			if want := min(n, nearServers); used[e.Host] < want || used[e.Host] > want+1 {
				t.Fatalf("server at %s is used by %d nodes of %d, want %d", e.Host, used[e.Host], n, want)
			}
		}
	})
}

// Guards against nodes that link to all hosts of a data centre, and against none at
// all before the first request.
func TestLinksFollowUse(t *testing.T) {
	is := is.New(t)
	p := service(200)
	r := New(Config{Host: "host-i-0", DataCentre: "a", Placements: fixed{p}})
	is.Equal(len(r.Near()), firstLinks)
	u := r.subset(p, "s")
	is.Equal(len(r.Near()), len(u.near))
	is.True(len(u.near) <= nearServers+1)
}

// Guards against a node that leaves out the server beside it, which needs no link,
// where the hosts of another service shift the runs.
func TestOwnServerIsUsed(t *testing.T) {
	is := is.New(t)
	list := service(60).Servers
	for i := range 40 {
		id := fmt.Sprintf("o-%d", i)
		list = append(list, prim.ServerEntry{ID: id, Service: "other", Host: prim.HostName("host-" + id), DataCentre: "a"})
	}
	p := prim.NewPlacement(prim.Routing{}, nil, list)
	for _, e := range p.Near("a") {
		r := New(Config{Host: e.Host, DataCentre: "a", Placements: fixed{p}})
		near := r.subset(p, "s").near
		own := slices.ContainsFunc(near, func(o *prim.ServerEntry) bool { return o.Host == e.Host })
		is.Equal(own, e.Service == "s")
	}
}
