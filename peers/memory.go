package peers

import (
	"context"
	"runtime"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/blocks"
	"github.com/primrosethread/primrosethread/waits"
	"github.com/primrosethread/primrosethread/wire"
)

// Frames may arrive faster than they are handled, and each is held until its call ends. A
// link for whose next frame no memory is left is not read for a while, so that the other
// side is slowed down; then the call is refused, which tells its sender to go elsewhere.

const (
	// controlOverhead is accounted for each control message besides its body.
	controlOverhead = 2 << 10
	// heldFrameWait is how long a link is not read for lack of memory. It is far below the
	// time after which the other side closes a silent link.
	heldFrameWait = 50 * time.Millisecond
	// heldFrameRest is the time from the end of one wait to the next. Meanwhile calls are
	// refused without a wait, so that pings, credits and cancels get through.
	heldFrameRest = 10 * heldFrameWait
	// smallControlBytes is the size up to which control messages are not accounted for.
	// Config.MaxCalls bounds them. The check of a link is one.
	smallControlBytes = 4 << 10
	// heldFramePoll is the time between two attempts to reserve memory.
	heldFramePoll = 5 * time.Millisecond
)

// heldFrame is what is reserved for a frame until its call ends.
type heldFrame struct {
	memory prim.MemoryBudget
	bytes  int
}

func (f heldFrame) release() { f.memory.Release(f.bytes) }

// frameCost returns the memory that a frame with such a body takes until its call ends.
func frameCost(h *wire.Header, bodyBytes int) int {
	if h.Type != wire.Dispatch && h.Type != wire.Reserve {
		return bodyBytes + controlOverhead
	}
	return bodyBytes + prim.RequestCost(len(h.Path)+fieldBytes(h), len(h.HTTPFields)/2)
}

// fieldBytes returns the bytes of the HTTP headers in a frame.
func fieldBytes(h *wire.Header) (n int) {
	for _, text := range h.HTTPFields {
		n += len(text)
	}
	return n
}

// heldAnswer is what is reserved for the HTTP headers of an answer until it has been passed on,
// or nobody has it any more.
type heldAnswer struct{ release func() }

// holdAnswer reserves memory for the HTTP headers of an answer, if they take more than usual. It
// returns false if none is left.
func (l *link) holdAnswer(h *wire.Header) (*heldAnswer, bool) {
	n := prim.HeaderCost(fieldBytes(h), len(h.HTTPFields)/2)
	if n <= blocks.FreeCost {
		return nil, true
	}
	m := l.peers.config.Memory
	if !m.Reserve(n) {
		return nil, false
	}
	held := &heldAnswer{release: sync.OnceFunc(func() { m.Release(n) })}
	runtime.AddCleanup(held, func(release func()) { release() }, held.release)
	return held, true
}

// holdFrame reserves memory for a frame, and waits if none is left. It returns false if there
// is none after heldFrameWait.
func (l *inboundLink) holdFrame(ctx context.Context, h *wire.Header, bodyBytes int) (heldFrame, bool) {
	if (h.Type == wire.Ask || h.Type == wire.Tell || h.Type == wire.Commit) && bodyBytes <= smallControlBytes {
		return heldFrame{unbounded{}, 0}, true
	}
	f := heldFrame{l.peers.config.Memory, frameCost(h, bodyBytes)}
	if f.memory.Reserve(f.bytes) {
		return f, true
	}
	if time.Now().Before(l.waitAgainAt) {
		return f, false
	}
	l.peers.waitedForMemory.Add(1)
	defer func() { l.waitAgainAt = time.Now().Add(heldFrameRest) }()
	for end := time.Now().Add(heldFrameWait); time.Now().Before(end); {
		if waits.Sleep(ctx, heldFramePoll) != nil {
			return f, false
		}
		if f.memory.Reserve(f.bytes) {
			return f, true
		}
	}
	return f, false
}

// unbounded is a budget without a bound.
type unbounded struct{}

// Reserve implements prim.MemoryBudget.
func (unbounded) Reserve(int) bool { return true }

// Release implements prim.MemoryBudget.
func (unbounded) Release(int) {}
