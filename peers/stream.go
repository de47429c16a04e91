package peers

import (
	"errors"
	"io"
	"sync"

	"github.com/primrosethread/primrosethread/wire"
)

// Answers longer than prim.MaxCollected travel in parts. The receiver grants
// one credit for each part that it has consumed, so a slow reader holds up
// its own answer but never the link, and the memory of an answer is bounded.

const (
	// partSize is the body size of one part in bytes.
	partSize = 64 << 10
	// window is the number of parts that may be under way.
	window = 8
)

// stream is the receiving side of a long answer.
type stream struct {
	l    *link
	c    *call
	mu   sync.Mutex
	more *sync.Cond
	bufs [][]byte
	end  error // io.EOF after the last part, else why the answer was cut
	shut bool
}

func newStream(l *link, c *call) *stream {
	s := &stream{l: l, c: c}
	s.more = sync.NewCond(&s.mu)
	return s
}

var errOverrun = &wire.Malformed{Problem: "answer part without credit", Cause: errors.New("window exceeded")}

// push adds a part.
func (s *stream) push(b []byte, more bool, problem string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bufs) > window {
		return errOverrun
	}
	if len(b) > 0 && !s.shut {
		s.bufs = append(s.bufs, append([]byte(nil), b...))
	}
	if !more && s.end == nil {
		s.end = io.EOF
		if problem != "" {
			s.end = io.ErrUnexpectedEOF
		}
	}
	s.more.Broadcast()
	return nil
}

func (s *stream) fail(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		s.end = io.ErrUnexpectedEOF
	}
	s.more.Broadcast()
}

// Read returns io.ErrUnexpectedEOF when the answer was cut.
func (s *stream) Read(b []byte) (int, error) {
	s.mu.Lock()
	for len(s.bufs) == 0 && s.end == nil {
		s.more.Wait()
	}
	if len(s.bufs) == 0 {
		err := s.end
		s.mu.Unlock()
		return 0, err
	}
	n := copy(b, s.bufs[0])
	s.bufs[0] = s.bufs[0][n:]
	consumed := len(s.bufs[0]) == 0
	if consumed {
		s.bufs = s.bufs[1:]
	}
	credit := consumed && s.end == nil
	s.mu.Unlock()
	if credit {
		s.l.tell(wire.Header{Type: wire.Credit, ID: s.c.id})
	}
	return n, nil
}

// Close ends the answer. The sender is told if it is still sending.
func (s *stream) Close() error {
	s.mu.Lock()
	running := s.end == nil
	s.shut = true
	s.bufs = nil
	if running {
		s.end = io.ErrClosedPipe
	}
	s.more.Broadcast()
	s.mu.Unlock()
	if running {
		s.l.close(s.c)
		s.l.tell(wire.Header{Type: wire.Cancel, ID: s.c.id})
	}
	return nil
}
