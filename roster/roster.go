// Package roster keeps the newest published routes, switches and server entries in
// memory. A value is never replaced by an older version, whether it comes from the
// platform's registry or from another node.
package roster

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/guard"
)

// Config configures a Roster.
type Config struct {
	// Host and DataCentre are those of this node.
	Host       prim.HostName
	DataCentre prim.DataCentre
	// RepublishDelay is the time after an outage or a restore of the registry within
	// which live servers and operators have published their entries again.
	RepublishDelay time.Duration
	// SettleTime is the time after the end of an outage, of the registry or of this host's
	// way to it, from which on no server that left before is used. Default
	// DefaultSettleTime.
	SettleTime time.Duration
	// DrainTime is the time for which a server that leaves serves on after its entry was
	// removed. Default DefaultDrainTime.
	DrainTime time.Duration
	// EntryTTL is the time after which the registry drops the entry of a silent server.
	EntryTTL time.Duration
	// VerifyRoutes reports whether decisions depend on RoutesAge, given routes with customers.
	// It may be nil, which means no. It must not call the roster.
	VerifyRoutes func(*prim.Routing) bool
	Logger       *slog.Logger
	// Guard contains panics of the reader; nil uses a new one.
	Guard *guard.Guard
}

// Defaults of Config.
const (
	DefaultSettleTime = 3 * time.Second
	DefaultDrainTime  = 2 * time.Second
)

// Roster implements prim.Placements.
type Roster struct {
	config    Config
	log       *slog.Logger
	startedAt time.Time

	mu        sync.RWMutex
	placement *prim.Placement
	changed   chan struct{}
	routing   prim.Routing
	// previousRoutings are versions before the current one, oldest first.
	previousRoutings []prim.Routing
	switches         map[prim.DataCentre]prim.DataCentreSwitch
	servers          map[string]prim.ServerEntry // by id
	// removals are the removals with a revision above removalsFrom, oldest first.
	removals     []prim.Removal
	removalsFrom prim.Revision
	// revision is that of the newest change; the state is complete up to it.
	revision          prim.Revision
	routingReceivedAt time.Time
	staleAfter        time.Duration    // age of confirmedAt from which this node polls
	answered          chan struct{}    // receives a value when registryCurrentAt advances
	confirmedAt       time.Time        // when the state was last known to be current
	unchangedAt       time.Time        // when it was known later to have been current; see noteUnchanged
	registryCurrentAt time.Time        // the same, by an answer of the registry to this node
	routesCurrentAt   time.Time        // the registry had no newer routes then; see RoutesAge
	answerLag         time.Duration    // how old confirmedAt was when this node learned it
	lapsingUntil      time.Time        // entries that go missing before lapse until then
	ownLapsingUntil   time.Time        // the same for the server of this host
	massLapsingUntil  time.Time        // the same after a removal of most servers; see massLapseEnd
	lapses            map[string]lapse // by id; entries in use that are missing from servers
	recentRemovals    []removedEntry   // within reportedRemovalWindow, oldest first
	reading           bool             // this node follows the registry
	registryLost      bool             // this node can't read the registry
	behind            behindState
	peers             map[prim.HostName]peerState
	selection         readerSelection
	overlay           *overlay        // kept from the previous era; nil if nothing is
	restored          bool            // the registry was restored since this node started
	highestNumber     uint64          // of the revisions of all eras
	newestStart       time.Time       // of the servers of all eras
	digestPlacement   *prim.Placement // the placement that digestValue belongs to
	digestValue       uint64
}

var _ prim.Placements = (*Roster)(nil)

// New returns an empty roster.
func New(c Config) *Roster {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Guard == nil {
		c.Guard = guard.New(c.Logger)
	}
	if c.SettleTime == 0 {
		c.SettleTime = DefaultSettleTime
	}
	if c.DrainTime == 0 {
		c.DrainTime = DefaultDrainTime
	}
	return &Roster{
		config: c, log: c.Logger, startedAt: time.Now(), changed: make(chan struct{}),
		switches:   make(map[prim.DataCentre]prim.DataCentreSwitch),
		servers:    make(map[string]prim.ServerEntry),
		peers:      make(map[prim.HostName]peerState),
		lapses:     make(map[string]lapse),
		placement:  prim.NewPlacement(prim.Routing{}, nil, nil),
		staleAfter: maxAnswerAge + rand.N(answerAgeJitter), answered: make(chan struct{}, 1),
	}
}

// Placement returns the current placement.
func (r *Roster) Placement() *prim.Placement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.placement
}

// Changed returns a channel that is closed at the next change of the placement.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Answered returns a channel that receives a value when the registry has answered this
// node since the previous receive.
func (r *Roster) Answered() <-chan struct{} { return r.answered }

// Revision returns the revision of the newest known change.
func (r *Roster) Revision() prim.Revision {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Ages returns the time since the routes were received and since the state was last
// known to be current; zero if never.
func (r *Roster) Ages(now time.Time) (routes, state time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.routingReceivedAt.IsZero() {
		routes = now.Sub(r.routingReceivedAt)
	}
	if !r.confirmedAt.IsZero() {
		state = now.Sub(r.confirmedAt)
	}
	return routes, state
}

// rebuild builds a new placement after a change at a revision. The caller holds r.mu.
func (r *Roster) rebuild(revision prim.Revision, source string) {
	r.log.Info("published state changed", "Revision", revision, "Before", r.revision, "Routes", r.routing.Version,
		"Servers", len(r.servers), "ServersBefore", len(r.placement.Servers), "Source", source)
	r.revision = max(r.revision, revision)
	r.highestNumber = max(r.highestNumber, revision.Number())
	servers := slices.SortedFunc(maps.Values(r.effectiveServers()), func(a, b prim.ServerEntry) int {
		return strings.Compare(a.ID, b.ID)
	})
	r.placement = prim.NewPlacement(r.routing, sortSwitches(r.effectiveSwitches()), servers)
	r.behind.caughtUp(r.revision, r.routing.Version)
	close(r.changed)
	r.changed = make(chan struct{})
}

func sortSwitches(switches map[prim.DataCentre]prim.DataCentreSwitch) []prim.DataCentreSwitch {
	return slices.SortedFunc(maps.Values(switches), func(a, b prim.DataCentreSwitch) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
}

// SetRouting applies a version of the routes. It returns false for a version that is
// not above the current one. Source is where the version came from, for the log.
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
	if before, after := r.routing.Limits.WithDefaults(), v.Limits.WithDefaults(); before != after {
		r.log.Info("limits for clients changed", "Version", v.Version, "Before", before, "After", after)
	}
	r.keepRouting(r.routing)
	r.routing, r.routingReceivedAt = v, time.Now()
	return true
}

// SetSwitch applies a switch of a data centre. It returns false for a revision that is
// not above the current one.
func (r *Roster) SetSwitch(s prim.DataCentreSwitch, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.setSwitch(s, source) {
		return false
	}
	r.rebuild(s.Revision, source)
	return true
}

func (r *Roster) setSwitch(s prim.DataCentreSwitch, source string) bool {
	old, known := r.switches[s.DataCentre]
	if known && s.Revision <= old.Revision {
		return false
	}
	r.switches[s.DataCentre] = s
	if r.overlay != nil {
		delete(r.overlay.switches, s.DataCentre)
	}
	if old.Out != s.Out {
		r.log.Info("data centre switched", "DataCentre", s.DataCentre, "Out", s.Out, "Revision", s.Revision, "Source", source)
	}
	return true
}

// setServer applies a server's entry. It returns false if nothing but the revision
// changed.
func (r *Roster) setServer(e prim.ServerEntry, source string) bool {
	if err := e.Check(); err != nil {
		r.log.Warn("server entry refused", "Error", err, "Revision", e.Revision, "Source", source)
		return false
	}
	old, known := r.servers[e.ID]
	if known && e.Revision <= old.Revision || r.removalRevision(e.ID) >= e.Revision {
		return false
	}
	r.servers[e.ID] = e
	if e.Born.After(r.newestStart) {
		r.newestStart = e.Born
	}
	delete(r.lapses, e.ID)
	if !r.dropKept(e.ID) && known && old.EqualIgnoringRevision(&e) {
		return false
	}
	r.log.Debug("server listed", "Server", e.ID, "Service", e.Service, "Target", e.Host, "Draining", e.Draining, "Revision", e.Revision, "Source", source)
	return true
}

// maxRemovals bounds the number of removals that are kept for other nodes.
const maxRemovals = 1024

// removal is the result of removeServer.
type removal struct {
	isNew bool // newer than what was known
	// inUse is the entry that the removal ends, nil if there was none, it drained, or its
	// server was removed before a restore of the registry.
	inUse *prim.ServerEntry
}

// removeServer applies the removal of a server's entry, unless the removal is not newer
// than what is known. Removals of servers unknown here are kept too, since other nodes may
// know them.
func (r *Roster) removeServer(m prim.Removal, source string) removal {
	old, known := r.servers[m.ID]
	if known && old.Revision >= m.Revision || r.removalRevision(m.ID) >= m.Revision {
		return removal{}
	}
	delete(r.servers, m.ID)
	result := removal{isNew: true}
	if known && !old.Draining && !r.removedBefore(m.ID) {
		result.inUse = &old
	}
	r.dropKept(m.ID)
	r.removals = append(r.removals, m)
	if n := len(r.removals) - maxRemovals; n > 0 {
		r.removalsFrom = r.removals[n-1].Revision
		r.removals = slices.Delete(r.removals, 0, n)
	}
	r.log.Debug("server removed", "Server", m.ID, "Service", old.Service, "Target", old.Host, "Revision", m.Revision, "Source", source)
	return result
}

// removalRevision returns the revision of a server's removal, 0 if none is known.
func (r *Roster) removalRevision(id string) prim.Revision {
	for _, m := range slices.Backward(r.removals) {
		if m.ID == id {
			return m.Revision
		}
	}
	return 0
}
