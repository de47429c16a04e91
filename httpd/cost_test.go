package httpd

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosethread/primrosethread/blocks"
)

// shortFields returns fields with different short names and the same value, at least n bytes.
func shortFields(n int, value string) string {
	var b strings.Builder
	for i := 36; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":" + value + "\r\n")
	}
	return b.String()
}

// Guards against a header block that takes more memory when it is parsed than its request was
// charged for: many short fields, or one field from which the parser makes many entries.
func TestChargeCoversParser(t *testing.T) {
	const size = 16 << 10
	names := strings.ReplaceAll(shortFields(2*size, ""), ":\r\n", ",")[:size]
	for name, c := range map[string]struct{ target, fields string }{
		"no field":         {"/", ""},
		"long target":      {"/" + strings.Repeat("%7e", size/3), ""},
		"one field":        {"/", "X: " + strings.Repeat("x", size) + "\r\n"},
		"thirty fields":    {"/", shortFields(30*50, strings.Repeat("x", 40))},
		"many fields":      {"/", shortFields(size, "1")},
		"fields with text": {"/", shortFields(size, "12345678")},
		"empty fields":     {"/", shortFields(size, "")},
		"the same field":   {"/", strings.Repeat("a:\r\n", size/4)},
		"two of each":      {"/", shortFields(size/2, "1") + shortFields(size/2, "2")},
		"trailer names":    {"/", "Transfer-Encoding: chunked\r\ntrailer:" + names + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := "POST " + c.target + " HTTP/1.1\r\nHost: a\r\n" + c.fields + "\r\n"
			in := bufio.NewReader(nil)
			const times = 20
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range times {
				in.Reset(strings.NewReader(head))
				_, err := http.ReadRequest(in)
				is.NoErr(err)
			}
			runtime.ReadMemStats(&after)
			if cost, charge := int(after.TotalAlloc-before.TotalAlloc)/times, parsedBytes([]byte(head)); cost > charge {
				t.Errorf("parsing allocates %d bytes, %d are charged", cost, charge)
			}
		})
	}
}

// Guards against a request that is parsed although there is no memory for it, one that is
// refused otherwise than with a status that promises that it has not run, and memory that is
// kept or returned twice.
func TestRequestWithoutMemory(t *testing.T) {
	is := is.New(t)
	budget := &fakeBudget{limit: 40 << 10}
	reading := make(chan struct{})
	_, address := startServer(t, Config{Requests: budget, Concurrent: always, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(reading)
		}
		io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%d fields", len(r.Header))
	})})
	for range 3 {
		c := dial(t, address)
		c.send("/1", "/2")
		for range 2 {
			body, last, err := c.receive()
			is.NoErr(err)
			is.True(!last)
			is.Equal(body, "0 fields")
		}
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+shortFields(1000, "1")+"\r\n")
		resp, err := http.ReadResponse(c.in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Close)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0)
		awaitFree(t, budget)
	}
	c := dial(t, address)
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n")
	<-reading
	c.Close() // the handler fails
	awaitFree(t, budget)
}

// awaitFree waits until nothing is reserved.
func awaitFree(t *testing.T, b *fakeBudget) {
	t.Helper()
	waitFor(t, "bytes are still reserved", func() bool { return b.inUse() == 0 })
}

// waitFor polls until a condition holds, for state that reports no changes.
func waitFor(t *testing.T, otherwise string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(otherwise)
		}
	}
}

// Guards against a client that goes on sending while the connection isn't read, whose bytes
// the kernel holds for the process without a charge, and against a connection that stays open
// for a client whose requests are no longer read.
func TestUnreadBytesAreCharged(t *testing.T) {
	for name, limit := range map[string]int{"room": unreadBytes, "no room": unreadBytes - 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := &fakeBudget{limit: limit}
			g := newGates()
			_, address := startServer(t, Config{Unread: budget, Handler: g}) // one request after the other
			c := dial(t, address)
			c.send("/1", "/2")
			is.Equal(take(g.started, 1), []string{"/1"})
			if name == "room" {
				for budget.inUse() < unreadBytes {
					time.Sleep(time.Millisecond)
				}
				close(g.gate("/2"))
			}
			time.Sleep(20 * time.Millisecond)
			close(g.gate("/1"))
			_, _, err := c.receive()
			is.NoErr(err)
			resp, err := http.ReadResponse(c.in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode == http.StatusOK, name == "room")
			if name == "no room" {
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.True(resp.Close)
				_, err = c.in.ReadByte()
				is.Equal(err, io.EOF)       // closed, not reset
				is.Equal(len(g.started), 0) // the refused request does not run
			}
			c.Close()
			awaitFree(t, budget)
		})
	}
}

// Guards against trailers that are parsed into many times their size, that are kept, or whose
// end is taken for the next request.
func TestTrailersAreDiscarded(t *testing.T) {
	is := is.New(t)
	const head = "POST / HTTP/1.1\r\nHost: a\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	_, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s, %d trailers, %v", b, len(r.Trailer), err)
	})})
	for trailers, want := range map[string]string{
		"\r\n":                              "abc, 0 trailers, <nil>",
		"A: b\r\n\r\n":                      "abc, 0 trailers, <nil>",
		"A: b\r\n c\r\nD:\r\n\r\n":          "abc, 0 trailers, <nil>",
		shortFields(3900, "1") + "\r\n":     "abc, 0 trailers, <nil>",
		shortFields(5000, "1") + "\r\n":     "abc, 0 trailers, " + blocks.ErrLongTrailers.Error(),
		"A\r\n\r\n":                         "abc, 0 trailers, " + blocks.ErrMalformedTrailers.Error(),
		" A: b\r\n\r\n":                     "abc, 0 trailers, " + blocks.ErrMalformedTrailers.Error(),
		"A : b\r\n\r\n":                     "abc, 0 trailers, " + blocks.ErrMalformedTrailers.Error(),
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n": "abc, 0 trailers, " + blocks.ErrMalformedTrailers.Error(),
	} {
		c := dial(t, address)
		io.WriteString(c, head+trailers)
		body, last, err := c.receive()
		is.NoErr(err)
		is.Equal(body, want)
		is.Equal(last, !strings.HasSuffix(want, "<nil>"))
		if !last {
			c.send("/next")
			body, _, err = c.receive()
			is.NoErr(err)
			is.Equal(body, ", 0 trailers, <nil>")
		}
	}
}
