// Package conns keeps an HTTP server from dropping requests that have reached its host
// but that it has not read yet. net/http drops them in three cases: when the listener is
// closed while connections wait to be accepted, when an idle connection is closed while a
// request waits in its socket, and when the idle timeout passed while the process was
// stopped, although the request arrived in time.
package conns

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// Listener is a listener for an http.Server whose ConnState is Track.
type Listener struct {
	*net.TCPListener
	deferred atomic.Int64

	mu      sync.Mutex
	closed  bool
	backlog []*net.TCPConn // accepted by Close
}

// New returns a Listener that accepts the connections of l.
func New(l *net.TCPListener) *Listener { return &Listener{TCPListener: l} }

// Track records the state of a connection. It is an http.Server.ConnState function.
func Track(c net.Conn, s http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.idle.Store(s == http.StateIdle)
	}
}

// Deferred returns the number of connections that were to be closed and still have a
// request to serve. http.Server.Shutdown does not wait for them.
func (l *Listener) Deferred() int { return int(l.deferred.Load()) }

// Accept implements net.Listener. After Close it first returns the connections that were
// waiting.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err == nil {
		return &conn{TCPConn: c, listener: l}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.backlog) == 0 {
		return nil, err
	}
	c = l.backlog[0]
	l.backlog = l.backlog[1:]
	return &conn{TCPConn: c, listener: l}, nil
}

// Close implements net.Listener. The kernel resets connections that wait to be accepted
// when their listener is closed, so Close accepts them first.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.acceptBacklog()
	}
	return l.TCPListener.Close()
}

// acceptBacklog accepts all waiting connections. The caller holds l.mu.
func (l *Listener) acceptBacklog() {
	raw, err := l.SyscallConn()
	if err != nil {
		return // already closed
	}
	raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			}
			if err != nil {
				return // EAGAIN: none is waiting
			}
			f := os.NewFile(uintptr(accepted), "")
			c, err := net.FileConn(f) // duplicates the descriptor
			f.Close()
			if c, ok := c.(*net.TCPConn); ok && err == nil {
				l.backlog = append(l.backlog, c)
			}
		}
	})
}

// conn is a connection of a Listener.
type conn struct {
	*net.TCPConn
	listener *Listener
	idle     atomic.Bool // the server waits for the first byte of a request
	// readFailed is set once the server has been told of a read error. It does not read
	// again then.
	readFailed atomic.Bool
	deferred   atomic.Bool // Close was called while a request was waiting
}

// Read implements net.Conn. The deadline of an idle connection does not apply to bytes
// that have already arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 || err == nil {
		return n, err
	}
	if c.idle.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if n := c.receive(b, 0); n > 0 {
			return n, nil
		}
	}
	c.readFailed.Store(true)
	return 0, err
}

// Close implements net.Conn. It has no effect on an idle connection on which a request is
// waiting: the server reads that request, and closes the connection after the response.
func (c *conn) Close() error {
	if c.idle.Load() && !c.readFailed.Load() && c.receive(make([]byte, 1), syscall.MSG_PEEK) > 0 {
		if !c.deferred.Swap(true) {
			c.listener.deferred.Add(1)
		}
		return nil
	}
	if c.deferred.Swap(false) {
		c.listener.deferred.Add(-1)
	}
	return c.TCPConn.Close()
}

// receive reads bytes that have already arrived, regardless of the deadline, and returns
// their number.
func (c *conn) receive(b []byte, flags int) (n int) {
	raw, err := c.SyscallConn()
	if err != nil || len(b) == 0 {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if err != nil {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}
