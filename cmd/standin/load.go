package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// loadReporter serves GET /load. Its reports are outdated: a report is reused until
// its age reaches maxAge. With the fault Mislead some reports are also wrong, as
// from a server that counts only some of its threads.
type loadReporter struct {
	server *server
	maxAge time.Duration

	mu         sync.Mutex
	report     loadReport
	reportTime time.Time
}

// loadReport is the load that the server reports.
type loadReport struct {
	InFlight int
	// Start is a random id that changes when the server restarts.
	Start    string
	UptimeMs int64
	Draining bool
}

func (p *loadReporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.reportTime.IsZero() || now.Sub(p.reportTime) >= p.maxAge {
		p.report, p.reportTime = p.server.currentLoad(now), now
		if rand.Float64() < p.server.faults.load().Mislead {
			p.report.InFlight = rand.IntN(2*p.server.slots + 1)
		}
	}
	writeJSON(w, http.StatusOK, p.report)
}

// currentLoad returns the actual load.
func (s *server) currentLoad(now time.Time) loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loadReport{
		InFlight: s.inFlight,
		Start:    strconv.FormatUint(s.startID, 16),
		UptimeMs: now.Sub(s.started).Milliseconds(),
		Draining: s.faults.load().Drain,
	}
}
