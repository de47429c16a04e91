package blocks

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
)

// ChunkedBody reads a chunked body and discards its trailers. net/http parses them into a map,
// which nothing here uses and which can take fifty times their size. An error of Read is final.
type ChunkedBody struct {
	in     *bufio.Reader
	chunks io.Reader // of in
	err    error
}

// NewChunkedBody returns the body that begins at the next byte of in.
func NewChunkedBody(in *bufio.Reader) *ChunkedBody {
	return &ChunkedBody{in: in, chunks: httputil.NewChunkedReader(in)}
}

// Read implements io.Reader.
func (b *ChunkedBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.chunks.Read(p)
	if b.err == io.EOF {
		b.err = b.skipTrailers()
	}
	return n, b.err
}

// Close implements io.Closer.
func (b *ChunkedBody) Close() error { return nil }

// Errors of a ChunkedBody.
var (
	ErrLongTrailers      = errors.New("the trailers of the body are too long; send at most 4 KiB")
	ErrMalformedTrailers = errors.New("the trailers of the body are malformed")
)

// skipTrailers discards the trailers and the line that ends the body. It returns io.EOF if the
// body is whole.
func (b *ChunkedBody) skipTrailers() error {
	lineEnd, blockEnd := []byte("\r\n"), []byte("\r\n\r\n")
	for size := len(lineEnd); ; size++ {
		block, err := b.in.Peek(size)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return ErrLongTrailers
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case !bytes.Equal(block, lineEnd) && !bytes.HasSuffix(block, blockEnd):
			continue
		case !areFields(bytes.TrimSuffix(block, lineEnd)):
			return ErrMalformedTrailers
		}
		b.in.Discard(size)
		return io.EOF
	}
}

// areFields reports whether each line of a block is a field, or continues the one before it, by
// the rules of net/http for values. An empty line is neither: other parsers may take it for the end
// of the block.
func areFields(block []byte) bool {
	for first := true; len(block) > 0; first = false {
		var line []byte
		line, block, _ = bytes.Cut(block, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 || bytes.ContainsFunc(line, isControl) {
			return false
		}
		if !first && (line[0] == ' ' || line[0] == '\t') {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return false
		}
	}
	return true
}

// isToken reports whether a text can be the name of a field (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isControl reports whether a byte may not be in the value of a field.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
