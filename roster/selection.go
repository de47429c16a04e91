package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// Every registry change wakes every watch, so only a few nodes of each data centre
// follow the registry. These primary readers are the first hosts in a hash order that
// all nodes compute from the published server list; the other nodes get the state from
// them. There is no agreement protocol: a node that hears from too few readers becomes
// a substitute reader, so a reader that is killed or frozen delays the others by less
// than a second. That a node says that it reads does not show that the registry still
// reaches it: its watch may be silent. So what counts is the age of the last answer. A
// node that has heard of none for too long polls the registry itself.

const (
	// minReaders is the number of readers in a small data centre. There is one more
	// for every hostsPerReader hosts.
	minReaders     = 2
	hostsPerReader = 16
	// readersPerNode is the number of readers that a node connects to: one more than
	// it needs.
	readersPerNode = minReaders + 1
	// readerTimeout is how long after its last sample a reader counts as active.
	// Samples are sent five times a second.
	readerTimeout = 700 * time.Millisecond
	// A node polls the registry itself once its state has not been confirmed by an answer to
	// any node for maxAnswerAge plus a random part of answerAgeJitter. The jitter lets a
	// few nodes poll first and the others learn the result from them.
	maxAnswerAge    = 1600 * time.Millisecond
	answerAgeJitter = 150 * time.Millisecond
	// slowAnswerLag is the age of the newest answer when a node hears of it from which the
	// registry counts as slow: more than a call and a sample interval take together.
	slowAnswerLag = 260 * time.Millisecond
	// minSubstituteTime is the minimum time that a substitute reader follows the
	// registry.
	minSubstituteTime = time.Second
	// startupDelay is how long a starting node waits for samples of readers before it
	// becomes a substitute.
	startupDelay = time.Second
)

// peerState holds what the last sample of another node reported.
type peerState struct {
	sampledAt time.Time
	reading   bool
}

// readerSelection caches the readers selected from a placement.
type readerSelection struct {
	placement *prim.Placement
	primary   bool            // this node is a primary reader
	readers   []prim.HostName // the readers that this node connects to
}

// readerCount returns the number of primary readers for a number of hosts in a data
// centre.
func readerCount(hosts int) int { return minReaders + hosts/hostsPerReader }

// selectReaders returns the readers selected from the current placement. The caller
// holds r.mu.
func (r *Roster) selectReaders() readerSelection {
	if r.selection.placement == r.placement {
		return r.selection
	}
	hosts := slices.SortedFunc(slices.Values(r.placement.ServersIn(r.config.DataCentre)), func(a, b *prim.ServerEntry) int {
		return cmp.Compare(readerRank(a.Host), readerRank(b.Host))
	})
	primary := hosts[:min(readerCount(len(hosts)), len(hosts))]
	position := max(0, slices.IndexFunc(hosts, func(e *prim.ServerEntry) bool { return e.Host == r.config.Host }))
	selection := readerSelection{placement: r.placement, primary: slices.ContainsFunc(primary, func(e *prim.ServerEntry) bool { return e.Host == r.config.Host })}
	for i := range min(readersPerNode, len(primary)) {
		selection.readers = append(selection.readers, primary[(position+i)%len(primary)].Host)
	}
	r.selection = selection
	return selection
}

// otherReaders returns the number of other active readers, and how many of them rank
// before this node. It drops nodes that have sent no sample for ten times
// readerTimeout. The caller holds r.mu.
func (r *Roster) otherReaders(now time.Time) (all, before int) {
	own := readerRank(r.config.Host)
	for h, v := range r.peers {
		switch age := now.Sub(v.sampledAt); {
		case age >= 10*readerTimeout:
			delete(r.peers, h)
		case age < readerTimeout && v.reading:
			all++
			if readerRank(h) < own {
				before++
			}
		}
	}
	return all, before
}

// hearsNoReader reports whether this node hears other nodes, none of which reads the
// registry.
func (r *Roster) hearsNoReader(now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	heard := false
	for _, v := range r.peers {
		if now.Sub(v.sampledAt) < readerTimeout {
			if v.reading {
				return false
			}
			heard = true
		}
	}
	return heard
}

func readerRank(h prim.HostName) uint64 { return xxh3.HashString(string(h)) }

// shouldRead reports whether this node should follow the registry, and whether it is a
// primary reader.
func (r *Roster) shouldRead(now, started time.Time) (reads, primary bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selectReaders().primary {
		return true, true
	}
	all, before := r.otherReaders(now)
	if r.reading {
		// If every substitute stopped as soon as it heard enough others, all would
		// stop at once. Those with fewer than minReaders readers ranked before them
		// continue.
		return before < minReaders, false
	}
	return now.Sub(started) > startupDelay && all < minReaders, false
}

// Readers returns the readers of this data centre that this node connects to.
func (r *Roster) Readers() []prim.HostName {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selectReaders().readers
}
