package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/httpd"
)

// serveAhead serves callers as package mesh does, with requests that are read ahead.
func serveAhead(t testing.TB, b Bounds, h http.Handler) *Listener {
	t.Helper()
	base, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(Config{Listener: base.(*net.TCPListener), Bounds: b})
	s := httpd.New(httpd.Config{
		Handler: Handler(h), Concurrent: func(r *http.Request) bool { return r.URL.Path != "/exclusive" }, Memory: b.Memory,
		Limits: b.Limits, ConnState: Track, ConnContext: Context,
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		<-served
	})
	return l
}

func dialAhead(t testing.TB, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// Guards against a connection that is closed to make room while a request that was received
// behind others is about to be answered or refused.
func TestWaitingRequestIsNotSlow(t *testing.T) {
	is := is.New(t)
	l := newBoundedListener(t, Bounds{MaxOpen: 1})
	client := dialAhead(t, l)
	defer client.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	c := accepted.(*conn)
	defer c.Close()
	read := func() {
		_, err := io.WriteString(client, "GET")
		is.NoErr(err)
		n, err := c.ReadNext(make([]byte, 10))
		is.NoErr(err)
		is.Equal(n, 3)
	}
	Track(c, http.StateNew)
	read()
	Track(c, http.StateActive)
	read()
	c.headerSince = c.headerSince.Add(-2 * slowHeader)
	Track(c, http.StateIdle)
	is.True(!c.beginEviction(time.Now()))
	is.True(c.beginEviction(time.Now().Add(2 * slowHeader)))
}

// Guards against a connection that is charged for all headers since it was last idle, until
// it is closed with requests in progress, if it always has a request in progress.
func TestHeadersOfPipelineAreNotAddedUp(t *testing.T) {
	is := is.New(t)
	m := newMemory(256 << 10)
	const n = 100
	// Each request has its own channel: that of the next one may begin to wait first.
	release := make([]chan struct{}, n+1)
	for i := range release {
		release[i] = make(chan struct{})
	}
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		i, err := strconv.Atoi(r.URL.Path[1:])
		is.NoErr(err)
		<-release[i]
	})
	l := serveAhead(t, Bounds{Memory: m, ConnectionBytes: 20 << 10}, h)
	c := dialAhead(t, l)
	defer c.Close()
	in := bufio.NewReader(c)
	send := func(i int) {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", i, strings.Repeat("x", 2<<10))
	}
	send(0)
	for i := range n {
		send(i + 1)
		time.Sleep(2 * time.Millisecond) // for the server to read it while the one before runs
		close(release[i])
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		resp.Body.Close()
	}
	close(release[n])
}

// Guards against a request that is lost, and whose bytes are waited for in a busy loop,
// because a deadline of an earlier request or of the idle time passes between its packets.
func TestHeaderAcrossDeadline(t *testing.T) {
	limits := func() prim.ClientLimits {
		return prim.ClientLimits{HeaderTimeout: 400 * time.Millisecond, IdleTimeout: 600 * time.Millisecond}
	}
	t.Run("idle", func(t *testing.T) {
		is := is.New(t)
		l := serveAhead(t, Bounds{Limits: limits}, answer)
		c := dialAhead(t, l)
		defer c.Close()
		is.NoErr(get(c))
		time.Sleep(500 * time.Millisecond)
		io.WriteString(c, "GET / HT")
		time.Sleep(200 * time.Millisecond) // the idle timeout passes
		io.WriteString(c, "TP/1.1\r\nHost: a\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
	})
	t.Run("behind a slow body", func(t *testing.T) {
		is := is.New(t)
		var bodyRead atomic.Bool
		l := serveAhead(t, Bounds{Limits: limits}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			bodyRead.Store(true)
		}))
		c := dialAhead(t, l)
		defer c.Close()
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n")
		time.Sleep(500 * time.Millisecond) // the body takes longer than the header may
		io.WriteString(c, "aGET / HT")
		in := bufio.NewReader(c)
		_, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.True(bodyRead.Load())
		time.Sleep(100 * time.Millisecond)
		io.WriteString(c, "TP/1.1\r\nHost: a\r\n\r\n")
		_, err = http.ReadResponse(in, nil)
		is.NoErr(err)
	})
}

// Guards against an answer that is lost, with its connection, because the idle timeout of the limits became shorter.
func TestLongAnswerAfterLowerIdleTimeout(t *testing.T) {
	is := is.New(t)
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	limits := func() prim.ClientLimits {
		return prim.ClientLimits{HeaderTimeout: time.Minute, IdleTimeout: time.Duration(idle.Load())}
	}
	const bytes = 6000 // more than the output buffer of package httpd
	l := serveAhead(t, Bounds{Limits: limits}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		if r.URL.Path == "/short" {
			w.Header().Set("Content-Length", "1")
			io.WriteString(w, "a")
			return
		}
		time.Sleep(2 * time.Duration(idle.Load()))
		w.Header().Set("Content-Length", strconv.Itoa(bytes))
		io.WriteString(w, strings.Repeat("a", bytes))
	}))
	c := dialAhead(t, l)
	defer c.Close()
	in := bufio.NewReader(c)
	receive := func() {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	io.WriteString(c, "GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
	receive()
	idle.Store(int64(50 * time.Millisecond))
	// Both at once, so that the connection is never idle.
	io.WriteString(c, "GET /short HTTP/1.1\r\nHost: a\r\n\r\nGET /exclusive HTTP/1.1\r\nHost: a\r\n\r\n")
	receive()
	receive()
}

// Guards against a write deadline that is replaced below a server that remembers it: writes of several buffers then fail.
func TestWriteDeadlineOfServerIsKept(t *testing.T) {
	is := is.New(t)
	l := newBoundedListener(t, Bounds{Limits: func() prim.ClientLimits {
		return prim.ClientLimits{HeaderTimeout: time.Minute, IdleTimeout: time.Nanosecond} // passes before any write
	}})
	client := dial(t, l)
	io.WriteString(client, "a")
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	_, err = c.(*conn).ReadNext(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(c.SetWriteDeadline(time.Now().Add(time.Minute)))
	_, err = c.Write([]byte("b"))
	is.NoErr(err)
	_, err = (&net.Buffers{[]byte("c"), []byte("d")}).WriteTo(c)
	is.NoErr(err)
}

// Guards against a connection that is reported as idle, so that it may be closed for a new
// one, when a request that has been read is about to start.
func TestNotIdleBeforeWaitingRequest(t *testing.T) {
	is := is.New(t)
	base := newListener(t)
	var idle atomic.Int32
	s := httpd.New(httpd.Config{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				idle.Add(1)
			}
		},
	})
	go s.Serve(base)
	defer s.Close()
	c := dialAhead(t, base)
	defer c.Close()
	in := bufio.NewReader(c)
	io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3))
	for range 2 {
		_, err := http.ReadResponse(in, nil)
		is.NoErr(err)
	}
	is.Equal(idle.Load(), int32(0))
	_, err := http.ReadResponse(in, nil)
	is.NoErr(err)
}

// Guards against memory that stays reserved after requests that are read ahead, headers cut
// off at any byte, evictions and departures.
func TestReservationsReturnToZero(t *testing.T) {
	m := newMemory(1 << 20)
	limits := func() prim.ClientLimits {
		return prim.ClientLimits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond, MaxHeaderBytes: 16 << 10}
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/large" {
			w.Write(make([]byte, 32<<10))
		}
	})
	l := serveAhead(t, Bounds{Limits: limits, Memory: m, ConnectionBytes: 20 << 10, MaxOpen: 4}, h)
	pieces := []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /large HTTP/1.1\r\nHost: a\r\n\r\n", "GET /exclusive HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 10<<10) + "\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 24<<10), "not HTTP\r\n\r\n",
	}
	rapid.Check(t, func(rt *rapid.T) {
		var clients []net.Conn
		for range rapid.IntRange(1, 6).Draw(rt, "clients") {
			c := dialAhead(t, l)
			clients = append(clients, c)
			sent := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(rt, "pieces"), "")
			io.WriteString(c, sent[:rapid.IntRange(0, len(sent)).Draw(rt, "cut")])
			if rapid.Bool().Draw(rt, "read") {
				c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
				io.Copy(io.Discard, c)
			}
		}
		for _, c := range clients {
			c.Close()
		}
		for end := time.Now().Add(5 * time.Second); m.used.Load() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				rt.Fatalf("reserved at the end: %d", m.used.Load())
			}
		}
	})
}

// Guards against a planned stop that ends a connection between the responses to requests that
// arrived together, without a response that announces it.
func TestDrainAnswersPipelines(t *testing.T) {
	for range 20 {
		drainPipelines(t)
	}
}

func drainPipelines(t *testing.T) {
	var leaving atomic.Bool
	l := newListener(t)
	s := httpd.New(httpd.Config{
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if leaving.Load() {
				w.Header().Set("Connection", "close")
			}
			time.Sleep(time.Millisecond)
		})),
		Concurrent: func(*http.Request) bool { return !leaving.Load() }, ConnState: Track, ConnContext: Context,
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	const clients, depth = 8, 4
	ended := make(chan string, clients)
	for range clients {
		go func() { ended <- pipelineUntilClose(l, depth) }()
	}
	time.Sleep(20 * time.Millisecond)
	leaving.Store(true)
	time.Sleep(5 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := l.Drain(ctx, s); err != nil {
		t.Error(err)
	}
	for range clients {
		if problem := <-ended; problem != "" {
			t.Error(problem)
		}
	}
	<-served
}

// pipelineUntilClose sends requests, several at a time, until the server closes the connection.
func pipelineUntilClose(l *Listener, depth int) (problem string) {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", depth)); err != nil {
			return ""
		}
		for i := range depth {
			resp, err := http.ReadResponse(in, nil)
			if err != nil && i == 0 {
				return "" // the connection was closed as idle
			}
			if err != nil {
				return fmt.Sprintf("no response to request %d of %d: %v", i, depth, err)
			}
			if resp.Close {
				return ""
			}
		}
	}
}

// Guards against timeouts, headers and evictions that end a connection with requests in progress
// although the node has memory and connections left: requests that take longer than the timeouts,
// long headers behind them, and packets that end anywhere.
func TestCalmConnectionsAreKept(t *testing.T) {
	m := newMemory(64 << 20)
	limits := func() prim.ClientLimits {
		return prim.ClientLimits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 120 * time.Millisecond, MaxHeaderBytes: 16 << 10}
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/slow":
			time.Sleep(150 * time.Millisecond)
		case "/large":
			w.Write(make([]byte, 300<<10))
		}
	})
	l := serveAhead(t, Bounds{Limits: limits, Memory: m, ConnectionBytes: 20 << 10, MaxOpen: 100, MaxPerClient: 50}, h)
	pieces := []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /large HTTP/1.1\r\nHost: a\r\n\r\n", "GET /exclusive HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 10<<10) + "\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde", "POST /slow HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	}
	rapid.Check(t, func(rt *rapid.T) {
		sent := rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 6).Draw(rt, "pieces")
		all := strings.Join(sent, "")
		cut := rapid.IntRange(0, len(all)).Draw(rt, "cut")
		pause := time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Millisecond
		c := dialAhead(t, l)
		defer c.Close()
		go func() {
			io.WriteString(c, all[:cut])
			time.Sleep(pause)
			io.WriteString(c, all[cut:])
		}()
		in := bufio.NewReader(c)
		for i := range sent {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				rt.Fatalf("response %d of %d: %v", i, len(sent), err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
				rt.Fatalf("response %d of %d: %d, close is %t: %v", i, len(sent), resp.StatusCode, resp.Close, err)
			}
		}
	})
}

// noMemory is a prim.MemoryBudget without room. It tells who asks.
type noMemory chan int

func (m noMemory) Reserve(n int) bool {
	m <- n
	return false
}

func (noMemory) Release(int) {}

// Guards against a refusal behind requests in progress that does not reach its client through a
// Listener, or that is reset because the client goes on sending.
func TestRefusalBehindRequestsArrives(t *testing.T) {
	is := is.New(t)
	l := newListener(t)
	started, answer, unread := make(chan struct{}), make(chan struct{}), make(noMemory, 1)
	s := httpd.New(httpd.Config{
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-answer
		})),
		Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }, Unread: unread, ConnState: Track, ConnContext: Context,
	})
	served := make(chan error, 1)
	go func(context.Context) { served <- s.Serve(l) }(t.Context())
	defer func() {
		s.Close()
		<-served
	}()
	c := dialAhead(t, l)
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("b", 100_000))
	<-unread
	close(answer)
	io.WriteString(c, strings.Repeat("b", 100_000))
	in := bufio.NewReader(c)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
		is.Equal(resp.Close, status == http.StatusServiceUnavailable)
	}
	_, err := in.ReadByte()
	is.Equal(err, io.EOF)
}
