package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against callers exhausting the file descriptors of a host, and against
// closed connections that still count towards the limit.
func TestConnections(t *testing.T) {
	is := is.New(t)
	c := &connectionLimiter{limit: 1}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = c.stateChanged
	s.Start()
	defer s.Close()
	first, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	_, err = first.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	_, err = first.Read(make([]byte, 1))
	is.NoErr(err)

	second, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // closed
	is.Equal(c.rejected.Load(), int64(1))
	first.Close()
	second.Close()
	s.Close() // waits for the connections to end
	is.Equal(c.open.Load(), int64(0))
}
