package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

// Bounds of the promises.
const (
	drainBound    = 2 * time.Second
	evacuateBound = 5 * time.Second
	routesBound   = 2 * time.Second
	coldSlack     = 5
	// served is the least share of requests that is served after the faults.
	served   = 0.99
	clients  = 4 // for each host
	deadline = time.Second
)

// ended is a request as its client saw it.
type ended struct {
	id, path string
	host     *host
	sent     time.Time
	took     time.Duration
	status   int // 0 if there was no answer
	body     string
	err      error
	calm     bool // neither the host nor the store was harmed meanwhile
}

// run plays one seed and returns a line on it, and what was broken.
func run(ctx context.Context, c config) (report string, err error) {
	w, err := newWorld(c)
	if err != nil {
		return "not started", err
	}
	defer w.close()
	starting, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := w.ready(starting); err != nil {
		return "not started", err
	}
	all := &results{}
	loading, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i, h := range w.hosts {
		for k := range clients {
			load.Go(func() { w.client(loading, h, rand.New(rand.NewPCG(c.seed, uint64(100+i*clients+k))), all) })
		}
	}
	faulty, stopFaults := context.WithTimeout(ctx, c.length)
	var injecting sync.WaitGroup
	for half := range 2 {
		injecting.Go(func() { w.inject(faulty, half) })
	}
	injecting.Wait()
	stopFaults()
	// The first seconds without faults are for recovery.
	waits.Sleep(ctx, touch+2*time.Second)
	calmFrom := time.Now()
	waits.Sleep(ctx, 2*time.Second)
	stopLoad()
	load.Wait()
	w.checkAnswers(all.list, calmFrom)
	w.checkRuns(all.list)
	report = fmt.Sprintf("%d requests, %d served", len(all.list), all.count(func(e ended) bool { return e.status == 200 }))
	if len(w.broken) > 0 {
		return report, errors.New("broken: " + strings.Join(w.broken, "\n        ") + "\n        logs in " + w.folder)
	}
	if c.folder == "" {
		os.RemoveAll(w.folder)
	}
	return report, nil
}

// results collects the ends of requests.
type results struct {
	mu   sync.Mutex
	list []ended
}

func (r *results) add(e ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, e)
}

func (r *results) count(f func(ended) bool) (n int) {
	for _, e := range r.list {
		if f(e) {
			n++
		}
	}
	return n
}

var ids atomic.Int64

// client sends requests to the node of its host, on connections that it keeps
// until they break.
func (w *world) client(ctx context.Context, h *host, r *rand.Rand, all *results) {
	d := net.Dialer{Timeout: time.Second}
	// One connection, and no repeats by the library.
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(20+r.IntN(60))*time.Millisecond)
		path := []string{"/safe/", "/unsafe/", "/other/"}[r.IntN(3)]
		all.add(w.send(client, h, path, r))
	}
}

func (w *world) send(client *http.Client, h *host, path string, r *rand.Rand) ended {
	e := ended{id: fmt.Sprintf("q-%d", ids.Add(1)), path: path, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if path == "/unsafe/" {
		method, body = http.MethodPost, bytes.NewReader(make([]byte, r.IntN(4000)))
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%sx", h.ip, portCallers, path), body)
	if err != nil {
		e.err = err
		return e
	}
	q.GetBody = nil // net/http repeats a request whose body it can read again
	q.Host = "a.example"
	q.Header.Set("X-Attempt-Id", e.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("X-Caller-Service", "forged")
	resp, err := client.Do(q)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		e.status, e.body = resp.StatusCode, string(b)
		if err == nil && resp.StatusCode == 200 && resp.Header.Get("X-Response-Seal") != "seal-"+e.id {
			w.fail("request %s got an answer with the seal %q", e.id, resp.Header.Get("X-Response-Seal"))
		}
	}
	e.err, e.took = err, time.Since(e.sent)
	e.calm = h.calm(e.sent) && w.wellSince(e.sent)
	return e
}

// checkAnswers checks what clients saw.
func (w *world) checkAnswers(list []ended, calmFrom time.Time) {
	calm, good := 0, 0
	for _, e := range list {
		if e.status == 200 && e.err == nil && !strings.Contains(e.body, " answers "+e.id+" with ") {
			w.fail("request %s got the body %q", e.id, e.body)
		}
		if e.sent.After(calmFrom) {
			calm++
			if e.status == 200 {
				good++
			} else {
				fmt.Printf("not served after the faults: %s %s at %s, status %d, %v, %v\n", e.id, e.path, e.host.name, e.status, e.took, e.err)
			}
		}
	}
	if float64(good) < served*float64(calm) {
		w.fail("%d of %d requests were served after the faults had ended", good, calm)
	}
}

// checkQuiet checks that a server which was published as leaving gets no request
// after a bound. Hosts that were harmed meanwhile are left out.
func (w *world) checkQuiet(h *host, why string, at time.Time, bound time.Duration) {
	for _, o := range w.hosts {
		if !o.calm(at) {
			return
		}
	}
	if !w.wellSince(at) {
		return
	}
	for _, r := range h.app.Runs() {
		if r.At.After(at.Add(bound)) {
			w.fail("host %s, %s since %s, ran %s at %s", h.name, why, at.Format("05.000"), r.ID, r.At.Format("05.000"))
		}
	}
}

// allowed reports whether a request of the path /safe/ may run at a service.
func (w *world) allowed(e ended, service string, at time.Time) bool {
	for i, m := range w.moves {
		over := i+1 < len(w.moves) && w.moves[i+1].at.Before(e.sent.Add(-routesBound))
		if m.service == service && !over && m.at.Before(at) {
			return true
		}
	}
	return false
}

// checkRuns checks what servers saw, against what clients were told.
func (w *world) checkRuns(list []ended) {
	by := make(map[string]ended, len(list))
	for _, e := range list {
		by[e.id] = e
	}
	runs := make(map[string]int)
	for _, h := range w.hosts {
		var times []time.Time
		for _, r := range h.app.Runs() {
			runs[r.ID]++
			times = append(times, r.At)
			e, known := by[r.ID]
			switch {
			case !known:
				w.fail("host %s ran %q, which no client sent", h.name, r.ID)
			case r.Origin != e.host.app.Service:
				w.fail("request %s ran with the origin %q", r.ID, r.Origin)
			case !strings.HasPrefix(r.Path, e.path):
				w.fail("request %s for %s ran as %s", r.ID, e.path, r.Path)
			case e.path == "/safe/" && e.calm && !w.allowed(e, h.app.Service, r.At):
				w.fail("request %s of host %s ran by old routes at %s", r.ID, e.host.name, r.At.Format("05.000"))
			}
		}
		w.checkRate(h, times)
	}
	for id, n := range runs {
		e := by[id]
		if e.calm && e.status == 0 && !errors.Is(e.err, context.DeadlineExceeded) {
			w.fail("request %s at host %s, sent at %s, has run and its connection ended: %v", id, e.host.name, e.sent.Format("05.000"), e.err)
		}
		if e.path == "/unsafe/" && n > 1 {
			w.fail("request %s ran %d times", id, n)
		}
		if e.path == "/unsafe/" && e.status == 503 {
			w.fail("request %s has run and its client was told that it has not", id)
		}
	}
}

// checkRate checks the starts of requests in the second after each restart. All
// starts of an App are counted, so the bound is that of a cold server.
func (w *world) checkRate(h *host, times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for _, s := range h.app.Starts() {
		n := 0
		for _, t := range times {
			if t.After(s) && t.Before(s.Add(coldFor)) {
				n++
			}
		}
		if n > int(coldRate)+coldSlack {
			w.fail("host %s got %d requests in its first second", h.name, n)
		}
	}
}
