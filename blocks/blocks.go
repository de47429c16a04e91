// Package blocks bounds the memory for header blocks and trailers of HTTP/1.1. The parser of
// net/http makes a map entry, a list and a string of each field, so that a block of many short
// fields takes a hundred times its size.
package blocks

import (
	"bytes"
	"errors"

	prim "github.com/primrosethread/primrosethread"
)

// Fields returns the number of fields in a header block, and of names in its Trailer fields, of
// which the parser makes entries too.
func Fields(block []byte) (n int) {
	for len(block) > 0 {
		var line []byte
		line, block, _ = bytes.Cut(block, []byte("\n"))
		var start lineStart
		n += 1 + start.add(line)
	}
	return n
}

// ErrNoMemory is the error of a Meter whose budget allows no more.
var ErrNoMemory = errors.New("no memory is left for the header; send fewer fields or free memory")

// FreeCost is the cost up to which a block is not charged. Ordinary ones have less.
const FreeCost = 16 << 10

// Meter charges a header block before it is parsed, while its bytes are received. It is used by
// one goroutine at a time.
type Meter struct {
	Memory prim.MemoryBudget // nil if there is no bound

	bytes, fields int
	line          lineStart
	ended         bool // the empty line after the block was received
	reserved      int
}

// lineStart is what is known of the line that is being received.
type lineStart struct {
	bytes     int
	text      [len(trailerName)]byte // the first bytes
	isTrailer bool
}

const trailerName = "Trailer:"

// add adds the next bytes and returns the number of names among them if it is a Trailer field.
func (l *lineStart) add(b []byte) (names int) {
	if l.bytes < len(l.text) {
		copy(l.text[l.bytes:], b)
	}
	l.bytes += len(b)
	l.isTrailer = l.isTrailer || l.bytes >= len(l.text) && bytes.EqualFold(l.text[:], []byte(trailerName))
	if l.isTrailer {
		names = bytes.Count(b, []byte(","))
	}
	return names
}

func (l *lineStart) isEmpty() bool { return l.bytes == 0 || l.bytes == 1 && l.text[0] == '\r' }

// Reset prepares the meter for the next block. What is charged and was not taken is returned.
func (m *Meter) Reset() {
	m.release()
	m.bytes, m.fields, m.line, m.ended = 0, 0, lineStart{}, false
}

// Add charges the next bytes that were received, up to the end of the block. The error is
// ErrNoMemory.
func (m *Meter) Add(b []byte) error {
	for len(b) > 0 && !m.ended {
		text, rest, whole := bytes.Cut(b, []byte("\n"))
		m.bytes += len(b) - len(rest)
		m.fields += m.line.add(text)
		if whole {
			m.fields++
			m.ended = m.line.isEmpty()
			m.line = lineStart{}
		}
		b = rest
	}
	return m.charge()
}

// charge reserves what the block costs so far. It doubles what is reserved: the part of a large
// block counts as large too.
func (m *Meter) charge() error {
	cost := prim.HeaderCost(m.bytes, m.fields)
	if m.Memory == nil || cost <= max(FreeCost, m.reserved) {
		return nil
	}
	larger := max(cost, 2*m.reserved)
	if !m.Memory.Reserve(larger) {
		return ErrNoMemory
	}
	m.release()
	m.reserved = larger
	return nil
}

// Take returns the bytes that are charged, which the caller returns to the budget.
func (m *Meter) Take() (n int) {
	n, m.reserved = m.reserved, 0
	return n
}

func (m *Meter) release() {
	if m.reserved > 0 {
		m.Memory.Release(m.reserved)
		m.reserved = 0
	}
}
