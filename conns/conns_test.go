package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newListener(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return New(l.(*net.TCPListener))
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// accept returns the server's side of a connection with the given state, on which n bytes
// of the client have arrived.
func accept(t *testing.T, l *Listener, s http.ConnState, n int) *conn {
	t.Helper()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.(*conn).TCPConn.Close() })
	Track(accepted, s)
	c := accepted.(*conn)
	for c.receive(make([]byte, n+1), syscall.MSG_PEEK) < n {
		time.Sleep(time.Millisecond)
	}
	return c
}

// Guards against connections that are reset when the listener is closed, although the
// client has connected and sent its request.
func TestCloseServesBacklog(t *testing.T) {
	is := is.New(t)
	l := newListener(t)
	for range 5 {
		io.WriteString(dial(t, l), "request")
	}
	is.NoErr(l.Close())
	for range 5 {
		c, err := l.Accept()
		is.NoErr(err)
		b := make([]byte, 7)
		_, err = io.ReadFull(c, b)
		is.NoErr(err)
		is.Equal(string(b), "request")
		c.Close()
	}
	_, err := l.Accept()
	is.True(err != nil)
}

// Guards against an idle timeout that ends a connection on which a request has arrived,
// as happens when the process was stopped past the timeout.
func TestIdleTimeoutWithRequest(t *testing.T) {
	is := is.New(t)
	l := newListener(t)
	io.WriteString(dial(t, l), "request")
	c := accept(t, l, http.StateIdle, 7)
	c.SetReadDeadline(time.Unix(1, 0))
	b := make([]byte, 16)
	n, err := c.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "request")
	_, err = c.Read(b) // nothing more has arrived
	is.True(err.(net.Error).Timeout())
	Track(c, http.StateActive)
	io.WriteString(dial(t, l), "request")
	active := accept(t, l, http.StateActive, 7)
	active.SetReadDeadline(time.Unix(1, 0))
	_, err = active.Read(b) // other deadlines hold
	is.True(err.(net.Error).Timeout())
}

// Guards against a shutdown that closes an idle connection on which a request has
// arrived, and against connections that are never closed.
func TestCloseIdleWithRequest(t *testing.T) {
	is := is.New(t)
	l := newListener(t)
	io.WriteString(dial(t, l), "request")
	c := accept(t, l, http.StateIdle, 7)
	is.NoErr(c.Close())
	is.Equal(l.Deferred(), 1)
	b := make([]byte, 16)
	n, err := c.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "request")
	Track(c, http.StateActive)
	is.NoErr(c.Close())
	is.Equal(l.Deferred(), 0)
	_, err = c.Read(b)
	is.True(err != nil)

	silent := dial(t, l)
	c = accept(t, l, http.StateIdle, 0)
	is.NoErr(c.Close())
	_, err = silent.Read(b)
	is.Equal(err, io.EOF)

	io.WriteString(dial(t, l), "request")
	c = accept(t, l, http.StateIdle, 7)
	c.readFailed.Store(true) // the server no longer reads
	is.NoErr(c.Close())
	is.Equal(l.Deferred(), 0)
}

// Guards against a shutdown under load that cuts off a request: each one that the server
// has read must get its whole answer.
func TestShutdownUnderLoad(t *testing.T) {
	is := is.New(t)
	l := newListener(t)
	var handled, answered atomic.Int64
	server := &http.Server{ConnState: Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		time.Sleep(5 * time.Millisecond)
		io.WriteString(w, "answer")
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	const clients = 16
	ended := make(chan struct{}, clients)
	for range clients {
		c := dial(t, l)
		go func() {
			defer func() { ended <- struct{}{} }()
			reader := bufio.NewReader(c)
			for {
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				if b, err := io.ReadAll(resp.Body); err == nil && string(b) == "answer" {
					answered.Add(1)
				}
				if resp.Close {
					return
				}
			}
		}()
	}
	for handled.Load() < 8*clients {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(server.Shutdown(context.Background()))
	for range clients {
		<-ended
	}
	is.Equal(l.Deferred(), 0)
	is.Equal(answered.Load(), handled.Load())
	is.Equal(<-served, http.ErrServerClosed)
}
