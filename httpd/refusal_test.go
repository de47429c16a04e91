package httpd

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// fakeRecorder counts.
type fakeRecorder struct {
	prim.Recorder
	mu      sync.Mutex
	counted *sync.Cond
	counts  map[string]int64
}

func newFakeRecorder() *fakeRecorder {
	r := &fakeRecorder{counts: make(map[string]int64)}
	r.counted = sync.NewCond(&r.mu)
	return r
}

func (r *fakeRecorder) Count(name string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += n
	r.counted.Broadcast()
}

func (r *fakeRecorder) count(name string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// await waits until something has been counted.
func (r *fakeRecorder) await(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.counts[name] == 0 {
		r.counted.Wait()
	}
}

// Guards against a request that has been read behind others and gets no response because there
// is no memory to wait for its turn.
func TestRefusalWithoutMemoryToWait(t *testing.T) {
	const get, rest = "GET /refused HTTP/1.1\r\nHost: a\r\n", "GET /unread HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct {
		ahead    int // requests that run
		requests int // budget for requests
		refused  string
		status   int
	}{
		"runs alone":                {1, 1 << 20, "DELETE /refused HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusServiceUnavailable},
		"has a body":                {1, 1 << 20, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", http.StatusServiceUnavailable},
		"behind the bound":          {3, 1 << 20, get + "\r\n", http.StatusServiceUnavailable},
		"no memory for the request": {1, 30 << 10, get + shortFields(1000, "1") + "\r\n", http.StatusServiceUnavailable},
		"long header":               {1, 1 << 20, get + "X: " + strings.Repeat("x", 12<<10) + "\r\n\r\n", http.StatusServiceUnavailable},
		"malformed":                 {1, 1 << 20, get + "a b: c\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, counts, unread, requests := newGates(), newFakeRecorder(), &fakeBudget{limit: unreadBytes - 1}, &fakeBudget{limit: test.requests}
			_, address := startServer(t, Config{Handler: g, Unread: unread, Requests: requests, MaxReadAhead: 2, Recorder: counts,
				Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }})
			c := dial(t, address)
			paths := []string{"/1", "/2", "/3"}[:test.ahead]
			c.send(paths...)
			is.Equal(take(g.started, test.ahead), paths)
			io.WriteString(c, test.refused+rest)
			counts.await("UnreadWithoutMemory")
			for _, path := range paths {
				close(g.gate(path))
				body, last, err := c.receive()
				is.NoErr(err)
				is.Equal(body, path)
				is.True(!last)
			}
			resp, err := http.ReadResponse(c.in, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			is.True(resp.Close)
			if test.status == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after > 0)
			}
			_, err = c.in.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(g.started), 0) // it does not run
			is.Equal(counts.count("UnreadWithoutMemory"), int64(1))
			is.Equal(counts.count("RequestsRejected"), int64(1))
			awaitFree(t, requests)
			awaitFree(t, unread)
		})
	}
}

// Guards against counters that don't tell why requests that had been read got no response.
func TestUnansweredRequestsAreCounted(t *testing.T) {
	for name, test := range map[string]struct {
		waiting                           string
		depart                            bool
		cancelled, notStarted, departures int64
	}{
		"aborted response":        {"DELETE /3 HTTP/1.1\r\nHost: a\r\n\r\n", false, 1, 1, 0},
		"aborted, malformed":      {"GET /3 HTTP/1.1\r\nHost: a\r\na b: c\r\n\r\n", false, 1, 1, 0},
		"client closes":           {"DELETE /3 HTTP/1.1\r\nHost: a\r\n\r\n", true, 0, 0, 1},
		"client closes, all read": {"", true, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, counts := newGates(), newFakeRecorder()
			s, address := startServer(t, Config{Handler: g, Recorder: counts, Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }})
			c := dial(t, address)
			c.send("/abort", "/2")
			is.Equal(take(g.started, 2), []string{"/2", "/abort"})
			if test.waiting != "" {
				io.WriteString(c, test.waiting)
				awaitHold(t, s)
			}
			if test.depart {
				c.Close()
				is.Equal(take(g.ended, 2), []string{"/2", "/abort"})
			} else {
				close(g.gate("/abort"))
				_, err := c.in.ReadByte()
				is.Equal(err, io.EOF)
				c.Close()
			}
			waitFor(t, "a connection is still open", func() bool { return len(openConns(s)) == 0 })
			is.Equal(counts.count("ReadAheadCancelled"), test.cancelled)
			is.Equal(counts.count("ReadAheadNotStarted"), test.notStarted)
			is.Equal(counts.count("ClientsDeparted"), test.departures)
		})
	}
}
