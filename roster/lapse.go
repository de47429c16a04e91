package roster

import (
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// An entry that is missing from the registry may have been removed, since its server has
// left, or it may have lapsed: while the registry or a host's way to it is down, live
// servers can't renew their entries, which expire. Live servers publish them again soon
// after. docs/design.md, section 8.1, has the rules:
//
//   - A removal that this node has read from the registry is final. Only a later entry
//     undoes it. A watch that is cut does not change this.
//   - Entries that are missing after an outage lapse until the servers have had the time
//     to publish them again.
//   - So do entries of which most are removed at once, since the registry may have been away
//     for the servers, but not for this node. Servers that leave may be among them, so none is
//     used longer after its removal than a server that left serves on.
//   - A removal that another node reports is final, unless this node can't read the
//     registry or the server is that of this host, which may be cut off together with it.
//     Then the entry lapses until this node has read the registry.

const (
	// Removals within massRemovalWindow count as a registry outage if they cover more
	// than massRemovalShare of all servers. Removals of draining servers don't count. The
	// entries that an outage ends expire within one heartbeat of each other, 1.5 s, and are
	// read up to minWatchInterval later.
	massRemovalWindow = 2 * time.Second
	massRemovalShare  = 0.5
	// minMassRemoval is the minimum number of removals that count as an outage.
	minMassRemoval = 3
	// reportedRemovalWindow is how long before this node lost the registry a removal
	// reported by another node may be and still count as a lapse. Entries of hosts that
	// are cut off together expire within one heartbeat of each other, and a lost call
	// takes up to 1.5 s to fail.
	reportedRemovalWindow = 5 * time.Second
	// watchAnswerDelay bounds the time from a change until a watch that waits for it has
	// answered, while the registry and the way to it are undisturbed.
	watchAnswerDelay = 100 * time.Millisecond
)

// lapse is an entry that stays in use although it is missing from the registry.
type lapse struct {
	entry prim.ServerEntry
	// until is when the absence counts as a removal, ownUntil the same for the node beside
	// the server; zero for at once. That node is the one that stops all requests to a server
	// that has left, so for it the time is bounded by Config.SettleTime as well.
	until, ownUntil time.Time
	// listedAt is a time at which the registry listed the entry.
	listedAt time.Time
	// unchecked is set if this node has to read the registry before that.
	unchecked bool
	// undoes is the revision of the removal that took effect before it was known to be a
	// lapse; 0 if there was none.
	undoes prim.Revision
}

// removedEntry is an entry that was recently removed while not draining.
type removedEntry struct {
	entry    prim.ServerEntry
	revision prim.Revision // of the removal
	at       time.Time     // when this node learned of it
	listedAt time.Time     // a time at which the registry listed the entry
	reported bool          // by another node
}

// removeReported applies the removal of an entry that another node has reported, and that
// counts there as the given lapse; nil for none. The caller holds r.mu.
func (r *Roster) removeReported(now time.Time, e prim.ServerEntry, revision prim.Revision, reported *sharedLapse) {
	unchecked := e.Host == r.config.Host || r.registryLost
	switch {
	case reported != nil:
		l := reported.lapse(now)
		l.entry, l.listedAt, l.unchecked = e, r.listedUntil(), unchecked
		r.lapses[e.ID] = l
	case unchecked:
		r.lapses[e.ID] = lapse{entry: e, listedAt: r.listedUntil(), unchecked: true}
	default:
		r.noteRemoved(now, removedEntry{entry: e, revision: revision, at: now, listedAt: r.listedUntil(), reported: true})
	}
}

// lapseEnd returns when the absence counts as a removal for this node.
func (r *Roster) lapseEnd(l *lapse) time.Time {
	if l.entry.Host == r.config.Host {
		return l.ownUntil
	}
	return l.until
}

// removeRead applies the removal of an entry that this node has read from the registry. It
// returns false if the removal is not newer than what is known. The caller holds r.mu.
func (r *Roster) removeRead(now time.Time, m prim.Removal) bool {
	listedAt := r.listedUntil()
	massEnd := r.massLapseEnd(listedAt)
	removal := r.removeServer(m, registrySource)
	switch e := removal.inUse; {
	case e == nil:
	case now.Before(r.lapsingUntil):
		r.lapses[m.ID] = lapse{entry: *e, until: r.lapsingUntil, ownUntil: r.ownLapsingUntil, listedAt: listedAt}
	case now.Before(massEnd):
		r.lapses[m.ID] = lapse{entry: *e, until: massEnd, ownUntil: massEnd, listedAt: listedAt}
	default:
		r.noteRemoved(now, removedEntry{entry: *e, revision: m.Revision, at: now, listedAt: listedAt})
	}
	return removal.isNew
}

// massLapseEnd returns until when an entry lapses that was removed together with most others
// and that the registry listed at a time: while a server that left at that time would serve on.
// A node that has just started can't know when entries were removed, and isn't expected to act
// on it before Config.SettleTime. The caller holds r.mu.
func (r *Roster) massLapseEnd(listedAt time.Time) time.Time {
	end := listedAt.Add(r.config.DrainTime)
	if settled := r.startedAt.Add(r.config.SettleTime); settled.After(end) {
		end = settled
	}
	if end = end.Add(-settleMargin); end.After(r.massLapsingUntil) {
		return r.massLapsingUntil
	}
	return end
}

// noteRemoved adds a recent removal. The caller holds r.mu.
func (r *Roster) noteRemoved(now time.Time, m removedEntry) {
	r.recentRemovals = append(r.recentRemovals, m)
	for len(r.recentRemovals) > 0 && now.Sub(r.recentRemovals[0].at) >= reportedRemovalWindow {
		r.recentRemovals = r.recentRemovals[1:]
	}
}

// lapseMassRemoval checks whether most servers were removed at once. If so, their entries
// lapse, and it returns true. That may undo removals which have taken effect, but the time until
// they are final doesn't begin anew. The caller holds r.mu.
func (r *Roster) lapseMassRemoval(now time.Time) bool {
	isRecent := func(m removedEntry) bool { return !m.reported && now.Sub(m.at) <= massRemovalWindow }
	n := 0
	for _, m := range r.recentRemovals {
		if isRecent(m) {
			n++
		}
	}
	if n < minMassRemoval || float64(n) <= massRemovalShare*float64(n+len(r.servers)) {
		return false
	}
	r.massLapsingUntil = now.Add(r.config.RepublishDelay)
	r.log.Warn("most servers were removed at once; their entries are kept for a while", "Removed", n, "Servers", len(r.servers), "For", r.config.RepublishDelay)
	for _, m := range r.recentRemovals {
		until := r.massLapseEnd(m.listedAt)
		if _, relisted := r.servers[m.entry.ID]; isRecent(m) && !relisted && now.Before(until) {
			r.lapses[m.entry.ID] = lapse{entry: m.entry, until: until, ownUntil: until, listedAt: m.listedAt, undoes: m.revision}
		}
	}
	r.recentRemovals = slices.DeleteFunc(r.recentRemovals, isRecent)
	return true
}

// setRegistryLost records that this node can't read the registry. The removals that other
// nodes have reported within reportedRemovalWindow count as lapses.
func (r *Roster) setRegistryLost(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registryLost {
		return
	}
	r.registryLost = true
	before := len(r.lapses)
	for _, m := range r.recentRemovals {
		if _, relisted := r.servers[m.entry.ID]; m.reported && !relisted && now.Sub(m.at) < reportedRemovalWindow {
			r.lapses[m.entry.ID] = lapse{entry: m.entry, listedAt: m.listedAt, unchecked: true}
		}
	}
	r.recentRemovals = slices.DeleteFunc(r.recentRemovals, func(m removedEntry) bool { return m.reported })
	if len(r.lapses) > before {
		r.rebuild(r.revision, "lapsed")
	}
}

// setLapsing records that an outage of the registry has ended, and until when entries that
// are missing lapse. The entry of this host's server lapses until ownUntil if that is earlier.
func (r *Roster) setLapsing(until, ownUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ownUntil.After(until) {
		ownUntil = until
	}
	r.lapsingUntil, r.ownLapsingUntil = until, ownUntil
}

// checkLapses records that this node has read the registry at the given time, and so is not
// cut off from it. Entries that other nodes have reported as removed then lapse only if an
// outage has just ended. The caller holds r.mu.
func (r *Roster) checkLapses(now time.Time) {
	for id, l := range r.lapses {
		if l.unchecked && l.until.IsZero() {
			l.until, l.ownUntil = r.lapsingUntil, r.ownLapsingUntil
			if end := r.massLapseEnd(l.listedAt); end.After(l.until) {
				l.until, l.ownUntil = end, end
			}
		}
		l.unchecked = false
		r.lapses[id] = l
	}
	r.endLapses(now)
}

// endLapses drops the lapsed entries whose time is over. It returns true if there were
// any. The caller holds r.mu.
func (r *Roster) endLapses(now time.Time) (ended bool) {
	for id, l := range r.lapses {
		if !l.unchecked && !now.Before(r.lapseEnd(&l)) {
			r.log.Info("lapsed entry ended", "Server", id, "Service", l.entry.Service, "Target", l.entry.Host)
			delete(r.lapses, id)
			ended = true
		}
	}
	return ended
}

// hasUnchecked reports whether there are lapses that only a read of the registry can end.
// The caller holds r.mu.
func (r *Roster) hasUnchecked(now time.Time) bool {
	for _, l := range r.lapses {
		if l.unchecked && !now.Before(r.lapseEnd(&l)) {
			return true
		}
	}
	return false
}

// expire drops what was kept for a limited time.
func (r *Roster) expire(now time.Time) {
	r.mu.Lock()
	if r.endLapses(now) {
		r.rebuild(r.revision, "end of lapses")
	}
	r.mu.Unlock()
	r.endOverlay(now)
}

// sharedLapse is a lapse as it is sent to other nodes.
type sharedLapse struct {
	Entry  prim.ServerEntry `cbor:"1,keyasint"`
	For    time.Duration    `cbor:"2,keyasint"`           // until the absence counts as a removal
	OwnFor time.Duration    `cbor:"4,keyasint,omitempty"` // the same for the node beside the server
	Undoes uint64           `cbor:"3,keyasint,omitempty"`
}

// lapse returns the lapse for a node that receives it.
func (s *sharedLapse) lapse(now time.Time) lapse {
	return lapse{entry: s.Entry, until: now.Add(s.For), ownUntil: now.Add(s.OwnFor)}
}

// lapsesToShare returns the lapses that this node has checked. The caller holds r.mu.
func (r *Roster) lapsesToShare(now time.Time) (shared []sharedLapse) {
	for _, l := range r.lapses {
		if !l.unchecked && now.Before(l.until) {
			l.entry.Revision = numberOnly(l.entry.Revision)
			shared = append(shared, sharedLapse{l.entry, l.until.Sub(now), max(0, l.ownUntil.Sub(now)), l.undoes.Number()})
		}
	}
	return shared
}

// receivedLapses returns another node's lapses by the IDs of their entries, with their
// times bounded. The caller holds r.mu.
func (r *Roster) receivedLapses(shared []sharedLapse) map[string]*sharedLapse {
	lapses := make(map[string]*sharedLapse, len(shared))
	for _, s := range shared {
		s.For = min(s.For, r.config.RepublishDelay)
		s.OwnFor = max(0, min(s.OwnFor, s.For))
		if s.For > 0 {
			lapses[s.Entry.ID] = &s
		}
	}
	return lapses
}

// restoreLapsed puts an entry back into use whose removal this node has applied, and which
// another node now knows to be a lapse. The caller holds r.mu.
func (r *Roster) restoreLapsed(now time.Time, s *sharedLapse, undoes prim.Revision) {
	_, listed := r.servers[s.Entry.ID]
	_, lapsed := r.lapses[s.Entry.ID]
	if listed || lapsed || s.Undoes == 0 || r.removalRevision(s.Entry.ID) != undoes || s.Entry.Check() != nil {
		return
	}
	l := s.lapse(now)
	l.undoes = undoes
	r.lapses[s.Entry.ID] = l
}
