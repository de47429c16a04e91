package peers

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// errClosed is the cause of calls that end because their link was closed.
var errClosed = errors.New("link closed")

// link is one WebSocket connection. Frames are written by the goroutine that
// has something to say: a writer goroutine would add a hand-off to every hop.
type link struct {
	p        *Peers
	conn     *websocket.Conn
	host     prim.HostName
	instance prim.Instance // of the other side, on dialled links
	writing  chan struct{} // holds one token; a channel so that waiting obeys a context
	done     chan struct{} // closed when the reader has ended

	calls atomic.Int64 // unanswered calls, on dialled links
	heard atomic.Int64 // when the last frame came, in nanoseconds since epoch
	mu    sync.Mutex
	// pending holds the unanswered calls by id; nil once the link is closed.
	pending map[uint64]*call
	next    uint64
}

func newLink(p *Peers, conn *websocket.Conn, host prim.HostName) *link {
	conn.SetReadLimit(wire.MaxFrame)
	l := &link{
		p:       p,
		conn:    conn,
		host:    host,
		writing: make(chan struct{}, 1),
		done:    make(chan struct{}),
		pending: make(map[uint64]*call),
	}
	l.heard.Store(int64(time.Since(epoch)))
	return l
}

// epoch is the zero of heard, which counts on the monotonic clock.
var epoch = time.Now()

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// maxPooled is the largest buffer that is kept for reuse.
const maxPooled = 256 << 10

// write sends one frame. The context bounds the wait for the turn to write; a
// write that has begun ends by writeTimeout, which closes the link. When write
// returns sent == false nothing of the frame was written.
func (l *link) write(ctx context.Context, h *wire.Header, body []byte) (sent bool, err error) {
	buf := buffers.Get().(*[]byte)
	defer func() {
		if cap(*buf) <= maxPooled {
			buffers.Put(buf)
		}
	}()
	*buf, err = wire.Append((*buf)[:0], h, body)
	if err != nil {
		return false, err
	}
	select {
	case l.writing <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.done:
		return false, errClosed
	}
	defer func() { <-l.writing }()
	wctx, cancel := context.WithTimeout(l.p.ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(wctx, websocket.MessageBinary, *buf); err != nil {
		l.conn.CloseNow()
		return true, err
	}
	l.p.bytesOut.Add(int64(len(*buf)))
	return true, nil
}

// read calls handle for every frame until the link fails or the context ends.
// The body that handle gets is only valid during the call.
func (l *link) read(ctx context.Context, handle func(*wire.Header, []byte) error) error {
	scratch := make([]byte, 0, 4096)
	for {
		kind, r, err := l.conn.Reader(ctx)
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			return &wire.Malformed{Problem: "text message", Cause: errors.New("frames are binary")}
		}
		scratch, err = readAll(r, scratch[:0])
		if err != nil {
			return err
		}
		l.p.bytesIn.Add(int64(len(scratch)))
		l.heard.Store(int64(time.Since(epoch)))
		h, body, err := wire.Split(scratch)
		if err != nil {
			return err
		}
		if err := handle(&h, body); err != nil {
			return err
		}
		if cap(scratch) > maxPooled {
			scratch = make([]byte, 0, 4096)
		}
	}
}

// readAll reads r to its end into b, which it grows as needed.
func readAll(r io.Reader, b []byte) ([]byte, error) {
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := r.Read(b[len(b):cap(b)])
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
	id     uint64
	answer chan reply // buffered, so that the reader never waits for the caller
	parts  *stream    // set by the reader when a long answer begins
}

type reply struct {
	head wire.Header
	body []byte
	rest *stream
}

var errTooMany = errors.New("too many unanswered calls on the link")

// open registers a call.
func (l *link) open() (*call, error) {
	c := &call{answer: make(chan reply, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		return nil, errClosed
	}
	if len(l.pending) >= l.p.c.MaxCalls {
		return nil, errTooMany
	}
	l.next++
	c.id = l.next
	l.pending[c.id] = c
	l.calls.Add(1)
	return c, nil
}

// close forgets a call. Its late answer is dropped.
func (l *link) close(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.pending[c.id]; ok {
		delete(l.pending, c.id)
		l.calls.Add(-1)
	}
}

// fail ends all calls; their channels are closed without a reply.
func (l *link) fail() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	l.calls.Store(0)
	for _, c := range pending {
		if c.parts != nil {
			c.parts.fail(errClosed)
		}
		close(c.answer)
	}
	close(l.done)
	l.conn.CloseNow()
}

// deliver hands a frame of the other side to the call that it answers.
func (l *link) deliver(h *wire.Header, body []byte) error {
	if h.Type == wire.Load {
		if h.Sample != nil {
			l.p.c.Received(l.host, *h.Sample)
		}
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
			return &wire.Malformed{Problem: "part before its answer", Cause: errClosed}
		}
		if !h.More {
			delete(l.pending, h.ID)
			l.calls.Add(-1)
		}
		l.mu.Unlock()
		return c.parts.push(body, h.More, h.Text)
	}
	if c.parts != nil {
		l.mu.Unlock()
		return &wire.Malformed{Problem: "second answer to a call", Cause: errClosed}
	}
	if h.More {
		c.parts = newStream(l, c)
	} else {
		delete(l.pending, h.ID)
		l.calls.Add(-1)
	}
	l.mu.Unlock()
	c.answer <- reply{head: *h, body: append([]byte(nil), body...), rest: c.parts}
	return nil
}

// tellWait bounds the wait for the turn to write a frame whose loss is
// harmless, so that a caller that has given up is not held up by a busy link.
const tellWait = 5 * time.Millisecond

// tell sends a frame that has no answer and whose loss is harmless.
func (l *link) tell(h wire.Header) {
	ctx, cancel := context.WithTimeout(l.p.ctx, tellWait)
	defer cancel()
	l.write(ctx, &h, nil)
}
