package httpd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// deadlineListener calls onRead and onWrite, if not nil, after the deadlines of its connections were
// set. With late, the first write of a connection begins when its deadline has passed.
type deadlineListener struct {
	net.Listener
	onRead, onWrite func(time.Time)
	late            bool
}

// Accept implements net.Listener.
func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{TCPConn: c.(*net.TCPConn), listener: l, late: l.late}, nil
}

type deadlineConn struct {
	*net.TCPConn
	listener *deadlineListener
	late     bool
}

// SetReadDeadline implements net.Conn.
func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.listener.onRead != nil {
		c.listener.onRead(t)
	}
	return err
}

// SetWriteDeadline implements net.Conn.
func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	err := c.TCPConn.SetWriteDeadline(t)
	if c.listener.onWrite != nil {
		c.listener.onWrite(t)
	}
	return err
}

// Write implements net.Conn.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if c.late {
		c.late = false
		c.TCPConn.SetWriteDeadline(past)
	}
	return c.TCPConn.Write(b)
}

// idleTimeout is an idle timeout that changes.
type idleTimeout struct{ atomic.Int64 }

func (i *idleTimeout) set(d time.Duration) { i.Store(int64(d)) }

// limits returns limits with the present idle timeout.
func (i *idleTimeout) limits() prim.ClientLimits {
	return prim.ClientLimits{IdleTimeout: time.Duration(i.Load())}
}

const (
	shortIdle = 50 * time.Millisecond
	longIdle  = time.Minute
)

// signalOnce returns a channel and a function whose first call closes it.
func signalOnce() (done chan struct{}, signal func()) {
	done = make(chan struct{})
	return done, sync.OnceFunc(func() { close(done) })
}

// Guards against a connection that is closed while its client may still use it, because the idle timeout became longer.
func TestConnectionIsKeptAfterHigherIdleTimeout(t *testing.T) {
	is := is.New(t)
	var idle idleTimeout
	idle.set(shortIdle)
	extended, extend := signalOnce()
	closed, end := signalOnce()
	_, address := startServerOn(t, Config{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Limits: idle.limits,
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				end()
			}
		},
	}, func(l net.Listener) net.Listener {
		return &deadlineListener{Listener: l, onRead: func(at time.Time) {
			switch {
			case idle.limits().IdleTimeout == longIdle && at.After(time.Now().Add(longIdle/2)):
				extend()
			case at.Before(time.Now().Add(shortIdle)):
				idle.set(longIdle)
			}
		}}
	})
	c := dial(t, address)
	c.send("/")
	_, _, err := c.receive()
	is.NoErr(err)
	select {
	case <-extended:
	case <-closed:
		t.Fatal("the connection is closed by the former idle timeout")
	}
	c.send("/")
	_, _, err = c.receive()
	is.NoErr(err)
}

// Guards against a client that may read slowly for as long as an idle timeout allowed that has become shorter.
func TestLowerIdleTimeoutAppliesToWrites(t *testing.T) {
	is := is.New(t)
	var idle idleTimeout
	var until atomic.Int64
	_, address := startServerOn(t, Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Limits: idle.limits}, func(l net.Listener) net.Listener {
		return &deadlineListener{Listener: l, onWrite: func(at time.Time) { until.Store(at.UnixNano()) }}
	})
	c := dial(t, address)
	for _, timeout := range []time.Duration{time.Minute, 10 * time.Second} {
		idle.set(timeout)
		c.send("/")
		_, _, err := c.receive()
		is.NoErr(err)
		is.True(time.Until(time.Unix(0, until.Load())) <= timeout+timeout/4)
	}
}

// hookListener calls onWrite after each write to its connections, which have no descriptor.
type hookListener struct {
	net.Listener
	onWrite func(n int, err error)
}

// Accept implements net.Listener.
func (l *hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hookConn{c, l.onWrite}, nil
}

type hookConn struct {
	net.Conn
	onWrite func(n int, err error)
}

// Write implements net.Conn.
func (c hookConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.onWrite(n, err)
	return n, err
}

// Guards against a client that is cut off by an idle timeout that was in force when the write began and has become longer.
func TestHigherIdleTimeoutAppliesToWriteInProgress(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20 // more than the buffers of both sockets
	var idle idleTimeout
	idle.set(shortIdle)
	raised, raise := signalOnce()
	_, address := startServerOn(t, Config{Limits: idle.limits, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(make([]byte, size))
	})}, func(l net.Listener) net.Listener {
		return &hookListener{l, func(n int, err error) {
			if n < minWriteBytes && errors.Is(err, os.ErrDeadlineExceeded) {
				idle.set(longIdle)
				raise()
			}
		}}
	})
	c := dial(t, address)
	c.send("/")
	<-raised
	body, _, err := c.receive()
	is.NoErr(err)
	is.Equal(len(body), size)
}

// Guards against a response that is lost, with its connection, because the process was stopped for longer than the idle timeout.
func TestWriteAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("a", 100<<10)
	_, address := startServerOn(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.URL.Path)
		w.(http.Flusher).Flush() // one buffer, which does not bypass Write
		io.WriteString(w, body)
	})}, func(l net.Listener) net.Listener { return &deadlineListener{Listener: l, late: true} })
	c := dial(t, address)
	c.send("/")
	got, _, err := c.receive()
	is.NoErr(err)
	is.Equal(got, "/"+body)
}
