package slots

import (
	"math"
	"time"
)

// What a cold server may get in a second is used up at once when more requests wait
// than that, and a more urgent one that comes next would wait for the rest of the
// second. So a part is kept for more urgent requests, judged by how many came of late.

const (
	// demandFor is the time constant with which past demand is forgotten.
	demandFor = time.Second
	// demandLeast is the shortest history from which a rate is estimated.
	demandLeast = 200 * time.Millisecond
	// reserveShare is the largest part that is kept, so that the others are never
	// shut out.
	reserveShare = 0.5
)

// demand is how many requests of one priority come.
type demand struct {
	since  time.Time // of the first request
	at     time.Time // of the last update
	wanted float64   // recent requests, decaying
}

func (d *demand) decay(now time.Time) {
	d.wanted *= math.Exp(-now.Sub(d.at).Seconds() / demandFor.Seconds())
	d.at = now
}

// rate returns the requests per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	t := demandFor.Seconds()
	return d.wanted / (t * (1 - math.Exp(-max(now.Sub(d.since), demandLeast).Seconds()/t)))
}

// want notes a request that was offered to this owner first. It counts also if it
// finds no room: else what is kept would fall when it is too little. Those that come
// again do not count, since one request would then count many times when owners are
// busy.
func (g *gate) want(now time.Time, priority int) {
	d := g.demands[priority]
	if d == nil {
		d = &demand{since: now, at: now}
		g.demands[priority] = d
	}
	d.decay(now)
	d.wanted++
}

// roomKept returns how many of the requests that a cold server may get within
// coldWindow a request of a priority has to leave to more urgent ones.
func (g *gate) roomKept(now time.Time, priority int) int {
	kept := 0.0
	for p, d := range g.demands {
		if p < priority {
			kept += d.rate(now) * coldWindow.Seconds()
		}
	}
	for _, s := range g.starts {
		if s.priority < priority {
			kept--
		}
	}
	return int(math.Round(max(0, min(kept, reserveShare*g.coldBound()))))
}
