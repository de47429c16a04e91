package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one client attempt and what became of it.
type request struct {
	id       string
	host     *host
	kind     string // safe or unsafe
	deadline time.Duration
	body     int // bytes

	sentAt, answeredAt time.Time
	status             int // 0 if the connection ended without an answer or the deadline passed
	problem            string
	answerBytes        int
}

// clients are the clients on one host. They keep connections open for many requests.
type clients struct {
	fleet *fleet
	host  *host

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run sends requests at a rate until done is closed. Each is made by next.
func (c *clients) run(perSecond float64, next func() *request, done <-chan struct{}) {
	var sending sync.WaitGroup
	defer sending.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		if !c.host.in() {
			continue
		}
		q := next()
		q.id, q.host = newID(), c.host
		sending.Go(func() { c.send(q) })
	}
}

// send sends a request and reads its answer.
func (c *clients) send(q *request) {
	q.sentAt = time.Now()
	c.fleet.addRequest(q)
	err := c.exchange(q)
	q.answeredAt = time.Now()
	if err != nil {
		q.problem = err.Error()
	}
	c.fleet.record.write("client on %s: %s %s answered %d after %d ms %s", c.host.name, q.kind, q.id, q.status, q.answeredAt.Sub(q.sentAt).Milliseconds(), q.problem)
}

func (c *clients) exchange(q *request) error {
	conn, err := c.connection()
	if err != nil {
		return err
	}
	conn.SetDeadline(q.sentAt.Add(q.deadline))
	method := http.MethodGet
	if q.kind == "unsafe" {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, q.kind, routeHost, q.id, q.deadline.Milliseconds())
	if q.kind == "unsafe" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", q.body)
	}
	b.WriteString("\r\n" + strings.Repeat("x", q.body))
	if _, err := io.WriteString(conn, b.String()); err != nil {
		conn.Close()
		return err
	}
	answer, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		conn.Close()
		return err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		conn.Close()
		return err
	}
	q.status, q.answerBytes = answer.StatusCode, len(body)
	if answer.Close {
		conn.Close()
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return nil
}

// connection returns a kept connection that the node hasn't closed, or a new one.
func (c *clients) connection() (*clientConn, error) {
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			break
		}
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.reader.Peek(1); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				return conn, nil
			}
		}
		conn.Close()
	}
	conn, err := net.DialTimeout("tcp", c.host.address(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// startClients starts clients on every host, which send half of their requests to the safe
// and half to the unsafe route. The function returned ends them.
func (f *fleet) startClients(perSecond float64, timeout time.Duration) (stop func()) {
	ended := make(chan struct{})
	var sending sync.WaitGroup
	for _, h := range f.hosts {
		c := &clients{fleet: f, host: h}
		sending.Go(func() {
			c.run(perSecond, func() *request {
				if rand.IntN(2) == 0 {
					return &request{kind: "unsafe", deadline: timeout, body: 300}
				}
				return &request{kind: "safe", deadline: timeout}
			}, ended)
		})
	}
	return func() {
		close(ended)
		sending.Wait()
		close(f.done)
	}
}
