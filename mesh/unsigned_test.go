package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/owner"
)

// firstAnswers replaces the answers of servers to the first arrival of each request whose path
// ends with the index of a text. Later arrivals are answered by the servers.
type firstAnswers struct {
	texts []string

	mu       sync.Mutex
	arrivals map[string]int // by attempt ID
}

// stopsShort at the end of a text stands for a connection that stays open.
const stopsShort = "<stop>"

// of returns a handler for the server that h stands for.
func (f *firstAnswers) of(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		n, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		f.mu.Lock()
		f.arrivals[id]++
		first := f.arrivals[id] == 1
		f.mu.Unlock()
		if err != nil || !first {
			h.ServeHTTP(w, r)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		text, stops := strings.CutSuffix(f.texts[n], stopsShort)
		io.WriteString(conn, strings.ReplaceAll(text, "ID\r\n", "X-Attempt-Id: "+id+"\r\nX-Server-Load: 1,0,8,100\r\n"))
		if stops {
			io.Copy(io.Discard, conn) // until the node closes the connection
		}
	})
}

func (f *firstAnswers) arrivalsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrivals[id]
}

// Guards against an answer without the server's signature that reaches a client: a success would
// be taken for the server's, and 429 or 503 for the promise that the request has not run, after
// which the client repeats it. Also guards against waiting until the deadline, which ends with
// 504, for the rest of such an answer. Such a request runs once if it is unsafe, and a second server
// answers it if it is safe. Signed answers, and refusals, must not be affected.
func TestUnsignedAnswers(t *testing.T) {
	const (
		signed   = "X-Response-Seal: seal\r\n"
		twoMB    = 2 << 20
		refusing = "X-Not-Executed: 1\r\n"
	)
	long := strings.Repeat("x", twoMB)
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nID\r\n%s", status, fields)
	}
	withLength := func(status int, fields, body string) string {
		return head(status, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body))
	}
	chunked := func(status int, fields, body string) string {
		return head(status, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body))
	}
	untilEnd := func(status int, fields, body string) string {
		return head(status, "Connection: close\r\n"+fields+"\r\n"+body)
	}
	type kind uint8
	const (
		broken  kind = iota // not the server's own
		refused             // the server has not run the request
		own                 // passed on unchanged
	)
	cases := []struct {
		name, text string
		kind       kind
	}{
		{"200 with a length", withLength(200, "", "page"), broken},
		{"200 in chunks", chunked(200, "", "page"), broken},
		{"200 until the end", untilEnd(200, "", "page"), broken},
		{"200 without a body", withLength(200, "", ""), broken},
		{"long 200 with a length", withLength(200, "", long), broken},
		{"long 200 in chunks", chunked(200, "", long), broken},
		{"long 200 until the end", untilEnd(200, "", long), broken},
		{"200 with an empty signature", withLength(200, "X-Response-Seal:\r\n", "page"), broken},
		{"200 with two signatures", withLength(200, signed+signed, "page"), broken},
		{"200 whose signature is for the connection only", withLength(200, "Connection: X-Response-Seal\r\n"+signed, "page"), broken},
		{"200 that claims not to have run", withLength(200, refusing, "page"), broken},
		{"200 whose body stops short", withLength(200, "", "page"+stopsShort), broken},
		{"signed 200 with an encoding that nobody asked for", withLength(200, signed+"Content-Encoding: gzip\r\n", "page"), broken},
		{"long signed 200 with an encoding that nobody asked for", withLength(200, signed+"Content-Encoding: gzip\r\n", long), broken},
		{"signed 200 with such an encoding whose body stops short", withLength(200, signed+"Content-Encoding: gzip\r\n", "page"+stopsShort), broken},
		{"204", head(204, "\r\n"), broken},
		{"302", withLength(302, "Location: /\r\n", ""), broken},
		{"400", withLength(400, "", "page"), broken},
		{"404", withLength(404, "", "page"), broken},
		{"408", withLength(408, "", "page"), broken},
		{"429", withLength(429, "Retry-After: 0.01\r\n", "page"), broken},
		{"500", withLength(500, "", "page"), broken},
		{"503 with a length", withLength(503, "", "page"), broken},
		{"503 whose body stops short", withLength(503, "", "page"+stopsShort), broken},
		{"503 in chunks", chunked(503, "", "page"), broken},
		{"503 until the end", untilEnd(503, "", "page"), broken},
		{"long 503 with a length", withLength(503, "", long), broken},
		{"long 503 until the end", untilEnd(503, "", long), broken},
		{"504", withLength(504, "", "page"), broken},
		{"refusal", withLength(503, refusing, "full"), refused},
		{"refusal in chunks", chunked(429, refusing, "full"), refused},
		{"long refusal", withLength(503, refusing, long), refused},
		{"long refusal until the end", untilEnd(503, refusing, long), refused},
		{"long refusal for another run of the server", withLength(421, "", long), refused},
		{"signed 200", withLength(200, signed, "page"), own},
		{"signed 200 with the encoding identity", withLength(200, signed+"Content-Encoding: identity\r\n", "page"), own},
		{"signed 200 until the end", untilEnd(200, signed, "page"), own},
		{"long signed 200", chunked(200, signed, long), own},
		{"signed 404", withLength(404, signed, "page"), own},
		{"signed 429", withLength(429, signed+"Retry-After: 0.01\r\n", "page"), own},
		{"signed 503", withLength(503, signed, "page"), own},
		{"signed 503 that claims not to have run", withLength(503, signed+refusing, "page"), own},
		{"long signed 503", untilEnd(503, signed, long), own},
	}
	answers := firstAnswers{arrivals: make(map[string]int)}
	for _, c := range cases {
		answers.texts = append(answers.texts, c.text)
	}
	d := newDeploymentWith(t, deployment{retryExtra: 4000}, 3)
	for i := range d.servers {
		d.servers[i].Close()
		d.servers[i] = d.serve(address(i+1, portServer), answers.of(d.apps[i]))
	}
	d.publishSafeAndUnsafe()
	d.publishEntry(2, "draining") // requests at host 2 go through the node of another host
	d.waitFor(func() bool { return d.nodes[2].Status().Load.Leaving && !d.nodes[0].Status().Load.Leaving })
	d.waitFor(func() bool { return d.ask(0, "/r/x", "warm").status == 200 && d.ask(2, "/r/x", "warm").status == 200 })
	for n, c := range cases {
		for _, from := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s at host %d", c.name, from), func(t *testing.T) {
				is := is.New(t)
				id := fmt.Sprintf("r-%d-%d", n, from)
				got := d.ask(from, fmt.Sprint("/r/", n), id)
				is.NoErr(got.err)
				switch c.kind {
				case broken:
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(got.body, "")
					is.Equal(answers.arrivalsOf(id), 1) // may have run, so it must not run again
				case refused:
					is.Equal(got.status, http.StatusOK)
					is.Equal(answers.arrivalsOf(id), 2)
				case own:
					is.Equal(got.header.Get("X-Response-Seal"), "seal")
					_, body, _ := strings.Cut(c.text, "\r\n\r\n")
					is.True(strings.Contains(body, got.body) && got.body != "")
					is.Equal(fmt.Sprintf("HTTP/1.1 %d x", got.status), strings.SplitN(c.text, "\r\n", 2)[0])
					is.Equal(answers.arrivalsOf(id), 1)
				}
				if c.kind == own {
					return
				}
				id = fmt.Sprintf("s-%d-%d", n, from)
				got = d.ask(from, fmt.Sprint("/s/", n), id)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.header.Get("X-Response-Seal"), "seal-"+id) // of the second server
				is.Equal(answers.arrivalsOf(id), 2)
			})
		}
	}
}

// Guards against the loss of answers with an encoding that the client has asked for.
func TestEncodingIsPassedOnIfAskedFor(t *testing.T) {
	is := is.New(t)
	answers := firstAnswers{arrivals: make(map[string]int), texts: []string{
		"HTTP/1.1 200 OK\r\nID\r\nX-Response-Seal: seal\r\nContent-Encoding: x\r\nContent-Length: 4\r\n\r\npage"}}
	d := newDeployment(t, 1)
	d.servers[0].Close()
	d.servers[0] = d.serve(address(1, portServer), answers.of(d.apps[0]))
	d.waitFor(func() bool { return d.ask(0, "/r/x", "warm").status == 200 })
	got := d.ask(0, "/r/0", "asked", "Accept-Encoding", "x")
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("Content-Encoding"), "x")
	is.Equal(got.body, "page")
	is.Equal(d.ask(0, "/r/0", "not asked").status, http.StatusBadGateway)
}

// Guards against an unsigned answer that reaches a server as the answer to a call of its own: 503
// would tell it that the call has not run, so that it makes the call again.
func TestUnsignedAnswerToCallOfServer(t *testing.T) {
	is := is.New(t)
	answers := firstAnswers{arrivals: make(map[string]int), texts: []string{"HTTP/1.1 503 x\r\nID\r\nContent-Length: 4\r\n\r\npage"}}
	d := newDeployment(t, 1)
	d.servers[0].Close()
	called := answers.of(d.apps[0])
	d.servers[0] = d.serve(address(1, portServer), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/r/calling" {
			called.ServeHTTP(w, r)
			return
		}
		got := d.ask(0, "/r/0", "call")
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, got.status, got.body)
	}))
	d.waitFor(func() bool { return d.ask(0, "/r/x", "warm").status == 200 })
	got := d.ask(0, "/r/calling", "calling")
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.header.Get("X-Response-Seal"), "seal")
	is.Equal(got.body, "502")
	is.Equal(answers.arrivalsOf("call"), 1)
}

// uncheckedServer is the server of a node of an earlier version, which passes on any answer.
type uncheckedServer struct{}

func (uncheckedServer) Do(context.Context, *prim.Request) (*prim.Answer, error) {
	return &prim.Answer{Status: http.StatusServiceUnavailable, Header: make(http.Header), Body: []byte("page")}, nil
}

// Guards against an unsigned answer that a node of an earlier version passes on to this one.
func TestUnsignedAnswerFromEarlierVersion(t *testing.T) {
	is := is.New(t)
	d := newDeploymentWith(t, deployment{beforeRun: func(i int, n *Node) {
		if i == 0 {
			n.peers.SetLocal(owner.New(owner.Config{Host: n.config.Settings.Host, Server: uncheckedServer{}, Admitter: n.admitter}))
		}
	}}, 2)
	d.publishEntry(1, "draining") // requests at host 1 go through the node of host 0
	d.waitFor(func() bool { return d.nodes[1].Status().Load.Leaving })
	got := d.ask(1, "/r/x", "unsigned")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.body, "")
	is.Equal(d.nodes[1].recorder.Snapshot().Counters["BrokenAnswers"], int64(1))
}
