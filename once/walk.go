package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// WalkerConfig configures a Walker. The ports are required except as noted.
type WalkerConfig struct {
	Host      prim.HostName
	Documents prim.Documents
	Members   prim.Members
	Policy    prim.Policy
	Owners    prim.Owners
	// Again waits for the permission to make another attempt, as
	// retry.Caller.Again does. If it is nil only the delay passes.
	Again func(ctx context.Context, r *prim.Request, delay time.Duration) error
	// Track counts an attempt at a host until the returned function is
	// called, as retry.Caller.Track does; nil counts nothing.
	Track func(h prim.HostName) func()
}

// Walker is the prim.Caller of requests with an idempotency key.
type Walker struct{ config WalkerConfig }

// NewWalker returns a Walker.
func NewWalker(c WalkerConfig) *Walker { return &Walker{c} }

const (
	backoffMin = 2 * time.Millisecond
	backoffMax = 250 * time.Millisecond
	// maxLost is how many answers in a row may be lost at one candidate. A
	// record that says so cannot be told from a link that breaks.
	maxLost = 3
)

// walk is one request on its way along the candidates.
type walk struct {
	*Walker
	request *prim.Request
	lookup  *prim.Request // the same request, asking for the record only
	hosts   []*prim.Host
	at      int // the candidate that decides next; all before it left tombstones

	tries    int           // at this candidate
	refusal  *prim.Refusal // of this candidate, which has not run the key
	lost     error         // set while an attempt may run it at this candidate
	losses   int
	searched bool // the other candidates were asked since at changed
}

// Do runs a request with a key or returns the answer of an earlier one. The error
// is NotRun only if no candidate had run the key: those before the last one
// asked left tombstones, and that one refused without having a record.
func (w *Walker) Do(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if r.Deadline.IsZero() {
		copied := *r
		copied.Deadline = time.Now().Add(prim.DefaultTimeout)
		r = &copied
	}
	lookup := *r
	lookup.Lookup = true
	k := &walk{Walker: w, request: r, lookup: &lookup}
	waiting, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if err := k.begin(waiting); err != nil {
		return nil, err
	}
	if r.Lookup {
		return k.find(waiting)
	}
	return k.run(ctx, waiting)
}

// begin waits until the candidates of the key can be told.
func (k *walk) begin(waiting context.Context) error {
	for {
		changed := k.config.Documents.Changed()
		v, now := k.config.Documents.View(), time.Now()
		ahead := k.request.KeyCreated.Sub(now)
		switch {
		case now.Sub(k.request.KeyCreated) > KeyWindow && !k.request.KeyCreated.IsZero():
			return k.unknown(errOld)
		case !fresh(v, now):
			select {
			case <-changed:
			case <-waiting.Done():
				return k.unknown(errStale)
			}
			continue
		case ahead > KeyMargin:
			// No owner runs a key from the future. If it did, a later
			// instance of the owner could take the key for one that it
			// would remember.
			if waits.Sleep(waiting, ahead-KeyMargin+time.Millisecond) != nil {
				return k.unknown(waiting.Err())
			}
			continue
		}
		hosts, ok := order(v, idOf(k.request), k.request.KeyCreated, now)
		if !ok {
			return k.unknown(errUndated)
		}
		if k.hosts = hosts; len(hosts) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-waiting.Done():
			return &prim.Refusal{Reason: prim.ReasonNoHost, Host: k.config.Host}
		}
	}
}

// run asks the candidates in turn.
func (k *walk) run(ctx, waiting context.Context) (*prim.Answer, error) {
	for k.at < len(k.hosts) {
		h := k.hosts[k.at]
		if k.gone(h) {
			if found, a, err := k.search(waiting); found {
				return a, err
			}
			if k.hosts[min(k.at, len(k.hosts)-1)] == h {
				return nil, k.unknown(errGone)
			}
			continue
		}
		c, cancel := context.WithDeadline(ctx, k.request.Deadline)
		a, err := k.ask(c, h.Name, k.request, cancel)
		if err == nil {
			return a, nil
		}
		if end, err := k.failed(waiting, h, err); end != nil || err != nil {
			return end, err
		}
	}
	return nil, &prim.Refusal{Reason: prim.ReasonTombstone, Host: k.hosts[len(k.hosts)-1].Name}
}

// failed decides what follows an attempt that brought no answer. It returns the
// end of the request, or nothing if another attempt shall be made.
func (k *walk) failed(waiting context.Context, h *prim.Host, err error) (*prim.Answer, error) {
	var conflict *prim.KeyConflict
	var refusal *prim.Refusal
	switch {
	case errors.As(err, &conflict):
		return nil, err
	case !errors.As(err, &refusal):
		k.lost, k.refusal = err, nil
		if k.losses++; k.losses >= maxLost || h.Name == k.config.Host || waiting.Err() != nil {
			return nil, err
		}
	case refusal.Reason == prim.ReasonTombstone:
		k.moveTo(k.at + 1)
		if k.at == len(k.hosts) {
			return nil, nil
		}
		return nil, k.again(waiting, 0)
	case refusal.Reason == prim.ReasonForgotten, refusal.Reason == prim.ReasonUnreachable:
		k.refusal = nil
		at := k.at
		// The number of searches grows with the logarithm of the tries.
		if k.tries&(k.tries-1) == 0 && !k.searched {
			if found, a, err := k.search(waiting); found {
				return a, err
			}
		}
		if k.at != at {
			return nil, nil
		}
		if refusal.Reason == prim.ReasonForgotten && k.searched {
			return nil, k.unknown(errForgotten)
		}
	case refusal.Reason == prim.ReasonBusy, refusal.Reason == prim.ReasonFull,
		refusal.Reason == prim.ReasonLeaving, refusal.Reason == prim.ReasonShed:
		k.refusal = refusal
	default:
		// Not an answer about the key.
		k.refusal = nil
	}
	k.tries++
	return nil, k.again(waiting, waits.Jitter(min(backoffMin<<min(k.tries, 16), backoffMax)))
}

// again waits before another attempt and returns the end of the request if its
// time runs out.
func (k *walk) again(waiting context.Context, delay time.Duration) error {
	var err error
	if k.config.Again != nil {
		err = k.config.Again(waiting, k.request, delay)
	} else {
		err = waits.Sleep(waiting, delay)
	}
	switch {
	case err == nil:
		return nil
	case k.lost != nil:
		return k.lost
	case k.refusal != nil:
		return k.refusal
	}
	return k.unknown(errSilent)
}

func (k *walk) moveTo(at int) {
	k.at, k.tries, k.refusal, k.lost, k.losses, k.searched = at, 0, nil, nil, 0, false
}

// search asks the other candidates for the record while the one at hand cannot
// tell. It returns the record if there is one. A tombstone implies those of all
// candidates before it, because a candidate is asked to run a key only with
// them, so the walk goes on after the last tombstone that the search finds.
func (k *walk) search(waiting context.Context) (found bool, a *prim.Answer, err error) {
	next, complete := k.at, true
	for i, h := range k.hosts {
		if i == k.at || k.gone(h) {
			continue
		}
		a, err := k.ask(waiting, h.Name, k.lookup, func() {})
		var refusal *prim.Refusal
		var conflict *prim.KeyConflict
		switch {
		case err == nil:
			return true, a, nil
		case errors.As(err, &conflict):
			return true, nil, err
		case !errors.As(err, &refusal):
			complete = false
		case refusal.Reason == prim.ReasonTombstone:
			next = max(next, i+1)
		case refusal.Reason == prim.ReasonNoRecord && refusal.Host != h.Name:
			// Another host handed its tombstone over to this one.
			if j := slices.IndexFunc(k.hosts, func(o *prim.Host) bool { return o.Name == refusal.Host }); j >= 0 {
				next = max(next, j+1)
			}
		case refusal.Reason == prim.ReasonLeaving && i == k.at+1 && refusal.Host == k.hosts[k.at].Name:
			// The candidate at hand has retired, and its records for keys
			// with this next candidate were handed over to it.
			next = max(next, i)
		default:
			complete = complete && (refusal.Reason == prim.ReasonNoRecord || refusal.Reason == prim.ReasonForgotten)
		}
	}
	if next != k.at {
		k.moveTo(next)
	} else {
		k.searched = complete
	}
	return false, nil, nil
}

// find looks for the record of a key at every candidate.
func (k *walk) find(waiting context.Context) (*prim.Answer, error) {
	k.at = len(k.hosts) // none is left out of the search
	for tries := 0; ; tries++ {
		var unsure error
		for _, h := range k.hosts {
			if k.gone(h) {
				unsure = errGone
				continue
			}
			a, err := k.ask(waiting, h.Name, k.lookup, func() {})
			var refusal *prim.Refusal
			switch {
			case err == nil:
				return a, nil
			case !errors.As(err, &refusal):
				var conflict *prim.KeyConflict
				if errors.As(err, &conflict) {
					return nil, err
				}
				unsure = err
			case refusal.Reason != prim.ReasonNoRecord && refusal.Reason != prim.ReasonTombstone:
				unsure = refusal
			}
		}
		if unsure == nil {
			return nil, &prim.Refusal{Reason: prim.ReasonNoRecord}
		}
		if tries == maxLost || k.again(waiting, waits.Jitter(min(backoffMin<<min(tries, 16), backoffMax))) != nil {
			return nil, k.unknown(unsure)
		}
	}
}

// gone reports whether the host list says that a candidate was removed.
func (k *walk) gone(h *prim.Host) bool {
	for _, e := range k.config.Documents.View().ServiceHosts(h.Service) {
		if e.Name == h.Name && e.Since.Equal(h.Since) {
			return e.State == prim.HostLost
		}
	}
	return true
}

// ask makes one attempt and reports it. It calls cancel when nothing of the
// attempt is left.
func (k *walk) ask(ctx context.Context, h prim.HostName, r *prim.Request, cancel context.CancelFunc) (*prim.Answer, error) {
	end := cancel
	if k.config.Track != nil {
		untrack := k.config.Track(h)
		end = func() {
			untrack()
			cancel()
		}
	}
	started := time.Now()
	a, err := k.config.Owners.Owner(h).Dispatch(ctx, r)
	var lost *prim.Lost
	if errors.As(err, &lost) {
		// A refusal among the causes must not make it look like NotRun.
		err = &prim.Lost{Host: lost.Host, Cause: errors.New(fmt.Sprint(lost.Cause)), Reset: lost.Reset}
	}
	k.report(h, a, err, time.Since(started))
	if a == nil || a.Rest == nil {
		end()
		return a, err
	}
	streamed := *a
	streamed.Rest = &stream{a.Rest, end}
	return &streamed, err
}

func (k *walk) report(h prim.HostName, a *prim.Answer, err error, took time.Duration) {
	end := prim.Attempt{Host: h, Latency: took, Outcome: prim.OutcomeOf(err)}
	sample := prim.Sample{}
	var refusal *prim.Refusal
	var lost *prim.Lost
	switch {
	case err == nil:
		end.Failed, sample = a.Status >= 500, a.Sample
	case errors.As(err, &refusal):
		end.Failed, sample = refusal.Reason == prim.ReasonUnreachable, refusal.Sample
		if end.Failed {
			k.config.Members.Failed(h)
		}
	case errors.As(err, &lost):
		end.Failed, end.Reset = true, lost.Reset
	}
	if sample.Host != "" {
		k.config.Policy.Observe(sample)
	}
	k.config.Policy.Finished(end)
}

// unknown returns the error of a request whose key may have run.
func (k *walk) unknown(cause error) error {
	// The text alone: a refusal among the causes would pass for NotRun.
	return &prim.Lost{Host: k.config.Host, Cause: errors.New(cause.Error())}
}
