package once

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// OwnerConfig configures an Owner. A zero number takes its default.
type OwnerConfig struct {
	// Host is the host of this node.
	Host prim.HostName
	// Next runs the requests.
	Next      prim.Owner
	Documents prim.Documents
	// Transport carries the hand-over of records; nil hands over and accepts
	// none.
	Transport prim.Transport
	// Started is the start of this process; the zero value means now.
	Started time.Time
	// Bytes bounds the records: MaxBytes.
	Bytes int64
}

// Owner is the prim.Owner that keeps the records of idempotency keys. Requests
// without a key, and idempotent ones, go straight to the next owner.
type Owner struct {
	config  OwnerConfig
	pending sync.WaitGroup // requests handed to the next owner

	mu     sync.Mutex
	table  *table
	closed bool // records were handed over; nothing runs any more
	// retired holds the hosts that promised to run no key any more, with the
	// creation time from which their promise holds.
	retired map[retiree]time.Time
}

// NewOwner returns an Owner and registers its handler with the transport.
func NewOwner(c OwnerConfig) *Owner {
	if c.Started.IsZero() {
		c.Started = time.Now()
	}
	if c.Bytes == 0 {
		c.Bytes = MaxBytes
	}
	o := &Owner{config: c, table: newTable(c.Bytes), retired: make(map[retiree]time.Time)}
	if c.Transport != nil {
		c.Transport.Handle(KindRecordHandOver, o.accept)
	}
	return o
}

// Sample returns the load of the server.
func (o *Owner) Sample() prim.Sample { return o.config.Next.Sample() }

// Reserve passes on a reservation. One for a key that needs a record is refused,
// since its commit would run without the record.
func (o *Owner) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	if r.Lookup || r.Key != "" && !r.Idempotent {
		return nil, o.refuse(prim.ReasonReservation)
	}
	return o.config.Next.Reserve(ctx, r)
}

// Dispatch runs a request unless its key has a record, which it returns instead.
// A lookup must carry the method, path and body of the request that it is about,
// since the digest of a record is checked for it too.
func (o *Owner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if !r.Lookup && (r.Key == "" || r.Idempotent) {
		return o.config.Next.Dispatch(ctx, r)
	}
	d := digestOf(r)
	for {
		o.mu.Lock()
		v := o.decide(r, d, time.Now())
		o.mu.Unlock()
		switch {
		case v.run != nil:
			return o.run(ctx, r, v.run)
		case v.wait == nil:
			return v.answer, v.err
		}
		// The end of the other request may leave nothing behind, and then
		// this one takes its place.
		select {
		case <-v.wait:
		case <-ctx.Done():
			return nil, &prim.Lost{Host: o.config.Host, Cause: ctx.Err()}
		}
	}
}

// verdict is what to do with a request that has a key. Exactly one field is set.
type verdict struct {
	run    *entry          // run it; the entry is new
	wait   <-chan struct{} // another request with the key runs until this is closed
	answer *prim.Answer
	err    error
}

// decide looks up the key and makes an entry if the request shall run.
func (o *Owner) decide(r *prim.Request, d digest, now time.Time) verdict {
	k := idOf(r)
	e := o.table.find(k, now)
	if e != nil && e.state != absent {
		return o.recall(e, d)
	}
	v := o.config.Documents.View()
	switch {
	case !r.KeyCreated.IsZero() && now.Sub(r.KeyCreated) > KeyWindow:
		return verdict{err: o.lose(errOld)}
	case o.forgotten(r.KeyCreated, now):
		return verdict{err: o.refuse(prim.ReasonForgotten)}
	case !fresh(v, now) || r.KeyCreated.Sub(now) > KeyMargin:
		return verdict{err: o.refuse(prim.ReasonStale)}
	}
	hosts, ok := order(v, k, r.KeyCreated, now)
	if !ok {
		return verdict{err: o.lose(errUndated)}
	}
	if r.Lookup {
		return verdict{err: o.passed(hosts, r.KeyCreated, e)}
	}
	place := slices.IndexFunc(hosts, func(h *prim.Host) bool {
		return h.Name == o.config.Host && h.State != prim.HostLost
	})
	if place < 0 {
		// The lists of the ingress node and of this one differ by more than
		// the rules allow.
		return verdict{err: o.refuse(prim.ReasonStale)}
	}
	if e == nil {
		if e = o.table.add(k, r.KeyCreated, now); e == nil {
			return verdict{err: o.refuse(prim.ReasonFull)}
		}
	}
	e.digest, e.last = d, place == len(hosts)-1
	if o.closed || hosts[place].State != prim.HostLive || !v.HostsIssued().After(o.config.Started.Add(KeyMargin)) {
		// An earlier instance may have retired.
		return verdict{err: o.pass(e, o.refuse(prim.ReasonLeaving))}
	}
	e.state, e.over = running, make(chan struct{})
	o.pending.Add(1)
	return verdict{run: e}
}

// recall returns what the record of a key says.
func (o *Owner) recall(e *entry, d digest) verdict {
	switch {
	case e.state == tombstone:
		return verdict{err: o.refuse(prim.ReasonTombstone)}
	case e.digest != d:
		return verdict{err: &prim.KeyConflict{Key: e.id.Key}}
	case e.state == running:
		return verdict{wait: e.over}
	case e.state == lost:
		return verdict{err: o.lose(errLost)}
	case e.answer == nil:
		return verdict{err: o.lose(errNotKept)}
	}
	a := *e.answer
	a.Header, a.Sample = a.Header.Clone(), o.Sample()
	return verdict{answer: &a}
}

// forgotten reports whether an earlier instance may have had a record of the key.
func (o *Owner) forgotten(created, now time.Time) bool {
	if created.IsZero() {
		return now.Sub(o.config.Started) <= KeyWindow+KeyMargin
	}
	return !created.After(o.config.Started.Add(KeyMargin))
}

// run hands the request to the next owner. It goes on when the caller goes away,
// so that a repeat finds the answer.
func (o *Owner) run(ctx context.Context, r *prim.Request, e *entry) (*prim.Answer, error) {
	type end struct {
		answer *prim.Answer
		err    error
	}
	ends := make(chan end)
	go func() {
		defer o.pending.Done()
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		a, err := o.config.Next.Dispatch(detached, r)
		err = o.finish(e, a, err)
		if a == nil || a.Rest == nil {
			cancel()
		} else {
			streamed := *a
			streamed.Rest = &stream{a.Rest, cancel}
			a = &streamed
		}
		select {
		case ends <- end{a, err}:
		case <-ctx.Done():
			if a != nil && a.Rest != nil {
				a.Rest.Close()
			}
		}
	}()
	select {
	case x := <-ends:
		return x.answer, x.err
	case <-ctx.Done():
		return nil, &prim.Lost{Host: o.config.Host, Cause: ctx.Err()}
	}
}

// stream is the rest of an answer. Closing it ends the context of the request.
type stream struct {
	io.ReadCloser
	end func()
}

func (s *stream) Close() error {
	defer s.end()
	return s.ReadCloser.Close()
}

// finish records the end of a request and returns the error for its caller.
func (o *Owner) finish(e *entry, a *prim.Answer, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer close(e.over)
	var refusal *prim.Refusal
	switch {
	case err == nil:
		o.table.finish(e, done, a)
	case errors.As(err, &refusal):
		return o.pass(e, refusal)
	default:
		o.table.finish(e, lost, nil)
	}
	return err
}

// pass leaves a tombstone for a request that did not run, so that the walk goes
// on. The last candidate leaves none: nobody could run the key any more, although
// a server may be free again before the deadline. Nor does a request whose own
// time was over, since another with the same key may have more.
func (o *Owner) pass(e *entry, refusal *prim.Refusal) error {
	switch refusal.Reason {
	case prim.ReasonExpired, prim.ReasonCancelled, prim.ReasonInstance:
	default:
		if !e.last {
			o.table.finish(e, tombstone, nil)
			return &prim.Refusal{Reason: prim.ReasonTombstone, Host: o.config.Host, Sample: refusal.Sample}
		}
	}
	if e.state = absent; len(e.others) == 0 {
		o.table.remove(e)
	}
	return refusal
}

func (o *Owner) refuse(reason prim.Reason) *prim.Refusal {
	return &prim.Refusal{Reason: reason, Host: o.config.Host, Sample: o.Sample()}
}

func (o *Owner) lose(cause error) error {
	return &prim.Lost{Host: o.config.Host, Cause: cause}
}
