package httpd

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
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
	waitFor(t, "no connection holds a request back", func() bool { return anyConn(s, func(c *conn) bool { return c.holding }) })
}

// anyConn reports whether a connection of a server meets a condition, which is called with conn.mu held.
func anyConn(s *Server, meets func(*conn) bool) bool {
	return slices.ContainsFunc(openConns(s), func(c *conn) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return meets(c)
	})
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

// readHook calls a function between the read of bytes and its return.
type readHook struct {
	net.Conn
	afterRead func()
}

func (c *readHook) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// Guards against a shutdown that closes a connection as idle whose next request has just been
// read: when the shutdown begins, or when the earlier request has been answered during it.
func TestShutdownServesRequestJustRead(t *testing.T) {
	for name, during := range map[string]bool{"at its begin": false, "during it": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			canceled, cancel := context.WithCancel(t.Context())
			cancel()
			rest := make(chan struct{})
			s := New(Config{Concurrent: always, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "2")
				if r.URL.Path == "/1" && during {
					http.NewResponseController(w).Flush() // the header can't say Connection: close any more
					<-rest
				}
				io.WriteString(w, r.URL.Path)
			})})
			near, far := net.Pipe()
			defer near.Close()
			near.SetDeadline(time.Now().Add(20 * time.Second))
			reads := 0
			s.serve(&readHook{far, func() {
				if reads++; reads == 2 {
					s.Shutdown(canceled)
					close(rest)
					awaitAnswers(s)
				}
			}})
			in := bufio.NewReader(near)
			io.WriteString(near, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			if !during {
				awaitAnswers(s)
			}
			next := make(chan struct{})
			go func() {
				defer close(next)
				io.WriteString(near, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
			}()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "/1")
			is.True(!resp.Close)
			resp, err = http.ReadResponse(in, nil)
			is.NoErr(err)
			body, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "/2")
			is.True(resp.Close)
			<-next
			is.NoErr(s.Shutdown(t.Context()))
		})
	}
}

// awaitAnswers waits until no connection has a request in progress. Other goroutines than that of
// the test may call it.
func awaitAnswers(s *Server) {
	for anyConn(s, func(c *conn) bool { return len(c.queue) > 0 }) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a shutdown that does not end while a client goes on sending requests.
func TestShutdownEndsBehindWaitingRequest(t *testing.T) {
	is := is.New(t)
	g := newGates()
	s, address := startServer(t, Config{Handler: g})
	c := dial(t, address)
	c.send("/1", "/2", "/2", "/2", "/2")
	is.Equal(<-g.started, "/1")
	awaitHold(t, s)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(s.Shutdown(canceled), context.Canceled)
	close(g.gate("/1"))
	is.Equal(<-g.started, "/2")
	awaitHold(t, s) // the next one has been read
	close(g.gate("/2"))
	for _, path := range []string{"/1", "/2"} {
		body, last, err := c.receive()
		is.NoErr(err)
		is.Equal(body, path)
		is.Equal(last, path == "/2")
	}
	_, err := c.in.ReadByte()
	is.Equal(err, io.EOF)
	c.Close()
	is.NoErr(s.Shutdown(t.Context()))
	is.Equal(len(g.started), 0)
}
