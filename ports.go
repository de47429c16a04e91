package prim

import (
	"context"
	"time"
)

// The ports. Every interface is small enough that a test can fake it in a few
// lines, and no method takes a type of an adapter.

// Documents gives the published documents in force at this node.
type Documents interface {
	// View returns the documents in force. It is never nil; before the first
	// documents arrive it is empty.
	View() *View
	// Changed returns a channel that is closed when View next changes.
	Changed() <-chan struct{}
}

// Platform reads the platform's configuration service. Each call counts as
// one of the service's reads.
type Platform interface {
	// Index returns the digests of all documents.
	Index(ctx context.Context) ([]Digest, error)
	// Read returns the current version of one document.
	Read(ctx context.Context, name string) (Document, error)
}

// Kind names the type of a control message.
type Kind string

// Message is a control message between nodes. The package that sends the kind
// defines its body, which is CBOR.
type Message struct {
	Kind Kind
	Body []byte
}

// Handler answers a control message. An error is reported to the sender as
// text and does not close the link.
type Handler func(ctx context.Context, from HostName, m Message) (Message, error)

// Transport carries control messages between nodes.
type Transport interface {
	// Ask sends a message and waits for the answer.
	Ask(ctx context.Context, to HostName, m Message) (Message, error)
	// Tell sends a message that has no answer. A nil error means that it was
	// written to a link, not that it arrived.
	Tell(ctx context.Context, to HostName, m Message) error
	// Handle registers the handler of a kind. It must be called before the
	// transport serves its first link.
	Handle(k Kind, h Handler)
}

// Owner runs requests at the server of one host. Its errors are *Refusal,
// *Lost or *KeyConflict.
type Owner interface {
	// Dispatch admits the request and runs it.
	Dispatch(ctx context.Context, r *Request) (*Answer, error)
	// Reserve holds a slot for a request that is committed later.
	Reserve(ctx context.Context, r *Request) (Reservation, error)
	// Sample returns the load of the server.
	Sample() Sample
}

// Reservation is a slot held at an owner. It expires by itself; an expired one
// never runs.
type Reservation interface {
	// Commit runs the request in the reserved slot. If it returns a *Refusal
	// the request did not run.
	Commit(ctx context.Context) (*Answer, error)
	// Release gives the slot back. It does nothing after Commit.
	Release()
}

// Owners reaches the owner node of each host, this node's own included.
type Owners interface {
	// Owner returns the owner at a host. The result is cheap to create and
	// makes no connection; an unreachable host shows when it is used.
	Owner(h HostName) Owner
}

// Caller runs requests for callers: it chooses servers, retries and hedges.
type Caller interface {
	// Do returns the whole answer or the error that tells its outcome.
	Do(ctx context.Context, r *Request) (*Answer, error)
}

// Server runs requests at the server process of this host.
type Server interface {
	// Do sends the request and returns its answer. Its errors are *Refusal,
	// when nothing was handed over or the server shed the request, and *Lost.
	Do(ctx context.Context, r *Request) (*Answer, error)
}

// Candidate is a host that a request may be sent to.
type Candidate struct {
	Host *Host
	// Cost is the network distance of the host, one way.
	Cost time.Duration
	// Pending counts this node's own dispatches to the host that have not
	// been answered.
	Pending int
}

// Policy chooses among candidates.
type Policy interface {
	// Pick returns the index of the chosen candidate. It is called with at
	// least one candidate.
	Pick(s Service, cs []Candidate) int
	// Observe learns the load of a host from an answer, a refusal or a probe.
	Observe(s Sample)
	// Finished learns how an attempt ended.
	Finished(a Attempt)
}

// Admitter decides how much work the server of this host gets.
type Admitter interface {
	// Admit waits for a slot until the context ends. The error is a *Refusal.
	Admit(ctx context.Context, r *Request) (Slot, error)
	// Sample returns the current load.
	Sample() Sample
	// SetLeaving stops or resumes admission.
	SetLeaving(leaving bool)
	// SetPublished sets the number of slots that the host list gives.
	SetPublished(slots int)
	// Suspect tells the admitter that the server may be cold, for example
	// because its start id changed.
	Suspect(why string)
}

// Slot is permission to run one request at the server.
type Slot interface {
	// Done gives the slot back and reports how the request ended. Only the
	// first call counts.
	Done(a Attempt)
}

// Ledger grants calls within the customers' allowances.
type Ledger interface {
	// Take grants one call or returns *OverAllowance. It may wait for one
	// round trip to a slot owner when the customer is new to this node.
	Take(ctx context.Context, c Customer, s Service) error
}

// Members tells which hosts can be reached.
type Members interface {
	// Reachable reports whether requests should be sent to the host.
	Reachable(h HostName) bool
	// Failed tells that an attempt could not reach the host.
	Failed(h HostName)
	// Seen tells that the host answered.
	Seen(h HostName, i Instance)
}

// Recorder takes measurements of finished requests.
type Recorder interface {
	// Request records a call as the caller saw it. Added is the part of
	// took that this system spent, zero if unknown.
	Request(r *Request, o Outcome, status int, took, added time.Duration)
	// Count adds to a named counter.
	Count(name string, n int64)
}

// Placements gives the routes, switches and servers in force at this node.
type Placements interface {
	// Placement returns what is in force. It is never nil; before anything was
	// published it is empty.
	Placement() *Placement
	// Changed returns a channel that is closed when Placement next changes.
	Changed() <-chan struct{}
}

// Registry reads what operators and servers publish on a platform that tells
// its changes. Revisions count the changes of the whole registry.
type Registry interface {
	// Read returns all that is published, as of a revision. A switch that is
	// absent is not out, and a server that is absent is not there.
	Read(ctx context.Context) (Published, uint64, error)
	// Changes returns what has changed after a revision as soon as there is
	// something, or nothing after the wait, and the revision to continue from.
	// The error is ErrHistoryGone when the changes are no longer known.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Published, uint64, error)
}

// Published is what a Registry holds, or what has changed in it.
type Published struct {
	Routing  *Routing // nil if there is none, or no newer one
	Switches []CentreSwitch
	Servers  []ServerEntry
	Removed  []Removal // among changes only
}

// Empty reports whether nothing is published or nothing has changed.
func (p *Published) Empty() bool {
	return p.Routing == nil && len(p.Switches) == 0 && len(p.Servers) == 0 && len(p.Removed) == 0
}

// Removal tells that a server's entry is gone.
type Removal struct {
	ID       string
	Revision uint64
}
