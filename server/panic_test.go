package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/guard"
)

// panicOn returns a function that panics from its nth call on; a non-positive n never panics.
func panicOn(n int) func() {
	calls := 0
	return func() {
		if calls++; n > 0 && calls >= n {
			panic("test")
		}
	}
}

// panickingMemory is a fakeMemory whose Reserve may panic.
type panickingMemory struct {
	*fakeMemory
	check func()
}

func (m panickingMemory) Reserve(n int) bool {
	m.check()
	return m.fakeMemory.Reserve(n)
}

// Guards against a connection that stays counted as open, and memory that stays reserved, after a
// panic while an answer is received: at the limit of connections the server gets no request any more.
func TestPanicGivesBackConnection(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/broken" {
			conn, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(conn, "HTTP/1.1 000 x\r\n\r\n")
			conn.Close()
			return
		}
		for i := range 200 { // a header that is charged
			w.Header().Set(fmt.Sprintf("Field-%d", i), strings.Repeat("x", 50))
		}
		w.Write(make([]byte, 100<<10)) // a body that is charged
	}))
	defer s.Close()
	g := guard.New(slog.New(slog.DiscardHandler))
	for _, c := range []struct {
		name, path                             string
		header, body, match, buffers, onBroken int // call that panics
	}{
		{name: "charge of the header", header: 1},
		{name: "later charge of the header", header: 2},
		{name: "comparison with the request", match: 1},
		{name: "decision on the body", buffers: 1},
		{name: "charge of the body", body: 1},
		{name: "report of a broken answer", path: "broken", onBroken: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			header, body := &fakeMemory{limit: 1 << 30}, &fakeMemory{limit: 1 << 30}
			match, buffers, onBroken := panicOn(c.match), panicOn(c.buffers), panicOn(c.onBroken)
			client := New(Config{
				Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Connections: 1, OmitNodeHeaders: true,
				HeaderMemory: panickingMemory{header, panicOn(c.header)}, Memory: panickingMemory{body, panicOn(c.body)},
				Match:          func(*prim.Request, http.Header) Match { match(); return Matching },
				Buffers:        func(*prim.Request, *prim.Answer) bool { buffers(); return true },
				OnBrokenAnswer: func(*prim.BrokenAnswerError) { onBroken() },
			})
			for range 2 {
				panics := g.Panics()
				err := g.Run(func() error {
					_, err := client.Do(context.Background(), &prim.Request{Method: "GET", Path: "/" + c.path, Deadline: time.Now().Add(time.Minute)})
					return err
				})
				is.True(err != nil)
				is.Equal(g.Panics(), panics+1)
				is.Equal(client.Status().Open, 0)
				is.Equal(header.used.Load()+body.used.Load(), int64(0))
			}
		})
	}
}
