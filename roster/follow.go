package roster

import (
	"context"
	"errors"
	"math/rand/v2"
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
//
// A watch that hears nothing may have lost its way. The operators' watch is
// therefore of random length, so that of the nodes of a data centre, which hear
// from each other, one notices soon; and it is given up for a whole read as soon
// as another reader fails. While the registry is down only this reader tries it.

// Times of the reads.
const (
	// The operators' watch waits at most for watchStep times the number of
	// nodes in the data centre, so that one of them begins a new watch every
	// second or so, but for minWatch to maxWatch.
	watchStep = time.Second
	minWatch  = 12 * time.Second
	maxWatch  = 28 * time.Second
	// ownWatch is the wait of the watch on one server's entry.
	ownWatch = 28 * time.Second
	// listEvery is the mean time between two lists of servers.
	listEvery = 1500 * time.Millisecond
	// watchGap is the least time between two watches of one server's entry, so
	// that its heartbeats are read together.
	watchGap = 400 * time.Millisecond
	// minRetry and maxRetry bound the time between failed reads.
	minRetry = 50 * time.Millisecond
	maxRetry = 1600 * time.Millisecond
	// otherRetry is how long the other readers wait at most for the operators'
	// reader to succeed, and rejoin spreads them after it has.
	otherRetry = 5 * time.Second
	rejoin     = 200 * time.Millisecond
	// doubtGap is the least time between two whole reads that other readers'
	// failures cause.
	doubtGap = time.Second
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
	if p.what == operators {
		waits.Sleep(ctx, waits.Jitter(p.d))
		return
	}
	regained := p.r.regained()
	p.r.doubt()
	other := time.NewTimer(otherRetry)
	defer other.Stop()
	select {
	case <-regained:
	case <-other.C:
	case <-ctx.Done():
	}
	waits.Sleep(ctx, waits.Jitter(rejoin))
}

// regained returns a channel that is closed when the operators' reader next
// succeeds.
func (r *Roster) regained() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.read
}

// succeeded tells that the operators' reader has read everything.
func (r *Roster) succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.read)
	r.read = make(chan struct{})
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

// doubt tells the operators' watch that another reader has failed.
func (r *Roster) doubt() {
	select {
	case r.doubts <- struct{}{}:
	default:
	}
}

const operators = "operators"

func (r *Roster) followOperators(ctx context.Context, registry prim.Registry) {
	p := pause{r: r, what: operators}
	var at uint64
	var readAt time.Time
	for ctx.Err() == nil {
		if at == 0 {
			s, seen, err := registry.Operators(ctx)
			if err != nil {
				p.failed(ctx, err)
				continue
			}
			p.recovered()
			at, readAt = seen, time.Now()
			r.applyOperators(s, true, at)
			r.succeeded()
		}
		s, next, err := r.watchOperators(ctx, registry, at, readAt)
		switch {
		case errors.Is(err, prim.ErrHistoryGone), errors.Is(err, errDoubted):
			at = 0
		case err != nil:
			// A lost answer may have carried changes, and a watch that was cut
			// may have missed some.
			at = 0
			p.failed(ctx, err)
		default:
			p.recovered()
			at = max(at, next)
			r.applyOperators(s, false, at)
		}
	}
}

var errDoubted = errors.New("another reader of the registry failed")

// near returns the number of hosts in this node's data centre.
func (r *Roster) near() (n int) {
	for _, e := range r.Placement().Servers {
		if e.DataCentre == r.centre {
			n++
		}
	}
	return n
}

// watchOperators makes one watch. It ends with errDoubted when another reader
// fails, but not sooner than doubtGap after the last whole read.
func (r *Roster) watchOperators(ctx context.Context, registry prim.Registry, at uint64, readAt time.Time) (prim.OperatorState, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	defer func() {
		cancel(nil)
		<-ended
	}()
	go func(ctx context.Context) {
		defer close(ended)
		waits.Sleep(ctx, doubtGap-time.Since(readAt))
		select {
		case <-r.doubts:
			cancel(errDoubted)
		case <-ctx.Done():
		}
	}(ctx)
	most := min(max(minWatch, watchStep*time.Duration(r.near())), maxWatch)
	s, next, err := registry.OperatorChanges(ctx, at, most/4+rand.N(most*3/4))
	if err != nil && errors.Is(context.Cause(ctx), errDoubted) {
		err = errDoubted
	}
	return s, next, err
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
			wait := ownWatch
			if !missingSince.IsZero() {
				wait = max(time.Millisecond, republished-time.Since(missingSince))
			}
			if e, changed, next, err = registry.ServerChanges(ctx, id, at, wait); err == nil {
				at = max(at, next)
			}
		}
		if errors.Is(err, prim.ErrHistoryGone) {
			r.doubt()
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
