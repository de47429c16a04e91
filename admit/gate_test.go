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

// Guards, for any sequence of events, against more requests in flight than the
// limit or the published slots, a limit above the cold cap after evidence of a
// cold server and before a request admitted since has completed, growth of the
// limit without completed requests, admission while leaving, admission of expired
// requests and an unbounded queue.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		coldCap := rapid.IntRange(1, 2).Draw(t, "coldCap")
		published := rapid.IntRange(1, 9).Draw(t, "published")
		g := NewGate(Config{PublishedSlots: published, ColdCap: coldCap}, now)
		var tickets []*Ticket
		admissionSeq := map[*Ticket]int{} // in the order of admission
		admitted, coldSeq, cold, leaving := 0, 0, true, false
		check := func(event string, grows bool, before prim.LoadSample) {
			after := g.Sample(now)
			newlyAdmitted := 0
			for _, ticket := range tickets {
				if ticket.State == Admitted && admissionSeq[ticket] == 0 {
					newlyAdmitted++
					admitted++
					admissionSeq[ticket] = admitted
					if !ticket.Request.Deadline.After(now) {
						t.Fatalf("%s: admitted an expired request", event)
					}
				}
			}
			if newlyAdmitted > 0 && (after.InFlight > after.Limit || after.InFlight > published) {
				t.Fatalf("%s: %d in flight, limit %d, published %d", event, after.InFlight, after.Limit, published)
			}
			if newlyAdmitted > 0 && leaving {
				t.Fatalf("%s: admitted while leaving", event)
			}
			if cold && after.Limit > coldCap {
				t.Fatalf("%s: limit %d of a cold server", event, after.Limit)
			}
			if !grows && after.Limit > before.Limit {
				t.Fatalf("%s: limit grew from %d to %d", event, before.Limit, after.Limit)
			}
			if after.Queued > before.Queued && after.Queued > queueClasses*after.Limit {
				t.Fatalf("%s: %d queued at limit %d", event, after.Queued, after.Limit)
			}
			g.Decided()
		}
		markCold := func() { cold, coldSeq = true, admitted }
		var lastCompletion time.Time
		firstAdmitted := func() *Ticket {
			for _, ticket := range tickets {
				if ticket.State == Admitted {
					return ticket
				}
			}
			return nil
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			before := g.Sample(now)
			event := rapid.SampledFrom([]string{"offer", "offer", "offer", "good", "good", "good", "good",
				"slow", "fail", "reset", "cancel", "tick", "tick", "assume cold", "leave", "stay", "publish", "pause", "quiet"}).Draw(t, "event")
			grows := false
			switch event {
			case "offer":
				r := request(rapid.StringMatching("[abc]").Draw(t, "customer"), now.Add(time.Duration(rapid.IntRange(-5, 900).Draw(t, "deadline"))*time.Millisecond))
				r.Internal = rapid.Bool().Draw(t, "internal")
				ticket := &Ticket{Request: r}
				tickets = append(tickets, ticket)
				g.Offer(now, ticket)
			case "good", "slow", "fail", "reset":
				ticket := firstAdmitted()
				if ticket == nil {
					continue
				}
				attempt := map[string]prim.Attempt{"good": good, "slow": slow, "fail": fail, "reset": reset}[event]
				if event == "reset" || event == "fail" && now.Sub(lastCompletion) > time.Second {
					markCold()
				} else if event == "good" || event == "slow" {
					cold = cold && admissionSeq[ticket] <= coldSeq
					grows = admissionSeq[ticket] > coldSeq
				}
				lastCompletion = now
				g.Done(now, ticket, attempt)
			case "cancel":
				if ticket := firstAdmitted(); ticket != nil {
					g.Cancel(now, ticket, prim.ReasonCancelled)
				}
			case "tick":
				now = now.Add(TickInterval)
				g.Tick(now)
			case "assume cold":
				markCold()
				g.AssumeCold(now, "start id")
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
					now = now.Add(TickInterval)
					g.Tick(now)
				}
			}
			check(event, grows, before)
		}
	})
}

// runAtLimit keeps every slot in use for n completions, which cycle through the
// given attempts, and returns the resulting limit.
func runAtLimit(g *Gate, now *time.Time, n int, attempts ...prim.Attempt) int {
	var running []*Ticket
	offer := func() {
		ticket := &Ticket{Request: request("a", now.Add(time.Minute))}
		if g.Offer(*now, ticket); ticket.State == Admitted {
			running = append(running, ticket)
		} else if ticket.State == Waiting {
			g.Cancel(*now, ticket, prim.ReasonCancelled)
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
		g.Done(*now, running[0], attempts[i%len(attempts)])
		running = running[1:]
	}
	for _, ticket := range running {
		g.Cancel(*now, ticket, prim.ReasonCancelled)
	}
	return g.Sample(*now).Limit
}

// Guards against a limit above the cold cap before a cold server has completed
// ColdRequests requests, and then against a recovery so slow that slots of a
// healthy server are wasted. The limit grows by one slot per round, 36 requests in
// all, when the server may be cold, and by one slot per request when it was only
// slow.
func TestLimitRecovers(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{PublishedSlots: 9}, now)
	is.Equal(runAtLimit(g, &now, 49, good), 1)
	is.Equal(runAtLimit(g, &now, 46, good), 9)
	g.AssumeCold(now, "test")
	is.Equal(g.Sample(now).Limit, 1)
	is.Equal(runAtLimit(g, &now, 49, good), 1)
	is.True(runAtLimit(g, &now, 12, good) < 9)
	is.Equal(runAtLimit(g, &now, 200, good), 9)
	is.Equal(runAtLimit(g, &now, 4, slow), 1)
	is.Equal(runAtLimit(g, &now, 12, good), 9)
}

// Guards against a limit that is decreased, and so wastes slots, because of
// ordinary latency noise, wide noise, or a server speed that changes by itself
// every 10 requests.
func TestLatencyNoiseKeepsLimit(t *testing.T) {
	for i, sigma := range []float64{0.5, 0.9, 0.5} {
		now := start
		r := rand.New(rand.NewPCG(1, 1))
		coldResets, sum := 0, 0
		g := NewGate(Config{PublishedSlots: 9, OnCold: func(string) { coldResets++ }}, now)
		for range 300 {
			attempts := make([]prim.Attempt, 10)
			speed := []float64{1, 1, [...]float64{0.25, 0.6, 1.4, 1.8}[r.IntN(4)]}[i]
			for i := range attempts {
				latency := math.Exp(sigma*r.NormFloat64()) / speed * float64(10*time.Millisecond)
				attempts[i] = prim.Attempt{Outcome: prim.Done, Latency: time.Duration(latency)}
			}
			sum += runAtLimit(g, &now, len(attempts), attempts...)
		}
		is.New(t).True(sum > 2400)     // of 2700
		is.New(t).True(coldResets < 5) // of 3000 requests
	}
}

// Guards against a limit that stays when a server turns slow or cold without
// notice, and against one that recovers while the server is still slow.
func TestJumpInServiceTime(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{PublishedSlots: 9}, now)
	runAtLimit(g, &now, 200, good)
	is.Equal(runAtLimit(g, &now, 4, slow), 1)
	is.Equal(runAtLimit(g, &now, 100, slow), 1)
	middling := prim.Attempt{Outcome: prim.Done, Latency: 27 * time.Millisecond}
	is.Equal(runAtLimit(g, &now, 40, middling), 1)
}

// Guards against treating the first failure after a quiet period as an isolated
// one: the server may have been restarted in the meantime.
func TestFailureAfterQuiet(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{PublishedSlots: 9}, now)
	runAtLimit(g, &now, 200, good)
	for range 25 {
		now = now.Add(TickInterval)
		g.Tick(now)
	}
	is.Equal(runAtLimit(g, &now, 1, fail), 1)
}

// Guards against a limit that stays when latency or failures rise, but not up to
// the thresholds of a cold server.
func TestMultiplicativeDecrease(t *testing.T) {
	for n, attempt := range map[int]prim.Attempt{
		7: {Outcome: prim.Done, Latency: 39 * time.Millisecond},
		1: {Outcome: prim.Done, Latency: 10 * time.Millisecond, Failed: true},
	} {
		is := is.New(t)
		now := start
		g := NewGate(Config{PublishedSlots: 9, OnCold: func(why string) { is.Equal(why, "") }}, now)
		runAtLimit(g, &now, 200, good)
		limit := runAtLimit(g, &now, n, attempt)
		is.True(limit < 9)
		is.True(limit > 1)
	}
}

// Guards against a limit that stays until the first late answer when the server
// has stopped answering.
func TestLateRequests(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{PublishedSlots: 9}, now)
	runAtLimit(g, &now, 200, good)
	for range 9 {
		g.Offer(now, &Ticket{Request: request("a", now.Add(time.Minute))})
	}
	now = now.Add(TickInterval)
	g.Tick(now)
	is.Equal(g.Sample(now).Limit, 1)
}

// Guards against a server that fails at once and so takes in requests as fast as
// it can fail them.
func TestConsecutiveFailuresDelayAdmission(t *testing.T) {
	is := is.New(t)
	now := start
	g := NewGate(Config{PublishedSlots: 9}, now)
	admitted := 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		if i%50 == 0 {
			g.Tick(now)
		}
		ticket := &Ticket{Request: request("a", now.Add(time.Second))}
		if g.Offer(now, ticket); ticket.State == Admitted {
			admitted++
			g.Done(now, ticket, fail)
		}
	}
	is.True(admitted <= 25) // of 10,000 within 10 s
}

// Guards against running a request after a pause of the process in which the
// request expired.
func TestPauseDropsExpired(t *testing.T) {
	is := is.New(t)
	var gap time.Duration
	now := start
	g := NewGate(Config{PublishedSlots: 1, OnPause: func(d time.Duration) { gap = d }}, now)
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
