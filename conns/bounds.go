package conns

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Bounds bounds what connections cost. Zero fields bound nothing.
type Bounds struct {
	// Limits returns the limits for clients at present. Its timeouts must be positive.
	Limits func() prim.ClientLimits
	// Memory accounts for connections, by ConnectionBytes each, and for the headers that
	// are being read.
	Memory          prim.MemoryBudget
	ConnectionBytes int
	// MaxOpen is the number of open connections, and MaxPerClient that of one client
	// address when most of MaxOpen are open.
	MaxOpen, MaxPerClient int
	// Backlog is the number of connections that may wait to be accepted. The kernel holds what
	// their clients send meanwhile.
	Backlog int
	// EndStopped ends at most n requests or answers that make no progress, so that their
	// connections become free. It is called if no connection is without a request; it may
	// be nil.
	EndStopped func(n int)
	// OnPressure is called after connections without a request were closed in favour of
	// new ones, or a new one was refused; it may be nil.
	OnPressure func(closed int, refused bool)
}

const (
	// pressureNumerator and pressureDenominator give the part of MaxOpen from which on
	// MaxPerClient binds.
	pressureNumerator, pressureDenominator = 3, 4
	// evictionDivisor gives the part of MaxOpen that is closed at once, so that the choice
	// among all connections is not made anew for each one that a flood opens.
	evictionDivisor = 64
	// slowHeader is the age from which on a request of which only a part of the header has
	// arrived makes room for a new connection. A header fits into a few packets.
	slowHeader = time.Second
	// bufferedHeaderBytes are in the cost of the connection.
	bufferedHeaderBytes = 4 << 10
	// headerCost is the cost of a byte of a header: as read, and as parsed.
	headerCost = 2
	// minWriteBytes have to be written within the idle timeout. It is a quarter of the
	// smallest usual socket buffer, so a client that reads at all reaches it.
	minWriteBytes = 16 << 10
)

func (b *Bounds) reserve(n int) bool { return b.Memory == nil || b.Memory.Reserve(n) }

func (b *Bounds) release(n int) {
	if b.Memory != nil && n > 0 {
		b.Memory.Release(n)
	}
}

func (b *Bounds) report(closed int, refused bool) {
	if b.OnPressure != nil && (closed > 0 || refused) {
		b.OnPressure(closed, refused)
	}
}

// clientAddress returns the address of a client without its port, the zero address if it is
// unknown.
func clientAddress(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// limitBacklog sets the number of connections that may wait to be accepted.
func (l *Listener) limitBacklog() error {
	if l.bounds.Backlog == 0 {
		return nil
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), l.bounds.Backlog) })
	return errors.Join(err, listenErr)
}

// makeRoom reserves the cost of a new connection. If there are too many, it closes those
// that have been without a request for longest, and returns false if there are none.
func (l *Listener) makeRoom(c *conn) bool {
	b := &l.bounds
	if b.MaxOpen == 0 && b.Memory == nil {
		return true
	}
	full, overShare := l.isFull(c)
	closed := 0
	if full || overShare {
		if closed = l.evict(c, overShare); closed == 0 {
			if b.EndStopped != nil {
				b.EndStopped(b.MaxOpen/evictionDivisor + 1)
			}
			b.report(0, true)
			return false
		}
	}
	reserved := b.reserve(b.ConnectionBytes)
	if !reserved {
		closed += l.evict(c, false)
		reserved = b.reserve(b.ConnectionBytes)
	}
	b.report(closed, !reserved)
	if reserved {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.reservedBytes = b.ConnectionBytes
	}
	return reserved
}

// isFull reports whether too many connections are open, and whether the client of c has more
// than its share while most of them are.
func (l *Listener) isFull(c *conn) (full, overShare bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.bounds
	if b.MaxOpen == 0 {
		return false, false
	}
	n := len(l.open)
	pressed := n > b.MaxOpen*pressureNumerator/pressureDenominator
	return n > b.MaxOpen, pressed && b.MaxPerClient > 0 && l.clients[c.client] > b.MaxPerClient
}

// evict closes connections that have waited for a request for longest, only those of the
// client of c if sameClient is set. It returns their number.
func (l *Listener) evict(c *conn, sameClient bool) int {
	type candidate struct {
		conn  *conn
		since time.Time
	}
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for o := range l.open {
		if o != c && (!sameClient || o.client == c.client) {
			open = append(open, o)
		}
	}
	l.mu.Unlock()
	waiting := make([]candidate, 0, len(open))
	for _, o := range open {
		if since := o.waitsSince(); !since.IsZero() {
			waiting = append(waiting, candidate{o, since})
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	now := time.Now()
	closed := 0
	for _, w := range waiting {
		if w.conn.beginEviction(now) {
			l.forget(w.conn)
			w.conn.TCPConn.Close()
			closed++
		}
		if closed > l.bounds.MaxOpen/evictionDivisor {
			break
		}
	}
	return closed
}

// waitsSince returns since when no request is handled on the connection, or zero.
func (c *conn) waitsSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince
}

// beginEviction sets closing and returns true if the connection waits for a request, or has
// received a part of a header for a while.
func (c *conn) beginEviction(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.idle {
		return false
	}
	if c.received {
		c.closing = now.Sub(c.headerSince) >= slowHeader
		return c.closing
	}
	if !c.reading {
		return false
	}
	_, err := c.receive(make([]byte, 1), syscall.MSG_PEEK)
	c.closing = err == syscall.EAGAIN
	return c.closing
}

// setHeaderDeadline sets the deadline for the next bytes of a header, or for the first ones
// of the next request. The limits are those at present, so that changes apply to open
// connections. The caller holds c.mu.
func (c *conn) setHeaderDeadline() {
	if c.listener.bounds.Limits == nil {
		return
	}
	limits := c.listener.bounds.Limits()
	deadline := c.acceptedAt.Add(limits.HeaderTimeout)
	switch {
	case c.received:
		deadline = c.headerSince.Add(limits.HeaderTimeout)
	case c.used:
		deadline = c.waitingSince.Add(limits.IdleTimeout)
	}
	c.TCPConn.SetReadDeadline(deadline)
}

var errNoMemory = errors.New("no memory is left for the header; the client has to send it again")

// countHeader accounts for n more bytes of a header. The error is one of the connection, so
// that the server closes it without a response. The caller holds c.mu.
func (c *conn) countHeader(n int) error {
	if c.dropped.Load() {
		return &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
	}
	c.headerBytes += n
	cost := headerCost*(c.headerBytes-bufferedHeaderBytes) - c.headerHeld
	if cost <= 0 || c.listener.bounds.Memory == nil {
		return nil
	}
	if !c.listener.bounds.reserve(cost) {
		return &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
	}
	c.headerHeld += cost
	return nil
}

// releaseHeader returns the bytes of the header. The caller holds c.mu.
func (c *conn) releaseHeader() {
	c.listener.bounds.release(c.headerHeld)
	c.headerBytes, c.headerHeld = 0, 0
}

// SetWriteDeadline implements net.Conn. A deadline in the past ends writes until another is
// set; otherwise the connection sets deadlines itself, unless the server does.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writesEnded.Store(!t.IsZero() && !t.After(time.Now()))
	return c.TCPConn.SetWriteDeadline(t)
}

// writeWithProgress writes until the client takes less than minWriteBytes in the idle
// timeout. A server that sets the write deadlines would not know of one that is set here.
func (c *conn) writeWithProgress(b []byte) (n int, err error) {
	if c.listener.bounds.Limits == nil || c.hasOwnDeadlines() {
		return c.TCPConn.Write(b)
	}
	timeout := c.listener.bounds.Limits().IdleTimeout
	for {
		c.TCPConn.SetWriteDeadline(time.Now().Add(timeout))
		if c.writesEnded.Load() {
			return n, os.ErrDeadlineExceeded
		}
		written, err := c.TCPConn.Write(b[n:])
		n += written
		if !errors.Is(err, os.ErrDeadlineExceeded) || written < minWriteBytes {
			return n, err
		}
	}
}

// ReadFrom implements io.ReaderFrom. That of net.TCPConn would bypass Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
