package config_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
)

// BenchmarkHosts measures the cost of a new host list at a node, that is
// parsing and validating the document and building the view, for three fleet
// sizes.
func BenchmarkHosts(b *testing.B) {
	since := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	for _, n := range []int{1000, 2000, 4000} {
		list := prim.Hosts{}
		for i := range n {
			s := prim.Service(fmt.Sprintf("service-%d", i/20))
			if i%20 == 0 {
				list.Services = append(list.Services, prim.ServiceEntry{Name: s, Since: since, Slots: 9, Connections: 200})
			}
			list.Hosts = append(list.Hosts, prim.Host{
				Name: prim.HostName(fmt.Sprintf("host-%d", i)), DataCentre: prim.DataCentre(fmt.Sprintf("dc-%d", i%17)),
				Service: s, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
				State: prim.HostLive, Since: since,
			})
		}
		body, err := json.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(body)), "body-bytes")
			for b.Loop() {
				var s config.Set
				if err := s.Parse(prim.NameHosts, body); err != nil {
					b.Fatal(err)
				}
				s.View(nil)
			}
		})
	}
}
