package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record holds what clients, servers and the platform have seen.
type record struct {
	mu       sync.Mutex
	started  time.Time
	lines    []line
	requests map[string]*request
}

type line struct {
	at   time.Time
	text string
}

// request is one attempt of a client.
type request struct {
	id, machine, method, path string
	sentAt, endedAt           time.Time
	status                    int    // 0 if there was no answer
	seal                      string // X-Response-Seal
	failure                   string
	arrivals                  []arrival
	runs                      int
}

type arrival struct {
	at     time.Time
	server string
}

func newRecord() *record {
	return &record{started: time.Now(), requests: make(map[string]*request)}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Now(), fmt.Sprintf(format, args...)})
}

func (r *record) sent(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
	r.lines = append(r.lines, line{q.sentAt, fmt.Sprintf("client on %s sends %s %s %s", q.machine, q.id, q.method, q.path)})
}

func (r *record) answered(q *request, status int, seal, failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.endedAt, q.status, q.seal, q.failure = time.Now(), status, seal, failure
	text := fmt.Sprintf("client gets %d for %s", status, q.id)
	if status == 0 {
		text = fmt.Sprintf("client gets no answer to %s: %s", q.id, failure)
	} else if seal != "" {
		text += ", with a seal"
	}
	r.lines = append(r.lines, line{q.endedAt, text})
}

func (r *record) arrived(id, server string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.arrivals = append(q.arrivals, arrival{at, server})
	}
	r.lines = append(r.lines, line{at, fmt.Sprintf("%s reaches server %s", id, server)})
}

func (r *record) ran(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.runs++
	}
	r.lines = append(r.lines, line{time.Now(), fmt.Sprintf("server %s runs %s", server, id)})
}

// all returns the requests in the order in which they were sent.
func (r *record) all() []*request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*request
	for _, q := range r.requests {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *request) int { return a.sentAt.Compare(b.sentAt) })
	return all
}

// write writes the record to a file, with the verdict first.
func (r *record) write(path string, verdict []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	var b strings.Builder
	for _, v := range verdict {
		b.WriteString(v + "\n")
	}
	b.WriteString("\nseconds since the start\n")
	for _, l := range r.lines {
		fmt.Fprintf(&b, "%9.4f  %s\n", l.at.Sub(r.started).Seconds(), l.text)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
