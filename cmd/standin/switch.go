package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// This file implements the fault switches. They are fields of a struct that is
// replaced as a whole, so that request handlers read it without a lock.

// switches holds the current values of the fault switches, which are the fields of
// T.
type switches[T any] struct {
	values atomic.Pointer[T]
	mu     sync.Mutex // serialises changes
	// validate rejects invalid values.
	validate func(T) error
	// changed is called with mu held after each accepted change.
	changed func(old, now *T)
}

// newSwitches returns switches with the given initial values.
func newSwitches[T any](initial T, validate func(T) error, changed func(old, now *T)) *switches[T] {
	s := &switches[T]{validate: validate, changed: changed}
	s.values.Store(&initial)
	return s
}

// load returns the current values, which must not be modified.
func (s *switches[T]) load() *T { return s.values.Load() }

// set applies a JSON object. Fields that it does not name keep their value.
func (s *switches[T]) set(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.values.Load()
	next := *old
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		return err
	}
	if err := s.validate(next); err != nil {
		return err
	}
	s.values.Store(&next)
	s.changed(old, &next)
	return nil
}

// ServeHTTP responds with the current values. A POST request changes them first.
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
