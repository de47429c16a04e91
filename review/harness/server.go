package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for an application server. It follows the section "Servers" of
// PROTOCOL.md: slots and a queue, its load in each answer, X-Expect-Instance, and a time
// after its start in which it is cold.
type server struct {
	record  *record
	service string
	address string
	slots   int
	queue   int
	work    time.Duration

	mu        sync.Mutex
	id        string
	running   int
	waiting   int
	free      chan struct{} // one value for each free slot
	coldUntil time.Time
	arrivals  []arrival
	crashAt   int // requests within a second at which a cold server crashes; 0 for never
	http      *http.Server
	exited    bool
	leaving   bool
}

// arrival is a request that a server began to run.
type arrival struct {
	id, caller string
	at         time.Time
	cold       bool
}

// start listens and serves.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.free = make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go s.http.Serve(listener)
	return nil
}

// exit ends the server with all its connections, as the end of its process does.
func (s *server) exit() {
	s.mu.Lock()
	s.exited = true
	s.mu.Unlock()
	s.record.write("server %s exits", s.id)
	s.http.Close()
}

// becomeCold makes the server cold for a time from now on.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
	s.record.write("server %s is cold for %v", s.id, d)
}

// leave makes the server say that it is leaving, in its health checks and by closing the
// connections of its answers. It goes on serving.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.record.write("server %s is leaving", s.id)
}

// load returns the value of X-Server-Load. The caller holds s.mu.
func (s *server) load() string { return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots) }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	s.mu.Lock()
	if s.leaving {
		h.Set("Connection", "close")
	}
	s.mu.Unlock()
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	_, err := io.Copy(io.Discard, r.Body)
	switch {
	case err != nil:
		return // the caller has gone
	case id == "":
		reject(w, http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		ms = 10_000
	}
	deadline := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer deadline.Stop()
	if !s.takeSlot(r, deadline) {
		s.mu.Lock()
		h.Set("X-Server-Load", s.load())
		s.mu.Unlock()
		reject(w, http.StatusServiceUnavailable)
		return
	}
	crash := s.begin(arrival{id: id, caller: r.Header.Get("X-Caller-Service"), at: time.Now()})
	if crash {
		go s.exit()
	}
	status := http.StatusOK
	work := time.NewTimer(s.work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		status = 0 // the connection has closed: the work is dropped
	}
	s.mu.Lock()
	s.running--
	h.Set("X-Server-Load", s.load())
	s.mu.Unlock()
	s.free <- struct{}{}
	if status == 0 {
		s.record.write("server %s drops %s at work, its connection has closed", s.id, id)
		return
	}
	s.record.write("server %s answers %s with %d", s.id, id, status)
	h.Set("X-Response-Seal", "seal-"+s.id+"-"+id)
	w.WriteHeader(status)
	if status == http.StatusOK {
		fmt.Fprintf(w, "%s of %s answers %s", s.id, s.service, id)
	}
}

// reject answers a request that isn't run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// takeSlot waits in the queue for a slot. It returns false if the request is rejected.
func (s *server) takeSlot(r *http.Request, deadline *time.Timer) bool {
	s.mu.Lock()
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case <-s.free:
		return true
	case <-deadline.C:
	case <-r.Context().Done():
	}
	return false
}

// begin records a request that begins to run. It reports whether the server crashes by it.
func (s *server) begin(a arrival) (crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	a.cold = a.at.Before(s.coldUntil)
	s.arrivals = append(s.arrivals, a)
	s.record.write("server %s runs %s", s.id, a.id)
	if !a.cold || s.crashAt == 0 || s.exited {
		return false
	}
	n := s.recentCold(a.at)
	if n < s.crashAt {
		return false
	}
	s.exited = true
	s.record.write("cold server %s has got %d requests within a second and crashes", s.id, n)
	return true
}

// recentCold returns the number of requests within the last second that the server has got
// while it was cold. The caller holds s.mu.
func (s *server) recentCold(now time.Time) (n int) {
	for _, a := range s.arrivals {
		if a.cold && now.Sub(a.at) < time.Second {
			n++
		}
	}
	return n
}

// awaitCold waits until a cold server has got a number of requests within a second, but not
// longer than the time given.
func (s *server) awaitCold(requests int, most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		n := s.recentCold(time.Now())
		s.mu.Unlock()
		if n >= requests {
			return
		}
	}
}

const healthPath = "/healthz"

func (s *server) serveHealth(w http.ResponseWriter) {
	h := w.Header()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set("X-Instance-Id", s.id)
	h.Set("X-Server-Load", s.load())
	if left := time.Until(s.coldUntil); left > 0 {
		h.Set("X-Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ran returns the requests that the server began to run.
func (s *server) ran() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
