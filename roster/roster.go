// Package roster keeps the newest published routes, switches and servers in
// memory. Versions never go back, whichever source offers them: the platform or
// another node.
package roster

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Config configures a Roster.
type Config struct {
	// Host and DataCentre are those of this node.
	Host       prim.HostName
	DataCentre prim.DataCentre
	Logger     *slog.Logger
}

// Roster implements prim.Placements.
type Roster struct {
	c   Config
	log *slog.Logger

	mu       sync.RWMutex
	now      *prim.Placement
	changed  chan struct{}
	routing  prim.Routing
	switches map[prim.DataCentre]prim.CentreSwitch
	servers  map[string]prim.ServerEntry // by id
	// removals are the servers removed after removalsFrom, oldest first.
	removals     []prim.Removal
	removalsFrom uint64
	// revision is that of the newest change: the state is complete up to it.
	revision  uint64
	routedAt  time.Time
	confirmed time.Time                   // when the state was last known to be current
	keepUntil time.Time                   // entries that go missing are kept until then
	missed    []missed                    // removed of late
	reading   bool                        // this node follows the registry
	doubted   bool                        // other nodes tell that this host's server is gone
	lost      bool                        // this node can't read the registry
	told      []missed                    // removals that other nodes told of late
	held      map[string]prim.ServerEntry // removed elsewhere, kept here
	heard     map[prim.HostName]hearing
	ranking   ranking
	digested  *prim.Placement // whose entries sum up to sum
	sum       uint64
}

var _ prim.Placements = (*Roster)(nil)

// New returns an empty roster.
func New(c Config) *Roster {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Roster{
		c: c, log: c.Logger, changed: make(chan struct{}),
		switches: make(map[prim.DataCentre]prim.CentreSwitch),
		servers:  make(map[string]prim.ServerEntry),
		heard:    make(map[prim.HostName]hearing),
		held:     make(map[string]prim.ServerEntry),
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

// Revision returns the revision of the newest change that is known.
func (r *Roster) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Ages returns how long ago the routes were received and the state was last known
// to be current; zero if never.
func (r *Roster) Ages(now time.Time) (routes, state time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.routedAt.IsZero() {
		routes = now.Sub(r.routedAt)
	}
	if !r.confirmed.IsZero() {
		state = now.Sub(r.confirmed)
	}
	return routes, state
}

// rebuild indexes the newest values after a change at a revision. The caller
// holds r.mu.
func (r *Roster) rebuild(revision uint64, source string) {
	r.log.Info("published state changed", "Revision", revision, "Before", r.revision, "Routes", r.routing.Version,
		"Servers", len(r.servers), "ServersBefore", len(r.now.Servers), "Source", source)
	r.revision = max(r.revision, revision)
	switches := slices.SortedFunc(maps.Values(r.switches), func(a, b prim.CentreSwitch) int {
		return int(a.Revision) - int(b.Revision)
	})
	listed := slices.AppendSeq(slices.Collect(maps.Values(r.servers)), maps.Values(r.held))
	servers := slices.SortedFunc(slices.Values(listed), func(a, b prim.ServerEntry) int {
		return strings.Compare(a.ID, b.ID)
	})
	r.now = prim.NewPlacement(r.routing, switches, servers)
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetRouting takes a version of the routes. It reports false for a version that
// is not above the one in force. Source names where it came from, for the log.
func (r *Roster) SetRouting(v prim.Routing, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.setRouting(v, source) {
		return false
	}
	r.rebuild(v.Revision, source)
	return true
}

func (r *Roster) setRouting(v prim.Routing, source string) bool {
	if v.Version <= r.routing.Version {
		return false
	}
	r.log.Info("routes changed", "Version", v.Version, "Before", r.routing.Version, "Routes", len(v.Routes), "Revision", v.Revision, "Source", source)
	r.routing, r.routedAt = v, time.Now()
	return true
}

// SetSwitch takes a switch of a data centre. It reports false for a revision
// that is not above the one in force.
func (r *Roster) SetSwitch(s prim.CentreSwitch, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.setSwitch(s, source) {
		return false
	}
	r.rebuild(s.Revision, source)
	return true
}

func (r *Roster) setSwitch(s prim.CentreSwitch, source string) bool {
	old, known := r.switches[s.DataCentre]
	if known && s.Revision <= old.Revision {
		return false
	}
	r.switches[s.DataCentre] = s
	if old.Out != s.Out {
		r.log.Info("data centre switched", "DataCentre", s.DataCentre, "Out", s.Out, "Revision", s.Revision, "Source", source)
	}
	return true
}

// setServer takes a server's entry. It reports false if it tells nothing new.
func (r *Roster) setServer(e prim.ServerEntry, source string) bool {
	old, known := r.servers[e.ID]
	if known && e.Revision <= old.Revision || r.removedAt(e.ID) >= e.Revision {
		return false
	}
	r.servers[e.ID] = e
	delete(r.held, e.ID)
	if known && old.Same(&e) {
		return false
	}
	r.log.Debug("server listed", "Server", e.ID, "Service", e.Service, "Target", e.Host, "Draining", e.Draining, "Revision", e.Revision, "Source", source)
	return true
}

// maxRemovals bounds the removals that are kept.
const maxRemovals = 1024

// removeServer takes the removal of a server's entry. It reports false if that
// tells nothing new. A server that was not known here may be known elsewhere.
func (r *Roster) removeServer(m prim.Removal, source string) bool {
	old, known := r.servers[m.ID]
	if known && old.Revision >= m.Revision || r.removedAt(m.ID) >= m.Revision {
		return false
	}
	delete(r.servers, m.ID)
	if known && !old.Draining && source != registrySource {
		r.hold(old, time.Now())
	}
	r.removals = append(r.removals, m)
	if n := len(r.removals) - maxRemovals; n > 0 {
		r.removalsFrom = r.removals[n-1].Revision
		r.removals = slices.Delete(r.removals, 0, n)
	}
	r.log.Debug("server removed", "Server", m.ID, "Service", old.Service, "Target", old.Host, "Revision", m.Revision, "Source", source)
	return true
}

// removedAt returns the revision of a server's removal, 0 if none is known.
func (r *Roster) removedAt(id string) uint64 {
	for _, m := range slices.Backward(r.removals) {
		if m.ID == id {
			return m.Revision
		}
	}
	return 0
}
