package peers

import (
	"errors"
	"io"
	"sync"

	"github.com/primrosethread/primrosethread/wire"
)

// Answers longer than prim.MaxBufferedBody are sent in parts with credit-based flow
// control. The receiver grants one credit for each part that it has consumed, so
// a slow reader delays its own answer but never the link, and the memory used by
// an answer is bounded.

const (
	// partBytes is the body size of one part, except for the last.
	partBytes = 64 << 10
	// creditWindow is the number of parts that may be sent but not yet consumed.
	creditWindow = 8
)

// partReader is the receiving side of a long answer.
type partReader struct {
	link    *link
	call    *call
	mu      sync.Mutex
	changed *sync.Cond
	parts   [][]byte
	err     error // io.EOF after the last part, else why the answer ended early; nil while parts are expected
	closed  bool  // Close was called
}

func newPartReader(l *link, c *call) *partReader {
	r := &partReader{link: l, call: c}
	r.changed = sync.NewCond(&r.mu)
	return r
}

var errNoCredit = &wire.FrameError{Problem: "answer part without credit", Cause: errors.New("window exceeded")}

// addPart appends a received part. An error text means that the sender truncated the
// answer. An error closes the link.
func (r *partReader) addPart(body []byte, more bool, errorText string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.parts) > creditWindow {
		return errNoCredit
	}
	if len(body) > 0 && !r.closed {
		r.parts = append(r.parts, append([]byte(nil), body...))
	}
	if !more && r.err == nil {
		r.err = io.EOF
		if errorText != "" {
			r.err = io.ErrUnexpectedEOF
		}
	}
	r.changed.Broadcast()
	return nil
}

// abort ends an incomplete answer because its link has closed.
func (r *partReader) abort(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = io.ErrUnexpectedEOF
	}
	r.changed.Broadcast()
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF at the end of a
// truncated answer.
func (r *partReader) Read(b []byte) (int, error) {
	r.mu.Lock()
	for len(r.parts) == 0 && r.err == nil {
		r.changed.Wait()
	}
	if len(r.parts) == 0 {
		err := r.err
		r.mu.Unlock()
		return 0, err
	}
	n := copy(b, r.parts[0])
	r.parts[0] = r.parts[0][n:]
	consumed := len(r.parts[0]) == 0
	if consumed {
		r.parts = r.parts[1:]
	}
	grantCredit := consumed && r.err == nil
	r.mu.Unlock()
	if grantCredit {
		r.link.sendSurely(wire.Header{Type: wire.Credit, ID: r.call.id})
	}
	return n, nil
}

// Close discards the rest of the answer. If the answer is incomplete, Close
// cancels the call at the sender.
func (r *partReader) Close() error {
	r.mu.Lock()
	unfinished := r.err == nil
	r.closed = true
	r.parts = nil
	if unfinished {
		r.err = io.ErrClosedPipe
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	if unfinished {
		r.link.cancelCall(r.call)
	}
	return nil
}
