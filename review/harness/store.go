package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store or the record of its removal, as PROTOCOL.md shows it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}  // closed and replaced at each write and each cut of the watches
	cuts    int            // number of calls of cutWatches
	polls   map[string]int // watches that don't wait, by the caller's address
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), polls: make(map[string]int), changed: make(chan struct{})}
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put sets a key to the JSON encoding of a value and returns the time of the
// acknowledgement.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the caller passed a value that JSON can't encode
	}
	return s.apply(item{Key: key, Value: b})
}

// remove removes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time { return s.apply(item{Key: key, Tombstone: true}) }

func (s *store) apply(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev, i.Created = s.rev, s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.notify()
	return time.Now()
}

// cutWatches cuts the watches that are waiting: they are answered 503. No other call is
// affected, and the store goes on as before.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts++
	s.notify()
}

// pollsOf returns how often a caller has asked for changes without waiting.
func (s *store) pollsOf(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls[address]
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		if caller, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && wait <= 1 {
			s.polls[caller]++
		}
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// maxPageItems is the number of items of one page of a range.
const maxPageItems = 500

// serveRange answers with one page of items. The caller holds s.mu.
func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	page := make([]item, 0, len(s.items))
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > maxPageItems
	if more {
		page = page[:maxPageItems]
	}
	writeJSON(w, map[string]any{"items": page, "has_more": more, "at": s.rev})
}

// serveWatch answers as soon as there is a change after a revision, or at the end of the
// wait. The caller holds s.mu, which is released while waiting.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	cuts := s.cuts
	for ended := false; ; {
		if s.cuts != cuts {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "at": s.rev})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that has gone needs no answer
}
