package main

import (
	"net/http"
	"sync"
)

// maxLedger bounds the entries of each map of a ledger.
const maxLedger = 1 << 20

// ledger counts every request that ran, so that anyone can count runs that
// happened twice, here or at two servers. A request counts as run from the
// moment at which the server begins with it, whatever becomes of it.
type ledger struct {
	mu       sync.Mutex
	runs     int64
	requests map[string]int
	keys     map[string]int
	// overflow counts the runs that the maps had no room for. Sums over a
	// ledger are complete only while it is zero.
	overflow int64
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]int), keys: make(map[string]int)}
}

// record counts one run and returns which run of its request id it is.
func (l *ledger) record(request, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	l.add(l.keys, key)
	return l.add(l.requests, request)
}

func (l *ledger) add(m map[string]int, k string) int {
	if k == "" {
		return 0
	}
	if _, ok := m[k]; !ok && len(m) >= maxLedger {
		l.overflow++
		return 0
	}
	m[k]++
	return m[k]
}

// ServeHTTP answers with all counts.
func (l *ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Runs, Overflow int64
		Requests, Keys map[string]int
	}{l.runs, l.overflow, l.requests, l.keys})
}
