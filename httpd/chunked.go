package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
)

// chunkedBody reads a chunked body and discards its trailers. net/http parses them into a map,
// which nothing here uses and which can take fifty times their size.
type chunkedBody struct {
	in     *bufio.Reader
	chunks io.Reader // of in
	err    error
}

func newChunkedBody(in *bufio.Reader) *chunkedBody {
	return &chunkedBody{in: in, chunks: httputil.NewChunkedReader(in)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
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
func (b *chunkedBody) Close() error { return nil }

var (
	errLongTrailers      = errors.New("the trailers of the body are too long; send at most 4 KiB")
	errMalformedTrailers = errors.New("the trailers of the body are malformed")
)

// skipTrailers discards the trailers and the line that ends the body. It returns io.EOF if the
// body is whole.
func (b *chunkedBody) skipTrailers() error {
	lineEnd, blockEnd := []byte("\r\n"), []byte("\r\n\r\n")
	for size := len(lineEnd); ; size++ {
		block, err := b.in.Peek(size)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return errLongTrailers
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case !bytes.Equal(block, lineEnd) && !bytes.HasSuffix(block, blockEnd):
			continue
		case !areFields(bytes.TrimSuffix(block, lineEnd)):
			return errMalformedTrailers
		}
		b.in.Discard(size)
		return io.EOF
	}
}

// areFields reports whether each line of a block has the name of a field, or continues the line
// before it.
func areFields(block []byte) bool {
	for first := true; len(block) > 0; first = false {
		var line []byte
		line, block, _ = bytes.Cut(block, []byte("\n"))
		if !first && (line[0] == ' ' || line[0] == '\t') {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
			return false
		}
	}
	return true
}
