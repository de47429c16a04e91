package httpd

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// This file has the ends of connections: after a last response, at a shutdown, and when the client
// has left or nothing more can be read.

// lingerTimeout is how long the server goes on reading after the last response of a
// connection. The kernel answers bytes that arrive on a closed connection, or that were
// left unread, with a reset, which may overtake the response. Clients are up to 8 ms
// away and close their end when they have read Connection: close.
const lingerTimeout = 100 * time.Millisecond

// endReading is called when nothing more is read. The last goroutine of a connection closes
// it.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		c.depart()
	}
	// Requests in progress are cancelled if the client leaves, also when nothing more is read.
	held := false
	for len(c.queue) > 0 && !c.departed && !c.closed {
		c.hold()
		held = true
	}
	if held && !c.closing && !c.departed {
		c.closeWrite() // the client may have sent more meanwhile
	}
	if c.closing && !c.closed && !c.departed {
		c.linger()
	}
	c.reading = false
	if len(c.queue) == 0 {
		c.close()
	}
}

// close closes the connection. The caller holds c.mu.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.ending, c.closing, c.closed = true, true, true
	c.cancel()
	c.net.Close()
	c.wake()
	c.setState(http.StateClosed)
	c.server.forget(c)
}

// closeIfIdle closes the connection if it has no request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && len(c.queue) == 0 && (c.used || time.Since(c.acceptedAt) > newConnTimeout) {
		c.stopWaiting()
	}
}

// stopWaiting ends the wait for a request, so that the goroutine that waits closes the connection.
// If it has already read the beginning of a request, that is served. The caller holds c.mu.
func (c *conn) stopWaiting() {
	c.stopped, c.until = true, past
	c.arm(past)
}

// abandon closes the connection and cancels its requests.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
	c.close()
}

// drop gives up the responses in the queue. The caller holds c.mu.
func (c *conn) drop() {
	for _, x := range c.queue {
		x.dropped = true
		x.cancel()
		c.release(x)
		if x.done {
			c.releaseRequest(x.held)
		}
		x.signal()
	}
	c.queue = nil
}

// endsWith reports whether a response is the last one because the server is shut down: requests
// behind it that run, or waited for their turn when the shutdown began, have been accepted and
// are answered as well.
func (c *conn) endsWith(x *response) bool {
	if !c.server.isLeaving() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 && c.queue[len(c.queue)-1] == x && !c.acceptedWaits
}

// queueRefusal adds a response that no handler made to the queue, as the last one. Waiting for
// its turn takes no goroutine, and the reader may discard what the client sends. The caller holds
// c.mu, and the queue is not empty.
func (c *conn) queueRefusal(text string) {
	x := &response{conn: c, cancel: func() {}, done: true, out: []byte(text)}
	c.queue = append(c.queue, x)
	c.ending, c.last = true, x
	c.server.count("RequestsRejected")
	status, _, _ := strings.Cut(text, "\r\n")
	c.server.config.Logger.Info("request behind others rejected; no memory is left to wait for its turn", "Client", c.remoteAddr, "Response", status)
}

// endAfter makes a response the last one of the connection. The requests behind it count as
// not read: those that run are cancelled, and no further one starts.
func (c *conn) endAfter(x *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	for i, q := range c.queue {
		if q == c.last {
			break // an earlier response is the last one
		}
		if q == x {
			c.last = x
			for _, behind := range c.queue[i+1:] {
				behind.cancel()
				if behind.request != nil { // it ran
					c.server.count("ReadAheadCancelled")
				}
			}
			break
		}
	}
	c.wake()
}

// end ends the connection after its last response. The caller holds c.mu.
func (c *conn) end(last *response) {
	c.drop()
	if l, ok := c.net.(interface{ SetLinger(int) error }); ok && last.aborted && last.untilClose {
		l.SetLinger(0) // a truncated response must not look complete
		c.close()
		return
	}
	if !c.closeWrite() || c.departed {
		c.close()
		return
	}
	if c.reading {
		c.wake()
		return
	}
	c.linger()
	c.close()
}

// linger discards what the client sends after the last response, until lingerTimeout. The
// caller holds c.mu, which is not held while reading.
func (c *conn) linger() {
	c.mu.Unlock()
	defer c.mu.Lock()
	io.CopyN(io.Discard, c.net, maxDiscardedBytes)
}

// closeWrite closes the writing end after the last response. What arrives afterwards is
// discarded for lingerTimeout. It returns false if the connection has no writing end of its
// own. The caller holds c.mu.
func (c *conn) closeWrite() bool {
	c.ending, c.closing = true, true
	c.until = time.Now().Add(lingerTimeout)
	c.arm(c.until)
	w, ok := c.net.(interface{ CloseWrite() error })
	return ok && w.CloseWrite() == nil
}

// reject writes a response that no handler made, after those of the earlier requests, and
// ends the connection.
func (c *conn) reject(response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holdUntilAnswered() {
		if c.waitRefused && !c.ending && !c.departed {
			c.queueRefusal(response)
			c.mu.Unlock()
			c.awaitEnd()
			c.mu.Lock()
			return
		}
		c.countNotStarted()
		return
	}
	c.ending = true
	c.server.count("RequestsRejected")
	c.mu.Unlock()
	c.vector = append(c.vector[:0], []byte(response))
	err := c.write(nil)
	c.mu.Lock()
	if err != nil || c.readErr != nil {
		return
	}
	c.closeWrite()
	c.mu.Unlock()
	c.awaitEnd()
	c.mu.Lock()
}
