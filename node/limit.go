package node

import (
	"net"
	"net/http"
	"sync/atomic"
)

// connections bounds the open connections of callers. A connection beyond the
// bound is closed at once: accepting it and waiting would hold up the links of
// other nodes, which come in at the same address. Links don't count, since they
// leave the HTTP server when they are upgraded.
type connections struct {
	most   int64
	open   atomic.Int64
	closed atomic.Int64 // closed because of the bound
}

// changed is the ConnState hook of an http.Server.
func (c *connections) changed(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if c.open.Add(1) > c.most {
			c.closed.Add(1)
			conn.Close()
		}
	case http.StateHijacked, http.StateClosed:
		c.open.Add(-1)
	}
}
