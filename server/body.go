package server

import (
	"io"
	"net/http"

	prim "github.com/primrosethread/primrosethread"
)

const (
	// freeBytes of a body are buffered without a reservation. Refusals of servers are
	// shorter, and are recognized only if their body is whole.
	freeBytes = 64 << 10
	// firstBytes is the first size of the buffer for a body without a length, and growth
	// the factor between its sizes, up to prim.MaxBufferedBody.
	firstBytes, growth = 4 << 10, 4
	// copies is how often a body is held: as it is, and as the frame to another node.
	copies = 2
)

// answerBody is the buffered part of a response's body, and what is reserved for the response.
type answerBody struct {
	memory   prim.MemoryBudget // nil if there is no bound
	bytes    []byte
	reserved int
	header   heldHeader
}

// collect reads up to prim.MaxBufferedBody bytes of the body and reports whether that is the
// whole body. If no memory is left it reads less, and the rest is passed on while it arrives.
func (b *answerBody) collect(resp *http.Response) (complete bool, err error) {
	if resp.Body == http.NoBody {
		return true, nil // HEAD, 204 and 304 may have a Content-Length but no body
	}
	if n := resp.ContentLength; n >= 0 && n <= prim.MaxBufferedBody {
		if !b.grow(int(n)) {
			return false, nil
		}
		b.bytes = b.bytes[:n]
		if _, err := io.ReadFull(resp.Body, b.bytes); err != nil {
			return false, err
		}
		return true, resp.Body.Close()
	}
	for size := firstBytes; ; size *= growth {
		if !b.grow(min(size, prim.MaxBufferedBody)) {
			return false, nil
		}
		// io.ReadFull would return the same error for the end of a body and for one that was
		// cut.
		for len(b.bytes) < cap(b.bytes) {
			n, err := resp.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
			b.bytes = b.bytes[:len(b.bytes)+n]
			if err == io.EOF {
				return true, nil
			}
			if err != nil {
				return false, err
			}
		}
		if len(b.bytes) >= prim.MaxBufferedBody {
			return false, nil
		}
	}
}

// grow moves the bytes to a buffer of the given capacity. It returns false, and changes
// nothing, if no memory is left for it.
func (b *answerBody) grow(capacity int) bool {
	need := 0
	if capacity > freeBytes && b.memory != nil {
		if need = copies * capacity; !b.memory.Reserve(need) {
			return false
		}
	}
	larger := make([]byte, len(b.bytes), capacity)
	copy(larger, b.bytes)
	b.releaseBody()
	b.bytes, b.reserved = larger, need
	return true
}

// release returns what is reserved for the response.
func (b *answerBody) release() {
	b.releaseBody()
	b.header.release()
	b.header.bytes = 0
}

func (b *answerBody) releaseBody() {
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
		b.reserved = 0
	}
}

// handOver makes the answer return what is reserved for it.
func (b *answerBody) handOver(a *prim.Answer) {
	if b.reserved == 0 && b.header.bytes == 0 {
		return
	}
	memory, reserved, header := b.memory, b.reserved, b.header
	a.OnRelease(func() {
		if reserved > 0 {
			memory.Release(reserved)
		}
		header.release()
	})
}

// heldHeader is what is reserved for the header of a response.
type heldHeader struct {
	memory prim.MemoryBudget
	bytes  int
}

func (h heldHeader) release() {
	if h.bytes > 0 {
		h.memory.Release(h.bytes)
	}
}
