package memory

import (
	"errors"
	"io"
)

// ErrTooLarge is the error of a body over its limit.
var ErrTooLarge = errors.New("the body is too large; send at most max_body_bytes of the configuration")

const (
	// A body is read into pieces from minPieceBytes to maxPieceBytes, each twice as large
	// as the one before. They are powers of two, which Go allocates without waste.
	minPieceBytes = 4 << 10
	maxPieceBytes = 256 << 10
	// wholeBytes is the expected size up to which a body is read into one buffer, so that
	// ordinary ones are not copied. It is less than the cost of the connection.
	wholeBytes = 16 << 10
	// wholeFraction is the fraction of the expected size that has to have arrived before a
	// buffer for the whole body is allocated. While it grows, a body then takes at most 5/4
	// of its expected size, and one that has hardly begun takes twice what has arrived.
	wholeFraction = 4
)

// Read reads a body with an announced length, negative if there is none, and of at most
// limit bytes. Memory is reserved as the body arrives, by the size of the buffers. The
// error of a body over the limit is ErrTooLarge, that of a body for which no memory is left
// a *FullError; others are those of r. If it fails, nothing stays reserved.
func (t *Transfer) Read(r io.Reader, length int64, limit int) ([]byte, error) {
	if length > int64(limit) {
		return nil, ErrTooLarge
	}
	p := pieces{transfer: t, in: r, expected: limit + 1, exact: length >= 0}
	if p.exact {
		p.expected = int(length)
	}
	body, err := p.read()
	switch {
	case err == nil && len(body) > limit:
		err = ErrTooLarge
	case err == nil && p.exact && len(body) < p.expected:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		t.Release(t.held)
		if t.Finish() != nil {
			return nil, &FullError{RetryAfter: retryAfter}
		}
		return nil, err
	}
	return body, nil
}

// pieces is a body of which not all has arrived.
type pieces struct {
	transfer *Transfer
	in       io.Reader
	expected int  // size, or upper bound of the size
	exact    bool // expected is the size
	list     [][]byte
	size     int // of all in list
}

func (p *pieces) read() ([]byte, error) {
	for next := minPieceBytes; ; next = min(2*next, maxPieceBytes) {
		if p.expected <= wholeBytes || p.size > 0 && p.size >= p.expected/wholeFraction {
			return p.readRest()
		}
		if err := p.transfer.Reserve(next); err != nil {
			return nil, err
		}
		b, done, err := p.fill(make([]byte, 0, next))
		p.list = append(p.list, b)
		p.size += len(b)
		if err != nil {
			return nil, err
		}
		if done && len(p.list) == 1 {
			return b, nil
		}
		if done {
			return p.join(p.size)
		}
	}
}

// readRest reads the rest into a buffer of the expected size.
func (p *pieces) readRest() ([]byte, error) {
	b, err := p.join(p.expected)
	if err != nil {
		return nil, err
	}
	b, _, err = p.fill(b)
	return b, err
}

// join returns the pieces in one buffer with the given capacity.
func (p *pieces) join(capacity int) ([]byte, error) {
	if err := p.transfer.Reserve(allocated(capacity)); err != nil {
		return nil, err
	}
	b := make([]byte, 0, capacity)
	total := 0
	for _, piece := range p.list {
		b = append(b, piece...)
		total += cap(piece)
	}
	p.list = nil
	p.transfer.Release(total)
	return b, nil
}

// allocated returns an upper bound of the bytes that Go allocates for a buffer.
func allocated(capacity int) int {
	const pageBytes, maxSmallBytes = 8 << 10, 32 << 10
	if capacity > maxSmallBytes {
		return (capacity + pageBytes - 1) / pageBytes * pageBytes
	}
	return capacity + capacity/8 // size classes waste at most an eighth
}

// fill reads until b is full or the body ends, and reports whether it has ended.
func (p *pieces) fill(b []byte) (filled []byte, done bool, err error) {
	for len(b) < cap(b) {
		n, err := p.in.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		p.transfer.Progress(n)
		if err == io.EOF {
			return b, true, nil
		}
		if err != nil {
			return b, false, err
		}
	}
	return b, false, nil
}
