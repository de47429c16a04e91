package roster

import (
	"errors"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

const registrySource = "registry"

// errEarlierEra reports contents from before the registry was restored, for example in a
// response that was delayed.
var errEarlierEra = errors.New("the registry returned contents of an earlier era; the read will be retried")

// applySnapshot replaces the state with the full registry contents at a revision. What
// this node has learned after that revision from other nodes is kept. It returns
// errEarlierEra if the state is of a later era.
func (r *Roster) applySnapshot(now time.Time, s prim.Published, revision prim.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision.Era() < r.revision.Era() {
		return errEarlierEra
	}
	previous := r.enterEra(revision)
	r.registryLost = false
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
	for id := range r.servers {
		if !listed[id] {
			r.removeRead(now, prim.Removal{ID: id, Revision: revision})
		}
	}
	r.lapseMassRemoval(now)
	r.checkLapses(now)
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

// noteUnchanged records that the registry still listed at a time what this node lists, as a later
// answer has shown. Unlike confirm it doesn't make the state count as younger.
func (r *Roster) noteUnchanged(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.unchangedAt) {
		r.unchangedAt = at
	}
}

// listedUntil returns a time until which the registry listed the entries in use. The caller
// holds r.mu.
func (r *Roster) listedUntil() time.Time {
	if r.unchangedAt.After(r.confirmedAt) {
		return r.unchangedAt
	}
	return r.confirmedAt
}

// applyChanges applies the changes from the registry up to a revision. It returns
// errEarlierEra if the state is of a later era.
func (r *Roster) applyChanges(now time.Time, s prim.Published, upTo prim.Revision) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if upTo.Era() < r.revision.Era() {
		return errEarlierEra
	}
	// Changes may be older than a full state received from another node.
	changed, revision := r.merge(s, r.removalsFrom)
	for _, m := range s.Removed {
		if m.Revision <= r.removalsFrom {
			continue
		}
		if r.removeRead(now, m) {
			changed, revision = true, max(revision, m.Revision)
		}
	}
	if r.lapseMassRemoval(now) || changed {
		r.rebuild(revision, registrySource)
	}
	return nil
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
