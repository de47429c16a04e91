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
	// Next executes the requests.
	Next      prim.Owner
	Documents prim.Documents
	// Transport carries the hand-over of records. If it is nil, records are
	// neither handed over nor accepted.
	Transport prim.Transport
	// Started is when this process started; the default is the current time.
	Started time.Time
	// MaxRecordBytes is the memory limit for the records; the default is
	// DefaultRecordBytes.
	MaxRecordBytes int64
}

// Owner is a prim.Owner that keeps the records of idempotency keys. It passes
// requests without a key and idempotent requests directly to the next owner.
type Owner struct {
	config  OwnerConfig
	pending sync.WaitGroup // requests running at the next owner

	mu       sync.Mutex
	table    *recordTable
	stopping bool // the hand-over of records has begun; no further key is run
	// retirements maps each host that announced it will run no more keys to
	// the creation time after which the announcement applies.
	retirements map[retiredHost]time.Time
}

// NewOwner returns an Owner and registers its handler with the transport.
func NewOwner(c OwnerConfig) *Owner {
	if c.Started.IsZero() {
		c.Started = time.Now()
	}
	if c.MaxRecordBytes == 0 {
		c.MaxRecordBytes = DefaultRecordBytes
	}
	o := &Owner{config: c, table: newRecordTable(c.MaxRecordBytes), retirements: make(map[retiredHost]time.Time)}
	if c.Transport != nil {
		c.Transport.Handle(KindRecordHandOver, o.handleHandOver)
	}
	return o
}

// Sample returns the load of the server.
func (o *Owner) Sample() prim.LoadSample { return o.config.Next.Sample() }

// Reserve forwards a reservation to the next owner. It refuses a reservation for a
// key that needs a record, because the commit would bypass the record.
func (o *Owner) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	if r.Lookup || r.Key != "" && !r.Idempotent {
		return nil, o.newRefusal(prim.ReasonReservationExpired)
	}
	return o.config.Next.Reserve(ctx, r)
}

// Dispatch runs a request, or returns the recorded result if its key has a record.
// A lookup must carry the method, path and body of the original request, because
// they are checked against the digest in the record.
func (o *Owner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	if !r.Lookup && (r.Key == "" || r.Idempotent) {
		return o.config.Next.Dispatch(ctx, r)
	}
	d := digestRequest(r)
	for {
		o.mu.Lock()
		decided := o.decide(r, d, time.Now())
		o.mu.Unlock()
		switch {
		case decided.run != nil:
			return o.run(ctx, r, decided.run)
		case decided.wait == nil:
			return decided.answer, decided.err
		}
		// If the other request ends without a record, the next iteration runs
		// this one.
		select {
		case <-decided.wait:
		case <-ctx.Done():
			return nil, &prim.LostAnswerError{Host: o.config.Host, Cause: ctx.Err()}
		}
	}
}

// decision says how to handle a request with a key. Exactly one field is set.
type decision struct {
	run    *entry          // run the request and record its result here
	wait   <-chan struct{} // closed when the running request with the same key ends
	answer *prim.Answer
	err    error
}

// decide looks up the key and creates an entry if the request has to be run. The
// caller holds o.mu.
func (o *Owner) decide(r *prim.Request, d requestDigest, now time.Time) decision {
	key := keyIDOf(r)
	e := o.table.find(key, now)
	if e != nil && e.state != stateAbsent {
		return o.decideFromRecord(e, d)
	}
	v := o.config.Documents.View()
	switch {
	case !r.KeyCreated.IsZero() && now.Sub(r.KeyCreated) > KeyWindow:
		return decision{err: o.newLost(errKeyExpired)}
	case o.mayHaveForgotten(r.KeyCreated, now):
		return decision{err: o.newRefusal(prim.ReasonForgotten)}
	case !hostListIsRecent(v, now) || r.KeyCreated.Sub(now) > KeyMargin:
		return decision{err: o.newRefusal(prim.ReasonStale)}
	}
	hosts, ok := orderedCandidates(v, key, r.KeyCreated, now)
	if !ok {
		return decision{err: o.newLost(errUndatedKey)}
	}
	if r.Lookup {
		return decision{err: o.lookupRefusal(hosts, r.KeyCreated, e)}
	}
	position := slices.IndexFunc(hosts, func(h *prim.Host) bool {
		return h.Name == o.config.Host && h.State != prim.HostLost
	})
	if position < 0 {
		// The host lists of the ingress node and of this node differ by more
		// than the package's rules allow.
		return decision{err: o.newRefusal(prim.ReasonStale)}
	}
	if e == nil {
		if e = o.table.add(key, r.KeyCreated, now); e == nil {
			return decision{err: o.newRefusal(prim.ReasonRecordsFull)}
		}
	}
	e.digest, e.lastCandidate = d, position == len(hosts)-1
	if o.stopping || hosts[position].State != prim.HostLive || !v.HostsIssued().After(o.config.Started.Add(KeyMargin)) {
		// Unless the host list was issued after this instance started, an
		// earlier instance may have retired the host.
		return decision{err: o.finishNotRun(e, o.newRefusal(prim.ReasonLeaving))}
	}
	e.state, e.finished = stateRunning, make(chan struct{})
	o.pending.Add(1)
	return decision{run: e}
}

// decideFromRecord returns the recorded result of a key, or an error that explains
// why there is none.
func (o *Owner) decideFromRecord(e *entry, d requestDigest) decision {
	switch {
	case e.state == stateTombstone:
		return decision{err: o.newRefusal(prim.ReasonTombstone)}
	case e.digest != d:
		return decision{err: &prim.KeyConflictError{Key: e.id.Key}}
	case e.state == stateRunning:
		return decision{wait: e.finished}
	case e.state == stateLost:
		return decision{err: o.newLost(errAnswerLost)}
	case e.answer == nil:
		return decision{err: o.newLost(errAnswerTooLong)}
	}
	a := *e.answer
	a.Header, a.Sample = a.Header.Clone(), o.Sample()
	return decision{answer: &a}
}

// mayHaveForgotten reports whether an earlier instance may have had a record of a
// key with the given creation time.
func (o *Owner) mayHaveForgotten(created, now time.Time) bool {
	if created.IsZero() {
		return now.Sub(o.config.Started) <= KeyWindow+KeyMargin
	}
	return !created.After(o.config.Started.Add(KeyMargin))
}

// run passes the request to the next owner. The request continues if the caller
// disconnects, so that a repeat finds the answer.
func (o *Owner) run(ctx context.Context, r *prim.Request, e *entry) (*prim.Answer, error) {
	type result struct {
		answer *prim.Answer
		err    error
	}
	results := make(chan result)
	go func() {
		defer o.pending.Done()
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		a, err := o.config.Next.Dispatch(detached, r)
		err = o.finish(e, a, err)
		if a == nil || a.Rest == nil {
			cancel()
		} else {
			streamed := *a
			streamed.Rest = &streamedBody{a.Rest, cancel}
			a = &streamed
		}
		select {
		case results <- result{a, err}:
		case <-ctx.Done():
			if a != nil && a.Rest != nil {
				a.Rest.Close()
			}
		}
	}()
	select {
	case res := <-results:
		return res.answer, res.err
	case <-ctx.Done():
		return nil, &prim.LostAnswerError{Host: o.config.Host, Cause: ctx.Err()}
	}
}

// streamedBody is the unread rest of a streamed answer. Close also calls onClose,
// which releases the context of the request.
type streamedBody struct {
	io.ReadCloser
	onClose func()
}

func (s *streamedBody) Close() error {
	defer s.onClose()
	return s.ReadCloser.Close()
}

// finish records the result of a request and returns the error for its caller.
func (o *Owner) finish(e *entry, a *prim.Answer, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer close(e.finished)
	var refusal *prim.RefusalError
	switch {
	case err == nil:
		o.table.finish(e, stateDone, a)
	case errors.As(err, &refusal):
		return o.finishNotRun(e, refusal)
	default:
		o.table.finish(e, stateLost, nil)
	}
	return err
}

// finishNotRun records a tombstone for a request that did not run, so that the
// caller can try the next candidate. There is no tombstone at the last candidate,
// because then no host could run the key even if a server became free before the
// deadline. There is none either if the request expired, was cancelled or was meant
// for another instance, because another request with the same key may still be able
// to run. The caller holds o.mu.
func (o *Owner) finishNotRun(e *entry, refusal *prim.RefusalError) error {
	switch refusal.Reason {
	case prim.ReasonExpired, prim.ReasonCancelled, prim.ReasonOtherInstance:
	default:
		if !e.lastCandidate {
			o.table.finish(e, stateTombstone, nil)
			return &prim.RefusalError{Reason: prim.ReasonTombstone, Host: o.config.Host, Sample: refusal.Sample}
		}
	}
	if e.state = stateAbsent; len(e.tombstoneHosts) == 0 {
		o.table.remove(e)
	}
	return refusal
}

func (o *Owner) newRefusal(reason prim.Reason) *prim.RefusalError {
	return &prim.RefusalError{Reason: reason, Host: o.config.Host, Sample: o.Sample()}
}

func (o *Owner) newLost(cause error) error {
	return &prim.LostAnswerError{Host: o.config.Host, Cause: cause}
}
