package server

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"testing"

	prim "github.com/primrosethread/primrosethread"
)

// FuzzReceiveAnswer guards against bytes of a server that panic the reader of answers, that
// give an answer with an invalid status, or of which more is kept than the limits allow.
func FuzzReceiveAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 099 x\r\n\r\nHTTP/1.1 204 x\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 x\r\n\r\n",
		"HTTP/1.0 999 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nHello\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\n\nC: d\r\n\r\n", // panicked
		"HTTP/1.1 200 OK\r\nPrimrosethread-Sequence: 1\r\nKeep-Alive: timeout=5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nPrimrosethread-Sequence: 9\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 x\r\n\r\n",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, b []byte, head bool) {
		input := &limitedInput{r: bytes.NewReader(b)}
		conn := &connection{input: input, reader: bufio.NewReaderSize(input, bufferSize), requests: 1}
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}}
		if head {
			req.Method = http.MethodHead
		}
		c := New(Config{})
		resp, body, complete, err := c.receiveAnswer(conn, &prim.Request{}, req)
		if err != nil {
			var broken *prim.BrokenAnswerError
			if errors.As(err, &broken) && broken.Cause == nil {
				t.Error("broken answer without a cause")
			}
			return
		}
		if s := resp.StatusCode; s < 200 || s > 599 {
			t.Errorf("accepted status %d", s)
		}
		if len(body.bytes) > prim.MaxBufferedBody || head && len(body.bytes) > 0 {
			t.Errorf("body of %d bytes, to a HEAD request: %v", len(body.bytes), head)
		}
		if !complete {
			io.Copy(io.Discard, resp.Body)
		}
	})
}
