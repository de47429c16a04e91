package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// This file holds the fault switches. They are one struct that is replaced as a
// whole, so that the request path reads it without a lock.

// switches holds the current state of the fault switches.
type switches[T any] struct {
	now atomic.Pointer[T]
	mu  sync.Mutex // serialises changes
	// check refuses impossible values.
	check func(T) error
	// changed is called under mu after each accepted change.
	changed func(old, now *T)
}

// newSwitches returns switches in the state that the flags give.
func newSwitches[T any](start T, check func(T) error, changed func(old, now *T)) *switches[T] {
	s := &switches[T]{check: check, changed: changed}
	s.now.Store(&start)
	return s
}

// load returns the current state.
func (s *switches[T]) load() *T { return s.now.Load() }

// set applies a JSON object; fields that it does not name keep their value.
func (s *switches[T]) set(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.now.Load()
	next := *old
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		return err
	}
	if err := s.check(next); err != nil {
		return err
	}
	s.now.Store(&next)
	s.changed(old, &next)
	return nil
}

// ServeHTTP answers GET with the state and POST with the state after the change.
func (s *switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
		if err == nil {
			err = s.set(body)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"Error": err.Error(), "Remedy": "see GET /fault for the fields"})
			return
		}
	}
	writeJSON(w, http.StatusOK, s.load())
}
