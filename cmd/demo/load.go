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

// This file sends the requests. It is an open loop: a slow fleet gets as many
// requests a second as a fast one, so that slowness shows in the latency.

// maxInFlight bounds the requests without an answer.
const maxInFlight = 512

// sent is one request and what became of it.
type sent struct {
	call     *call
	customer *customer
	id, key  string
	repeat   bool
	status   int
	outcome  string
	foreign  bool // the answer was that of another request
	cut      bool // no complete answer
	took     time.Duration
}

// load sends requests and keeps their ends.
type load struct {
	d     *running
	total int // of the weights
	// repeats is the share of keyed requests that are sent once more under the
	// same key, as a caller does whose connection broke.
	repeats float64

	mu      sync.Mutex
	ends    []sent
	skipped int // not sent because maxInFlight were unanswered
	took    time.Duration
}

func newLoad(d *running, repeats float64) *load {
	l := &load{d: d, repeats: repeats}
	for _, c := range d.deployment.calls {
		l.total += c.weight
	}
	return l
}

// run sends requests until the length is over and waits for their answers.
func (l *load) run(ctx context.Context, rate int, length time.Duration) error {
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
		// A ticker drops ticks when the machine is busy; send what is due.
		for due := int(time.Since(start).Seconds() * float64(rate)); n < due; n++ {
			s := l.draw()
			if !g.TryGo(func() error { l.send(ctx, s); return nil }) {
				l.skipped++
			}
		}
	}
	g.Wait()
	l.took = time.Since(start)
	return context.Cause(ctx)
}

// draw chooses the next request.
func (l *load) draw() sent {
	s := sent{id: uuid7()}
	at := mrand.IntN(l.total)
	for i := range l.d.deployment.calls {
		if s.call = &l.d.deployment.calls[i]; at < s.call.weight {
			break
		}
		at -= s.call.weight
	}
	for {
		s.customer = &l.d.customers[mrand.IntN(len(l.d.customers))]
		if s.customer.internal || !s.call.internal {
			break
		}
	}
	if s.call.keyed {
		s.key = uuid7()
	}
	return s
}

// send sends one request and perhaps its repetition.
func (l *load) send(ctx context.Context, s sent) {
	l.exchange(ctx, &s)
	l.keep(s)
	if s.key == "" || mrand.Float64() >= l.repeats {
		return
	}
	again := sent{call: s.call, customer: s.customer, id: uuid7(), key: s.key, repeat: true}
	l.exchange(ctx, &again)
	l.keep(again)
}

func (l *load) keep(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, s)
}

// exchange sends a request to a random node and reads the whole answer.
func (l *load) exchange(ctx context.Context, s *sent) {
	h := l.d.Hosts[mrand.IntN(len(l.d.Hosts))]
	url := fmt.Sprintf("http://%s/%s%s", h.Listen, s.call.route.Service, s.call.path)
	r, err := http.NewRequestWithContext(ctx, s.call.route.Method, url, bytes.NewReader([]byte(s.call.body)))
	if err != nil {
		panic(err) // the fleets in this package have valid paths
	}
	r.Header.Set("Authorization", "Bearer "+s.customer.token)
	r.Header.Set("Primrosethread-Request-Id", s.id)
	r.Header.Set("Request-Timeout", "5000")
	if s.call.body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	if s.key != "" {
		r.Header.Set("Idempotency-Key", s.key)
	}
	begin := time.Now()
	a, err := l.d.client.Do(r)
	if err != nil {
		s.cut, s.took = true, time.Since(begin)
		return
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	s.took, s.status, s.outcome = time.Since(begin), a.StatusCode, a.Header.Get("Primrosethread-Outcome")
	if err != nil {
		s.cut = true
		return
	}
	if a.StatusCode == http.StatusOK {
		var own struct{ Request, Key string }
		err := json.Unmarshal(body, &own)
		// A repetition gets the answer of the first request under its key.
		s.foreign = err != nil || own.Key != s.key || (own.Request != s.id && !s.repeat)
	}
}

// uuid7 returns a UUID of version 7 (RFC 9562), which carries its time.
func uuid7() string {
	var b [16]byte
	rand.Read(b[6:])
	binary.BigEndian.PutUint64(b[:8], uint64(time.Now().UnixMilli())<<16|uint64(binary.BigEndian.Uint16(b[6:8])))
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// newHistogram returns a histogram of microseconds up to the client's timeout.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
