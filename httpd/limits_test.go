package httpd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against a response that its client does not read and that is not given up under
// memory pressure, also if the deadline is set just before a write.
func TestGiveUpOfUnreadResponse(t *testing.T) {
	for name, beforeWrite := range map[string]bool{"before the write": true, "during the write": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan error, 1)
			_, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				control := http.NewResponseController(w)
				giveUp := func() {
					if err := control.SetWriteDeadline(past); err != nil {
						t.Error(err)
					}
				}
				if beforeWrite {
					giveUp()
				} else {
					defer time.AfterFunc(100*time.Millisecond, giveUp).Stop()
				}
				_, err := w.Write(make([]byte, 64<<20))
				ended <- err
			})})
			c := dial(t, address)
			c.send("/")
			select {
			case err := <-ended:
				is.True(errors.Is(err, os.ErrDeadlineExceeded))
			case <-time.After(5 * time.Second):
				t.Fatal("the response is not given up")
			}
			_, _, err := c.receive()
			is.True(err != nil) // the truncated response does not look complete
		})
	}
}

// Guards against a response that waits for its turn and is not given up under memory
// pressure, and against one that looks complete.
func TestGiveUpOfWaitingResponse(t *testing.T) {
	is := is.New(t)
	first, ended, b := make(chan struct{}), make(chan error, 1), &fakeBudget{limit: 1 << 20}
	_, address := startServer(t, Config{Concurrent: always, Memory: b, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-first
			return
		}
		defer time.AfterFunc(100*time.Millisecond, func() { http.NewResponseController(w).SetWriteDeadline(past) }).Stop()
		var err error
		for err == nil {
			_, err = w.Write(make([]byte, 16<<10))
		}
		ended <- err
	})})
	c := dial(t, address)
	c.send("/1", "/2")
	select {
	case err := <-ended:
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	case <-time.After(5 * time.Second):
		t.Error("the response that waits for its turn is not given up")
	}
	// Its memory is returned before its turn.
	for end := time.Now().Add(5 * time.Second); b.inUse() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(b.inUse(), 0)
	close(first)
	_, _, err := c.receive()
	is.NoErr(err)
	_, _, err = c.receive()
	is.True(err != nil) // a response that was given up ends the connection
}

// Guards against a connection that fails after a deadline in the past was taken back.
func TestWriteDeadlineTakenBack(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		is.NoErr(control.SetWriteDeadline(past))
		is.NoErr(control.SetWriteDeadline(time.Time{}))
		io.WriteString(w, "answer")
	})})
	c := dial(t, address)
	for range 2 {
		c.send("/")
		body, _, err := c.receive()
		is.NoErr(err)
		is.Equal(body, "answer")
	}
}

// Guards against requests that go on after their client has left, if it had sent a header
// behind them that did not end within the header timeout.
func TestDepartureAfterHeaderTimeout(t *testing.T) {
	is := is.New(t)
	g := newGates()
	limits := func() prim.ClientLimits { return prim.ClientLimits{HeaderTimeout: 50 * time.Millisecond} }
	_, address := startServer(t, Config{Handler: g, Concurrent: always, Limits: limits})
	c := dial(t, address)
	c.send("/1")
	io.WriteString(c, "GET /2 HTTP/1.1\r\nX: ")
	is.Equal(take(g.started, 1), []string{"/1"})
	time.Sleep(200 * time.Millisecond)
	c.Close()
	select {
	case <-g.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request is not cancelled")
	}
}

// Guards against memory for long headers that are read while requests are in progress,
// which is not reserved: what exceeds the input buffer is read when they have been answered.
func TestLongHeaderIsNotReadAhead(t *testing.T) {
	for name, field := range map[string]string{"one field": "X: " + strings.Repeat("x", 12<<10) + "\r\n", "many fields": strings.Repeat("X: x\r\n", 2<<10)} {
		t.Run(name, func(t *testing.T) { testLongHeader(t, field) })
	}
}

func testLongHeader(t *testing.T, field string) {
	is := is.New(t)
	g := newGates()
	_, address := startServer(t, Config{Handler: g, Concurrent: always})
	c := dial(t, address)
	c.send("/1")
	io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: a\r\n"+field+"\r\n")
	is.Equal(take(g.started, 1), []string{"/1"})
	select {
	case p := <-g.started:
		t.Error("read ahead:", p)
	case <-time.After(200 * time.Millisecond):
	}
	close(g.gate("/1"))
	close(g.gate("/2"))
	for _, p := range []string{"/1", "/2"} {
		body, _, err := c.receive()
		is.NoErr(err)
		is.Equal(body, p)
	}
}

// Guards against reading the rest of a rejected body for longer than the handler allows,
// and against a response that does not reach the client or does not announce the close.
func TestRestOfRejectedBody(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})})
	c := dial(t, address)
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
	began := time.Now()
	resp, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(resp.Close)
	is.True(time.Since(began) < 5*time.Second) // DefaultHeaderTimeout is 15 s
	_, err = io.ReadAll(c.in)
	is.NoErr(err)
}

// Guards against a rejection that does not reach a client which sends much more than the
// server reads, and against a server that reads all of it.
func TestRejectionOfLongBody(t *testing.T) {
	for name, length := range map[string]string{"announced": "Content-Length: 104857600", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.CopyN(io.Discard, r.Body, 1<<10)
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			})})
			c := dial(t, address)
			io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+length+"\r\n\r\n6400000\r\n")
			n, err := c.Write(make([]byte, 100<<20))
			is.True(err != nil && n < 32<<20) // not all is read
			resp, err := http.ReadResponse(c.in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(resp.Close)
		})
	}
}

// drippingConn is a connection whose client takes one byte before each write deadline.
type drippingConn struct {
	net.Conn
	writes int
}

func (c *drippingConn) Write([]byte) (int, error) {
	c.writes++
	if c.writes > 10 {
		return 0, net.ErrClosed
	}
	return 1, os.ErrDeadlineExceeded
}

// Guards against a response that is kept for ever because its client takes a few bytes in
// each idle timeout.
func TestDrippingReader(t *testing.T) {
	is := is.New(t)
	_, server := net.Pipe()
	defer server.Close()
	d := &drippingConn{Conn: server}
	c := newConn(New(Config{}), d)
	defer c.cancel()
	c.vector = net.Buffers{make([]byte, 64<<10)}
	is.True(errors.Is(c.write(nil), os.ErrDeadlineExceeded))
	is.Equal(d.writes, 1)
}

// Guards against a body behind a pipelined request that stops short and keeps its connection,
// and against a rejection that does not reach the client.
func TestShortBodyBehindRequest(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, Config{Concurrent: always, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(50 * time.Millisecond)
			return
		}
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := io.ReadAll(r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})})
	c := dial(t, address)
	c.send("/1")
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
	for _, status := range []int{http.StatusOK, http.StatusRequestTimeout} {
		resp, err := http.ReadResponse(c.in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
		is.Equal(resp.Close, status == http.StatusRequestTimeout)
	}
	_, err := c.in.ReadByte()
	is.Equal(err, io.EOF)
}

// Guards against a panic of Concurrent that ends the process: it is not called by a handler.
func TestPanicOfConcurrent(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, Config{
		Handler:    http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "answer") }),
		Concurrent: func(*http.Request) bool { panic("test") },
	})
	c := dial(t, address)
	c.send("/1", "/2")
	for range 2 {
		body, _, err := c.receive()
		is.NoErr(err)
		is.Equal(body, "answer")
	}
}

// Guards against a reset that destroys responses on their way, because reading has ended before
// them and what their client sent later is never read: after a header that did not arrive in time,
// and after a long body of a request that is refused for lack of memory.
func TestResponseArrivesAfterEndOfReading(t *testing.T) {
	for name, test := range map[string]struct{ behind, late, refusal string }{
		"header timeout": {"GET /2 HTTP/1.1\r\nX: ", "late", ""},
		"long body":      {"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 450000\r\n\r\n" + strings.Repeat("b", 400_000), strings.Repeat("b", 50_000), "HTTP/1.1 503"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 4 << 20
			started, answer := make(chan struct{}), make(chan struct{})
			limits := func() prim.ClientLimits { return prim.ClientLimits{HeaderTimeout: 400 * time.Millisecond} }
			s, address := startServer(t, Config{Limits: limits, Concurrent: always, Unread: &fakeBudget{}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(started)
				<-answer
				w.Header().Set("Content-Length", strconv.Itoa(size))
				w.Header()["Content-Type"] = nil
				w.Write(make([]byte, size))
			})})
			c := dial(t, address)
			c.send("/1")
			<-started
			io.WriteString(c, test.behind)
			awaitHold(t, s)
			io.WriteString(c, test.late)
			close(answer)
			body, _, err := c.receive()
			is.NoErr(err)
			is.Equal(len(body), size)
			rest, err := io.ReadAll(c.in)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(rest), test.refusal))
			is.Equal(len(rest) > 0, test.refusal != "")
		})
	}
}
