package peers_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/guard"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/wire"
)

var key = bytes.Repeat([]byte("k"), peers.MinKeyBytes)

// fakeOwner runs requests with a function.
type fakeOwner struct {
	run func(ctx context.Context, r *prim.Request) (*prim.Answer, error)
}

func (f *fakeOwner) Sample() prim.LoadSample { return prim.LoadSample{} }

func (f *fakeOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	return f.run(ctx, r)
}

func (f *fakeOwner) Reserve(_ context.Context, r *prim.Request) (prim.Reservation, error) {
	return &fakeReservation{f: f, r: r}, nil
}

type fakeReservation struct {
	f *fakeOwner
	r *prim.Request
}

func (v *fakeReservation) Commit(ctx context.Context) (*prim.Answer, error) { return v.f.run(ctx, v.r) }
func (v *fakeReservation) Release()                                         {}

// node is a Peers with the HTTP server that accepts its links.
type node struct {
	*peers.Peers
	*httptest.Server
}

// fleet resolves the names of the nodes that a test has started.
type fleet struct {
	mu    sync.Mutex
	addrs map[prim.HostName]netip.AddrPort
}

func (f *fleet) resolve(h prim.HostName) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.addrs[h]
	return a, ok
}

func newFleet() *fleet { return &fleet{addrs: make(map[prim.HostName]netip.AddrPort)} }

func (f *fleet) start(t interface {
	Fatal(...any)
	Cleanup(func())
}, name prim.HostName, key []byte, o prim.Owner) *node {
	p, err := peers.New(peers.Config{
		Self: name, Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Local: o,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(p.Handler())
	f.mu.Lock()
	f.addrs[name] = netip.MustParseAddrPort(s.Listener.Addr().String())
	f.mu.Unlock()
	t.Cleanup(func() {
		p.Close()
		s.Close()
	})
	return &node{p, s}
}

func request(path string) *prim.Request {
	return &prim.Request{Service: "s", Method: "GET", Path: path, Deadline: time.Now().Add(10 * time.Second)}
}

func echo(_ context.Context, r *prim.Request) (*prim.Answer, error) {
	return &prim.Answer{Status: 200, Body: []byte(r.Path)}, nil
}

// Guards against an answer that is delivered to the wrong request when answers
// are late and out of order.
func TestAnswersOutOfOrder(t *testing.T) {
	f := newFleet()
	f.start(t, "b", key, &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
		d, _ := time.ParseDuration(r.Header.Get("Delay"))
		<-time.After(d)
		return echo(ctx, r)
	}})
	a := f.start(t, "a", key, nil)
	rapid.Check(t, func(t *rapid.T) {
		delays := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 30).Draw(t, "delays")
		errs := make(chan error, len(delays))
		for i, d := range delays {
			go func() {
				r := request(fmt.Sprintf("/%d", i))
				r.Header = http.Header{"Delay": {fmt.Sprintf("%dms", d)}}
				answer, err := a.Owner("b").Dispatch(context.Background(), r)
				if err == nil && string(answer.Body) != r.Path {
					err = fmt.Errorf("request %s got the answer to %s", r.Path, answer.Body)
				}
				errs <- err
			}()
		}
		for range delays {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against serving a peer that has no fleet key or a wrong one, and against
// a fleet key that is too short.
func TestWrongKey(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	b := f.start(t, "b", key, &fakeOwner{run: echo})
	a := f.start(t, "a", bytes.Repeat([]byte("x"), peers.MinKeyBytes), nil)
	_, err := a.Owner("b").Dispatch(context.Background(), request("/"))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.Equal(b.Status().Accepted, int64(0))

	resp, err := http.Get(b.URL + peers.Path)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusUnauthorized)

	_, err = peers.New(peers.Config{Key: []byte("short")})
	is.True(err != nil)
}

// Guards against sending requests to a process that has taken over the address of
// a host but does not have the fleet key.
func TestAcceptorWithoutKey(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Primrosethread-Instance", "1")
		c, err := websocket.Accept(w, r, nil)
		if err == nil {
			c.CloseRead(r.Context())
		}
	}))
	defer s.Close()
	f.addrs["b"] = netip.MustParseAddrPort(s.Listener.Addr().String())
	a := f.start(t, "a", key, nil)
	_, err := a.Owner("b").Dispatch(context.Background(), request("/"))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
}

// Guards against a lost answer that is reported as NotRun: the owner already has
// the request when the link breaks.
func TestLinkLostAfterDispatch(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	entered := make(chan struct{})
	b := f.start(t, "b", key, &fakeOwner{run: func(ctx context.Context, _ *prim.Request) (*prim.Answer, error) {
		close(entered)
		<-ctx.Done()
		return nil, &prim.LostAnswerError{Cause: ctx.Err()}
	}})
	a := f.start(t, "a", key, nil)
	result := make(chan error, 1)
	go func() {
		_, err := a.Owner("b").Dispatch(context.Background(), request("/"))
		result <- err
	}()
	<-entered
	b.Peers.Close()
	is.Equal(prim.OutcomeOf(<-result), prim.Unknown)
}

// Guards against a commit that runs at an instance other than the one that holds
// the reservation, and against a reservation that is committed twice.
func TestReservationBoundToInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	b := f.start(t, "b", key, &fakeOwner{run: echo})
	a := f.start(t, "a", key, nil)
	v, err := a.Owner("b").Reserve(context.Background(), request("/1"))
	is.NoErr(err)
	answer, err := v.Commit(context.Background())
	is.NoErr(err)
	is.Equal(string(answer.Body), "/1")
	_, err = v.Commit(context.Background())
	is.Equal(prim.OutcomeOf(err), prim.NotRun) // a reservation is used once

	v, err = a.Owner("b").Reserve(context.Background(), request("/2"))
	is.NoErr(err)
	b.Peers.Close()
	f.start(t, "b", key, &fakeOwner{run: func(context.Context, *prim.Request) (*prim.Answer, error) {
		t.Error("request ran at the new instance")
		return nil, errors.New("unexpected")
	}})
	_, err = v.Commit(context.Background())
	is.True(err != nil)
}

// Guards against a cancelled call that continues to run at its server.
func TestCancelReachesOwner(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	entered, ended := make(chan struct{}), make(chan error, 1)
	f.start(t, "b", key, &fakeOwner{run: func(ctx context.Context, _ *prim.Request) (*prim.Answer, error) {
		close(entered)
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, &prim.LostAnswerError{Cause: ctx.Err()}
	}})
	a := f.start(t, "a", key, nil)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := a.Owner("b").Dispatch(ctx, request("/"))
		result <- err
	}()
	<-entered
	cancel()
	is.Equal(prim.OutcomeOf(<-result), prim.Unknown)
	is.Equal(<-ended, context.Canceled) // not context.DeadlineExceeded
}

// Guards against a truncated long answer that looks complete, and against lost or
// reordered parts.
func TestLongAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	long := strings.Repeat("0123456789abcdef", 200_000)
	f.start(t, "b", key, &fakeOwner{run: func(_ context.Context, r *prim.Request) (*prim.Answer, error) {
		var rest io.Reader = strings.NewReader(long)
		if r.Path == "/cut" {
			rest = io.MultiReader(io.LimitReader(rest, 1_000_000), &failingReader{})
		}
		return &prim.Answer{Status: 200, Body: []byte("start"), Rest: io.NopCloser(rest)}, nil
	}})
	a := f.start(t, "a", key, nil)
	answer, err := a.Owner("b").Dispatch(context.Background(), request("/whole"))
	is.NoErr(err)
	got, err := io.ReadAll(answer.Rest)
	is.NoErr(err)
	is.Equal(string(answer.Body)+string(got), "start"+long)
	is.NoErr(answer.Rest.Close())

	answer, err = a.Owner("b").Dispatch(context.Background(), request("/cut"))
	is.NoErr(err)
	_, err = io.ReadAll(answer.Rest)
	is.Equal(err, io.ErrUnexpectedEOF)
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a slow reader of one long answer that blocks other calls on the
// link.
func TestSlowReaderDoesNotBlockLink(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.start(t, "b", key, &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
		if r.Path != "/long" {
			return echo(ctx, r)
		}
		rest := strings.NewReader(strings.Repeat("x", 4<<20))
		return &prim.Answer{Status: 200, Rest: io.NopCloser(rest)}, nil
	}})
	a := f.start(t, "a", key, nil)
	long, err := a.Owner("b").Dispatch(context.Background(), request("/long"))
	is.NoErr(err)
	for range 20 {
		answer, err := a.Owner("b").Dispatch(context.Background(), request("/short"))
		is.NoErr(err)
		is.Equal(string(answer.Body), "/short")
	}
	n, err := io.Copy(io.Discard, long.Rest)
	is.NoErr(err)
	is.Equal(n, int64(4<<20))
}

// Guards against a control message that reaches the wrong handler, and against a
// failed or unknown one that closes the link.
func TestControlMessages(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	b := f.start(t, "b", key, nil)
	told := make(chan string, 1)
	b.Handle("Upper", func(_ context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
		return prim.Message{Kind: "UpperDone", Body: bytes.ToUpper(append(m.Body, from...))}, nil
	})
	b.Handle("Fail", func(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
		return prim.Message{}, errors.New("no")
	})
	b.Handle("Note", func(_ context.Context, _ prim.HostName, m prim.Message) (prim.Message, error) {
		told <- string(m.Body)
		return prim.Message{}, nil
	})
	a := f.start(t, "a", key, nil)
	_, err := a.Ask(context.Background(), "b", prim.Message{Kind: "Fail"})
	is.True(err != nil)
	_, err = a.Ask(context.Background(), "b", prim.Message{Kind: "Missing"})
	is.True(err != nil)
	got, err := a.Ask(context.Background(), "b", prim.Message{Kind: "Upper", Body: []byte("x")})
	is.NoErr(err)
	is.Equal(string(got.Body), "XA")
	is.NoErr(a.Tell(context.Background(), "b", prim.Message{Kind: "Note", Body: []byte("n")}))
	is.Equal(<-told, "n")
}

// Guards against a malformed, truncated or oversized frame that crashes the
// process or leaves the link open.
func TestMalformedFrameClosesLink(t *testing.T) {
	is := is.New(t)
	for _, frame := range [][]byte{{}, {0, 0, 0, 9, 1}, {0xff, 0xff, 0xff, 0xff}, make([]byte, wire.MaxFrameBytes+1)} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		f := newFleet()
		b := f.start(t, "b", key, &fakeOwner{run: echo})
		// Only a node can make a valid proof: record the upgrade request of
		// node a and replay it to b.
		f.addrs["b"], _ = netip.ParseAddrPort(l.Addr().String())
		a := f.start(t, "a", key, nil)
		go a.Owner("b").Dispatch(context.Background(), request("/"))
		raw, err := l.Accept()
		is.NoErr(err)
		head := make([]byte, 4096)
		n, err := raw.Read(head)
		is.NoErr(err)
		conn, err := net.Dial("tcp", b.Listener.Addr().String())
		is.NoErr(err)
		_, err = conn.Write(head[:n])
		is.NoErr(err)
		reply := make([]byte, 4096)
		_, err = conn.Read(reply)
		is.NoErr(err)
		is.True(bytes.HasPrefix(reply, []byte("HTTP/1.1 101")))
		_, err = conn.Write(maskedFrame(frame))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, conn) // ends when the link is closed
		is.True(err == nil || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "reset"))
		conn.Close()
		raw.Close()
		l.Close()

		third := f.start(t, "c", key, nil)
		f.mu.Lock()
		f.addrs["b"] = netip.MustParseAddrPort(b.Listener.Addr().String())
		f.mu.Unlock()
		_, err = third.Owner("b").Dispatch(context.Background(), request("/")) // b still serves
		is.NoErr(err)
	}
}

// maskedFrame returns a binary WebSocket client frame (RFC 6455) with a zero
// masking key.
func maskedFrame(b []byte) []byte {
	f := []byte{0x82}
	switch n := len(b); {
	case n < 126:
		f = append(f, 0x80|byte(n))
	case n < 1<<16:
		f = append(f, 0x80|126, byte(n>>8), byte(n))
	default:
		f = append(f, 0x80|127, 0, 0, 0, 0, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	}
	return append(append(f, 0, 0, 0, 0), b...)
}

// Guards against an unexpected error in one call that ends the process, and against a
// sender that waits until its deadline for the answer to that call.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	g := guard.New(slog.New(slog.DiscardHandler))
	owner := &fakeOwner{run: func(_ context.Context, r *prim.Request) (*prim.Answer, error) {
		if r.Path == "/bad" {
			var none *prim.Answer
			return &prim.Answer{Status: none.Status}, nil
		}
		return &prim.Answer{Status: 200}, nil
	}}
	b, err := peers.New(peers.Config{Self: "b", Instance: 2, Keyless: true, Local: owner,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		Guard:   g})
	is.NoErr(err)
	defer b.Close()
	server := httptest.NewServer(b.Handler())
	defer server.Close()
	a, err := peers.New(peers.Config{Self: "a", Instance: 1, Keyless: true, Local: owner,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) {
			return netip.MustParseAddrPort(server.Listener.Addr().String()), true
		}})
	is.NoErr(err)
	defer a.Close()
	for _, path := range []string{"/good", "/bad", "/good"} {
		_, err := a.Owner("b").Dispatch(t.Context(), &prim.Request{Path: path, Deadline: time.Now().Add(time.Minute)})
		if path == "/good" {
			is.NoErr(err)
			continue
		}
		is.Equal(prim.OutcomeOf(err), prim.Unknown)
	}
	is.Equal(g.Panics(), int64(1))
}
