package peers

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// A request whose body is longer than maxFrameBody is sent in parts: a Dispatch with the
// length of the body, then BodyPart frames. The owner's node collects the body before it
// passes the request on, so the request has not run if the transfer ends early. Other
// frames are sent between the parts. See docs/design/large-bodies.md.

const (
	// maxFrameBody is the longest body of a request that is sent in one frame, as nodes of
	// earlier versions do with all requests.
	maxFrameBody = 1 << 20
	// bodyWindow is the number of parts that may be sent but not yet collected: 1 MiB. It
	// allows 17 MB/s at a round trip of 60 ms, and delays a short frame behind it by 8 ms
	// at 1 Gbit/s.
	bodyWindow = 16
	// bodyStallTimeout is how long a transfer may make no progress before either side
	// abandons it. A part of four pieces may take stallTimeout for each of them.
	bodyStallTimeout = 5 * time.Second
	// bodyRetryAfter is the RetryAfter of a large request that was refused because of its
	// body. Others of its size take about as long.
	bodyRetryAfter = time.Second
	// bodyGrowth is the factor by which the buffer of a body grows. While it is copied, the
	// old and the new buffer are held: 1.25 times the body. With a factor of 2 it would be
	// 1.5 times.
	bodyGrowth = 4
	// minBodyBuffer is the smallest buffer of a body.
	minBodyBuffer = 1 << 20
)

// headerFeatures lists the optional parts of the protocol that a node supports. Both sides
// send it in the upgrade.
const (
	headerFeatures   = "Primrosethread-Features"
	featureBodyParts = "BodyParts" // accepts requests in parts
)

// supportsBodyParts reports whether the node that sent the headers of an upgrade accepts
// requests in parts.
func supportsBodyParts(h http.Header) bool {
	return slices.Contains(h.Values(headerFeatures), featureBodyParts)
}

// Sender

// refuseLarge returns the refusal of a large request by this node, before anything is sent.
func (o *remoteOwner) refuseLarge() error {
	return &prim.RefusalError{Reason: prim.ReasonNoRoom, Host: o.host, RetryAfter: bodyRetryAfter}
}

var errBodyStalled = errors.New("the other node collects no more of the body")

// dispatchInParts sends a request in parts. Until its last part is written, every failure is
// a *prim.RefusalError. The body is not modified and not used after the return.
func (o *remoteOwner) dispatchInParts(ctx context.Context, l *link, c *call, h *wire.Header, body []byte) (*prim.Answer, error) {
	if !l.bodyParts {
		l.dropCall(c)
		return nil, o.refuseLarge()
	}
	reply, err := o.sendBody(ctx, l, c, h, body)
	if err != nil {
		o.peers.bodiesAbandoned.Add(1)
		return nil, err
	}
	if reply != nil {
		return o.receiveReply(l, reply)
	}
	o.peers.bodiesSent.Add(1)
	return o.awaitAnswer(ctx, l, c)
}

// sendBody sends a request in parts. It returns a reply if one arrives before the end, which
// is a refusal.
func (o *remoteOwner) sendBody(ctx context.Context, l *link, c *call, h *wire.Header, body []byte) (*reply, error) {
	l.bodiesInProgress.Add(1)
	defer l.bodiesInProgress.Add(-1)
	credits := l.grantCredits(c)
	h.More, h.BodyTotal = true, len(body)
	if sent, err := l.writeFrame(ctx, h, nil); err != nil {
		return nil, o.refuseUnsent(ctx, l, c, sent)
	}
	stalled := time.NewTimer(o.peers.bodyStallTimeout)
	defer stalled.Stop()
	for part := range slices.Chunk(body, partBytes) {
		stalled.Reset(o.peers.bodyStallTimeout)
		select {
		case <-credits:
		case r, ok := <-c.reply:
			if !ok {
				return nil, o.refuseUnsent(ctx, l, c, false)
			}
			return &r, nil
		case <-stalled.C:
			o.peers.config.Logger.Info("request abandoned", "Peer", o.host, "Length", h.BodyTotal, "Unsent", len(body), "Error", errBodyStalled)
			return nil, o.refuseUnsent(ctx, l, c, true)
		case <-ctx.Done():
			return nil, o.refuseUnsent(ctx, l, c, true)
		}
		body = body[len(part):]
		more := len(body) > 0
		sent, err := l.writeFrame(ctx, &wire.Header{Type: wire.BodyPart, ID: c.id, More: more}, part)
		switch {
		case err == nil:
		case !more && sent:
			return nil, o.failCall(l, c, sent, err)
		default:
			return nil, o.refuseUnsent(ctx, l, c, true)
		}
	}
	return nil, nil
}

// refuseUnsent ends a call whose request was not sent to its end, and which therefore can't
// run. If some of it was sent, the call is cancelled at the other side.
func (o *remoteOwner) refuseUnsent(ctx context.Context, l *link, c *call, sent bool) error {
	if sent {
		l.cancelCall(c)
	} else {
		l.dropCall(c)
	}
	refusal := &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: o.host, RetryAfter: bodyRetryAfter}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Reason = prim.ReasonExpired
	case ctx.Err() != nil:
		refusal.Reason = prim.ReasonCancelled
	}
	return refusal
}

// grantCredits returns the channel with the credits of a call, one for each part that may be
// sent.
func (l *link) grantCredits(c *call) <-chan struct{} {
	credits := make(chan struct{}, bodyWindow)
	for range bodyWindow {
		credits <- struct{}{}
	}
	l.mu.Lock()
	c.credits = credits
	l.mu.Unlock()
	return credits
}

// addCredit gives a call one more credit.
func (l *link) addCredit(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.pending[id]
	if c == nil {
		return // the caller no longer waits
	}
	select {
	case c.credits <- struct{}{}:
	default: // the request was not sent in parts, or the peer granted more than bodyWindow
	}
}

// Receiver

// bodyBuffer collects a body of known length. Its memory is charged to a budget.
type bodyBuffer struct {
	memory   prim.MemoryBudget // nil if there is no limit
	total    int
	bytes    []byte // its capacity is charged
	released bool
}

var (
	errNoMemory     = errors.New("the budget allows no more memory")
	errBodyReleased = errors.New("the body is no longer collected")
)

// add appends a part. The error is errNoMemory, errBodyReleased or a *wire.FrameError.
func (b *bodyBuffer) add(part []byte) error {
	n := len(b.bytes) + len(part)
	switch {
	case b.released:
		return errBodyReleased
	case n > b.total:
		return &wire.FrameError{Problem: "body too long", Cause: fmt.Errorf("%d of %d bytes", n, b.total)}
	case n > cap(b.bytes):
		size := bufferSize(n, b.total)
		if b.memory != nil && !b.memory.Reserve(size) {
			return errNoMemory
		}
		grown := make([]byte, len(b.bytes), size)
		copy(grown, b.bytes)
		b.releaseBytes()
		b.bytes = grown
	}
	b.bytes = append(b.bytes, part...)
	return nil
}

// bufferSize returns the size of the buffer for n bytes of a body: the total length divided by
// a power of bodyGrowth.
func bufferSize(n, total int) int {
	size := total
	for {
		smaller := (size + bodyGrowth - 1) / bodyGrowth
		if smaller < max(n, minBodyBuffer) {
			return size
		}
		size = smaller
	}
}

func (b *bodyBuffer) releaseBytes() {
	if b.memory != nil && cap(b.bytes) > 0 {
		b.memory.Release(cap(b.bytes))
	}
	b.bytes = nil
}

// release frees the buffer. Only the first call has an effect.
func (b *bodyBuffer) release() {
	if !b.released {
		b.released = true
		b.releaseBytes()
	}
}

// incomingBody is a request whose body is being collected. It holds a unit of callSem.
type incomingBody struct {
	ctx        context.Context
	cancel     context.CancelFunc
	header     wire.Header
	receivedAt time.Time
	stalled    *time.Timer // abandons the request
	unwatch    func() bool // stops waiting for the end of ctx

	mu     sync.Mutex
	buffer bodyBuffer
	frame  heldFrame // of the header
}

// add appends a part and reports whether the body is complete.
func (b *incomingBody) add(part []byte) (complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	err = b.buffer.add(part)
	return len(b.buffer.bytes) == b.buffer.total, err
}

func (b *incomingBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.buffer.released {
		b.frame.release()
	}
	b.buffer.release()
}

// startBody begins to collect the body of a request, whose header is charged as held. An error
// closes the link.
func (l *inboundLink) startBody(ctx context.Context, h wire.Header, held heldFrame) error {
	started := false
	defer func() {
		if !started {
			held.release() // also after a panic
		}
	}()
	if h.BodyTotal <= 0 || h.BodyTotal > prim.MaxRequestBody {
		return &wire.FrameError{Problem: "length of the body out of range", Cause: fmt.Errorf("%d of %d bytes", h.BodyTotal, prim.MaxRequestBody)}
	}
	if h.Instance != l.peers.config.Instance {
		l.runSoon(func() { l.refuse(h.ID, prim.ReasonOtherInstance) })
		return nil
	}
	now := time.Now()
	ctx, cancel, ok, err := l.beginCall(ctx, &h, now)
	if !ok {
		return err
	}
	b := &incomingBody{ctx: ctx, cancel: cancel, header: h, receivedAt: now, buffer: bodyBuffer{memory: l.peers.config.Memory, total: h.BodyTotal}, frame: held}
	l.callMu.Lock()
	defer l.callMu.Unlock()
	l.bodies[h.ID] = b
	started = true
	b.stalled = time.AfterFunc(l.peers.bodyStallTimeout, func() { l.abandonBody(h.ID, prim.ReasonUnreachable) })
	b.unwatch = context.AfterFunc(ctx, func() {
		reason := prim.ReasonCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = prim.ReasonExpired
		}
		l.abandonBody(h.ID, reason)
	})
	return nil
}

// addBodyPart handles a BodyPart. The request starts with the last one. An error closes the
// link.
func (l *inboundLink) addBodyPart(h *wire.Header, part []byte) error {
	l.callMu.Lock()
	b := l.bodies[h.ID]
	l.callMu.Unlock()
	if b == nil {
		return nil // abandoned or refused; the sender does not know yet
	}
	complete, err := b.add(part)
	switch {
	case errors.Is(err, errNoMemory):
		id := h.ID
		l.runSoon(func() { l.abandonBody(id, prim.ReasonNoRoom) })
		return nil
	case errors.Is(err, errBodyReleased):
		return nil
	case err != nil:
		return err
	case complete == h.More:
		return &wire.FrameError{Problem: "wrong length of the body", Cause: fmt.Errorf("complete: %v, more parts: %v", complete, h.More)}
	case !complete:
		b.stalled.Reset(l.peers.bodyStallTimeout)
		l.sendSurely(wire.Header{Type: wire.Credit, ID: h.ID})
		return nil
	}
	if l.takeBody(h.ID) == nil {
		return nil // abandoned meanwhile
	}
	l.peers.bodiesReceived.Add(1)
	l.launchCall(b.ctx, b.cancel, &b.header, b.buffer.bytes, b.receivedAt, b.release)
	return nil
}

// takeBody removes a request from those whose bodies are being collected and returns it, or
// nil if it is not among them.
func (l *inboundLink) takeBody(id uint64) *incomingBody {
	l.callMu.Lock()
	b := l.bodies[id]
	delete(l.bodies, id)
	l.callMu.Unlock()
	if b != nil {
		b.stalled.Stop()
		b.unwatch()
	}
	return b
}

// abandonBody refuses a request whose body is being collected, and frees its memory.
func (l *inboundLink) abandonBody(id uint64, reason prim.Reason) {
	b := l.takeBody(id)
	if b == nil {
		return
	}
	b.release()
	l.peers.bodiesAbandoned.Add(1)
	l.peers.config.Logger.Info("request abandoned", "Peer", l.host, "Length", b.header.BodyTotal, "Reason", reason.String())
	l.refuse(id, reason)
	l.endCall(id, b.cancel)
}

// runSoon runs f, which writes a frame, without making the reader of the link wait for the
// write. If too many goroutines are busy, it runs f itself.
func (l *inboundLink) runSoon(f func()) {
	if !l.peers.workerPool.runJob(f) {
		f()
	}
}

// refuse refuses a call with a large body before it has run.
func (l *inboundLink) refuse(id uint64, reason prim.Reason) {
	l.respond(wire.ErrorHeader(id, &prim.RefusalError{
		Reason: reason, Host: l.peers.config.Self, Sample: l.peers.localOwner.Sample(), RetryAfter: bodyRetryAfter,
	}), nil)
}
