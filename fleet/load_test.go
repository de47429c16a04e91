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

// The load generator is an open loop: it sends the same number of requests a
// second to a slow fleet as to a fast one. It records every request and what its
// caller saw.

const (
	loadRate = 150 // requests per second
	// requestTimeout is the Request-Timeout that callers send. Processes are frozen
	// for longer than that.
	requestTimeout = 1500 * time.Millisecond
	// callerTimeout bounds a caller's wait. A running node answers long before, so
	// a caller that gives up on one has found a bug.
	callerTimeout = 15 * time.Second
	maxInFlight   = 1024
	maxRepeats    = 4
)

// requestKind is one kind of request; its share of the load is proportional to its
// weight.
type requestKind struct {
	weight     int
	service    prim.Service
	method     string
	path       string
	body       string
	idempotent bool
	keyed      bool
}

// customer is a customer that sends load. Rate and burst apply at each service
// separately.
type customer struct {
	name        prim.Customer
	rate, burst float64
	token       string
}

// record is one request and the answer that its caller saw.
type record struct {
	kind      *requestKind
	customer  *customer
	id, key   string
	repeat    bool
	ingress   *fleet.Host
	sent      time.Time
	ended     time.Time
	status    int
	outcome   string
	err       error // set if there was no complete answer
	unsent    bool  // the connection was refused, so nothing was sent
	answer    struct{ Request, Key, Path, Filler string }
	malformed error  // why the body of a complete HTTP answer is invalid
	detail    string // title and detail of a problem document
}

// logicalID returns an identifier that a request shares with its repeats.
func (r *record) logicalID() string {
	if r.key != "" {
		return r.key
	}
	return r.id
}

type loadGenerator struct {
	requestKinds []requestKind
	customers    []customer
	hosts        []*fleet.Host
	client       *http.Client

	mu      sync.Mutex
	random  *rand.Rand // for repeats
	avoided map[*fleet.Host]int
	records []*record
	skipped int
}

func newLoadGenerator(d *deployment, hosts []*fleet.Host, seed uint64) *loadGenerator {
	return &loadGenerator{requestKinds: d.requestKinds, customers: d.customers, hosts: hosts,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		random:  rand.New(rand.NewPCG(seed, 3)),
		avoided: make(map[*fleet.Host]int)}
}

// avoid stops sending to a node that is about to stop, as real callers do by their
// own choice of nodes, until the returned function is called.
func (l *loadGenerator) avoid(h *fleet.Host) (resume func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided[h]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.avoided[h]--
	}
}

// chooseIngress returns a random node that is neither the given one nor avoided.
// The caller holds l.mu.
func (l *loadGenerator) chooseIngress(random *rand.Rand, other *fleet.Host) *fleet.Host {
	for {
		h := l.hosts[random.IntN(len(l.hosts))]
		if h != other && l.avoided[h] == 0 {
			return h
		}
	}
}

// run sends requests until stop is closed and waits until they have ended.
func (l *loadGenerator) run(ctx context.Context, stop <-chan struct{}, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	total := 0
	for _, c := range l.requestKinds {
		total += c.weight
	}
	var running sync.WaitGroup
	defer running.Wait()
	inFlight := make(chan struct{}, maxInFlight)
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
		draw := random.IntN(total)
		for i := range l.requestKinds {
			if r.kind = &l.requestKinds[i]; draw < r.kind.weight {
				break
			}
			draw -= r.kind.weight
		}
		r.customer = &l.customers[random.IntN(len(l.customers))]
		if r.kind.keyed {
			r.key = uuid7()
		}
		l.mu.Lock()
		r.ingress = l.chooseIngress(random, nil)
		l.mu.Unlock()
		select {
		case inFlight <- struct{}{}:
			running.Go(func() {
				l.send(ctx, r)
				<-inFlight
			})
		default:
			l.skipped++
		}
	}
}

// send sends a request. It repeats a keyed request through another node while the
// outcome is unknown, and one in ten even though the outcome is known.
func (l *loadGenerator) send(ctx context.Context, r *record) {
	l.exchange(ctx, r)
	for n := 0; r.key != "" && n < maxRepeats; n++ {
		unknown := r.outcome == prim.Unknown.String() || r.err != nil && !r.unsent
		l.mu.Lock()
		shouldRepeat := unknown || n == 0 && l.random.IntN(10) == 0
		next := &record{kind: r.kind, customer: r.customer, id: uuid7(), key: r.key, repeat: true,
			ingress: l.chooseIngress(l.random, r.ingress)}
		l.mu.Unlock()
		if !shouldRepeat || ctx.Err() != nil {
			return
		}
		if n > 0 {
			time.Sleep(300 * time.Millisecond)
		}
		r = next
		l.exchange(ctx, r)
	}
}

// exchange sends one request, reads the whole answer and appends the record.
func (l *loadGenerator) exchange(ctx context.Context, r *record) {
	defer func() {
		r.ended = time.Now()
		l.mu.Lock()
		l.records = append(l.records, r)
		l.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s%s", r.ingress.Listen, r.kind.service, r.kind.path)
	req, err := http.NewRequestWithContext(ctx, r.kind.method, url, bytes.NewReader([]byte(r.kind.body)))
	if err != nil {
		r.err = err
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.customer.token)
	req.Header.Set("Primrosethread-Request-Id", r.id)
	req.Header.Set("Request-Timeout", fmt.Sprint(requestTimeout.Milliseconds()))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	r.sent = time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		r.err, r.unsent = err, errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.outcome = resp.StatusCode, resp.Header.Get("Primrosethread-Outcome")
	if err != nil {
		r.err = err
		return
	}
	if resp.StatusCode == http.StatusOK {
		if r.malformed = json.Unmarshal(body, &r.answer); r.malformed == nil && strings.Trim(r.answer.Filler, "abcdefghijklmnopqrstuvwxyz") != "" {
			r.malformed = errors.New("the filler of the answer has unexpected bytes")
		}
		r.answer.Filler = ""
	} else if len(body) < 2000 {
		var problem struct{ Title, Detail string }
		json.Unmarshal(body, &problem)
		r.detail = problem.Title + ": " + problem.Detail
	}
}

// allRecords returns the records; call it after run has returned.
func (l *loadGenerator) allRecords() []*record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records
}

// uuid7 returns a version 7 UUID (RFC 9562), which contains its creation time.
func uuid7() string {
	var b [16]byte
	crand.Read(b[6:])
	binary.BigEndian.PutUint64(b[:8], uint64(time.Now().UnixMilli())<<16|uint64(binary.BigEndian.Uint16(b[6:8])))
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}
