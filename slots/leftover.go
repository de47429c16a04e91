package slots

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// After a restart of its node, a server may still run requests that the earlier process of the
// node sent. The count of running requests is then too low, and a server that resets
// connections when it is full leaves the outcome of new requests unknown. Health checks report
// how many requests the server runs and queues. What exceeds the requests that this node can
// have had there during the check counts as running until a later check says otherwise.

// leftoverTTL is how long leftover requests count at most, from the first check that showed
// them: no request outlasts prim.MaxTimeout. A server that reports more requests for longer
// counts others, such as its own health checks.
const leftoverTTL = prim.MaxTimeout

// leftover estimates how many requests at the server are not among those that this node has
// in progress.
type leftover struct {
	own      int // requests of this node that may have been at the server since the check began
	checked  bool
	previous int // excess in the previous check, if checked
	count    int
	since    time.Time // when count was last 0, if it is not
}

// beginCheck begins a health check while running requests of this node are in progress.
func (l *leftover) beginCheck(running int) { l.own = running }

// recordStart records that a request is sent to the server. The check may find it there.
func (l *leftover) recordStart() { l.own++ }

// endCheck applies the number of requests that the server has reported in the check. An excess
// counts if the previous check had one too: a server may count a request for a moment after it
// has answered it. The first check counts by itself, since this node had sent nothing before.
func (l *leftover) endCheck(now time.Time, reported int) {
	excess := max(0, reported-l.own)
	l.count = excess
	if l.checked {
		l.count = min(excess, l.previous)
	}
	l.checked, l.previous = true, excess
	switch {
	case l.count == 0:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
}

// inUse returns the number of slots that leftover requests use.
func (l *leftover) inUse(now time.Time) int {
	if l.count > 0 && now.Sub(l.since) < leftoverTTL {
		return l.count
	}
	return 0
}
