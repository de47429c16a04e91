package fleet_test

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// The load is an open loop: a slow fleet gets as many requests a second as a
// fast one. Every request and what its caller saw is kept.

const (
	loadRate = 150 // requests a second
	// deadline is what callers ask for. Frozen processes stay so for longer.
	deadline = 1500 * time.Millisecond
	// patience bounds a caller's wait. A node that runs answers long before, so
	// a caller that gives up at one is a fault.
	patience    = 15 * time.Second
	maxInFlight = 1024
	maxRepeats  = 4
)

// call is one kind of request. Weights are relative.
type call struct {
	weight     int
	service    prim.Service
	method     string
	path       string
	body       string
	idempotent bool
	keyed      bool
}

// customer is one caller. The rate and the burst hold at each service.
type customer struct {
	name        prim.Customer
	rate, burst float64
	token       string
}

// record is one request and what its caller saw.
type record struct {
	call     *call
	customer *customer
	id, key  string
	repeat   bool
	ingress  *fleet.Host
	sent     time.Time
	ended    time.Time
	status   int
	outcome  string
	err      error // no complete answer
	unsent   bool  // the connection was refused
	own      struct{ Request, Key, Path, Filler string }
	malform  error  // the answer is complete for HTTP, but not whole
	detail   string // of a problem
}

// name returns what a request and its repeats have in common.
func (r *record) name() string {
	if r.key != "" {
		return r.key
	}
	return r.id
}

type load struct {
	calls     []call
	customers []customer
	hosts     []*fleet.Host
	client    *http.Client

	mu      sync.Mutex
	random  *rand.Rand // of the repeats
	avoided map[*fleet.Host]int
	records []*record
	skipped int
}

func newLoad(d *deployment, hosts []*fleet.Host, seed uint64) *load {
	return &load{calls: d.calls, customers: d.customers, hosts: hosts,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		random:  rand.New(rand.NewPCG(seed, 3)),
		avoided: make(map[*fleet.Host]int)}
}

// avoid keeps callers from a node that is about to stop, as their own choice of
// nodes does, until the returned function is called.
func (l *load) avoid(h *fleet.Host) (again func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided[h]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.avoided[h]--
	}
}

// ingress chooses a node other than the given one.
func (l *load) ingress(random *rand.Rand, other *fleet.Host) *fleet.Host {
	for {
		h := l.hosts[random.IntN(len(l.hosts))]
		if h != other && l.avoided[h] == 0 {
			return h
		}
	}
}

// run sends requests until stop is closed and waits for their ends.
func (l *load) run(ctx context.Context, stop <-chan struct{}, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	total := 0
	for _, c := range l.calls {
		total += c.weight
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	places := make(chan struct{}, maxInFlight)
	start := time.Now()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(n) * time.Second / loadRate))):
		}
		r := &record{id: uuid7()}
		at := random.IntN(total)
		for i := range l.calls {
			if r.call = &l.calls[i]; at < r.call.weight {
				break
			}
			at -= r.call.weight
		}
		r.customer = &l.customers[random.IntN(len(l.customers))]
		if r.call.keyed {
			r.key = uuid7()
		}
		l.mu.Lock()
		r.ingress = l.ingress(random, nil)
		l.mu.Unlock()
		select {
		case places <- struct{}{}:
			calls.Go(func() {
				l.send(ctx, r)
				<-places
			})
		default:
			l.skipped++
		}
	}
}

// send sends a request, and repeats it under its key through another node when
// its outcome is not known, and sometimes when it is.
func (l *load) send(ctx context.Context, r *record) {
	l.exchange(ctx, r)
	for n := 0; r.key != "" && n < maxRepeats; n++ {
		unknown := r.outcome == prim.Unknown.String() || r.err != nil && !r.unsent
		l.mu.Lock()
		again := unknown || n == 0 && l.random.IntN(10) == 0
		next := &record{call: r.call, customer: r.customer, id: uuid7(), key: r.key, repeat: true,
			ingress: l.ingress(l.random, r.ingress)}
		l.mu.Unlock()
		if !again || ctx.Err() != nil {
			return
		}
		if n > 0 {
			time.Sleep(300 * time.Millisecond)
		}
		r = next
		l.exchange(ctx, r)
	}
}

// exchange sends one request, reads the whole answer and keeps the record.
func (l *load) exchange(ctx context.Context, r *record) {
	defer func() {
		r.ended = time.Now()
		l.mu.Lock()
		l.records = append(l.records, r)
		l.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s%s", r.ingress.Listen, r.call.service, r.call.path)
	q, err := http.NewRequestWithContext(ctx, r.call.method, url, bytes.NewReader([]byte(r.call.body)))
	if err != nil {
		r.err = err
		return
	}
	q.Header.Set("Authorization", "Bearer "+r.customer.token)
	q.Header.Set("Primrosethread-Request-Id", r.id)
	q.Header.Set("Request-Timeout", fmt.Sprint(deadline.Milliseconds()))
	if r.key != "" {
		q.Header.Set("Idempotency-Key", r.key)
	}
	r.sent = time.Now()
	a, err := l.client.Do(q)
	if err != nil {
		r.err, r.unsent = err, errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	r.status, r.outcome = a.StatusCode, a.Header.Get("Primrosethread-Outcome")
	if err != nil {
		r.err = err
		return
	}
	if a.StatusCode == http.StatusOK {
		if r.malform = json.Unmarshal(body, &r.own); r.malform == nil && strings.Trim(r.own.Filler, "abcdefghijklmnopqrstuvwxyz") != "" {
			r.malform = errors.New("the filler is damaged")
		}
		r.own.Filler = ""
	} else if len(body) < 2000 {
		var problem struct{ Title, Detail string }
		json.Unmarshal(body, &problem)
		r.detail = problem.Title + ": " + problem.Detail
	}
}

// all returns the records; call it after run has ended.
func (l *load) all() []*record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records
}

// uuid7 returns a UUID of version 7 (RFC 9562), which carries its time.
func uuid7() string {
	var b [16]byte
	crand.Read(b[6:])
	binary.BigEndian.PutUint64(b[:8], uint64(time.Now().UnixMilli())<<16|uint64(binary.BigEndian.Uint16(b[6:8])))
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}
