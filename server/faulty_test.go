package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/server"
)

var listen = server.Listen

// Guards against a server whose head has no end: the client must close the connection
// after a bounded number of bytes instead of keeping them all in memory until the
// deadline of the request.
func TestEndlessHead(t *testing.T) {
	const endless = 64 << 20 // more than the buffers of both sockets hold
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":   {"HTTP/1.1 200 ", "OK"},
		"header":        {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"headers":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no answer":     {"", "\x00"},
		"chunk size":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"extension":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			address := listen(t, func(conn net.Conn) {
				http.ReadRequest(bufio.NewReader(conn))
				io.WriteString(conn, c.start)
				b := []byte(strings.Repeat(c.repeated, 4096))
				for sent.Load() < endless {
					n, err := conn.Write(b)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			client := server.New(server.Config{Address: address})
			_, err := client.Do(t.Context(), newRequest("GET", "/"))
			is.Equal(prim.OutcomeOf(err), prim.Unknown)
			is.True(sent.Load() < endless)
			is.Equal(client.Status().Open, 0)
		})
	}
}

// Guards against a body without end that is kept in memory, and one that appears
// complete to the caller when the deadline ends it.
func TestEndlessBody(t *testing.T) {
	is := is.New(t)
	address := listen(t, func(conn net.Conn) {
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for b := make([]byte, 64<<10); ; {
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	})
	client := server.New(server.Config{Address: address})
	r := newRequest("GET", "/")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	a, err := client.Do(t.Context(), r)
	is.NoErr(err)
	is.True(len(a.Body) <= prim.MaxBufferedBody)
	_, err = io.Copy(io.Discard, a.Rest)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.NoErr(a.Rest.Close())
	is.Equal(client.Status().Open, 0)
}

// Guards against an answer without a length that appears complete although its
// connection was reset.
func TestResetWithoutLength(t *testing.T) {
	is := is.New(t)
	address := listen(t, func(conn net.Conn) {
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		conn.(*net.TCPConn).SetLinger(0)
	})
	_, err := server.New(server.Config{Address: address}).Do(t.Context(), newRequest("GET", "/"))
	is.Equal(prim.OutcomeOf(err), prim.Unknown)
}

// duplicating returns a handler of connections that answers each request with the given
// text and sends the previous answer a second time before it, when the client has
// already sent its next request.
func duplicating(answer func(n int, r *http.Request) string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		previous := ""
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			next := answer(n, r)
			io.WriteString(conn, previous+next)
			previous = next
		}
	}
}

func textAnswer(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// Guards against a late second copy of an answer that is taken for the answer to the
// next request on the connection.
func TestLateSecondAnswer(t *testing.T) {
	is := is.New(t)
	address := listen(t, duplicating(func(n int, r *http.Request) string {
		return textAnswer(server.HeaderSequence+": "+r.Header.Get(server.HeaderSequence)+"\r\n", fmt.Sprint(n))
	}))
	client := server.New(server.Config{Address: address})
	for n := range 3 {
		a, err := client.Do(context.Background(), newRequest("GET", "/"))
		is.NoErr(err)
		is.Equal(string(a.Body), fmt.Sprint(n))
		is.Equal(a.Header.Get(server.HeaderSequence), "") // not meant for the caller
	}
}

// Guards against an answer without an identifier on a connection that was used before:
// it may be a late copy, so it must not be taken for an answer, nor for a refusal.
func TestUnidentifiedAnswer(t *testing.T) {
	is := is.New(t)
	address := listen(t, duplicating(func(n int, r *http.Request) string {
		return textAnswer("", fmt.Sprint(n))
	}))
	client := server.New(server.Config{Address: address, OmitNodeHeaders: true,
		Match: func(*prim.Request, http.Header) server.Match { return server.Unidentified }})
	a, err := client.Do(context.Background(), newRequest("GET", "/"))
	is.NoErr(err)
	is.Equal(string(a.Body), "0")
	_, err = client.Do(context.Background(), newRequest("GET", "/"))
	is.Equal(prim.OutcomeOf(err), prim.Unknown)
	is.Equal(client.Status().Open, 0)
}

// Guards against an answer with an invalid status that is skipped like an informational
// one, so that the next answer on the connection is taken for it, and against a connection
// that is used again after such an answer.
func TestInvalidStatus(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"
	for name, text := range map[string]string{
		"000":                       "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
		"000 before another answer": "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n" + next,
		"000 after continue":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n\r\n" + next,
		"099 before another answer": "HTTP/1.1 099 x\r\n\r\n" + next,
		"600":                       "HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n",
		"999 before another answer": "HTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n" + next,
		"no status":                 "HTTP/1.1 \r\n\r\n" + next,
		"no HTTP":                   "\x16\x03\x01 alert\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			address := listen(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					if r.URL.Path == "/broken" {
						io.WriteString(conn, text)
						continue
					}
					io.WriteString(conn, textAnswer("", "valid"))
				}
			})
			broken := 0
			client := server.New(server.Config{Address: address, OnBrokenAnswer: func(err *prim.BrokenAnswerError) { broken++ }})
			for n := range 3 {
				a, err := client.Do(t.Context(), newRequest("GET", "/")) // the connection is then used
				is.NoErr(err)
				is.Equal(string(a.Body), "valid")
				_, err = client.Do(t.Context(), newRequest("GET", "/broken"))
				is.Equal(prim.OutcomeOf(err), prim.Unknown)
				is.True(!prim.IsTimeout(err))
				is.Equal(client.Status().Open, 0)
				is.Equal(broken, n+1)
			}
			is.Equal(requests.Load(), int64(6))
		})
	}
}

// Guards against an informational answer that ends a request, and against an answer of 101,
// which nobody asked for, that is skipped or taken for a final one.
func TestInformationalAnswers(t *testing.T) {
	is := is.New(t)
	for text, status := range map[string]int{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + textAnswer("", "ok"): 200,
		"HTTP/1.1 199 x\r\n\r\n" + textAnswer("", "ok"):                                                   200,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + textAnswer("", "ok"):                                 0,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n":                   0,
		"HTTP/1.1 599 x\r\nContent-Length: 0\r\n\r\n":                                                     599,
	} {
		address := listen(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, text)
		})
		client := server.New(server.Config{Address: address})
		r := newRequest("GET", "/")
		r.Header = http.Header{"Connection": {"Upgrade"}, "Upgrade": {"x"}} // not passed on
		a, err := client.Do(t.Context(), r)
		if status == 0 {
			var broken *prim.BrokenAnswerError
			is.True(errors.As(err, &broken))
			is.Equal(prim.OutcomeOf(err), prim.Unknown)
			is.Equal(client.Status().Open, 0)
			continue
		}
		is.NoErr(err)
		is.Equal(a.Status, status)
	}
}

// Guards against a server that sends one byte now and then and so holds a connection and a
// goroutine past the deadline of the request.
func TestTricklingServer(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"nothing":       {"", ""},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"header":        {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":          {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "b"},
		"no length":     {"HTTP/1.1 200 OK\r\n\r\n", "b"},
		"chunk size":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan error, 1)
			address := listen(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				http.ReadRequest(reader)
				io.WriteString(conn, c.start)
				go func() {
					for {
						for i := range len(c.repeated) {
							if _, err := io.WriteString(conn, c.repeated[i:i+1]); err != nil {
								return
							}
							time.Sleep(20 * time.Millisecond)
						}
						if c.repeated == "" {
							return
						}
					}
				}()
				_, err := reader.ReadByte()
				closed <- err
			})
			client := server.New(server.Config{Address: address})
			r := newRequest("GET", "/")
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			a, err := client.Do(context.Background(), r)
			if err == nil { // the body has no known length
				_, err = io.Copy(io.Discard, a.Rest)
				is.Equal(err, io.ErrUnexpectedEOF)
				is.NoErr(a.Rest.Close())
			} else {
				is.Equal(prim.OutcomeOf(err), prim.Unknown)
			}
			is.True(time.Since(r.Deadline) < 5*time.Second) // it takes 20 s and more to end by itself
			is.Equal(client.Status().Open, 0)
			is.True(<-closed != nil)
		})
	}
}

// Guards against a connection that stays counted after trailers that the parser can't take, in
// answers that are buffered and in those that are passed on.
func TestMalformedTrailersGiveBackConnection(t *testing.T) {
	for _, size := range []int{1, 2 << 20} {
		is := is.New(t)
		address := listen(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\n\nC: d\r\n\r\n", size, strings.Repeat("x", size))
			}
		})
		client := server.New(server.Config{Address: address, Connections: 1})
		for range 3 {
			a, err := client.Do(context.Background(), newRequest("GET", "/"))
			if err == nil {
				is.True(a.Rest != nil)
				_, err = io.Copy(io.Discard, a.Rest)
				is.Equal(err, io.ErrUnexpectedEOF)
				a.Drop()
			}
			is.Equal(prim.OutcomeOf(err), prim.Unknown)
			is.Equal(client.Status().Open, 0)
		}
	}
}
