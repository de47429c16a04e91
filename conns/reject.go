package conns

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
)

// net/http responds to some requests without calling the handler: to those that it
// can't parse, whose headers are too long, or whose Expect header it doesn't know. It
// doesn't log these responses, so the listener reports them.

type connKey struct{}

// Context is an http.Server.ConnContext function.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that calls next and records that the request was handled.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.dropped.Load() {
		return 0, net.ErrClosed
	}
	if c.listener.onReject != nil && !c.handled.Load() && bytes.HasPrefix(b, []byte("HTTP/1.")) {
		c.listener.onReject(c.RemoteAddr(), rejectionText(string(b)))
	}
	return c.writeWithProgress(b)
}

// rejectionText returns the status and the body of a response.
func rejectionText(response string) string {
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	line, _, _ := strings.Cut(head, "\r\n")
	if body != "" {
		return body
	}
	_, status, _ := strings.Cut(line, " ")
	return status
}
