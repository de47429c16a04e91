package peers

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// errLinkClosed is the cause of calls that fail because their link was closed.
var errLinkClosed = errors.New("link closed")

// link is one WebSocket connection. Each goroutine writes its short frames itself,
// because a separate writer goroutine would add a hand-off between goroutines to
// every hop.
type link struct {
	peers    *Peers
	conn     *websocket.Conn
	host     prim.HostName
	instance prim.Instance // of the other side; only set on dialled links
	writeSem chan struct{} // serialises writes; unlike a mutex, waiting for it can be cancelled
	done     chan struct{} // closed when the reader has ended
	// writingLong is set while a frame longer than one piece is written.
	writingLong atomic.Bool
	// bodyParts is set if the other side accepts requests in parts; only on dialled links.
	bodyParts bool
	// bodiesInProgress is the number of requests that are being sent in parts.
	bodiesInProgress atomic.Int64

	unanswered atomic.Int64 // number of unanswered calls; only used on dialled links
	// lastReceived is when a part of a frame was last received, in nanoseconds since epoch.
	lastReceived atomic.Int64
	mu           sync.Mutex
	// pending holds the unanswered calls by id; nil once the link is closed.
	pending map[uint64]*call
	lastID  uint64

	owedMu sync.Mutex
	// owed holds the frames that sendOwed has yet to send. The calls on the link bound
	// it: each owes at most creditWindow credits for its answer, bodyWindow for its request, and
	// two cancels.
	owed        []wire.Header
	sendingOwed bool // a goroutine runs sendOwed
}

func newLink(p *Peers, conn *websocket.Conn, host prim.HostName) *link {
	conn.SetReadLimit(wire.MaxFrameBytes)
	l := &link{
		peers:    p,
		conn:     conn,
		host:     host,
		writeSem: make(chan struct{}, 1),
		done:     make(chan struct{}),
		pending:  make(map[uint64]*call),
	}
	l.lastReceived.Store(int64(time.Since(epoch)))
	return l
}

// epoch is the time from which link.lastReceived counts on the monotonic clock.
var epoch = time.Now()

var frameBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// maxPooledBytes is the capacity of the largest buffer that is kept for reuse.
const maxPooledBytes = 256 << 10

// writeFrame sends one frame. The context bounds the wait for writeSem and, for a frame
// longer than one piece, the wait for the end of the write. A write that has started ends
// by itself when a piece of the frame takes longer than writeTimeout or stallTimeout, and
// if it fails the link is closed. If sent is false, nothing of the frame was written; if
// it is true, the frame may still arrive whatever err is.
func (l *link) writeFrame(ctx context.Context, h *wire.Header, body []byte) (sent bool, err error) {
	if len(body) > maxPieceBytes {
		return l.writeLongBody(ctx, h, body)
	}
	buf := frameBuffers.Get().(*[]byte)
	*buf, err = wire.Append((*buf)[:0], h, body)
	if err == nil {
		err = l.acquireWriteSem(ctx)
	}
	if err != nil {
		releaseBuffer(buf)
		return false, err
	}
	if len(*buf) <= maxPieceBytes {
		defer l.releaseWriteSem()
		return true, l.writeBuffer(buf)
	}
	return l.writeLong(ctx, buf, 0)
}

// writeLongBody is writeFrame for a body longer than one piece. The frame is built when the link
// is free, so that the calls that wait for the link hold no second copy of their bodies, and is
// charged if it is a request. The copies of answers are charged by package server.
func (l *link) writeLongBody(ctx context.Context, h *wire.Header, body []byte) (sent bool, err error) {
	if err := l.acquireWriteSem(ctx); err != nil {
		return false, err
	}
	held, passedOn := 0, false
	defer func() {
		if !passedOn { // also after a panic
			l.peers.config.Memory.Release(held)
			l.releaseWriteSem()
		}
	}()
	if h.Type == wire.Dispatch || h.Type == wire.Reserve {
		if !l.peers.config.Memory.Reserve(len(body)) {
			return false, errNoMemory
		}
		held = len(body)
	}
	buf := frameBuffers.Get().(*[]byte)
	if *buf, err = wire.Append((*buf)[:0], h, body); err != nil {
		releaseBuffer(buf)
		return false, err
	}
	passedOn = true
	return l.writeLong(ctx, buf, held)
}

// writeLong writes a frame longer than one piece, for which held bytes are charged, and returns
// early if the context ends. The caller holds writeSem, which writeLong releases.
func (l *link) writeLong(ctx context.Context, buf *[]byte, held int) (sent bool, err error) {
	l.writingLong.Store(true)
	written := make(chan error, 1)
	go func() { // shutDown waits for its end
		defer l.releaseWriteSem()
		defer l.writingLong.Store(false)
		err := l.writeBuffer(buf)
		l.peers.config.Memory.Release(held)
		written <- err
	}()
	select {
	case err := <-written:
		return true, err
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

func (l *link) acquireWriteSem(ctx context.Context) error {
	select {
	case l.writeSem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errLinkClosed
	}
}

func (l *link) releaseWriteSem() { <-l.writeSem }

// writeBuffer writes the frame in buf and releases buf. The caller holds writeSem.
func (l *link) writeBuffer(buf *[]byte) error {
	defer releaseBuffer(buf)
	if err := l.writeMessage(*buf); err != nil {
		l.conn.CloseNow()
		return err
	}
	l.peers.bytesOut.Add(int64(len(*buf)))
	return nil
}

func releaseBuffer(buf *[]byte) {
	if cap(*buf) <= maxPooledBytes {
		frameBuffers.Put(buf)
	}
}

// writeMessage writes a WebSocket message in pieces. The caller holds writeSem.
func (l *link) writeMessage(b []byte) error {
	ctx, cancel := context.WithCancel(l.peers.ctx)
	defer cancel()
	firstTimeout := writeTimeout
	if l.bodiesInProgress.Load() > 0 {
		// The socket's buffer is full of parts, and the peer's credits show that it reads.
		firstTimeout = stallTimeout
	}
	stalled := time.AfterFunc(firstTimeout, cancel)
	defer stalled.Stop()
	if len(b) <= maxPieceBytes {
		return l.conn.Write(ctx, websocket.MessageBinary, b)
	}
	w, err := l.conn.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for piece := range slices.Chunk(b, maxPieceBytes) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		stalled.Reset(stallTimeout)
	}
	return w.Close()
}

// readFrames calls handle for every frame until the link fails, handle returns an error
// or the context ends. The body passed to handle is only valid during the call.
func (l *link) readFrames(ctx context.Context, handle func(*wire.Header, []byte) error) error {
	buf := make([]byte, 0, 4096)
	for {
		kind, r, err := l.conn.Reader(ctx)
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			return &wire.FrameError{Problem: "text message", Cause: errors.New("frames are binary")}
		}
		buf, err = l.readAll(r, buf[:0])
		if err != nil {
			return err
		}
		l.peers.bytesIn.Add(int64(len(buf)))
		h, body, err := wire.Split(buf)
		if err != nil {
			return err
		}
		// A panic closes the link: what a frame changed in part can't be trusted.
		if err := l.peers.config.Guard.Run(func() error { return handle(&h, body) }); err != nil {
			return err
		}
		if cap(buf) > maxPooledBytes {
			buf = make([]byte, 0, 4096)
		}
	}
}

// readAll appends all that r returns to b and returns the extended slice.
func (l *link) readAll(r io.Reader, b []byte) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
		l.lastReceived.Store(int64(time.Since(epoch)))
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// call is an unanswered call on a dialled link.
type call struct {
	id    uint64
	reply chan reply  // buffered, so that the reader never waits for the caller
	parts *partReader // set by link.deliverFrame when a long answer begins
	// credits holds one value for each part of the request that may be sent; nil if the
	// request is not sent in parts.
	credits chan struct{}
}

// reply is the first frame of the response to a call. For a long answer, stream
// reads the remaining parts; otherwise it is nil.
type reply struct {
	header wire.Header
	body   []byte
	stream *partReader
	held   *heldAnswer // nil if nothing is reserved
}

var errTooManyCalls = errors.New("too many unanswered calls on the link")

// registerCall allocates an id and registers a call, so that deliverFrame can match
// the response to it.
func (l *link) registerCall() (*call, error) {
	c := &call{reply: make(chan reply, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return nil, errLinkClosed
	}
	if len(l.pending) >= l.peers.config.MaxCalls {
		return nil, errTooManyCalls
	}
	l.lastID++
	c.id = l.lastID
	l.pending[c.id] = c
	l.unanswered.Add(1)
	return c, nil
}

// cancelCall unregisters a call and cancels it at the other side.
func (l *link) cancelCall(c *call) {
	l.dropCall(c)
	l.sendSurely(wire.Header{Type: wire.Cancel, ID: c.id})
}

// dropCall unregisters a call. A response that arrives later is dropped.
func (l *link) dropCall(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.pending[c.id]; ok {
		delete(l.pending, c.id)
		l.unanswered.Add(-1)
	}
}

// shutDown closes the link and ends all calls by closing their channels without a
// reply. It waits for the write in progress. The reader calls it once, when it has ended.
func (l *link) shutDown() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	l.unanswered.Store(0)
	for _, c := range pending {
		if c.parts != nil {
			c.parts.abort(errLinkClosed)
		}
		close(c.reply)
	}
	close(l.done)
	l.conn.CloseNow()
	l.writeSem <- struct{}{}
}

// deliverFrame passes a frame from the accepting side to the call that it answers. A
// pushed load sample goes to Config.IncomingSample.
func (l *link) deliverFrame(h *wire.Header, body []byte) error {
	if h.Type == wire.LoadSample {
		if h.Sample != nil {
			l.peers.config.IncomingSample(l.host, *h.Sample)
		}
		return nil
	}
	if h.Type == wire.Credit {
		l.addCredit(h.ID)
		return nil
	}
	l.mu.Lock()
	c := l.pending[h.ID]
	if c == nil {
		l.mu.Unlock()
		return nil // the caller no longer waits
	}
	if h.Type == wire.AnswerPart {
		if c.parts == nil {
			l.mu.Unlock()
			return &wire.FrameError{Problem: "part before its answer", Cause: errLinkClosed}
		}
		if !h.More {
			delete(l.pending, h.ID)
			l.unanswered.Add(-1)
		}
		l.mu.Unlock()
		return c.parts.addPart(body, h.More, h.Text)
	}
	if c.parts != nil {
		l.mu.Unlock()
		return &wire.FrameError{Problem: "second answer to a call", Cause: errLinkClosed}
	}
	if h.More {
		c.parts = newPartReader(l, c)
	} else {
		delete(l.pending, h.ID)
		l.unanswered.Add(-1)
	}
	l.mu.Unlock()
	held, ok := l.holdAnswer(h)
	if !ok {
		l.peers.answersWithoutMemory.Add(1)
		if c.parts != nil {
			c.parts.Close()
		}
		c.reply <- reply{header: wire.Header{Type: wire.Lost, ID: h.ID, Sample: h.Sample, Text: "no memory is left for the header of the answer"}}
		return nil
	}
	c.reply <- reply{header: *h, body: append([]byte(nil), body...), stream: c.parts, held: held}
	return nil
}

// bestEffortTimeout bounds the wait for writeSem before a frame whose loss is
// harmless, so that a busy link does not block a caller that has already given
// up.
const bestEffortTimeout = 5 * time.Millisecond

// sendBestEffort sends a frame whose loss is harmless and drops it if the link is
// busy. No response is awaited.
func (l *link) sendBestEffort(h wire.Header) {
	ctx, cancel := context.WithTimeout(l.peers.ctx, bestEffortTimeout)
	defer cancel()
	l.writeFrame(ctx, &h, nil)
}

// sendSurely sends a frame without a body as soon as the link is free, after those of
// earlier calls of sendSurely. It does not wait for the link; only the link's end loses
// the frame. No response is awaited.
func (l *link) sendSurely(h wire.Header) {
	l.owedMu.Lock()
	l.owed = append(l.owed, h)
	start := !l.sendingOwed
	l.sendingOwed = true
	l.owedMu.Unlock()
	if start && !l.peers.workerPool.runJob(l.sendOwed) {
		l.sendOwed()
	}
}

// sendOwed sends the frames in owed until there are none or the link has ended. It holds
// writeSem for all that are owed, so that calls on a contended link cannot add to owed
// faster than it is sent.
func (l *link) sendOwed() {
	for l.acquireWriteSem(l.peers.ctx) == nil {
		l.owedMu.Lock()
		owed := l.owed
		l.owed = nil
		l.owedMu.Unlock()
		for _, h := range owed {
			if l.writeOwed(&h) != nil {
				break // the link is closed
			}
		}
		l.releaseWriteSem()
		l.owedMu.Lock()
		l.sendingOwed = len(l.owed) > 0
		more := l.sendingOwed
		l.owedMu.Unlock()
		if !more {
			return
		}
	}
}

// writeOwed writes a frame without a body. The caller holds writeSem.
func (l *link) writeOwed(h *wire.Header) (err error) {
	buf := frameBuffers.Get().(*[]byte)
	if *buf, err = wire.Append((*buf)[:0], h, nil); err != nil {
		releaseBuffer(buf)
		return err
	}
	return l.writeBuffer(buf)
}
