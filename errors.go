package prim

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// This file defines the errors of requests that end without an answer.
// OutcomeOf maps each of them to an outcome. Their messages say what the caller
// or the operator can do.

// Reason is why an owner or an ingress node refused to run a request.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonBusy               Reason = iota + 1 // the concurrency limit is reached and the queue is full
	ReasonLeaving                              // the host, server or data centre is being taken out of service
	ReasonExpired                              // the deadline passed before the request was sent to the server
	ReasonOtherInstance                        // the request was addressed to another instance of the node
	ReasonUnreachable                          // no link to the owner; nothing was sent
	ReasonShed                                 // the server shed the request without running it
	ReasonNoHost                               // no host of the service is in service
	ReasonReservationExpired                   // the reservation is unknown or expired
	ReasonCancelled                            // the caller cancelled the request or disconnected
	ReasonRecordsFull                          // no memory left for idempotency records
	ReasonTombstone                            // this host has promised never to run the idempotency key
	ReasonForgotten                            // the key may predate the start of the instance
	ReasonNoRecord                             // a lookup found no record of the key
	ReasonStale                                // the published documents are too old for a decision
	ReasonNoRoom                               // the node has no memory for the body, or takes only small ones
	ReasonNoHomeRegion                         // no server in the home regions of the request can be used
)

var reasonTexts = [...]struct{ name, remedy string }{
	0:                        {"Refused", "retry later"},
	ReasonBusy:               {"Busy", "retry later or add servers"},
	ReasonLeaving:            {"Leaving", "retry at another host"},
	ReasonExpired:            {"Expired", "retry with a longer Request-Timeout"},
	ReasonOtherInstance:      {"OtherInstance", "retry; the node was restarted"},
	ReasonUnreachable:        {"Unreachable", "check the host and the network, then retry"},
	ReasonShed:               {"Shed", "retry later or add servers"},
	ReasonNoHost:             {"NoHost", "put a host of the service in service"},
	ReasonReservationExpired: {"ReservationExpired", "retry"},
	ReasonCancelled:          {"Cancelled", "repeat the request if it is still wanted"},
	ReasonRecordsFull:        {"RecordsFull", "retry later or use fewer idempotency keys"},
	ReasonTombstone:          {"Tombstone", "ask the next candidate of the key"},
	ReasonForgotten:          {"Forgotten", "ask the later candidates of the key for a record"},
	ReasonNoRecord:           {"NoRecord", "ask the next candidate of the key"},
	ReasonStale:              {"Stale", "check that the node reaches the configuration service or a peer that does"},
	ReasonNoRoom:             {"NoRoom", "retry later, give the node more memory, or update nodes of earlier versions"},
	ReasonNoHomeRegion:       {"NoHomeRegion", "put a server of the service in service in a home region, check the links to it, or change the home regions"},
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r].name
	}
	return reasonTexts[0].name
}

// Remedy returns what a caller or an operator can do about the refusal.
func (r Reason) Remedy() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r].remedy
	}
	return reasonTexts[0].remedy
}

// RefusalError is the error of a request that did not run.
type RefusalError struct {
	Reason Reason
	Host   HostName
	Sample LoadSample // zero if the refusal did not come from an owner
	// RetryAfter is the time until the owner expects to have capacity; 0 if
	// unknown.
	RetryAfter time.Duration
	// OwnerTime is as in Answer.
	OwnerTime time.Duration
}

// Error returns a message with the host, the reason and the remedy.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("request not run at host %q: %s; %s", r.Host, r.Reason, r.Reason.Remedy())
}

// LostAnswerError is the error of a request that may have run but whose answer was not
// received.
type LostAnswerError struct {
	Host  HostName
	Cause error
	// Reset is set if the connection to the server broke.
	Reset bool
}

// Error returns a message with the host and the cause.
func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("answer from host %q lost: %v; check whether the request ran before repeating it", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.Cause }

// LostCause is what another process or an earlier attempt reports as the cause of a
// LostAnswerError: its text, and whether it was a timeout. It has no cause of its own, since
// a refusal in the chain would make a request that may have run look like NotRun.
type LostCause struct {
	Text    string
	Timeout bool
}

// NewLostCause returns the LostCause of an error.
func NewLostCause(err error) *LostCause { return &LostCause{fmt.Sprint(err), IsTimeout(err)} }

// Error returns the text.
func (c *LostCause) Error() string { return c.Text }

// Is makes errors.Is match context.DeadlineExceeded if the cause was a timeout.
func (c *LostCause) Is(target error) bool { return c.Timeout && target == context.DeadlineExceeded }

// BrokenAnswerError is the cause of a LostAnswerError if a server sent something that is not
// a valid answer.
type BrokenAnswerError struct{ Cause error }

// Error returns a message with the cause and the remedy.
func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("invalid answer: %v; check the server", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// CheckStatus returns a *BrokenAnswerError if status is not that of a final answer (RFC 9110,
// section 15): clients would see a malformed response, or wait for another one. 101 Switching
// Protocols is none, since the Upgrade field of a request is not passed on.
func CheckStatus(status int) error {
	if status < 200 || status > 599 {
		return &BrokenAnswerError{Cause: fmt.Errorf("status %03d is not between 200 and 599", status)}
	}
	return nil
}

// AllowanceExceededError is the error of a call that exceeds the customer's allowance.
// The call did not run.
type AllowanceExceededError struct {
	Customer   Customer
	Service    Service
	RetryAfter time.Duration
}

// Error returns a message with the customer, the service and the time to wait.
func (e *AllowanceExceededError) Error() string {
	return fmt.Sprintf("customer %q is over its allowance at service %q; retry after %s or raise the plan's allowance",
		e.Customer, e.Service, e.RetryAfter)
}

// KeyConflictError is the error of a request that reuses an idempotency key with
// different content. This request did not run; an earlier one may have.
type KeyConflictError struct{ Key string }

// Error returns a message with the key.
func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with different content; use a new key for a new request", e.Key)
}

// OutcomeOf returns the outcome of a request that ended with err. It is Done if
// err is nil, and Unknown if err is not one of the errors of this package.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Done
	}
	// LostAnswerError is checked first because its cause may be a refusal by a later hop.
	var lost *LostAnswerError
	if errors.As(err, &lost) {
		return Unknown
	}
	var refusal *RefusalError
	var over *AllowanceExceededError
	var conflict *KeyConflictError
	if errors.As(err, &refusal) || errors.As(err, &over) || errors.As(err, &conflict) {
		return NotRun
	}
	return Unknown
}

// IsTimeout reports whether err was caused by a deadline or a cancellation.
func IsTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// ErrHistoryGone is returned by a Registry that no longer has the changes after
// a revision. The reader has to read everything again.
var ErrHistoryGone = errors.New("the registry no longer has the changes after this revision; read everything again")
