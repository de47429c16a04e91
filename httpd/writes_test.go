package httpd

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// lateListener accepts connections whose first write begins after its deadline.
type lateListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn)}, nil
}

type lateConn struct {
	*net.TCPConn
	until time.Time
	late  bool
}

// SetWriteDeadline implements net.Conn.
func (c *lateConn) SetWriteDeadline(t time.Time) error {
	c.until = t
	return c.TCPConn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *lateConn) Write(b []byte) (int, error) {
	if !c.late {
		c.late = true
		time.Sleep(time.Until(c.until) + 10*time.Millisecond)
	}
	return c.TCPConn.Write(b)
}

// Guards against a response that is lost, with its connection, because the process was stopped for longer than the idle timeout.
func TestWriteAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	base, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, r.URL.Path)
			w.(http.Flusher).Flush() // one buffer, which does not bypass Write
			io.WriteString(w, strings.Repeat("a", 100<<10))
		}),
		Limits: func() prim.ClientLimits { return prim.ClientLimits{IdleTimeout: 50 * time.Millisecond} },
	})
	go s.Serve(lateListener{base})
	defer s.Close()
	c := dial(t, base.Addr().String())
	c.send("/")
	body, _, err := c.receive()
	is.NoErr(err)
	is.Equal(body, "/"+strings.Repeat("a", 100<<10))
}

// Guards against a client that is cut off by an idle timeout that was in force when the write began and has become longer.
func TestHigherIdleTimeoutAppliesToWriteInProgress(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20 // more than the buffers of both sockets
	var idle atomic.Int64
	idle.Store(int64(50 * time.Millisecond))
	base, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	writing := make(chan struct{})
	l := &deadlineListener{Listener: base, onRead: func(time.Time) {}, onWrite: func(time.Time) {
		if idle.Swap(int64(time.Minute)) != int64(time.Minute) {
			close(writing)
		}
	}}
	s := New(Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			w.Write(make([]byte, size))
		}),
		Limits: func() prim.ClientLimits { return prim.ClientLimits{IdleTimeout: time.Duration(idle.Load())} },
	})
	go s.Serve(l)
	defer s.Close()
	c := dial(t, base.Addr().String())
	c.send("/")
	<-writing
	time.Sleep(time.Second) // write deadlines of the former timeout pass
	body, _, err := c.receive()
	is.NoErr(err)
	is.Equal(len(body), size)
}
