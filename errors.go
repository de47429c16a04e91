package prim

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// This file defines the ways in which a request ends without an answer. Each
// kind carries its outcome; the messages name what the reader can do.

// Reason says why an owner or an ingress node did not run a request.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonBusy        Reason = iota + 1 // limit and queue are full
	ReasonLeaving                       // host, server or data centre is leaving
	ReasonExpired                       // its time ran out before the hand-over
	ReasonInstance                      // it was meant for another instance
	ReasonUnreachable                   // no link to the owner, nothing was sent
	ReasonShed                          // the server itself shed it unrun
	ReasonNoHost                        // no host of the service is in service
	ReasonReservation                   // the reservation is unknown or expired
	ReasonCancelled                     // the caller went away
	ReasonFull                          // no memory left for idempotency records
	ReasonTombstone                     // this host never runs the idempotency key
	ReasonForgotten                     // the key may be older than the instance
	ReasonNoRecord                      // a lookup found no record of the key
	ReasonStale                         // the published documents are too old to decide
)

var reasons = [...]struct{ name, remedy string }{
	0:                 {"Refused", "retry later"},
	ReasonBusy:        {"Busy", "retry later or add servers"},
	ReasonLeaving:     {"Leaving", "retry at another host"},
	ReasonExpired:     {"Expired", "retry with a longer Request-Timeout"},
	ReasonInstance:    {"OtherInstance", "retry; the node was restarted"},
	ReasonUnreachable: {"Unreachable", "check the host and the network, then retry"},
	ReasonShed:        {"Shed", "retry later or add servers"},
	ReasonNoHost:      {"NoHost", "put a host of the service in service"},
	ReasonReservation: {"ReservationExpired", "retry"},
	ReasonCancelled:   {"Cancelled", "repeat the request if it is still wanted"},
	ReasonFull:        {"RecordsFull", "retry later or use fewer idempotency keys"},
	ReasonTombstone:   {"Tombstone", "ask the next candidate of the key"},
	ReasonForgotten:   {"Forgotten", "ask the later candidates of the key for a record"},
	ReasonNoRecord:    {"NoRecord", "ask the next candidate of the key"},
	ReasonStale:       {"Stale", "check that the node reaches the configuration service or a peer that does"},
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r].name
	}
	return reasons[0].name
}

// Remedy says what a caller or operator can do about the reason.
func (r Reason) Remedy() string {
	if int(r) < len(reasons) {
		return reasons[r].remedy
	}
	return reasons[0].remedy
}

// Refusal is the error of a request that did not run.
type Refusal struct {
	Reason Reason
	Host   HostName
	Sample Sample // zero when the refusal did not come from an owner
	// RetryAfter is when the owner expects room; 0 if it does not tell.
	RetryAfter time.Duration
}

// Error names the host, the reason and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request not run at host %q: %s; %s", r.Host, r.Reason, r.Reason.Remedy())
}

// Lost is the error of a request that may have run.
type Lost struct {
	Host  HostName
	Cause error
	// Reset is set when the connection to the server broke.
	Reset bool
}

// Error names the host and the cause.
func (l *Lost) Error() string {
	return fmt.Sprintf("answer from host %q lost: %v; check whether the request ran before repeating it", l.Host, l.Cause)
}

// Unwrap returns the cause.
func (l *Lost) Unwrap() error { return l.Cause }

// OverAllowance is the error of a call beyond the customer's allowance. The
// call did not run.
type OverAllowance struct {
	Customer   Customer
	Service    Service
	RetryAfter time.Duration
}

// Error names the customer, the service and the time to wait.
func (o *OverAllowance) Error() string {
	return fmt.Sprintf("customer %q is over its allowance at service %q; retry after %s or raise the plan's allowance",
		o.Customer, o.Service, o.RetryAfter)
}

// KeyConflict is the error of a request that repeats an idempotency key with
// different content. This request did not run; an earlier one may have.
type KeyConflict struct{ Key string }

// Error names the key.
func (k *KeyConflict) Error() string {
	return fmt.Sprintf("idempotency key %q was used with different content; use a new key for a new request", k.Key)
}

// OutcomeOf returns what is known about a request that ended with err. A nil
// error is Done. Errors of other kinds than those of this package are Unknown.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Done
	}
	// A lost answer may have a refusal of some later hop as its cause.
	var lost *Lost
	if errors.As(err, &lost) {
		return Unknown
	}
	var refusal *Refusal
	var over *OverAllowance
	var conflict *KeyConflict
	if errors.As(err, &refusal) || errors.As(err, &over) || errors.As(err, &conflict) {
		return NotRun
	}
	return Unknown
}

// IsTimeout reports whether err came from a deadline or a cancellation.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// ErrHistoryGone is the error of a Registry that no longer knows the changes
// after a revision. The reader has to read everything again.
var ErrHistoryGone = errors.New("the changes after this revision are no longer known; read everything again")
