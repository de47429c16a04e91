package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

const (
	// homePath is the path of the route with home regions.
	homePath = "/home/"
	// Numbers of the random sources of the regions, their faults and the clients of homePath.
	regionSource      = 20000
	regionFaultSource = 20001
	homeSource        = 20002
)

// homeChange is a change of the home regions of the route homePath.
type homeChange struct {
	begin, end time.Time // of the write to the store
	regions    []string  // empty: no restriction
}

// drawRegions decides for half of the seeds that the two or three data centres belong to
// two or three regions.
func (d *deployment) drawRegions() {
	r := rand.New(rand.NewPCG(d.c.seed, regionSource))
	d.regions, d.dataCentres = 1, dataCentres
	if r.IntN(2) == 0 {
		d.dataCentres = 2 + r.IntN(2)
		d.regions = 2 + r.IntN(d.dataCentres-1)
		d.routes[homePath] = "stock"
	}
}

// region returns the region of the data centre with a number.
func (d *deployment) region(dataCentre int) string { return fmt.Sprintf("r%d", dataCentre%d.regions) }

// zones returns the regions of all data centres.
func (d *deployment) zones() map[string]string {
	zones := make(map[string]string)
	for i := range d.dataCentres {
		zones[fmt.Sprintf("c%d", i)] = d.region(i)
	}
	return zones
}

// publishHome publishes a version with new home regions: one of all sets, the empty one included.
func (d *deployment) publishHome(r *rand.Rand) {
	d.mu.Lock()
	d.home = nil
	for i := range d.regions {
		if r.IntN(2) == 0 {
			d.home = append(d.home, d.region(i))
		}
	}
	service := d.routes["/safe/"]
	d.mu.Unlock()
	d.publishRoutes(service)
}

// injectRegionFaults changes the home regions and cuts data centres off, until the context
// ends. A cut holds all links between nodes that lead to the data centre, also those from
// within it, but not the links to the store. The home regions change during each cut.
func (d *deployment) injectRegionFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(d.c.seed, regionFaultSource))
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
		d.publishHome(r)
		waits.Sleep(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
		dataCentre := fmt.Sprintf("c%d", r.IntN(d.dataCentres))
		d.markCut(time.Hour)
		d.setCut(dataCentre, true)
		sleepFaultDuration(ctx, r)
		d.publishHome(r)
		sleepFaultDuration(ctx, r)
		d.setCut(dataCentre, false)
		d.markCut(recoveryTime)
	}
}

func (d *deployment) setCut(dataCentre string, cut bool) {
	for _, h := range d.hosts {
		if h.dataCentre == dataCentre {
			h.peerProxy.SetSilent(cut, false)
		}
	}
}

// markCut marks every host as affected by a cut for a time from now on, since each may have
// a request in flight to the data centre.
func (d *deployment) markCut(duration time.Duration) {
	for _, h := range d.hosts {
		h.cutUntil.Store(time.Now().Add(duration).UnixNano())
	}
}

// runHomeClient sends requests of the route homePath to the node of a host.
func (d *deployment) runHomeClient(ctx context.Context, h *host, r *rand.Rand, results *resultList) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(50+r.IntN(200))*time.Millisecond)
		results.add(d.send(client, h, homePath, r))
	}
}

// homeAllows reports whether a request may run in a region at a time: a version that allows
// the region was published before then, and if it was replaced, then at most routesBound
// before the request was sent.
func (d *deployment) homeAllows(res requestResult, region string, at time.Time) bool {
	for i, change := range d.homeChanges {
		replaced := i+1 < len(d.homeChanges) && d.homeChanges[i+1].end.Before(res.sent.Add(-routesBound))
		allowed := len(change.regions) == 0 || slices.Contains(change.regions, region)
		if allowed && !replaced && change.begin.Before(at) {
			return true
		}
	}
	return false
}

// checkHome checks the requests of the route homePath: none ran outside the home regions
// unless its node may have had an old version, and those that did not run were refused with 503.
func (d *deployment) checkHome(byID map[string]requestResult) {
	ran := make(map[string]bool)
	zones := d.zones()
	for _, h := range d.hosts {
		for _, run := range h.app.Runs() {
			res := byID[run.ID]
			ran[run.ID] = true
			if region := zones[h.dataCentre]; res.path == homePath && res.informed && !d.homeAllows(res, region, run.At) {
				d.fail("request %s of host %s, sent at %s, ran outside its home regions at host %s in region %s at %s",
					run.ID, res.host.name, res.sent.Format("05.000"), h.name, region, run.At.Format("05.000"))
			}
		}
	}
	for _, res := range byID {
		if res.path == homePath && res.undisturbed && !ran[res.id] && res.status != 0 && res.status != http.StatusServiceUnavailable {
			d.fail("request %s at host %s, sent at %s, did not run and got status %d instead of 503", res.id, res.host.name, res.sent.Format("05.000"), res.status)
		}
	}
}
