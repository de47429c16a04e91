package peers_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/memory"
	"github.com/primrosethread/primrosethread/peers"
)

// Guards against copies of frames without a bound at a node whose server is slower than the
// links: what does not fit in is refused and has not run, the link stays usable for control
// messages, and the memory is returned.
func TestFramesAreAccountedFor(t *testing.T) {
	is := is.New(t)
	const bodyBytes, calls = 256 << 10, 60
	budget := memory.New(memory.Config{Bytes: 10 << 20}) // 5.5 MiB for clients
	f := newFleet()
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	var running atomic.Int64
	config := peers.Config{
		Self: "b", Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Memory: budget,
		Local: &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
			running.Add(1)
			defer running.Add(-1)
			<-release
			return echo(ctx, r)
		}},
	}
	b, err := peers.New(config)
	is.NoErr(err)
	s := httptest.NewServer(b.Handler())
	t.Cleanup(func() {
		releaseAll()
		b.Close()
		s.Close()
	})
	f.addrs["b"] = netip.MustParseAddrPort(s.Listener.Addr().String())
	a := f.start(t, "a", key, nil)
	results := make(chan error, calls)
	for range calls {
		go func() {
			r := request("/x")
			r.Body = make([]byte, bodyBytes)
			_, err := a.Owner("b").Dispatch(t.Context(), r)
			results <- err
		}()
	}
	refused := 0
	for refused+int(running.Load()) < calls {
		select {
		case err := <-results:
			var refusal *prim.RefusalError
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Reason, prim.ReasonBusy)
			is.Equal(prim.OutcomeOf(err), prim.NotRun)
			refused++
		case <-time.After(10 * time.Millisecond):
		}
		status := budget.Status()
		is.True(status.Reserved <= status.Limit)
	}
	is.True(running.Load() >= 15) // 5.5 MiB hold 21
	is.True(refused >= calls-22)
	_, err = a.Ask(t.Context(), "b", prim.Message{Kind: peers.KindPing})
	is.NoErr(err)
	releaseAll()
	for range calls - refused {
		is.NoErr(<-results)
	}
	for budget.Status().Reserved > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against refusing a frame for which there is memory a moment later.
func TestFrameWaitsForMemory(t *testing.T) {
	is := is.New(t)
	budget := memory.New(memory.Config{Bytes: 10 << 20})
	f := newFleet()
	b, err := peers.New(peers.Config{Self: "b", Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Memory: budget, Local: &fakeOwner{run: echo}})
	is.NoErr(err)
	s := httptest.NewServer(b.Handler())
	t.Cleanup(func() {
		b.Close()
		s.Close()
	})
	f.addrs["b"] = netip.MustParseAddrPort(s.Listener.Addr().String())
	a := f.start(t, "a", key, nil)
	_, err = a.Owner("b").Dispatch(t.Context(), request("/x")) // opens the link
	is.NoErr(err)
	taken := int(budget.Status().Limit)
	is.True(budget.Reserve(taken))
	released := make(chan struct{})
	go func() {
		defer close(released)
		for b.Status().WaitedForMemory == 0 {
			time.Sleep(time.Millisecond)
		}
		budget.Release(taken)
	}()
	_, err = a.Owner("b").Dispatch(t.Context(), request("/x"))
	is.NoErr(err)
	<-released
}

// Guards against frames with many header fields that are charged by their bytes alone: each
// takes some twenty times as much at a node that waits for its server.
func TestFieldsOfFramesAreCharged(t *testing.T) {
	is := is.New(t)
	const fields, calls = 1000, 40
	budget := memory.New(memory.Config{Bytes: 10 << 20}) // 5.5 MiB for clients
	f := newFleet()
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	var running atomic.Int64
	b, err := peers.New(peers.Config{
		Self: "b", Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Memory: budget,
		Local: &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
			running.Add(1)
			<-release
			return echo(ctx, r)
		}},
	})
	is.NoErr(err)
	s := httptest.NewServer(b.Handler())
	t.Cleanup(func() {
		releaseAll()
		b.Close()
		s.Close()
	})
	f.addrs["b"] = netip.MustParseAddrPort(s.Listener.Addr().String())
	a := f.start(t, "a", key, nil)
	results := make(chan error, calls)
	for range calls {
		go func() {
			r := request("/x")
			r.Header = make(http.Header)
			for i := range fields {
				r.Header[fmt.Sprintf("X%d", i)] = []string{"1"}
			}
			_, err := a.Owner("b").Dispatch(t.Context(), r)
			results <- err
		}()
	}
	refused := 0
	for refused+int(running.Load()) < calls {
		select {
		case err := <-results:
			is.Equal(prim.OutcomeOf(err), prim.NotRun)
			refused++
		case <-time.After(10 * time.Millisecond):
		}
	}
	is.True(refused > 0)
	is.True(running.Load() > 0)
	is.True(budget.Status().Reserved >= running.Load()*int64(prim.RequestCost(0, fields)))
	releaseAll()
	for range calls - refused {
		is.NoErr(<-results)
	}
	for budget.Status().Reserved > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against answers of other nodes with many header fields that are charged by their bytes or
// not at all, and against a charge that is kept after the answer has been passed on, dropped or
// refused.
func TestFieldsOfAnswersAreCharged(t *testing.T) {
	is := is.New(t)
	const fields, calls = 1000, 30
	cost := int64(prim.HeaderCost(0, fields))
	f := newFleet()
	f.start(t, "b", key, &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
		a := &prim.Answer{Status: http.StatusOK, Header: make(http.Header)}
		if r.Path == "/many" {
			for i := range fields {
				a.Header[fmt.Sprintf("X%d", i)] = []string{"1"}
			}
		}
		return a, nil
	}})
	budget := memory.New(memory.Config{Bytes: 10 << 20}) // 5.5 MiB for clients
	a, err := peers.New(peers.Config{Self: "a", Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Memory: budget})
	is.NoErr(err)
	t.Cleanup(a.Close)
	var held []*prim.Answer
	lost := 0
	for range calls {
		answer, err := a.Owner("b").Dispatch(t.Context(), request("/many"))
		if err != nil {
			is.Equal(prim.OutcomeOf(err), prim.Unknown) // it has run
			lost++
			continue
		}
		held = append(held, answer)
		is.True(budget.Status().Reserved >= int64(len(held))*cost)
	}
	is.True(len(held) > 10)
	is.Equal(a.Status().AnswersWithoutMemory, int64(lost))
	is.True(lost > 0)
	_, err = a.Owner("b").Dispatch(t.Context(), request("/few"))
	is.NoErr(err)
	for _, answer := range held[:len(held)/2] {
		answer.Drop()
	}
	held = nil // the others are collected
	for budget.Status().Reserved > 0 {
		runtime.GC()
	}
}

// Guards against memory that stays reserved for the frame of a call that is refused since too many
// are in progress.
func TestRefusedCallReturnsMemory(t *testing.T) {
	is := is.New(t)
	budget := memory.New(memory.Config{Bytes: 10 << 20})
	f := newFleet()
	entered, release := make(chan struct{}), make(chan struct{})
	b, err := peers.New(peers.Config{
		Self: "b", Instance: prim.NewInstance(), Key: key, Resolve: f.resolve, Memory: budget, MaxCalls: 1,
		Local: &fakeOwner{run: func(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
			close(entered)
			<-release
			return echo(ctx, r)
		}},
	})
	is.NoErr(err)
	s := httptest.NewServer(b.Handler())
	t.Cleanup(func() {
		b.Close()
		s.Close()
	})
	f.addrs["b"] = netip.MustParseAddrPort(s.Listener.Addr().String())
	a := f.start(t, "a", key, nil)
	first := make(chan error, 1)
	go func() {
		_, err := a.Owner("b").Dispatch(t.Context(), request("/first"))
		first <- err
	}()
	<-entered
	held := budget.Status().Reserved
	r := request("/second")
	r.Body = make([]byte, 64<<10)
	_, err = a.Owner("b").Dispatch(t.Context(), r)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.Equal(budget.Status().Reserved, held)
	close(release)
	is.NoErr(<-first)
}
