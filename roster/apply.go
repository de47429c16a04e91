package roster

import (
	"errors"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Server entries expire during a registry outage even though the servers are alive;
// servers publish them again soon after it. Missing entries are therefore retained for
// that long after an outage. A reader whose watch survives the outage notices it only
// as a mass removal, so a mass removal is handled the same way.

const (
	// Removals within massRemovalWindow count as a registry outage if they cover more
	// than massRemovalShare of all servers. Removals of draining servers don't count.
	massRemovalWindow = 2 * time.Second
	massRemovalShare  = 0.5
	// minMassRemoval is the minimum number of removals that count as an outage.
	minMassRemoval = 3
	// reportedRemovalWindow is how long before this node lost the registry a removal
	// reported by another node may be and still be reverted. Entries of hosts that are
	// cut off together expire within one heartbeat of each other, and a lost call
	// takes up to 1.5 s to fail.
	reportedRemovalWindow = 5 * time.Second
)

const registrySource = "registry"

// removedEntry is an entry that was recently removed while not draining.
type removedEntry struct {
	entry prim.ServerEntry
	at    time.Time
}

// Errors of contents that make a full read necessary.
var (
	// errMassRemoval reports removals that indicate a registry outage.
	errMassRemoval = errors.New("most servers were removed at once")
	// errEarlierEra reports contents from before the registry was restored, for example
	// in a response that was delayed.
	errEarlierEra = errors.New("the registry returned contents of an earlier era; the read will be retried")
)

// applySnapshot replaces the state with the full registry contents at a revision. What
// this node has learned after that revision from other nodes is kept. It returns
// errEarlierEra if the state is of a later era.
func (r *Roster) applySnapshot(now time.Time, s prim.Published, revision prim.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision.Era() < r.revision.Era() {
		return errEarlierEra
	}
	previous := r.enterEra(now, revision)
	r.ownEntryDisputed, r.registryLost, r.reportedRemovals = false, false, nil
	routes := r.routing.Version
	if s.Routing != nil {
		routes = max(routes, s.Routing.Version)
	}
	r.behind = behindState{readAt: now, caughtUpByRead: revision >= r.behind.revision && routes >= r.behind.routes}
	r.merge(s, r.removalsFrom)
	listed := make(map[string]bool, len(s.Servers))
	for _, e := range s.Servers {
		listed[e.ID] = true
	}
	retaining := now.Before(r.retainUntil)
	if !retaining {
		r.retainUntil = time.Time{}
		clear(r.retained)
	} else {
		r.forgetRemovals(now)
		for _, m := range r.recentRemovals {
			if _, known := r.servers[m.entry.ID]; !known {
				m.entry.Revision = revision
				r.servers[m.entry.ID] = m.entry
			}
		}
	}
	r.recentRemovals = nil
	for id, e := range r.servers {
		if !listed[id] && (!retaining || e.Draining || r.removedBefore(id)) {
			r.removeServer(prim.Removal{ID: id, Revision: revision}, registrySource)
		}
	}
	r.endUnlisted(s.Switches, revision, registrySource)
	// This node never saw servers that were added and removed between two reads. Nodes
	// that may have seen them are sent the full state.
	r.removalsFrom = max(r.removalsFrom, revision)
	r.removals = slices.DeleteFunc(r.removals, func(m prim.Removal) bool { return m.Revision <= r.removalsFrom })
	if previous != nil {
		r.keep(previous)
	}
	r.rebuild(revision, registrySource)
	return nil
}

// endUnlisted ends the switches that a full state lacks: a data centre without a switch
// is in service. The caller holds r.mu.
func (r *Roster) endUnlisted(listed []prim.DataCentreSwitch, revision prim.Revision, source string) {
	for d, c := range r.switches {
		if c.Out && !slices.ContainsFunc(listed, func(l prim.DataCentreSwitch) bool { return l.DataCentre == d }) {
			r.setSwitch(prim.DataCentreSwitch{DataCentre: d, Revision: revision}, source)
		}
	}
}

// applyChanges applies the changes from the registry up to a revision. It returns
// errMassRemoval if so many entries were removed at once that the registry must have had
// an outage, and errEarlierEra if the state is of a later era.
func (r *Roster) applyChanges(now time.Time, s prim.Published, upTo prim.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upTo.Era() < r.revision.Era() {
		return errEarlierEra
	}
	// Changes may be older than a full state received from another node.
	changed, revision := r.merge(s, r.removalsFrom)
	if now.Before(r.retainUntil) {
		// A full read follows.
		s.Removed = slices.DeleteFunc(s.Removed, func(m prim.Removal) bool { return !r.removedBefore(m.ID) })
	}
	for _, m := range s.Removed {
		old, known := r.servers[m.ID]
		if m.Revision <= r.removalsFrom || !r.removeServer(m, registrySource) {
			continue
		}
		changed, revision = true, max(revision, m.Revision)
		if known && !old.Draining {
			r.recentRemovals = append(r.recentRemovals, removedEntry{old, now})
		}
	}
	r.forgetRemovals(now)
	if changed {
		r.rebuild(revision, registrySource)
	}
	n := len(r.recentRemovals)
	if n >= minMassRemoval && float64(n) > massRemovalShare*float64(n+len(r.servers)) {
		return errMassRemoval
	}
	return nil
}

// forgetRemovals drops the removals that are older than massRemovalWindow from the recent
// ones. The caller holds r.mu.
func (r *Roster) forgetRemovals(now time.Time) {
	for len(r.recentRemovals) > 0 && now.Sub(r.recentRemovals[0].at) > massRemovalWindow {
		r.recentRemovals = r.recentRemovals[1:]
	}
}

// merge applies the routes, switches and entries that are newer than the current ones.
// The state is complete up to snapshotRevision, so what is not newer is known, although
// perhaps at another revision, or gone.
func (r *Roster) merge(s prim.Published, snapshotRevision prim.Revision) (changed bool, revision prim.Revision) {
	note := func(isNew bool, rev prim.Revision) {
		if isNew {
			changed, revision = true, max(revision, rev)
		}
	}
	if s.Routing != nil {
		note(r.setRouting(*s.Routing, registrySource), s.Routing.Revision)
	}
	for _, c := range s.Switches {
		if c.Revision <= snapshotRevision {
			continue
		}
		note(r.setSwitch(c, registrySource), c.Revision)
	}
	for _, e := range s.Servers {
		if e.Revision <= snapshotRevision {
			continue
		}
		note(r.setServer(e, registrySource), e.Revision)
	}
	return changed, revision
}

// retain keeps an entry that another node reports as removed, as long as this node
// can't check the registry itself. An entry also expires if only its host is cut off
// from the registry, and servers that are cut off together with this host may still be
// reachable from it. The caller holds r.mu.
func (r *Roster) retain(e prim.ServerEntry, now time.Time) {
	own := e.Host == r.config.Host
	r.ownEntryDisputed = r.ownEntryDisputed || own
	if own || r.registryLost {
		r.retained[e.ID] = e
		return
	}
	for len(r.reportedRemovals) > 0 && now.Sub(r.reportedRemovals[0].at) >= reportedRemovalWindow {
		r.reportedRemovals = r.reportedRemovals[1:]
	}
	r.reportedRemovals = append(r.reportedRemovals, removedEntry{e, now})
}

// setRegistryLost records that this node can't read the registry, and reverts the
// removals that other nodes reported within reportedRemovalWindow.
func (r *Roster) setRegistryLost(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registryLost {
		return
	}
	r.registryLost = true
	for _, m := range r.reportedRemovals {
		if _, relisted := r.servers[m.entry.ID]; !relisted && now.Sub(m.at) < reportedRemovalWindow {
			r.retained[m.entry.ID] = m.entry
		}
	}
	r.reportedRemovals = nil
	if len(r.retained) > 0 {
		r.rebuild(r.revision, "held")
	}
}

// retainMissing retains entries that go missing until the given time.
func (r *Roster) retainMissing(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retainUntil = until
}
