package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func newTestServer() *server {
	return newServer(serverConfig{slots: 4, connections: 3, queue: 2, serviceTime: 100 * time.Millisecond,
		coldCap: 2, warmAfter: 3, coldFactor: 3, loadMaxAge: time.Second})
}

// sendConcurrent sends n concurrent requests and counts the responses by status.
func sendConcurrent(h http.Handler, n int, header ...string) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	codes := make(map[int]int)
	for range n {
		wg.Go(func() {
			w := do(h, "POST", "/deposits", "{}", header...)
			mu.Lock()
			defer mu.Unlock()
			codes[w.Code]++
		})
	}
	wg.Wait()
	return codes
}

// After a start, and after Cold is set, the server must fail requests beyond the
// limit of a cold server. It must become warm after enough completed requests.
func TestColdStart(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		s := newTestServer()
		h := s.handler()
		is.Equal(sendConcurrent(h, 4), map[int]int{200: 2, 500: 2})
		start := time.Now()
		is.Equal(sendConcurrent(h, 1), map[int]int{200: 1})
		is.Equal(time.Since(start), 300*time.Millisecond)
		start = time.Now()
		is.Equal(sendConcurrent(h, 4), map[int]int{200: 4})
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(do(h, "POST", "/fault", `{"Cold":true}`).Code, 200)
		is.Equal(sendConcurrent(h, 4), map[int]int{200: 2, 500: 2})
		is.Equal(s.ledger.runs, int64(13))
	})
}

// No more requests may run concurrently than there are slots. A shed request must
// not be in the ledger, and its response must carry the header that makes a retry
// safe.
func TestSlotsAndShedding(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		s := newTestServer()
		s.warmAfter = 0
		h := s.handler()
		is.Equal(sendConcurrent(h, 10), map[int]int{200: 6, 503: 4})
		is.Equal(s.peak, 4)
		is.Equal(s.ledger.runs, int64(6))
		is.Equal(do(h, "POST", "/fault", `{"Drain":true}`).Code, 200)
		w := do(h, "GET", "/tides", "")
		is.Equal(w.Code, 503)
		is.Equal(w.Header().Get(shedHeader), "true")
		is.Equal(s.ledger.runs, int64(6))
	})
}

// A request must stop at its deadline and when its caller disconnects. If it was
// started before, it must be in the ledger.
func TestDeadlineAndCancel(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		s := newTestServer()
		s.warmAfter = 0
		h := s.handler()
		start := time.Now()
		is.Equal(sendConcurrent(h, 1, timeoutHeader, "50"), map[int]int{504: 1})
		is.Equal(time.Since(start), 50*time.Millisecond)
		is.Equal(do(h, "GET", "/", "", timeoutHeader, "0").Code, 400)
		// Four requests take the slots; two expire in the queue and are not executed.
		is.Equal(sendConcurrent(h, 6, timeoutHeader, "50"), map[int]int{504: 4, 503: 2})
		is.Equal(s.ledger.runs, int64(5))
		is.Equal(s.counts.Expired.Load(), int64(7))

		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(10 * time.Millisecond)
			cancel()
		}()
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil).WithContext(ctx))
		is.Equal(s.counts.Cancelled.Load(), int64(1))
		is.Equal(s.inFlight, 0)
		is.Equal(len(s.freeSlots), 4)
	})
}

// The ledger must show requests that were executed more than once.
func TestLedger(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		h := newTestServer().handler()
		for range 2 {
			do(h, "POST", "/deposits", "{}", requestHeader, "r1", keyHeader, "k1")
		}
		var a response
		is.NoErr(json.Unmarshal(do(h, "POST", "/deposits", "{}", requestHeader, "r2", keyHeader, "k1").Body.Bytes(), &a))
		is.Equal(a, response{Request: "r2", Key: "k1", Run: 1, Path: "/deposits", Read: 2})
		var l struct {
			Runs, Overflow int64
			Requests, Keys map[string]int
		}
		is.NoErr(json.Unmarshal(do(h, "GET", "/ledger", "").Body.Bytes(), &l))
		is.Equal(l.Runs, int64(3))
		is.Equal(l.Requests, map[string]int{"r1": 2, "r2": 1})
		is.Equal(l.Keys, map[string]int{"k1": 3})
	})
}

// The journal must show each execution, also after the server was killed. A shed
// request must not appear as executed.
func TestJournal(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		path := filepath.Join(t.TempDir(), "journal")
		s := newTestServer()
		var err error
		s.journal, err = openJournal(path)
		is.NoErr(err)
		h := s.handler()
		do(h, "POST", "/deposits", "{}", requestHeader, "r1", keyHeader, "k1")
		do(h, "POST", "/fault", `{"Drain":true}`)
		do(h, "POST", "/deposits", "{}", requestHeader, "r2")
		b, err := os.ReadFile(path)
		is.NoErr(err)
		var seen []entry
		for line := range strings.Lines(string(b)) {
			var e entry
			is.NoErr(json.Unmarshal([]byte(line), &e))
			is.True(!e.At.IsZero())
			e.At = time.Time{}
			seen = append(seen, e)
		}
		is.Equal(seen, []entry{{Request: "r1", Key: "k1"}, {Request: "r1", Key: "k1", Ran: true}, {Request: "r2"}})
	})
}

// Each fault that is accepted must have an effect. Invalid ones must be rejected.
func TestServerFaults(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		s := newTestServer()
		s.warmAfter = 0
		h := s.handler()
		is.Equal(do(h, "POST", "/fault", `{"Slow":10}`).Code, 200)
		start := time.Now()
		do(h, "GET", "/", "")
		is.Equal(time.Since(start), time.Second)
		is.Equal(do(h, "POST", "/fault", `{"Slow":1,"FailFast":1}`).Code, 200)
		start = time.Now()
		is.Equal(do(h, "GET", "/", "").Code, 500)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(do(h, "POST", "/fault", `{"FailFast":0,"AnswerBytes":2000000}`).Code, 200)
		is.True(do(h, "GET", "/", "").Body.Len() > 2000000)
		is.Equal(do(h, "POST", "/fault", `{"Cut":1}`).Code, 200)
		is.Equal(do(h, "GET", "/", "").Code, 0)
		for _, body := range []string{`{"Slow":0}`, `{"FailFast":2}`, `{"AnswerBytes":-1}`, `{"slowly":1}`, `x`} {
			is.Equal(do(h, "POST", "/fault", body).Code, 400)
		}
	})
}

// Load reports must be outdated like those of real servers, and a restart must show
// as a new start id.
func TestLoadReports(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		s := newTestServer()
		h := s.handler()
		load := func() (r loadReport) {
			is.NoErr(json.Unmarshal(do(h, "GET", "/load", "").Body.Bytes(), &r))
			return r
		}
		first := load()
		is.Equal(first.InFlight, 0)
		go do(h, "GET", "/", "")
		synctest.Wait()
		is.Equal(load().InFlight, 0)
		is.Equal(s.currentLoad(time.Now()).InFlight, 1)
		is.Equal(do(h, "POST", "/fault", `{"Restart":true}`).Code, 200)
		time.Sleep(time.Second)
		is.True(load().Start != first.Start)
	})
}

// A connection beyond the limit must not be served. A simulated restart must reset
// all open connections.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := newTestServer()
	s.conns = newLimitedListener(l, 2)
	hs := &http.Server{Handler: s.handler()}
	end := make(chan error)
	go func() { end <- hs.Serve(s.conns) }()

	ask := func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /readyz HTTP/1.1\r\nHost: s\r\n\r\n"); err != nil {
			return err
		}
		b := make([]byte, 12)
		_, err := io.ReadFull(c, b)
		if err == nil && !strings.HasPrefix(string(b), "HTTP/1.1 200") {
			t.Errorf("response %q", b)
		}
		return err
	}
	var open []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(ask(c))
		open = append(open, c)
	}
	// The reset is seen either by the dial or by the first request.
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		is.True(ask(c) != nil)
	}
	is.Equal(s.conns.refused.Load(), int64(1))

	is.NoErr(s.faults.set([]byte(`{"Restart":true}`)))
	for _, c := range open {
		_, err := io.Copy(io.Discard, c)
		is.True(err != nil) // reset
		c.Close()
	}
	is.NoErr(hs.Close())
	is.Equal(<-end, http.ErrServerClosed)
}
