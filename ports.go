package prim

import (
	"context"
	"time"
)

// This file defines the interfaces (ports) between the packages. Every interface
// is small enough that a test can fake it in a few lines, and no method takes a
// type that is specific to an adapter.

// Documents provides the published documents that this node currently uses.
type Documents interface {
	// View returns the current documents. It is never nil; it is empty until the
	// first documents arrive.
	View() *View
	// Changed returns a channel that is closed at the next change of View.
	Changed() <-chan struct{}
}

// Platform reads the platform's configuration service. Each call counts as one
// read of the service.
type Platform interface {
	// Index returns the digests of all documents.
	Index(ctx context.Context) ([]Digest, error)
	// Read returns the current version of one document.
	Read(ctx context.Context, name string) (Document, error)
}

// Kind is the type of a control message.
type Kind string

// Message is a control message between nodes. Its body is CBOR, defined by the
// package that sends messages of the kind.
type Message struct {
	Kind Kind
	Body []byte
}

// Handler answers a control message. Its error is returned to the sender as text
// and does not close the link.
type Handler func(ctx context.Context, from HostName, m Message) (Message, error)

// Transport carries control messages between nodes.
type Transport interface {
	// Ask sends a message and waits for its answer.
	Ask(ctx context.Context, to HostName, m Message) (Message, error)
	// Tell sends a message that has no answer. A nil error means that the message
	// was written to a link, not that it was received.
	Tell(ctx context.Context, to HostName, m Message) error
	// Handle registers the handler for messages of a kind. It must be called
	// before the transport serves its first link.
	Handle(k Kind, h Handler)
}

// Owner runs requests at the server of one host, by way of that host's node,
// which controls admission to the server. Its errors are *RefusalError,
// *LostAnswerError or *KeyConflictError.
type Owner interface {
	// Dispatch admits the request and runs it.
	Dispatch(ctx context.Context, r *Request) (*Answer, error)
	// Reserve reserves a slot for a request that is committed later.
	Reserve(ctx context.Context, r *Request) (Reservation, error)
	// Sample returns the load of the server.
	Sample() LoadSample
}

// Reservation is a slot reserved at an owner. It expires after a time; an expired
// reservation never runs its request.
type Reservation interface {
	// Commit runs the request in the reserved slot. If it returns a *RefusalError, the
	// request did not run.
	Commit(ctx context.Context) (*Answer, error)
	// Release frees the slot. It has no effect after Commit.
	Release()
}

// Owners provides access to the owner node of each host, including this node.
type Owners interface {
	// Owner returns the owner of a host. The call is cheap and makes no
	// connection; errors of an unreachable host appear when the result is used.
	Owner(h HostName) Owner
}

// Caller runs requests for callers: it chooses servers, retries and hedges.
type Caller interface {
	// Do returns the whole answer, or an error from which OutcomeOf derives the
	// outcome.
	Do(ctx context.Context, r *Request) (*Answer, error)
}

// Server runs requests at the server process of this host.
type Server interface {
	// Do sends the request and returns its answer. Its errors are *RefusalError,
	// if nothing was sent or the server shed the request, and *LostAnswerError.
	Do(ctx context.Context, r *Request) (*Answer, error)
}

// Candidate is a host that a request may be sent to.
type Candidate struct {
	Host *Host
	// Cost is the one-way network latency to the host.
	Cost time.Duration
	// Pending is the number of this node's own dispatches to the host that have
	// not been answered.
	Pending int
}

// Policy chooses the host for a request.
type Policy interface {
	// Pick returns the index of the chosen candidate. It is called with at
	// least one candidate.
	Pick(s Service, candidates []Candidate) int
	// Observe records the load of a host from an answer, a refusal or a probe.
	Observe(s LoadSample)
	// AttemptFinished records how an attempt ended.
	AttemptFinished(a Attempt)
}

// Admitter limits the number of requests that the server of this host processes
// concurrently.
type Admitter interface {
	// Admit waits for a slot until the context ends. Its error is a *RefusalError.
	Admit(ctx context.Context, r *Request) (Slot, error)
	// Sample returns the current load.
	Sample() LoadSample
	// SetLeaving stops or resumes admission.
	SetLeaving(leaving bool)
	// SetPublished sets the number of slots that the host list specifies.
	SetPublished(slots int)
	// AssumeCold tells the admitter that the server may be cold, for example
	// because its start id changed.
	AssumeCold(reason string)
}

// Slot is permission to run one request at the server.
type Slot interface {
	// Done frees the slot and reports how the request ended. Only the first call
	// has an effect.
	Done(a Attempt)
}

// AllowanceLimiter enforces the customers' allowances.
type AllowanceLimiter interface {
	// Take accounts one call to the customer or returns *AllowanceExceededError. It
	// may wait for one round trip to a slot owner if the customer is new to this node.
	Take(ctx context.Context, c Customer, s Service) error
}

// Reachability tracks which hosts are reachable.
type Reachability interface {
	// Reachable reports whether requests should be sent to the host.
	Reachable(h HostName) bool
	// MarkUnreachable records that an attempt could not reach the host.
	MarkUnreachable(h HostName)
	// MarkReachable records that the host answered.
	MarkReachable(h HostName, i Instance)
}

// Recorder records measurements of finished requests.
type Recorder interface {
	// Request records a call as the caller observed it. Added is the part of the
	// latency that was spent in this system; zero if unknown.
	Request(r *Request, outcome Outcome, status int, latency, added time.Duration)
	// Count adds n to a named counter.
	Count(name string, n int64)
}

// Placements provides the routes, switches and servers that this node currently
// uses.
type Placements interface {
	// Placement returns the current placement. It is never nil; it is empty until
	// something is published.
	Placement() *Placement
	// Changed returns a channel that is closed at the next change of Placement.
	Changed() <-chan struct{}
}

// Registry reads what operators and servers publish on a platform that reports
// changes. Revisions order the changes to the registry as a whole.
type Registry interface {
	// Read returns everything that is published, and its revision. A data centre
	// without a switch is in service, and a server without an entry does not exist.
	Read(ctx context.Context) (Published, Revision, error)
	// Changes returns the changes after a revision as soon as there are any, or
	// none once wait has passed, and the revision to continue from. The error is
	// ErrHistoryGone if the registry no longer has the changes, or is in another era.
	Changes(ctx context.Context, after Revision, wait time.Duration) (Published, Revision, error)
}

// Published is the content of a Registry, or a set of changes to it.
type Published struct {
	Routing  *Routing // nil if there is none, or no newer one
	Switches []DataCentreSwitch
	Servers  []ServerEntry
	Removed  []Removal // only in a set of changes
}

// Empty reports whether there is no content or no change.
func (p *Published) Empty() bool {
	return p.Routing == nil && len(p.Switches) == 0 && len(p.Servers) == 0 && len(p.Removed) == 0
}

// Removal is the removal of a server's entry from the registry.
type Removal struct {
	ID       string
	Revision Revision
}

// MemoryBudget accounts for the bytes that a node holds for requests and answers whose
// size the other side decides. One budget serves a whole node.
type MemoryBudget interface {
	// Reserve accounts for n more bytes. It returns false, and accounts for none, if the
	// budget does not allow them.
	Reserve(n int) bool
	// Release returns bytes that were reserved.
	Release(n int)
}

// Costs of a request for RequestCost.
const (
	// requestBaseCost covers the stack of the goroutine that serves the request, the parsed
	// request and the output buffer.
	requestBaseCost = 16 << 10
	// headerByteCost is the cost of a byte of the header: as received, in the parsed fields, in
	// the smaller buffers from which a long line has grown, and decoded, if it is part of the target.
	headerByteCost = 5
	// fieldCost is the cost of a field besides its bytes: an entry of a map, a list and two
	// strings in the parser and in the copies that are sent on.
	fieldCost = 300
)

// RequestCost returns an upper bound of the memory that a node takes for a request besides its
// body.
func RequestCost(headerBytes, fields int) int {
	return requestBaseCost + HeaderCost(headerBytes, fields)
}

// HeaderCost returns an upper bound of the memory that a node takes for the header of a request or
// an answer. A field of seven bytes takes many times its size once it is parsed.
func HeaderCost(headerBytes, fields int) int { return headerByteCost*headerBytes + fieldCost*fields }
