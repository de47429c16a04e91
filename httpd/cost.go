package httpd

import (
	"errors"
	"net/http"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/blocks"
)

// A request that is small on the wire can be large in memory: the parser makes a map entry, a
// list and a string of each field, and of each name in a Trailer field. So a request is charged
// before it is parsed, and until its handler has returned and its response has been written.

const (
	// receiveBytes is the size that is asked for the receive buffer of a connection, and
	// unreadBytes what a client can fill of it while the connection isn't read. The kernel
	// doubles the size. A buffer below the largest segment, 64 KiB on the loopback interface,
	// makes the kernel wait for timers.
	receiveBytes = 48 << 10
	unreadBytes  = 2 * receiveBytes
	// bodyReceiveBytes is the size for long bodies, if there is room for it: a buffer of receiveBytes bounds
	// them to 3 MB/s at a round trip of 16 ms.
	bodyReceiveBytes = 256 << 10
	// longBody is the number of bytes of a body from which on it is long.
	longBody = 64 << 10
	// memoryRetryAfter is the time after which a client whose request had no room may send it
	// again: transfers that have stopped are given up by then.
	memoryRetryAfter = time.Second
)

var errNoMemory = errors.New("no memory is left for the request; send it again later or with fewer fields")

// parsedBytes returns the memory that a request with this header block takes.
func parsedBytes(head []byte) int { return prim.RequestCost(len(head), blocks.Fields(head)) }

// holdRequest charges the memory for a request with this header block. If there is none, it
// waits for the answers to the earlier requests of the connection, which return theirs. It
// returns 0 if there still is none.
func (c *conn) holdRequest(head []byte) int {
	m := c.server.config.Requests
	if m == nil {
		return 0
	}
	n := parsedBytes(head)
	if m.Reserve(n) {
		return n
	}
	c.mu.Lock()
	waited := len(c.queue) > 0 && c.holdUntilAnswered()
	c.mu.Unlock()
	if waited && m.Reserve(n) {
		return n
	}
	c.server.count("RequestsWithoutMemory")
	return 0
}

// releaseRequest returns what holdRequest has charged.
func (c *conn) releaseRequest(n int) {
	if n > 0 {
		c.server.config.Requests.Release(n)
	}
}

// HeldBytes returns the memory that the request of a response is charged for.
func (x *response) HeldBytes() int { return x.held }

// setReceiveBuffer bounds what the kernel holds of unread bytes, which count toward the memory
// of the process.
func (c *conn) setReceiveBuffer(n int) {
	if s, ok := c.net.(interface{ SetReadBuffer(int) error }); ok {
		// Without the bound the connection works all the same.
		_ = s.SetReadBuffer(n)
	}
}

// widen lets the client send faster, if there is memory for what the kernel then may hold. It is called once for a long body.
func (b *body) widen() {
	const n = 2 * (bodyReceiveBytes - receiveBytes)
	c := b.response.conn
	if m := c.server.config.Unread; m != nil && m.Reserve(n) {
		b.widened = n
		c.setReceiveBuffer(bodyReceiveBytes)
	}
}

// narrow ends the effect of widen.
func (b *body) narrow() {
	if b.widened > 0 {
		b.response.conn.setReceiveBuffer(receiveBytes)
		b.response.conn.server.config.Unread.Release(b.widened)
		b.widened = 0
	}
}

// isChunked reports whether the body of a request is chunked.
func isChunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }
