package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/server"
)

func newClient(addr string, connections int) *server.Client {
	return server.New(server.Config{Host: "h", Address: netip.MustParseAddrPort(addr), Connections: connections})
}

func newRequest(method, path string) *prim.Request {
	return &prim.Request{Method: method, Path: path, Deadline: time.Now().Add(10 * time.Second)}
}

// Guards against a path, header or body that is altered in transit, hop-by-hop headers
// that are forwarded, and a connection that is not reused.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	var remoteAddrs []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remoteAddrs = append(remoteAddrs, r.RemoteAddr)
		b, _ := io.ReadAll(r.Body)
		is.Equal(r.Header.Get("Connection"), "")
		is.Equal(r.Header.Get("Accept"), "x")
		is.True(r.Header.Get(server.HeaderTimeout) != "")
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(201)
		w.Write(b)
	}))
	defer s.Close()
	c := newClient(s.Listener.Addr().String(), 2)
	defer c.Close()
	for range 3 {
		r := newRequest("POST", "/a%2Fb?c=d")
		r.Header = http.Header{"Accept": {"x"}, "Connection": {"close"}}
		r.Body = []byte("body")
		a, err := c.Do(context.Background(), r)
		is.NoErr(err)
		is.Equal(a.Status, 201)
		is.Equal(a.Header.Get("X-Path"), "/a%2Fb?c=d")
		is.Equal(string(a.Body), "body")
	}
	is.Equal(remoteAddrs[0], remoteAddrs[2])
	is.Equal(c.Status().Open, 1)
	head := newRequest("HEAD", "/")
	head.Header = http.Header{"Accept": {"x"}}
	a, err := c.Do(context.Background(), head)
	is.NoErr(err)
	is.Equal(len(a.Body), 0)
}

// startHeldServer starts a server that reports each request on entered and answers it when release
// gets a value or is closed.
func startHeldServer(t *testing.T) (address string, entered, release chan struct{}) {
	entered, release = make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), entered, release
}

// Guards against more open connections than Config.Connections. A request without a
// connection must be refused as NotRun.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	address, entered, release := startHeldServer(t)
	c := newClient(address, 1)
	defer c.Close()
	result := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), newRequest("GET", "/"))
		result <- err
	}()
	<-entered
	_, err := c.Do(context.Background(), newRequest("GET", "/"))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	close(release)
	is.NoErr(<-result)
}

// Guards against connections beyond a bound that was lowered while they were open, in use or
// idle.
func TestConnectionLimitIsLowered(t *testing.T) {
	is := is.New(t)
	address, entered, release := startHeldServer(t)
	defer close(release)
	c := newClient(address, 4)
	defer c.Close()
	results := make(chan error)
	begin := func(n int) {
		for range n {
			go func() {
				_, err := c.Do(context.Background(), newRequest("GET", "/"))
				results <- err
			}()
			<-entered
		}
	}
	end := func(n int) {
		for range n {
			release <- struct{}{}
			is.NoErr(<-results)
		}
	}
	begin(4)
	c.SetConnections(3)
	end(4)
	is.Equal(c.Status(), server.Status{Open: 3, Idle: 3, Connections: 3})
	begin(1)
	c.SetConnections(2)
	is.Equal(c.Status(), server.Status{Open: 2, Idle: 1, Connections: 2})
	c.SetConnections(1)
	end(1)
	is.Equal(c.Status().Open, 1)
}

// Guards against the outcome NotRun for a request that reached the server, and Unknown
// for one that was not sent.
func TestOutcomeOfFailures(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := newClient(l.Addr().String(), 1)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut")
			conn.Close()
		}
	}()
	_, err = c.Do(context.Background(), newRequest("GET", "/")) // response body truncated
	is.Equal(prim.OutcomeOf(err), prim.Unknown)
	l.Close()
	_, err = c.Do(context.Background(), newRequest("GET", "/")) // connection refused
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	expired := newRequest("GET", "/")
	expired.Deadline = time.Now().Add(-time.Second)
	_, err = c.Do(context.Background(), expired)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
}

// Guards against sending a request on an idle connection that the server has closed. Its
// outcome would be Unknown although it never ran.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c := newClient(s.Listener.Addr().String(), 1)
	defer c.Close()
	for range 5 {
		_, err := c.Do(context.Background(), newRequest("POST", "/"))
		is.NoErr(err)
		s.CloseClientConnections()
	}
}

// Guards against a cancelled request that keeps running at the server.
func TestCancel(t *testing.T) {
	is := is.New(t)
	entered, cancelled := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(cancelled)
	}))
	defer s.Close()
	c := newClient(s.Listener.Addr().String(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	r := newRequest("GET", "/")
	r.Deadline = time.Now().Add(time.Hour) // only the cancellation can end it
	_, err := c.Do(ctx, r)
	is.Equal(prim.OutcomeOf(err), prim.Unknown)
	<-cancelled
	is.Equal(c.Status().Open, 0)
}

// Guards against returning the response to a shed request as an answer, and against
// treating every 503 as shed.
func TestShed(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(server.HeaderShed, r.Header.Get("Shed"))
		w.WriteHeader(503)
	}))
	defer s.Close()
	c := newClient(s.Listener.Addr().String(), 1)
	defer c.Close()
	r := newRequest("GET", "/")
	r.Header = http.Header{"Shed": {"true"}}
	_, err := c.Do(context.Background(), r)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	a, err := c.Do(context.Background(), newRequest("GET", "/"))
	is.NoErr(err)
	is.Equal(a.Status, 503)
}

// Guards against a streamed response that loses bytes, or that appears complete although
// the server closed the connection early.
func TestLongAnswer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 3*prim.MaxBufferedBody)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			io.WriteString(w, long[:2*prim.MaxBufferedBody])
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, long)
	}))
	defer s.Close()
	c := newClient(s.Listener.Addr().String(), 1)
	defer c.Close()
	a, err := c.Do(context.Background(), newRequest("GET", "/"))
	is.NoErr(err)
	rest, err := io.ReadAll(a.Rest)
	is.NoErr(err)
	is.NoErr(a.Rest.Close())
	is.Equal(string(a.Body)+string(rest), long)
	is.Equal(c.Status().Idle, 1)
	a, err = c.Do(context.Background(), newRequest("GET", "/cut"))
	is.NoErr(err)
	_, err = io.ReadAll(a.Rest)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.NoErr(a.Rest.Close())
	is.Equal(c.Status().Open, 0)
}

// Guards against a wait for a body that Config.Buffers has no use for, and against a connection
// that is used again before that body was read.
func TestUnbufferedAnswer(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/endless" {
			io.WriteString(w, "begin")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	c := server.New(server.Config{Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Connections: 1,
		Buffers: func(_ *prim.Request, a *prim.Answer) bool {
			return a.Status == 200 && a.Header.Get("Content-Length") != ""
		}})
	defer c.Close()
	for range 2 {
		a, err := c.Do(context.Background(), newRequest("GET", "/endless"))
		is.NoErr(err)
		is.True(a.Rest != nil)
		is.Equal(len(a.Body), 0)
		a.Drop()
		is.Equal(c.Status().Open, 0)
		a, err = c.Do(context.Background(), newRequest("GET", "/empty"))
		is.NoErr(err)
		is.Equal(a.Rest, nil)
		is.Equal(c.Status().Idle, 1)
	}
}
