package prim

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"
)

// This file defines requests, their answers and their outcomes. Every request
// has one of three outcomes. NotRun is a guarantee that no attempt ran at a
// server. The outcome is Unknown if it cannot be determined.

// Outcome is what is known about whether a finished request ran.
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

// Request is one call of a customer to a service. It is not modified after the
// front end has built it, so concurrent attempts may share it.
type Request struct {
	Service    Service
	Customer   Customer
	Class      Class
	Method     string
	Path       string // path and query as sent to the server
	Header     http.Header
	Body       []byte
	Idempotent bool   // may be run more than once
	Internal   bool   // made by one of the operator's own applications
	Key        string // idempotency key, empty if none
	// KeyCreated is the time at which the caller first used Key; zero if unknown.
	KeyCreated time.Time
	// Lookup is set if only the record of Key is requested; the request never
	// runs.
	Lookup bool
	// Deadline is a time on this process's clock. It is sent to other nodes as the
	// remaining duration.
	Deadline time.Time
	// ID identifies the request in logs and to the server; empty if the caller
	// gave none.
	ID string
	// Authority is the HTTP host that the caller specified; if empty, that of the
	// server is used.
	Authority string
	// Origin is the service whose server runs on the host that first received the
	// request.
	Origin Service
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Objective is the target time of the answer, by the same clock as Deadline: an
	// answer by then is of full use to the caller. It is zero if there is none.
	Objective time.Time
	// MaxQueueTime is the longest time that the owner may let the request wait for a
	// slot.
	MaxQueueTime time.Duration
	// PreviouslyRefused is set if an owner has already refused the request.
	PreviouslyRefused bool
	// Attempts is the maximum number of servers that the request may be sent to; 0
	// means no limit.
	Attempts int
	// HasRegions is set if the request may be served only in Regions. An empty list then
	// means nowhere: the home regions of the route and of the customer have none in common.
	HasRegions bool
	Regions    []Region
}

// OriginForm returns the path and the query of a request's target as they were sent. A target in
// absolute form (RFC 9112, section 3.2.2) names the authority as well.
func OriginForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	switch i := strings.IndexAny(rest, "/?"); {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	default:
		return rest[i:]
	}
}

// Answer is what a server returned for a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest streams what follows Body if the answer is longer than MaxBufferedBody;
	// nil if Body is the whole answer. Its Read returns io.ErrUnexpectedEOF if the
	// answer was truncated.
	Rest io.ReadCloser
	// Sample is the load of the server that answered.
	Sample LoadSample
	// ServiceTime is the time from sending the request to the server until its answer
	// was received.
	ServiceTime time.Duration
	// OwnerTime is the time from the arrival of the request at the owner's node until its
	// answer was sent, 0 if that node has not told it.
	OwnerTime time.Duration
	// Release returns the memory that is reserved for Header and Body; nil if there is none.
	// Whoever has passed them on calls it. Only the first call has an effect.
	Release func()
}

// OnRelease sets Release. It is called at the latest when nobody has the answer any more, as after
// an attempt that was given up, so release must not refer to the answer.
func (a *Answer) OnRelease(release func()) {
	a.Release = sync.OnceFunc(release)
	runtime.AddCleanup(a, func(release func()) { release() }, a.Release)
}

// Drop closes the Rest of an answer that is not passed on, and returns its memory.
func (a *Answer) Drop() {
	if a.Rest != nil {
		a.Rest.Close()
	}
	if a.Release != nil {
		a.Release()
	}
}

// Limits on what callers and servers send.
const (
	// MaxRequestBody is the size of the largest accepted request body, in bytes: the usual
	// max_body_bytes of operators.
	MaxRequestBody = 64 << 20
	// MaxBufferedBody is the size of the largest answer body that is buffered before
	// it is passed on, in bytes. A longer one is streamed and cannot be retried.
	MaxBufferedBody = 1 << 20
	// MaxHeaderBytes limits the header block of a request or an answer.
	MaxHeaderBytes = 32 << 10
	// MaxTimeout is the longest timeout that a caller may ask for.
	MaxTimeout = 60 * time.Second
	// DefaultTimeout applies if a caller specifies no timeout.
	DefaultTimeout = 10 * time.Second
)

// StopMargin is the factor on the expected service time of a request that a node which
// stops requires to be left before it takes the request.
const StopMargin = 3.0

// LoadSample is the load of one server as measured by its owner node.
type LoadSample struct {
	Host     HostName      `cbor:"1,keyasint,omitempty"`
	InFlight int           `cbor:"2,keyasint,omitempty"` // requests at the server
	Queued   int           `cbor:"3,keyasint,omitempty"` // requests waiting at the owner
	Limit    int           `cbor:"4,keyasint,omitempty"` // current admission limit
	Latency  time.Duration `cbor:"5,keyasint,omitempty"` // estimated at the current InFlight
	Failing  float64       `cbor:"6,keyasint,omitempty"` // share of recent requests that failed
	Leaving  bool          `cbor:"7,keyasint,omitempty"`
	// Slowdown is the factor by which the server currently takes longer than
	// usual; 0 if the server does not report it.
	Slowdown float64 `cbor:"8,keyasint,omitempty"`
	// Steady is the lowest Slowdown of the last second. Any excess over it is
	// expected to be short-lived.
	Steady float64 `cbor:"14,keyasint,omitempty"`
	// Cold is set while the server is warming up. ColdRoom is the number of
	// requests that it may be sent at once before the limit on cold servers
	// delays them.
	Cold     bool `cbor:"9,keyasint,omitempty"`
	ColdRoom int  `cbor:"10,keyasint,omitempty"`
	// Number and Era are the revision of the newest published change that the owner
	// node knows. Era is one more than the era; 0 from nodes that don't know eras. Age is the time since the
	// node last knew that it was the newest; 0 if it never did.
	Number uint64        `cbor:"12,keyasint,omitempty"`
	Era    uint64        `cbor:"17,keyasint,omitempty"`
	Age    time.Duration `cbor:"13,keyasint,omitempty"`
	// Routes is the version of the routes that the owner node uses.
	Routes uint64 `cbor:"16,keyasint,omitempty"`
	// Reading is set while that node reads the registry itself.
	Reading bool `cbor:"15,keyasint,omitempty"`
	// Limited is set while the server names a limit. Rate is the limit in requests a
	// second, 0 if the server takes none, and RateRoom the number of requests that may
	// start at once.
	Limited  bool    `cbor:"18,keyasint,omitempty"`
	Rate     float64 `cbor:"19,keyasint,omitempty"`
	RateRoom int     `cbor:"20,keyasint,omitempty"`
	// RoutesAge is the time since the registry is known to have had no newer routes than
	// the owner node; 0 if that is unknown or nothing depends on it. Unlike Age it includes
	// what other nodes know. It doesn't include the time that the sample was on its way.
	RoutesAge time.Duration `cbor:"21,keyasint,omitempty"`
}

// Attempt is the result of one attempt, as observed by its sender.
type Attempt struct {
	Host    HostName
	Latency time.Duration
	Outcome Outcome
	// Failed is set if the server answered with a 5xx status, timed out or broke
	// the connection.
	Failed bool
	// Reset is set if the connection to the server was refused or broken, which
	// indicates a restarted server.
	Reset bool
}
