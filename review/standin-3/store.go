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

// store is a stand-in for the platform's metadata store, as a reader sees it. It is always up.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	events  []storeItem
	changed chan struct{} // closed at the next change
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() *store {
	return &store{rev: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// put writes an item.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the callers pass maps of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = storeItem{Key: key, Value: b, Rev: s.rev, Created: created}
	s.record(s.items[key])
}

// record adds an event. The caller holds s.mu.
func (s *store) record(e storeItem) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store at an address until the listener is closed.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	http.Serve(l, mux) // ends with the listener
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := make([]storeItem, 0, len(s.items))
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, item)
		}
	}
	at := s.rev
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": page, "has_more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := make([]storeItem, 0)
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
