// Package stand holds stand-ins for the users' platform: its store and the
// servers of applications. Tests and the soak use them.
package stand

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a Store does wrong.
type Fault int

// The faults of a Store.
const (
	// Well is no fault.
	Well Fault = iota
	// Busy answers 503.
	Busy
	// Silent accepts calls and answers nothing until the fault ends.
	Silent
	// Deaf lets watches that wait miss every change until the fault ends.
	Deaf
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store keeps keys with revisions and serves the platform's reading calls.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	from    uint64 // the oldest revision that history goes back to
	fault   Fault
	changed chan struct{} // closed at every change and every fault
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, from: 1, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the caller's value is not data
	}
	s.PutBytes(key, b)
}

// PutBytes writes a key's bytes.
func (s *Store) PutBytes(key string, b []byte) { s.write(item{Key: key, Value: b}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.wake()
}

// SetFault begins a fault or, with Well, ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.from = nil, s.rev
	s.wake()
}

// Calls returns the number of calls so far.
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
	for s.fault == Silent {
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
	case s.fault == Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageSize is small, so that readers have to take several pages.
const pageSize = 3

// serveRange answers a page of keys. The caller holds s.mu.
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
	json.NewEncoder(w).Encode(map[string]any{"items": page, "has_more": more, "at": s.rev})
}

// serveWatch waits for changes. The caller holds s.mu.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	over := time.NewTimer(wait)
	defer over.Stop()
	for done := false; ; {
		if after < s.from {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if s.fault != Deaf && len(events) > 0 || done {
			json.NewEncoder(w).Encode(map[string]any{"events": events, "at": s.rev})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-over.C:
			done = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}
