package node

import (
	"net"
	"net/http"
	"sync/atomic"
)

// connectionLimiter limits the open connections of callers. A connection above the
// limit is closed at once: accepting it and making it wait would delay the links
// of other nodes, which arrive at the same address. Links do not count, since
// they are hijacked from the HTTP server when they are upgraded.
type connectionLimiter struct {
	limit    int64
	open     atomic.Int64
	rejected atomic.Int64 // closed because of the limit
}

// stateChanged is the ConnState hook of an http.Server.
func (c *connectionLimiter) stateChanged(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if c.open.Add(1) > c.limit {
			c.rejected.Add(1)
			conn.Close()
		}
	case http.StateHijacked, http.StateClosed:
		c.open.Add(-1)
	}
}
