package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener is a listener with a maximum number of open connections. It
// resets further connections immediately, as a server does whose connection table
// is full.
type limitedListener struct {
	net.Listener
	limit   int
	refused atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, limit: limit, open: make(map[net.Conn]struct{})}
}

// Accept returns the next connection that is within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := len(l.open) >= l.limit
		if !full {
			l.open[c] = struct{}{}
		}
		l.mu.Unlock()
		if !full {
			return &limitedConn{Conn: c, listener: l}, nil
		}
		l.refused.Add(1)
		reset(c)
	}
}

// resetAll resets every open connection, as a restart of the server does.
func (l *limitedListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		reset(c)
	}
}

// reset closes a connection and discards unsent data.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// openCount returns the number of open connections.
func (l *limitedListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// limitedConn removes itself from the open connections of its listener when it is
// closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
}

func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
