package once

import (
	"container/heap"
	"net/http"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A table holds the records of an owner. It is a plain state machine: the owner
// locks it and passes the time. Records leave it only when their time is over;
// when the bytes are used up, no new key is accepted instead.

// state is what is known about a key at this host.
type state uint8

const (
	absent    state = iota // nothing; the entry holds tombstones of others
	running                // handed to the next owner
	done                   // answered
	lost                   // may have run
	tombstone              // not run here, and never will be
)

// entry is the record of one key.
type entry struct {
	id      id
	state   state
	digest  digest
	created time.Time // zero if unknown
	expires time.Time
	// answer is that of a done request; nil if it was too long to keep.
	answer *prim.Answer
	// others are hosts whose tombstones were handed over to this one.
	others []prim.HostName
	// last is set when no candidate follows this host.
	last bool
	// over is closed when a running request ends.
	over  chan struct{}
	size  int64
	index int
}

// entrySize is the estimated memory of an entry without its strings and answer:
// the struct, the channel, and its places in the map and the heap.
const entrySize = 512

// recordTerm is how long an entry stays from the first use of its key. A dated
// key is refused later than KeyWindow after its creation, which precedes its first
// use, and a caller must not use an undated one even that late. The margins allow
// for the steps of a clock that is being corrected.
const recordTerm = KeyWindow + 2*KeyMargin

type table struct {
	limit   int64
	bytes   int64
	entries map[id]*entry
	expiry  expiry
}

func newTable(limit int64) *table {
	return &table{limit: limit, entries: make(map[id]*entry)}
}

// find returns the entry of a key, or nil. It drops entries whose time is over.
func (t *table) find(k id, now time.Time) *entry {
	for len(t.expiry) > 0 && !t.expiry[0].expires.After(now) {
		if e := t.expiry[0]; e.state == running {
			// A request that still runs ends within its deadline.
			e.expires = now.Add(prim.MaxTimeout)
			heap.Fix(&t.expiry, 0)
		} else {
			t.remove(e)
		}
	}
	return t.entries[k]
}

// add makes an entry, or returns nil when the bytes are used up.
func (t *table) add(k id, created, now time.Time) *entry {
	e := &entry{id: k, created: created, expires: now.Add(recordTerm), size: entrySize + int64(len(k.Service)+len(k.Customer)+len(k.Key))}
	if t.bytes+e.size > t.limit {
		return nil
	}
	t.bytes += e.size
	t.entries[k] = e
	heap.Push(&t.expiry, e)
	return e
}

func (t *table) remove(e *entry) {
	heap.Remove(&t.expiry, e.index)
	delete(t.entries, e.id)
	t.bytes -= e.size
}

// finish records how a key ended here. An answer that does not fit is not kept;
// the entry still stops the key from running again.
func (t *table) finish(e *entry, s state, a *prim.Answer) {
	e.state = s
	if s == done && a != nil && a.Rest == nil {
		size := int64(len(a.Body)) + headerSize(a.Header)
		if t.bytes+size <= t.limit {
			t.bytes += size
			e.size += size
			e.answer = &prim.Answer{Status: a.Status, Header: a.Header.Clone(), Body: a.Body}
		}
	}
}

func headerSize(h http.Header) int64 {
	n := 0
	for k, vs := range h {
		n += len(k) + 48
		for _, v := range vs {
			n += len(v) + 16
		}
	}
	return int64(n)
}

// expiry is a heap of entries by the time at which they expire.
type expiry []*entry

func (x expiry) Len() int           { return len(x) }
func (x expiry) Less(i, j int) bool { return x[i].expires.Before(x[j].expires) }
func (x expiry) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].index, x[j].index = i, j
}

func (x *expiry) Push(v any) {
	e := v.(*entry)
	e.index = len(*x)
	*x = append(*x, e)
}

func (x *expiry) Pop() any {
	n := len(*x) - 1
	e := (*x)[n]
	(*x)[n] = nil
	*x = (*x)[:n]
	return e
}
