package httpd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosethread/primrosethread/blocks"
)

const (
	// outputBytes is the size of the output buffer. Longer responses are written with
	// the buffer in one system call.
	outputBytes = 4 << 10
	// sniffBytes is how much of a body without Content-Length or Content-Type is kept until
	// the header is written, as in net/http.
	sniffBytes = 2 << 10
	// copyBytes is the size of a buffer of ReadFrom, as in io.Copy.
	copyBytes = 32 << 10
)

var (
	outputBuffers = sync.Pool{New: func() any { b := make([]byte, 0, outputBytes); return &b }}
	copyBuffers   = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}
)

// response is the response to a request. It implements http.ResponseWriter.
type response struct {
	conn       *conn
	request    *http.Request
	cancel     context.CancelFunc
	body       *body // nil if the request has none
	held       int   // bytes that the request is charged for until it has left the queue and the handler has returned
	concurrent bool  // may run beside others
	keep10     bool  // HTTP/1.0 with Connection: keep-alive
	wantsClose bool  // the client asked for the connection to be closed

	// For the goroutine of the handler, and for that which writes when done is set.
	header      http.Header
	snapshot    http.Header // header at the time of WriteHeader, if it is written later
	wroteHeader bool
	encoded     bool  // the header is in out or has been written
	status      int   // of the response
	length      int64 // Content-Length; -1 if unknown
	written     int64 // bytes of the body
	chunked     bool
	closes      bool // the connection ends after this response
	aborted     bool
	untilClose  bool   // the body ends with the connection
	early       []byte // beginning of the body, before the header
	out         []byte // encoded and not written yet
	outBuffer   *[]byte
	err         error // writing failed

	front atomic.Bool // the first one in the queue: it may write. Set with conn.mu

	// Guarded by conn.mu.
	done     bool // the handler has returned
	dropped  bool // not sent any more
	givenUp  bool // the write deadline has passed
	reserved int  // bytes charged
	turn     chan struct{}
}

// newResponse returns the response to a request with this header block, for which held bytes
// are charged.
func newResponse(c *conn, r *http.Request, head []byte, held int) *response {
	x := &response{conn: c, header: make(http.Header), length: -1, wantsClose: r.Close, held: held}
	ctx, cancel := context.WithCancel(c.ctx)
	x.cancel = cancel
	r.RemoteAddr = c.remoteAddr
	if len(r.TransferEncoding) > 0 {
		// RFC 9112, section 6.1: a request with both fields may be an attempt at request
		// smuggling, so its connection is closed.
		if _, both := field(head, "content-length"); both {
			x.wantsClose = true
		}
	}
	if !r.ProtoAtLeast(1, 1) {
		x.keep10 = hasToken(r.Header.Get("Connection"), "keep-alive")
	}
	expect := r.Header["Expect"]
	if isChunked(r) {
		r.Body, r.Trailer = blocks.NewChunkedBody(c.in), nil
	}
	if r.Body != nil && r.Body != http.NoBody {
		x.body = &body{response: x, from: r.Body, left: r.ContentLength, expected: len(expect) > 0 && hasToken(expect[0], "100-continue") && r.ProtoAtLeast(1, 1)}
		r.Body = x.body
	}
	if concurrent := c.server.config.Concurrent; concurrent != nil && x.body == nil && !x.wantsClose && r.ProtoAtLeast(1, 1) &&
		len(expect) == 0 && len(r.Header["Upgrade"]) == 0 && r.Method != http.MethodConnect {
		x.concurrent = c.mayRunBeside(concurrent, r)
	}
	x.request = r.WithContext(ctx)
	return x
}

// mayRunBeside calls Config.Concurrent. If it panics, the request runs alone; a panic outside a
// handler would end the process.
func (c *conn) mayRunBeside(concurrent func(*http.Request) bool, r *http.Request) (yes bool) {
	defer func() {
		if v := recover(); v != nil {
			c.server.count("HandlerPanics")
			c.server.config.Logger.Error("choosing requests that run concurrently failed; the request runs alone", "Client", c.remoteAddr, "Panic", v,
				"Stack", string(debug.Stack()), "Remedy", "report it with this line")
		}
	}()
	return concurrent(r)
}

// run calls the handler and completes the response.
func (x *response) run() {
	completed := false
	defer func() {
		if completed {
			return
		}
		if v := recover(); v != http.ErrAbortHandler {
			x.conn.server.count("HandlerPanics")
			x.conn.server.config.Logger.Error("handler failed; its connection is closed", "Client", x.conn.remoteAddr, "Panic", v,
				"Stack", string(debug.Stack()), "Remedy", "report it with this line")
		}
		x.abort()
	}()
	if x.request.Method == http.MethodOptions && x.request.RequestURI == "*" {
		x.header.Set("Content-Length", "0") // as net/http: about the server, not a resource
	} else {
		x.conn.server.config.Handler.ServeHTTP(x, x.request)
	}
	x.finish()
	completed = true
}

// abort ends the response and, when its turn has come, the connection.
func (x *response) abort() {
	x.aborted = true
	x.discardOutput()
	x.end()
}

// discardOutput discards what has not been written, and returns the memory if the response
// waits for its turn.
func (x *response) discardOutput() {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	x.out = nil
	c.release(x)
}

// end ends the request and completes the response.
func (x *response) end() {
	x.cancel()
	if x.body != nil && !x.body.end() {
		x.closes = true // the rest of the body is not a request
	}
	if x.closes || x.aborted {
		x.conn.endAfter(x)
	}
	if x.request.MultipartForm != nil {
		x.request.MultipartForm.RemoveAll()
	}
	x.conn.complete(x)
}

// finish completes the response after the handler has returned.
func (x *response) finish() {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if !x.encoded {
		x.encode(x.early, true)
		x.pushBody(x.early)
	}
	if x.chunked {
		x.push([]byte("0\r\n\r\n"))
	}
	if x.err != nil {
		x.abort()
		return
	}
	if x.request.Method != http.MethodHead && x.length != -1 && allowsBody(x.status) && x.length != x.written {
		x.closes = true // the client waits for the rest
	}
	x.end()
}

// signal wakes a handler that waits for its turn. The caller holds conn.mu.
func (x *response) signal() {
	if x.turn != nil {
		close(x.turn)
		x.turn = nil
	}
}

// recycle returns the output buffer after the response has been written.
func (x *response) recycle() {
	if x.outBuffer != nil {
		outputBuffers.Put(x.outBuffer)
		x.outBuffer = nil
	}
	x.out = nil
}

// Header implements http.ResponseWriter.
func (x *response) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *response) WriteHeader(code int) {
	if x.wroteHeader {
		x.conn.server.config.Logger.Warn("superfluous call of WriteHeader; call it once", "Status", code, "First", x.status)
		return
	}
	if code < 100 || code > 999 {
		panic(fmt.Sprintf("invalid status %d; use one of 100 to 999", code))
	}
	if code < 200 && code != http.StatusSwitchingProtocols {
		x.writeInformational(code)
		return
	}
	x.wroteHeader = true
	x.status = code
	if v := first(x.header, "Content-Length"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err == nil && n >= 0 {
			x.length = n
		} else {
			x.conn.server.config.Logger.Warn("invalid Content-Length of a response; it is left out", "Value", v)
			delete(x.header, "Content-Length")
		}
	}
	if x.isFramed() {
		x.encode(nil, false)
	} else {
		x.snapshot = x.header.Clone()
	}
}

// isFramed reports whether the header can be written before the body.
func (x *response) isFramed() bool {
	if !allowsBody(x.status) {
		return true
	}
	coded := first(x.header, "Transfer-Encoding") != ""
	_, typed := x.header["Content-Type"]
	return (x.length >= 0 || coded) && (typed || coded || x.length == 0 || first(x.header, "Content-Encoding") != "")
}

// writeInformational writes a response with status 1xx, after which another one follows.
func (x *response) writeInformational(code int) {
	x.writeStatusLine(code)
	x.header.WriteSubset((*output)(x), informationalExcludes)
	x.out = append(x.out, "\r\n"...)
	x.flushOut()
}

var informationalExcludes = map[string]bool{"Content-Length": true, "Transfer-Encoding": true}

// output appends to the output of a response.
type output response

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.out = append(o.out, b...)
	return len(b), nil
}

// WriteString implements io.StringWriter.
func (o *output) WriteString(s string) (int, error) {
	o.out = append(o.out, s...)
	return len(s), nil
}

func (x *response) writeStatusLine(code int) {
	if x.out == nil {
		x.outBuffer = outputBuffers.Get().(*[]byte)
		x.out = (*x.outBuffer)[:0]
	}
	version := "HTTP/1.1 "
	if !x.request.ProtoAtLeast(1, 1) {
		version = "HTTP/1.0 "
	}
	x.out = append(x.out, version...)
	x.out = strconv.AppendInt(x.out, int64(code), 10)
	x.out = append(x.out, ' ')
	if text := http.StatusText(code); text != "" {
		x.out = append(x.out, text...)
	} else {
		x.out = append(x.out, "status code "...)
		x.out = strconv.AppendInt(x.out, int64(code), 10)
	}
	x.out = append(x.out, "\r\n"...)
}

// fields are the header fields that the server adds and removes.
type fields struct {
	header  http.Header
	exclude map[string]bool
	added   []byte
	array   [160]byte // for added
}

func (f *fields) remove(k string) {
	if _, ok := f.header[k]; !ok {
		return
	}
	if f.exclude == nil {
		f.exclude = make(map[string]bool)
	}
	f.exclude[k] = true
}

func (f *fields) add(k, v string) {
	f.added = append(f.added, k...)
	f.added = append(f.added, ": "...)
	f.added = append(f.added, v...)
	f.added = append(f.added, "\r\n"...)
}

// encode appends the header to the output, by the rules of net/http. Start is the beginning
// of the body, and final is set if that is all of it.
func (x *response) encode(start []byte, final bool) {
	x.encoded = true
	h := x.header
	if x.snapshot != nil {
		h = x.snapshot
	}
	f := fields{header: h}
	f.added = f.array[:0]
	head := x.request.Method == http.MethodHead
	allowed := allowsBody(x.status)
	coding := first(h, "Transfer-Encoding")
	_, hasLength := h["Content-Length"]
	if final && coding == "" && allowed && !hasLength && (!head || len(start) > 0) {
		x.length = int64(len(start))
		f.add("Content-Length", strconv.Itoa(len(start)))
	}
	x.decideClose(&f)
	if allowed {
		_, typed := h["Content-Type"]
		if !typed && coding == "" && len(start) > 0 && first(h, "Content-Encoding") == "" {
			f.add("Content-Type", http.DetectContentType(start))
		}
	}
	if _, ok := h["Date"]; !ok {
		f.add("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	x.decideFraming(&f, coding)
	if x.closes && !hasToken(first(h, "Connection"), "close") && !isSwitch(x.status, h) {
		f.remove("Connection")
		if x.request.ProtoAtLeast(1, 1) {
			f.add("Connection", "close")
		}
	}
	x.writeStatusLine(x.status)
	h.WriteSubset((*output)(x), f.exclude)
	x.out = append(x.out, f.added...)
	x.out = append(x.out, "\r\n"...)
	if x.closes {
		x.conn.endAfter(x)
	}
}

// decideClose decides whether the connection ends after the response.
func (x *response) decideClose(f *fields) {
	framed := x.length != -1 || x.request.Method == http.MethodHead || !allowsBody(x.status)
	if !x.request.ProtoAtLeast(1, 1) && !(x.keep10 && framed) {
		x.closes = true
	}
	if x.wantsClose || hasToken(first(f.header, "Connection"), "close") || x.conn.endsWith(x) {
		x.closes = true
	}
	// What is left of the body has to be read before the response is written, since some
	// clients read no response before they have sent it.
	if x.body != nil && !x.closes && !x.body.discard() {
		x.closes = true
	}
	if _, ok := f.header["Connection"]; x.keep10 && !x.closes && !ok {
		f.add("Connection", "keep-alive")
	}
}

// decideFraming decides how the client finds the end of the body.
func (x *response) decideFraming(f *fields, coding string) {
	known := x.length != -1
	if known && coding != "" && coding != "identity" {
		f.remove("Content-Length")
		known = false
	}
	switch {
	case !allowsBody(x.status):
		f.remove("Transfer-Encoding")
		f.remove("Content-Length")
		if x.status == http.StatusNotModified {
			f.remove("Content-Type")
		}
	case x.request.Method == http.MethodHead || known:
		f.remove("Transfer-Encoding")
	case x.request.ProtoAtLeast(1, 1) && coding != "identity":
		x.chunked = true
		f.remove("Content-Length")
		f.remove("Transfer-Encoding")
		f.add("Transfer-Encoding", "chunked")
	default:
		x.closes, x.untilClose = true, true
		f.remove("Transfer-Encoding")
	}
}

// Write implements http.ResponseWriter.
func (x *response) Write(b []byte) (int, error) {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if len(b) == 0 {
		return 0, nil
	}
	if !allowsBody(x.status) {
		return 0, http.ErrBodyNotAllowed
	}
	x.written += int64(len(b))
	if x.length != -1 && x.written > x.length {
		return 0, http.ErrContentLength
	}
	if !x.encoded {
		x.early = append(x.early, b...)
		if len(x.early) <= sniffBytes {
			return len(b), nil
		}
		return len(b), x.flushEarly()
	}
	if err := x.pushBody(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// flushEarly encodes the header and the beginning of the body.
func (x *response) flushEarly() error {
	early := x.early
	x.early = nil
	x.encode(early, false)
	return x.pushBody(early)
}

// pushBody outputs a part of the body.
func (x *response) pushBody(b []byte) error {
	if len(b) == 0 || x.request.Method == http.MethodHead {
		return x.err
	}
	if !x.chunked {
		return x.push(b)
	}
	var size [20]byte
	x.push(append(strconv.AppendInt(size[:0], int64(len(b)), 16), "\r\n"...))
	x.push(b)
	return x.push([]byte("\r\n"))
}

// push outputs bytes. Those of the first response in the queue are buffered and written,
// others are kept until their turn has come. If they are too many, push waits for it.
func (x *response) push(b []byte) error {
	switch {
	case x.err != nil:
	case !x.front.Load():
		x.err = x.keep(b)
	case len(x.out)+len(b) <= max(outputBytes, cap(x.out)):
		x.out = append(x.out, b...)
	default:
		x.err = x.writeOut(b)
	}
	return x.err
}

// keep appends to the output if memory allows it, and waits for the turn of the response
// otherwise.
func (x *response) keep(b []byte) error {
	c := x.conn
	c.mu.Lock()
	for !x.front.Load() {
		size := len(x.out) + len(b)
		if x.dropped {
			c.mu.Unlock()
			return net.ErrClosed
		}
		if x.givenUp {
			c.mu.Unlock()
			return os.ErrDeadlineExceeded
		}
		if size <= cap(x.out) {
			break
		}
		// The first outputBytes are part of requestBytes.
		if n := max(size, 2*cap(x.out)) - max(outputBytes, cap(x.out)); n <= 0 || c.reserve(x, n) {
			out := make([]byte, len(x.out), max(size, 2*cap(x.out)))
			copy(out, x.out)
			x.out = out
			break
		}
		if x.turn == nil {
			x.turn = make(chan struct{})
		}
		turn := x.turn
		c.mu.Unlock()
		<-turn
		c.mu.Lock()
	}
	c.mu.Unlock()
	if !x.front.Load() {
		x.out = append(x.out, b...)
		return nil
	}
	return x.push(b)
}

// writeOut writes the output and b to the connection.
func (x *response) writeOut(b []byte) error {
	c := x.conn
	c.vector = c.vector[:0]
	if len(x.out) > 0 {
		c.vector = append(c.vector, x.out)
	}
	if len(b) > 0 {
		c.vector = append(c.vector, b)
	}
	err := c.write(x)
	x.out = x.out[:0]
	if err != nil {
		c.abandon()
	}
	return err
}

// Flush implements http.Flusher.
func (x *response) Flush() { x.FlushError() }

// FlushError writes what has been output, if it is the turn of the response. It is used by
// http.ResponseController.
func (x *response) FlushError() error {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if !x.encoded {
		x.flushEarly()
	}
	return x.flushOut()
}

// flushOut writes the output, if it is the turn of the response.
func (x *response) flushOut() error {
	if x.front.Load() && x.err == nil {
		x.err = x.writeOut(nil)
	}
	return x.err
}

// ReadFrom implements io.ReaderFrom. What has been read is written at once.
func (x *response) ReadFrom(from io.Reader) (n int64, err error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		got, readErr := from.Read(*buffer)
		if got > 0 {
			written, err := x.Write((*buffer)[:got])
			n += int64(written)
			if err == nil {
				err = x.FlushError()
			}
			if err != nil {
				return n, err
			}
		}
		if readErr == io.EOF {
			return n, nil
		}
		if readErr != nil {
			return n, readErr
		}
	}
}

// SetReadDeadline sets the deadline for reading the body of the request. It is used by
// http.ResponseController.
func (x *response) SetReadDeadline(t time.Time) error {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return nil // there is no body, or it has been read
	}
	c.until, c.armed = t, t
	return c.net.SetReadDeadline(t)
}

// SetWriteDeadline gives the response up if the deadline is in the past, also if it waits for
// its turn: writes fail until another deadline is set. Other deadlines have no effect, since
// the server sets them. It does not block. It is used by http.ResponseController.
func (x *response) SetWriteDeadline(t time.Time) error {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	x.givenUp = !t.IsZero() && !t.After(time.Now())
	switch {
	case x.done || x.dropped || c.closed:
	case x.givenUp && x.front.Load():
		c.setWriteUntil(past)
	case x.givenUp:
		x.signal()
	case x.front.Load():
		c.writeUntil = time.Time{} // the next write sets it
	}
	return nil
}

// allowsBody reports whether a response with this status has a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// isSwitch reports whether a response switches protocols.
func isSwitch(status int, h http.Header) bool {
	return status == http.StatusSwitchingProtocols && hasToken(first(h, "Connection"), "upgrade")
}

// first returns the first value of a field with a canonical name.
func first(h http.Header, k string) string {
	if v := h[k]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// body is the body of a request.
type body struct {
	response *response
	from     io.ReadCloser
	expected bool // the client waits for 100 Continue

	mu      sync.Mutex
	got     int   // bytes that were read
	widened int   // bytes charged for the receive buffer
	left    int64 // bytes; -1 if unknown
	ended   bool  // read to the end
	closed  bool  // reading it has no effect any more
}

// Read implements io.Reader. After the end of the body, the connection reads on.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.read(p)
}

// read is Read with b.mu held.
func (b *body) read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.expected && !b.response.wroteHeader {
		b.expected = false
		x := b.response
		x.push([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		x.flushOut()
	}
	n, err := b.from.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if b.got < longBody && b.got+n >= longBody {
		b.widen()
	}
	b.got += n
	if err != nil {
		b.narrow()
	}
	if err == io.EOF {
		b.ended = true
		b.response.conn.resumeReading()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.discard()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// discard reads and discards the rest of the body, if it is not long and the client does not
// wait for 100 Continue. It returns false if something is left.
func (b *body) discard() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return true
	}
	if b.closed || b.expected || b.left >= maxDiscardedBytes {
		return false
	}
	c := b.response.conn
	c.limitReadUntil(time.Now().Add(c.server.limits().HeaderTimeout))
	var buffer [1 << 10]byte
	for n := 0; n <= maxDiscardedBytes; {
		got, err := b.read(buffer[:])
		if err != nil {
			return b.ended
		}
		n += got
	}
	return false
}

// end makes further reads fail. It returns false if something is left of the body.
func (b *body) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.narrow()
	return b.ended
}

var (
	_ http.Flusher  = (*response)(nil)
	_ io.ReaderFrom = (*response)(nil)
)
