package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// headerSlack is what may be read beyond the limit of the header block, as in net/http: the
// input buffer may hold the beginning of a body.
const headerSlack = 4 << 10

// statusError is the error of a request that is answered without the handler.
type statusError struct {
	code int
	text string // empty if the status says it all
}

// Error returns the status, the reason and the remedy.
func (e *statusError) Error() string {
	return fmt.Sprintf("request rejected with %d %s: %s; send a request that HTTP/1.1 allows", e.code, http.StatusText(e.code), e.text)
}

// readRequest reads a request whose first byte has been read. The header block is returned
// as well, valid until the next read, and the memory that was charged for the request. A block
// that is not yet in the input buffer is read within the header timeout.
func (c *conn) readRequest() (r *http.Request, head []byte, held int, err error) {
	limits := c.server.limits()
	c.remain = max(0, limits.MaxHeaderBytes+headerSlack-c.in.Buffered())
	head, _ = c.in.Peek(c.in.Buffered())
	if !isComplete(head) {
		if head = c.readHead(limits.HeaderTimeout); head == nil {
			return nil, nil, 0, errNoMemory
		}
	}
	if held = c.holdRequest(head); held == 0 && c.server.config.Requests != nil {
		return nil, nil, 0, errNoMemory
	}
	r, err = http.ReadRequest(c.in)
	if err != nil && c.remain <= 0 {
		err = &statusError{code: http.StatusRequestHeaderFieldsTooLarge}
	}
	if err == nil {
		c.remain = math.MaxInt
		c.afterPost = r.Method == http.MethodPost
		err = checkRequest(r, head)
	}
	if err != nil {
		c.releaseRequest(held)
		return nil, nil, 0, err
	}
	return r, head, held, nil
}

// isComplete reports whether a whole header block is at the beginning of b.
func isComplete(b []byte) bool {
	return bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
}

// readHead reads a header block and puts it back, for the parser. It ends early at an error,
// which the parser then finds as well. It returns nil without memory to wait for the rest.
func (c *conn) readHead(timeout time.Duration) (head []byte) {
	c.setReadUntil(time.Now().Add(timeout))
	ahead := true
	for whole := true; ; {
		line, err := c.in.ReadSlice('\n')
		if free := cap(head) - len(head); free < len(line) {
			// Doubled, since the smaller steps of append leave several times the size as garbage.
			head = slices.Grow(head, max(2*cap(head), len(line)))
		}
		head = append(head, line...)
		if err != nil && err != bufio.ErrBufferFull || err == nil && whole && isBlank(line) {
			break
		}
		whole = err == nil
		if ahead && len(head) >= c.in.Size() {
			// What exceeds the input buffer is not accounted for while requests are in
			// progress. conns accounts for headers on idle connections.
			if !c.awaitAnswers() {
				if c.isWaitRefused() {
					return nil
				}
				break
			}
			ahead = false
			c.setReadUntil(time.Now().Add(timeout))
		}
	}
	c.setReadUntil(time.Time{})
	buffered, _ := c.in.Peek(c.in.Buffered())
	rest := bytes.Clone(buffered)
	c.in.Reset(io.MultiReader(bytes.NewReader(head), bytes.NewReader(rest), source{c}))
	return head
}

func isBlank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// awaitAnswers is holdUntilAnswered without c.mu.
func (c *conn) awaitAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdUntilAnswered()
}

// isWaitRefused reports whether there was no memory to wait.
func (c *conn) isWaitRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitRefused
}

// limitReadUntil is setReadUntil, unless the read in progress ends earlier.
func (c *conn) limitReadUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until.IsZero() || t.Before(c.until) {
		c.setUntil(t)
	}
}

// setReadUntil is setUntil without c.mu.
func (c *conn) setReadUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUntil(t)
}

// checkRequest checks what net/http's server checks besides its parser.
func checkRequest(r *http.Request, head []byte) error {
	if r.ProtoMajor != 1 {
		return &statusError{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	}
	if strings.HasPrefix(r.RequestURI, "/") && r.Host != "" {
		if !isValidHost(r.Host) {
			return &statusError{http.StatusBadRequest, "malformed Host header"}
		}
	} else if err := checkHostField(r, head); err != nil {
		return err
	}
	for k := range r.Header {
		// The parser accepts names with spaces, for example before the colon, where other
		// parsers see another field.
		if strings.IndexByte(k, ' ') >= 0 {
			return &statusError{http.StatusBadRequest, "invalid header name"}
		}
	}
	if e := r.Header["Expect"]; len(e) > 0 && e[0] != "" && !hasToken(e[0], "100-continue") {
		return &statusError{code: http.StatusExpectationFailed}
	}
	return nil
}

// checkHostField checks the Host field, which the parser removes, of a request whose target
// names a host as well or that seems to have none.
func checkHostField(r *http.Request, head []byte) error {
	host, ok := field(head, "host")
	if !ok && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect {
		return &statusError{http.StatusBadRequest, "missing required Host header"}
	}
	if !isValidHost(host) || !isValidHost(r.Host) {
		return &statusError{http.StatusBadRequest, "malformed Host header"}
	}
	return nil
}

// field returns the value of the first header field with this name, in lower case.
func field(head []byte, name string) (value string, ok bool) {
	_, head, _ = bytes.Cut(head, []byte("\n")) // the request line
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			break
		}
		k, v, found := bytes.Cut(line, []byte(":"))
		if found && len(k) == len(name) && strings.EqualFold(string(k), name) {
			value = string(bytes.TrimSpace(v))
			if len(head) > 0 && (head[0] == ' ' || head[0] == '\t') {
				value += " " // the value continues on the next line, which the parser joins with a space
			}
			return value, true
		}
	}
	return "", false
}

// hostBytes are the bytes besides letters and digits that may be in a host (RFC 3986,
// section 3.2.2, and "%" for zones and encodings).
const hostBytes = "!$%&'()*+,-.:;=[]_~"

// isValidHost reports whether a host may be in a Host field, by the rule of net/http.
func isValidHost(host string) bool {
	for i := range len(host) {
		b := host[i]
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte(hostBytes, b) < 0 {
			return false
		}
	}
	return true
}

// hasToken reports whether a comma-separated list has a token, regardless of case.
func hasToken(list, token string) bool {
	for list != "" {
		var t string
		t, list, _ = strings.Cut(list, ",")
		if strings.EqualFold(strings.TrimSpace(t), token) {
			return true
		}
	}
	return false
}

// rejection returns the response to a request that was not accepted, worded as in net/http.
func rejection(err error) string {
	const fields = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	var status *statusError
	switch {
	case errors.As(err, &status):
		line := fmt.Sprintf("%d %s", status.code, http.StatusText(status.code))
		if status.code == http.StatusExpectationFailed {
			return "HTTP/1.1 " + line + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		}
		if status.text != "" {
			line += ": " + status.text
		}
		return "HTTP/1.1 " + line + fields + line
	case errors.Is(err, errNoMemory):
		return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + strconv.FormatFloat(memoryRetryAfter.Seconds(), 'f', 3, 64) +
			"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	case isUnsupportedEncoding(err):
		return "HTTP/1.1 501 Not Implemented" + fields + "Unsupported transfer encoding"
	}
	return "HTTP/1.1 400 Bad Request" + fields + "400 Bad Request"
}

// isUnsupportedEncoding reports whether the parser refused a Transfer-Encoding. Its error
// has no exported type; TestLikeNetHTTP guards the texts.
func isUnsupportedEncoding(err error) bool {
	return strings.HasPrefix(err.Error(), "unsupported transfer encoding") || strings.HasPrefix(err.Error(), "too many transfer encodings")
}
