package roster

import (
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

// ranking caches this node's place in the order of a placement's hosts.
type ranking struct {
	of      *prim.Placement
	readers bool // this node is one of the first
}

// readers returns how many of the hosts of a data centre are to read.
func readers(hosts int) int { return leastReaders + hosts/hostsPerReader }

// designated reports whether this node is one of the first of its data centre.
// The caller holds r.mu.
func (r *Roster) designated() bool {
	if r.ranking.of == r.now {
		return r.ranking.readers
	}
	own := xxh3.HashString(string(r.c.Host))
	near, before := 0, 0
	listed := false
	for _, e := range r.now.Near(r.c.DataCentre) {
		near++
		if e.Host == r.c.Host {
			listed = true
		} else if xxh3.HashString(string(e.Host)) < own {
			before++
		}
	}
	r.ranking = ranking{r.now, listed && before < readers(near)}
	return r.ranking.readers
}

// heardReaders returns the number of other nodes that follow the registry. Those
// that were not heard from for long are forgotten. The caller holds r.mu.
func (r *Roster) heardReaders(now time.Time) (n int) {
	for h, v := range r.heard {
		switch age := now.Sub(v.at); {
		case age >= 10*hearFor:
			delete(r.heard, h)
		case age < hearFor && v.reading:
			n++
		}
	}
	return n
}

// duty reports whether this node is to read, and whether it is one of the first.
func (r *Roster) duty(now, started time.Time) (reads, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.designated() {
		return true, true
	}
	return now.Sub(started) > settle && r.heardReaders(now) < leastReaders, false
}

// Readers returns the hosts of this data centre that are to read, so that this
// node can listen to them.
func (r *Roster) Readers() (hosts []prim.HostName) {
	near := r.Placement().Near(r.c.DataCentre)
	for _, e := range near {
		before := 0
		own := xxh3.HashString(string(e.Host))
		for _, o := range near {
			if xxh3.HashString(string(o.Host)) < own {
				before++
			}
		}
		if before < readers(len(near)) {
			hosts = append(hosts, e.Host)
		}
	}
	return hosts
}
