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

// This file is the stand-in of a server of a service. It works on as many
// requests at once as it has slots, keeps a short queue, and sheds the rest
// unrun. After a start it is cold: it works slowly and bears few requests at
// once until it has completed some work; requests beyond that fail.

// Headers between nodes and servers.
const (
	shedHeader    = "Primrosethread-Shed"       // "true": the request did not run
	requestHeader = "Primrosethread-Request-Id" // counted by the ledger
	keyHeader     = "Idempotency-Key"           // counted by the ledger
	timeoutHeader = "Request-Timeout"           // remaining time in ms
)

// serverFault is the state of the server's switches.
type serverFault struct {
	// Slow multiplies the service time.
	Slow float64
	// FailFast is the share of requests that fail at once with status 500.
	FailFast float64
	// Cut is the share of answers whose connection breaks in the middle.
	Cut float64
	// Mislead is the share of load reports that are wrong.
	Mislead float64
	// Cold set from false to true makes the server cold without warning.
	Cold bool
	// Restart set from false to true does the same with a new start id, and
	// breaks every connection.
	Restart bool
	// Drain sheds all new requests.
	Drain bool
	// AnswerBytes is the least size of an answer.
	AnswerBytes int
}

func checkServerFault(f serverFault) error {
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
	noise                     float64       // sigma of the log-normal service time
	coldCap                   int           // requests at once that a cold server bears
	warmAfter                 int           // completed requests until it is warm
	coldFactor                float64       // service time of a cold server
	lag                       time.Duration // of load reports
	drain                     time.Duration
}

// serverCounts counts what became of the requests.
type serverCounts struct {
	Arrived, Done, Shed, FailedFast, FailedCold, Cancelled, Expired, Cut atomic.Int64
	// OverSlots counts the requests that arrived while every slot was taken.
	OverSlots atomic.Int64
}

// server is one server. Its state is guarded by mu.
type server struct {
	serverConfig
	fault   *switches[serverFault]
	ledger  *ledger
	journal journal
	counts  serverCounts
	conns   *limited      // nil in tests without a listener
	free    chan struct{} // one token for each free slot

	mu       sync.Mutex
	inFlight int // requests that are queued or run
	peak     int // highest number of requests that ran at once
	running  int
	progress int // completed requests since the server became cold
	startID  uint64
	started  time.Time
}

func newServer(c serverConfig) *server {
	s := &server{serverConfig: c, ledger: newLedger(), free: make(chan struct{}, c.slots),
		startID: rand.Uint64() | 1, started: time.Now()}
	for range c.slots {
		s.free <- struct{}{}
	}
	s.fault = newSwitches(serverFault{Slow: 1}, checkServerFault, s.faultChanged)
	return s
}

// faultChanged makes the server cold when one of the two switches is set.
func (s *server) faultChanged(old, now *serverFault) {
	restart := now.Restart && !old.Restart
	if !restart && (!now.Cold || old.Cold) {
		return
	}
	s.mu.Lock()
	s.progress = 0
	if restart {
		s.startID, s.started = rand.Uint64()|1, time.Now()
	}
	s.mu.Unlock()
	if restart && s.conns != nil {
		// The delay lets the answer out to the client that set the switch.
		time.AfterFunc(20*time.Millisecond, s.conns.resetAll)
	}
}

// control returns the interface for tests and operators.
func (s *server) control(m *mux.Router) {
	m.Handle("/fault", s.fault).Methods(http.MethodGet, http.MethodPost)
	m.Handle("/ledger", s.ledger).Methods(http.MethodGet)
	m.Handle("/load", &reporter{server: s, lag: s.lag}).Methods(http.MethodGet)
	m.HandleFunc("/counts", s.count).Methods(http.MethodGet)
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready\n") }).Methods(http.MethodGet)
}

// handler returns the interface for nodes: every other path is work.
func (s *server) handler() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	s.control(m)
	m.PathPrefix("/").HandlerFunc(s.work)
	return m
}

// work answers one request.
func (s *server) work(w http.ResponseWriter, r *http.Request) {
	s.counts.Arrived.Add(1)
	s.journal.write(r.Header.Get(requestHeader), r.Header.Get(keyHeader), false)
	ctx := r.Context()
	if text := r.Header.Get(timeoutHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > prim.MaxTimeout.Milliseconds() {
			writeJSON(w, http.StatusBadRequest, map[string]string{"Error": timeoutHeader + " is not a time in ms from 1 to 60000"})
			return
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	// The body must be read in full for net/http to notice that the client went away.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, prim.MaxRequestBody))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"Error": "the body cannot be read: " + err.Error()})
		return
	}
	if s.fault.load().Drain {
		s.shed(w, "the server is draining")
		return
	}
	if !s.enter() {
		s.shed(w, "every slot is taken and the queue is full")
		return
	}
	defer s.leave()
	select {
	case <-s.free:
		defer func() { s.free <- struct{}{} }()
	case <-ctx.Done():
	}
	// A slot that becomes free at the deadline must not start late work, even if
	// the timer of the context has not run yet.
	if end, ok := ctx.Deadline(); ctx.Err() != nil || ok && !time.Now().Before(end) {
		s.ended(ctx)
		s.shed(w, "the time ran out before a slot was free")
		return
	}
	s.run(ctx, w, r, len(body))
}

// enter counts a request in unless slots and queue are full.
func (s *server) enter() bool {
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

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// begin counts a running request and reports whether the server is cold and
// whether it bears this request.
func (s *server) begin() (cold, bears bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	cold = s.progress < s.warmAfter
	return cold, !cold || s.running <= s.coldCap
}

// finish counts a request out; a completed one warms the server.
func (s *server) finish(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if completed {
		s.progress++
	}
}

// run works on a request in a slot. From here on the request has run.
func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, size int) {
	id, key := r.Header.Get(requestHeader), r.Header.Get(keyHeader)
	run := s.ledger.record(id, key)
	s.journal.write(id, key, true)
	cold, bears := s.begin()
	completed := false
	defer func() { s.finish(completed) }()
	f := s.fault.load()
	if rand.Float64() < f.FailFast {
		s.counts.FailedFast.Add(1)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"Error": "the server fails"})
		return
	}
	d := s.duration(cold, f.Slow)
	if !bears {
		s.counts.FailedCold.Add(1)
		sleep(ctx, d)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"Error": "the server is cold and overloaded"})
		return
	}
	if !sleep(ctx, d) {
		s.ended(ctx)
		writeJSON(w, http.StatusGatewayTimeout, map[string]string{"Error": "the time ran out during the work"})
		return
	}
	completed = true
	s.counts.Done.Add(1)
	s.answer(w, r, answer{Request: id, Key: key, Run: run, Path: r.URL.RequestURI(), Read: size}, f)
}

// duration draws a service time. The noise is log-normal with median 1, which
// has the long tail of real service times.
func (s *server) duration(cold bool, slow float64) time.Duration {
	d := float64(s.serviceTime) * slow * math.Exp(s.noise*rand.NormFloat64())
	if cold {
		d *= s.coldFactor
	}
	return time.Duration(d)
}

// answer is the body of an answer. A caller can check that it is the answer to
// its own request and that it is complete.
type answer struct {
	Request, Key string
	Run          int // 1 unless this server ran the request before
	Path         string
	Read         int    // bytes of the request's body
	Filler       string `json:",omitempty"`
}

// answer writes the answer, or half of it if it is to be cut.
func (s *server) answer(w http.ResponseWriter, r *http.Request, a answer, f *serverFault) {
	if f.AnswerBytes > 0 {
		a.Filler = filler(f.AnswerBytes)
	}
	if rand.Float64() >= f.Cut {
		writeJSON(w, http.StatusOK, a)
		return
	}
	s.counts.Cut.Add(1)
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers can be marshalled
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

// ended counts why a request ended early.
func (s *server) ended(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		s.counts.Cancelled.Add(1)
	} else {
		s.counts.Expired.Add(1)
	}
}

// shed answers a request that did not run and may be sent elsewhere.
func (s *server) shed(w http.ResponseWriter, why string) {
	s.counts.Shed.Add(1)
	w.Header().Set(shedHeader, "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"Error": why})
}

// count answers with the counters and the state of the server.
func (s *server) count(w http.ResponseWriter, _ *http.Request) {
	c := &s.counts
	m := map[string]int64{
		"Arrived": c.Arrived.Load(), "Done": c.Done.Load(), "Shed": c.Shed.Load(), "FailedFast": c.FailedFast.Load(),
		"FailedCold": c.FailedCold.Load(), "Cancelled": c.Cancelled.Load(), "Expired": c.Expired.Load(),
		"Cut": c.Cut.Load(), "OverSlots": c.OverSlots.Load(),
	}
	s.mu.Lock()
	m["InFlight"], m["Peak"], m["Progress"] = int64(s.inFlight), int64(s.peak), int64(s.progress)
	s.mu.Unlock()
	if s.conns != nil {
		m["Connections"], m["ConnectionsRefused"] = int64(s.conns.count()), s.conns.refused.Load()
	}
	writeJSON(w, http.StatusOK, m)
}

// runServer is the server subcommand.
func runServer(ctx context.Context, args []string, out io.Writer) error {
	fs := newFlags("server", out)
	var c serverConfig
	listen := fs.String("listen", "127.0.0.1:8080", "address and port to listen on")
	journalPath := fs.String("journal", "", "file to append a line to for each request that arrives or runs")
	control := fs.String("control-listen", "", "second address for the switches and counters, outside the connection limit")
	fs.IntVar(&c.slots, "slots", 9, "requests that run at once")
	fs.IntVar(&c.connections, "connections", 200, "connections beyond which new ones are closed")
	fs.IntVar(&c.queue, "queue", 2, "requests that wait for a slot before others are shed")
	fs.DurationVar(&c.serviceTime, "service-time", 5*time.Millisecond, "median service time")
	fs.Float64Var(&c.noise, "noise", 0.3, "sigma of the log-normal noise of the service time")
	fs.IntVar(&c.coldCap, "cold-cap", 2, "requests at once that a cold server bears")
	fs.IntVar(&c.warmAfter, "warm-after", 30, "completed requests until a cold server is warm")
	fs.Float64Var(&c.coldFactor, "cold-factor", 3, "service time of a cold server, as a multiple")
	fs.DurationVar(&c.lag, "load-lag", 300*time.Millisecond, "age that load reports reach")
	fs.DurationVar(&c.drain, "drain", 10*time.Second, "longest wait for requests in flight at a stop")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if err := c.check(); err != nil {
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
	s.conns = newLimited(l, c.connections)
	ls := []listener{{s.conns, s.handler()}}
	if *control != "" {
		l, err := listenAt("-control-listen", *control)
		if err != nil {
			return err
		}
		m := mux.NewRouter()
		s.control(m)
		ls = append(ls, listener{l, m})
	}
	log.Info("server listens", "address", s.conns.Addr(), "slots", c.slots)
	return serve(ctx, c.drain, log, ls...)
}

// check refuses impossible flags.
func (c *serverConfig) check() error {
	for _, f := range []struct {
		flag            string
		value, from, to float64
	}{
		{"slots", float64(c.slots), 1, 10_000},
		{"connections", float64(c.connections), 1, 100_000},
		{"queue", float64(c.queue), 0, 100_000},
		{"service-time", c.serviceTime.Seconds(), 0, 60},
		{"noise", c.noise, 0, 3},
		{"cold-cap", float64(c.coldCap), 1, 10_000},
		{"warm-after", float64(c.warmAfter), 0, 1e6},
		{"cold-factor", c.coldFactor, 1, 1000},
		{"load-lag", c.lag.Seconds(), 0, 60},
		{"drain", c.drain.Seconds(), 0, 600},
	} {
		if !(f.value >= f.from && f.value <= f.to) {
			return fmt.Errorf("-%s: %v is out of bounds; write %v to %v", f.flag, f.value, f.from, f.to)
		}
	}
	return nil
}

// listenAt listens on the address that a flag gives.
func listenAt(flag, text string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w; write an address such as 127.0.0.1:8080", flag, err)
	}
	return net.Listen("tcp", a.String())
}
