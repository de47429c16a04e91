package relay_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
	"github.com/primrosethread/primrosethread/relay"
)

// fleet is a set of owners with scripted answers.
type fleet struct {
	placement *prim.Placement
	owners    map[prim.HostName]*fakeOwner
	order     []prim.HostName // of the dispatches
}

type fakeOwner struct {
	f      *fleet
	host   prim.HostName
	sample prim.Sample
	run    func(ctx context.Context, r *prim.Request) (*prim.Answer, error)
}

func (o *fakeOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	o.f.order = append(o.f.order, o.host)
	return o.run(ctx, r)
}
func (o *fakeOwner) Reserve(context.Context, *prim.Request) (prim.Reservation, error) {
	return nil, errors.New("not used")
}
func (o *fakeOwner) Sample() prim.Sample { return o.sample }

func (f *fleet) Owner(h prim.HostName) prim.Owner { return f.owners[h] }
func (f *fleet) Placement() *prim.Placement       { return f.placement }
func (f *fleet) Changed() <-chan struct{}         { return nil }
func (f *fleet) Linked(prim.HostName) bool        { return true }
func (f *fleet) Connect(prim.HostName)            {}
func (f *fleet) ran(h prim.HostName) (count int) {
	for _, o := range f.order {
		if o == h {
			count++
		}
	}
	return count
}

// newFleet makes hosts near-1, near-2 in the relay's data centre and far-1 in
// another; all answer 200 unless changed.
func newFleet() (*fleet, *relay.Relay) {
	f := &fleet{owners: make(map[prim.HostName]*fakeOwner)}
	var entries []prim.ServerEntry
	for _, h := range []struct {
		name   prim.HostName
		centre prim.DataCentre
	}{{"near-1", "a"}, {"near-2", "a"}, {"far-1", "b"}} {
		entries = append(entries, prim.ServerEntry{ID: "s-" + string(h.name), Service: "orders", Host: h.name, DataCentre: h.centre, Slots: 10})
		o := &fakeOwner{f: f, host: h.name, sample: prim.Sample{Host: h.name, Limit: 8, Slowdown: 1}}
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return answer(h.name, 200), nil }
		f.owners[h.name] = o
	}
	f.placement = prim.NewPlacement(prim.Routing{Version: 1}, nil, entries)
	return f, f.relay(5 * time.Millisecond)
}

// relay returns a relay whose way to the other data centre takes a time.
func (f *fleet) relay(distance time.Duration) *relay.Relay {
	return relay.New(relay.Config{
		Host: "none", DataCentre: "a", Placements: f, Owners: f, Links: f,
		Budget:   func() *budget.Budget { return budget.New(0, 0, 2) },
		Distance: distance, Detour: 30 * time.Millisecond,
	})
}

func answer(h prim.HostName, status int) *prim.Answer {
	return &prim.Answer{Status: status, Served: 20 * time.Millisecond, Sample: prim.Sample{Host: h, Limit: 8, Slowdown: 1}}
}

func request(idempotent bool) *prim.Request {
	return &prim.Request{Service: "orders", Class: "r", Method: "POST", Idempotent: idempotent, Attempts: 3, Deadline: time.Now().Add(time.Minute)}
}

func refuse(why prim.Reason) func(context.Context, *prim.Request) (*prim.Answer, error) {
	return func(context.Context, *prim.Request) (*prim.Answer, error) { return nil, &prim.Refusal{Reason: why} }
}

// Guards against a second run of a request that is not idempotent, after a server
// has answered it with a failure or its answer was lost.
func TestNotIdempotentRunsOnce(t *testing.T) {
	for name, run := range map[string]func(context.Context, *prim.Request) (*prim.Answer, error){
		"failure": func(context.Context, *prim.Request) (*prim.Answer, error) { return answer("", 500), nil },
		"lost": func(context.Context, *prim.Request) (*prim.Answer, error) {
			return nil, &prim.Lost{Cause: errors.New("link closed")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := newFleet()
			for _, o := range f.owners {
				o.run = run
			}
			a, err := r.Do(context.Background(), request(false))
			is.Equal(len(f.order), 1)
			is.True(a == nil || a.Status == 500)
			is.True(a != nil || prim.OutcomeOf(err) == prim.Unknown)
		})
	}
}

// Guards against a failed idempotent request that is not repeated elsewhere, and
// against repeats at the same server or beyond the attempts of the route.
func TestIdempotentIsRepeatedElsewhere(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	f.owners["near-1"].run = func(context.Context, *prim.Request) (*prim.Answer, error) { return answer("near-1", 500), nil }
	f.owners["near-2"].run = f.owners["near-1"].run
	a, err := r.Do(context.Background(), request(true))
	is.NoErr(err)
	is.Equal(a.Status, 200)
	for h := range f.owners {
		is.True(f.ran(h) <= 1)
	}
	f, r = newFleet() // with a full budget
	q := request(true)
	q.Attempts = 1
	for _, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return answer("", 500), nil }
	}
	a, err = r.Do(context.Background(), q)
	is.NoErr(err)
	is.Equal(a.Status, 500) // the server's own failure, not one of ours
	is.Equal(len(f.order), 1)
}

// Guards against repeats beyond the budget of the service.
func TestBudgetBoundsRepeats(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return answer("", 500), nil }
	}
	for range 10 {
		r.Do(context.Background(), request(true))
	}
	is.Equal(len(f.order), 12) // ten first attempts and the two of the bucket
}

// Guards against a request that fails although another server has room: a
// refusal has run nothing and costs no budget.
func TestRefusedElsewhere(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, h := range []prim.HostName{"near-1", "near-2"} {
		f.owners[h].run = func(context.Context, *prim.Request) (*prim.Answer, error) {
			return nil, &prim.Refusal{Reason: prim.ReasonLeaving, Sample: prim.Sample{Host: h, Leaving: true, Limit: 8}}
		}
	}
	answer := f.owners["far-1"].run
	reoffered := 0 // owners have to know that the request came to another one before
	f.owners["far-1"].run = func(ctx context.Context, q *prim.Request) (*prim.Answer, error) {
		if q.Reoffered {
			reoffered++
		}
		return answer(ctx, q)
	}
	for range 5 {
		a, err := r.Do(context.Background(), request(false))
		is.NoErr(err)
		is.Equal(a.Status, 200)
	}
	is.Equal(f.ran("near-1"), 1) // the sample of the refusal is believed
	is.Equal(reoffered, 1)
}

// Guards against bytes between data centres while a near server would answer in
// time.
func TestNearFirst(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for range 50 {
		r.Do(context.Background(), request(true))
	}
	is.Equal(f.ran("far-1"), 0)
}

// Guards against an error when every server refuses: the caller is told that the
// request has not run and when to come back.
func TestRefusalSaysWhen(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = refuse(prim.ReasonBusy)
	}
	_, err := r.Do(context.Background(), request(false))
	var refusal *prim.Refusal
	is.True(errors.As(err, &refusal))
	is.True(refusal.RetryAfter > 0)
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
}

// Guards against a request that goes from owner to owner although they say that it
// can't be finished in time.
func TestGivenUpWhenTooLate(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	for _, o := range f.owners {
		o.run = refuse(prim.ReasonExpired)
	}
	_, err := r.Do(context.Background(), request(true))
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.Equal(len(f.order), 2)
}

// Guards against a caller that waits beyond its deadline because an owner, or the
// way to it, answers nothing.
func TestSilentOwner(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, r := newFleet()
			for _, o := range f.owners {
				o.run = func(ctx context.Context, _ *prim.Request) (*prim.Answer, error) {
					<-ctx.Done()
					return nil, &prim.Lost{Cause: ctx.Err()}
				}
			}
			q := request(idempotent)
			q.Deadline = time.Now().Add(time.Second)
			_, err := r.Do(context.Background(), q)
			is.Equal(prim.OutcomeOf(err), prim.Unknown)
			is.True(prim.IsTimeout(err))
			is.True(time.Since(q.Deadline) < 100*time.Millisecond)
		})
	}
}

// Guards against a repeat at the server that has failed the request.
func TestNoRepeatAtTheSameServer(t *testing.T) {
	is := is.New(t)
	f, r := newFleet()
	f.placement = prim.NewPlacement(prim.Routing{Version: 1}, nil, f.placement.Servers[:1])
	f.owners["near-1"].run = func(context.Context, *prim.Request) (*prim.Answer, error) { return answer("near-1", 500), nil }
	a, err := r.Do(context.Background(), request(true))
	is.NoErr(err)
	is.Equal(a.Status, 500)
	is.Equal(len(f.order), 1)
}

// Guards against bytes between data centres for a small gain in time: the far
// server is less loaded and as near in time.
func TestBytesKeepRequestsNear(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet()
	r := f.relay(0)
	for h, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
			a := answer(h, 200)
			a.Body = make([]byte, 20<<10)
			if h != "far-1" {
				a.Sample.InFlight = 6
			}
			return a, nil
		}
	}
	for range 20 { // the sizes are learned
		r.Do(context.Background(), request(true))
	}
	f.order = nil
	for range 50 {
		r.Do(context.Background(), request(true))
	}
	is.Equal(f.ran("far-1"), 0)
}
