package retry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
)

func request(path string, idempotent bool, timeout time.Duration) *prim.Request {
	return &prim.Request{Service: "s", Class: "c", Path: path, Idempotent: idempotent, Deadline: time.Now().Add(timeout)}
}

var faults = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Frozen:    rapid.SampledFrom([]time.Duration{0, 0, 0, 80 * time.Millisecond, 3 * time.Second}).Draw(t, "frozen"),
		Refuse:    rapid.SampledFrom([]prim.Reason{0, 0, 0, prim.ReasonBusy, prim.ReasonLeaving}).Draw(t, "refuse"),
		Work:      time.Duration(rapid.IntRange(0, 60).Draw(t, "work")) * 1500 * time.Microsecond,
		LoseReply: rapid.IntRange(0, 5).Draw(t, "lose") == 0,
		Cut:       rapid.IntRange(0, 7).Draw(t, "cut") == 0,
		Restart:   rapid.IntRange(0, 5).Draw(t, "restart") == 0,
	}
})

// Guards against a request that is not idempotent running twice, NotRun for a
// request that ran, an answer to another request, an error before the deadline
// that is not Unknown, attempts beyond the budget, and reservations that stay.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scripts := rapid.SliceOfN(rapid.SliceOfN(faults, 1, 5), 2, 4).Draw(rt, "scripts")
		calls := rapid.SliceOfN(rapid.Bool(), 1, 30).Draw(rt, "idempotent")
		var problem error
		synctest.Test(t, func(t *testing.T) {
			names := []prim.HostName{"h0", "h1", "h2", "h3"}[:len(scripts)]
			w := newWorld(names...)
			for i, s := range scripts {
				w.scripts[names[i]] = s
			}
			c := w.caller(Config{Host: "h0", HedgeUnknown: 40 * time.Millisecond})
			began := time.Now()
			var wg sync.WaitGroup
			ends := make([]end, len(calls))
			for i, idempotent := range calls {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 7 * time.Millisecond)
					r := request(fmt.Sprint("/", i), idempotent, 2*time.Second)
					a, err := c.Do(t.Context(), r)
					ends[i] = end{r, a, err, time.Now()}
				})
			}
			wg.Wait()
			n, seconds := float64(len(calls)), time.Since(began).Seconds()
			// First attempts, retries and hedges may load servers; attempts
			// after a refusal have a budget of their own.
			servers := n*(1+0.2+0.05) + seconds + 12
			budget := servers + n + 20*seconds + 50
			time.Sleep(10 * time.Second) // frozen owners wake up
			synctest.Wait()
			for _, e := range ends {
				problem = errors.Join(problem, e.check(w.runs[e.r.Path]))
			}
			runs := 0
			for _, n := range w.runs {
				runs += n
			}
			if float64(runs) > servers || float64(w.attempts) > budget || w.reserved != 0 {
				problem = fmt.Errorf("%d runs of %.1f, %d attempts of %.1f, %d reservations left",
					runs, servers, w.attempts, budget, w.reserved)
			}
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

type end struct {
	r   *prim.Request
	a   *prim.Answer
	err error
	at  time.Time
}

func (e end) check(runs int) error {
	outcome, early := prim.OutcomeOf(e.err), e.at.Before(e.r.Deadline)
	switch {
	case runs > 1 && !e.r.Idempotent,
		outcome == prim.NotRun && runs > 0,
		outcome == prim.Done && string(e.a.Body) != e.r.Path,
		early && outcome == prim.NotRun,
		early && e.r.Idempotent && e.err != nil:
		return fmt.Errorf("%+v ran %d times, answer %v, error %v, early %v", e.r, runs, e.a, e.err, early)
	}
	return nil
}

// Guards against retries that amplify a total overload, and against errors
// before the deadline while they wait.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b", "c")
		for _, h := range []prim.HostName{"a", "b", "c"} {
			w.scripts[h] = []fault{{Refuse: prim.ReasonBusy}}
		}
		c := w.caller(Config{Queue: 200, RefusalShare: 0.2, RefusalFloor: 1, RefusalBurst: 10})
		const calls = 2000
		var wg sync.WaitGroup
		for i := range calls {
			time.Sleep(2 * time.Millisecond)
			wg.Go(func() {
				// The odd time keeps deadlines apart from the first attempts of
				// others, which let waiting requests go.
				r := request("/", i%2 == 0, time.Second+time.Microsecond)
				_, err := c.Do(t.Context(), r)
				is.Equal(prim.OutcomeOf(err), prim.NotRun)
				is.Equal(time.Now(), r.Deadline)
			})
		}
		wg.Wait()
		is.True(w.attempts > calls*1.1)           // the budget is used
		is.True(w.attempts <= calls*1.2+10+5*1+1) // share, burst, floor
	})
}

// Guards against requests that wait for a retry until their deadline while
// owners have room: one budget for all retries is used up when more than a fifth
// of the attempts is refused for a moment.
func TestRefusalsDoNotExhaustRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.scripts["a"] = []fault{{Refuse: prim.ReasonBusy}, {Work: time.Millisecond}}
		c := w.caller(Config{})
		var wg sync.WaitGroup
		for i := range 2000 {
			time.Sleep(2 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				_, err := c.Do(t.Context(), request(fmt.Sprint("/", i), i%2 == 0, 5*time.Second))
				is.NoErr(err)
				is.True(time.Since(began) < time.Second)
			})
		}
		wg.Wait()
	})
}

// Guards against a frozen owner that holds up a request, an idempotent one
// because no hedge is sent or another one because the reservation is not given
// up, and against losers that are not cancelled.
func TestFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		w.scripts["a"] = []fault{{Work: time.Hour}}
		c := w.caller(Config{HedgeUnknown: 20 * time.Millisecond})
		began := time.Now()
		_, err := c.Do(t.Context(), request("/1", true, 5*time.Second))
		is.NoErr(err)
		is.Equal(time.Since(began), 21*time.Millisecond)
		synctest.Wait()
		is.Equal(w.cancelled, 1)
		is.Equal(c.Pending("a"), 0)

		w.scripts["a"] = []fault{{Frozen: time.Hour}}
		began = time.Now()
		_, err = c.Do(t.Context(), request("/2", false, 5*time.Second))
		is.NoErr(err)
		is.Equal(time.Since(began), 50*time.Millisecond+2*DefaultCost+time.Millisecond)
		synctest.Wait()
		is.Equal(w.reserved, 0)
	})
}

// Guards against a frozen owner that uses up the retry budget, and against
// requests that leave the queues of busy owners when the budget is empty.
func TestSlowReservations(t *testing.T) {
	for _, slow := range []fault{{Frozen: time.Hour}, {Queue: 300 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld("a", "b")
			w.scripts["a"], w.stale = []fault{slow}, slow.Frozen > 0
			if slow.Queue > 0 {
				w.scripts["b"] = w.scripts["a"]
			}
			c := w.caller(Config{})
			var wg sync.WaitGroup
			for range 300 {
				time.Sleep(5 * time.Millisecond)
				wg.Go(func() {
					_, err := c.Do(t.Context(), request("/", false, 500*time.Millisecond))
					is.NoErr(err)
				})
			}
			wg.Wait()
			synctest.Wait()
			// A busy owner costs hedges only, once it has answered others.
			is.True(w.attempts <= map[bool]int{true: 350, false: 300*1.2 + 12}[slow.Queue > 0])
			is.Equal(w.reserved, 0)
		})
	}
}

// Guards against hedges beyond their share, and against requests that stay with
// a frozen owner when no hedge is left.
func TestHedgeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		w.scripts["a"] = []fault{{Work: 10 * time.Millisecond}, {Work: 300 * time.Millisecond}}
		w.scripts["b"] = w.scripts["a"]
		c := w.caller(Config{HedgeQuantile: 0.4})
		for range 200 {
			_, err := c.Do(t.Context(), request("/", true, time.Minute))
			is.NoErr(err)
		}
		is.True(w.hedges > 5)
		is.True(w.hedges <= 200/20+1)

		w.scripts["a"] = []fault{{Work: time.Hour}}
		w.scripts["b"] = nil
		for range 20 {
			_, err := c.Do(t.Context(), request("/", true, time.Minute))
			is.NoErr(err)
		}
	})
}

// Guards against a retry going to a request with a later deadline or to one
// whose backoff has not passed, and against more waiting requests than allowed.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(10)
		at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
		deadlines := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 0, 12, rapid.ID).Draw(t, "deadlines")
		var all []*waiter
		for _, d := range deadlines {
			all = append(all, &waiter{deadline: at(d), after: at(d % 10), released: make(chan struct{})})
			if !q.push(all[len(all)-1]) {
				all = all[:10]
			}
		}
		if q.len() > 10 || q.len() != len(all) {
			t.Fatalf("%d of %d wait", q.len(), len(deadlines))
		}
		now, tokens := rapid.IntRange(0, 10).Draw(t, "now"), rapid.IntRange(0, 12).Draw(t, "tokens")
		q.release(at(now), budget.New(0, 0, float64(tokens)))
		slices.SortFunc(all, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) })
		for _, w := range all {
			want := !w.after.After(at(now)) && tokens > 0
			if want {
				tokens--
			}
			if released := w.in == nil; released != want {
				t.Fatalf("deadline %v: released is %v", w.deadline, released)
			}
		}
	})
}

// Guards against a streamed answer that is cut because its attempt was ended,
// and against an attempt that never ends.
func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a")
		w.scripts["a"] = []fault{{Stream: true}}
		c := w.caller(Config{})
		for _, idempotent := range []bool{true, false} {
			a, err := c.Do(t.Context(), request("/", idempotent, time.Minute))
			is.NoErr(err)
			_, err = a.Rest.Read(nil)
			is.Equal(err.Error(), "EOF")
			is.Equal(c.Pending("a"), 1)
			a.Rest.Close()
			is.Equal(c.Pending("a"), 0)
		}
	})
}

// Guards against a busy or leaving own server being preferred, a free one being
// passed over, and a host found unreachable being used while others are there.
func TestChoose(t *testing.T) {
	is := is.New(t)
	w := newWorld("a", "b", "own")
	w.down["a"] = true
	k := &call{caller: w.caller(Config{Host: "own"}), request: &prim.Request{Service: "s"}}
	w.sample = prim.Sample{InFlight: 1, Limit: 2}
	is.Equal(k.choose(nil).Name, prim.HostName("own"))
	w.sample = prim.Sample{InFlight: 2, Limit: 2}
	is.Equal(k.choose(nil).Name, prim.HostName("b"))
	w.sample = prim.Sample{Limit: 2, Leaving: true}
	is.Equal(k.choose(nil).Name, prim.HostName("b"))
	is.Equal(k.choose([]prim.HostName{"b", "own"}).Name, prim.HostName("a"))
}

// Guards against an error before the deadline while no host is in service, and
// against a caller that has gone away being told anything but NotRun.
func TestNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		c := w.caller(Config{})
		time.AfterFunc(time.Second, func() {
			w.mu.Lock()
			w.view = newWorld("a").view
			w.mu.Unlock()
			close(w.changed)
		})
		_, err := c.Do(t.Context(), request("/", false, 2*time.Second))
		is.NoErr(err)
		w = newWorld()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = w.caller(Config{}).Do(ctx, request("/", true, 2*time.Second))
		var refusal *prim.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, prim.ReasonNoHost)
	})
}

// Guards against an error of one failing server that reaches a caller although
// another server could answer, against repeating a request that is not
// idempotent because of its answer, and against retries that multiply the load
// when every server fails.
func TestFailureStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		w.scripts["a"] = []fault{{Status: 500}}
		c := w.caller(Config{})
		for range 40 {
			a, err := c.Do(t.Context(), request("/read", true, time.Second))
			is.NoErr(err)
			is.Equal(a.Status, 200)
			time.Sleep(time.Second) // the floor of the budget pays
		}
		w.scripts["b"] = w.scripts["a"]
		a, err := c.Do(t.Context(), request("/write", false, time.Second))
		is.NoErr(err)
		is.Equal(a.Status, 500)
		is.Equal(w.runs["/write"], 1)

		before := w.attempts
		const calls = 1000
		for range calls {
			a, err := c.Do(t.Context(), request("/all fail", true, time.Second))
			is.NoErr(err)
			is.Equal(a.Status, 500)
		}
		is.True(w.attempts-before <= calls*1.2+12)
	})
}
