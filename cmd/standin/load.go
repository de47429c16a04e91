package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// reporter answers GET /load. Its reports lag: they are taken at most once in
// each period of the lag. With the fault Mislead they are also wrong, as those
// of a server that counts only some of its threads.
type reporter struct {
	server *server
	lag    time.Duration

	mu    sync.Mutex
	last  loadReport
	taken time.Time
}

// loadReport is the load as the server tells it.
type loadReport struct {
	InFlight int
	// Start is a random id that changes when the server restarts.
	Start    string
	UptimeMs int64
	Draining bool
}

func (p *reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.taken.IsZero() || now.Sub(p.taken) >= p.lag {
		p.last, p.taken = p.server.report(now), now
		if rand.Float64() < p.server.fault.load().Mislead {
			p.last.InFlight = rand.IntN(2*p.server.slots + 1)
		}
	}
	writeJSON(w, http.StatusOK, p.last)
}

// report returns the true load.
func (s *server) report(now time.Time) loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loadReport{
		InFlight: s.inFlight,
		Start:    strconv.FormatUint(s.startID, 16),
		UptimeMs: now.Sub(s.started).Milliseconds(),
		Draining: s.fault.load().Drain,
	}
}
