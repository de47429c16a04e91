package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// This file generates the load. It is an open-loop generator: the request rate does
// not depend on how fast the fleet responds, so that slowness shows in the latency.

// maxInFlight limits the requests in flight.
const maxInFlight = 512

// result is one request and the response to it.
type result struct {
	kind       *requestKind
	customer   *customer
	id, key    string
	repeat     bool
	status     int
	outcome    string
	mismatched bool // the response belongs to another request
	incomplete bool // no complete response was received
	latency    time.Duration
}

// loadGenerator sends requests and records their results.
type loadGenerator struct {
	fleet       *runningFleet
	totalWeight int // sum of the weights of all request kinds
	// repeats is the fraction of keyed requests that are sent a second time with
	// the same key, as a caller does whose connection was lost.
	repeats float64

	mu      sync.Mutex
	results []result
	skipped int // requests that were not sent because maxInFlight were in flight
	elapsed time.Duration
}

func newLoadGenerator(fleet *runningFleet, repeats float64) *loadGenerator {
	l := &loadGenerator{fleet: fleet, repeats: repeats}
	for _, c := range fleet.deployment.requestKinds {
		l.totalWeight += c.weight
	}
	return l
}

// run sends rate requests per second for the given length, and then waits for the
// responses.
func (l *loadGenerator) run(ctx context.Context, rate int, length time.Duration) error {
	var g errgroup.Group
	g.SetLimit(maxInFlight)
	start := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; time.Since(start) < length; {
		select {
		case <-ctx.Done():
			g.Wait()
			return context.Cause(ctx)
		case <-tick.C:
		}
		// A ticker drops ticks when the machine is busy, so send all requests that
		// are due by now.
		for due := int(time.Since(start).Seconds() * float64(rate)); n < due; n++ {
			s := l.nextRequest()
			if !g.TryGo(func() error { l.send(ctx, s); return nil }) {
				l.skipped++
			}
		}
	}
	g.Wait()
	l.elapsed = time.Since(start)
	return context.Cause(ctx)
}

// nextRequest picks a random request kind and customer for the next request.
func (l *loadGenerator) nextRequest() result {
	s := result{id: uuid7()}
	pick := mrand.IntN(l.totalWeight)
	for i := range l.fleet.deployment.requestKinds {
		if s.kind = &l.fleet.deployment.requestKinds[i]; pick < s.kind.weight {
			break
		}
		pick -= s.kind.weight
	}
	for {
		s.customer = &l.fleet.customers[mrand.IntN(len(l.fleet.customers))]
		if s.customer.internal || !s.kind.internal {
			break
		}
	}
	if s.kind.keyed {
		s.key = uuid7()
	}
	return s
}

// send sends one request, and for a fraction of the keyed requests a second one with
// the same key.
func (l *loadGenerator) send(ctx context.Context, s result) {
	l.exchange(ctx, &s)
	l.record(s)
	if s.key == "" || mrand.Float64() >= l.repeats {
		return
	}
	again := result{kind: s.kind, customer: s.customer, id: uuid7(), key: s.key, repeat: true}
	l.exchange(ctx, &again)
	l.record(again)
}

func (l *loadGenerator) record(s result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, s)
}

// exchange sends a request to a random node and reads the complete response.
func (l *loadGenerator) exchange(ctx context.Context, s *result) {
	h := l.fleet.Hosts[mrand.IntN(len(l.fleet.Hosts))]
	url := fmt.Sprintf("http://%s/%s%s", h.Listen, s.kind.route.Service, s.kind.path)
	req, err := http.NewRequestWithContext(ctx, s.kind.route.Method, url, bytes.NewReader([]byte(s.kind.body)))
	if err != nil {
		panic(err) // cannot fail: the paths of the deployments are valid
	}
	req.Header.Set("Authorization", "Bearer "+s.customer.token)
	req.Header.Set("Primrosethread-Request-Id", s.id)
	req.Header.Set("Request-Timeout", "5000")
	if s.kind.body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}
	start := time.Now()
	resp, err := l.fleet.client.Do(req)
	if err != nil {
		s.incomplete, s.latency = true, time.Since(start)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.latency, s.status, s.outcome = time.Since(start), resp.StatusCode, resp.Header.Get("Primrosethread-Outcome")
	if err != nil {
		s.incomplete = true
		return
	}
	if resp.StatusCode == http.StatusOK {
		var echo struct{ Request, Key string }
		err := json.Unmarshal(body, &echo)
		// A repeated request gets the response of the first request with its key.
		s.mismatched = err != nil || echo.Key != s.key || (echo.Request != s.id && !s.repeat)
	}
}

// uuid7 returns a UUID of version 7 (RFC 9562), which contains its creation time.
func uuid7() string {
	var b [16]byte
	rand.Read(b[6:])
	binary.BigEndian.PutUint64(b[:8], uint64(time.Now().UnixMilli())<<16|uint64(binary.BigEndian.Uint16(b[6:8])))
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// newHistogram returns a latency histogram for 1 µs to one minute. That is longer
// than the client's timeout.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
