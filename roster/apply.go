package roster

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Entries of servers lapse while the registry is away, although the servers live.
// They are back soon after its return. So after an outage what is missing is kept
// for that long, and so is what goes missing all at once: a reader whose watch
// outlived the outage sees it only by that.

const (
	// lapseWithin and lapseShare say which removals are taken for an outage: more
	// than this share of all servers within this time, none of which drained.
	lapseWithin = 2 * time.Second
	lapseShare  = 0.5
	// lapseLeast is the least number of them.
	lapseLeast = 3
	// toldFor is how long before the loss of the registry removals may have been
	// told to be taken back. Entries of hosts that are cut off together lapse within
	// a heartbeat, and a lost call takes up to 1.5 s.
	toldFor = 5 * time.Second
)

const registrySource = "registry"

// missed is an entry that was removed of late without draining.
type missed struct {
	entry prim.ServerEntry
	at    time.Time
}

// applyAll takes a whole state of the registry as of a revision.
func (r *Roster) applyAll(now time.Time, s prim.Published, at uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubted, r.lost, r.told = false, false, nil
	r.take(s, 0)
	listed := make(map[string]bool, len(s.Servers))
	for _, e := range s.Servers {
		listed[e.ID] = true
	}
	keep := now.Before(r.keepUntil)
	if !keep {
		r.keepUntil = time.Time{}
		clear(r.held)
	} else {
		for _, m := range r.missed {
			if _, known := r.servers[m.entry.ID]; !known {
				m.entry.Revision = at
				r.servers[m.entry.ID] = m.entry
			}
		}
	}
	r.missed = nil
	for id, e := range r.servers {
		if !listed[id] && (!keep || e.Draining) {
			r.removeServer(prim.Removal{ID: id, Revision: at}, registrySource)
		}
	}
	// A data centre that is not named is in service.
	named := make(map[prim.DataCentre]bool, len(s.Switches))
	for _, c := range s.Switches {
		named[c.DataCentre] = true
	}
	for _, c := range r.switches {
		if c.Out && !named[c.DataCentre] {
			r.setSwitch(prim.CentreSwitch{DataCentre: c.DataCentre, Revision: at}, registrySource)
		}
	}
	// Servers that came and went between two reads were never seen here, so nodes
	// that may have seen them get the whole state.
	r.removals, r.removalsFrom = nil, at
	r.rebuild(at, registrySource)
}

// applyChanges takes changes of the registry. It reports whether so much was
// removed at once that the registry must have been away.
func (r *Roster) applyChanges(now time.Time, s prim.Published) (away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Changes may be older than a whole state that came from another node.
	changed, revision := r.take(s, r.removalsFrom)
	if now.Before(r.keepUntil) {
		s.Removed = nil // a whole read follows
	}
	for _, m := range s.Removed {
		old, known := r.servers[m.ID]
		if !r.removeServer(m, registrySource) {
			continue
		}
		changed, revision = true, max(revision, m.Revision)
		if known && !old.Draining {
			r.missed = append(r.missed, missed{old, now})
		}
	}
	for len(r.missed) > 0 && now.Sub(r.missed[0].at) > lapseWithin {
		r.missed = r.missed[1:]
	}
	if changed {
		r.rebuild(revision, registrySource)
	}
	n := len(r.missed)
	return n >= lapseLeast && float64(n) > lapseShare*float64(n+len(r.servers))
}

// take takes what is new of routes, switches and entries. An unknown server whose entry
// is not newer than the last whole state was removed before that.
func (r *Roster) take(s prim.Published, whole uint64) (changed bool, revision uint64) {
	note := func(is bool, at uint64) {
		if is {
			changed, revision = true, max(revision, at)
		}
	}
	if s.Routing != nil {
		note(r.setRouting(*s.Routing, registrySource), s.Routing.Revision)
	}
	for _, c := range s.Switches {
		note(r.setSwitch(c, registrySource), c.Revision)
	}
	for _, e := range s.Servers {
		if _, known := r.servers[e.ID]; !known && e.Revision <= whole {
			continue
		}
		note(r.setServer(e, registrySource), e.Revision)
	}
	return changed, revision
}

// hold keeps an entry here that others tell is removed, as long as this node can't see
// for itself: it lapses also where its host alone is cut off from the registry, and
// what is cut off likewise may be within reach. The caller holds r.mu.
func (r *Roster) hold(e prim.ServerEntry, now time.Time) {
	own := e.Host == r.c.Host
	r.doubted = r.doubted || own
	if own || r.lost {
		r.held[e.ID] = e
		return
	}
	for len(r.told) > 0 && now.Sub(r.told[0].at) >= toldFor {
		r.told = r.told[1:]
	}
	r.told = append(r.told, missed{e, now})
}

// setLost notes that this node can't read the registry. Removals that others told a
// moment ago are taken back.
func (r *Roster) setLost(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return
	}
	r.lost = true
	for _, m := range r.told {
		if _, back := r.servers[m.entry.ID]; !back && now.Sub(m.at) < toldFor {
			r.held[m.entry.ID] = m.entry
		}
	}
	r.told = nil
	if len(r.held) > 0 {
		r.rebuild(r.revision, "held")
	}
}

// keepMissing keeps entries that go missing for a time.
func (r *Roster) keepMissing(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepUntil = until
}
