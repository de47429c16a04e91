package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/blocks"
	"github.com/primrosethread/primrosethread/waits"
)

// The connection pool reuses the most recently used connection first, so that few
// connections stay in use and the others reach their idle timeout. The owner's
// admission limit never exceeds the server's connection limit, so a connection is
// normally available; otherwise the request is refused and may be sent to another host.

// receiveBytes is the size that is asked for the receive buffer of a connection. A faulty server
// can fill twice as much while the connection is not read. A buffer below the largest segment,
// 64 KiB on the loopback interface, makes the kernel wait for timers.
const receiveBytes = 48 << 10

// connection is a pooled connection to the server.
type connection struct {
	net         net.Conn
	input       *limitedInput // of net
	reader      *bufio.Reader // of input
	writer      *bufio.Writer
	lastUsed    time.Time
	idleTimeout time.Duration // unused connections are closed after this time
	requests    int           // number of requests sent, including the current one
	// returnsSequence is set once a response had the HeaderSequence of its request.
	returnsSequence bool
}

// sequence returns the HeaderSequence of the current request.
func (c *connection) sequence() string { return strconv.Itoa(c.requests) }

// limitedInput bounds and charges the bytes that are read for the header of a response, since a
// faulty server may send one without end.
type limitedInput struct {
	r         io.Reader
	limited   bool
	remaining int // if limited
	meter     blocks.Meter
}

var errHeaderTooLarge = fmt.Errorf("the header of the answer has more than %d bytes", prim.MaxHeaderBytes)

func (l *limitedInput) limit(n int) { l.limited, l.remaining = true, n }
func (l *limitedInput) unlimit()    { l.limited = false }

// Read implements io.Reader. It returns errHeaderTooLarge at the limit.
func (l *limitedInput) Read(b []byte) (int, error) {
	if !l.limited {
		return l.r.Read(b)
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(b)
	l.remaining -= n
	if noMemory := l.meter.Add(b[:n]); noMemory != nil {
		return 0, noMemory
	}
	return n, err
}

// acquireConn returns an idle connection that the server has not closed, or a new one. If it
// fails, nothing has been sent.
func (c *Client) acquireConn(ctx context.Context) (*connection, error) {
	for {
		c.mu.Lock()
		n := len(c.idleConns)
		if n == 0 {
			if c.openConns >= c.config.Connections {
				c.mu.Unlock()
				return nil, c.refusal(prim.ReasonBusy)
			}
			c.openConns++
			c.mu.Unlock()
			return c.dialServer(ctx)
		}
		conn := c.idleConns[n-1]
		c.idleConns[n-1] = nil
		c.idleConns = c.idleConns[:n-1]
		c.mu.Unlock()
		if conn.isUsable() {
			return conn, nil
		}
		c.discardConn(conn)
	}
}

// dialServer opens a connection, which the caller has already counted in openConns.
func (c *Client) dialServer(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{Timeout: c.config.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		c.mu.Lock()
		c.openConns--
		c.mu.Unlock()
		return nil, c.refusal(prim.ReasonUnreachable)
	}
	if c, ok := conn.(*net.TCPConn); ok {
		// Without the bound the connection works all the same.
		_ = c.SetReadBuffer(receiveBytes)
	}
	input := &limitedInput{r: conn, meter: blocks.Meter{Memory: c.config.HeaderMemory}}
	return &connection{
		idleTimeout: c.config.IdleTimeout,
		net:         conn,
		input:       input,
		reader:      bufio.NewReaderSize(input, bufferSize),
		writer:      bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

// releaseConn returns a connection to the pool. It closes the connection if it is not
// reusable or has unread input, or if too many are open.
func (c *Client) releaseConn(conn *connection, reusable bool) {
	if !reusable || conn.reader.Buffered() > 0 {
		c.discardConn(conn)
		return
	}
	conn.lastUsed = time.Now()
	c.mu.Lock()
	kept := c.openConns <= c.config.Connections
	if kept {
		c.idleConns = append(c.idleConns, conn)
	}
	c.mu.Unlock()
	if !kept {
		c.discardConn(conn)
	}
}

// idleCheckInterval is the time between two checks of the idle connections.
const idleCheckInterval = time.Second

// Run checks the idle connections until the context ends, and then sends the context's error on
// the channel. Without it, connections that are never used again hold what the server sends.
func (c *Client) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for waits.Sleep(ctx, idleCheckInterval) == nil {
			c.checkIdle()
		}
		ended <- ctx.Err()
	}()
	return ended
}

// checkIdle closes the idle connections that the server has closed, on which it has sent
// something that no request asked for, or that are past their idle timeout.
func (c *Client) checkIdle() {
	var unusable []*connection
	c.mu.Lock()
	c.idleConns = slices.DeleteFunc(c.idleConns, func(conn *connection) bool {
		if conn.isUsable() {
			return false
		}
		unusable = append(unusable, conn)
		return true
	})
	c.mu.Unlock()
	for _, conn := range unusable {
		c.discardConn(conn)
	}
}

// isUsable reports whether an idle connection can be used for a request.
func (c *connection) isUsable() bool {
	return time.Since(c.lastUsed) < c.idleTimeout && c.isOpen()
}

// discardConn closes a connection and removes it from the count of open ones. It returns what is
// charged for a header that was not read to its end.
func (c *Client) discardConn(conn *connection) {
	conn.net.Close()
	conn.input.meter.Reset()
	c.mu.Lock()
	c.openConns--
	c.mu.Unlock()
}

// isOpen reports whether the connection is open and has no pending input, by a
// non-blocking peek at the socket. Without this check, a request on a connection that the
// server has closed would be reported as *prim.LostAnswerError although it never ran.
func (c *connection) isOpen() bool {
	syscallConn, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// restReader streams the part of a long response body that follows the first
// MaxBufferedBody bytes.
type restReader struct {
	client     *Client
	conn       *connection
	resp       *http.Response
	stopCancel func() bool
	reusable   bool
	closed     bool
	err        error
}

// Read returns io.ErrUnexpectedEOF if the response was truncated.
func (r *restReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.resp.Body.Read(b)
	if err != nil && err != io.EOF {
		err = io.ErrUnexpectedEOF
	}
	r.err = err
	return n, err
}

// Close returns the connection to the pool if the response was read to its end, and
// closes it otherwise.
func (r *restReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	stopped := r.stopCancel()
	r.client.releaseConn(r.conn, r.reusable && stopped && r.err == io.EOF)
	return nil
}
