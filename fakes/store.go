// Package fakes provides test doubles for the users' platform: its key-value
// store, its application servers and a fault-injecting TCP proxy. Tests and the
// soak use them.
package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a failure mode of a Store.
type Fault int

// Failure modes of a Store.
const (
	// NoFault means no fault.
	NoFault Fault = iota
	// Unavailable makes every call answer 503.
	Unavailable
	// Unresponsive accepts calls but does not answer them until the fault ends.
	Unresponsive
	// MissedChanges keeps changes from waking watches: they answer only at their timeout
	// or when the fault ends.
	MissedChanges
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`

	encoded []byte // the JSON encoding of the fields above
}

// Store is an in-memory key-value store with revisions. It serves the platform's
// range and watch calls over HTTP. Each response carries the store's era, which rises
// by one at each restore, in the header Store-Era.
type Store struct {
	mu           sync.Mutex
	era          uint64
	rev          uint64
	items        map[string]item
	history      []item
	compactedRev uint64 // history holds every change after this revision
	fault        Fault
	changed      chan struct{} // closed and replaced at each write, compaction, restore and change of fault
	calls        int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, rev: 1, compactedRev: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put sets a key to the JSON encoding of value.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the caller passed a value that JSON cannot encode
	}
	s.PutBytes(key, b)
}

// PutBytes sets a key to the given bytes.
func (s *Store) PutBytes(key string, b []byte) { s.write(item{Key: key, Value: b}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	var err error
	if i.encoded, err = json.Marshal(i); err != nil {
		panic(err) // all fields can be encoded
	}
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.notify()
}

// SetFault starts a fault, or ends it if f is NoFault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify()
}

// Compact discards the history, so that watches from older revisions get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.notify()
}

// Snapshot is a copy of the keys and the history of a Store. It is immutable.
type Snapshot struct {
	rev          uint64
	items        map[string]item
	history      []item
	compactedRev uint64
}

// Copy returns a copy to which Restore can set back a store.
func (s *Store) Copy() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Snapshot{rev: s.rev, items: maps.Clone(s.items), history: slices.Clone(s.history), compactedRev: s.compactedRev}
}

// Restore sets the store back to a copy and begins a new era. Everything written since
// the copy is lost, and later writes get the revisions of the lost ones. A fault goes on.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.compactedRev = c.rev, c.compactedRev
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.notify()
}

// Calls returns the number of HTTP calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.calls++
	for s.fault == Unresponsive {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	switch {
	case s.fault == Unavailable:
		s.respond(w, http.StatusServiceUnavailable)
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		s.respond(w, http.StatusNotFound)
	}
}

// respond writes a response without a body. The caller holds s.mu.
func (s *Store) respond(w http.ResponseWriter, status int) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
}

// respondItems writes a response with a list of items under a name, and more fields as JSON.
// The items were encoded when they were written: encoding large ones takes longer than a
// client waits for the first byte. The caller has held s.mu since it read the items from the
// store, so that the era and the revision are theirs.
func (s *Store) respondItems(w http.ResponseWriter, name string, items []item, more string) {
	s.respond(w, http.StatusOK)
	fmt.Fprintf(w, `{"at":%d%s,"%s":[`, s.rev, more, name)
	for i, it := range items {
		if i > 0 {
			io.WriteString(w, ",")
		}
		w.Write(it.encoded)
	}
	io.WriteString(w, "]}")
}

// pageSize is small so that clients have to read several pages.
const pageSize = 3

// serveRange writes one page of keys in order. The caller holds s.mu.
func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	page := make([]item, 0, pageSize)
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageSize
	if more {
		page = page[:pageSize]
	}
	s.respondItems(w, "items", page, fmt.Sprintf(`,"has_more":%v`, more))
}

// serveWatch answers with the changes after a revision; it waits for one until
// the wait time is over. If the store does not have the revision, because its history
// was discarded or it was restored from an older copy, serveWatch answers 410. The
// caller holds s.mu, which is released while waiting.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for timedOut := false; ; {
		if after < s.compactedRev || after > s.rev {
			s.respond(w, http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if s.fault != MissedChanges && len(events) > 0 || timedOut {
			s.respondItems(w, "events", events, "")
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}
