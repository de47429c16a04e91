package peers_test

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fakes"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/waits"
	"github.com/primrosethread/primrosethread/wire"
)

// testBudget is a prim.MemoryBudget that records the largest use.
type testBudget struct {
	mu                sync.Mutex
	limit, used, peak int
}

func (b *testBudget) Reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	b.peak = max(b.peak, b.used)
	return true
}

func (b *testBudget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *testBudget) inUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// bodyPair is two nodes. Node a sends requests to b through a proxy, on at most one link
// unless a test sets another number.
type bodyPair struct {
	a, b   *peers.Peers
	proxy  *fakes.Proxy
	memory *testBudget
	mu     sync.Mutex
	runs   map[string][]uint32 // checksums of the bodies by request ID
}

func newBodyPair(t *testing.T, memory *testBudget, links int) *bodyPair {
	t.Helper()
	is := is.New(t)
	p := &bodyPair{memory: memory, runs: make(map[string][]uint32)}
	owner := &fakeOwner{run: func(_ context.Context, r *prim.Request) (*prim.Answer, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.runs[r.ID] = append(p.runs[r.ID], crc32.ChecksumIEEE(r.Body))
		return &prim.Answer{Status: 200, Body: []byte(r.ID)}, nil
	}}
	var err error
	p.b, err = peers.New(peers.Config{Self: "b", Instance: 2, Keyless: true, Local: owner, Memory: memory,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) { return netip.AddrPort{}, false }})
	is.NoErr(err)
	server := httptest.NewServer(p.b.Handler())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	p.proxy, err = fakes.NewProxy(address, server.Listener.Addr().String())
	is.NoErr(err)
	p.a, err = peers.New(peers.Config{Self: "a", Instance: 1, Keyless: true, LinksPerHost: links,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) { return netip.MustParseAddrPort(address), true }})
	is.NoErr(err)
	t.Cleanup(func() {
		p.proxy.Close()
		p.a.Close()
		p.b.Close()
		server.Close()
	})
	return p
}

func (p *bodyPair) send(ctx context.Context, id string, body []byte) error {
	r := &prim.Request{ID: id, Method: "POST", Path: "/", Body: body, Deadline: time.Now().Add(time.Minute)}
	answer, err := p.a.Owner("b").Dispatch(ctx, r)
	if err == nil && string(answer.Body) != id {
		err = fmt.Errorf("request %s got the answer to %s", id, answer.Body)
	}
	return err
}

func (p *bodyPair) runsOf(id string) []uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// ping opens a link if there is none.
func (p *bodyPair) ping(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := p.a.Ask(ctx, "b", prim.Message{Kind: peers.KindPing}); err == nil {
			return
		}
		waits.Sleep(ctx, 5*time.Millisecond)
	}
}

// waitUntilFree waits until b holds no bodies.
func (p *bodyPair) waitUntilFree(ctx context.Context) error {
	for p.memory.inUse() > 0 {
		if ctx.Err() != nil {
			return fmt.Errorf("%d bytes are in use", p.memory.inUse())
		}
		waits.Sleep(ctx, time.Millisecond)
	}
	return nil
}

func randomBody(n int) []byte {
	body := make([]byte, n)
	random := rand.NewChaCha8([32]byte{byte(n)})
	random.Read(body)
	return body
}

// Guards against a large body that arrives changed or in part, a request that runs although
// its caller was told that it did not, one that runs twice, memory that is not released
// after a cut, a cancellation or a pause of the network, and small requests that fail
// because of a large one on the same link.
func TestLargeBodies(t *testing.T) {
	p := newBodyPair(t, &testBudget{limit: 64 << 20}, 1)
	notRun := make(map[string]bool)
	count, small := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(1<<20-1, 1<<20+1), rapid.IntRange(1<<20, 5<<20), rapid.SampledFrom([]int{1, 20 * 64 << 10})).Draw(t, "size")
		fault := rapid.SampledFrom([]string{"none", "none", "cut", "cancelled", "paused"}).Draw(t, "fault")
		after := rapid.IntRange(0, size).Draw(t, "bytes before the fault")
		p.ping(context.Background())
		body := randomBody(size)
		count++
		id := fmt.Sprint("large-", count)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		before := p.b.Status().BytesIn
		ended := make(chan error, 1)
		go func() { ended <- p.send(ctx, id, body) }()
		smallEnded := make(chan error, 1)
		smallCtx, stopSmall := context.WithCancel(context.Background())
		go func() {
			for smallCtx.Err() == nil {
				small++
				if err := p.send(context.Background(), fmt.Sprint("small-", small), []byte("x")); err != nil && fault != "cut" {
					smallEnded <- err
					return
				}
			}
			smallEnded <- nil
		}()
		var err error
		faulty := fault != "none"
		for done := false; !done; {
			select {
			case err = <-ended:
				done = true
			case <-time.After(100 * time.Microsecond):
				if !faulty || p.b.Status().BytesIn-before < int64(after) {
					continue
				}
				faulty = false
				switch fault {
				case "cut":
					p.proxy.Reset()
				case "cancelled":
					cancel()
				case "paused":
					p.proxy.SetSilent(true, false)
					time.Sleep(20 * time.Millisecond)
					p.proxy.SetSilent(false, false)
				}
			}
		}
		stopSmall()
		if err := <-smallEnded; err != nil {
			t.Fatalf("small request: %v", err)
		}
		switch runs := p.runsOf(id); prim.OutcomeOf(err) {
		case prim.Done:
			if len(runs) != 1 || runs[0] != crc32.ChecksumIEEE(body) {
				t.Fatalf("%d runs, checksums %x, want %x", len(runs), runs, crc32.ChecksumIEEE(body))
			}
		case prim.NotRun:
			notRun[id] = true
			if fault != "cut" && fault != "cancelled" {
				t.Fatal(err)
			}
		case prim.Unknown:
			if fault != "cut" && fault != "cancelled" || len(runs) > 1 || len(runs) == 1 && runs[0] != crc32.ChecksumIEEE(body) {
				t.Fatalf("fault %s, %d runs: %v", fault, len(runs), err)
			}
		}
		waitCtx, stopWait := context.WithTimeout(context.Background(), 4*time.Second) // less than the timeout of a stall
		defer stopWait()
		if err := p.waitUntilFree(waitCtx); err != nil {
			t.Fatal(err)
		}
	})
	for id := range notRun {
		if len(p.runsOf(id)) > 0 {
			t.Errorf("request %s ran although its outcome is NotRun", id)
		}
	}
	t.Logf("%d large requests, %d of them not run; %d small ones", count, len(notRun), small)
}

// Guards against copies of a whole body in memory: the largest accepted one must fit into a
// small host. Without copies, 1.25 times its length is in use while its buffer grows, and
// 1 + 1/4 + 1/16 + 1/64 times its length is allocated in all, besides pooled buffers of
// parts, some of which the race detector drops. A copy of the body would add its length.
func TestMemoryOfLargestBody(t *testing.T) {
	is := is.New(t)
	const headerBytes = 1 << 10 // more than the request has
	p := newBodyPair(t, &testBudget{limit: prim.MaxRequestBody*5/4 + prim.RequestCost(headerBytes, 0)}, 1)
	body := randomBody(prim.MaxRequestBody)
	p.ping(t.Context())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	is.NoErr(p.send(t.Context(), "r", body))
	runtime.ReadMemStats(&after)
	is.Equal(p.runsOf("r"), []uint32{crc32.ChecksumIEEE(body)})
	is.NoErr(p.waitUntilFree(t.Context()))
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d MiB allocated, at most %d MiB charged", allocated>>20, p.memory.peak>>20)
	is.True(allocated < 2*prim.MaxRequestBody)
	is.True(p.memory.peak >= prim.MaxRequestBody)
}

// Guards against a body that the budget does not allow and that ends the link, stays charged
// in part, or makes the request's outcome unknown.
func TestNoRoomForBody(t *testing.T) {
	is := is.New(t)
	p := newBodyPair(t, &testBudget{limit: 4 << 20}, 1)
	for n := range 3 {
		err := p.send(t.Context(), fmt.Sprint("large-", n), randomBody(8<<20))
		var refusal *prim.RefusalError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, prim.ReasonNoRoom)
		is.True(refusal.RetryAfter > 0)
		is.Equal(len(p.runsOf(fmt.Sprint("large-", n))), 0)
		is.NoErr(p.waitUntilFree(t.Context()))
		is.NoErr(p.send(t.Context(), fmt.Sprint("fits-", n), randomBody(3<<20)))
		is.NoErr(p.send(t.Context(), fmt.Sprint("small-", n), nil))
	}
	is.Equal(p.a.Status().Dialled, int64(1))
}

// Guards against a transfer that makes no progress and holds memory at the owner, or its
// caller, until the deadline of the request, and against a request that runs when the rest
// of it arrives later.
func TestStalledBody(t *testing.T) {
	is := is.New(t)
	p := newBodyPair(t, &testBudget{limit: 64 << 20}, 1)
	p.ping(t.Context())
	p.a.SetBodyStallTimeout(200 * time.Millisecond)
	p.b.SetBodyStallTimeout(200 * time.Millisecond)
	body := randomBody(32 << 20)
	ended := make(chan error, 1)
	go func() { ended <- p.send(t.Context(), "r", body) }()
	for p.memory.inUse() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	p.proxy.SetSilent(true, false)
	err := <-ended
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.NoErr(p.waitUntilFree(t.Context())) // although the link is open
	p.proxy.SetSilent(false, false)
	p.ping(t.Context())
	is.NoErr(p.send(t.Context(), "next", randomBody(2<<20)))
	is.Equal(len(p.runsOf("r")), 0)
	is.True(p.b.Status().BodiesAbandoned > 0)
}

// Guards against a caller that waits until its deadline because the owner's node reads the
// parts of a body but collects none, against more parts than the window allows, and against
// short calls that fail because of it.
func TestNoCredits(t *testing.T) {
	is := is.New(t)
	instance := prim.NewInstance()
	frames := make(chan wire.Type, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Primrosethread-Instance", instance.String())
		w.Header().Set("Primrosethread-Features", "BodyParts")
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		conn.SetReadLimit(wire.MaxFrameBytes)
		for {
			_, b, err := conn.Read(r.Context())
			if err != nil {
				return
			}
			call, _, err := wire.Split(b)
			if err != nil {
				return
			}
			frames <- call.Type
			if call.Type != wire.Dispatch || call.More {
				continue
			}
			h := wire.AnswerHeader(call.ID, &prim.Answer{Status: 200})
			frame, err := wire.Append(nil, &h, nil)
			if err != nil || conn.Write(r.Context(), websocket.MessageBinary, frame) != nil {
				return
			}
		}
	}))
	defer s.Close()
	p, err := peers.New(peers.Config{Self: "a", Instance: prim.NewInstance(), Keyless: true, LinksPerHost: 1,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) {
			return netip.MustParseAddrPort(s.Listener.Addr().String()), true
		}})
	is.NoErr(err)
	defer p.Close()
	p.SetBodyStallTimeout(100 * time.Millisecond)
	r := request("/")
	r.Deadline = time.Now().Add(time.Hour)
	r.Body = make([]byte, 4<<20)
	_, err = p.Owner("b").Dispatch(t.Context(), r)
	var refusal *prim.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, prim.ReasonUnreachable)
	is.True(refusal.RetryAfter > 0)
	count := make(map[wire.Type]int)
	for count[wire.Cancel] == 0 {
		count[<-frames]++
	}
	is.Equal(count, map[wire.Type]int{wire.Dispatch: 1, wire.BodyPart: 16, wire.Cancel: 1})
	a, err := p.Owner("b").Dispatch(t.Context(), request("/"))
	is.NoErr(err)
	is.Equal(a.Status, 200)
	is.Equal(p.Status().Dialled, int64(1))
}

// Guards against a node that sends a request in parts to one of an earlier version, which
// would close the link with all calls on it.
func TestEarlierVersionGetsNoParts(t *testing.T) {
	is := is.New(t)
	instance := prim.NewInstance()
	var frames atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Primrosethread-Instance", instance.String())
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		conn.SetReadLimit(wire.MaxFrameBytes)
		for {
			_, b, err := conn.Read(r.Context())
			if err != nil {
				return
			}
			frames.Add(1)
			call, _, err := wire.Split(b)
			if err != nil {
				return
			}
			h := wire.AnswerHeader(call.ID, &prim.Answer{Status: 200})
			frame, err := wire.Append(nil, &h, nil)
			if err != nil || conn.Write(r.Context(), websocket.MessageBinary, frame) != nil {
				return
			}
		}
	}))
	defer s.Close()
	p, err := peers.New(peers.Config{Self: "a", Instance: prim.NewInstance(), Keyless: true,
		Resolve: func(prim.HostName) (netip.AddrPort, bool) {
			return netip.MustParseAddrPort(s.Listener.Addr().String()), true
		}})
	is.NoErr(err)
	defer p.Close()
	for n := range 3 {
		r := request("/")
		r.Body = make([]byte, 1<<20+1)
		_, err := p.Owner("b").Dispatch(t.Context(), r)
		var refusal *prim.RefusalError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, prim.ReasonNoRoom)
		_, err = p.Owner("b").Reserve(t.Context(), r)
		is.Equal(prim.OutcomeOf(err), prim.NotRun)
		r.Body = r.Body[:1<<20]
		a, err := p.Owner("b").Dispatch(t.Context(), r)
		is.NoErr(err)
		is.Equal(a.Status, 200)
		is.Equal(frames.Load(), int64(n+1))
	}
	is.Equal(p.Status().Dialled, int64(1))
}

// Guards against short calls that wait on a slow network until a large body on the same link
// has been sent, and against a link that counts as silent meanwhile.
func TestShortCallsBesideLargeBody(t *testing.T) {
	is := is.New(t)
	p := newBodyPair(t, &testBudget{limit: 64 << 20}, 1)
	p.a.LimitWriteBuffer()
	p.ping(t.Context())
	p.proxy.SetDelay(5 * time.Millisecond) // for each 16 KiB
	body := randomBody(4 << 20)            // 1.3 s
	const pingAfter, closeAfter = 200 * time.Millisecond, 600 * time.Millisecond
	ended := make(chan error, 1)
	go func() { ended <- p.send(t.Context(), "r", body) }()
	for p.memory.inUse() == 0 {
		time.Sleep(time.Millisecond)
	}
	calls := 0
	for ; len(ended) == 0; calls++ {
		is.NoErr(p.send(t.Context(), "short", nil))
		is.Equal(len(p.a.CheckLinks(pingAfter, closeAfter)), 0)
	}
	is.NoErr(<-ended)
	is.True(calls >= 3)
	is.Equal(p.a.Status().Dialled, int64(1))
}

// Guards against a node that closes a link with all calls on it, or crashes, because of parts
// that fit no request, and against one that accepts a body of another length than announced.
func TestInvalidParts(t *testing.T) {
	for name, c := range map[string]struct {
		frames []wire.Header
		length []int // of the bodies of frames
		closed bool
	}{
		"part of no request": {[]wire.Header{{Type: wire.BodyPart, ID: 9, More: true}}, []int{10}, false},
		"too long":           {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true, BodyTotal: 5}, {Type: wire.BodyPart, ID: 1}}, []int{0, 6}, true},
		"too short":          {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true, BodyTotal: 5}, {Type: wire.BodyPart, ID: 1}}, []int{0, 4}, true},
		"not ended":          {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true, BodyTotal: 5}, {Type: wire.BodyPart, ID: 1, More: true}}, []int{0, 5}, true},
		"no length":          {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true}}, []int{0}, true},
		"over the limit":     {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true, BodyTotal: prim.MaxRequestBody + 1}}, []int{0}, true},
		"same ID twice":      {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true, BodyTotal: 5}, {Type: wire.Dispatch, ID: 1, More: true, BodyTotal: 5}}, []int{0, 0}, true},
		"cancelled": {[]wire.Header{{Type: wire.Dispatch, ID: 1, More: true, BodyTotal: 5}, {Type: wire.BodyPart, ID: 1, More: true}, {Type: wire.Cancel, ID: 1},
			{Type: wire.BodyPart, ID: 1}}, []int{0, 2, 0, 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := &testBudget{limit: 64 << 20}
			b, err := peers.New(peers.Config{Self: "b", Instance: 2, Keyless: true, Memory: memory,
				Local: &fakeOwner{run: func(context.Context, *prim.Request) (*prim.Answer, error) {
					return nil, errors.New("unexpected")
				}},
				Resolve: func(prim.HostName) (netip.AddrPort, bool) { return netip.AddrPort{}, false }})
			is.NoErr(err)
			defer b.Close()
			s := httptest.NewServer(b.Handler())
			defer s.Close()
			conn, resp, err := websocket.Dial(t.Context(), "ws"+s.URL[len("http"):], nil)
			is.NoErr(err)
			defer conn.CloseNow()
			is.Equal(resp.Header.Get("Primrosethread-Features"), "BodyParts")
			for i, h := range append(c.frames, wire.Header{Type: wire.Ask, ID: 100, Kind: peers.KindPing}) {
				h.Instance = 2
				length := 0
				if i < len(c.length) {
					length = c.length[i]
				}
				frame, err := wire.Append(nil, &h, make([]byte, length))
				is.NoErr(err)
				if conn.Write(t.Context(), websocket.MessageBinary, frame) != nil {
					break
				}
			}
			closed := false
			for replied := false; !replied && !closed; {
				_, frame, err := conn.Read(t.Context())
				closed = err != nil
				if err == nil {
					h, _, err := wire.Split(frame)
					is.NoErr(err)
					replied = h.Type == wire.Reply
				}
			}
			is.Equal(closed, c.closed)
			if !closed {
				conn.CloseNow()
			}
			for memory.inUse() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}
