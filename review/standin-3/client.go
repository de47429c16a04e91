package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// client sends requests to the node of its machine on kept connections, as the users' clients do.
type client struct {
	address string // outbound address of the node
	record  *record

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in        *bufio.Reader
	idleSince time.Time
}

// reuseWithin is four fifths of idle_timeout_ms, for which clients use idle connections.
const reuseWithin = 12 * time.Second

// result is the outcome of one attempt. Err is set if there was no complete answer.
type result struct {
	id      string
	request request
	status  int
	seal    string
	header  http.Header
	body    []byte
	err     error
}

// request is what a client sends.
type request struct {
	method, host, target string
	deadline             time.Duration
	body                 string
	retries              int // further attempts after an answer that promises that the request has not run
}

func newClient(address string, rec *record) *client { return &client{address: address, record: rec} }

// acquire returns an idle connection or a new one.
func (c *client) acquire() (*clientConn, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n-- {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(conn.idleSince) < reuseWithin {
			c.mu.Unlock()
			return conn, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// do makes one attempt and records it.
func (c *client) do(q request) result {
	res := result{id: randomHex(8), request: q}
	conn, err := c.acquire()
	if err != nil {
		res.err = err
		c.record.event("answered %s: no connection: %v", res.id, err)
		return res
	}
	conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.target, q.host, res.id, q.deadline.Milliseconds())
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	c.record.event("sent     %s to %s: %s %s, body %d", res.id, c.address, q.method, q.target, len(q.body))
	_, err = io.WriteString(conn, head+"\r\n"+q.body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(conn.in, &http.Request{Method: q.method})
	}
	if err == nil {
		res.status, res.seal, res.header = resp.StatusCode, resp.Header.Get("X-Response-Seal"), resp.Header
		res.body, err = io.ReadAll(resp.Body)
	}
	res.err = err
	if err != nil || resp.Close {
		conn.Close()
	} else {
		conn.idleSince = time.Now()
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	if err != nil {
		c.record.event("answered %s: no whole answer: %v", res.id, err)
	} else {
		c.record.event("answered %s: %d, seal %q, body %d", res.id, res.status, res.seal, len(res.body))
	}
	return res
}

// closeIdle closes the connections that are not in use.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// load sends requests at a constant rate for a time and waits for their results. Each request is
// made by next.
func load(perSecond float64, length time.Duration, next func(i int) (*client, request)) []result {
	var (
		mu      sync.Mutex
		wait    sync.WaitGroup
		results []result
	)
	began := time.Now()
	for i := 0; ; i++ {
		at := began.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if at.Sub(began) >= length {
			break
		}
		time.Sleep(time.Until(at))
		c, q := next(i)
		wait.Go(func() {
			for retries := q.retries; ; retries-- {
				res := c.do(q)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
				if !res.promisesNotRun() || retries <= 0 {
					return
				}
			}
		})
	}
	wait.Wait()
	return results
}

// promisesNotRun reports whether the answer means that the request has not run and never will.
func (r *result) promisesNotRun() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return r.err == nil
	}
	return false
}

// served returns how many results are sealed successes.
func served(results []result) (n int) {
	for _, r := range results {
		if r.err == nil && r.status == http.StatusOK && r.seal == sealOf(r.id) {
			n++
		}
	}
	return n
}

// statuses returns the number of results by status; 0 stands for no whole answer.
func statuses(results []result) map[int]int {
	counts := make(map[int]int)
	for _, r := range results {
		status := r.status
		if r.err != nil {
			status = 0
		}
		counts[status]++
	}
	return counts
}
