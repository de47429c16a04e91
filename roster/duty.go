package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// A change of the registry wakes every watch, so only a few nodes of a data centre
// follow it: the first in an order of the hosts that all nodes compute alike from
// the published list. The others hear from them. Nothing is agreed upon: a node
// that does not hear from enough readers reads as well, so a reader that is killed,
// frozen or cut off costs the others less than a second.

const (
	// leastReaders is the number of readers in a small data centre, and
	// hostsPerReader the number of hosts for each further one.
	leastReaders   = 2
	hostsPerReader = 16
	// listenTo is the number of readers that a node listens to: one more than it
	// needs.
	listenTo = leastReaders + 1
	// hearFor is how long a reader counts after its last sample. Samples come
	// five times a second.
	hearFor = 700 * time.Millisecond
	// actFor is how long a node that reads for lack of readers goes on at least.
	actFor = time.Second
	// settle is how long after its start a node waits for the others to be heard.
	settle = time.Second
)

// hearing is what was last heard from another node.
type hearing struct {
	at      time.Time
	reading bool
}

// ranking caches who of a placement's hosts reads.
type ranking struct {
	of     *prim.Placement
	first  bool            // this node is to read
	listen []prim.HostName // the readers that this node listens to
}

// readers returns how many of the hosts of a data centre are to read.
func readers(hosts int) int { return leastReaders + hosts/hostsPerReader }

// ranked returns who of the hosts in force reads. The caller holds r.mu.
func (r *Roster) ranked() ranking {
	if r.ranking.of == r.now {
		return r.ranking
	}
	near := slices.SortedFunc(slices.Values(r.now.Near(r.c.DataCentre)), func(a, b *prim.ServerEntry) int {
		return cmp.Compare(order(a.Host), order(b.Host))
	})
	first := near[:min(readers(len(near)), len(near))]
	place := max(0, slices.IndexFunc(near, func(e *prim.ServerEntry) bool { return e.Host == r.c.Host }))
	v := ranking{of: r.now, first: slices.ContainsFunc(first, func(e *prim.ServerEntry) bool { return e.Host == r.c.Host })}
	for i := range min(listenTo, len(first)) {
		v.listen = append(v.listen, first[(place+i)%len(first)].Host)
	}
	r.ranking = v
	return v
}

// heardReaders returns the number of other nodes that follow the registry, and how
// many of them come before this node in the order of the hosts. Those that were not
// heard from for long are forgotten. The caller holds r.mu.
func (r *Roster) heardReaders(now time.Time) (all, before int) {
	own := order(r.c.Host)
	for h, v := range r.heard {
		switch age := now.Sub(v.at); {
		case age >= 10*hearFor:
			delete(r.heard, h)
		case age < hearFor && v.reading:
			all++
			if order(h) < own {
				before++
			}
		}
	}
	return all, before
}

func order(h prim.HostName) uint64 { return xxh3.HashString(string(h)) }

// duty reports whether this node is to read, and whether it is one of the first.
func (r *Roster) duty(now, started time.Time) (reads, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranked().first {
		return true, true
	}
	all, before := r.heardReaders(now)
	if r.reading {
		// If all that read for lack of readers stopped as soon as they hear each
		// other, none would be left.
		return before < leastReaders, false
	}
	return now.Sub(started) > settle && all < leastReaders, false
}

// Readers returns the hosts of this data centre that this node listens to.
func (r *Roster) Readers() []prim.HostName {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ranked().listen
}
