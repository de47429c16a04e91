package main

import (
	"net/http"
	"sync"
)

// maxLedgerEntries limits the size of each map of a ledger.
const maxLedgerEntries = 1 << 20

// ledger counts the executions of each request by request id and by idempotency
// key, so that tests can find requests that were executed more than once, at one
// server or at several. A request counts as executed as soon as the server starts
// it, whatever its result.
type ledger struct {
	mu       sync.Mutex
	runs     int64
	requests map[string]int
	keys     map[string]int
	// overflow counts the increments that were dropped because a map was full. The
	// counts are complete only while it is zero.
	overflow int64
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]int), keys: make(map[string]int)}
}

// record counts one execution, and returns how often the request id was executed
// so far.
func (l *ledger) record(request, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	l.increment(l.keys, key)
	return l.increment(l.requests, request)
}

// increment returns the new count of k in m, or 0 if k is empty or m is full.
func (l *ledger) increment(m map[string]int, k string) int {
	if k == "" {
		return 0
	}
	if _, ok := m[k]; !ok && len(m) >= maxLedgerEntries {
		l.overflow++
		return 0
	}
	m[k]++
	return m[k]
}

// ServeHTTP responds with all counts.
func (l *ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Runs, Overflow int64
		Requests, Keys map[string]int
	}{l.runs, l.overflow, l.requests, l.keys})
}
