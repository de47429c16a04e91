// Package server is the HTTP client for the server process on this host.
//
// It writes requests and reads responses on the caller's goroutine and keeps its own
// connection pool. The transport of net/http would add two goroutine hand-offs to every
// request and would retry a request on its own if an idle connection turned out to be
// closed. Retries are left to the packages retry and relay.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/blocks"
)

// Headers between a node and its server.
const (
	// HeaderTimeout is the time until the request's deadline, in milliseconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderShed is "true" in a 503 response if the server did not run the request.
	HeaderShed = "Primrosethread-Shed"
	// HeaderCustomer is the customer on whose behalf the request is made.
	HeaderCustomer = "Primrosethread-Customer"
	// HeaderSequence numbers the requests of a connection. A server that returns it in its
	// response lets the client tell a late copy of an earlier response.
	HeaderSequence = "Primrosethread-Sequence"
)

const (
	// DefaultDialTimeout is the default timeout for opening a connection, which takes
	// about 1 ms if the server is healthy.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is the default time after which an unused connection is closed.
	DefaultIdleTimeout = 30 * time.Second
	bufferSize         = 8 << 10 // bytes, per connection and direction
)

// Config configures a Client.
type Config struct {
	Host    prim.HostName
	Address netip.AddrPort
	// Connections is the maximum number of open connections; 0 means 1.
	Connections int
	DialTimeout time.Duration // 0 means DefaultDialTimeout
	IdleTimeout time.Duration // 0 means DefaultIdleTimeout
	// OmitNodeHeaders omits HeaderTimeout, HeaderCustomer and HeaderSequence from requests
	// and returns a response with HeaderShed as an answer instead of a refusal.
	OmitNodeHeaders bool
	// OnBrokenAnswer is called with every answer that is not valid HTTP or has an invalid
	// status; it may be nil. The request that it ends has the outcome Unknown.
	OnBrokenAnswer func(*prim.BrokenAnswerError)
	// Match compares a response with the given headers with the request; nil compares
	// HeaderSequence if the server returns it.
	Match func(r *prim.Request, answer http.Header) Match
	// Buffers reports whether the body of an answer, of which only the status and the header are
	// known, is read before Do returns; nil means all. Otherwise Do returns an answer with a Rest
	// at once.
	Buffers func(*prim.Request, *prim.Answer) bool
	// Memory accounts for buffered responses, and HeaderMemory for their headers; nil means no
	// bound. Without memory a body is passed on while it is read, and an answer whose header
	// is longer than usual is lost.
	Memory, HeaderMemory prim.MemoryBudget
}

// Match tells whether a response is for a request. A server may send a late second
// response to an earlier request on the same connection.
type Match uint8

const (
	// Matching responses are for the request.
	Matching Match = iota
	// Different responses are for another request. They are skipped.
	Different
	// Unidentified responses don't tell. They are used only on a connection that had no
	// earlier request; otherwise the request ends as *prim.LostAnswerError.
	Unidentified
)

// Client implements prim.Server.
type Client struct {
	config  Config
	address string // also the Host header of requests without an Authority

	mu        sync.Mutex
	idleConns []*connection // the most recently used is last
	openConns int
}

// New returns a client. It opens no connections until the first request.
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
	return &Client{config: c, address: c.Address.String()}
}

// SetConnections sets the maximum number of open connections, at least 1. It closes idle ones
// beyond it; those in use are closed when their requests have ended.
func (c *Client) SetConnections(n int) {
	c.mu.Lock()
	c.config.Connections = max(n, 1)
	surplus := min(max(0, c.openConns-c.config.Connections), len(c.idleConns))
	closed := slices.Clone(c.idleConns[:surplus])
	c.idleConns = slices.Delete(c.idleConns, 0, surplus)
	c.mu.Unlock()
	for _, conn := range closed {
		c.discardConn(conn)
	}
}

// Status is the state of the connection pool.
type Status struct {
	Open        int
	Idle        int
	Connections int // maximum number of open connections
}

// Status returns the current state of the pool.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{Open: c.openConns, Idle: len(c.idleConns), Connections: c.config.Connections}
}

// Close closes the idle connections. Those in use are not affected.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.idleConns
	c.idleConns = nil
	c.openConns -= len(conns)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.net.Close()
	}
}

// Do sends the request to the server and returns its answer. The error is *prim.RefusalError
// if nothing was sent or the server shed the request, and *prim.LostAnswerError if the request may
// have run.
func (c *Client) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if !time.Now().Before(r.Deadline) || ctx.Err() != nil {
		return nil, c.refusal(prim.ReasonExpired)
	}
	conn, err := c.acquireConn(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	settled := false // the connection is in the pool or belongs to the answer
	defer func() {
		if !settled {
			c.discardConn(conn) // also after a panic
		}
	}()
	answer, reusable, err := c.exchange(ctx, conn, r)
	if err != nil {
		return nil, err
	}
	answer.ServiceTime = time.Since(start)
	shed := !c.config.OmitNodeHeaders && answer.Status == http.StatusServiceUnavailable &&
		answer.Header.Get(HeaderShed) == "true" && answer.Rest == nil
	if answer.Rest == nil {
		// A second copy of a refusal would say of the next request that it did not run.
		c.releaseConn(conn, reusable && (!shed || conn.returnsSequence))
	}
	settled = true
	if shed {
		answer.Drop()
		return nil, c.refusal(prim.ReasonShed)
	}
	return answer, nil
}

// exchange writes the request and reads the response with up to MaxBufferedBody bytes of its
// body. It also reports whether the connection can be reused.
func (c *Client) exchange(ctx context.Context, conn *connection, r *prim.Request) (*prim.Answer, bool, error) {
	conn.requests++
	conn.net.SetDeadline(r.Deadline)
	stopCancel := context.AfterFunc(ctx, func() { conn.net.SetDeadline(time.Unix(1, 0)) })
	if err := c.writeRequest(conn.writer, r, conn); err != nil {
		stopCancel()
		return nil, false, c.lostError(ctx, err)
	}
	resp, body, complete, err := c.receiveAnswer(conn, r, &http.Request{Method: r.Method})
	if err != nil {
		stopCancel()
		var broken *prim.BrokenAnswerError
		if errors.As(err, &broken) && c.config.OnBrokenAnswer != nil {
			c.config.OnBrokenAnswer(broken)
		}
		return nil, false, c.lostError(ctx, err)
	}
	defer removeHopByHopHeaders(resp.Header)
	if !c.config.OmitNodeHeaders {
		resp.Header.Del(HeaderSequence)
	}
	answer := &prim.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body.bytes}
	body.handOver(answer)
	if timeout := keepAliveTimeout(resp.Header); timeout > 0 {
		conn.idleTimeout = timeout / 2
	}
	reusable := !resp.Close
	if complete {
		// If stopCancel returns false, the cancellation has already set a deadline in
		// the past on the connection.
		reusable = stopCancel() && reusable
		return answer, reusable, nil
	}
	answer.Rest = &restReader{client: c, conn: conn, resp: resp, stopCancel: stopCancel, reusable: reusable}
	return answer, reusable, nil
}

// receiveAnswer reads responses until one is for the request, at most maxResponses. It
// reports whether the returned body is complete.
func (c *Client) receiveAnswer(conn *connection, r *prim.Request, req *http.Request) (*http.Response, answerBody, bool, error) {
	const maxResponses = 3
	for range maxResponses {
		resp, err := readResponse(conn, req)
		if err != nil {
			return nil, answerBody{}, false, err
		}
		body, match, complete, err := c.receiveBody(conn, r, resp)
		if err != nil {
			return nil, answerBody{}, false, err
		}
		if match != Different {
			return resp, body, complete, nil
		}
		body.release()
		if !complete || resp.Close {
			return nil, answerBody{}, false, errOtherRequest
		}
	}
	return nil, answerBody{}, false, errOtherRequest
}

// receiveBody tells whether a response is for the request and reads the part of its body that is
// buffered. It reports whether that is the whole body.
func (c *Client) receiveBody(conn *connection, r *prim.Request, resp *http.Response) (body answerBody, match Match, complete bool, err error) {
	body = answerBody{memory: c.config.Memory, header: heldHeader{c.config.HeaderMemory, conn.input.meter.Take()}}
	received := false
	defer func() {
		if !received {
			body.release() // also after a panic
		}
	}()
	match = c.match(conn, r, resp.Header)
	if match == Unidentified && conn.requests > 1 {
		return body, match, false, errUnidentified
	}
	if match == Different || c.config.Buffers == nil || c.config.Buffers(r, &prim.Answer{Status: resp.StatusCode, Header: resp.Header}) {
		if complete, err = body.collect(resp); err != nil {
			return body, match, false, err
		}
	}
	received = true
	return body, match, complete, nil
}

var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnidentified = errors.New("the answer does not tell which request it belongs to")
)

// match compares a response with the request that was sent last on the connection.
func (c *Client) match(conn *connection, r *prim.Request, answer http.Header) Match {
	if c.config.Match != nil {
		return c.config.Match(r, answer)
	}
	if c.config.OmitNodeHeaders {
		return Matching
	}
	switch answer.Get(HeaderSequence) {
	case conn.sequence():
		conn.returnsSequence = true
		return Matching
	case "":
		if conn.returnsSequence {
			return Unidentified
		}
		return Matching
	}
	return Different
}

// keepAliveTimeout returns the server's idle timeout from the Keep-Alive header, or 0 if
// there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout="); ok {
			seconds, err := strconv.Atoi(v)
			if err != nil || seconds < 0 {
				return 0
			}
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// readResponse reads a response header. It skips informational responses, such as 100
// Continue. All of them together may have prim.MaxHeaderBytes. What the header costs is charged
// to the meter of the connection. The error is a *prim.BrokenAnswerError if the server sent
// something invalid, such as a status outside of 100 to 599, or 101 Switching Protocols, which
// no request asks for: what follows it on the connection may belong to this request or to
// another one.
func readResponse(conn *connection, req *http.Request) (resp *http.Response, err error) {
	const maxInformational = 5
	conn.input.limit(prim.MaxHeaderBytes)
	defer func() {
		conn.input.unlimit()
		if err != nil {
			conn.input.meter.Reset()
		}
	}()
	for range maxInformational {
		resp, err := readHeader(conn, req)
		if err != nil {
			return nil, err
		}
		if s := resp.StatusCode; s >= 100 && s < 200 && s != http.StatusSwitchingProtocols {
			continue
		}
		if err := prim.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		return resp, nil
	}
	return nil, &prim.BrokenAnswerError{Cause: fmt.Errorf("more than %d informational answers", maxInformational)}
}

// readHeader reads the header of the next response. Its trailers will be discarded.
func readHeader(conn *connection, req *http.Request) (*http.Response, error) {
	conn.input.meter.Reset()
	received, err := conn.reader.Peek(conn.reader.Buffered())
	if err == nil {
		err = conn.input.meter.Add(received)
	}
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		return nil, classifyReadError(err)
	}
	if resp.Body != http.NoBody && len(resp.TransferEncoding) > 0 {
		resp.Body, resp.Trailer = blocks.NewChunkedBody(conn.reader), nil
	}
	return resp, nil
}

// classifyReadError returns a *prim.BrokenAnswerError for the error of a malformed response
// header, and err itself if the connection failed or ended, or no memory was left.
func classifyReadError(err error) error {
	var netErr net.Error // also implemented by syscall.Errno
	if errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, blocks.ErrNoMemory) {
		return err
	}
	return &prim.BrokenAnswerError{Cause: err}
}

// hopByHopHeaders lists the headers that apply to a single connection and are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// removeHopByHopHeaders removes the hop-by-hop headers and those that the Connection
// header names.
func removeHopByHopHeaders(h http.Header) {
	for _, f := range h["Connection"] {
		h.Del(f)
	}
	for _, f := range hopByHopHeaders {
		delete(h, f)
	}
}

func (c *Client) refusal(reason prim.Reason) error {
	return &prim.RefusalError{Reason: reason, Host: c.config.Host}
}

// lostError returns the error of a request that may have been sent in part or in full.
// Reset is set unless the request was cancelled or timed out, since a broken connection
// is the sign of a restarted server.
func (c *Client) lostError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &prim.LostAnswerError{Host: c.config.Host, Cause: ctx.Err()}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return &prim.LostAnswerError{Host: c.config.Host, Cause: context.DeadlineExceeded}
	}
	return &prim.LostAnswerError{Host: c.config.Host, Cause: err, Reset: true}
}
