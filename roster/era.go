package roster

import (
	"maps"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A registry that is restored from a copy begins a new era. Its contents are older than
// what this node knows until operators and servers have written again what was lost. The
// number of an item in the new era doesn't tell whether it comes from the copy: numbers
// are given out again. So this node keeps what it knows from the previous era where the
// new contents lack or contradict it. A change of the new era that comes after its first
// full state was written after the restore and replaces what was kept.
//
// What nobody writes again ends: servers and switches that the new era lacks once live
// servers and operators have had the time to write them, removals once the registry has
// dropped the entries of silent servers. That an entry drains, or is of a later start of
// its server, doesn't end: a start never stops draining.

// overlay is what this node keeps from the previous era.
type overlay struct {
	// servers are entries that the new era lacks, and entries that it lists in an
	// outdated form.
	servers map[string]prim.ServerEntry
	// removed are IDs that the new era lists although they were removed before.
	removed  map[string]bool
	switches map[prim.DataCentre]prim.DataCentreSwitch
	// until is when servers and switches that the new era lacks end, removedUntil when
	// removals end. They end later if the state isn't confirmed to be current then.
	until, removedUntil time.Time
}

// previousEra is the state of this node before it entered an era.
type previousEra struct {
	servers  map[string]prim.ServerEntry
	switches map[prim.DataCentre]prim.DataCentreSwitch
	// highestNumber and newestStart bound the numbers and the starts of servers that this
	// node has seen in any era.
	highestNumber uint64
	newestStart   time.Time
}

// enterEra clears the state if the revision of a full state is of a later era, and
// returns the previous state. Routes are kept, since their versions order them across
// eras. It returns nil if the era stays the same or nothing was known. The caller holds
// r.mu.
func (r *Roster) enterEra(revision prim.Revision) *previousEra {
	if r.revision == 0 || revision.Era() <= r.revision.Era() {
		return nil
	}
	r.log.Warn("registry was restored from a copy", "Revision", revision, "Before", r.revision)
	previous := &previousEra{r.effectiveServers(), r.effectiveSwitches(), r.highestNumber, r.newestStart}
	r.servers = make(map[string]prim.ServerEntry)
	r.switches = make(map[prim.DataCentre]prim.DataCentreSwitch)
	r.removals, r.removalsFrom = nil, 0
	r.recentRemovals, r.lapsingUntil, r.massLapsingUntil = nil, time.Time{}, time.Time{}
	clear(r.lapses)
	r.overlay = nil
	r.restored = true
	return previous
}

// keep sets the overlay after the first full state of an era has been applied. The
// caller holds r.mu.
func (r *Roster) keep(previous *previousEra) {
	now := time.Now() // the state may have been read long ago, over a slow network
	o := &overlay{
		servers:      make(map[string]prim.ServerEntry),
		removed:      make(map[string]bool),
		switches:     make(map[prim.DataCentre]prim.DataCentreSwitch),
		until:        now.Add(r.config.RepublishDelay),
		removedUntil: now.Add(max(r.config.RepublishDelay, r.config.EntryTTL)),
	}
	for id, before := range previous.servers {
		e, listed := r.servers[id]
		if !listed && !before.Draining || listed && isOutdated(&e, &before) {
			o.servers[id] = before
		}
	}
	for id, e := range r.servers {
		if _, known := previous.servers[id]; !known && previous.mayKnow(e.Revision) && !e.Born.After(previous.newestStart) {
			o.removed[id] = true
		}
	}
	for d, before := range previous.switches {
		s := r.switches[d]
		if before.Out && !s.Out || !before.Out && s.Out && previous.mayKnow(s.Revision) {
			o.switches[d] = before
		}
	}
	r.overlay = o
}

// isOutdated reports whether an entry is of an earlier start of its server than the one
// known before, or of the same start before it drained.
func isOutdated(e, before *prim.ServerEntry) bool {
	return e.Born.Before(before.Born) || e.Born.Equal(before.Born) && before.Draining && !e.Draining
}

// mayKnow reports whether an item of the new era may be one that this node knew, or
// knew the removal of. It isn't if its number is above all that this node knew.
func (p *previousEra) mayKnow(rev prim.Revision) bool { return rev.Number() <= p.highestNumber }

// dropKept drops what is kept of a server that was written or removed in this era. It
// reports whether anything was kept. The caller holds r.mu.
func (r *Roster) dropKept(id string) bool {
	if r.overlay == nil {
		return false
	}
	_, kept := r.overlay.servers[id]
	kept = kept || r.overlay.removed[id]
	delete(r.overlay.servers, id)
	delete(r.overlay.removed, id)
	return kept
}

// removedBefore reports whether a server that this era lists was removed in the previous
// one. The caller holds r.mu.
func (r *Roster) removedBefore(id string) bool { return r.overlay != nil && r.overlay.removed[id] }

// endOverlay drops what was kept once its time is over and the state was confirmed to be
// current after that. As with other removals, that of this host's own server has to be
// read from the registry, and a node that can't read it keeps servers.
func (r *Roster) endOverlay(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.overlay
	if o == nil {
		return
	}
	hasEnded := func(t time.Time) bool { return !now.Before(t) && !r.confirmedAt.Before(t) }
	ended := 0
	if hasEnded(o.until) {
		for id, e := range o.servers {
			listed, ok := r.servers[id]
			if ok && !e.Born.IsZero() && isOutdated(&listed, &e) {
				continue
			}
			delete(o.servers, id)
			ended++
			if !ok && (e.Host == r.config.Host || r.registryLost) {
				r.lapses[id] = lapse{entry: e, unchecked: true}
			}
		}
		ended += len(o.switches)
		clear(o.switches)
	}
	if hasEnded(o.removedUntil) {
		ended += len(o.removed)
		clear(o.removed)
	}
	if len(o.servers)+len(o.switches)+len(o.removed) == 0 {
		r.overlay = nil
	}
	if ended > 0 {
		r.rebuild(r.revision, "end of restore")
	}
}

// effectiveServers returns the entries in use. The caller holds r.mu.
func (r *Roster) effectiveServers() map[string]prim.ServerEntry {
	servers := maps.Clone(r.servers)
	for id, l := range r.lapses {
		servers[id] = l.entry
	}
	if r.overlay != nil {
		maps.Copy(servers, r.overlay.servers)
		for id := range r.overlay.removed {
			delete(servers, id)
		}
	}
	return servers
}

// effectiveSwitches returns the switches in use. The caller holds r.mu.
func (r *Roster) effectiveSwitches() map[prim.DataCentre]prim.DataCentreSwitch {
	switches := maps.Clone(r.switches)
	if r.overlay != nil {
		maps.Copy(switches, r.overlay.switches)
	}
	return switches
}
