package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against an owner lending the same rate, burst or tokens twice: with
// asks that are repeated, overtaken or whose answer is lost, with holders that
// spend all they may at once, and with allowances that go down and up again.
func TestLender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type lent struct {
			have   part
			tokens float64
			end    time.Duration
			asks   []leaseAsk
		}
		allowances := []part{{2, 1}, {1, 3}, {2, 3}}
		w := newWorld(1, 1, allowances[2])
		c := Config{Self: "h0", Address: w.entries[0].address, Instance: 1, Terms: testTerms}
		l := newLender(&c, instant{wall: epoch.Add(w.now - time.Minute)})
		view, holders, sequence := w.viewAt(w.now, w.now), make([]lent, 3), uint64(0)
		now, level := time.Duration(0), 3.0
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			step := rapid.SampledFrom([]time.Duration{1, 100, 300, 300, 900, 2100, 15000}).Draw(t, "step") * time.Millisecond
			level = min(3, level+2*step.Seconds())
			for i := range holders {
				h := &holders[i]
				h.tokens = min(h.tokens+h.have.rate*max(0, min(step, h.end-now)).Seconds(), h.have.burst)
				if now+step >= h.end {
					h.tokens, h.have = 0, part{}
				}
				level, h.tokens = level-h.tokens, 0
			}
			now += step
			at := instant{now, epoch.Add(w.now)}
			h := &holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			from := w.entries[0].name + "x"
			op := rapid.SampledFrom([]string{"ask", "ask", "ask", "lost", "repeat", "allowance"}).Draw(t, "operation")
			switch op {
			case "ask", "lost":
				sequence++
				want := float32(rapid.SampledFrom([]float64{0, 0.3, 1, 2, 3}).Draw(t, "want"))
				a := leaseAsk{Instance: 7, Sequence: sequence, Service: "s", Items: []askItem{{
					Customer: "c", WantRate: want * 2 / 3, WantBurst: want, HeldRate: float32(h.have.rate), HeldBurst: float32(h.have.burst),
				}}}
				for i := range holders {
					if h == &holders[i] {
						a.Instance += 1
						break
					}
					a.Instance += 10
				}
				h.asks = append(h.asks, a)
				l.refresh(at, view)
				before := 0.0
				if p := l.touch(at, view, "c"); p != nil {
					before = p.tokens
				}
				x := l.lend(at, view, from, &a).Items[0]
				if p := l.pools["c"]; p != nil && p.tokens+float64(x.Tokens) > before+1e-9 {
					t.Fatalf("%g tokens were moved and %g kept out of %g", x.Tokens, p.tokens, before)
				}
				if op == "ask" {
					h.have, h.end = part{float64(x.Rate), float64(x.Burst)}, now+testTerms.usable()
					h.tokens = float64(x.Tokens)
				}
			case "repeat":
				if len(h.asks) > 0 {
					l.lend(at, view, from, &h.asks[rapid.IntRange(0, len(h.asks)-1).Draw(t, "which")])
				}
			case "allowance":
				w.versions = append(w.versions, allowanceVersion{w.now, rapid.SampledFrom(allowances).Draw(t, "allowance")})
				view = w.viewAt(w.now, w.now)
			}
			l.sweep(at, view)
			level -= h.tokens
			h.tokens = 0
			if level < -1e-6 {
				t.Fatalf("after %s the holders spent %g more than rate 2, burst 3", now, -level)
			}
		}
	})
}

// Guards against a pool that has tokens for time in which its burst was lent, or
// that is refilled by lowering and raising the allowance.
func TestPool(t *testing.T) {
	w := newWorld(1, 1, part{0.1, 1})
	c := Config{Self: "h0", Address: w.entries[0].address, Instance: 1, Terms: testTerms}
	l := newLender(&c, instant{wall: epoch.Add(w.now - time.Minute)})
	at, view, sequence := instant{time.Minute, epoch.Add(w.now)}, w.viewAt(w.now, w.now), uint64(0)
	ask := func(wait time.Duration, rate, burst float32) float32 {
		at.mono += wait
		l.refresh(at, view)
		l.sweep(at, view)
		sequence++
		a := leaseAsk{Instance: prim.Instance(sequence), Sequence: sequence, Service: "s", Items: []askItem{{Customer: "c", WantRate: rate, WantBurst: burst}}}
		return l.lend(at, view, "x", &a).Items[0].Tokens
	}
	ask(0, 0, 0)
	if x := ask(time.Minute, 0, 1); x != 1 {
		t.Errorf("a full pool lent %g tokens, want 1", x)
	}
	if x := ask(testTerms.outstanding(), 0, 1); x != 0 {
		t.Errorf("a pool without burst collected %g tokens", x)
	}
	ask(time.Hour, 0, 0)
	ask(time.Minute, 0, 0)
	at.mono += time.Minute
	l.sweep(at, view)
	w.versions = append(w.versions, allowanceVersion{w.now, part{0.1, 12}})
	view = w.viewAt(w.now, w.now)
	if x := ask(time.Second, 0, 12); x > 1.2 {
		t.Errorf("a pool of size 1 lent %g tokens a second after its size was raised", x)
	}
}

// Guards against an ingress node using a lease after its owner's reservation
// ended, whatever the round trip and the rates of their clocks.
func TestTermEndsFirst(t *testing.T) {
	const slow, fast = 1 - 0.0005, 1 + 0.0005
	for _, trip := range []time.Duration{0, 100 * time.Millisecond} {
		w := newWorld(1, 1, part{10, 10})
		p := w.boot(w.entries[0], 0, 0, 0)
		at := instant{time.Minute, epoch.Add(w.now)}
		p.borrower.take(at, p.view, testKey, false)
		due := p.borrower.plan(at, p.view)
		at.mono += trip
		p.borrower.absorb(at, &due[0], &lease{Slots: 1, Items: []leaseItem{{Rate: 10, Burst: 10}}}, false)
		used := float64(p.borrower.entries[testKey].leases["h0"].end-time.Minute) / slow
		if reserved := float64(testTerms.outstanding()) / fast; used > reserved {
			t.Errorf("round trip %s: used for %g ns, reserved for %g ns", trip, used, reserved)
		}
	}
}

// Guards against an ingress node using leases after its host was suspended, while
// its monotonic clock stood still.
func TestSuspend(t *testing.T) {
	b, v, at := benchFleet(3, 1)
	answerAll(b, at, b.plan(at, v))
	k := key{"customer-000000", "s"}
	if !b.take(at, v, k, true).granted {
		t.Fatal("no grant before the suspension")
	}
	at.wall = at.wall.Add(time.Minute)
	if b.take(at, v, k, true).granted {
		t.Error("granted from a lease that ended during the suspension")
	}
}

// Guards against one message for each customer: the asks for one owner share one.
func TestBatch(t *testing.T) {
	b, v, at := benchFleet(3, 5)
	due := b.plan(at, v)
	if len(due) != 3 || len(due[0].ask.Items) != 5 {
		t.Errorf("got %d messages, the first for %d customers; want 3 for 5 each", len(due), len(due[0].ask.Items))
	}
}
