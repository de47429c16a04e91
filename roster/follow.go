package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// Each node reads the registry itself: a watch on the operators' keys, a watch
// on the entry of its own server, and a stale list of all servers at an interval.
// The node beside a server is the one that has to know at once that the server
// leaves, since every request to it passes there; others may learn it late. That
// keeps the cost of a node constant whatever the number of servers.

// Times of the reads.
const (
	// watchWait is how long a watch waits for a change.
	watchWait = 15 * time.Second
	// listEvery is the mean time between two lists of servers.
	listEvery = time.Second
	// watchGap is the least time between two watches of one server's entry, so
	// that its heartbeats are read together.
	watchGap = 400 * time.Millisecond
	// minRetry and maxRetry bound the time between failed reads.
	minRetry = 50 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// Follow reads the registry until the context ends, and then sends on the
// channel. Republished is how long after an outage of the registry the entries
// of living servers are back.
func (r *Roster) Follow(ctx context.Context, registry prim.Registry, republished time.Duration) <-chan error {
	ended := make(chan error, 1)
	var both sync.WaitGroup
	both.Go(func() { r.followOperators(ctx, registry) })
	both.Go(func() { r.followServers(ctx, registry, republished) })
	go func() {
		both.Wait()
		ended <- ctx.Err()
	}()
	return ended
}

// pause waits after a failed read, longer each time, and logs the first of a row.
type pause struct {
	r    *Roster
	what string
	d    time.Duration
	from time.Time
}

func (p *pause) failed(ctx context.Context, err error) {
	if p.d == 0 && ctx.Err() == nil {
		p.from = time.Now()
		p.r.log.Warn("registry lost", "Reading", p.what, "Error", err)
	}
	p.d = min(max(2*p.d, minRetry), maxRetry)
	waits.Sleep(ctx, waits.Jitter(p.d))
}

// recovered reports whether this read follows a failed one.
func (p *pause) recovered() bool {
	if p.d == 0 {
		return false
	}
	p.r.log.Info("registry regained", "Reading", p.what, "After", time.Since(p.from))
	p.d = 0
	return true
}

func (r *Roster) followOperators(ctx context.Context, registry prim.Registry) {
	p := pause{r: r, what: "operators"}
	var at uint64
	for ctx.Err() == nil {
		var s prim.OperatorState
		var err error
		whole := at == 0
		if whole {
			s, at, err = registry.Operators(ctx)
		} else {
			var next uint64
			if s, next, err = registry.OperatorChanges(ctx, at, watchWait); err == nil {
				at = max(at, next)
			}
		}
		switch {
		case errors.Is(err, prim.ErrHistoryGone):
			at = 0
			continue
		case err != nil:
			p.failed(ctx, err)
			// A lost answer may have carried changes; the watch repeats them.
			continue
		}
		p.recovered()
		r.applyOperators(s, whole, at)
	}
}

// applyOperators takes what operators have published. In a whole state, a data
// centre that is not named is in service.
func (r *Roster) applyOperators(s prim.OperatorState, whole bool, at uint64) {
	const source = "registry"
	if s.Routing != nil {
		r.SetRouting(*s.Routing, source)
	}
	named := make(map[prim.DataCentre]bool, len(s.Switches))
	for _, c := range s.Switches {
		named[c.DataCentre] = true
		r.SetSwitch(c, source)
	}
	if !whole {
		return
	}
	for _, c := range r.Placement().Switches {
		if c.Out && !named[c.DataCentre] && c.Revision < at {
			r.SetSwitch(prim.CentreSwitch{DataCentre: c.DataCentre, Revision: at}, source)
		}
	}
}

func (r *Roster) followServers(ctx context.Context, registry prim.Registry, republished time.Duration) {
	p := pause{r: r, what: "servers"}
	var at uint64
	var keepUntil time.Time
	for ctx.Err() == nil {
		list, seen, err := registry.Servers(ctx, at > 0)
		if err != nil {
			p.failed(ctx, err)
			continue
		}
		if p.recovered() && at > 0 {
			keepUntil = time.Now().Add(republished)
		}
		if seen >= at { // a replica may be behind the last one
			if time.Now().Before(keepUntil) {
				list = withMissing(list, r.Placement().Servers)
			}
			at = seen
			r.SetServers(list)
		}
		waits.Sleep(ctx, waits.Jitter(listEvery*4/3))
	}
}

// withMissing returns the list with those older entries that are missing in it.
// Entries lapse while servers can't reach the registry.
func withMissing(list, old []prim.ServerEntry) []prim.ServerEntry {
	ids := make(map[string]bool, len(list))
	for _, e := range list {
		ids[e.ID] = true
	}
	for _, e := range old {
		if !ids[e.ID] {
			list = append(list, e)
		}
	}
	return list
}

// FollowServer watches the entry of one server until the context ends. It calls
// leaving whenever it has learned whether the server is draining or gone.
func (r *Roster) FollowServer(ctx context.Context, registry prim.Registry, id string, republished time.Duration, leaving func(bool)) {
	p := pause{r: r, what: "own server"}
	var at uint64
	listed := false
	var missingSince time.Time // first seen missing after an outage
	for ctx.Err() == nil {
		var e *prim.ServerEntry
		var err error
		changed := true
		if at == 0 {
			e, at, err = registry.Server(ctx, id)
		} else {
			var next uint64
			wait := watchWait
			if !missingSince.IsZero() {
				wait = max(time.Millisecond, republished-time.Since(missingSince))
			}
			if e, changed, next, err = registry.ServerChanges(ctx, id, at, wait); err == nil {
				at = max(at, next)
			}
		}
		if errors.Is(err, prim.ErrHistoryGone) {
			at = 0
			continue
		}
		if err != nil {
			p.failed(ctx, err)
			at = 0 // read again: the entry may have lapsed meanwhile
			if listed {
				missingSince = time.Now()
			}
			continue
		}
		if p.recovered() && !missingSince.IsZero() {
			missingSince = time.Now()
		}
		switch {
		case changed && e != nil:
			listed, missingSince = true, time.Time{}
			leaving(e.Draining)
		case changed && listed && missingSince.IsZero(),
			listed && !missingSince.IsZero() && time.Since(missingSince) >= republished:
			missingSince = time.Time{}
			leaving(true)
		}
		waits.Sleep(ctx, watchGap)
	}
}
