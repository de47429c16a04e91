package prim

import (
	"io"
	"net/http"
	"time"
)

// This file defines a request on its way through the system and what becomes
// of it. Every request ends as one of three outcomes. NotRun is a promise: no
// attempt reached a server. A request whose end is not known is Unknown.

// Outcome says what is known about a request that ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request did not run at any server.
	NotRun
	// Done means that a server answered.
	Done
)

var outcomeNames = [...]string{Unknown: "Unknown", NotRun: "NotRun", Done: "Done"}

// String returns the name used in the Primrosethread-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "Unknown"
}

// Request is one call of a customer to a service. It is not changed after the
// front end has built it, so that concurrent attempts may share it.
type Request struct {
	Service    Service
	Customer   Customer
	Class      Class
	Method     string
	Path       string // path and query as the server sees them
	Header     http.Header
	Body       []byte
	Idempotent bool   // may be run more than once
	Internal   bool   // made by one of the operator's own applications
	Key        string // idempotency key, empty if none
	// KeyCreated is the time at which the caller first used Key; zero if unknown.
	KeyCreated time.Time
	// Lookup asks only for the record of Key; the request is never run.
	Lookup bool
	// Deadline is on this process's clock; it crosses the network as a
	// remaining duration.
	Deadline time.Time
	// ID identifies the request in logs and towards the server; empty if the
	// caller gave none.
	ID string
	// Authority is the HTTP host that the caller named; empty means that of
	// the server.
	Authority string
	// Origin is the service beside whose server the request began.
	Origin Service
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Objective is the time by which an answer is of full use, on the clock of
	// Deadline; zero if there is none.
	Objective time.Time
	// Patience is how long the owner may keep the request waiting for a slot.
	Patience time.Duration
	// Reoffered is set when an owner has refused the request before.
	Reoffered bool
	// Attempts is the number of servers that may get the request; 0 means no
	// bound.
	Attempts int
}

// Answer is what a server returned for a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest streams what follows Body when the answer is longer than
	// MaxCollected; nil when Body is the whole answer. Its reader returns
	// io.ErrUnexpectedEOF when the answer was cut.
	Rest io.ReadCloser
	// Sample is the load of the server that answered.
	Sample Sample
	// Served is the time from the hand-over of the request to the server until
	// its answer was there.
	Served time.Duration
}

// Bounds on what callers and servers send.
const (
	// MaxRequestBody is the largest request body that is accepted.
	MaxRequestBody = 1 << 20
	// MaxCollected is the largest answer body that is collected before its
	// first byte is passed on. A longer one streams and cannot be retried.
	MaxCollected = 1 << 20
	// MaxHeaderBytes bounds the header block of a request or an answer.
	MaxHeaderBytes = 32 << 10
	// MaxTimeout is the longest time that a caller may ask for.
	MaxTimeout = 60 * time.Second
	// DefaultTimeout applies when a caller names no timeout.
	DefaultTimeout = 10 * time.Second
)

// Sample is the load of one server as its owner node knows it.
type Sample struct {
	Host     HostName      `cbor:"1,keyasint,omitempty"`
	InFlight int           `cbor:"2,keyasint,omitempty"` // requests at the server
	Queued   int           `cbor:"3,keyasint,omitempty"` // requests waiting at the owner
	Limit    int           `cbor:"4,keyasint,omitempty"` // current admission limit
	Latency  time.Duration `cbor:"5,keyasint,omitempty"` // estimate at InFlight
	Failing  float64       `cbor:"6,keyasint,omitempty"` // share of recent requests that failed
	Leaving  bool          `cbor:"7,keyasint,omitempty"`
	// Slowdown is how many times as long as usual work takes at the server at
	// this moment; 0 if the server does not tell.
	Slowdown float64 `cbor:"8,keyasint,omitempty"`
	// Steady is the least Slowdown of the last second: what is above it is
	// expected to pass soon.
	Steady float64 `cbor:"14,keyasint,omitempty"`
	// Cold is set while the server is warming up. ColdRoom is the number of
	// requests that it may be given at once before the bound on cold servers
	// holds them back.
	Cold     bool `cbor:"9,keyasint,omitempty"`
	ColdRoom int  `cbor:"10,keyasint,omitempty"`
	// Revision is that of the newest published change that the owner's node
	// knows, and Age the time since it was last known that there is none newer;
	// 0 if never.
	Revision uint64        `cbor:"12,keyasint,omitempty"`
	Age      time.Duration `cbor:"13,keyasint,omitempty"`
	// Reading is set while that node follows the registry itself.
	Reading bool `cbor:"15,keyasint,omitempty"`
}

// Attempt is the end of one attempt, as observed by whoever made it.
type Attempt struct {
	Host    HostName
	Latency time.Duration
	Outcome Outcome
	// Failed is set when the server answered with a 5xx status, timed out or
	// broke the connection.
	Failed bool
	// Reset is set when the connection to the server was refused or broken,
	// which is how a restarted server shows itself.
	Reset bool
}
