package relay_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/budget"
	"github.com/primrosethread/primrosethread/relay"
)

// dataCentreRegions are the regions of the data centres of newRegions. The relay is in a;
// the region of x is unknown.
var dataCentreRegions = map[prim.DataCentre]prim.Region{"a": "r1", "b": "r1", "c": "r2", "d": "r3", "x": ""}

// newRegions returns a fleet with two hosts in each data centre of regions, named after it,
// and a relay for it.
func newRegions(regions map[prim.DataCentre]prim.Region) (*fleet, *relay.Relay) {
	f := &fleet{owners: make(map[prim.HostName]*fakeOwner)}
	var entries []prim.ServerEntry
	for _, d := range []prim.DataCentre{"a", "b", "c", "d", "x"} {
		for i := range 2 {
			h := prim.HostName(fmt.Sprintf("%s-%d", d, i))
			entries = append(entries, prim.ServerEntry{ID: "s-" + string(h), Service: "orders", Host: h, DataCentre: d, Slots: 10})
			f.owners[h] = &fakeOwner{fleet: f, host: h, sample: prim.LoadSample{Host: h, Limit: 8, Slowdown: 1},
				run: func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer(h, 200), nil }}
		}
	}
	f.placement = prim.NewPlacement(prim.Routing{Version: 1}, nil, entries)
	return f, relay.New(relay.Config{
		Host: "none", DataCentre: "a", Placements: f, Owners: f, Links: f,
		Budget:          func() *budget.Budget { return budget.New(0, 0, 100) },
		DataCentreDelay: 5 * time.Millisecond, LinkCostPerKB: 30 * time.Millisecond,
		Region: func(d prim.DataCentre) prim.Region { return regions[d] },
	})
}

// newHomeRequest returns a request with home regions.
func newHomeRequest(idempotent bool, regions ...prim.Region) *prim.Request {
	q := newRequest(idempotent)
	q.HasRegions, q.Regions = true, regions
	return q
}

// regionOf returns the region of a host of newRegions.
func regionOf(h prim.HostName) prim.Region { return dataCentreRegions[prim.DataCentre(h[:1])] }

// Guards against a request that reaches a server outside its home regions, with the first
// attempt, a retry, or after refusals, or a server whose region is unknown.
func TestRequestsStayInHomeRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, r := newRegions(dataCentreRegions)
		for _, o := range f.owners {
			switch outcome := rapid.IntRange(0, 8).Draw(t, "outcome"); outcome {
			case 0:
				o.run = func(context.Context, *prim.Request) (*prim.Answer, error) { return newAnswer(o.host, 503), nil }
			case 1:
				o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
					return nil, &prim.LostAnswerError{Cause: errors.New("link closed")}
				}
			case 2, 3, 4, 5, 6:
				o.run = refuseWith([]prim.Reason{prim.ReasonBusy, prim.ReasonLeaving, prim.ReasonUnreachable, prim.ReasonShed, prim.ReasonNoHost}[outcome-2])
			}
		}
		for range 5 {
			regions := rapid.SliceOfNDistinct(rapid.SampledFrom([]prim.Region{"r1", "r2", "r3", "r4"}), 0, 3, rapid.ID[prim.Region]).Draw(t, "regions")
			f.dispatches = nil
			_, err := r.Do(t.Context(), newHomeRequest(rapid.Bool().Draw(t, "idempotent"), regions...))
			for _, h := range f.dispatches {
				if !slices.Contains(regions, regionOf(h)) {
					t.Fatalf("home regions %v: request sent to host %s", regions, h)
				}
			}
			if len(f.dispatches) == 0 && prim.OutcomeOf(err) != prim.NotRun {
				t.Fatalf("home regions %v: error %v without a dispatch", regions, err)
			}
		}
	})
}

// Guards against a request without home regions that is restricted like the ones before.
func TestRequestsWithoutHomeRegionsUseAllServers(t *testing.T) {
	is := is.New(t)
	f, r := newRegions(dataCentreRegions)
	_, err := r.Do(t.Context(), newHomeRequest(true, "r3"))
	is.NoErr(err)
	is.Equal(regionOf(f.dispatches[0]), prim.Region("r3"))
	for _, h := range []prim.HostName{"a-0", "a-1"} {
		r.Observe(h, f.owners[h].sample) // as nodes of the own data centre do; without it, jitter may favour d
	}
	_, err = r.Do(t.Context(), newRequest(true))
	is.NoErr(err)
	is.Equal(f.dispatches[1][0], byte('a'))
}

// Guards against a request that is held, or sent elsewhere, because no server in its home
// regions can be used, and against a RetryAfter that is not when one can be again.
func TestNoServerInHomeRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, r := newRegions(dataCentreRegions)
		refused := func(after time.Duration, regions ...prim.Region) {
			t.Helper()
			begin := time.Now()
			_, err := r.Do(t.Context(), newHomeRequest(true, regions...))
			var refusal *prim.RefusalError
			is.True(errors.As(err, &refusal))
			is.Equal(prim.OutcomeOf(err), prim.NotRun)
			is.Equal(refusal.Reason, prim.ReasonNoHomeRegion)
			is.Equal(refusal.RetryAfter, after)
			is.Equal(time.Since(begin), time.Duration(0))
		}
		refused(time.Second, "r4") // no data centre has this region
		refused(3 * time.Second)   // route and customer have none in common
		refused(time.Second, "")   // not that of data centre x
		is.Equal(len(f.dispatches), 0)
		f.owners["c-0"].run, f.owners["c-1"].run = refuseWith(prim.ReasonUnreachable), refuseWith(prim.ReasonUnreachable)
		refused(50*time.Millisecond, "r2") // both links are down
		is.Equal(len(f.dispatches), 2)
		time.Sleep(20 * time.Millisecond)
		refused(30*time.Millisecond, "r2") // no server is asked again meanwhile
		is.Equal(len(f.dispatches), 2)
		r.LinkOpened("c-1")
		f.owners["c-1"].run = f.owners["d-1"].run
		_, err := r.Do(t.Context(), newHomeRequest(true, "r2"))
		is.NoErr(err)
	})
}

// Guards against a relay that goes by the regions from before a reload of the settings.
func TestChangedRegionsTakeEffect(t *testing.T) {
	is := is.New(t)
	regions := map[prim.DataCentre]prim.Region{"a": "r1", "c": "r2"}
	f, r := newRegions(regions)
	_, err := r.Do(t.Context(), newHomeRequest(true, "r2"))
	is.NoErr(err)
	regions["c"], regions["d"] = "r3", "r2"
	r.SetRegions()
	_, err = r.Do(t.Context(), newHomeRequest(true, "r2"))
	is.NoErr(err)
	is.Equal(f.dispatches[0][0], byte('c'))
	is.Equal(f.dispatches[1][0], byte('d'))
}

// Guards against a server of another region that is preferred to an equal one in another
// data centre of the own region.
func TestOwnRegionIsPreferred(t *testing.T) {
	is := is.New(t)
	f, r := newRegions(dataCentreRegions)
	for h, o := range f.owners {
		o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
			a := newAnswer(h, 200)
			a.Body = make([]byte, 10<<10)
			return a, nil
		}
	}
	f.owners["a-0"].run, f.owners["a-1"].run = refuseWith(prim.ReasonLeaving), refuseWith(prim.ReasonLeaving)
	r.Do(t.Context(), newRequest(true)) // learns the size of answers, and which servers are leaving
	f.dispatches = nil
	for range 100 {
		r.Do(t.Context(), newRequest(true))
	}
	for _, h := range f.dispatches {
		is.True(h[0] == 'a' || regionOf(h) == "r1" || regionOf(h) == "")
	}
}

// Guards against a request that waits for a dial to each server of a region that is cut off,
// and against one that waits although it is known to be cut off.
func TestRegionThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, r := newRegions(map[prim.DataCentre]prim.Region{"a": "r1", "b": "r2", "c": "r2", "d": "r2", "x": "r2"})
		f.unlinked = true
		var dialled []int // hosts that were dialled without the request, before each dispatch
		for _, o := range f.owners {
			o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
				dialled = append(dialled, len(f.connects))
				time.Sleep(300 * time.Millisecond) // the timeout of a dial
				return nil, &prim.RefusalError{Reason: prim.ReasonUnreachable}
			}
		}
		begin := time.Now()
		_, err := r.Do(t.Context(), newHomeRequest(true, "r2"))
		is.Equal(prim.OutcomeOf(err), prim.NotRun)
		is.Equal(len(f.dispatches), 2)
		is.Equal(time.Since(begin), 600*time.Millisecond)
		is.Equal(dialled, []int{0, 8}) // all at once, so that the next requests know
		f.cutOff = make(map[prim.HostName]time.Duration)
		for h := range f.owners {
			f.cutOff[h] = 400 * time.Millisecond
		}
		time.Sleep(2 * time.Second) // no server counts as unreachable any more
		f.dispatches, f.connects = nil, nil
		begin = time.Now()
		_, err = r.Do(t.Context(), newHomeRequest(true, "r2"))
		var refusal *prim.RefusalError
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.RetryAfter, 400*time.Millisecond) // when the next dial begins
		is.Equal(time.Since(begin), time.Duration(0))
		is.Equal(len(f.dispatches), 0)
		is.Equal(len(f.connects), 8)
	})
}

// Guards against a relay that goes by a constant although the delay to a data centre has been
// measured: the server of data centre d is 1 ms away and those of b are 40 ms away.
func TestMeasuredDelayDecides(t *testing.T) {
	for _, reported := range []bool{true, false} { // by nodes of this version and an earlier one
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, r := newRegions(map[prim.DataCentre]prim.Region{})
			for h, o := range f.owners {
				oneWay := map[byte]time.Duration{'b': 40 * time.Millisecond, 'c': 40 * time.Millisecond, 'd': time.Millisecond, 'x': 40 * time.Millisecond}[h[0]]
				o.run = func(context.Context, *prim.Request) (*prim.Answer, error) {
					time.Sleep(2*oneWay + 20*time.Millisecond)
					a := newAnswer(h, 200)
					if reported {
						a.OwnerTime = 20 * time.Millisecond
					}
					return a, nil
				}
			}
			f.owners["a-0"].run, f.owners["a-1"].run = refuseWith(prim.ReasonNoHost), refuseWith(prim.ReasonNoHost)
			// Requests use other servers before those of d can be reached. A server that has
			// just answered is preferred to others at the same distance.
			runs := map[prim.HostName]func(context.Context, *prim.Request) (*prim.Answer, error){"d-0": f.owners["d-0"].run, "d-1": f.owners["d-1"].run}
			f.owners["d-0"].run, f.owners["d-1"].run = refuseWith(prim.ReasonUnreachable), refuseWith(prim.ReasonUnreachable)
			for range 100 {
				r.Do(t.Context(), newRequest(true))
			}
			f.owners["d-0"].run, f.owners["d-1"].run = runs["d-0"], runs["d-1"]
			for range 100 {
				r.Do(t.Context(), newRequest(true))
			}
			f.dispatches = nil
			for range 100 {
				r.Do(t.Context(), newRequest(true))
			}
			toD := f.dispatchesTo("d-0") + f.dispatchesTo("d-1")
			toOthers := len(f.dispatches) - toD - f.dispatchesTo("a-0") - f.dispatchesTo("a-1")
			is.Equal(toD > 90, reported)
			is.Equal(toOthers > 90, !reported)
			is.Equal(len(r.Distances(time.Now())) > 0, reported)
		})
	}
}
