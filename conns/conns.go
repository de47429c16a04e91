// Package conns keeps an HTTP server from dropping requests that have reached its host
// but that it has not read yet. net/http drops them when the listener is closed while
// connections wait to be accepted; when http.Server.Shutdown began before a request was
// read; when Shutdown closes an idle connection on which a request waits or is being
// read; and when the idle timeout passed while the process was stopped, although the
// request arrived in time.
//
// One case remains: a client sends its next request on a connection while the server
// closes it as idle.
//
// It also bounds what connections of clients cost, where these keep to no rule: their
// number, the time of headers and between requests, and the time of clients that don't
// read.
package conns

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

// Config configures a Listener.
type Config struct {
	Listener *net.TCPListener
	// OnReject is called with responses that net/http sends without calling the handler;
	// it may be nil. The server's ConnContext has to be Context, and its handler one
	// returned by Handler.
	OnReject func(client net.Addr, response string)
	Bounds   Bounds
}

// Listener is a listener for an http.Server or httpd.Server whose ConnState calls Track.
type Listener struct {
	*net.TCPListener
	onReject func(client net.Addr, response string)
	bounds   Bounds

	mu      sync.Mutex
	closed  bool
	backlog []*net.TCPConn     // accepted by Close
	open    map[*conn]bool     // connections of the server that are neither closed nor hijacked
	clients map[netip.Addr]int // number of these
}

// New returns a Listener.
func New(c Config) *Listener {
	l := &Listener{TCPListener: c.Listener, onReject: c.OnReject, bounds: c.Bounds, open: make(map[*conn]bool), clients: make(map[netip.Addr]int)}
	// If it fails, the listener keeps the backlog that it was opened with.
	_ = l.limitBacklog()
	return l
}

// Track records the state of a connection. It is an http.Server.ConnState function.
func Track(c net.Conn, s http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = s == http.StateNew || s == http.StateIdle
		c.received = c.received && c.ahead
		c.used = c.used || s == http.StateIdle
		c.waitingSince = time.Time{}
		if c.idle {
			c.waitingSince = time.Now()
			// A header that was received behind requests in progress may have waited for them.
			c.headerSince = c.waitingSince
		}
		if s == http.StateIdle {
			c.handled.Store(false)
			c.releaseHeader()
		}
		if s == http.StateHijacked {
			c.releaseHeader()
			c.listener.forget(c)
		}
	}
}

const (
	// drainPollInterval is the time between two checks for open connections.
	drainPollInterval = 10 * time.Millisecond
	// unusedTimeout is how long a draining server waits for the first request of a new
	// connection. It is the time that clients of the users' platform allow for connecting.
	unusedTimeout = time.Second
)

// Server is what Drain needs of a server.
type Server interface {
	Shutdown(context.Context) error
}

// Drain shuts the server of the listener down. It accepts no more connections, serves the
// requests that have arrived, and closes connections that become idle. The server's
// responses should ask clients to close their connections meanwhile. Drain is used instead
// of http.Server.Shutdown, which drops requests that the server reads after its begin. When
// the context ends, the error is that of the context.
func (l *Listener) Drain(ctx context.Context, s Server) error {
	l.Close()
	for ctx.Err() == nil && l.closeIdle(time.Now()) > 0 {
		waits.Sleep(ctx, drainPollInterval)
	}
	return s.Shutdown(ctx)
}

// closeIdle closes the connections without a request and returns the number of those that
// are still open or wait to be accepted.
func (l *Listener) closeIdle(now time.Time) int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	n := len(open) + len(l.backlog)
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle(now)
	}
	return n
}

// forget removes a connection from the open ones.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open[c] {
		return
	}
	delete(l.open, c)
	if l.clients[c.client]--; l.clients[c.client] == 0 {
		delete(l.clients, c.client)
	}
	l.bounds.release(c.reservedBytes)
}

// Accept implements net.Listener. After Close it first returns the connections that were
// waiting, and then http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.makeRoom(c) {
			return c, nil
		}
		c.Close()
	}
}

func (l *Listener) accept() (*conn, error) {
	c, err := l.AcceptTCP()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.closed {
			return nil, err
		}
		if len(l.backlog) == 0 {
			return nil, http.ErrServerClosed
		}
		c = l.backlog[0]
		l.backlog = l.backlog[1:]
	}
	now := time.Now()
	accepted := &conn{TCPConn: c, listener: l, client: clientAddress(c), idle: true, acceptedAt: now, waitingSince: now}
	l.open[accepted] = true
	l.clients[accepted.client]++
	return accepted, nil
}

// Close implements net.Listener. The kernel resets connections that wait to be accepted
// when their listener is closed, so Close accepts them first. Only the first call has an
// effect: http.Server closes its listener again at its shutdown.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.acceptBacklog()
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

// conn is a connection of a Listener. While it is idle, the server's goroutine is on its
// way to Read, in Read, or has given up. Only in Read is it sure to serve a request that
// arrives.
type conn struct {
	*net.TCPConn
	listener   *Listener
	client     netip.Addr
	acceptedAt time.Time
	handled    atomic.Bool // the handler has been called for the current request
	// writesEnded is set if the last write deadline was in the past.
	writesEnded atomic.Bool
	// dropped is set if a part of a header was received and the rest is not read. net/http
	// takes the part for a malformed header; its response is not sent, since the client may
	// send the request again.
	dropped       atomic.Bool
	reservedBytes int // for the connection; guarded by listener.mu

	mu       sync.Mutex // held while bytes are received on an idle connection
	idle     bool       // the server waits for the first byte of a request
	used     bool       // a request has been served
	reading  bool       // an idle connection is in Read, or the connection is in ReadNext
	received bool       // a request has begun since the connection became idle, or since ReadNext was called
	ahead    bool       // the server calls ReadNext and sets all deadlines
	closing  bool       // closeIfIdle closes the connection; no request is read any more

	waitingSince time.Time // when the connection became idle; zero while a request is handled
	headerSince  time.Time // when a request has begun, if received, but not before the connection became idle
	headerBytes  int       // received since the connection became idle
	headerHeld   int       // bytes that are reserved for them
}

// Read implements net.Conn. The deadline of an idle connection does not apply to the first
// bytes of a request that have already arrived.
func (c *conn) Read(b []byte) (int, error) {
	if !c.beginIdleRead() {
		return c.TCPConn.Read(b)
	}
	return c.readTracked(b)
}

// ReadNext is Read for the first bytes of a request. Servers that read them while earlier
// requests of the connection are in progress have to call it instead of Read, since Read
// goes by the state of the connection at its call. They set all deadlines themselves, and
// read no more than bufferedHeaderBytes ahead.
func (c *conn) ReadNext(b []byte) (int, error) {
	c.beginReadNext()
	return c.readTracked(b)
}

// beginReadNext sets reading.
func (c *conn) beginReadNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead, c.reading, c.received = true, true, false
}

// readTracked reads from the connection, while reading is set.
func (c *conn) readTracked(b []byte) (int, error) {
	n, err := c.readIdle(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.received {
		if pending, pendingErr := c.receive(b, 0); pendingErr == nil && pending > 0 {
			c.received, c.headerSince = true, time.Now()
			return pending, c.countHeader(pending)
		}
	}
	if err == nil && c.idle {
		// What ReadNext receives while requests are in progress is in the cost of the
		// connection: the server reads no more than its input buffer then.
		err = c.countHeader(n)
	}
	if c.ahead && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err // the server may read on, and sends no response if it does not
	}
	if err != nil && c.received && err != io.EOF {
		c.dropped.Store(true)
		return 0, err
	}
	return n, err
}

// hasOwnDeadlines reports whether the server sets all deadlines.
func (c *conn) hasOwnDeadlines() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead
}

// beginIdleRead sets reading and returns true if the connection is idle.
func (c *conn) beginIdleRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = c.idle
	if c.idle && !c.ahead {
		c.setHeaderDeadline()
	}
	return c.idle
}

// readIdle reads from an idle connection until its deadline.
func (c *conn) readIdle(b []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closing {
			err = net.ErrClosed
			return true
		}
		n, err = receive(fd, b, 0)
		if !c.received && n > 0 {
			c.received, c.headerSince = true, time.Now()
		}
		return err != syscall.EAGAIN
	})
	if errors.Is(waitErr, net.ErrClosed) || errors.Is(err, net.ErrClosed) {
		// net/http responds with 400 to errors other than those of a read.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	if waitErr != nil {
		return 0, waitErr
	}
	if n == 0 && err == nil && len(b) > 0 {
		return 0, io.EOF
	}
	if err != nil {
		return 0, err
	}
	return n, nil
}

// closeIfIdle closes an idle connection on which no request has arrived. A read that is in
// progress then fails, and the server calls Close.
func (c *conn) closeIfIdle(now time.Time) {
	// TCPConn.Close waits for readIdle, which needs c.mu.
	if c.beginClose(now) {
		c.TCPConn.Close()
	}
}

// beginClose sets closing and returns true if the connection may be closed as idle.
func (c *conn) beginClose(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || !c.reading || c.received || !c.used && now.Sub(c.acceptedAt) < unusedTimeout {
		return false
	}
	_, err := c.receive(make([]byte, 1), syscall.MSG_PEEK)
	c.closing = err == syscall.EAGAIN
	return c.closing
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.releaseHeader()
	c.mu.Unlock()
	c.listener.forget(c)
	return c.TCPConn.Close()
}

// receive is receive on the descriptor of the connection.
func (c *conn) receive(b []byte, flags int) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) { n, err = receive(fd, b, flags) }); controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// receive receives bytes that have already arrived, regardless of the deadline. It
// returns syscall.EAGAIN if there are none, and no bytes and no error at the end.
func receive(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}
