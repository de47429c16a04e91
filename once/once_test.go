package once

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

func request(key string, created time.Time, timeout time.Duration) *prim.Request {
	return &prim.Request{Service: "s", Method: "POST", Path: "/deposits", Key: key, KeyCreated: created, Deadline: time.Now().Add(timeout)}
}

// scenario is generated. Its times are in units after the start; of some, 0 is never.
type scenario struct {
	Skew                 int   // of the platform's clock
	Lags, Added, Removed []int // of host lists and hosts
	Stops, Restarts      []int // by host; a stop is planned, with a hand-over
	Parted               []int // from when an ingress node cannot reach a host, by both
	Faults               []fault
	Keys                 []keyUse
}

type keyUse struct {
	Skew     int // of the caller's clock
	Attempts []attempt
}

type attempt struct {
	At, Ingress int
	Undated     bool
}

var faults = rapid.Custom(func(t *rapid.T) fault {
	rare := func(name string, n int) bool { return rapid.IntRange(0, n).Draw(t, name) == n }
	return fault{
		Delay:     time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 300, 2500}).Draw(t, "delay")) * time.Millisecond,
		Cut:       rare("cut", 6),
		LoseReply: rare("lose", 4),
		Busy:      rare("busy", 3),
		Dies:      rare("dies", 6),
		Work:      time.Duration(rapid.SampledFrom([]int{0, 20, 1500}).Draw(t, "work")) * time.Millisecond,
	}
})

const unit = 250 * time.Millisecond

// The window and the margins in units. Changes are drawn close to the moment
// from which they count and from which nodes with the oldest permitted list know
// of them, since that is where views differ.
const window, margin, ahead = int(KeyWindow / unit), int(ClockMargin / unit), int(KeyMargin / unit)

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	few := rapid.IntRange
	change := rapid.Custom(func(t *rapid.T) int {
		return few(-12, 24).Draw(t, "near") + rapid.SampledFrom([]int{0, -window, -window - margin, -window - margin}).Draw(t, "far")
	})
	event := rapid.OneOf(rapid.Just(0), few(1, 30))
	return scenario{
		Skew:     few(-200, 200).Draw(t, "skew"),
		Lags:     rapid.SliceOfN(rapid.SampledFrom([]int{0, 12, window - 1, window - 1, window - 1, window + margin + 20}), 5, 5).Draw(t, "lags"),
		Added:    rapid.SliceOfN(change, 0, 2).Draw(t, "added"),
		Removed:  rapid.SliceOfN(change, 0, 2).Draw(t, "removed"),
		Stops:    rapid.SliceOfN(event, 2, 2).Draw(t, "stops"),
		Restarts: rapid.SliceOfN(event, 3, 3).Draw(t, "restarts"),
		Parted:   rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 20, 300}), 9, 9).Draw(t, "parted"),
		Faults:   rapid.SliceOfN(faults, 1, 12).Draw(t, "faults"),
		Keys: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyUse {
			return keyUse{
				Skew: rapid.SampledFrom([]int{0, -2, 4, ahead, 32, -window / 3}).Draw(t, "skew"),
				Attempts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) attempt {
					return attempt{
						At:      few(0, 30).Draw(t, "at") + rapid.SampledFrom([]int{0, 0, 0, window/2 - 20, window - 8}).Draw(t, "later"),
						Ingress: few(0, 2).Draw(t, "ingress"),
						Undated: few(0, 4).Draw(t, "undated") == 0,
					}
				}), 1, 4).Draw(t, "attempts"),
			}
		}), 4, 12).Draw(t, "keys"),
	}
})

// Guards against a key that runs twice: after a lost answer, through an ingress
// node with another host list, after a restart, a removal or a hand-over, when
// an owner wakes up late, and when clocks differ. Also against NotRun for a key
// that ran, and against the answer of another key.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarios.Draw(rt, "scenario")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = s.run(t) })
		if problems != nil {
			rt.Fatal(strings.Join(problems, "; "))
		}
	})
}

func (s *scenario) run(t *testing.T) (problems []string) {
	time.Sleep(100 * time.Hour) // room for times before the start
	start := time.Now()
	after := func(units int) time.Time { return start.Add(time.Duration(units) * unit) }
	w := newWorld("a", "b", "c")
	w.skew, w.faults = time.Duration(s.Skew)*unit, s.Faults
	for i, at := range s.Added {
		h := prim.HostName(fmt.Sprint("added", i))
		w.hosts[h] = &machine{since: after(at)}
		w.start(h, after(at))
	}
	for i, at := range s.Removed {
		w.hosts[prim.HostName("ab"[i:i+1])].until = after(at)
	}
	w.parted = func(ingress, h prim.HostName) bool {
		i := 3*int(ingress[1]-'0') + int(h[0]-'a')
		return len(h) == 1 && s.Parted[i] > 0 && !time.Now().Before(after(s.Parted[i]))
	}
	// The oldest list that a node may use, by its own clock.
	for i, n := range []prim.HostName{"x0", "x1", "x2", "a", "added0"} {
		if w.lags[n] = time.Duration(s.Lags[i]) * unit; s.Lags[i] > 12 {
			w.lags[n] += w.skew
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, at := range append(s.Restarts, s.Stops...) {
		if at == 0 {
			continue
		}
		h := prim.HostName("abc"[i%3 : i%3+1])
		m := w.hosts[h]
		if i >= 3 {
			w.mu.Lock()
			if at%4 > 0 { // else a planned restart
				m.leaving = after(at)
			}
			if at%4 > 1 && m.until.IsZero() {
				m.until = after(at + 16)
			}
			w.mu.Unlock()
			at += at % 8 // when it learns that it leaves
		}
		wg.Go(func() {
			time.Sleep(time.Until(after(at)))
			if i < 3 {
				w.start(h, time.Now())
				return
			}
			w.mu.Lock()
			owner, instance := m.owner, m.instance
			w.mu.Unlock()
			c, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			owner.HandOver(c)
			w.mu.Lock()
			m.down = m.down || m.instance == instance
			w.mu.Unlock()
		})
	}
	var notRun []string
	for i, k := range s.Keys {
		first := k.Attempts[0].At
		for _, a := range k.Attempts {
			first = min(first, a.At)
		}
		for j, a := range k.Attempts {
			// More is not promised for undated keys, see the package comment.
			if a.Undated && (a.At > first+min(k.Skew, 0)+window/2 || k.Skew > ahead) {
				continue
			}
			wg.Go(func() {
				time.Sleep(time.Until(after(a.At)))
				r := request(fmt.Sprint("key", i), after(first+k.Skew), 4*time.Second)
				r.Header = http.Header{"Attempt": {fmt.Sprint(i, ".", j)}}
				if a.Undated {
					r.KeyCreated = time.Time{}
				}
				answer, err := w.walker(prim.HostName(fmt.Sprint("x", a.Ingress))).Do(ctx, r)
				w.mu.Lock()
				defer w.mu.Unlock()
				runs := w.runs[r.Key]
				switch {
				case prim.OutcomeOf(err) == prim.NotRun:
					notRun = append(notRun, r.Header.Get("Attempt"))
					if runs > 0 {
						problems = append(problems, fmt.Sprintf("%s at %d: NotRun after it ran: %v", r.Key, a.At, err))
					}
				case err == nil && string(answer.Body) != r.Key+" run 1":
					problems = append(problems, fmt.Sprintf("%s got %q", r.Key, answer.Body))
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Minute) // delayed frames arrive
	cancel()
	synctest.Wait()
	for _, a := range notRun {
		if w.ran[a] {
			problems = append(problems, "attempt "+a+" ran after NotRun")
		}
	}
	for k, n := range w.runs {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times", k, n))
		}
	}
	return problems
}

// order of a key's candidates, for tests that need to know it.
func (w *world) candidates(r *prim.Request) (names []prim.HostName) {
	hosts, _ := order((&documents{w, "x"}).View(), idOf(r), r.KeyCreated, time.Now())
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return names
}

// begins lengthens the key of a request until its first candidate is h.
func (w *world) begins(r *prim.Request, h prim.HostName) *prim.Request {
	for w.candidates(r)[0] != h {
		r.Key += r.Key[:1]
	}
	return r
}

// Guards against a second request that does not wait for the first one's answer,
// against the loss of a record because its caller went away, against an answer
// for other content, and against a lookup that runs the request.
func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b", "c")
		w.faults = []fault{{Work: time.Second}}
		r := request("k", time.Now(), 10*time.Second)
		lookup := *r
		lookup.Lookup = true
		_, err := w.walker("x").Do(t.Context(), &lookup)
		is.Equal(err.(*prim.Refusal).Reason, prim.ReasonNoRecord)

		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		go w.walker("x").Do(ctx, r)
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		for _, q := range []*prim.Request{r, &lookup, r} {
			a, err := w.walker("y").Do(t.Context(), q)
			is.NoErr(err)
			is.Equal(string(a.Body), "k run 1")
			is.Equal(time.Since(began), 500*time.Millisecond)
		}
		other := *r
		other.Body = []byte("x")
		_, err = w.walker("y").Do(t.Context(), &other)
		is.Equal(err.(*prim.KeyConflict).Key, "k")
		stranger := *r
		stranger.Customer = "c"
		_, err = w.walker("y").Do(t.Context(), &stranger)
		is.NoErr(err)
		is.Equal(w.runs["k"], 2)
	})
}

// Guards against an error before the deadline while the last candidate is only
// busy, and against NotRun while an earlier attempt may still run.
func TestBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b")
		for range 40 {
			w.faults = append(w.faults, fault{Busy: true})
		}
		w.faults = append(w.faults, fault{}, fault{})
		_, err := w.walker("x").Do(t.Context(), request("k", time.Now(), 10*time.Second))
		is.NoErr(err)
		w.faults = w.faults[:1]
		r := request("l", time.Now(), time.Second)
		_, err = w.walker("x").Do(t.Context(), r)
		is.Equal(err.(*prim.Refusal).Reason, prim.ReasonBusy)
		is.Equal(time.Now(), r.Deadline)

		// The first frame arrives after the deadline, so busy does not mean
		// that the request will not run.
		w = newWorld("a")
		w.faults = append([]fault{{Cut: true, Delay: 2 * time.Second}}, slices.Repeat([]fault{{Busy: true}}, 500)...)
		_, err = w.walker("x").Do(t.Context(), request("m", time.Now(), time.Second))
		is.Equal(prim.OutcomeOf(err), prim.Unknown)
		time.Sleep(5 * time.Second)
	})
}

// Guards against records that are lost in a planned stop, and against keys that
// end as Unknown although the stopped host left its tombstone or retired.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b", "c")
		r := request("k", time.Now(), 10*time.Second)
		_, err := w.walker("x").Do(t.Context(), r)
		is.NoErr(err)
		first := w.candidates(r)[0]
		// Undated, since retirement does not help such keys.
		passed := w.begins(request("l", time.Time{}, 10*time.Second), first)
		w.faults = []fault{{}, {Busy: true}}
		_, err = w.Owner(first).Dispatch(t.Context(), passed)
		is.Equal(err.(*prim.Refusal).Reason, prim.ReasonTombstone)
		w.faults = nil

		slow := w.begins(request("m", time.Now(), 10*time.Second), first)
		w.faults = []fault{{Work: time.Second}}
		go w.walker("x").Do(t.Context(), slow)
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		w.hosts[first].leaving = time.Now()
		w.mu.Unlock()
		is.NoErr(w.hosts[first].owner.HandOver(t.Context()))
		w.hosts[first].down = true
		_, err = w.hosts[first].owner.Dispatch(t.Context(), request("n", time.Now(), time.Second))
		is.Equal(err.(*prim.Refusal).Host, first)
		is.Equal(w.runs["n"], 0)
		b, err := w.walker("y").Do(t.Context(), slow)
		is.NoErr(err)
		is.Equal(string(b.Body), slow.Key+" run 1")
		a, err := w.walker("y").Do(t.Context(), r)
		is.NoErr(err)
		is.Equal(string(a.Body), "k run 1")
		_, err = w.walker("y").Do(t.Context(), passed)
		is.NoErr(err)
		is.Equal(w.runs[passed.Key], 1)

		w.hosts[first].until = time.Now()
		_, err = w.walker("y").Do(t.Context(), w.begins(request("o", time.Now(), 10*time.Second), first))
		is.NoErr(err)
	})
}

// Guards against a restarted host that runs what it has forgotten, and against a
// walk that ends there although the others know what became of the key.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld("a", "b", "c")
		ran := request("k", time.Now(), 10*time.Second)
		passed := w.begins(request("l", time.Now(), 10*time.Second), w.candidates(ran)[0])
		_, err := w.walker("x").Do(t.Context(), ran)
		is.NoErr(err)
		w.faults = []fault{{}, {Busy: true}}
		for _, h := range w.candidates(passed)[:2] {
			w.Owner(h).Dispatch(t.Context(), passed)
		}
		w.faults = nil
		w.start(w.candidates(ran)[0], time.Now())
		_, err = w.walker("x").Do(t.Context(), ran)
		is.Equal(prim.OutcomeOf(err), prim.Unknown)
		_, err = w.walker("x").Do(t.Context(), passed)
		is.NoErr(err)

		// A planned restart: what runs after the hand-over would be forgotten.
		owner := w.hosts[w.candidates(ran)[1]].owner
		is.NoErr(owner.HandOver(t.Context()))
		_, err = owner.Dispatch(t.Context(), request("n", time.Now(), time.Second))
		is.Equal(prim.OutcomeOf(err), prim.NotRun)
	})
}

// Guards against records that are evicted before their time, that stay after it,
// that exceed their bytes, or whose answers are dropped together with them.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, now, made := newTable(20_000), time.Unix(1e9, 0), map[id]time.Time{}
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 4000), 1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(n) * time.Second / 4)
			k := id{Key: fmt.Sprint(i)}
			if e := tb.add(k, now, now); e != nil {
				made[k] = now
				tb.finish(e, done, &prim.Answer{Body: make([]byte, n)})
			} else if tb.bytes < tb.limit-2*entrySize {
				rt.Fatal("refused with room left")
			}
			for k, c := range made {
				if e, age := tb.find(k, now), now.Sub(c); e == nil && age <= KeyWindow || e != nil && age > KeyWindow+time.Minute {
					rt.Fatalf("entry %v of age %v", e != nil, age)
				}
			}
			if tb.bytes > tb.limit {
				rt.Fatal("over the limit")
			}
		}
	})
}

// Guards against more records than the bytes allow, against a tombstone for a
// key that was refused for lack of memory, and against a run after that.
func TestFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.bytes = 2 * (entrySize + 10)
		w.hosts["a"] = &machine{since: w.founded}
		w.start("a", w.founded)
		for i, want := range []error{nil, nil, &prim.Refusal{Reason: prim.ReasonFull, Host: "a", Sample: prim.Sample{Host: "a"}}} {
			_, err := w.walker("x").Do(t.Context(), request(fmt.Sprint(i), time.Now(), time.Second))
			is.Equal(err, want)
		}
		time.Sleep(KeyWindow + 2*KeyMargin)
		_, err := w.walker("x").Do(t.Context(), request("2", time.Now(), time.Second))
		is.NoErr(err)
	})
}

// Guards against a creation time read from a key that is not a UUIDv7.
func TestCreated(t *testing.T) {
	is := is.New(t)
	is.Equal(Created("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", ""), time.UnixMilli(0x17F22E279B0)) // RFC 9562, appendix A.6
	is.True(Created("919108f7-52d1-4320-9bac-f847db4148a8", "").IsZero())
	is.Equal(Created("order-7", "2026-12-04T06:00:00Z"), time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))
}
