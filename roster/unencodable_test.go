package roster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against one published entry that can't be encoded for other nodes and thus keeps
// all routes and servers from the nodes that don't read the registry.
func TestUnencodableEntryDoesNotDelayRoutes(t *testing.T) {
	for _, born := range []time.Time{time.UnixMilli(1e15), time.UnixMilli(-1e15), time.UnixMilli(1 << 62)} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newRegistry()
			rosters, _ := startGroup(t, g, 20)
			time.Sleep(10 * time.Second)
			g.update(func() {
				g.entries["odd"] = prim.ServerEntry{ID: "odd", Service: "s", Host: "host-odd", DataCentre: "a", Born: born, Revision: g.revision}
			})
			for version := uint64(2); version < 12; version++ {
				g.publishRoutes(version)
				g.update(func() { g.historyStart = g.revision }) // readers read everything again
				g.putEntry(fmt.Sprint("i-", version), version%2 == 0)
				time.Sleep(2 * time.Second)
				for _, r := range rosters {
					is.Equal(r.Placement().Routing.Version, version)
					is.Equal(r.Placement().ServerByID(fmt.Sprint("i-", version)).Draining, version%2 == 0)
				}
			}
		})
	}
}
