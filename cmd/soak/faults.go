package main

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/stand"
	"github.com/primrosethread/primrosethread/waits"
)

// touch is how long after the end of a fault the checks leave a host out.
const touch = 3 * time.Second

// fault is something that happens to a host or to the platform. It returns when
// it has ended.
type fault struct {
	name string
	run  func(ctx context.Context, w *world, h *host, r *rand.Rand)
}

// hold lets a fault last between half a second and two.
func hold(ctx context.Context, r *rand.Rand) {
	waits.Sleep(ctx, 500*time.Millisecond+time.Duration(r.IntN(1500))*time.Millisecond)
}

var faults = [...]fault{
	{"kill", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		h.disturb(time.Hour)
		h.signal(syscall.SIGKILL)
		h.stopped(time.Second)
		hold(ctx, r)
		w.restart(h)
	}},
	{"freeze", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		h.disturb(time.Hour)
		h.signal(syscall.SIGSTOP)
		hold(ctx, r)
		h.signal(syscall.SIGCONT)
		h.disturb(touch)
	}},
	{"stop", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		// A planned stop is no excuse for a lost request, so it does not disturb.
		h.signal(syscall.SIGTERM)
		if !h.stopped(6 * time.Second) {
			w.fail("host %s did not stop within its grace time", h.name)
			h.signal(syscall.SIGKILL)
			h.stopped(time.Second)
		}
		h.disturb(time.Hour)
		w.restart(h)
	}},
	{"hangup", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		for range 1 + r.IntN(3) {
			h.signal(syscall.SIGHUP)
			waits.Sleep(ctx, time.Duration(r.IntN(100))*time.Millisecond)
		}
	}},
	{"store", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		w.storeBad.Store(time.Now().Add(time.Hour).UnixNano())
		w.store.SetFault([]stand.Fault{stand.Busy, stand.Silent, stand.Deaf}[r.IntN(3)])
		hold(ctx, r)
		if r.IntN(2) == 0 {
			w.store.Compact()
		}
		w.store.SetFault(stand.Well)
		w.storeBad.Store(time.Now().Add(touch).UnixNano())
	}},
	{"cut from store", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		h.disturb(time.Hour)
		if r.IntN(2) == 0 {
			h.store.Reset()
		}
		h.store.SetSilent(true, r.IntN(2) == 0)
		hold(ctx, r)
		h.store.SetSilent(false, false)
		h.disturb(touch)
	}},
	{"links", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		if h.proxy == nil {
			return
		}
		for _, o := range w.hosts {
			o.disturb(time.Hour) // each may have a request on the way there
		}
		switch r.IntN(3) {
		case 0:
			h.proxy.Reset()
		case 1:
			h.proxy.SetDelay(time.Duration(r.IntN(50)) * time.Millisecond)
		default:
			h.proxy.SetSilent(true, r.IntN(2) == 0)
		}
		hold(ctx, r)
		h.proxy.SetDelay(0)
		h.proxy.SetSilent(false, false)
		for _, o := range w.hosts {
			o.disturb(touch)
		}
	}},
	{"routes", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		w.mu.Lock()
		w.routes["/safe/"] = []string{"orders", "stock"}[r.IntN(2)]
		w.mu.Unlock()
		w.publishRoutes()
	}},
	{"evacuate", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		at := time.Now()
		w.store.Put("op/evacuate/"+h.centre, struct{}{})
		waits.Sleep(ctx, evacuateBound+time.Second)
		for _, o := range w.hosts {
			if o.centre == h.centre {
				w.checkQuiet(o, "evacuated", at, evacuateBound)
			}
		}
		w.store.Delete("op/evacuate/" + h.centre)
	}},
	{"drain", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		at := time.Now()
		if r.IntN(3) == 0 {
			w.store.Delete("servers/" + h.app.ID()) // without saying so first
		} else {
			w.publish(h, "draining")
		}
		waits.Sleep(ctx, drainBound+time.Second)
		w.checkQuiet(h, "draining", at, drainBound)
		w.store.Delete("servers/" + h.app.ID())
		h.app.Restart()
		w.publish(h, "ready")
	}},
	{"restart server", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		w.store.Delete("servers/" + h.app.ID())
		h.app.Restart()
		w.publish(h, "ready")
	}},
	{"slow server", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		h.app.SetSlow(2 + 8*r.Float64())
		hold(ctx, r)
		h.app.SetSlow(1)
	}},
	{"failing server", func(ctx context.Context, w *world, h *host, r *rand.Rand) {
		h.app.SetFailing(true)
		hold(ctx, r)
		h.app.SetFailing(false)
	}},
}

// restart starts a host's node again.
func (w *world) restart(h *host) {
	if err := w.start(h); err != nil {
		w.fail("host %s: %v", h.name, err)
	}
	h.disturb(touch)
}

// inject runs faults until the context ends. Two run at a time, in series of
// their own, on different halves of the hosts, so that they overlap.
func (w *world) inject(ctx context.Context, half int) {
	r := rand.New(rand.NewPCG(w.c.seed, uint64(half)))
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(r.IntN(800))*time.Millisecond)
		f := faults[r.IntN(len(faults))]
		h := w.hosts[half+2*r.IntN((len(w.hosts)-half+1)/2)]
		f.run(ctx, w, h, r)
	}
}
