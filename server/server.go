// Package server is the HTTP client to the server process on this host.
//
// It writes requests and reads answers on the goroutine of the caller, over
// its own pool of connections. The transport of net/http would add two
// goroutine hand-offs to every request and would repeat a request on its own
// when an idle connection turns out to be closed; what may be repeated is for
// package retry to decide.
package server

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Headers between a node and its server.
const (
	// HeaderTimeout tells the server the time left, in milliseconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderShed marks a 503 answer of a server that did not run the request.
	HeaderShed = "Primrosethread-Shed"
	// HeaderCustomer tells the server who the request is for.
	HeaderCustomer = "Primrosethread-Customer"
)

const (
	// DefaultDialTimeout bounds the opening of a connection, which takes
	// about a millisecond when the server is well.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 30 * time.Second
	bufferSize         = 8 << 10
)

// Config configures a Client.
type Config struct {
	Host    prim.HostName
	Address netip.AddrPort
	// Connections bounds the open connections to the server.
	Connections int
	DialTimeout time.Duration // 0 means DefaultDialTimeout
	IdleTimeout time.Duration // 0 means DefaultIdleTimeout
	// Plain sends the headers of a request as they are, under the request's
	// Authority, and leaves the reading of refusals to the caller.
	Plain bool
	// Belongs reports whether an answer belongs to a request; nil means that
	// every answer does. One that does not is skipped: servers may send a late
	// second answer where the next one is due.
	Belongs func(r *prim.Request, answer http.Header) bool
}

// Client implements prim.Server.
type Client struct {
	c    Config
	name string // the address, for the Host header

	mu   sync.Mutex
	idle []*connection // the most recently used is last
	open int
}

// New returns a client that has no connections yet.
func New(c Config) *Client {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.Connections == 0 {
		c.Connections = 1
	}
	return &Client{c: c, name: c.Address.String()}
}

// SetConnections changes the bound on open connections.
func (c *Client) SetConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.c.Connections = max(n, 1)
}

// Status is the state of the connection pool.
type Status struct {
	Open        int
	Idle        int
	Connections int // the bound
}

// Status returns the current state of the pool.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{Open: c.open, Idle: len(c.idle), Connections: c.c.Connections}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.open -= len(idle)
	c.mu.Unlock()
	for _, k := range idle {
		k.net.Close()
	}
}

// Do runs the request at the server. It returns *prim.Refusal if nothing was
// sent or the server shed the request, and *prim.Lost if the request may have
// run.
func (c *Client) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if !time.Now().Before(r.Deadline) || ctx.Err() != nil {
		return nil, c.refuse(prim.ReasonExpired)
	}
	k, err := c.get(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	answer, keep, err := c.exchange(ctx, k, r)
	if err != nil {
		c.drop(k)
		return nil, err
	}
	answer.Served = time.Since(start)
	if answer.Rest == nil {
		c.put(k, keep)
	}
	if !c.c.Plain && answer.Status == http.StatusServiceUnavailable && answer.Header.Get(HeaderShed) == "true" && answer.Rest == nil {
		return nil, c.refuse(prim.ReasonShed)
	}
	return answer, nil
}

// exchange writes the request and reads the answer up to MaxCollected bytes.
func (c *Client) exchange(ctx context.Context, k *connection, r *prim.Request) (*prim.Answer, bool, error) {
	k.net.SetDeadline(r.Deadline)
	stop := context.AfterFunc(ctx, func() { k.net.SetDeadline(time.Unix(1, 0)) })
	req := c.request(r)
	if err := req.Write(k.w); err != nil {
		stop()
		return nil, false, c.lost(ctx, err)
	}
	if err := k.w.Flush(); err != nil {
		stop()
		return nil, false, c.lost(ctx, err)
	}
	resp, body, whole, err := c.receive(k, r, req)
	if err != nil {
		stop()
		return nil, false, c.lost(ctx, err)
	}
	defer strip(resp.Header)
	answer := &prim.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if kept := keepAlive(resp.Header); kept > 0 {
		k.idle = kept / 2
	}
	keep := !resp.Close
	if whole {
		// A stop that comes too late has set a deadline in the past.
		keep = stop() && keep
		return answer, keep, nil
	}
	answer.Rest = &rest{c: c, k: k, resp: resp, stop: stop, keep: keep}
	return answer, keep, nil
}

// receive reads the answer that belongs to the request.
func (c *Client) receive(k *connection, r *prim.Request, req *http.Request) (*http.Response, []byte, bool, error) {
	const most = 3
	for range most {
		resp, err := readResponse(k.r, req)
		if err != nil {
			return nil, nil, false, err
		}
		body, whole, err := collect(resp)
		if err != nil {
			return nil, nil, false, err
		}
		if c.c.Belongs == nil || c.c.Belongs(r, resp.Header) {
			return resp, body, whole, nil
		}
		if !whole || resp.Close {
			return nil, nil, false, errForeign
		}
	}
	return nil, nil, false, errForeign
}

var errForeign = errors.New("the answer belongs to another request")

// keepAlive returns how long the server keeps an idle connection, 0 if it does
// not tell.
func keepAlive(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			n, err := strconv.Atoi(v)
			if err != nil || n < 0 {
				return 0
			}
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// readResponse skips informational answers, such as 100 Continue.
func readResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	const most = 5
	for range most {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("more than %d informational answers", most)
}

// collect reads the body up to MaxCollected bytes and reports whether that was
// all of it.
func collect(resp *http.Response) ([]byte, bool, error) {
	if resp.Body == http.NoBody {
		return nil, true, nil // HEAD, 204 and 304 may name a length and have no body
	}
	if n := resp.ContentLength; n >= 0 && n <= prim.MaxCollected {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		if err != nil {
			return nil, false, err
		}
		return body, true, resp.Body.Close()
	}
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(resp.Body, prim.MaxCollected))
	if err != nil {
		return nil, false, err
	}
	return b.Bytes(), n < prim.MaxCollected, nil
}

// request builds the HTTP request.
func (c *Client) request(r *prim.Request) *http.Request {
	header := make(http.Header, len(r.Header)+2)
	for k, v := range r.Header {
		header[k] = v
	}
	strip(header)
	if !c.c.Plain {
		header[HeaderTimeout] = []string{strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10)}
		header[HeaderCustomer] = []string{string(r.Customer)}
	}
	req := &http.Request{
		Method:     r.Method,
		URL:        requestURL(r.Path),
		Host:       cmp.Or(r.Authority, c.name),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req
}

// requestURL keeps the path as the caller wrote it.
func requestURL(path string) *url.URL {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return &url.URL{Path: path}
	}
	return u
}

// hopByHop lists the headers that belong to one connection (RFC 9110, section
// 7.6.1).
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// strip removes the headers that belong to one connection.
func strip(h http.Header) {
	for _, f := range h["Connection"] {
		h.Del(f)
	}
	for _, f := range hopByHop {
		delete(h, f)
	}
}

func (c *Client) refuse(reason prim.Reason) error {
	return &prim.Refusal{Reason: reason, Host: c.c.Host}
}

// lost returns the error of a request of which something may have been sent.
// A broken connection is how a restarted server shows itself.
func (c *Client) lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &prim.Lost{Host: c.c.Host, Cause: ctx.Err()}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &prim.Lost{Host: c.c.Host, Cause: context.DeadlineExceeded}
	}
	return &prim.Lost{Host: c.c.Host, Cause: err, Reset: true}
}
