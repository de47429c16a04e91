package prim_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against new requests being sent to a host that is out of service itself
// or with its data centre, is leaving, or is lost.
func TestInServiceExcludesUnavailableHosts(t *testing.T) {
	is := is.New(t)
	v := prim.NewView(prim.ViewConfig{
		DataCentres: prim.DataCentres{
			DataCentres: []prim.DataCentreEntry{{Name: "a", InService: true}, {Name: "b"}},
			HostsOut:    []prim.HostName{"h2"},
		},
		Hosts: prim.Hosts{Hosts: []prim.Host{
			{Name: "h1", DataCentre: "a", Service: "s", State: prim.HostLive},
			{Name: "h2", DataCentre: "a", Service: "s", State: prim.HostLive},
			{Name: "h3", DataCentre: "b", Service: "s", State: prim.HostLive},
			{Name: "h4", DataCentre: "a", Service: "s", State: prim.HostLeaving},
			{Name: "h5", DataCentre: "a", Service: "s", State: prim.HostLost},
		}},
	})
	in := v.InService("s")
	is.Equal(len(in), 1)
	is.Equal(in[0].Name, prim.HostName("h1"))
	is.Equal(len(v.ServiceHosts("s")), 5)
}

// Guards against an unlisted route being treated as idempotent and against a
// shorter path prefix taking precedence over a longer one.
func TestRoute(t *testing.T) {
	is := is.New(t)
	v := prim.NewView(prim.ViewConfig{Allowances: prim.Allowances{Routes: []prim.Route{
		{Service: "s", Method: "POST", Path: "/", Class: "Write"},
		{Service: "s", Method: "POST", Path: "/search", Class: "Search", Idempotent: true},
	}}})
	is.Equal(v.Route("s", "POST", "/search?x").Class, prim.Class("Search"))
	is.Equal(v.Route("s", "POST", "/deposits").Class, prim.Class("Write"))
	is.True(!v.Route("s", "PUT", "/deposits").Idempotent)
	is.True(v.Route("s", "GET", "/tides").Idempotent)
}

// Guards against the use of another customer's credential or plan, and against an
// allowance for an unknown customer or an unlisted service.
func TestCredentialAndAllowance(t *testing.T) {
	is := is.New(t)
	sum := sha256.Sum256([]byte("token"))
	v := prim.NewView(prim.ViewConfig{
		Plans: prim.Plans{Customers: []prim.CustomerEntry{
			{Name: "c", Plan: "p", Credentials: []string{hex.EncodeToString(sum[:])}},
		}},
		Allowances: prim.Allowances{Plans: []prim.Plan{
			{Name: "p", Allowances: []prim.Allowance{{Service: "s", Rate: 5, Burst: 2}}},
		}},
	})
	c, ok := v.CustomerByToken("token")
	is.True(ok)
	is.Equal(v.Allowance(c.Name, "s").Rate, 5.0)
	is.Equal(v.Allowance(c.Name, "other").Rate, 0.0)
	is.Equal(v.Allowance("nobody", "s").Rate, 0.0)
	_, ok = v.CustomerByToken("c")
	is.True(!ok)
}
