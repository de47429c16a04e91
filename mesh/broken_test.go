package mesh

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosethread/primrosethread/fakes"
)

// rawServer is a server that answers the path /broken with a text and all others as its
// App does.
type rawServer struct {
	app    *fakes.App
	text   string
	closed chan error // receives a value when the node closes a connection that got the text
}

// ServeHTTP implements http.Handler.
func (s *rawServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/broken") {
		s.app.ServeHTTP(w, r)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, strings.ReplaceAll(s.text, "ID", "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")))
	_, err = io.Copy(io.Discard, conn)
	s.closed <- err
}

// Guards against an answer with an invalid status that is skipped like an informational
// one: the caller would get the next answer on the connection, or none until its deadline,
// and the connection would stay in use. The request may have run, so the status must not
// promise otherwise, and a request that is not idempotent must not run again.
func TestBrokenAnswer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.publishSafeAndUnsafe()
	const next = "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 4\r\n\r\nnext"
	for n, c := range []struct{ name, text string }{
		{"000", "HTTP/1.1 000 \r\nID\r\nContent-Length: 0\r\n\r\n"},
		{"000 with a body", "HTTP/1.1 000 x\r\nID\r\nContent-Length: 4\r\n\r\nbody"},
		{"000 before another answer", "HTTP/1.1 000 x\r\nID\r\nContent-Length: 0\r\n\r\n" + next},
		{"099", "HTTP/1.1 099 x\r\nID\r\n\r\n"},
		{"099 before another answer", "HTTP/1.1 099 x\r\nID\r\n\r\n" + next},
		{"101", "HTTP/1.1 101 Switching Protocols\r\nID\r\n\r\n"},
		{"101 before another answer", "HTTP/1.1 101 x\r\nID\r\n\r\n" + next},
		{"600", "HTTP/1.1 600 x\r\nID\r\nContent-Length: 0\r\n\r\n"},
		{"999 before another answer", "HTTP/1.1 999 x\r\nID\r\nContent-Length: 0\r\n\r\n" + next},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := &rawServer{app: d.apps[0], text: c.text, closed: make(chan error, 4)}
			d.servers[0].Close()
			d.servers[0] = d.serve(address(1, portServer), raw)
			d.publishEntry(1, "draining") // so that the request reaches the first server
			d.waitFor(func() bool { return d.nodes[1].Status().Load.Leaving })
			d.waitFor(func() bool { return d.ask(0, "/r/x", "warm").status == 200 })

			broken := d.nodes[0].recorder.Snapshot().Counters["BrokenAnswers"]
			got := d.ask(0, "/r/broken", fmt.Sprint("r-", n)) // on a used connection to the server
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.body, "")
			select {
			case <-raw.closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open")
			}
			is.Equal(d.nodes[0].recorder.Snapshot().Counters["BrokenAnswers"], broken+1)

			d.publishEntry(1, "ready")
			d.waitFor(func() bool { return !d.nodes[1].Status().Load.Leaving })
			d.waitFor(func() bool {
				return len(d.nodes[0].roster.Placement().InService("orders")) == 2 && !d.nodes[0].relay.Last("127.0.4.2").Leaving
			})
			d.waitFor(func() bool { return d.ask(0, "/s/x", "warm").status == 200 })
			is.Equal(d.ask(0, "/s/broken", fmt.Sprint("s-", n)).status, http.StatusOK) // answered by the other server
			is.Equal(d.ranAt(fmt.Sprint("s-", n)), 1)
		})
	}
	is.Equal(d.ranAt("r-0"), -1) // the second server did not get it
}
