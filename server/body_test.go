package server

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// recordingConn records what is written to it.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
	shared  int // bytes written from the memory of body
	body    []byte
}

func (c *recordingConn) Write(b []byte) (int, error) {
	if n := len(b); n > 0 && n <= len(c.body) && &b[n-1] == &c.body[len(c.body)-1] {
		c.shared += n
	}
	return c.written.Write(b)
}

// Guards against a large body that is copied on its way to the server, and one that is
// changed by writing it without a copy.
func TestBodyIsNotCopied(t *testing.T) {
	is := is.New(t)
	c := New(Config{Address: netip.MustParseAddrPort("127.0.0.1:1")})
	for _, n := range []int{0, 1, bufferSize, 3 * bufferSize, 1 << 20} {
		body := bytes.Repeat([]byte("body"), n/4+1)[:n]
		conn := &recordingConn{body: body}
		w := bufio.NewWriterSize(conn, bufferSize)
		r := &prim.Request{Method: "POST", Path: "/", Body: body, Deadline: time.Now().Add(time.Minute)}
		is.NoErr(c.writeRequest(w, r, &connection{}))
		_, got, _ := bytes.Cut(conn.written.Bytes(), []byte("\r\n\r\n"))
		is.True(bytes.Equal(got, body))
		if n > bufferSize {
			is.True(conn.shared > n-bufferSize)
		}
	}
}
