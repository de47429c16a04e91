package server

import (
	"bufio"
	"cmp"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// ownFields are the header fields that writeRequest writes itself.
var ownFields = map[string]bool{"Host": true, "Content-Length": true}

var errInvalidRequest = errors.New("the method or the authority of the request has a space or a control byte")

// writeRequest writes a request without hop-by-hop headers. The target is written as the caller
// sent it. http.Request.Write takes it apart and writes it anew: if it has a byte such as "|" that
// RFC 3986 wants encoded, that byte is encoded, and an encoded slash becomes a separator.
func (c *Client) writeRequest(w *bufio.Writer, r *prim.Request, conn *connection) error {
	method, authority := cmp.Or(r.Method, http.MethodGet), cmp.Or(r.Authority, c.address)
	if !isVisible(method) || !isVisible(authority) {
		return errInvalidRequest
	}
	// An error of w is returned by Flush.
	for _, text := range [...]string{method, " ", target(r.Path), " HTTP/1.1\r\nHost: ", authority, "\r\n"} {
		w.WriteString(text)
	}
	if len(r.Body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := c.header(r, conn).WriteSubset(w, ownFields); err != nil {
		return err
	}
	w.WriteString("\r\n")
	w.Write(r.Body)
	return w.Flush()
}

// header returns the header fields to send.
func (c *Client) header(r *prim.Request, conn *connection) http.Header {
	header := make(http.Header, len(r.Header)+3)
	for k, v := range r.Header {
		header[k] = v
	}
	removeHopByHopHeaders(header)
	if !c.config.OmitNodeHeaders {
		header[HeaderTimeout] = []string{strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10)}
		header[HeaderCustomer] = []string{string(r.Customer)}
		header[HeaderSequence] = []string{conn.sequence()}
	}
	return header
}

// target returns the target of a request. One that could not have been sent to this node, such as
// a configured path with a space, is encoded.
func target(path string) string {
	if path = prim.OriginForm(path); !isVisible(path) {
		return (&url.URL{Path: path}).RequestURI()
	}
	return path
}

// isVisible reports whether a text can be a part of a request line or a Host field: it is not
// empty and has no space or control byte.
func isVisible(text string) bool {
	return text != "" && strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}
