// Package abuse tests that clients which keep to no rule neither end a node nor take its
// memory or its descriptors. It starts the program's own processes on loopback addresses,
// with the memory and the descriptors of a small machine. Its tests run one at a time, and
// apart from those of other packages.
package abuse

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// The machine of the tests, and the operators' limits. Numbers of clients and bounds follow
// from them alone.
const (
	memoryMB       = 64
	maxFDs         = 600
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	slots          = 64 // of a server

	// bodyClients send bodies of four times the memory in sum, if all are whole.
	bodyClients = 4 * memoryMB << 20 / maxBodyBytes
	// oneByteBody is the size of bodies in chunks of one byte; bodyClients send the whole
	// memory in sum.
	oneByteBody = memoryMB << 20 / bodyClients
	// connectionClients open twice as many connections as there are descriptors.
	connectionClients = 2 * maxFDs
	// excessFactor is the factor by which bodies and headers exceed their limits.
	excessFactor = 4
)

// attack is what one client sends. The client keeps its connection open afterwards.
type attack struct {
	name       string
	clients    int
	send       func(c net.Conn) error
	oneAddress bool // all clients have the same address
}

const (
	uploadHead  = "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 20000\r\n"
	chunkedHead = uploadHead + "Transfer-Encoding: chunked\r\n\r\n"
)

func announcedHead(length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", uploadHead, length)
}

// largeChunk is a chunk of a sixteenth of the largest body.
var largeChunk = chunk(maxBodyBytes / 16)

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// repeat writes a head, and a text n times.
func repeat(c net.Conn, head, text string, n int) error {
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	const batch = 64 << 10
	perWrite := max(1, min(n, batch/len(text)))
	b := bytes.Repeat([]byte(text), perWrite)
	for ; n > 0; n -= perWrite {
		if _, err := c.Write(b[:min(n, perWrite)*len(text)]); err != nil {
			return err
		}
	}
	return nil
}

const (
	// heldHeaderBytes of fields and a few others stay within the limit of a header, and
	// heldTrailerBytes within the buffer that trailers are read into.
	heldHeaderBytes  = maxHeaderBytes - 1<<10
	heldTrailerBytes = 3 << 10

	openBody = "5\r\nhello\r\n" // a chunk that others should follow
)

func fieldsHead(fields string) string {
	return uploadHead + fields + "Transfer-Encoding: chunked\r\n\r\n"
}

// sendOnce returns a client that sends a text.
func sendOnce(text string) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

func sendLargeChunks(c net.Conn) error {
	if err := repeat(c, chunkedHead, largeChunk, 15); err != nil {
		return err
	}
	_, err := io.WriteString(c, chunk(maxBodyBytes/16-1))
	return err
}

var attacks = []attack{
	{name: "bodies in large chunks that stop short of the end", clients: bodyClients, send: sendLargeChunks},
	{name: "the same from one address", clients: bodyClients, send: sendLargeChunks, oneAddress: true},
	{name: "bodies in chunks of one byte that stop short of the end", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, chunkedHead, "1\r\nx\r\n", oneByteBody)
	}},
	{name: "announced bodies that stop short of the end", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, announcedHead(maxBodyBytes), "x", maxBodyBytes-1)
	}},
	{name: "announced bodies of which one byte is sent", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, announcedHead(maxBodyBytes), "x", 1)
	}},
	{name: "announced bodies over the limit", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, announcedHead(1<<40), "x", excessFactor*maxBodyBytes)
	}},
	{name: "chunked bodies over the limit", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, chunkedHead, largeChunk, excessFactor*16)
	}},
	{name: "headers that never end", clients: connectionClients, send: func(c net.Conn) error {
		return repeat(c, "GET /read/x HTTP/1.1\r\nHost: a.example\r\n", "X-Field: "+strings.Repeat("x", 117)+"\r\n", excessFactor*maxHeaderBytes/128)
	}},
	{name: "headers that stop short of the end", clients: connectionClients, send: func(c net.Conn) error {
		return repeat(c, "GET /read/x HTTP/1.1\r\nHost: a.example\r\n", "X-Field: "+strings.Repeat("x", 117)+"\r\n", maxHeaderBytes/128-2)
	}},
	{name: "connections that send nothing", clients: connectionClients, send: func(net.Conn) error { return nil }},
	{name: "chunk extensions that never end", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, chunkedHead+"1;", "extension=x;", excessFactor*maxHeaderBytes/12)
	}},
	{name: "an extension for each byte", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, chunkedHead, "1;"+strings.Repeat("x", 100)+"\r\nx\r\n", oneByteBody/16)
	}},
	{name: "trailers that never end", clients: bodyClients, send: func(c net.Conn) error {
		return repeat(c, chunkedHead+"1\r\nx\r\n0\r\n", "X-Trailer: "+strings.Repeat("x", 115)+"\r\n", excessFactor*maxHeaderBytes/128)
	}},
	{name: "many short fields, and bodies that stop short of the end", clients: connectionClients, send: sendOnce(fieldsHead(shortFields(heldHeaderBytes)) + openBody)},
	{name: "a long field, and bodies that stop short of the end", clients: connectionClients, send: sendOnce(fieldsHead(longField(heldHeaderBytes)) + openBody)},
	{name: "names in a Trailer field, and bodies that stop short of the end", clients: connectionClients, send: sendOnce(fieldsHead("Trailer: "+strings.Repeat("a,", heldHeaderBytes/2)+"a\r\n") + openBody)},
	{name: "trailers of short fields that stop short of the end", clients: connectionClients, send: sendOnce(chunkedHead + "1\r\nx\r\n0\r\n" + shortFields(heldTrailerBytes))},
	{name: "trailers with an empty line", clients: connectionClients, send: sendOnce(chunkedHead + "1\r\nx\r\n0\r\nA: b\n\nC: d\r\n\r\n")},
	{name: "several requests of short fields at once", clients: connectionClients, send: func(c net.Conn) error {
		return repeat(c, "", "GET /read/x HTTP/1.1\r\nHost: a.example\r\n"+shortFields(heldHeaderBytes)+"\r\n", 4)
	}},
	{name: "answers that are not read", clients: bodyClients, send: func(c net.Conn) error {
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c, "GET /read/x?size=%d HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 20000\r\n\r\n", maxBodyBytes-1000)
		return err
	}},
}

// Addresses of ordinary callers and of the clients of an attack, which have many.
var ordinaryCaller = netip.MustParseAddr("127.0.91.1")

func attackerAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 92, byte(1 + i%250)}) }

const (
	// sendTimeout bounds what one client sends.
	sendTimeout = 15 * time.Second
	// holdTime is the time that the node has to read what the sockets hold.
	holdTime = 2 * time.Second
)

// run starts the clients of an attack and returns holdTime after each has sent everything or
// has failed. Their connections stay open until the returned function is called.
func (a attack) run(n *node) (closeAll func()) {
	var mu sync.Mutex
	var open []net.Conn
	var sending sync.WaitGroup
	for i := range a.clients {
		if a.oneAddress {
			i = 0
		}
		sending.Go(func() {
			dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(attackerAddress(i), 0)), Timeout: sendTimeout}
			c, err := dialer.Dial("tcp", n.address(portCallers))
			if err != nil {
				return // the node accepts no more
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			c.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = a.send(c) // the node may close the connection at any time
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return func() {
		for _, c := range open {
			c.Close()
		}
	}
}

// checkServes checks that a node answers one ordinary request.
func checkServes(t *testing.T, n *node) {
	t.Helper()
	n.request(t, ordinaryCaller, "/read/x", 0)
}

// checkRecovered checks that a calm node answers an ordinary request and one with the
// largest body, has released the memory, and has stayed within its bounds.
func checkRecovered(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		checkServes(t, n)
		n.awaitRelease(t)
		n.request(t, ordinaryCaller, "/upload/x", maxBodyBytes-1)
		n.checkBounds(t)
	}
}

// Guards against a node that ends, hangs or uses more memory or descriptors than its
// machine has because of one kind of client, and against memory that is kept after the
// clients have gone.
func TestOneKindOfClient(t *testing.T) {
	for _, a := range attacks {
		t.Run(a.name, func(t *testing.T) {
			nodes := startDeployment(t)
			closeAll := a.run(nodes[0])
			checkServes(t, nodes[0])
			closeAll()
			checkRecovered(t, nodes)
		})
	}
}

// Guards against the same with all kinds of clients at once, beside ordinary callers.
func TestAllKindsOfClients(t *testing.T) {
	nodes := startDeployment(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				// The share of served requests is not checked.
				_, _ = nodes[i%2].attempt(ordinaryCaller, []string{"/read/x", "/upload/x"}[i/2%2], i/2%2*4000)
			}
		})
	}
	var attacking sync.WaitGroup
	closers := make([]func(), len(attacks))
	for i, a := range attacks {
		a.clients /= 4 // so that the test needs no more connections than three of the others
		attacking.Go(func() { closers[i] = a.run(nodes[0]) })
	}
	attacking.Wait()
	checkServes(t, nodes[0])
	checkServes(t, nodes[1])
	for _, closeAll := range closers {
		closeAll()
	}
	close(stop)
	callers.Wait()
	checkRecovered(t, nodes)
}
