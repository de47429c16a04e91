package peers_test

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/guard"
	"github.com/primrosethread/primrosethread/peers"
)

// panickingRest is the rest of a long answer that panics after some bytes.
type panickingRest struct {
	left   int
	closed chan struct{}
}

func (r *panickingRest) Read(p []byte) (int, error) {
	if r.left == 0 {
		panic("test")
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

func (r *panickingRest) Close() error {
	close(r.closed)
	return nil
}

// Guards against a panic in the middle of a long answer that closes the link, and with it ends all
// calls on it, or that leaves the answer's reader waiting.
func TestPanicTruncatesLongAnswer(t *testing.T) {
	is := is.New(t)
	rest := &panickingRest{left: 300 << 10, closed: make(chan struct{})}
	entered, release := make(chan struct{}), make(chan struct{})
	f := newFleet()
	f.start(t, "b", key, &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
		if r.Path == "/long" {
			return &prim.Answer{Status: 200, Body: []byte("begin"), Rest: rest}, nil
		}
		close(entered)
		<-release
		return echo(ctx, r)
	}})
	a := f.start(t, "a", key, nil)
	other := make(chan error, 1)
	go func() {
		_, err := a.Owner("b").Dispatch(t.Context(), request("/other"))
		other <- err
	}()
	<-entered
	answer, err := a.Owner("b").Dispatch(t.Context(), request("/long"))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, answer.Rest)
	is.Equal(err, io.ErrUnexpectedEOF)
	<-rest.closed
	close(release)
	is.NoErr(<-other)
}

// brittleMemory is a prim.MemoryBudget that panics while brittle is set.
type brittleMemory struct {
	brittle atomic.Bool
	used    atomic.Int64
}

func (m *brittleMemory) Reserve(n int) bool {
	if m.brittle.Load() {
		panic("test")
	}
	m.used.Add(int64(n))
	return true
}

func (m *brittleMemory) Release(n int) { m.used.Add(int64(-n)) }

// brittleContext is a context whose Deadline panics.
type brittleContext struct{ context.Context }

func (brittleContext) Deadline() (time.Time, bool) { panic("test") }

// Guards against a link that nothing can be sent on, and calls that stay counted on it, after a
// panic while a request is sent.
func TestPanicReleasesLink(t *testing.T) {
	is := is.New(t)
	memory := &brittleMemory{}
	f := newFleet()
	f.start(t, "b", key, &fakeOwner{run: echo})
	a, err := peers.New(peers.Config{Self: "a", Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Memory: memory, LinksPerHost: 1, MaxCalls: 1})
	is.NoErr(err)
	s := httptest.NewServer(a.Handler())
	t.Cleanup(func() {
		a.Close()
		s.Close()
	})
	f.mu.Lock()
	f.addrs["a"] = netip.MustParseAddrPort(s.Listener.Addr().String())
	f.mu.Unlock()
	g := guard.New(slog.New(slog.DiscardHandler))
	for range 3 {
		memory.brittle.Store(true)
		is.True(g.Run(func() error {
			r := request("/x")
			r.Body = make([]byte, 800<<10) // sent in one frame that is charged
			_, err := a.Owner("b").Dispatch(t.Context(), r)
			return err
		}) != nil)
		is.True(g.Run(func() error {
			r := request("/x")
			r.Body = make([]byte, 800<<10)
			_, err := a.Owner("b").Reserve(t.Context(), r)
			return err
		}) != nil)
		memory.brittle.Store(false)
		reservation, err := a.Owner("b").Reserve(t.Context(), request("/x"))
		is.NoErr(err)
		is.True(g.Run(func() error {
			_, err := reservation.Commit(brittleContext{t.Context()})
			return err
		}) != nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		answer, err := a.Owner("b").Dispatch(ctx, request("/y"))
		cancel()
		is.NoErr(err)
		is.Equal(string(answer.Body), "/y")
		is.Equal(memory.used.Load(), int64(0))
	}
	is.Equal(g.Panics(), int64(9))
}
