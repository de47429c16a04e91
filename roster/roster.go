// Package roster keeps the newest published routes, switches and servers in
// memory. Versions never go back, whichever source offers them: the platform or
// another node.
package roster

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Config configures a Roster.
type Config struct {
	// DataCentre is that of this node.
	DataCentre prim.DataCentre
	Logger     *slog.Logger
}

// Roster implements prim.Placements.
type Roster struct {
	log    *slog.Logger
	centre prim.DataCentre
	doubts chan struct{} // a reader of the registry has failed

	mu       sync.RWMutex
	read     chan struct{} // closed when the operators' reader has succeeded
	now      *prim.Placement
	changed  chan struct{}
	routing  prim.Routing
	switches map[prim.DataCentre]prim.CentreSwitch
	servers  []prim.ServerEntry
	routedAt time.Time
	listedAt time.Time // when the list of servers was last confirmed
}

var _ prim.Placements = (*Roster)(nil)

// New returns an empty roster.
func New(c Config) *Roster {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Roster{
		log: c.Logger, centre: c.DataCentre, read: make(chan struct{}), changed: make(chan struct{}), doubts: make(chan struct{}, 1),
		switches: make(map[prim.DataCentre]prim.CentreSwitch),
		now:      prim.NewPlacement(prim.Routing{}, nil, nil),
	}
}

// Placement returns what is in force.
func (r *Roster) Placement() *prim.Placement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.now
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// rebuild indexes the newest values. The caller holds r.mu.
func (r *Roster) rebuild() {
	switches := slices.SortedFunc(maps.Values(r.switches), func(a, b prim.CentreSwitch) int {
		return int(a.Revision) - int(b.Revision)
	})
	r.now = prim.NewPlacement(r.routing, switches, r.servers)
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetRouting takes a version of the routes. It reports false for a version that
// is not above the one in force. Source names where it came from, for the log.
func (r *Roster) SetRouting(v prim.Routing, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Version <= r.routing.Version {
		return false
	}
	r.log.Info("routes changed", "Version", v.Version, "Before", r.routing.Version, "Routes", len(v.Routes), "Source", source)
	r.routing, r.routedAt = v, time.Now()
	r.rebuild()
	return true
}

// SetSwitch takes a switch of a data centre. It reports false for a revision
// that is not above the one in force.
func (r *Roster) SetSwitch(s prim.CentreSwitch, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.switches[s.DataCentre]
	if known && s.Revision <= old.Revision {
		return false
	}
	r.switches[s.DataCentre] = s
	if old.Out != s.Out {
		r.log.Info("data centre switched", "DataCentre", s.DataCentre, "Out", s.Out, "Revision", s.Revision, "Source", source)
	}
	r.rebuild()
	return true
}

// SetServers replaces the list of servers.
func (r *Roster) SetServers(list []prim.ServerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = time.Now()
	if slices.Equal(r.servers, list) {
		return
	}
	r.log.Info("servers changed", "Servers", len(list), "Before", len(r.servers))
	r.servers = list
	r.rebuild()
}

// Ages returns how long ago the routes were received and the list of servers was
// confirmed; zero if never.
func (r *Roster) Ages(now time.Time) (routes, servers time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.routedAt.IsZero() {
		routes = now.Sub(r.routedAt)
	}
	if !r.listedAt.IsZero() {
		servers = now.Sub(r.listedAt)
	}
	return routes, servers
}
