package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

var start = time.Unix(1e9, 0)

func request(customer string, deadline time.Time) *prim.Request {
	return &prim.Request{Customer: prim.Customer(customer), Class: "c", Deadline: deadline}
}

var (
	good  = prim.Attempt{Outcome: prim.Done, Latency: 10 * time.Millisecond}
	slow  = prim.Attempt{Outcome: prim.Done, Latency: 200 * time.Millisecond}
	fail  = prim.Attempt{Outcome: prim.Done, Latency: time.Millisecond, Failed: true}
	reset = prim.Attempt{Outcome: prim.Unknown, Failed: true, Reset: true}
)

// Guards, for any sequence of events, against more in flight than the limit or
// the published slots, more than the cold cap after a cold sign before work was
// completed, growth without completed work, admission while leaving, admission
// of expired requests and an unbounded queue.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		coldCap := rapid.IntRange(1, 2).Draw(t, "coldCap")
		published := rapid.IntRange(1, 9).Draw(t, "published")
		g := NewGate(Config{Published: published, ColdCap: coldCap}, now)
		var tickets []*Ticket
		number := map[*Ticket]int{} // in the order of admission
		admitted, coldAt, cold, leaving := 0, 0, true, false
		check := func(event string, grows bool, before prim.Sample) {
			after := g.Sample(now)
			fresh := 0
			for _, k := range tickets {
				if k.State == Admitted && number[k] == 0 {
					fresh++
					admitted++
					number[k] = admitted
					if !k.Request.Deadline.After(now) {
						t.Fatalf("%s: admitted an expired request", event)
					}
				}
			}
			if fresh > 0 && (after.InFlight > after.Limit || after.InFlight > published) {
				t.Fatalf("%s: %d in flight, limit %d, published %d", event, after.InFlight, after.Limit, published)
			}
			if fresh > 0 && leaving {
				t.Fatalf("%s: admitted while leaving", event)
			}
			if cold && after.Limit > coldCap {
				t.Fatalf("%s: limit %d of a cold server", event, after.Limit)
			}
			if !grows && after.Limit > before.Limit {
				t.Fatalf("%s: limit grew from %d to %d", event, before.Limit, after.Limit)
			}
			if after.Queued > before.Queued && after.Queued > classes*after.Limit {
				t.Fatalf("%s: %d queued at limit %d", event, after.Queued, after.Limit)
			}
			g.Decided()
		}
		sign := func() { cold, coldAt = true, admitted }
		var last time.Time
		pick := func() *Ticket {
			for _, k := range tickets {
				if k.State == Admitted {
					return k
				}
			}
			return nil
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			before := g.Sample(now)
			event := rapid.SampledFrom([]string{"offer", "offer", "offer", "good", "good", "good", "good",
				"slow", "fail", "reset", "cancel", "tick", "tick", "suspect", "leave", "stay", "publish", "pause", "quiet"}).Draw(t, "event")
			grows := false
			switch event {
			case "offer":
				r := request(rapid.StringMatching("[abc]").Draw(t, "customer"), now.Add(time.Duration(rapid.IntRange(-5, 900).Draw(t, "deadline"))*time.Millisecond))
				r.Internal = rapid.Bool().Draw(t, "internal")
				k := &Ticket{Request: r}
				tickets = append(tickets, k)
				g.Offer(now, k)
			case "good", "slow", "fail", "reset":
				k := pick()
				if k == nil {
					continue
				}
				a := map[string]prim.Attempt{"good": good, "slow": slow, "fail": fail, "reset": reset}[event]
				if event == "reset" || event == "fail" && now.Sub(last) > time.Second {
					sign()
				} else if event == "good" || event == "slow" {
					cold = cold && number[k] <= coldAt
					grows = number[k] > coldAt
				}
				last = now
				g.Done(now, k, a)
			case "cancel":
				if k := pick(); k != nil {
					g.Cancel(now, k, prim.ReasonCancelled)
				}
			case "tick":
				now = now.Add(TickEvery)
				g.Tick(now)
			case "suspect":
				sign()
				g.Suspect(now, "start id")
			case "leave", "stay":
				leaving = event == "leave"
				g.SetLeaving(now, leaving)
			case "publish":
				published = rapid.IntRange(0, 9).Draw(t, "published")
				grows = true
				g.SetPublished(now, published)
			case "pause":
				now = now.Add(time.Duration(rapid.IntRange(501, 2000).Draw(t, "gap")) * time.Millisecond)
			case "quiet":
				for range 25 {
					now = now.Add(TickEvery)
					g.Tick(now)
				}
			}
			check(event, grows, before)
		}
	})
}

// load keeps the gate full for n completions, which end as given in turn, and
// returns the limit.
func load(g *Gate, now *time.Time, n int, as ...prim.Attempt) int {
	var running []*Ticket
	offer := func() {
		k := &Ticket{Request: request("a", now.Add(time.Minute))}
		if g.Offer(*now, k); k.State == Admitted {
			running = append(running, k)
		} else if k.State == Waiting {
			g.Cancel(*now, k, prim.ReasonCancelled)
		}
	}
	for i := range n {
		for range 10 {
			offer()
		}
		if len(running) == 0 {
			break
		}
		*now = now.Add(time.Millisecond)
		g.Tick(*now)
		g.Done(*now, running[0], as[i%len(as)])
		running = running[1:]
	}
	for _, k := range running {
		g.Cancel(*now, k, prim.ReasonCancelled)
	}
	return g.Sample(*now).Limit
}

// Guards against more work than a cold server bears before it has completed
// ColdWork requests, and then against a limit that recovers so slowly that a
// healthy server's slots are wasted: one round for each slot, 36 requests, when
// the server may be cold, and one request for each slot when it was only slow.
func TestLimitRecovers(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{Published: 9}, now)
	is.Equal(load(g, &now, 49, good), 1)
	is.Equal(load(g, &now, 46, good), 9)
	g.Suspect(now, "test")
	is.Equal(g.Sample(now).Limit, 1)
	is.Equal(load(g, &now, 49, good), 1)
	is.True(load(g, &now, 12, good) < 9)
	is.Equal(load(g, &now, 200, good), 9)
	is.Equal(load(g, &now, 4, slow), 1)
	is.Equal(load(g, &now, 12, good), 9)
}

// Guards against ordinary variation, a wide one, and a speed that shifts by
// itself every 10 requests being taken for a change, which wastes slots.
func TestNoiseKeepsLimit(t *testing.T) {
	for i, sigma := range []float64{0.5, 0.9, 0.5} {
		now := start
		r := rand.New(rand.NewPCG(1, 1))
		colds, sum := 0, 0
		g := NewGate(Config{Published: 9, Cold: func(string) { colds++ }}, now)
		for range 300 {
			as := make([]prim.Attempt, 10)
			speed := []float64{1, 1, [...]float64{0.25, 0.6, 1.4, 1.8}[r.IntN(4)]}[i]
			for i := range as {
				l := math.Exp(sigma*r.NormFloat64()) / speed * float64(10*time.Millisecond)
				as[i] = prim.Attempt{Outcome: prim.Done, Latency: time.Duration(l)}
			}
			sum += load(g, &now, len(as), as...)
		}
		is.New(t).True(sum > 2400) // of 2700
		is.New(t).True(colds < 5)  // of 3000 requests
	}
}

// Guards against a server that turned slow or cold without any notice keeping
// its limit, and against one that stays slow getting it back.
func TestJumpInServiceTime(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{Published: 9}, now)
	load(g, &now, 200, good)
	is.Equal(load(g, &now, 4, slow), 1)
	is.Equal(load(g, &now, 100, slow), 1)
	middling := prim.Attempt{Outcome: prim.Done, Latency: 27 * time.Millisecond}
	is.Equal(load(g, &now, 40, middling), 1)
}

// Guards against the first failure after a quiet period, in which the server may
// have been restarted, being taken for a single failure.
func TestFailureAfterQuiet(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{Published: 9}, now)
	load(g, &now, 200, good)
	for range 25 {
		now = now.Add(TickEvery)
		g.Tick(now)
	}
	is.Equal(load(g, &now, 1, fail), 1)
}

// Guards against a rise in latency or failures below the thresholds of a cold
// server leaving the limit as it is.
func TestMultiplicativeDecrease(t *testing.T) {
	for n, a := range map[int]prim.Attempt{
		7: {Outcome: prim.Done, Latency: 39 * time.Millisecond},
		1: {Outcome: prim.Done, Latency: 10 * time.Millisecond, Failed: true},
	} {
		is := is.New(t)
		now := start
		g := NewGate(Config{Published: 9, Cold: func(why string) { is.Equal(why, "") }}, now)
		load(g, &now, 200, good)
		limit := load(g, &now, n, a)
		is.True(limit < 9)
		is.True(limit > 1)
	}
}

// Guards against a server that stopped answering keeping its limit until the
// first late answer.
func TestLateRequests(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{Published: 9}, now)
	load(g, &now, 200, good)
	for range 9 {
		g.Offer(now, &Ticket{Request: request("a", now.Add(time.Minute))})
	}
	now = now.Add(TickEvery)
	g.Tick(now)
	is.Equal(g.Sample(now).Limit, 1)
}

// Guards against a server that fails at once being offered, and failing, work
// at the rate at which it fails.
func TestFailFastServerIsHeld(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{Published: 9}, now)
	admitted := 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		if i%50 == 0 {
			g.Tick(now)
		}
		k := &Ticket{Request: request("a", now.Add(time.Second))}
		if g.Offer(now, k); k.State == Admitted {
			admitted++
			g.Done(now, k, fail)
		}
	}
	is.True(admitted <= 25) // of 10,000 within 10 s
}

// Guards against a request that expired during a pause being run after it.
func TestPauseDropsExpired(t *testing.T) {
	is := is.New(t)
	var gap time.Duration
	now := start
	g := NewGate(Config{Published: 1, Paused: func(d time.Duration) { gap = d }}, now)
	first, second := &Ticket{Request: request("a", now.Add(time.Hour))}, &Ticket{Request: request("a", now.Add(time.Second))}
	g.Offer(now, first)
	g.Offer(now, second)
	is.Equal(second.State, Waiting)
	now = now.Add(2 * time.Second)
	g.Done(now, first, good)
	is.Equal(gap, 2*time.Second)
	is.Equal(second.State, Refused)
	is.Equal(second.Err.Reason, prim.ReasonExpired)
}
