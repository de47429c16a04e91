package abuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Header blocks of answers, which may have 32 KiB, and trailers within the buffer that
// net/http reads them from.
const (
	answerHeadBytes    = 31 << 10
	answerTrailerBytes = 4 << 10
	endlessBytes       = 256 << 20 // more than a node and its sockets may hold
)

// fault is what a faulty server sends instead of an answer. Write gets the header fields that
// make it match its request. The server then keeps the connection open.
type fault struct {
	name  string
	write func(w io.Writer, matching string) error
}

// shortFields and longField are n bytes of header fields.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

func longField(n int) string { return "X-Long: " + strings.Repeat("x", n) + "\r\n" }

// endless writes a start, and a text until the node closes the connection.
func endless(start, text string) func(io.Writer, string) error {
	return func(w io.Writer, matching string) error {
		if _, err := io.WriteString(w, strings.ReplaceAll(start, "MATCHING", matching)); err != nil {
			return err
		}
		b := []byte(strings.Repeat(text, (64<<10)/len(text)+1))
		for n := 0; n < endlessBytes; n += len(b) {
			if _, err := w.Write(b); err != nil {
				return err
			}
		}
		return nil
	}
}

// once writes a text.
func once(text string) func(io.Writer, string) error {
	return func(w io.Writer, matching string) error {
		_, err := io.WriteString(w, strings.ReplaceAll(text, "MATCHING", matching))
		return err
	}
}

const (
	answerStart  = "HTTP/1.1 200 OK\r\nMATCHING"
	chunkedStart = answerStart + "Transfer-Encoding: chunked\r\n\r\n"
)

// faults are sent by a server that answers requests and health checks.
var faults = []fault{
	{"no answer without end", endless("", "\x00")},
	{"a status line without end", endless("HTTP/1.1 200 ", "x")},
	{"a long field without end", endless(answerStart+"X: ", "x")},
	{"short fields without end", endless(answerStart, "a:\r\n")},
	{"informational answers without end", endless("", "HTTP/1.1 103 x\r\na:\r\n\r\n")},
	{"many short fields, and half a body", once(answerStart + shortFields(answerHeadBytes) + "Content-Length: 10\r\n\r\nx")},
	{"a long field, and half a body", once(answerStart + longField(answerHeadBytes) + "Content-Length: 10\r\n\r\nx")},
	{"informational answers of short fields", once("HTTP/1.1 103 x\r\n" + shortFields(answerHeadBytes-2000) + "\r\n" + answerStart + "Content-Length: 10\r\n\r\nx")},
	{"many short fields, and a whole body", once(answerStart + shortFields(answerHeadBytes) + "Content-Length: 1\r\n\r\nx")},
	{"a body without a length or an end", endless(answerStart+"\r\n", "x")},
	{"short chunks without end", endless(chunkedStart, "1\r\nx\r\n")},
	{"a chunk size without end", endless(chunkedStart, "0")},
	{"a chunk extension without end", endless(chunkedStart+"1;", "x")},
	{"an extension for each byte", endless(chunkedStart, "1;"+strings.Repeat("x", 100)+"\r\nx\r\n")},
	{"trailers without end", endless(chunkedStart+"0\r\n", "a:\r\n")},
	{"trailers of short fields, and no end", once(chunkedStart + "1\r\nx\r\n0\r\n" + shortFields(answerTrailerBytes))},
	{"trailers with an empty line", once(chunkedStart + "1\r\nx\r\n0\r\nA: b\n\nC: d\r\n\r\n")},
	{"bytes after an answer without end", endless(answerStart+"Content-Length: 1\r\n\r\nx", "x")},
	{"answers after an answer without end", endless(answerStart+"Content-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")},
}

// faultyAnswers is a server that sends a fault for requests to /read/faulty and, if the fault is
// one of checks, for health checks.
type faultyAnswers struct {
	next   http.Handler
	fault  fault
	checks bool
}

func (s faultyAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/read/faulty" && !(s.checks && r.URL.Path == "/healthz") {
		s.next.ServeHTTP(w, r)
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sendTimeout))
	if s.fault.write(c, "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n") == nil {
		io.Copy(io.Discard, c) // until the node closes the connection
	}
}

const (
	// faultySlots are fewer than the connections to a server, and faultyCallers, who send
	// requests one after the other, as many as the slots of both servers.
	faultySlots    = 250
	faultyCallers  = 2 * faultySlots
	faultyTime     = 3 * time.Second
	faultyDeadline = 2 * time.Second
	// faultyCheckTime is that of some checks up to their timeout.
	faultyCheckTime = 1500 * time.Millisecond
)

// callFaulty sends requests to which the answer is faulty, for faultyTime.
func callFaulty(n *node, i int) {
	for end := time.Now().Add(faultyTime); time.Now().Before(end); {
		dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(attackerAddress(i), 0)), Timeout: sendTimeout}
		c, err := dialer.Dial("tcp", n.address(portCallers))
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(faultyDeadline + time.Second))
		fmt.Fprintf(c, "GET /read/faulty HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: f-%d\r\nX-Deadline-Ms: %d\r\n\r\n", lastID.Add(1), faultyDeadline.Milliseconds())
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<20))
		}
		c.Close()
	}
}

// Guards against a node that ends, hangs or uses more memory than its machine has because of what
// a faulty server sends, to the node beside it or through that one to another, and against one
// that serves no ordinary requests afterwards.
func TestFaultyServer(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			nodes := startDeploymentOf(t, faultySlots, func(_ int, next http.Handler) http.Handler { return faultyAnswers{next: next, fault: f} })
			var calling sync.WaitGroup
			for i := range faultyCallers {
				calling.Go(func() { callFaulty(nodes[i%2], i) })
			}
			calling.Wait()
			checkRecovered(t, nodes)
		})
	}
}

// Guards against the same by the answers to health checks.
func TestFaultyHealthCheck(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			nodes := startDeploymentOf(t, faultySlots, func(i int, next http.Handler) http.Handler {
				if i > 0 {
					return next
				}
				return faultyAnswers{next: next, fault: f, checks: true}
			})
			time.Sleep(faultyCheckTime)
			checkServes(t, nodes[0])
			for _, n := range nodes {
				n.checkBounds(t)
			}
		})
	}
}
