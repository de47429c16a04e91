package once

import (
	"container/heap"
	"net/http"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// keyState is the state of a key at this host.
type keyState uint8

const (
	stateAbsent    keyState = iota // no state here; the entry only lists tombstones of other hosts
	stateRunning                   // passed to the next owner, not finished
	stateDone                      // finished with an answer
	stateLost                      // may have run
	stateTombstone                 // not run here, and never will be run here
)

// entry is the record of one key.
type entry struct {
	id      keyID
	state   keyState
	digest  requestDigest
	created time.Time // zero if unknown
	expires time.Time
	// answer is set in stateDone; nil if it was streamed or too long to keep.
	answer *prim.Answer
	// tombstoneHosts are the hosts whose tombstones were handed over to this
	// host.
	tombstoneHosts []prim.HostName
	// lastCandidate is set if this host is the last candidate of the key.
	lastCandidate bool
	// finished is closed when a running request ends.
	finished  chan struct{}
	size      int64
	heapIndex int
}

// entryOverheadBytes is the estimated memory of an entry without its strings and
// answer: the struct, the channel and the slots in the map and the heap.
const entryOverheadBytes = 512

// recordLifetime is how long an entry is kept after the first use of its key. A key
// with a creation time is refused once it is older than KeyWindow, and it is created
// before its first use; a caller must stop using a key without one even earlier. The
// margins cover steps of a clock that is being corrected.
const recordLifetime = KeyWindow + 2*KeyMargin

// recordTable holds the records of an owner. The caller provides locking and the
// current time. A record is removed only when it expires, or with its request if
// that did not run; when the memory limit is reached, new keys are refused instead
// of evicting records early.
type recordTable struct {
	maxBytes  int64
	usedBytes int64
	entries   map[keyID]*entry
	byExpiry  expiryHeap
}

func newRecordTable(limit int64) *recordTable {
	return &recordTable{maxBytes: limit, entries: make(map[keyID]*entry)}
}

// find returns the entry of a key, or nil. It first removes expired entries.
func (t *recordTable) find(key keyID, now time.Time) *entry {
	for len(t.byExpiry) > 0 && !t.byExpiry[0].expires.After(now) {
		if e := t.byExpiry[0]; e.state == stateRunning {
			// A request that is still running ends by its deadline.
			e.expires = now.Add(prim.MaxTimeout)
			heap.Fix(&t.byExpiry, 0)
		} else {
			t.remove(e)
		}
	}
	return t.entries[key]
}

// add creates an entry, or returns nil if it would exceed the memory limit.
func (t *recordTable) add(key keyID, created, now time.Time) *entry {
	e := &entry{id: key, created: created, expires: now.Add(recordLifetime), size: entryOverheadBytes + int64(len(key.Service)+len(key.Customer)+len(key.Key))}
	if t.usedBytes+e.size > t.maxBytes {
		return nil
	}
	t.usedBytes += e.size
	t.entries[key] = e
	heap.Push(&t.byExpiry, e)
	return e
}

func (t *recordTable) remove(e *entry) {
	heap.Remove(&t.byExpiry, e.heapIndex)
	delete(t.entries, e.id)
	t.usedBytes -= e.size
}

// finish sets the final state of an entry. A streamed answer, or one that exceeds
// the memory limit, is not kept; the entry still prevents a second run.
func (t *recordTable) finish(e *entry, s keyState, a *prim.Answer) {
	e.state = s
	if s == stateDone && a != nil && a.Rest == nil {
		size := int64(len(a.Body)) + headerBytes(a.Header)
		if t.usedBytes+size <= t.maxBytes {
			t.usedBytes += size
			e.size += size
			e.answer = &prim.Answer{Status: a.Status, Header: a.Header.Clone(), Body: a.Body}
		}
	}
}

func headerBytes(h http.Header) int64 {
	n := 0
	for k, vs := range h {
		n += len(k) + 48
		for _, v := range vs {
			n += len(v) + 16
		}
	}
	return int64(n)
}

// expiryHeap is a min-heap of entries ordered by expiry time.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(v any) {
	e := v.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return e
}
