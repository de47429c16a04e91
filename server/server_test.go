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

func client(addr string, connections int) *server.Client {
	return server.New(server.Config{Host: "h", Address: netip.MustParseAddrPort(addr), Connections: connections})
}

func request(method, path string) *prim.Request {
	return &prim.Request{Method: method, Path: path, Deadline: time.Now().Add(10 * time.Second)}
}

// Guards against headers, path or body that change on the way to the server or
// back, and against a connection that is not reused.
func TestExchange(t *testing.T) {
	is := is.New(t)
	var remotes []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remotes = append(remotes, r.RemoteAddr)
		b, _ := io.ReadAll(r.Body)
		is.Equal(r.Header.Get("Connection"), "")
		is.Equal(r.Header.Get("Accept"), "x")
		is.True(r.Header.Get(server.HeaderTimeout) != "")
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(201)
		w.Write(b)
	}))
	defer s.Close()
	c := client(s.Listener.Addr().String(), 2)
	defer c.Close()
	for range 3 {
		r := request("POST", "/a%2Fb?c=d")
		r.Header = http.Header{"Accept": {"x"}, "Connection": {"close"}}
		r.Body = []byte("body")
		a, err := c.Do(context.Background(), r)
		is.NoErr(err)
		is.Equal(a.Status, 201)
		is.Equal(a.Header.Get("X-Path"), "/a%2Fb?c=d")
		is.Equal(string(a.Body), "body")
	}
	is.Equal(remotes[0], remotes[2])
	is.Equal(c.Status().Open, 1)
	head := request("HEAD", "/")
	head.Header = http.Header{"Accept": {"x"}}
	a, err := c.Do(context.Background(), head)
	is.NoErr(err)
	is.Equal(len(a.Body), 0)
}

// Guards against more connections than the server accepts.
func TestConnectionBound(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	}))
	defer s.Close()
	c := client(s.Listener.Addr().String(), 1)
	defer c.Close()
	result := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), request("GET", "/"))
		result <- err
	}()
	<-entered
	_, err := c.Do(context.Background(), request("GET", "/"))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	close(leave)
	is.NoErr(<-result)
}

// Guards against NotRun for a request that reached the server, and against
// Unknown for one that did not.
func TestOutcomeOfFailures(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := client(l.Addr().String(), 1)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut")
			conn.Close()
		}
	}()
	_, err = c.Do(context.Background(), request("GET", "/")) // cut in the middle
	is.Equal(prim.OutcomeOf(err), prim.Unknown)
	l.Close()
	_, err = c.Do(context.Background(), request("GET", "/")) // nobody listens
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	late := request("GET", "/")
	late.Deadline = time.Now().Add(-time.Second)
	_, err = c.Do(context.Background(), late)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
}

// Guards against a request on an idle connection that the server has closed:
// it would end as Unknown although it never ran.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c := client(s.Listener.Addr().String(), 1)
	defer c.Close()
	for range 5 {
		_, err := c.Do(context.Background(), request("POST", "/"))
		is.NoErr(err)
		s.CloseClientConnections()
	}
}

// Guards against a cancelled request that goes on at the server.
func TestCancel(t *testing.T) {
	is := is.New(t)
	entered, gone := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(gone)
	}))
	defer s.Close()
	c := client(s.Listener.Addr().String(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	r := request("GET", "/")
	r.Deadline = time.Now().Add(time.Hour) // only the cancellation can end it
	_, err := c.Do(ctx, r)
	is.Equal(prim.OutcomeOf(err), prim.Unknown)
	<-gone
	is.Equal(c.Status().Open, 0)
}

// Guards against a shed request being taken for an answer.
func TestShed(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(server.HeaderShed, r.Header.Get("Shed"))
		w.WriteHeader(503)
	}))
	defer s.Close()
	c := client(s.Listener.Addr().String(), 1)
	defer c.Close()
	r := request("GET", "/")
	r.Header = http.Header{"Shed": {"true"}}
	_, err := c.Do(context.Background(), r)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	a, err := c.Do(context.Background(), request("GET", "/"))
	is.NoErr(err)
	is.Equal(a.Status, 503)
}

// Guards against a long answer that loses bytes, or that looks complete when
// the server ended early.
func TestLongAnswer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 3*prim.MaxCollected)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			io.WriteString(w, long[:2*prim.MaxCollected])
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, long)
	}))
	defer s.Close()
	c := client(s.Listener.Addr().String(), 1)
	defer c.Close()
	a, err := c.Do(context.Background(), request("GET", "/"))
	is.NoErr(err)
	rest, err := io.ReadAll(a.Rest)
	is.NoErr(err)
	is.NoErr(a.Rest.Close())
	is.Equal(string(a.Body)+string(rest), long)
	is.Equal(c.Status().Idle, 1)
	a, err = c.Do(context.Background(), request("GET", "/cut"))
	is.NoErr(err)
	_, err = io.ReadAll(a.Rest)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.NoErr(a.Rest.Close())
	is.Equal(c.Status().Open, 0)
}
