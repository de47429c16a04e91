package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/fakes"
	"github.com/primrosethread/primrosethread/waits"
)

// recoveryTime is how long after the end of a fault a host still counts as disturbed,
// so that the checks leave it out.
const recoveryTime = 3 * time.Second

// fault is a fault or planned change at a host or the platform. The function run
// returns when it has ended.
type fault struct {
	name string
	run  func(ctx context.Context, d *deployment, h *host, r *rand.Rand)
}

// sleepFaultDuration sleeps for the random duration of a fault, 0.5 to 2 s.
func sleepFaultDuration(ctx context.Context, r *rand.Rand) {
	waits.Sleep(ctx, 500*time.Millisecond+time.Duration(r.IntN(1500))*time.Millisecond)
}

var faults = [...]fault{
	{"kill", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		h.markDisturbed(time.Hour)
		h.markDown(recoveryTime)
		h.signal(syscall.SIGKILL)
		h.waitExit(time.Second)
		sleepFaultDuration(ctx, r)
		d.restartNode(h)
	}},
	{"freeze", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		h.markDisturbed(time.Hour)
		h.markDown(time.Hour)
		h.signal(syscall.SIGSTOP)
		sleepFaultDuration(ctx, r)
		h.signal(syscall.SIGCONT)
		h.markDisturbed(recoveryTime)
		h.markDown(recoveryTime)
	}},
	{"stop", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		// A planned stop must lose no request, so the host counts as disturbed only
		// after it.
		begin := time.Now()
		h.stoppingUntil.Store(begin.Add(time.Hour).UnixNano())
		h.signal(syscall.SIGTERM)
		if !h.waitExit(6 * time.Second) {
			d.fail("host %s did not exit within its grace time after SIGTERM", h.name)
			h.markDown(recoveryTime)
			h.signal(syscall.SIGKILL)
			h.waitExit(time.Second)
		} else if code := h.exitCode(); code != 0 && h.undisturbedSince(begin) {
			d.fail("host %s exited with status %d after SIGTERM without another fault", h.name, code)
		}
		h.markDisturbed(time.Hour)
		h.stoppingUntil.Store(time.Now().UnixNano())
		d.restartNode(h)
	}},
	{"hangup", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		for range 1 + r.IntN(3) {
			h.signal(syscall.SIGHUP)
			waits.Sleep(ctx, time.Duration(r.IntN(100))*time.Millisecond)
		}
	}},
	{"store", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		d.storeFaultMu.Lock()
		defer d.storeFaultMu.Unlock()
		d.storeFaultUntil.Store(time.Now().Add(time.Hour).UnixNano())
		d.store.SetFault([]fakes.Fault{fakes.Unavailable, fakes.Unresponsive, fakes.MissedChanges}[r.IntN(3)])
		sleepFaultDuration(ctx, r)
		if r.IntN(2) == 0 {
			d.store.Compact()
		}
		d.store.SetFault(fakes.NoFault)
		d.storeFaultUntil.Store(time.Now().Add(recoveryTime).UnixNano())
	}},
	{"restored", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		// Restores run one at a time: a copy from before another restore has what that lost.
		d.restoreMu.Lock()
		defer d.restoreMu.Unlock()
		c, copied := d.copyStore()
		age := 500*time.Millisecond + time.Duration(r.IntN(2500))*time.Millisecond
		beforeChange := time.Duration(r.Int64N(int64(age)))
		waits.Sleep(ctx, beforeChange)
		d.publishRoutes(d.otherService()) // the restore loses at least this change
		waits.Sleep(ctx, age-beforeChange)

		d.storeFaultMu.Lock()
		defer d.storeFaultMu.Unlock()
		d.storeFaultUntil.Store(time.Now().Add(time.Hour).UnixNano())
		d.store.SetFault([]fakes.Fault{fakes.Unavailable, fakes.Unresponsive}[r.IntN(2)])
		waits.Sleep(ctx, 200*time.Millisecond+time.Duration(r.IntN(800))*time.Millisecond)
		d.store.Restore(c)
		d.store.SetFault(fakes.NoFault)
		if r.IntN(2) == 0 {
			copied = 0 // all keys, not only what was lost
		}
		d.writeAgain(ctx, r, copied, time.Second)
		d.storeFaultUntil.Store(time.Now().Add(recoveryTime).UnixNano())
	}},
	{"cut from store", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		h.markDisturbed(time.Hour)
		if r.IntN(2) == 0 {
			h.storeProxy.Reset()
		}
		h.storeProxy.SetSilent(true, r.IntN(2) == 0)
		sleepFaultDuration(ctx, r)
		h.storeProxy.SetSilent(false, false)
		h.markDisturbed(recoveryTime)
	}},
	{"links", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		if !h.linkFaults {
			return
		}
		d.markAllDisturbed(time.Hour) // each may have a request in flight to h
		switch r.IntN(3) {
		case 0:
			h.peerProxy.Reset()
		case 1:
			h.peerProxy.SetDelay(time.Duration(r.IntN(50)) * time.Millisecond)
		default:
			h.peerProxy.SetSilent(true, r.IntN(2) == 0)
		}
		sleepFaultDuration(ctx, r)
		h.peerProxy.SetDelay(0)
		h.peerProxy.SetSilent(false, false)
		d.markAllDisturbed(recoveryTime)
	}},
	{"routes", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		d.publishRoutes([]string{"orders", "stock"}[r.IntN(2)])
	}},
	{"large configuration", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		d.largeMu.Lock()
		defer d.largeMu.Unlock()
		d.markAllDisturbed(time.Hour)
		d.delayLinks(time.Duration(5+r.IntN(26)) * time.Millisecond)
		d.publishExtraRoutes(2000+r.IntN(4001), d.otherService())
		for range 1 + r.IntN(3) {
			sleepFaultDuration(ctx, r)
			d.markAllDisturbed(time.Hour) // the end of another fault may have set an earlier time
		}
		d.delayLinks(0)
		d.publishExtraRoutes(0, d.otherService())
		d.markAllDisturbed(recoveryTime)
	}},
	{"evacuate", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		at := time.Now()
		d.write("op/evacuate/"+h.dataCentre, struct{}{})
		waits.Sleep(ctx, evacuateBound+time.Second)
		for _, o := range d.hosts {
			if o.dataCentre == h.dataCentre {
				d.checkNoRequests(o, "evacuated", at, evacuateBound)
			}
		}
		d.write("op/evacuate/"+h.dataCentre, nil)
	}},
	{"drain", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		at := time.Now()
		if r.IntN(3) == 0 {
			d.write("servers/"+h.app.ID(), nil) // without the state draining first
		} else {
			d.publishServer(h, "draining")
		}
		waits.Sleep(ctx, drainBound+time.Second)
		d.checkNoRequests(h, "draining", at, drainBound)
		d.write("servers/"+h.app.ID(), nil)
		h.app.Restart()
		d.publishServer(h, "ready")
	}},
	{"restart server", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		d.write("servers/"+h.app.ID(), nil)
		h.app.Restart()
		d.publishServer(h, "ready")
	}},
	{"server names a limit", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		rate := 2 + 20*r.Float64()
		h.app.SetHeader("Server-Limit", strconv.FormatFloat(rate, 'f', 1, 64))
		waits.Sleep(ctx, limitGrace)
		from := time.Now()
		sleepFaultDuration(ctx, r)
		d.checkLimit(h, rate, from, time.Now())
		h.app.SetHeader("Server-Limit")
	}},
	{"server says that it leaves", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		at := time.Now()
		h.app.SetHeader("Server-Leaving", "1")
		waits.Sleep(ctx, drainBound+time.Second)
		d.checkNoRequests(h, "leaving by its answers", at, drainBound)
		h.app.SetHeader("Server-Leaving")
	}},
	{"slow server", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		h.app.SetSlow(2 + 8*r.Float64())
		sleepFaultDuration(ctx, r)
		h.app.SetSlow(1)
	}},
	{"failing server", func(ctx context.Context, d *deployment, h *host, r *rand.Rand) {
		h.app.SetFailing(true)
		sleepFaultDuration(ctx, r)
		h.app.SetFailing(false)
	}},
}

// markAllDisturbed marks every host as disturbed for a time from now on.
func (d *deployment) markAllDisturbed(duration time.Duration) {
	for _, h := range d.hosts {
		h.markDisturbed(duration)
	}
}

// delayLinks delays every block of bytes on the links that have a proxy.
func (d *deployment) delayLinks(delay time.Duration) {
	for _, h := range d.hosts {
		h.storeProxy.SetDelay(delay)
		if h.peerProxy != nil {
			h.peerProxy.SetDelay(delay)
		}
	}
}

// resetSource numbers the random source of the fault of injectResets.
const resetSource = 30000

// injectResets makes one server after the other full for short times and lets it reset
// connections meanwhile, until the context ends. From none to two of its slots stay free.
// Nodes learn of longer times by the reported load: with 0.5 to 2 s there were 3 to 5
// resets in 8 s.
func (d *deployment) injectResets(ctx context.Context) {
	r := rand.New(rand.NewPCG(d.c.seed, resetSource))
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(r.IntN(1500))*time.Millisecond)
		h := d.hosts[r.IntN(len(d.hosts))]
		for range 5 + r.IntN(15) {
			h.app.SetResetting(true, slots-r.IntN(3))
			waits.Sleep(ctx, time.Duration(20+r.IntN(80))*time.Millisecond)
			h.app.SetResetting(true, 0)
			waits.Sleep(ctx, time.Duration(20+r.IntN(80))*time.Millisecond)
		}
		h.app.SetResetting(false, 0)
	}
}

// unsignedSource numbers the random source of the fault of injectUnsigned.
const unsignedSource = 40000

// injectUnsigned makes one server after the other answer without its signature for a short time,
// until the context ends. No client may get such an answer.
func (d *deployment) injectUnsigned(ctx context.Context) {
	statuses := [...]int{http.StatusOK, http.StatusNotFound, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable}
	r := rand.New(rand.NewPCG(d.c.seed, unsignedSource))
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
		h := d.hosts[r.IntN(len(d.hosts))]
		h.app.SetUnsigned(statuses[r.IntN(len(statuses))])
		waits.Sleep(ctx, time.Duration(50+r.IntN(200))*time.Millisecond)
		h.app.SetUnsigned(0)
	}
}

// restartNode starts a host's node after its process has ended.
func (d *deployment) restartNode(h *host) {
	if err := d.startNode(h); err != nil {
		d.fail("host %s: %v", h.name, err)
	}
	h.markDisturbed(recoveryTime)
}

// injectFaults runs random faults one after the other on the hosts with even (half 0)
// or odd (half 1) numbers, until the context ends. Both halves run at the same time,
// each from its own random numbers, so that two faults overlap.
func (d *deployment) injectFaults(ctx context.Context, half int) {
	r := rand.New(rand.NewPCG(d.c.seed, uint64(half)))
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(r.IntN(800))*time.Millisecond)
		f := faults[r.IntN(len(faults))]
		h := d.hosts[half+2*r.IntN((len(d.hosts)-half+1)/2)]
		f.run(ctx, d, h, r)
	}
}
