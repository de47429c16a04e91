package httpd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// startServer serves on the loopback interface until the test ends.
func startServer(t testing.TB, c Config) (*Server, string) {
	t.Helper()
	return startServerOn(t, c, func(l net.Listener) net.Listener { return l })
}

// startServerOn is startServer with a listener that wrap returns for the one that it gets.
func startServerOn(t testing.TB, c Config, wrap func(net.Listener) net.Listener) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(c)
	served := make(chan error, 1)
	go func(context.Context) { served <- s.Serve(wrap(l)) }(t.Context())
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != http.ErrServerClosed {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// client is a client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t testing.TB, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// send sends GET requests for the paths in one write.
func (c *client) send(paths ...string) {
	var b strings.Builder
	for _, p := range paths {
		b.WriteString("GET " + p + " HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	io.WriteString(c, b.String())
}

// receive returns the body of the next response, and whether it is the last one.
func (c *client) receive() (body string, last bool, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(resp.Body)
	return string(b), resp.Close, err
}

func always(*http.Request) bool { return true }

// gates lets a test decide when the handler of each path returns.
type gates struct {
	mu      sync.Mutex
	gates   map[string]chan struct{}
	started chan string
	ended   chan string // paths whose context has ended
}

func newGates() *gates {
	return &gates{gates: make(map[string]chan struct{}), started: make(chan string, 100), ended: make(chan string, 100)}
}

func (g *gates) gate(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gates[path] == nil {
		g.gates[path] = make(chan struct{})
	}
	return g.gates[path]
}

// ServeHTTP answers with the path when its gate is open.
func (g *gates) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.started <- r.URL.Path
	select {
	case <-g.gate(r.URL.Path):
	case <-r.Context().Done():
		g.ended <- r.URL.Path
		return
	}
	if strings.HasPrefix(r.URL.Path, "/close") {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, "/abort") {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, r.URL.Path)
}

// take returns n values in sorted order.
func take(c <-chan string, n int) []string {
	var all []string
	for range n {
		all = append(all, <-c)
	}
	slices.Sort(all)
	return all
}

// Guards against requests that wait for those before them, and against responses out of
// order.
func TestConcurrentInOrder(t *testing.T) {
	is := is.New(t)
	g := newGates()
	_, address := startServer(t, Config{Handler: g, Concurrent: always})
	c := dial(t, address)
	c.send("/1", "/2", "/3")
	is.Equal(take(g.started, 3), []string{"/1", "/2", "/3"})
	close(g.gate("/3"))
	close(g.gate("/2"))
	close(g.gate("/1"))
	for _, path := range []string{"/1", "/2", "/3"} {
		body, last, err := c.receive()
		is.NoErr(err)
		is.Equal(body, path)
		is.True(!last)
	}
}

// Guards against requests that run beside those that must run alone: other routes, bodies,
// HTTP/1.0, Expect, upgrades and Connection: close.
func TestExclusiveRequests(t *testing.T) {
	for name, request := range map[string]string{
		"other route":       "GET /x/other HTTP/1.1\r\nHost: a\r\n\r\n",
		"body":              "GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb",
		"chunked body":      "GET /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0":          "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"Expect":            "GET /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
		"Upgrade":           "GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"Connection: close": "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var running, most, alone atomic.Int64
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := running.Add(1)
				defer running.Add(-1)
				if strings.HasPrefix(r.URL.Path, "/x") {
					alone.Store(now)
				}
				most.Store(max(most.Load(), now))
				io.Copy(io.Discard, r.Body)
				time.Sleep(20 * time.Millisecond)
				if r.URL.Path == "/after" && running.Load() > 1 {
					alone.Store(-1)
				}
				io.WriteString(w, r.URL.Path)
			})
			_, address := startServer(t, Config{Handler: handler, Concurrent: func(r *http.Request) bool { return !strings.HasSuffix(r.URL.Path, "other") }})
			c := dial(t, address)
			io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+request+"GET /after HTTP/1.1\r\nHost: a\r\n\r\n")
			for range 2 {
				_, _, err := c.receive()
				is.NoErr(err)
			}
			if name != "Connection: close" {
				body, _, err := c.receive()
				is.NoErr(err)
				is.Equal(body, "/after")
			} else {
				_, err := c.in.ReadByte()
				is.Equal(err, io.EOF)
			}
			is.Equal(alone.Load(), int64(1))
			is.Equal(most.Load(), int64(1))
		})
	}
}

// Guards against running requests behind a response that closes the connection, and against
// a response behind it.
func TestNothingBehindLast(t *testing.T) {
	for _, path := range []string{"/close", "/abort"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			g := newGates()
			_, address := startServer(t, Config{Handler: g, Concurrent: func(r *http.Request) bool { return r.Method == "GET" }})
			c := dial(t, address)
			c.send("/1", path, "/2")
			io.WriteString(c, "DELETE /unsafe HTTP/1.1\r\nHost: a\r\n\r\n")
			is.Equal(take(g.started, 3), []string{"/1", "/2", path})
			close(g.gate(path))
			is.Equal(<-g.ended, "/2") // cancelled at once, not when its turn comes
			close(g.gate("/1"))
			body, last, err := c.receive()
			is.NoErr(err)
			is.Equal(body, "/1")
			is.True(!last)
			if path == "/close" {
				body, last, err = c.receive()
				is.NoErr(err)
				is.Equal(body, path)
				is.True(last)
			}
			_, err = c.in.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(g.started), 0) // "/unsafe" did not run
		})
	}
}

// Guards against requests that go on after their client has closed the connection, also
// when nothing more is read because the bound is reached or a request has to wait.
func TestDepartureCancelsAll(t *testing.T) {
	for name, more := range map[string]string{
		"below the bound": "",
		"at the bound":    strings.Repeat("GET /more HTTP/1.1\r\nHost: a\r\n\r\n", 500),
		"request waits":   "DELETE /unsafe HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGates()
			// Nothing but the departure ends the requests.
			limits := func() prim.ClientLimits {
				return prim.ClientLimits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour}
			}
			_, address := startServer(t, Config{Handler: g, MaxReadAhead: 2, Limits: limits, Concurrent: func(r *http.Request) bool { return r.Method == "GET" }})
			c := dial(t, address)
			c.send("/1", "/2", "/3")
			io.WriteString(c, more)
			is.Equal(take(g.started, 3), []string{"/1", "/2", "/3"})
			time.Sleep(20 * time.Millisecond) // the server reads as far as it may
			c.Close()
			is.Equal(take(g.ended, 3), []string{"/1", "/2", "/3"})
			is.Equal(len(g.started), 0)
		})
	}
}

// Guards against a half-closed connection on which the requests in progress go on.
func TestHalfCloseCancels(t *testing.T) {
	is := is.New(t)
	g := newGates()
	_, address := startServer(t, Config{Handler: g, Concurrent: always})
	c := dial(t, address)
	c.send("/1", "/2")
	is.Equal(take(g.started, 2), []string{"/1", "/2"})
	is.NoErr(c.Conn.(*net.TCPConn).CloseWrite())
	is.Equal(take(g.ended, 2), []string{"/1", "/2"})
	for range 2 { // the handler's empty answers
		_, _, err := c.receive()
		is.NoErr(err)
	}
	_, err := c.in.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against reading ahead without a bound, and against a bound that is one less after
// each response.
func TestReadAheadBound(t *testing.T) {
	is := is.New(t)
	g := newGates()
	_, address := startServer(t, Config{Handler: g, MaxReadAhead: 2, Concurrent: always})
	c := dial(t, address)
	var paths []string
	for i := range 9 {
		paths = append(paths, "/"+strconv.Itoa(i))
	}
	c.send(paths...)
	is.Equal(take(g.started, 3), paths[:3])
	for i, path := range paths {
		time.Sleep(5 * time.Millisecond)
		is.Equal(len(g.started), 0)
		close(g.gate(path))
		body, _, err := c.receive()
		is.NoErr(err)
		is.Equal(body, path)
		if i+3 < len(paths) {
			is.Equal(<-g.started, paths[i+3])
		}
	}
}

// fakeBudget is a prim.MemoryBudget with a limit.
type fakeBudget struct {
	mu         sync.Mutex
	used, most int
	limit      int
}

func (b *fakeBudget) Reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	b.most = max(b.most, b.used)
	return true
}

func (b *fakeBudget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *fakeBudget) inUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Guards against responses that wait for their turn without being accounted for, against
// requests that fail because memory is short, and against memory that is not released.
func TestMemoryBudget(t *testing.T) {
	for name, limit := range map[string]int{"none": 0, "one request": requestBytes, "some": 5 * requestBytes, "much": 1 << 30} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 50 << 10
			budget := &fakeBudget{limit: limit}
			release := make(chan struct{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/0" {
					<-release
				}
				w.Header().Set("Content-Length", strconv.Itoa(size))
				io.Copy(w, strings.NewReader(strings.Repeat(r.URL.Path[1:], size)))
			})
			_, address := startServer(t, Config{Handler: handler, Memory: budget, Concurrent: always})
			c := dial(t, address)
			c.send("/0", "/1", "/2", "/3", "/4", "/5", "/6", "/7", "/8", "/9")
			time.Sleep(30 * time.Millisecond)
			close(release)
			for i := range 10 {
				body, _, err := c.receive()
				is.NoErr(err)
				is.Equal(len(body), size)
				is.Equal(strings.Trim(body, strconv.Itoa(i)), "")
			}
			for budget.inUse() > 0 { // the server releases it after the write
				time.Sleep(time.Millisecond)
			}
			budget.mu.Lock()
			defer budget.mu.Unlock()
			is.True(budget.most <= min(limit, maxAheadBytes))
			is.Equal(budget.most > 0, limit > 0)
			is.Equal(budget.used, 0)
		})
	}
}

// Guards against a panic that ends more than its connection, or the responses before it.
func TestPanic(t *testing.T) {
	is := is.New(t)
	var lines strings.Builder
	var mu sync.Mutex
	logger := slog.New(slog.NewTextHandler(lockedWriter{&mu, &lines}, nil))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("fault")
		}
		io.WriteString(w, r.URL.Path)
	})
	_, address := startServer(t, Config{Handler: handler, Concurrent: always, Logger: logger})
	other := dial(t, address)
	c := dial(t, address)
	c.send("/1", "/panic", "/2")
	body, _, err := c.receive()
	is.NoErr(err)
	is.Equal(body, "/1")
	_, err = c.in.ReadByte()
	is.Equal(err, io.EOF)
	other.send("/3")
	body, _, err = other.receive()
	is.NoErr(err)
	is.Equal(body, "/3")
	mu.Lock()
	defer mu.Unlock()
	is.True(strings.Contains(lines.String(), "fault") && strings.Contains(lines.String(), "server_test.go"))
}

type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (w lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(b)
}

// Guards against a shutdown that cuts off accepted requests, answers without a sign of the
// close, or does not end.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	g := newGates()
	s, address := startServer(t, Config{Handler: g, Concurrent: always})
	idle := dial(t, address)
	close(g.gate("/idle"))
	idle.send("/idle")
	_, _, err := idle.receive()
	is.NoErr(err)
	<-g.started
	c := dial(t, address)
	c.send("/1", "/2", "/3")
	is.Equal(take(g.started, 3), []string{"/1", "/2", "/3"})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
	_, err = idle.in.ReadByte()
	is.Equal(err, io.EOF)
	stopped := make(chan error, 1)
	go func(ctx context.Context) { stopped <- s.Shutdown(ctx) }(t.Context())
	for _, path := range []string{"/1", "/2", "/3"} {
		close(g.gate(path))
		body, last, err := c.receive()
		is.NoErr(err)
		is.Equal(body, path)
		is.Equal(last, path == "/3")
	}
	_, err = c.in.ReadByte()
	is.Equal(err, io.EOF)
	c.Close()
	is.NoErr(<-stopped)
}

// Guards against clients that read no response and keep their connection for ever, and
// against cutting off those that read slowly.
func TestSlowReaders(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	ended := make(chan error, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Header()["Content-Type"] = nil
		_, err := w.Write(make([]byte, size))
		ended <- err
	})
	limits := func() prim.ClientLimits { return prim.ClientLimits{IdleTimeout: 200 * time.Millisecond} }
	_, address := startServer(t, Config{Handler: handler, Limits: limits})
	dial(t, address).send("/")
	is.True((<-ended).(net.Error).Timeout())
	slow := dial(t, address)
	slow.send("/")
	resp, err := http.ReadResponse(slow.in, nil)
	is.NoErr(err)
	for range 12 { // longer than the idle timeout
		_, err := io.CopyN(io.Discard, resp.Body, 4<<20)
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(size-12*4<<20))
	is.NoErr(<-ended)
}

// Guards against connections that are never closed: idle, new, or in the middle of a header
// block; and against closing those that still have time.
func TestTimeouts(t *testing.T) {
	for name, sent := range map[string][]string{
		"new":             {""},
		"within a header": {"GET / HTTP/1.1\r\nHost: a\r\n"},
		"idle":            {"GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"used late":       {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := func() prim.ClientLimits {
				return prim.ClientLimits{HeaderTimeout: 450 * time.Millisecond, IdleTimeout: 450 * time.Millisecond}
			}
			// The next request is awaited before the response is written.
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { time.Sleep(10 * time.Millisecond) })
			_, address := startServer(t, Config{Handler: handler, Limits: limits})
			c := dial(t, address)
			begin := time.Now()
			for i, part := range sent {
				if i > 0 {
					time.Sleep(300 * time.Millisecond)
				}
				begin = time.Now()
				io.WriteString(c, part)
				if strings.HasSuffix(part, "\r\n\r\n") {
					_, last, err := c.receive()
					is.NoErr(err)
					is.True(!last)
				}
			}
			_, err := c.in.ReadByte()
			is.Equal(err, io.EOF)
			took := time.Since(begin)
			is.True(took > 440*time.Millisecond && took < 5*time.Second)
		})
	}
}

// Guards against a body that arrives slowly without an end, if the handler sets a deadline,
// and against that deadline ending the next request.
func TestReadDeadlineOfBody(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.NoErr(http.NewResponseController(w).SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
		_, err := io.ReadAll(r.Body)
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
		}
		time.Sleep(120 * time.Millisecond)
	})
	_, address := startServer(t, Config{Handler: handler})
	c := dial(t, address)
	for range 2 {
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
		resp, err := http.ReadResponse(c.in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
	resp, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(resp.Close)
}

// Guards against Server.Close leaving a handler or a connection.
func TestClose(t *testing.T) {
	is := is.New(t)
	g := newGates()
	s, address := startServer(t, Config{Handler: g, Concurrent: always})
	c := dial(t, address)
	c.send("/1", "/2")
	is.Equal(take(g.started, 2), []string{"/1", "/2"})
	is.NoErr(s.Close())
	is.Equal(take(g.ended, 2), []string{"/1", "/2"})
	_, err := c.in.ReadByte()
	is.True(err != nil)
	is.NoErr(s.Shutdown(t.Context())) // all workers have ended
}

// plannedRequest is a request of TestPipelineModel.
type plannedRequest struct {
	id                      int
	post, concurrent        bool
	chunked                 bool
	body                    int
	answer                  int
	delay                   time.Duration
	close, abort, streaming bool
	connection              *connectionLoad
}

// connectionLoad counts the handlers of one connection that run.
type connectionLoad struct{ running, exclusive, violations atomic.Int64 }

// Guards against responses that are lost, mixed up, out of order or sent behind a closing
// one, against requests that run beside those that must run alone, and against those behind a
// closing response that run although they are not idempotent.
func TestPipelineModel(t *testing.T) {
	var mu sync.Mutex
	plans := make(map[int]plannedRequest)
	ran := make(map[int]bool)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.Atoi(r.URL.Path[1:])
		mu.Lock()
		p := plans[id]
		ran[id] = true
		mu.Unlock()
		load := p.connection
		now := load.running.Add(1)
		defer load.running.Add(-1)
		if !p.concurrent {
			load.exclusive.Add(1)
			defer load.exclusive.Add(-1)
			if now > 1 {
				load.violations.Add(1)
			}
		} else if load.exclusive.Load() > 0 {
			load.violations.Add(1)
		}
		if b, err := io.ReadAll(r.Body); err != nil || len(b) != p.body {
			panic(http.ErrAbortHandler) // the client has left
		}
		time.Sleep(p.delay)
		if p.abort {
			panic(http.ErrAbortHandler)
		}
		if p.close {
			w.Header().Set("Connection", "close")
		}
		content := strings.Repeat(strconv.Itoa(id%10), p.answer)
		if p.streaming {
			io.Copy(w, strings.NewReader(content))
		} else {
			w.Header().Set("Content-Length", strconv.Itoa(len(content)))
			w.Header()["Content-Type"] = nil
			io.WriteString(w, content)
		}
	})
	budget := &fakeBudget{limit: 200 << 10}
	_, address := startServer(t, Config{Handler: handler, MaxReadAhead: 3, Memory: budget, Concurrent: func(r *http.Request) bool {
		return r.Header.Get("Concurrent") != ""
	}})
	next := 0
	var loads []*connectionLoad
	rapid.Check(t, func(t *rapid.T) {
		var sent []plannedRequest
		var out []byte
		var heads []int // ends of the headers
		load := &connectionLoad{}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			next++
			p := plannedRequest{
				id: next, concurrent: rapid.IntRange(0, 3).Draw(t, "concurrent") > 0,
				answer: rapid.SampledFrom([]int{0, 1, 3000, 5000, 70000}).Draw(t, "answer"),
				delay:  time.Duration(rapid.IntRange(0, 2).Draw(t, "delay")) * time.Millisecond,
				close:  rapid.IntRange(0, 15).Draw(t, "close") == 0, abort: rapid.IntRange(0, 15).Draw(t, "abort") == 0,
				streaming: rapid.Bool().Draw(t, "streaming"), connection: load,
			}
			if !p.concurrent {
				p.post = rapid.Bool().Draw(t, "post")
			}
			method, body := "GET", ""
			if p.post {
				method = "POST"
				p.body = rapid.SampledFrom([]int{0, 1, 6000}).Draw(t, "body")
				p.chunked = rapid.Bool().Draw(t, "chunked")
				body = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", p.body, strings.Repeat("b", p.body))
				if p.chunked {
					body = "Transfer-Encoding: chunked\r\n\r\n"
					if p.body > 0 {
						body += fmt.Sprintf("%x\r\n%s\r\n", p.body, strings.Repeat("b", p.body))
					}
					body += "0\r\n\r\n"
				}
			} else {
				body = "\r\n"
			}
			mark := ""
			if p.concurrent {
				mark = "Concurrent: yes\r\n"
			}
			request := fmt.Sprintf("%s /%d HTTP/1.1\r\nHost: a\r\n%s%s", method, p.id, mark, body)
			heads = append(heads, len(out)+strings.Index(request, "\r\n\r\n")+len("\r\n\r\n"))
			out = append(out, request...)
			sent = append(sent, p)
		}
		mu.Lock()
		for _, p := range sent {
			plans[p.id] = p
		}
		mu.Unlock()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		written := make(chan struct{})
		pieces := rapid.IntRange(1, 4).Draw(t, "pieces")
		cut := rapid.IntRange(0, 7).Draw(t, "cut") == 0
		cutAt := rapid.IntRange(0, len(out)).Draw(t, "cutAt")
		go func() {
			defer close(written)
			if cut {
				c.Write(out[:cutAt])
				time.Sleep(time.Millisecond)
				c.Close()
				return
			}
			for i := range pieces {
				c.Write(out[len(out)*i/pieces : len(out)*(i+1)/pieces])
			}
		}()
		in := bufio.NewReader(c)
		last := -1
		for i, p := range sent {
			if cut || p.abort {
				break
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("response %d of %d: %v", i, len(sent), err)
			}
			b, err := io.ReadAll(resp.Body)
			if err != nil || string(b) != strings.Repeat(strconv.Itoa(p.id%10), p.answer) {
				t.Fatalf("response %d of %d: %d bytes of %d: %v", i, len(sent), len(b), p.answer, err)
			}
			if resp.Close != p.close {
				t.Fatalf("response %d: close is %t", i, resp.Close)
			}
			if p.close {
				last = i
				break
			}
		}
		for i, p := range sent {
			if p.abort && last < 0 {
				last = i
			}
		}
		if !cut && last >= 0 {
			if b, _ := io.ReadAll(in); len(b) > 0 {
				t.Fatalf("%d bytes behind the last response", len(b))
			}
		}
		<-written
		c.Close()
		for load.running.Load() > 0 {
			time.Sleep(time.Millisecond)
		}
		loads = append(loads, load)
		mu.Lock()
		defer mu.Unlock()
		for i, p := range sent {
			if last >= 0 && i > last && !p.concurrent && ran[p.id] {
				t.Fatalf("request %d ran behind the last response %d", i, last)
			}
			if cut && heads[i] > cutAt && ran[p.id] {
				t.Fatalf("request %d ran although only a part of its header was sent", i)
			}
		}
		// Handlers of an earlier connection that was cut may have ended since.
		for _, l := range loads {
			if l.violations.Load() > 0 {
				t.Fatal("a request that must run alone ran beside others of its connection")
			}
		}
	})
	for budget.inUse() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that runs beside others although its route has become one of
// requests that must not, while it waited for its turn.
func TestConcurrencyIsDecidedAtTheStart(t *testing.T) {
	is := is.New(t)
	g := newGates()
	var exclusive atomic.Bool
	asked := make(chan struct{}, 10)
	concurrent := func(r *http.Request) bool {
		if r.URL.Path != "/c" {
			return true
		}
		defer func() { asked <- struct{}{} }()
		return !exclusive.Load()
	}
	_, address := startServer(t, Config{Handler: g, MaxReadAhead: 1, Concurrent: concurrent})
	c := dial(t, address)
	c.send("/a", "/b", "/c")
	<-asked
	is.Equal(take(g.started, 2), []string{"/a", "/b"})
	exclusive.Store(true)
	close(g.gate("/a"))
	body, _, err := c.receive()
	is.NoErr(err)
	is.Equal(body, "/a")
	select {
	case <-asked: // again, before /c may start
	case path := <-g.started:
		t.Fatal(path + " runs beside /b")
	}
	close(g.gate("/b"))
	body, _, err = c.receive()
	is.NoErr(err)
	is.Equal(body, "/b")
	is.Equal(<-g.started, "/c")
	close(g.gate("/c"))
	body, _, err = c.receive()
	is.NoErr(err)
	is.Equal(body, "/c")
}

// Guards against a reset that destroys the last response of a connection on its way, because
// what the client has sent behind it is never read.
func TestLastResponseArrives(t *testing.T) {
	for name, input := range map[string]string{
		"requests":    strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1000),
		"unread body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("b", 200_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 4 << 20
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", strconv.Itoa(size))
				w.Header()["Content-Type"] = nil
				w.Write(make([]byte, size))
			})
			_, address := startServer(t, Config{Handler: handler, Concurrent: always})
			c := dial(t, address)
			io.WriteString(c, input)
			body, last, err := c.receive()
			is.NoErr(err)
			is.Equal(len(body), size)
			is.True(last)
		})
	}
}
