package httpd

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// openConns returns the connections of a server. c.mu may not be taken under s.mu.
func openConns(s *Server) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// awaitHold waits until a connection does not read because of the requests in progress.
func awaitHold(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		held := false
		for _, c := range openConns(s) {
			c.mu.Lock()
			held = held || c.holding
			c.mu.Unlock()
		}
		if held {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no connection holds a request back")
		}
	}
}

// Guards against a shutdown that drops a request which has been read and waits for its turn.
func TestShutdownServesWaitingRequest(t *testing.T) {
	for name, test := range map[string]struct {
		requests int // budget for requests
		waiting  string
		status   int
	}{
		"runs alone":                {1 << 20, "DELETE /2 HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusOK},
		"no memory for the request": {30 << 10, "GET /2 HTTP/1.1\r\nHost: a\r\n" + shortFields(1000, "1") + "\r\n", http.StatusServiceUnavailable},
		"long header":               {1 << 20, "GET /2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 12<<10) + "\r\n\r\n", http.StatusOK},
		"malformed":                 {1 << 20, "GET /2 HTTP/1.1\r\nHost: a\r\na b: c\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGates()
			s, address := startServer(t, Config{Handler: g, Requests: &fakeBudget{limit: test.requests}, Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }})
			c := dial(t, address)
			c.send("/1")
			is.Equal(<-g.started, "/1")
			io.WriteString(c, test.waiting)
			awaitHold(t, s)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			is.Equal(s.Shutdown(ctx), context.Canceled)
			close(g.gate("/1"))
			close(g.gate("/2"))
			_, last, err := c.receive()
			is.NoErr(err)
			is.True(!last)
			resp, err := http.ReadResponse(c.in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			is.True(resp.Close)
			_, err = io.ReadAll(c.in)
			is.NoErr(err)
			c.Close()
			is.NoErr(s.Shutdown(t.Context()))
		})
	}
}
