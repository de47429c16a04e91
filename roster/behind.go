package roster

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A node that doesn't read the registry relies on the others to send it what is newer.
// They may be unable to: links break, are slow or full. A node that stays behind what it
// hears from others therefore reads the registry itself.

const (
	// maxBehind is how long a node may stay behind before it reads the registry. A fetch
	// takes a few milliseconds, or some hundred if the state is large.
	maxBehind = time.Second
	// minBehindReadInterval is the minimum time from a full read that did not bring what
	// others had reported to one because the node is behind: a faulty node may report state
	// that nobody has.
	minBehindReadInterval = 5 * time.Second
)

// behindState tracks whether other nodes have newer state.
type behindState struct {
	since          time.Time // zero if no node has newer state
	revision       prim.Revision
	routes         uint64
	readAt         time.Time // last full read of the registry
	caughtUpByRead bool      // that read brought all that others had reported
}

// observe records that another node has newer state.
func (b *behindState) observe(now time.Time, revision prim.Revision, routes uint64) {
	if b.since.IsZero() {
		b.since = now
	}
	b.revision, b.routes = max(b.revision, revision), max(b.routes, routes)
}

// caughtUp records the state of this node.
func (b *behindState) caughtUp(revision prim.Revision, routes uint64) {
	if revision >= b.revision && routes >= b.routes {
		b.since = time.Time{}
	}
}

// isTooLong reports whether this node has to read the registry because it is behind.
func (b *behindState) isTooLong(now time.Time) bool {
	return !b.since.IsZero() && now.Sub(b.since) > maxBehind && (b.caughtUpByRead || now.Sub(b.readAt) > minBehindReadInterval)
}
