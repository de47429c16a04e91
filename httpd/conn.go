package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDiscardedBytes limits what is read and discarded of a body that the handler has
	// not read, and of requests behind a last response, as in net/http.
	maxDiscardedBytes = 256 << 10
	// maxLeadingBytes is the number of line ends that are skipped after a POST request, as in
	// net/http. Some old clients send them.
	maxLeadingBytes = 4
)

// past is a deadline that has passed; it ends a pending read.
var past = time.Unix(1, 0)

// conn is a connection. One goroutine at a time reads it. When it has read a request, it
// lets another goroutine read on and runs the handler itself, so that a request needs no
// goroutine besides that which waits for the next one, and the departure of the client is
// noticed meanwhile. The handler of the first request in the queue writes to the connection;
// the others write to memory. Whoever finishes the first response also writes the finished
// ones behind it.
type conn struct {
	server     *Server
	net        net.Conn
	readNext   func([]byte) (int, error) // reads the first bytes of a request
	raw        syscall.RawConn           // nil if the connection has no descriptor
	wakeup     chan struct{}             // ends hold if raw is nil
	ctx        context.Context
	cancel     context.CancelFunc
	remoteAddr string
	acceptedAt time.Time

	// For the goroutine that reads.
	in        *bufio.Reader // reads from source
	remain    int           // bytes that may still be read
	first     bool          // the next bytes are the first ones of a request
	readErr   error         // ends reading
	afterPost bool          // the last request was a POST request
	discarded int           // bytes discarded at the end of the connection

	// For the goroutine that writes.
	vector    net.Buffers
	unwritten net.Buffers

	mu            sync.Mutex
	writeUntil    time.Time   // the write deadline that is set
	queue         []*response // in the order of the requests; the first one is written
	last          *response   // the response that ends the connection
	aheadBytes    int         // charged for the requests read ahead
	short         bool        // no reading ahead until the queue is empty, for lack of memory
	ending        bool        // no further request is started
	closing       bool        // the last response has been written
	closed        bool        // net is closed
	departed      bool        // the client has closed the connection
	used          bool        // a request has been answered
	reading       bool        // a goroutine reads
	waiting       bool        // it waits for the first byte of a request
	holding       bool        // it waits until a request that it has read may start
	acceptedWaits bool        // a request that was read before the shutdown waits for its turn
	waitRefused   bool        // there was no memory for a request to wait for its turn
	idleSince     time.Time   // when the last request was answered, if used
	stopped       bool        // the wait for a request is to end
	until         time.Time   // when the read in progress ends; zero for never
	armed         time.Time   // the read deadline that is set: not later than until
}

func newConn(s *Server, accepted net.Conn) *conn {
	c := &conn{server: s, net: accepted, readNext: accepted.Read, reading: true, acceptedAt: time.Now()}
	if n, ok := accepted.(interface{ ReadNext([]byte) (int, error) }); ok {
		c.readNext = n.ReadNext
	}
	if sc, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	if c.raw == nil {
		c.wakeup = make(chan struct{}, 1)
	}
	if a := accepted.RemoteAddr(); a != nil {
		c.remoteAddr = a.String()
	}
	ctx := context.Background()
	if s.config.ConnContext != nil {
		ctx = s.config.ConnContext(ctx, accepted)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.in = bufio.NewReader(source{c})
	c.setReceiveBuffer(receiveBytes)
	return c
}

// serve reads the next request, lets another goroutine read on, and runs the handler.
func (c *conn) serve() {
	x := c.nextResponse()
	if x == nil {
		c.endReading()
		return
	}
	if x.body == nil {
		c.server.read(c)
	} else {
		c.pauseReading() // until the body has been read
	}
	x.run()
}

// nextResponse reads the next request and returns its response when the handler may run;
// nil if no further request is served.
func (c *conn) nextResponse() *response {
	if !c.awaitInput() {
		return nil
	}
	r, head, held, err := c.readRequest()
	if err != nil {
		if err != io.EOF && (c.readErr == nil || c.readErr == io.EOF) {
			c.reject(rejection(err))
		}
		return nil
	}
	x := newResponse(c, r, head, held)
	if !c.admit(x) {
		x.cancel()
		c.releaseRequest(held)
		c.awaitEnd()
		return nil
	}
	return x
}

// awaitInput waits for the first byte of a request. It returns false if there will be none.
func (c *conn) awaitInput() bool {
	leading := 0
	for {
		ending := c.beginWait()
		if ending && !c.discard() {
			return false
		}
		if c.in.Buffered() == 0 {
			c.first, c.remain = true, math.MaxInt
			c.in.Peek(1)
			c.first = false
		}
		ending = c.endWait()
		if c.in.Buffered() == 0 {
			return false
		}
		if ending {
			continue
		}
		b, _ := c.in.Peek(1)
		if !c.afterPost || leading >= maxLeadingBytes || b[0] != '\r' && b[0] != '\n' {
			return true
		}
		leading++
		c.in.Discard(1)
	}
}

// awaitEnd discards what the client sends until it closes the connection, if a last response
// is written or will be.
func (c *conn) awaitEnd() {
	c.mu.Lock()
	ending := c.ending && !c.departed && !c.closed
	c.mu.Unlock()
	if ending {
		c.awaitInput()
	}
}

// beginWait prepares to wait for the first byte of a request, and reports whether the
// connection ends.
func (c *conn) beginWait() (ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return true
	}
	c.waiting = true
	if len(c.queue) == 0 {
		c.setUntil(c.idleUntil())
	} else {
		c.setUntil(time.Time{})
	}
	return false
}

// endWait ends the wait, and reports whether the connection ends.
func (c *conn) endWait() (ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.ending
}

// discard discards what has been read. It returns false if that is too much.
func (c *conn) discard() bool {
	c.discarded += c.in.Buffered()
	c.in.Reset(source{c})
	return c.discarded <= maxDiscardedBytes
}

// idleUntil returns the end of the time without requests, by the limits at present. The caller
// holds c.mu.
func (c *conn) idleUntil() time.Time {
	limits := c.server.limits()
	if !c.used {
		return c.acceptedAt.Add(limits.HeaderTimeout)
	}
	return c.idleSince.Add(limits.IdleTimeout)
}

// setUntil sets the end of the read in progress. The deadline of the connection is set only
// if it is later, since setting it for each request would cost more than a deadline that
// passes early and is set again. The caller holds c.mu.
func (c *conn) setUntil(t time.Time) {
	if c.closing {
		return // reading ends after lingerTimeout
	}
	c.until = t
	if !t.IsZero() && (c.armed.IsZero() || t.Before(c.armed)) {
		c.arm(t)
	}
}

// arm sets the read deadline. The caller holds c.mu.
func (c *conn) arm(t time.Time) {
	c.armed = t
	c.net.SetReadDeadline(t)
}

// extend is called when the read deadline has passed. It returns true if the read has to be
// continued.
func (c *conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && len(c.queue) == 0 && !c.stopped && !c.closing {
		c.until = c.idleUntil() // the limits may have changed
	}
	if !c.until.IsZero() && !time.Now().Before(c.until) {
		return false
	}
	c.arm(c.until)
	return true
}

// source reads from the connection, for conn.in.
type source struct{ c *conn }

// Read implements io.Reader.
func (s source) Read(b []byte) (int, error) {
	c := s.c
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.remain <= 0 {
		return 0, io.EOF
	}
	b = b[:min(len(b), c.remain)]
	read := c.net.Read
	if c.first {
		read = c.readNext
	}
	for {
		n, err := read(b)
		c.remain -= n
		if err == nil || n > 0 {
			return n, nil // an error comes again
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
			continue
		}
		c.readErr = err
		return 0, err
	}
}

// admit adds a response to the queue when its handler may run. It returns false if it must
// not run. Meanwhile the client may leave, which is noticed although nothing is read.
func (c *conn) admit(x *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.acceptedWaits = false }()
	for !c.mayStart(x) {
		if c.ending || c.departed {
			c.countNotStarted()
			return false
		}
		if !c.holdUnread() {
			c.queueRefusal(rejection(errNoMemory))
			return false
		}
	}
	c.queue = append(c.queue, x)
	if len(c.queue) == 1 {
		x.front.Store(true)
		c.setState(http.StateActive)
	} else {
		c.server.count("RequestsReadAhead")
	}
	return true
}

// countNotStarted counts a request that has been read behind a last response. The caller holds c.mu.
func (c *conn) countNotStarted() {
	if c.last != nil {
		c.server.count("ReadAheadNotStarted")
	}
}

// mayStart reports whether the handler of a response may run, and if so reserves memory for
// it. The caller holds c.mu.
func (c *conn) mayStart(x *response) bool {
	if c.ending || c.departed {
		return false
	}
	if len(c.queue) == 0 {
		return true
	}
	if !x.concurrent || !c.queue[0].concurrent || len(c.queue) > c.server.config.MaxReadAhead || c.short {
		return false
	}
	// It may have waited, and what may run beside others may have changed meanwhile.
	if x.concurrent = c.mayRunBeside(c.server.config.Concurrent, x.request); !x.concurrent {
		return false
	}
	return c.reserve(x, requestBytes)
}

// reserve charges a response for n more bytes. If they are not available, the connection
// reads no further ahead until its queue is empty. The caller holds c.mu.
func (c *conn) reserve(x *response, n int) bool {
	m := c.server.config.Memory
	if c.aheadBytes+n > maxAheadBytes {
		c.short = true
		c.server.count("ReadAheadFull")
		return false
	}
	if m != nil && !m.Reserve(n) {
		c.short = true
		c.server.count("ReadAheadWithoutMemory")
		return false
	}
	c.aheadBytes += n
	x.reserved += n
	return true
}

// release returns what a response was charged for. The caller holds c.mu.
func (c *conn) release(x *response) {
	if x.reserved > 0 && c.server.config.Memory != nil {
		c.server.config.Memory.Release(x.reserved)
	}
	c.aheadBytes -= x.reserved
	x.reserved = 0
}

// hold waits until the queue has changed or the client has closed the connection. Nothing is
// read meanwhile. The caller holds c.mu, which is not held while waiting.
func (c *conn) hold() {
	c.holding = true
	c.mu.Unlock()
	departed := c.watch()
	c.mu.Lock()
	c.holding = false
	if departed {
		c.depart()
		return
	}
	if !c.closing {
		c.until = time.Time{}
	}
	c.arm(c.until) // wake has set another one
}

// holdUnread is hold with a charge for what the client can send meanwhile. If there is no memory
// for it, it doesn't wait and returns false, now and later: the caller refuses the request that
// would wait. The caller holds c.mu, and the queue is not empty.
func (c *conn) holdUnread() bool {
	m := c.server.config.Unread
	if !c.server.isLeaving() {
		c.acceptedWaits = true // until the caller stops waiting
	}
	if m == nil {
		c.hold()
		return true
	}
	if c.waitRefused {
		return false
	}
	if !m.Reserve(unreadBytes) {
		c.server.count("UnreadWithoutMemory")
		c.waitRefused = true
		return false
	}
	c.hold()
	m.Release(unreadBytes)
	return true
}

// watch waits until wake is called, or the client has closed the connection. Without a
// descriptor, the latter is not noticed.
func (c *conn) watch() (departed bool) {
	if c.raw == nil {
		<-c.wakeup
		return false
	}
	err := c.raw.Read(hasDeparted)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// hasDeparted reports whether the other side has closed its end of a connection, also if bytes
// before that have not been read.
func hasDeparted(fd uintptr) bool {
	for {
		p := [...]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(p[:], 0)
		if err != unix.EINTR {
			return err != nil || p[0].Revents != 0
		}
	}
}

// holdUntilAnswered waits until all requests have been answered. It returns false if nothing
// more is to be read, or without memory to wait. The caller holds c.mu, which is not held while
// waiting.
func (c *conn) holdUntilAnswered() bool {
	held := false
	for len(c.queue) > 0 && !c.ending && !c.departed && c.holdUnread() {
		held = true
	}
	c.acceptedWaits = false
	if len(c.queue) > 0 || c.ending || c.departed {
		return false
	}
	if held {
		c.setState(http.StateIdle) // rest leaves it to the goroutine that holds
	}
	return true
}

// wake ends hold. The caller holds c.mu.
func (c *conn) wake() {
	if !c.holding {
		return
	}
	if c.raw != nil {
		c.net.SetReadDeadline(past)
		return
	}
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// depart cancels all requests because the client has closed the connection or broken it.
// The caller holds c.mu.
func (c *conn) depart() {
	if !c.departed && len(c.queue) > 0 {
		c.server.count("ClientsDeparted")
	}
	c.departed = true
	c.cancel()
}

// pauseReading ends reading until the body of a request has been read.
func (c *conn) pauseReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.setUntil(time.Time{})
}

// resumeReading goes on reading after a body.
func (c *conn) resumeReading() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.reading = true
	c.mu.Unlock()
	c.server.read(c)
}

// setState reports a state. The caller holds c.mu.
func (c *conn) setState(s http.ConnState) {
	if c.server.config.ConnState != nil {
		c.server.config.ConnState(c.net, s)
	}
}

// complete is called by the goroutine of a response when it is finished. If it is the first
// one, it is written together with the finished ones behind it.
func (c *conn) complete(x *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.done = true
	if x.dropped {
		c.releaseRequest(x.held)
	}
	if !x.front.Load() || x.dropped {
		return
	}
	for {
		n := c.countDone()
		c.vector = c.vector[:0]
		for _, q := range c.queue[:n] {
			if len(q.out) > 0 {
				c.vector = append(c.vector, q.out)
			}
		}
		c.mu.Unlock()
		err := c.write(x)
		c.mu.Lock()
		if err != nil || c.closed {
			c.drop()
			c.close()
			return
		}
		c.used = true
		last := c.queue[n-1]
		for _, q := range c.queue[:n] {
			c.release(q)
			c.releaseRequest(q.held)
			q.recycle()
		}
		left := copy(c.queue, c.queue[n:])
		clear(c.queue[left:])
		c.queue = c.queue[:left]
		if last == c.last {
			c.end(last)
			return
		}
		if left == 0 {
			c.rest()
			return
		}
		c.wake()
		next := c.queue[0]
		next.front.Store(true)
		next.signal()
		if !next.done {
			return
		}
	}
}

// countDone returns the number of finished responses at the front of the queue, up to the
// last one of the connection. The first one is finished. The caller holds c.mu.
func (c *conn) countDone() int {
	n := 1
	for n < len(c.queue) && c.queue[n].done && c.queue[n-1] != c.last {
		n++
	}
	return n
}

// rest is called when all requests have been answered. The caller holds c.mu.
func (c *conn) rest() {
	c.short = false
	if !c.reading {
		c.close()
		return
	}
	c.idleSince = time.Now()
	if !c.holding {
		// The connection is not idle if a request that has been read is about to start:
		// conns could close it in favour of a new one.
		c.setState(http.StateIdle)
	}
	switch {
	case c.waiting && c.server.closing.Load():
		c.stopWaiting()
	case c.waiting:
		c.setUntil(c.idleUntil())
	}
	c.wake()
}
