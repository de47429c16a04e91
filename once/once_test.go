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

// scenario is a generated input of TestAtMostOnce. Its times are in units of timeUnit
// after the start; for Stops, Restarts and Unreachable, 0 means never.
type scenario struct {
	PlatformSkew             int   // error of the platform's clock
	ListAges, Added, Removed []int // ages of host lists; times in the host list
	Stops, Restarts          []int // by host; stops are planned and include a hand-over
	Unreachable              []int // by ingress node and host: from when the link is down
	Faults                   []fault
	Keys                     []keyUse
}

type keyUse struct {
	CallerSkew int // error of the caller's clock
	Attempts   []keyAttempt
}

type keyAttempt struct {
	At, Ingress int
	Undated     bool
}

var faultGen = rapid.Custom(func(t *rapid.T) fault {
	rarely := func(name string, n int) bool { return rapid.IntRange(0, n).Draw(t, name) == n }
	return fault{
		Delay:       time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 300, 2500}).Draw(t, "delay")) * time.Millisecond,
		LinkBreaks:  rarely("link breaks", 6),
		LoseReply:   rarely("lose reply", 4),
		Busy:        rarely("busy", 3),
		OutcomeLost: rarely("outcome lost", 6),
		RunTime:     time.Duration(rapid.SampledFrom([]int{0, 20, 1500}).Draw(t, "run time")) * time.Millisecond,
	}
})

const timeUnit = 250 * time.Millisecond

// Window and margins in units. Changes of the host list are generated close to when
// they take effect and to when nodes with the oldest permitted list learn of them,
// because that is where the views of nodes differ.
const windowUnits, marginUnits, aheadUnits = int(KeyWindow / timeUnit), int(ClockMargin / timeUnit), int(KeyMargin / timeUnit)

var scenarioGen = rapid.Custom(func(t *rapid.T) scenario {
	intRange := rapid.IntRange
	change := rapid.Custom(func(t *rapid.T) int {
		return intRange(-12, 24).Draw(t, "near") + rapid.SampledFrom([]int{0, -windowUnits, -windowUnits - marginUnits, -windowUnits - marginUnits}).Draw(t, "far")
	})
	event := rapid.OneOf(rapid.Just(0), intRange(1, 30))
	return scenario{
		PlatformSkew: intRange(-200, 200).Draw(t, "platform skew"),
		ListAges:     rapid.SliceOfN(rapid.SampledFrom([]int{0, 12, windowUnits - 1, windowUnits - 1, windowUnits - 1, windowUnits + marginUnits + 20}), 5, 5).Draw(t, "list ages"),
		Added:        rapid.SliceOfN(change, 0, 2).Draw(t, "added"),
		Removed:      rapid.SliceOfN(change, 0, 2).Draw(t, "removed"),
		Stops:        rapid.SliceOfN(event, 2, 2).Draw(t, "stops"),
		Restarts:     rapid.SliceOfN(event, 3, 3).Draw(t, "restarts"),
		Unreachable:  rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 20, 300}), 9, 9).Draw(t, "unreachable"),
		Faults:       rapid.SliceOfN(faultGen, 1, 12).Draw(t, "faults"),
		Keys: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyUse {
			return keyUse{
				CallerSkew: rapid.SampledFrom([]int{0, -2, 4, aheadUnits, 32, -windowUnits / 3}).Draw(t, "caller skew"),
				Attempts: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyAttempt {
					return keyAttempt{
						At:      intRange(0, 30).Draw(t, "at") + rapid.SampledFrom([]int{0, 0, 0, windowUnits/2 - 20, windowUnits - 8}).Draw(t, "later"),
						Ingress: intRange(0, 2).Draw(t, "ingress"),
						Undated: intRange(0, 4).Draw(t, "undated") == 0,
					}
				}), 1, 4).Draw(t, "attempts"),
			}
		}), 4, 12).Draw(t, "keys"),
	}
})

// Guards against a second run of a key after a lost answer, a restart, a removal or
// a hand-over, through an ingress node with another host list, at an owner that reads
// a frame late, and with clocks that differ. Also guards against NotRun for a key
// that ran and against the answer of another key.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarioGen.Draw(rt, "scenario")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = s.run(t) })
		if problems != nil {
			rt.Fatal(strings.Join(problems, "; "))
		}
	})
}

func (s *scenario) run(t *testing.T) (problems []string) {
	time.Sleep(100 * time.Hour) // so that times before the start are valid
	start := time.Now()
	after := func(units int) time.Time { return start.Add(time.Duration(units) * timeUnit) }
	sim := newSimulation("a", "b", "c")
	sim.platformSkew, sim.faults = time.Duration(s.PlatformSkew)*timeUnit, s.Faults
	for i, at := range s.Added {
		name := prim.HostName(fmt.Sprint("added", i))
		sim.hosts[name] = &simHost{addedAt: after(at)}
		sim.startInstance(name, after(at))
	}
	for i, at := range s.Removed {
		sim.hosts[prim.HostName("ab"[i:i+1])].removedAt = after(at)
	}
	sim.unreachable = func(ingress, name prim.HostName) bool {
		i := 3*int(ingress[1]-'0') + int(name[0]-'a')
		return len(name) == 1 && s.Unreachable[i] > 0 && !time.Now().Before(after(s.Unreachable[i]))
	}
	// Issued is on the platform's clock. Compensating the skew makes large ages exact
	// by the node's own clock, so that the oldest permitted list is tested.
	for i, n := range []prim.HostName{"x0", "x1", "x2", "a", "added0"} {
		if sim.listAges[n] = time.Duration(s.ListAges[i]) * timeUnit; s.ListAges[i] > 12 {
			sim.listAges[n] += sim.platformSkew
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, at := range append(s.Restarts, s.Stops...) {
		if at == 0 {
			continue
		}
		name := prim.HostName("abc"[i%3 : i%3+1])
		host := sim.hosts[name]
		if i >= 3 {
			sim.mu.Lock()
			if at%4 > 0 { // otherwise it is a planned restart
				host.leavingAt = after(at)
			}
			if at%4 > 1 && host.removedAt.IsZero() {
				host.removedAt = after(at + 16)
			}
			sim.mu.Unlock()
			at += at % 8 // the node learns later that its host is leaving
		}
		wg.Go(func() {
			time.Sleep(time.Until(after(at)))
			if i < 3 {
				sim.startInstance(name, time.Now())
				return
			}
			sim.mu.Lock()
			owner, instance := host.owner, host.instance
			sim.mu.Unlock()
			handOverCtx, cancelHandOver := context.WithTimeout(ctx, 5*time.Second)
			defer cancelHandOver()
			owner.HandOver(handOverCtx)
			sim.mu.Lock()
			host.down = host.down || host.instance == instance
			sim.mu.Unlock()
		})
	}
	var notRun []string
	for i, k := range s.Keys {
		first := k.Attempts[0].At
		for _, a := range k.Attempts {
			first = min(first, a.At)
		}
		for j, a := range k.Attempts {
			// Other uses of undated keys are not covered; see the package comment.
			if a.Undated && (a.At > first+min(k.CallerSkew, 0)+windowUnits/2 || k.CallerSkew > aheadUnits) {
				continue
			}
			wg.Go(func() {
				time.Sleep(time.Until(after(a.At)))
				r := request(fmt.Sprint("key", i), after(first+k.CallerSkew), 4*time.Second)
				r.Header = http.Header{"Attempt": {fmt.Sprint(i, ".", j)}}
				if a.Undated {
					r.KeyCreated = time.Time{}
				}
				answer, err := sim.newCaller(prim.HostName(fmt.Sprint("x", a.Ingress))).Do(ctx, r)
				sim.mu.Lock()
				defer sim.mu.Unlock()
				runs := sim.runsByKey[r.Key]
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
		if sim.ranAttempts[a] {
			problems = append(problems, "attempt "+a+" ran after NotRun")
		}
	}
	for k, n := range sim.runsByKey {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("%s ran %d times", k, n))
		}
	}
	return problems
}

// candidateNames returns the candidates of a request's key in order.
func (s *simulation) candidateNames(r *prim.Request) (names []prim.HostName) {
	hosts, _ := orderedCandidates((&simDocuments{s, "x"}).View(), keyIDOf(r), r.KeyCreated, time.Now())
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return names
}

// withFirstCandidate lengthens the key of a request until its first candidate is h.
func (s *simulation) withFirstCandidate(r *prim.Request, h prim.HostName) *prim.Request {
	for s.candidateNames(r)[0] != h {
		r.Key += r.Key[:1]
	}
	return r
}

// Guards against a repeat that does not wait for the answer of the running request,
// a record that is lost because the caller disconnected, an answer for a request with
// other content, and a lookup that runs the request.
func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation("a", "b", "c")
		sim.faults = []fault{{RunTime: time.Second}}
		r := request("k", time.Now(), 10*time.Second)
		lookup := *r
		lookup.Lookup = true
		_, err := sim.newCaller("x").Do(t.Context(), &lookup)
		is.Equal(err.(*prim.RefusalError).Reason, prim.ReasonNoRecord)

		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		go sim.newCaller("x").Do(ctx, r)
		time.Sleep(500 * time.Millisecond)
		repeated := time.Now()
		for _, q := range []*prim.Request{r, &lookup, r} {
			a, err := sim.newCaller("y").Do(t.Context(), q)
			is.NoErr(err)
			is.Equal(string(a.Body), "k run 1")
			is.Equal(time.Since(repeated), 500*time.Millisecond)
		}
		otherBody := *r
		otherBody.Body = []byte("x")
		_, err = sim.newCaller("y").Do(t.Context(), &otherBody)
		is.Equal(err.(*prim.KeyConflictError).Key, "k")
		otherCustomer := *r
		otherCustomer.Customer = "c"
		_, err = sim.newCaller("y").Do(t.Context(), &otherCustomer)
		is.NoErr(err)
		is.Equal(sim.runsByKey["k"], 2)
	})
}

// Guards against giving up before the deadline while the last candidate is only busy,
// and against NotRun while an earlier attempt may still run.
func TestBusyCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation("a", "b")
		for range 40 {
			sim.faults = append(sim.faults, fault{Busy: true})
		}
		sim.faults = append(sim.faults, fault{}, fault{})
		_, err := sim.newCaller("x").Do(t.Context(), request("k", time.Now(), 10*time.Second))
		is.NoErr(err)
		sim.faults = sim.faults[:1]
		r := request("l", time.Now(), time.Second)
		_, err = sim.newCaller("x").Do(t.Context(), r)
		is.Equal(err.(*prim.RefusalError).Reason, prim.ReasonBusy)
		is.Equal(time.Now(), r.Deadline)

		// The frame of the first attempt arrives after the deadline, so a later
		// Busy does not mean that the request will not run.
		sim = newSimulation("a")
		sim.faults = append([]fault{{LinkBreaks: true, Delay: 2 * time.Second}}, slices.Repeat([]fault{{Busy: true}}, 500)...)
		_, err = sim.newCaller("x").Do(t.Context(), request("m", time.Now(), time.Second))
		is.Equal(prim.OutcomeOf(err), prim.Unknown)
		time.Sleep(5 * time.Second)
	})
}

// Guards against records that are lost in a planned stop, and against keys that end
// as Unknown although the stopped host handed over a tombstone or retired.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation("a", "b", "c")
		r := request("k", time.Now(), 10*time.Second)
		_, err := sim.newCaller("x").Do(t.Context(), r)
		is.NoErr(err)
		first := sim.candidateNames(r)[0]
		// An undated key, because retirement does not apply to those and the result
		// depends on the tombstone alone.
		declined := sim.withFirstCandidate(request("l", time.Time{}, 10*time.Second), first)
		sim.faults = []fault{{}, {Busy: true}}
		_, err = sim.Owner(first).Dispatch(t.Context(), declined)
		is.Equal(err.(*prim.RefusalError).Reason, prim.ReasonTombstone)
		sim.faults = nil

		slow := sim.withFirstCandidate(request("m", time.Now(), 10*time.Second), first)
		sim.faults = []fault{{RunTime: time.Second}}
		go sim.newCaller("x").Do(t.Context(), slow)
		time.Sleep(time.Millisecond)
		sim.mu.Lock()
		sim.hosts[first].leavingAt = time.Now()
		sim.mu.Unlock()
		is.NoErr(sim.hosts[first].owner.HandOver(t.Context()))
		sim.hosts[first].down = true
		_, err = sim.hosts[first].owner.Dispatch(t.Context(), request("n", time.Now(), time.Second))
		is.Equal(err.(*prim.RefusalError).Host, first)
		is.Equal(sim.runsByKey["n"], 0)
		b, err := sim.newCaller("y").Do(t.Context(), slow)
		is.NoErr(err)
		is.Equal(string(b.Body), slow.Key+" run 1")
		a, err := sim.newCaller("y").Do(t.Context(), r)
		is.NoErr(err)
		is.Equal(string(a.Body), "k run 1")
		_, err = sim.newCaller("y").Do(t.Context(), declined)
		is.NoErr(err)
		is.Equal(sim.runsByKey[declined.Key], 1)

		sim.hosts[first].removedAt = time.Now()
		_, err = sim.newCaller("y").Do(t.Context(), sim.withFirstCandidate(request("o", time.Now(), 10*time.Second), first))
		is.NoErr(err)
	})
}

// Guards against a restarted host that runs a key whose record it lost, and against a
// call that ends there although the other candidates have the tombstones of the key.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation("a", "b", "c")
		ran := request("k", time.Now(), 10*time.Second)
		declined := sim.withFirstCandidate(request("l", time.Now(), 10*time.Second), sim.candidateNames(ran)[0])
		_, err := sim.newCaller("x").Do(t.Context(), ran)
		is.NoErr(err)
		sim.faults = []fault{{}, {Busy: true}}
		for _, h := range sim.candidateNames(declined)[:2] {
			sim.Owner(h).Dispatch(t.Context(), declined)
		}
		sim.faults = nil
		sim.startInstance(sim.candidateNames(ran)[0], time.Now())
		_, err = sim.newCaller("x").Do(t.Context(), ran)
		is.Equal(prim.OutcomeOf(err), prim.Unknown)
		_, err = sim.newCaller("x").Do(t.Context(), declined)
		is.NoErr(err)

		// Nothing may run after the hand-over of a planned restart, because its record
		// would be lost.
		owner := sim.hosts[sim.candidateNames(ran)[1]].owner
		is.NoErr(owner.HandOver(t.Context()))
		_, err = owner.Dispatch(t.Context(), request("n", time.Now(), time.Second))
		is.Equal(prim.OutcomeOf(err), prim.NotRun)
	})
}

// Guards against records that expire too early or too late, that exceed the memory
// limit, that are refused while there is memory left, or that are dropped along with
// an answer that does not fit.
func TestRecordTableLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, now, createdAt := newRecordTable(20_000), time.Unix(1e9, 0), map[keyID]time.Time{}
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 4000), 1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(n) * time.Second / 4)
			key := keyID{Key: fmt.Sprint(i)}
			if e := table.add(key, now, now); e != nil {
				createdAt[key] = now
				table.finish(e, stateDone, &prim.Answer{Body: make([]byte, n)})
			} else if table.usedBytes < table.maxBytes-2*entryOverheadBytes {
				rt.Fatal("refused with room left")
			}
			for key, created := range createdAt {
				if e, age := table.find(key, now), now.Sub(created); e == nil && age <= KeyWindow || e != nil && age > KeyWindow+time.Minute {
					rt.Fatalf("entry %v of age %v", e != nil, age)
				}
			}
			if table.usedBytes > table.maxBytes {
				rt.Fatal("over the limit")
			}
		}
	})
}

// Guards against records beyond the memory limit, and against a tombstone or a run of
// a key that was refused for lack of memory.
func TestRecordMemoryFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation()
		sim.recordBytes = 2 * (entryOverheadBytes + 10)
		sim.hosts["a"] = &simHost{addedAt: sim.serviceSince}
		sim.startInstance("a", sim.serviceSince)
		for i, want := range []error{nil, nil, &prim.RefusalError{Reason: prim.ReasonRecordsFull, Host: "a", Sample: prim.LoadSample{Host: "a"}}} {
			_, err := sim.newCaller("x").Do(t.Context(), request(fmt.Sprint(i), time.Now(), time.Second))
			is.Equal(err, want)
		}
		time.Sleep(KeyWindow + 2*KeyMargin)
		_, err := sim.newCaller("x").Do(t.Context(), request("2", time.Now(), time.Second))
		is.NoErr(err)
	})
}

// Guards against reading a creation time from a key that is not a UUIDv7.
func TestCreationTime(t *testing.T) {
	is := is.New(t)
	is.Equal(KeyCreationTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", ""), time.UnixMilli(0x17F22E279B0)) // RFC 9562, appendix A.6
	is.True(KeyCreationTime("919108f7-52d1-4320-9bac-f847db4148a8", "").IsZero())
	is.Equal(KeyCreationTime("order-7", "2026-12-04T06:00:00Z"), time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))
}
