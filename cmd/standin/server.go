package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	prim "github.com/primrosethread/primrosethread"
)

// This file implements the stand-in for a server of a service. It runs as many
// requests concurrently as it has slots, queues a few more, and sheds the rest
// without running them. After a start it is cold until it has completed some
// requests: it is slower, and requests beyond a small concurrency limit fail.

// Headers of requests and responses between nodes and servers.
const (
	shedHeader     = "Primrosethread-Shed"       // "true": the request did not run
	requestHeader  = "Primrosethread-Request-Id" // counted by the ledger
	keyHeader      = "Idempotency-Key"           // counted by the ledger
	timeoutHeader  = "Request-Timeout"           // remaining time in milliseconds
	sequenceHeader = "Primrosethread-Sequence"   // returned as received
)

// maxRequestBody is the size of the largest accepted request body, in bytes. Nodes send no
// larger ones.
const maxRequestBody = 1 << 20

// serverFaults holds the fault switches of the server.
type serverFaults struct {
	// Slow multiplies the service time.
	Slow float64
	// FailFast is the fraction of requests that fail immediately with status 500.
	FailFast float64
	// Cut is the fraction of responses whose connection is aborted half way.
	Cut float64
	// Mislead is the fraction of load reports that are wrong.
	Mislead float64
	// Cold makes the server cold when it changes from false to true.
	Cold bool
	// Restart does the same when it changes from false to true. It also assigns a
	// new start id and resets every connection.
	Restart bool
	// Drain sheds all new requests.
	Drain bool
	// AnswerBytes is the minimum size of a response body, in bytes.
	AnswerBytes int
}

func validateServerFaults(f serverFaults) error {
	for _, c := range []struct {
		name            string
		value, from, to float64
	}{
		{"Slow", f.Slow, 0.01, 1000}, {"FailFast", f.FailFast, 0, 1}, {"Cut", f.Cut, 0, 1}, {"Mislead", f.Mislead, 0, 1},
		{"AnswerBytes", float64(f.AnswerBytes), 0, 64 << 20},
	} {
		if !(c.value >= c.from && c.value <= c.to) {
			return fmt.Errorf("%s: %v is out of bounds; write %v to %v", c.name, c.value, c.from, c.to)
		}
	}
	return nil
}

// serverConfig holds the flags of the server.
type serverConfig struct {
	slots, connections, queue int
	serviceTime               time.Duration
	serviceTimeSigma          float64       // sigma of the log-normal noise of the service time
	coldCap                   int           // maximum concurrent requests of a cold server; further ones fail
	warmAfter                 int           // completed requests after which a cold server is warm
	coldFactor                float64       // multiplier of the service time of a cold server
	loadMaxAge                time.Duration // maximum age of load reports
	drainTimeout              time.Duration
}

// serverCounts counts requests by result.
type serverCounts struct {
	Arrived, Done, Shed, FailedFast, FailedCold, Cancelled, Expired, Cut atomic.Int64
	// OverSlots counts the requests that arrived while every slot was in use.
	OverSlots atomic.Int64
}

// server is one simulated server. The fields below mu are guarded by it.
type server struct {
	serverConfig
	faults    *switches[serverFaults]
	ledger    *ledger
	journal   journal
	counts    serverCounts
	conns     *limitedListener // nil in tests without a listener
	freeSlots chan struct{}    // holds one token for each free slot

	mu                 sync.Mutex
	inFlight           int // requests that are queued or running
	peak               int // highest value of running
	running            int
	completedSinceCold int // requests completed since the server became cold
	startID            uint64
	started            time.Time
}

func newServer(c serverConfig) *server {
	s := &server{serverConfig: c, ledger: newLedger(), freeSlots: make(chan struct{}, c.slots),
		startID: rand.Uint64() | 1, started: time.Now()}
	for range c.slots {
		s.freeSlots <- struct{}{}
	}
	s.faults = newSwitches(serverFaults{Slow: 1}, validateServerFaults, s.faultChanged)
	return s
}

// faultChanged makes the server cold when Cold or Restart is set.
func (s *server) faultChanged(old, now *serverFaults) {
	restart := now.Restart && !old.Restart
	if !restart && (!now.Cold || old.Cold) {
		return
	}
	s.mu.Lock()
	s.completedSinceCold = 0
	if restart {
		s.startID, s.started = rand.Uint64()|1, time.Now()
	}
	s.mu.Unlock()
	if restart && s.conns != nil {
		// The delay lets the response reach the client that set the switch.
		time.AfterFunc(20*time.Millisecond, s.conns.resetAll)
	}
}

// addControlRoutes adds the routes for tests and operators to m.
func (s *server) addControlRoutes(m *mux.Router) {
	m.Handle("/fault", s.faults).Methods(http.MethodGet, http.MethodPost)
	m.Handle("/ledger", s.ledger).Methods(http.MethodGet)
	m.Handle("/load", &loadReporter{server: s, maxAge: s.loadMaxAge}).Methods(http.MethodGet)
	m.HandleFunc("/counts", s.serveCounts).Methods(http.MethodGet)
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready\n") }).Methods(http.MethodGet)
}

// handler returns the handler of the interface for nodes: the control routes, and
// simulated requests on every other path.
func (s *server) handler() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	s.addControlRoutes(m)
	m.PathPrefix("/").HandlerFunc(s.serveRequest)
	return m
}

// serveRequest handles one simulated request.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if v := r.Header.Get(sequenceHeader); v != "" {
		w.Header().Set(sequenceHeader, v)
	}
	s.counts.Arrived.Add(1)
	s.journal.write(r.Header.Get(requestHeader), r.Header.Get(keyHeader), false)
	ctx := r.Context()
	if value := r.Header.Get(timeoutHeader); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 1 || ms > prim.MaxTimeout.Milliseconds() {
			writeJSON(w, http.StatusBadRequest, map[string]string{"Error": timeoutHeader + " is not a time in ms from 1 to 60000"})
			return
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	// net/http detects a disconnected client only after the body was read in full.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"Error": "the body cannot be read: " + err.Error()})
		return
	}
	if s.faults.load().Drain {
		s.shed(w, "the server is draining")
		return
	}
	if !s.admit() {
		s.shed(w, "every slot is taken and the queue is full")
		return
	}
	defer s.release()
	select {
	case <-s.freeSlots:
		defer func() { s.freeSlots <- struct{}{} }()
	case <-ctx.Done():
	}
	// A slot that becomes free at the deadline must not start an expired request,
	// even if the timer of the context has not fired yet.
	if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && !time.Now().Before(deadline) {
		s.countContextEnd(ctx)
		s.shed(w, "the time ran out before a slot was free")
		return
	}
	s.run(ctx, w, r, len(body))
}

// admit adds a request to the slots and the queue. It returns false if both are
// full.
func (s *server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.slots {
		s.counts.OverSlots.Add(1)
	}
	if s.inFlight >= s.slots+s.queue {
		return false
	}
	s.inFlight++
	return true
}

// release removes a request that admit added.
func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// startRun counts a running request. It returns whether the server is cold, and
// whether it has the capacity for this request.
func (s *server) startRun() (cold, hasCapacity bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	cold = s.completedSinceCold < s.warmAfter
	return cold, !cold || s.running <= s.coldCap
}

// finishRun counts a request as no longer running. A completed request warms the
// server up.
func (s *server) finishRun(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if completed {
		s.completedSinceCold++
	}
}

// run executes a request that has a slot. The request counts as executed as soon as
// run is called, whatever its result.
func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, size int) {
	id, key := r.Header.Get(requestHeader), r.Header.Get(keyHeader)
	run := s.ledger.record(id, key)
	s.journal.write(id, key, true)
	cold, hasCapacity := s.startRun()
	completed := false
	defer func() { s.finishRun(completed) }()
	f := s.faults.load()
	if rand.Float64() < f.FailFast {
		s.counts.FailedFast.Add(1)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"Error": "the server fails"})
		return
	}
	d := s.sampleServiceTime(cold, f.Slow)
	if !hasCapacity {
		s.counts.FailedCold.Add(1)
		sleep(ctx, d)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"Error": "the server is cold and overloaded"})
		return
	}
	if !sleep(ctx, d) {
		s.countContextEnd(ctx)
		writeJSON(w, http.StatusGatewayTimeout, map[string]string{"Error": "the time ran out during the work"})
		return
	}
	completed = true
	s.counts.Done.Add(1)
	s.writeResponse(w, r, response{Request: id, Key: key, Run: run, Path: r.URL.RequestURI(), Read: size}, f)
}

// sampleServiceTime returns a random service time. The noise is log-normal with
// median 1, which gives the long tail of real service times.
func (s *server) sampleServiceTime(cold bool, slow float64) time.Duration {
	d := float64(s.serviceTime) * slow * math.Exp(s.serviceTimeSigma*rand.NormFloat64())
	if cold {
		d *= s.coldFactor
	}
	return time.Duration(d)
}

// response is the body of a response. With it a caller can verify that the response
// belongs to its own request and is complete.
type response struct {
	Request, Key string
	Run          int // number of executions of the request id at this server so far
	Path         string
	Read         int    // bytes of the request body
	Filler       string `json:",omitempty"`
}

// writeResponse writes the response body. For the fraction of responses that Cut
// sets, it writes one half and aborts the connection.
func (s *server) writeResponse(w http.ResponseWriter, r *http.Request, resp response, f *serverFaults) {
	if f.AnswerBytes > 0 {
		resp.Filler = filler(f.AnswerBytes)
	}
	if rand.Float64() >= f.Cut {
		writeJSON(w, http.StatusOK, resp)
		return
	}
	s.counts.Cut.Add(1)
	b, err := json.Marshal(resp)
	if err != nil {
		panic(err) // cannot fail: all fields are strings or numbers
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	w.Write(b[:len(b)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// filler returns n bytes of text.
func filler(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	return string(b)
}

// countContextEnd counts a request whose context was cancelled or expired.
func (s *server) countContextEnd(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		s.counts.Cancelled.Add(1)
	} else {
		s.counts.Expired.Add(1)
	}
}

// shed rejects a request that was not executed, which may be retried at another
// server.
func (s *server) shed(w http.ResponseWriter, reason string) {
	s.counts.Shed.Add(1)
	w.Header().Set(shedHeader, "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"Error": reason})
}

// serveCounts responds with the counters and the state of the server.
func (s *server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	c := &s.counts
	m := map[string]int64{
		"Arrived": c.Arrived.Load(), "Done": c.Done.Load(), "Shed": c.Shed.Load(), "FailedFast": c.FailedFast.Load(),
		"FailedCold": c.FailedCold.Load(), "Cancelled": c.Cancelled.Load(), "Expired": c.Expired.Load(),
		"Cut": c.Cut.Load(), "OverSlots": c.OverSlots.Load(),
	}
	s.mu.Lock()
	m["InFlight"], m["Peak"], m["Progress"] = int64(s.inFlight), int64(s.peak), int64(s.completedSinceCold)
	s.mu.Unlock()
	if s.conns != nil {
		m["Connections"], m["ConnectionsRefused"] = int64(s.conns.openCount()), s.conns.refused.Load()
	}
	writeJSON(w, http.StatusOK, m)
}

// runServer runs the server subcommand.
func runServer(ctx context.Context, args []string, out io.Writer) error {
	fs := newFlags("server", out)
	var c serverConfig
	listen := fs.String("listen", "127.0.0.1:8080", "address and port to listen on")
	journalPath := fs.String("journal", "", "file to which a line is appended for each request that arrives or is executed")
	control := fs.String("control-listen", "", "additional address for the fault switches and counters, without the connection limit")
	fs.IntVar(&c.slots, "slots", 9, "maximum number of concurrent requests")
	fs.IntVar(&c.connections, "connections", 200, "maximum number of open connections; further ones are reset")
	fs.IntVar(&c.queue, "queue", 2, "maximum number of requests that wait for a slot; further ones are shed")
	fs.DurationVar(&c.serviceTime, "service-time", 5*time.Millisecond, "median service time")
	fs.Float64Var(&c.serviceTimeSigma, "noise", 0.3, "sigma of the log-normal noise of the service time")
	fs.IntVar(&c.coldCap, "cold-cap", 2, "maximum number of concurrent requests of a cold server; further ones fail")
	fs.IntVar(&c.warmAfter, "warm-after", 30, "completed requests after which a cold server is warm")
	fs.Float64Var(&c.coldFactor, "cold-factor", 3, "multiplier of the service time of a cold server")
	fs.DurationVar(&c.loadMaxAge, "load-lag", 300*time.Millisecond, "maximum age of load reports")
	fs.DurationVar(&c.drainTimeout, "drain", 10*time.Second, "maximum time to wait for requests in flight at a stop")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if err := c.validate(); err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(out, nil))
	s := newServer(c)
	var err error
	if s.journal, err = openJournal(*journalPath); err != nil {
		return err
	}
	l, err := listenAt("-listen", *listen)
	if err != nil {
		return err
	}
	s.conns = newLimitedListener(l, c.connections)
	endpoints := []endpoint{{s.conns, s.handler()}}
	if *control != "" {
		l, err := listenAt("-control-listen", *control)
		if err != nil {
			return err
		}
		m := mux.NewRouter()
		s.addControlRoutes(m)
		endpoints = append(endpoints, endpoint{l, m})
	}
	log.Info("server is listening", "address", s.conns.Addr(), "slots", c.slots)
	return serve(ctx, c.drainTimeout, log, endpoints...)
}

// validate checks that the flags are in range.
func (c *serverConfig) validate() error {
	for _, f := range []struct {
		flag            string
		value, from, to float64
	}{
		{"slots", float64(c.slots), 1, 10_000},
		{"connections", float64(c.connections), 1, 100_000},
		{"queue", float64(c.queue), 0, 100_000},
		{"service-time", c.serviceTime.Seconds(), 0, 60},
		{"noise", c.serviceTimeSigma, 0, 3},
		{"cold-cap", float64(c.coldCap), 1, 10_000},
		{"warm-after", float64(c.warmAfter), 0, 1e6},
		{"cold-factor", c.coldFactor, 1, 1000},
		{"load-lag", c.loadMaxAge.Seconds(), 0, 60},
		{"drain", c.drainTimeout.Seconds(), 0, 600},
	} {
		if !(f.value >= f.from && f.value <= f.to) {
			return fmt.Errorf("-%s: %v is out of range; write %v to %v", f.flag, f.value, f.from, f.to)
		}
	}
	return nil
}

// listenAt listens on the address in text, which is the value of the given flag.
func listenAt(flag, text string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w; write an address such as 127.0.0.1:8080", flag, err)
	}
	return net.Listen("tcp", a.String())
}
