package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against an owner granting the same rate, burst or tokens twice. Requests
// are repeated or reordered, responses are lost, holders spend all their tokens at
// once, and the allowance is lowered and raised again.
func TestLender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type holderState struct {
			lease    quota
			tokens   float64
			end      time.Duration
			requests []leaseRequest
		}
		allowances := []quota{{2, 1}, {1, 3}, {2, 3}}
		sim := newFleetSim(1, 1, allowances[2])
		c := Config{Self: "h0", Address: sim.entries[0].address, Instance: 1, Timing: testTiming}
		l := newLender(&c, clockReading{wall: epoch.Add(sim.now - time.Minute)})
		view, holders, sequence := sim.viewAt(sim.now, sim.now), make([]holderState, 3), uint64(0)
		now, budget := time.Duration(0), 3.0
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			step := rapid.SampledFrom([]time.Duration{1, 100, 300, 300, 900, 2100, 15000}).Draw(t, "step") * time.Millisecond
			budget = min(3, budget+2*step.Seconds())
			for i := range holders {
				h := &holders[i]
				h.tokens = min(h.tokens+h.lease.rate*max(0, min(step, h.end-now)).Seconds(), h.lease.burst)
				if now+step >= h.end {
					h.tokens, h.lease = 0, quota{}
				}
				budget, h.tokens = budget-h.tokens, 0
			}
			now += step
			at := clockReading{now, epoch.Add(sim.now)}
			h := &holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			from := sim.entries[0].name + "x"
			op := rapid.SampledFrom([]string{"request", "request", "request", "lost response", "repeat", "allowance"}).Draw(t, "operation")
			switch op {
			case "request", "lost response":
				sequence++
				want := float32(rapid.SampledFrom([]float64{0, 0.3, 1, 2, 3}).Draw(t, "want"))
				a := leaseRequest{Instance: 7, Sequence: sequence, Service: "s", Items: []leaseRequestItem{{
					Customer: "c", WantRate: want * 2 / 3, WantBurst: want, HeldRate: float32(h.lease.rate), HeldBurst: float32(h.lease.burst),
				}}}
				for i := range holders {
					if h == &holders[i] {
						a.Instance += 1
						break
					}
					a.Instance += 10
				}
				h.requests = append(h.requests, a)
				l.refreshSlots(at, view)
				before := 0.0
				if p := l.updatedPool(at, view, "c"); p != nil {
					before = p.tokens
				}
				x := l.grantLeases(at, view, from, &a).Items[0]
				if p := l.pools["c"]; p != nil && p.tokens+float64(x.Tokens) > before+1e-9 {
					t.Fatalf("%g tokens were moved and %g kept out of %g", x.Tokens, p.tokens, before)
				}
				if op == "request" {
					h.lease, h.end = quota{float64(x.Rate), float64(x.Burst)}, now+testTiming.usableTerm()
					h.tokens = float64(x.Tokens)
				}
			case "repeat":
				if len(h.requests) > 0 {
					l.grantLeases(at, view, from, &h.requests[rapid.IntRange(0, len(h.requests)-1).Draw(t, "which")])
				}
			case "allowance":
				sim.allowances = append(sim.allowances, allowanceVersion{sim.now, rapid.SampledFrom(allowances).Draw(t, "allowance")})
				view = sim.viewAt(sim.now, sim.now)
			}
			l.dropIdlePools(at, view)
			budget -= h.tokens
			h.tokens = 0
			if budget < -1e-6 {
				t.Fatalf("after %s the holders spent %g more than rate 2, burst 3", now, -budget)
			}
		}
	})
}

// Guards against a pool that collects tokens while its burst is leased, or that is
// filled by lowering and raising the allowance.
func TestPool(t *testing.T) {
	sim := newFleetSim(1, 1, quota{0.1, 1})
	c := Config{Self: "h0", Address: sim.entries[0].address, Instance: 1, Timing: testTiming}
	l := newLender(&c, clockReading{wall: epoch.Add(sim.now - time.Minute)})
	at, view, sequence := clockReading{time.Minute, epoch.Add(sim.now)}, sim.viewAt(sim.now, sim.now), uint64(0)
	request := func(wait time.Duration, rate, burst float32) float32 {
		at.mono += wait
		l.refreshSlots(at, view)
		l.dropIdlePools(at, view)
		sequence++
		a := leaseRequest{Instance: prim.Instance(sequence), Sequence: sequence, Service: "s", Items: []leaseRequestItem{{Customer: "c", WantRate: rate, WantBurst: burst}}}
		return l.grantLeases(at, view, "x", &a).Items[0].Tokens
	}
	request(0, 0, 0)
	if x := request(time.Minute, 0, 1); x != 1 {
		t.Errorf("a full pool granted %g tokens, want 1", x)
	}
	if x := request(testTiming.reservationTerm(), 0, 1); x != 0 {
		t.Errorf("a pool without burst collected %g tokens", x)
	}
	request(time.Hour, 0, 0)
	request(time.Minute, 0, 0)
	at.mono += time.Minute
	l.dropIdlePools(at, view)
	sim.allowances = append(sim.allowances, allowanceVersion{sim.now, quota{0.1, 12}})
	view = sim.viewAt(sim.now, sim.now)
	if x := request(time.Second, 0, 12); x > 1.2 {
		t.Errorf("a pool of size 1 granted %g tokens one second after its size was raised", x)
	}
}

// Guards against an ingress node using a lease after the owner's reservation
// ended, because the clock of the ingress node is slow and that of the owner fast.
func TestTermEndsFirst(t *testing.T) {
	const slow, fast = 1 - 0.0005, 1 + 0.0005
	for _, roundTrip := range []time.Duration{0, 100 * time.Millisecond} {
		sim := newFleetSim(1, 1, quota{10, 10})
		p := sim.startProcess(sim.entries[0], 0, 0, 0)
		at := clockReading{time.Minute, epoch.Add(sim.now)}
		p.borrower.take(at, p.view, testKey, false)
		due := p.borrower.planRequests(at, p.view)
		at.mono += roundTrip
		p.borrower.handleResponse(at, &due[0], &leaseResponse{Slots: 1, Items: []leaseResponseItem{{Rate: 10, Burst: 10}}}, false)
		used := float64(p.borrower.entries[testKey].leases["h0"].end-time.Minute) / slow
		if reserved := float64(testTiming.reservationTerm()) / fast; used > reserved {
			t.Errorf("round trip %s: used for %g ns, reserved for %g ns", roundTrip, used, reserved)
		}
	}
}

// Guards against an ingress node using leases that expired while its host was
// suspended and its monotonic clock stood still.
func TestSuspend(t *testing.T) {
	b, v, at := benchBorrower(3, 1)
	grantAll(b, at, b.planRequests(at, v))
	k := key{"customer-000000", "s"}
	if !b.take(at, v, k, true).granted {
		t.Fatal("call was refused before the suspension")
	}
	at.wall = at.wall.Add(time.Minute)
	if b.take(at, v, k, true).granted {
		t.Error("call was granted from a lease that expired during the suspension")
	}
}

// Guards against sending one message for each customer: the requests to one owner
// share a message.
func TestBatch(t *testing.T) {
	b, v, at := benchBorrower(3, 5)
	due := b.planRequests(at, v)
	if len(due) != 3 || len(due[0].request.Items) != 5 {
		t.Errorf("got %d messages, the first for %d customers; want 3 for 5 each", len(due), len(due[0].request.Items))
	}
}
