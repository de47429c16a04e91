package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// limited is a listener that refuses connections beyond a limit by closing
// them at once, as a server does whose table of connections is full.
type limited struct {
	net.Listener
	limit   int
	refused atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newLimited(l net.Listener, limit int) *limited {
	return &limited{Listener: l, limit: limit, open: make(map[net.Conn]struct{})}
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
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
			return &limitedConn{Conn: c, from: l}, nil
		}
		l.refused.Add(1)
		reset(c)
	}
}

// resetAll breaks every open connection, as a restart of the server does.
func (l *limited) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		reset(c)
	}
}

// reset closes a connection without waiting for unsent data.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// count returns the number of open connections.
func (l *limited) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// limitedConn leaves the count when it is closed.
type limitedConn struct {
	net.Conn
	from *limited
}

func (c *limitedConn) Close() error {
	c.from.mu.Lock()
	delete(c.from.open, c.Conn)
	c.from.mu.Unlock()
	return c.Conn.Close()
}
