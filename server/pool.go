package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The pool. Connections are used last in, first out, so that few stay warm
// and the others time out. The owner's admission limit is never above the
// server's connection limit, so a request normally finds room; if not, it is
// refused and may go elsewhere.

// connection is one connection to the server.
type connection struct {
	net  net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	used time.Time
	idle time.Duration // how long it may be unused
}

// get returns a connection that was alive a moment ago. Nothing has been sent
// when it fails.
func (c *Client) get(ctx context.Context) (*connection, error) {
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			if c.open >= c.c.Connections {
				c.mu.Unlock()
				return nil, c.refuse(prim.ReasonBusy)
			}
			c.open++
			c.mu.Unlock()
			return c.dial(ctx)
		}
		k := c.idle[n-1]
		c.idle[n-1] = nil
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if time.Since(k.used) < k.idle && k.alive() {
			return k, nil
		}
		c.drop(k)
	}
}

func (c *Client) dial(ctx context.Context) (*connection, error) {
	d := net.Dialer{Timeout: c.c.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.name)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, c.refuse(prim.ReasonUnreachable)
	}
	return &connection{
		idle: c.c.IdleTimeout,
		net:  conn,
		r:    bufio.NewReaderSize(conn, bufferSize),
		w:    bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

// put returns a connection to the pool, or closes it.
func (c *Client) put(k *connection, keep bool) {
	if !keep || k.r.Buffered() > 0 {
		c.drop(k)
		return
	}
	k.used = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, k)
	c.mu.Unlock()
}

func (c *Client) drop(k *connection) {
	k.net.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

// alive reports whether the other side has kept the connection open. Without
// the check, a request on a connection that the server has closed would end
// as lost although it never ran.
func (k *connection) alive() bool {
	sc, ok := k.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// rest reads what follows the collected part of a long answer.
type rest struct {
	c    *Client
	k    *connection
	resp *http.Response
	stop func() bool
	keep bool
	done bool
	err  error
}

// Read returns io.ErrUnexpectedEOF when the answer was cut.
func (s *rest) Read(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.resp.Body.Read(b)
	if err != nil && err != io.EOF {
		err = io.ErrUnexpectedEOF
	}
	s.err = err
	return n, err
}

// Close returns the connection to the pool if the answer was read to its end.
func (s *rest) Close() error {
	if s.done {
		return nil
	}
	s.done = true
	stopped := s.stop()
	s.c.put(s.k, s.keep && stopped && s.err == io.EOF)
	return nil
}
