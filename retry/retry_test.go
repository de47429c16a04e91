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
		Frozen:      rapid.SampledFrom([]time.Duration{0, 0, 0, 80 * time.Millisecond, 3 * time.Second}).Draw(t, "frozen"),
		Refuse:      rapid.SampledFrom([]prim.Reason{0, 0, 0, prim.ReasonBusy, prim.ReasonLeaving}).Draw(t, "refuse"),
		Work:        time.Duration(rapid.IntRange(0, 60).Draw(t, "work")) * 1500 * time.Microsecond,
		LoseReply:   rapid.IntRange(0, 5).Draw(t, "lose reply") == 0,
		LoseRequest: rapid.IntRange(0, 7).Draw(t, "lose request") == 0,
		Restart:     rapid.IntRange(0, 5).Draw(t, "restart") == 0,
	}
})

// Checks random faults. Guards against a request that is not idempotent running
// twice, NotRun for a request that ran, the answer to another request, NotRun
// before the deadline, any error before the deadline for an idempotent request,
// more attempts than the budgets permit, and leaked reservations.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scripts := rapid.SliceOfN(rapid.SliceOfN(faults, 1, 5), 2, 4).Draw(rt, "scripts")
		calls := rapid.SliceOfN(rapid.Bool(), 1, 30).Draw(rt, "idempotent")
		var problem error
		synctest.Test(t, func(t *testing.T) {
			names := []prim.HostName{"h0", "h1", "h2", "h3"}[:len(scripts)]
			fleet := newFakeFleet(names...)
			for i, s := range scripts {
				fleet.scripts[names[i]] = s
			}
			c := fleet.caller(Config{Host: "h0", HedgeInitialDelay: 40 * time.Millisecond})
			began := time.Now()
			var wg sync.WaitGroup
			ends := make([]callResult, len(calls))
			for i, idempotent := range calls {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 7 * time.Millisecond)
					r := request(fmt.Sprint("/", i), idempotent, 2*time.Second)
					a, err := c.Do(t.Context(), r)
					ends[i] = callResult{r, a, err, time.Now()}
				})
			}
			wg.Wait()
			n, seconds := float64(len(calls)), time.Since(began).Seconds()
			// First attempts, retries and hedges may load servers; attempts after a
			// refusal have a separate budget.
			maxRuns := n*(1+0.2+0.05) + seconds + 12
			maxAttempts := maxRuns + n + 20*seconds + 50
			time.Sleep(10 * time.Second) // frozen owners resume
			synctest.Wait()
			for _, e := range ends {
				problem = errors.Join(problem, e.check(fleet.runs[e.r.Path]))
			}
			runs := 0
			for _, n := range fleet.runs {
				runs += n
			}
			if float64(runs) > maxRuns || float64(fleet.attempts) > maxAttempts || fleet.reserved != 0 {
				problem = fmt.Errorf("%d runs of %.1f, %d attempts of %.1f, %d reservations left",
					runs, maxRuns, fleet.attempts, maxAttempts, fleet.reserved)
			}
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
}

type callResult struct {
	r   *prim.Request
	a   *prim.Answer
	err error
	at  time.Time
}

func (e callResult) check(runs int) error {
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

// Guards against retries that amplify a total overload, and against errors before
// the deadline of requests that wait for a retry.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet("a", "b", "c")
		for _, h := range []prim.HostName{"a", "b", "c"} {
			fleet.scripts[h] = []fault{{Refuse: prim.ReasonBusy}}
		}
		c := fleet.caller(Config{Queue: 200, RefusalShare: 0.2, RefusalFloor: 1, RefusalBurst: 10})
		const calls = 2000
		var wg sync.WaitGroup
		for i := range calls {
			time.Sleep(2 * time.Millisecond)
			wg.Go(func() {
				// The extra microsecond keeps deadlines from coinciding with first
				// attempts of other requests, which release waiting requests.
				r := request("/", i%2 == 0, time.Second+time.Microsecond)
				_, err := c.Do(t.Context(), r)
				is.Equal(prim.OutcomeOf(err), prim.NotRun)
				is.Equal(time.Now(), r.Deadline)
			})
		}
		wg.Wait()
		is.True(fleet.attempts > calls*1.1)           // retries are made
		is.True(fleet.attempts <= calls*1.2+10+5*1+1) // share, burst, floor
	})
}

// Guards against requests that wait for a retry until their deadline while owners
// have room. With one budget for all retries this happens when more than a fifth of
// the attempts are refused for a moment.
func TestRefusalsDoNotExhaustRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet("a")
		fleet.scripts["a"] = []fault{{Refuse: prim.ReasonBusy}, {Work: time.Millisecond}}
		c := fleet.caller(Config{})
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

// Guards against a frozen owner that delays a request, because an idempotent one is
// not hedged or another one gets no second reservation, and against losing attempts
// that are not cancelled.
func TestFrozenOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet("a", "b")
		fleet.scripts["a"] = []fault{{Work: time.Hour}}
		c := fleet.caller(Config{HedgeInitialDelay: 20 * time.Millisecond})
		began := time.Now()
		_, err := c.Do(t.Context(), request("/1", true, 5*time.Second))
		is.NoErr(err)
		is.Equal(time.Since(began), 21*time.Millisecond)
		synctest.Wait()
		is.Equal(fleet.cancelled, 1)
		is.Equal(c.Pending("a"), 0)

		fleet.scripts["a"] = []fault{{Frozen: time.Hour}}
		began = time.Now()
		_, err = c.Do(t.Context(), request("/2", false, 5*time.Second))
		is.NoErr(err)
		is.Equal(time.Since(began), 50*time.Millisecond+2*DefaultCost+time.Millisecond)
		synctest.Wait()
		is.Equal(fleet.reserved, 0)
	})
}

// Guards against a frozen owner that uses up the retry budget, and against requests
// that leave the queues of busy owners when the budget is empty.
func TestSlowReservations(t *testing.T) {
	for _, slow := range []fault{{Frozen: time.Hour}, {Queue: 300 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := newFakeFleet("a", "b")
			fleet.scripts["a"], fleet.pickFirst = []fault{slow}, slow.Frozen > 0
			if slow.Queue > 0 {
				fleet.scripts["b"] = fleet.scripts["a"]
			}
			c := fleet.caller(Config{})
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
			// Once a busy owner has answered other requests, it costs hedges only.
			is.True(fleet.attempts <= map[bool]int{true: 350, false: 300*1.2 + 12}[slow.Queue > 0])
			is.Equal(fleet.reserved, 0)
		})
	}
}

// Guards against more hedges than their budget permits, and against requests that
// stay with a frozen owner when no hedge is left.
func TestHedgeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet("a", "b")
		fleet.scripts["a"] = []fault{{Work: 10 * time.Millisecond}, {Work: 300 * time.Millisecond}}
		fleet.scripts["b"] = fleet.scripts["a"]
		c := fleet.caller(Config{HedgeQuantile: 0.4})
		for range 200 {
			_, err := c.Do(t.Context(), request("/", true, time.Minute))
			is.NoErr(err)
		}
		is.True(fleet.hedges > 5)
		is.True(fleet.hedges <= 200/20+1)

		fleet.scripts["a"] = []fault{{Work: time.Hour}}
		fleet.scripts["b"] = nil
		for range 20 {
			_, err := c.Do(t.Context(), request("/", true, time.Minute))
			is.NoErr(err)
		}
	})
}

// Guards against a retry token going to a waiter with a later deadline or to one
// whose backoff has not passed, and against more waiters than the limit.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(10)
		at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
		deadlines := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 0, 12, rapid.ID).Draw(t, "deadlines")
		var all []*waiter
		for _, d := range deadlines {
			all = append(all, &waiter{deadline: at(d), backoffEnd: at(d % 10), released: make(chan struct{})})
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
			want := !w.backoffEnd.After(at(now)) && tokens > 0
			if want {
				tokens--
			}
			if released := w.memberOf == nil; released != want {
				t.Fatalf("deadline %v: released is %v", w.deadline, released)
			}
		}
	})
}

// Guards against a streamed answer that is cut off because its attempt's context
// was cancelled, and against an attempt that stays pending after the stream is
// closed.
func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet("a")
		fleet.scripts["a"] = []fault{{Stream: true}}
		c := fleet.caller(Config{})
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

// Guards against preferring the node's own server when it is busy or leaving, not
// preferring it when it has room, and using an unreachable host while others are
// left.
func TestChoose(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet("a", "b", "own")
	fleet.down["a"] = true
	k := &call{caller: fleet.caller(Config{Host: "own"}), request: &prim.Request{Service: "s"}}
	fleet.ownSample = prim.LoadSample{InFlight: 1, Limit: 2}
	is.Equal(k.choose(nil).Name, prim.HostName("own"))
	fleet.ownSample = prim.LoadSample{InFlight: 2, Limit: 2}
	is.Equal(k.choose(nil).Name, prim.HostName("b"))
	fleet.ownSample = prim.LoadSample{Limit: 2, Leaving: true}
	is.Equal(k.choose(nil).Name, prim.HostName("b"))
	is.Equal(k.choose([]prim.HostName{"b", "own"}).Name, prim.HostName("a"))
}

// Guards against an error before the deadline while no host is in service, and
// against an outcome other than NotRun for a request whose caller's context ended
// while it waited for a host.
func TestNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet()
		c := fleet.caller(Config{})
		time.AfterFunc(time.Second, func() {
			fleet.mu.Lock()
			fleet.view = newFakeFleet("a").view
			fleet.mu.Unlock()
			close(fleet.changed)
		})
		_, err := c.Do(t.Context(), request("/", false, 2*time.Second))
		is.NoErr(err)
		fleet = newFakeFleet()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = fleet.caller(Config{}).Do(ctx, request("/", true, 2*time.Second))
		var refusal *prim.RefusalError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, prim.ReasonNoHost)
	})
}

// Guards against returning the failure status of one server although another could
// answer, against repeating a request that is not idempotent because of its answer,
// and against retries that multiply the load when every server fails.
func TestFailureStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFakeFleet("a", "b")
		fleet.scripts["a"] = []fault{{Status: 500}}
		c := fleet.caller(Config{})
		for range 40 {
			a, err := c.Do(t.Context(), request("/read", true, time.Second))
			is.NoErr(err)
			is.Equal(a.Status, 200)
			time.Sleep(time.Second) // the floor of the budget refills it
		}
		fleet.scripts["b"] = fleet.scripts["a"]
		a, err := c.Do(t.Context(), request("/write", false, time.Second))
		is.NoErr(err)
		is.Equal(a.Status, 500)
		is.Equal(fleet.runs["/write"], 1)

		before := fleet.attempts
		const calls = 1000
		for range calls {
			a, err := c.Do(t.Context(), request("/all fail", true, time.Second))
			is.NoErr(err)
			is.Equal(a.Status, 500)
		}
		is.True(fleet.attempts-before <= calls*1.2+12)
	})
}
