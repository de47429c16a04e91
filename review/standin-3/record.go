package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and writes it to the record file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string][]run // by attempt ID
}

// run is one run of a request at a server.
type run struct {
	server, method, target string
	bodyBytes              int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now(), runs: make(map[string][]run)}, nil
}

// event writes a line with the time since the start.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// ran records that a server began to work on a request.
func (r *record) ran(s *server, req *http.Request, id string, body []byte) {
	server := s.serverID()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{server, req.Method, req.RequestURI, len(body)})
	r.write("run      %s at %s: %s %s, body %d", id, server, req.Method, req.RequestURI, len(body))
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}

// verdict writes the last line and returns the exit status: 1 if the rule was broken.
func (r *record) verdict(broken bool, format string, args ...any) int {
	result := "held"
	status := 0
	if broken {
		result, status = "BROKEN", 1
	}
	line := result + ": " + fmt.Sprintf(format, args...)
	r.event("%s", line)
	fmt.Println(line)
	return status
}

func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}
