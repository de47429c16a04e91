package quota

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// fakeNetwork connects limiters in one process. It implements prim.Transport and
// prim.Documents for each of them.
type fakeNetwork struct {
	mu       *sync.Mutex
	handlers map[prim.HostName]map[prim.Kind]prim.Handler
	view     **prim.View
	self     prim.HostName
	delay    time.Duration
}

func (m fakeNetwork) Handle(k prim.Kind, h prim.Handler) {
	if m.handlers[m.self] == nil {
		m.handlers[m.self] = make(map[prim.Kind]prim.Handler)
	}
	m.handlers[m.self][k] = h
}

func (m fakeNetwork) Ask(ctx context.Context, to prim.HostName, x prim.Message) (prim.Message, error) {
	h := m.handlers[to][x.Kind]
	select {
	case <-time.After(m.delay):
	case <-ctx.Done():
		h = nil
	}
	if h == nil {
		return prim.Message{}, errors.New("unreachable")
	}
	return h(ctx, m.self, x)
}

func (m fakeNetwork) Tell(context.Context, prim.HostName, prim.Message) error { return nil }

func (m fakeNetwork) View() *prim.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.view
}

func (m fakeNetwork) Changed() <-chan struct{} { return nil }

// Guards against a first call that is refused although its customer has an
// allowance or that waits longer than one round trip, against later calls that
// wait, and against a stop that loses a slot or leaves a goroutine running.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old := epoch
		defer func() { epoch = old }()
		sim := newFleetSim(1, 2, quota{10, 10})
		start := sim.now
		now := func() time.Duration { return start + time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) }
		epoch = time.Now().Add(-start) // synctest has its own clock
		view := sim.viewAt(start+time.Hour, start+time.Hour)
		m := fakeNetwork{mu: new(sync.Mutex), handlers: make(map[prim.HostName]map[prim.Kind]prim.Handler), view: &view, delay: 10 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		var limiters []*AllowanceLimiter
		var ends []<-chan error
		for i := range 3 { // the last one owns no slot
			c := Config{Self: "ingress", DataCentre: "d", Instance: prim.Instance(i + 1), Timing: testTiming}
			c.Address = sim.entries[0].address
			if i < 2 {
				c.Self, c.Address = sim.entries[i].name, sim.entries[i].address
			}
			m.self = c.Self
			c.Transport, c.Documents = m, m
			s, err := New(c)
			is.NoErr(err)
			limiters, ends = append(limiters, s), append(ends, s.Run(ctx))
		}
		time.Sleep(3 * time.Second)
		began := time.Now()
		is.NoErr(limiters[2].Take(ctx, "c", "s"))
		is.Equal(time.Since(began), m.delay)
		synctest.Wait() // the other owners respond at the same time
		began = time.Now()
		granted := 1
		for ; limiters[2].Take(ctx, "c", "s") == nil; granted++ {
		}
		var over *prim.AllowanceExceededError
		is.True(errors.As(limiters[2].Take(ctx, "c", "s"), &over))
		is.True(over.RetryAfter > 0)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(granted <= 10)
		st := limiters[2].Status()
		is.Equal(len(st), 1)
		is.Equal(st[0].Used, uint64(granted))
		is.True(st[0].Refused == 2 && st[0].LeasedRate > 0 && st[0].Owners > 0)

		sim.entries[0].leaving = now() + time.Second
		m.mu.Lock()
		view = sim.viewAt(start+time.Hour, start+time.Hour)
		m.mu.Unlock()
		time.Sleep(time.Second)
		is.NoErr(limiters[0].HandOver(ctx))
		time.Sleep(3 * time.Second)
		is.Equal(limiters[0].Usage().Held, 0)
		is.Equal(limiters[1].Usage().Usable, 2)

		// If no owner is reachable, a new customer waits once, for Config.Wait.
		delete(m.handlers, "h0")
		delete(m.handlers, "h1")
		time.Sleep(10 * time.Second)
		began = time.Now()
		is.True(limiters[2].Take(ctx, "c", "s") != nil)
		is.True(time.Since(began) <= 200*time.Millisecond)
		is.True(limiters[2].Take(ctx, "nobody", "s") != nil)
		cancel()
		for _, end := range ends {
			is.NoErr(<-end)
		}
	})
}
