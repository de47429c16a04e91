package relay_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
	"github.com/primrosethread/primrosethread/relay"
)

// fleet is a set of fake owners. It implements prim.Placements, prim.Owners and
// relay.Links.
type fleet struct {
	placement  *prim.Placement
	owners     map[prim.HostName]*fakeOwner
	dispatches []prim.HostName // hosts, in the order of their dispatches
	unlinked   bool            // no host has a link
	cutOff     map[prim.HostName]time.Duration
	connects   map[prim.HostName]int // calls of Connect
}

// fakeOwner answers dispatches by calling run.
type fakeOwner struct {
	fleet  *fleet
	host   prim.HostName
	sample prim.LoadSample
	run    func(ctx context.Context, r *prim.Request) (*prim.Answer, error)
}

func (o *fakeOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	o.fleet.dispatches = append(o.fleet.dispatches, o.host)
	return o.run(ctx, r)
}
func (o *fakeOwner) Reserve(context.Context, *prim.Request) (prim.Reservation, error) {
	return nil, errors.New("not used")
}
func (o *fakeOwner) Sample() prim.LoadSample { return o.sample }

func (f *fleet) Owner(h prim.HostName) prim.Owner { return f.owners[h] }
func (f *fleet) Placement() *prim.Placement       { return f.placement }
func (f *fleet) Changed() <-chan struct{}         { return nil }
func (f *fleet) Linked(prim.HostName) bool        { return !f.unlinked }
func (f *fleet) Connect(h prim.HostName) {
	if f.connects == nil {
		f.connects = make(map[prim.HostName]int)
	}
	f.connects[h]++
}
func (f *fleet) CutOff(h prim.HostName) (time.Duration, bool) {
	wait, ok := f.cutOff[h]
	return wait, ok
}
func (f *fleet) dispatchesTo(h prim.HostName) (count int) {
	for _, o := range f.dispatches {
		if o == h {
			count++
		}
	}
	return count
}

// newFleet returns a fleet with the hosts near-1 and near-2 in the relay's data centre
// and far-1 in another, and a relay for it. All servers answer with status 200.
func newFleet() (*fleet, *relay.Relay) {
	f := &fleet{owners: make(map[prim.HostName]*fakeOwner)}
	var entries []prim.ServerEntry
	for _, h := range []struct {
		name       prim.HostName
		dataCentre prim.DataCentre
	}{{"near-1", "a"}, {"near-2", "a"}, {"far-1", "b"}} {
		entries = append(entries, prim.ServerEntry{ID: "s-" + string(h.name), Service: "orders", Host: h.name, DataCentre: h.dataCentre, Slots: 10})
		o := &fakeOwner{fleet: f, host: h.name, sample: prim.LoadSample{Host: h.name, Limit: 8, Slowdown: 1}}
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer(h.name, 200), nil }
		f.owners[h.name] = o
	}
	f.placement = prim.NewPlacement(prim.Routing{Version: 1}, nil, entries)
	return f, f.relay(5 * time.Millisecond)
}

// relay returns a relay with the given one-way latency to the other data centre.
func (f *fleet) relay(distance time.Duration) *relay.Relay { return f.relayWith(distance, nil) }

// relayWith is relay with a check of answers.
func (f *fleet) relayWith(distance time.Duration, check func(prim.HostName, *prim.Request, *prim.Answer) error) *relay.Relay {
	return relay.New(relay.Config{
		Host: "none", DataCentre: "a", Placements: f, Owners: f, Links: f, CheckAnswer: check,
		Budget:          func() *budget.Budget { return budget.New(0, 0, 2) },
		DataCentreDelay: distance, LinkCostPerKB: 30 * time.Millisecond,
	})
}

func newAnswer(h prim.HostName, status int) *prim.Answer {
	return &prim.Answer{Status: status, ServiceTime: 20 * time.Millisecond, Sample: prim.LoadSample{Host: h, Limit: 8, Slowdown: 1}}
}

func newRequest(idempotent bool) *prim.Request {
	return &prim.Request{Service: "orders", Class: "r", Method: "POST", Idempotent: idempotent, Attempts: 3, Deadline: time.Now().Add(time.Minute)}
}

// refuseWith returns a run function that refuses every request.
func refuseWith(why prim.Reason) func(context.Context, *prim.Request) (*prim.Answer, error) {
	return func(context.Context, *prim.Request) (*prim.Answer, error) {
		return nil, &prim.RefusalError{Reason: why}
	}
}

// Guards against running a non-idempotent request twice after a server answered it
// with a failure or its answer was lost.
func TestNotIdempotentRunsOnce(t *testing.T) {
	for name, run := range map[string]func(context.Context, *prim.Request) (*prim.Answer, error){
		"failure": func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer("", 500), nil },
		"lost": func(context.Context, *prim.Request) (*prim.Answer, error) {
			return nil, &prim.LostAnswerError{Cause: errors.New("link closed")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := newFleet()
			for _, o := range f.owners {
				o.run = run
			}
			a, err := r.Do(context.Background(), newRequest(false))
			is.Equal(len(f.dispatches), 1)
			is.True(a == nil || a.Status == 500)
			is.True(a != nil || prim.OutcomeOf(err) == prim.Unknown)
		})
	}
}

// Guards against an answer that a node of an earlier version passes on although it is not its
// server's own: it reaches no caller, and a second server gets the request only if it is idempotent
// and the budget allows it.
func TestRejectedAnswers(t *testing.T) {
	for _, c := range []struct {
		name                 string
		idempotent           bool
		attempts             int // of the route
		rejected             int // answers
		dispatches, requests int
		outcome              prim.Outcome
	}{
		{"idempotent", true, 3, 1, 2, 1, prim.Done},
		{"not idempotent", false, 3, 1, 1, 1, prim.Unknown},
		{"idempotent, no attempts left", true, 2, 9, 2, 1, prim.Unknown},
		{"idempotent, no budget left", true, 3, 9, 3 + 1, 2, prim.Unknown}, // newFleet allows two repeats
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, _ := newFleet()
			left := c.rejected
			released := 0
			for _, o := range f.owners {
				o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
					a := newAnswer(o.host, 200)
					a.Release = func() { released++ }
					return a, nil
				}
			}
			r := f.relayWith(5*time.Millisecond, func(h prim.HostName, _ *prim.Request, _ *prim.Answer) error {
				if left == 0 {
					return nil
				}
				left--
				return &prim.LostAnswerError{Host: h, Cause: &prim.BrokenAnswerError{Cause: errors.New("not signed")}}
			})
			var a *prim.Answer
			var err error
			for range c.requests {
				q := newRequest(c.idempotent)
				q.Attempts = c.attempts
				a, err = r.Do(context.Background(), q)
			}
			is.Equal(prim.OutcomeOf(err), c.outcome)
			is.Equal(a != nil, c.outcome == prim.Done)
			is.Equal(len(f.dispatches), c.dispatches)
			is.Equal(released, c.rejected-left)
		})
	}
}

// Guards against a repeat that can't be answered before the deadline: it takes a token of the budget
// and the caller waits for nothing.
func TestNoRepeatWithoutTime(t *testing.T) {
	for _, c := range []struct {
		left       time.Duration // after the failure
		dispatches int
	}{{60 * time.Millisecond, 2}, {19 * time.Millisecond, 1}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, r := newFleet()
			_, err := r.Do(t.Context(), newRequest(true)) // the class takes 20 ms
			is.NoErr(err)
			f.dispatches = nil
			q := newRequest(true)
			q.Deadline = time.Now().Add(100 * time.Millisecond)
			failed := false
			for _, o := range f.owners {
				o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
					if failed {
						return newAnswer(o.host, 200), nil
					}
					failed = true
					time.Sleep(100*time.Millisecond - c.left)
					return nil, &prim.LostAnswerError{Cause: errors.New("link closed")}
				}
			}
			_, err = r.Do(t.Context(), q)
			is.Equal(len(f.dispatches), c.dispatches)
			is.Equal(err == nil, c.dispatches == 2)
			is.Equal(time.Until(q.Deadline), c.left) // no wait for the deadline
		})
	}
}

// Guards against the context of a request that stays until the deadline after the answer or a panic,
// and against one that ends while its answer is still being read.
func TestContextEndsWithRequest(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	var ctx context.Context
	answer := func(rest io.ReadCloser) func(context.Context, *prim.Request) (*prim.Answer, error) {
		return func(c context.Context, _ *prim.Request) (*prim.Answer, error) {
			ctx = c
			a := newAnswer("", 200)
			a.Rest = rest
			return a, nil
		}
	}
	do := func(run func(context.Context, *prim.Request) (*prim.Answer, error)) (a *prim.Answer, panicked bool) {
		for _, o := range f.owners {
			o.run = run
		}
		defer func() { panicked = recover() != nil }()
		a, err := r.Do(context.Background(), newRequest(false))
		is.NoErr(err)
		return a, false
	}
	do(answer(nil))
	is.Equal(ctx.Err(), context.Canceled)
	a, _ := do(answer(io.NopCloser(strings.NewReader("rest"))))
	is.NoErr(ctx.Err())
	a.Rest.Close()
	is.Equal(ctx.Err(), context.Canceled)
	_, panicked := do(func(c context.Context, _ *prim.Request) (*prim.Answer, error) {
		ctx = c
		panic("test")
	})
	is.True(panicked)
	is.Equal(ctx.Err(), context.Canceled)
}

// Guards against a failed idempotent request that is not retried at another server,
// and against retries at the same server or beyond the attempts of the route.
func TestIdempotentIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	f.owners["near-1"].run = func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer("near-1", 500), nil }
	f.owners["near-2"].run = f.owners["near-1"].run
	a, err := r.Do(context.Background(), newRequest(true))
	is.NoErr(err)
	is.Equal(a.Status, 200)
	for h := range f.owners {
		is.True(f.dispatchesTo(h) <= 1)
	}
	f, r = newFleet() // with a full budget
	q := newRequest(true)
	q.Attempts = 1
	for _, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer("", 500), nil }
	}
	a, err = r.Do(context.Background(), q)
	is.NoErr(err)
	is.Equal(a.Status, 500) // the answer of the server, not an error of the relay
	is.Equal(len(f.dispatches), 1)
}

// Guards against retries beyond the budget of the service.
func TestBudgetBoundsRepeats(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer("", 500), nil }
	}
	for range 10 {
		r.Do(context.Background(), newRequest(true))
	}
	is.Equal(len(f.dispatches), 12) // 10 first attempts and the 2 retries that the budget allows
}

// Guards against failing a request although another server has free slots. A refused
// request has not run, so trying another server takes nothing from the retry budget.
func TestRefusedElsewhere(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, h := range []prim.HostName{"near-1", "near-2"} {
		f.owners[h].run = func(context.Context, *prim.Request) (*prim.Answer, error) {
			return nil, &prim.RefusalError{
				Reason: prim.ReasonLeaving, Sample: prim.LoadSample{Host: h, Leaving: true, Limit: 8},
			}
		}
	}
	answer := f.owners["far-1"].run
	previouslyRefused := 0 // owners must see that another one has refused the request
	f.owners["far-1"].run = func(ctx context.Context, q *prim.Request) (*prim.Answer, error) {
		if q.PreviouslyRefused {
			previouslyRefused++
		}
		return answer(ctx, q)
	}
	for range 5 {
		a, err := r.Do(context.Background(), newRequest(false))
		is.NoErr(err)
		is.Equal(a.Status, 200)
	}
	is.Equal(f.dispatchesTo("near-1"), 1) // the sample in the refusal excludes the host afterwards
	is.Equal(previouslyRefused, 1)
}

// Guards against a large body that is sent from owner to owner, or again and again, because
// each of them must admit or refuse the request at once.
func TestLargeBodyWaitsAtOwner(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, bytes := range []int{1 << 20, 1<<20 + 1} {
		var queueTime time.Duration
		for _, o := range f.owners {
			o.run = func(_ context.Context, q *prim.Request) (*prim.Answer, error) {
				queueTime = q.MaxQueueTime
				return newAnswer("near-1", 200), nil
			}
		}
		q := newRequest(false)
		q.Body = make([]byte, bytes)
		_, err := r.Do(t.Context(), q)
		is.NoErr(err)
		is.Equal(queueTime > 30*time.Second, bytes > 1<<20) // of the minute until the deadline
	}
}

// Guards against a large body that is sent again to a node that has no room for it, and
// against a request that fails although another node has.
func TestNoRoomElsewhere(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	noRoom := func(context.Context, *prim.Request) (*prim.Answer, error) {
		return nil, &prim.RefusalError{Reason: prim.ReasonNoRoom, RetryAfter: time.Second}
	}
	f.owners["near-1"].run, f.owners["near-2"].run = noRoom, noRoom
	_, err := r.Do(t.Context(), newRequest(false))
	is.NoErr(err)
	for h := range f.owners {
		is.Equal(f.dispatchesTo(h), 1)
	}
	f.owners["far-1"].run = noRoom
	_, err = r.Do(t.Context(), newRequest(false))
	var refusal *prim.RefusalError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, prim.ReasonNoRoom)
	is.Equal(refusal.RetryAfter, time.Second)
	for h := range f.owners {
		is.Equal(f.dispatchesTo(h), 2)
	}
}

// Guards against traffic between data centres while a near server would answer in
// time.
func TestNearServersArePreferred(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for range 50 {
		r.Do(context.Background(), newRequest(true))
	}
	is.Equal(f.dispatchesTo("far-1"), 0)
}

// Guards against requests that are sent to a server whose limit is used up, or that takes
// none, while another one can answer.
func TestLimitedServersAreAvoided(t *testing.T) {
	for _, rate := range []float64{0, 3} {
		is := is.New(t)
		f, r := newFleet()
		r.Observe("near-1", prim.LoadSample{Limit: 8, Slowdown: 1, Limited: true, Rate: rate})
		r.Observe("near-2", prim.LoadSample{Limit: 8, Slowdown: 1})
		for range 20 {
			_, err := r.Do(t.Context(), newRequest(true))
			is.NoErr(err)
		}
		is.Equal(f.dispatchesTo("near-1"), 0)
		// The only server left: it is asked, since its sample may be old, unless it takes none.
		f.placement = prim.NewPlacement(prim.Routing{Version: 1}, nil, f.placement.Servers[:1])
		_, err := r.Do(t.Context(), newRequest(true))
		is.Equal(err == nil, rate > 0)
		is.Equal(f.dispatchesTo("near-1") > 0, rate > 0)
	}
}

// Guards against a request that is offered again and again to servers whose limits are used
// up, instead of waiting at the one that has room first, or being refused at once if that
// is too late.
func TestLimitedServersAreNotAskedAgainAndAgain(t *testing.T) {
	for _, timeout := range []time.Duration{250 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, r := newFleet()
			var queueTimes []time.Duration
			for _, o := range f.owners {
				roomAt := time.Now().Add(400 * time.Millisecond)
				if o.host == "near-2" {
					roomAt = time.Now().Add(300 * time.Millisecond)
				}
				o.run = func(ctx context.Context, q *prim.Request) (*prim.Answer, error) {
					queueTimes = append(queueTimes, q.MaxQueueTime)
					if wait := time.Until(roomAt); q.MaxQueueTime < wait {
						return nil, &prim.RefusalError{Reason: prim.ReasonBusy, Host: o.host, RetryAfter: wait,
							Sample: prim.LoadSample{Host: o.host, Limit: 8, Slowdown: 1, Limited: true, Rate: 2, RateRoom: 1}}
					}
					time.Sleep(time.Until(roomAt))
					return newAnswer(o.host, 200), nil
				}
			}
			q := newRequest(true)
			begin := time.Now()
			q.Objective, q.Deadline = begin.Add(timeout/2), begin.Add(timeout)
			_, err := r.Do(t.Context(), q)
			is.True(len(f.dispatches) <= 4)
			if timeout < 300*time.Millisecond {
				var refusal *prim.RefusalError
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.RetryAfter, 300*time.Millisecond) // that of near-2
				is.Equal(time.Since(begin), time.Duration(0))
				return
			}
			is.NoErr(err)
			is.Equal(f.dispatches[len(f.dispatches)-1], prim.HostName("near-2"))
			is.True(time.Since(begin) < 320*time.Millisecond)
		})
	}
}

// Guards against an unspecific error if every server refuses: the caller must get a
// refusal with outcome NotRun and a time to retry after.
func TestFinalRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = refuseWith(prim.ReasonBusy)
	}
	_, err := r.Do(context.Background(), newRequest(false))
	var refusal *prim.RefusalError
	is.True(errors.As(err, &refusal))
	is.True(refusal.RetryAfter > 0)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
}

// Guards against dispatching a request to further owners after two have refused it
// because it can't finish in time.
func TestGivenUpWhenTooLate(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = refuseWith(prim.ReasonExpired)
	}
	_, err := r.Do(context.Background(), newRequest(true))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.Equal(len(f.dispatches), 2)
}

// Guards against blocking a caller beyond its deadline if an owner or the link to it
// is unresponsive.
func TestSilentOwner(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, r := newFleet()
			for _, o := range f.owners {
				o.run = func(ctx context.Context, _ *prim.Request) (*prim.Answer, error) {
					<-ctx.Done()
					return nil, &prim.LostAnswerError{Cause: ctx.Err()}
				}
			}
			q := newRequest(idempotent)
			q.Deadline = time.Now().Add(time.Second)
			_, err := r.Do(context.Background(), q)
			is.Equal(prim.OutcomeOf(err), prim.Unknown)
			is.True(prim.IsTimeout(err))
			is.True(time.Since(q.Deadline) < 100*time.Millisecond)
		})
	}
}

// Guards against sending a request again to a server that refused it as meant for another
// instance: a late second copy of that refusal would be taken for the answer to the
// repeat, and the request would be reported as not run although it runs.
func TestOtherInstanceIsNotRepeatedAtTheSameServer(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = refuseWith(prim.ReasonOtherInstance)
	}
	q := newRequest(false)
	q.Attempts = 0
	_, err := r.Do(context.Background(), q)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	for h := range f.owners {
		is.True(f.dispatchesTo(h) <= 1)
	}
}

// Guards against a retry at the server that failed the request.
func TestNoRepeatAtTheSameServer(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	f.placement = prim.NewPlacement(prim.Routing{Version: 1}, nil, f.placement.Servers[:1])
	f.owners["near-1"].run = func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer("near-1", 500), nil }
	a, err := r.Do(context.Background(), newRequest(true))
	is.NoErr(err)
	is.Equal(a.Status, 500)
	is.Equal(len(f.dispatches), 1)
}

// Guards against traffic between data centres for a small gain in time: here the far
// server is less loaded and adds no latency.
func TestBytesKeepRequestsNear(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet()
	r := f.relay(0)
	for h, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
			a := newAnswer(h, 200)
			a.Body = make([]byte, 20<<10)
			if h != "far-1" {
				a.Sample.InFlight = 6
			}
			return a, nil
		}
	}
	for range 20 { // measure the answer sizes
		r.Do(context.Background(), newRequest(true))
	}
	f.dispatches = nil
	for range 50 {
		r.Do(context.Background(), newRequest(true))
	}
	is.Equal(f.dispatchesTo("far-1"), 0)
}

// Guards against a request that is dispatched again and again to a host whose address now
// belongs to another service, and that is refused although another server has room.
func TestHostOfOtherServiceIsAskedOnce(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	f.owners["near-1"].run = func(context.Context, *prim.Request) (*prim.Answer, error) {
		return nil, &prim.RefusalError{Reason: prim.ReasonNoHost, Sample: f.owners["near-1"].sample}
	}
	f.owners["near-2"].run = refuseWith(prim.ReasonNoHost)
	a, err := r.Do(context.Background(), newRequest(false))
	is.NoErr(err)
	is.Equal(a.Status, 200)
	f.owners["far-1"].run = refuseWith(prim.ReasonNoHost)
	f.dispatches = nil
	_, err = r.Do(context.Background(), newRequest(false))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.Equal(len(f.dispatches), 3)
}

// Guards against a stopping node that takes a request which it can't answer before it exits,
// and against one whose owner is not told how long this node can wait.
func TestStopBoundsRequests(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet()
	var answerBy time.Time
	r := relay.New(relay.Config{
		Host: "none", DataCentre: "a", Placements: f, Owners: f, Links: f,
		Budget:   func() *budget.Budget { return budget.New(0, 0, 2) },
		AnswerBy: func() time.Time { return answerBy },
	})
	var deadline time.Time
	for h, o := range f.owners {
		o.run = func(_ context.Context, q *prim.Request) (*prim.Answer, error) {
			deadline = q.Deadline
			return newAnswer(h, 200), nil
		}
	}
	_, err := r.Do(context.Background(), newRequest(false)) // the service takes 20 ms
	is.NoErr(err)
	answerBy = time.Now().Add(10 * time.Second)
	_, err = r.Do(context.Background(), newRequest(false))
	is.NoErr(err)
	is.True(deadline.Equal(answerBy))
	f.dispatches = nil
	answerBy = time.Now().Add(prim.StopMargin * 19 * time.Millisecond)
	_, err = r.Do(context.Background(), newRequest(false))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	var refusal *prim.RefusalError
	is.True(errors.As(err, &refusal) && refusal.RetryAfter > 0)
	is.Equal(len(f.dispatches), 0)
}
