package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// A node takes no new requests for its server while any reason to leave is
// given. Reasons come from several sources, each of which only knows its own.

type leaveReason uint8

const (
	byDocuments leaveReason = 1 << iota // the host list or the operators' switches
	byServer                            // the server drains
	byStop                              // this process stops
)

// names lists the reasons for status and logs.
func (r leaveReason) names() []string {
	var names []string
	for _, e := range [...]struct {
		reason leaveReason
		name   string
	}{{byDocuments, "Documents"}, {byServer, "Server"}, {byStop, "Stop"}} {
		if r&e.reason != 0 {
			names = append(names, e.name)
		}
	}
	return names
}

// leaving combines the reasons.
type leaving struct {
	mu      sync.Mutex
	reasons leaveReason
}

// set gives or takes back one reason.
func (l *leaving) set(n *Node, r leaveReason, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.reasons
	if on {
		l.reasons |= r
	} else {
		l.reasons &^= r
	}
	if before != l.reasons {
		n.log.Info("reasons to leave changed", "Before", before.names(), "After", l.reasons.names())
	}
	n.admitter.SetLeaving(l.reasons != 0)
}

func (l *leaving) get() leaveReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reasons
}

// follow applies every new version of the documents to this host.
func (n *Node) follow(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			changed := n.documents.Changed()
			n.apply(n.documents.View())
			select {
			case <-changed:
			case <-ctx.Done():
				ended <- ctx.Err()
				return
			}
		}
	}()
	return ended
}

// apply sets the slots, the connections and the leaving state of this host.
func (n *Node) apply(v *prim.View) {
	h, ok := v.Host(n.c.Settings.Name)
	if !ok {
		n.admitter.SetPublished(0)
		return
	}
	if s, ok := v.Service(h.Service); ok {
		n.admitter.SetPublished(s.Slots)
		n.server.SetConnections(s.Connections)
	}
	n.leaving.set(n, byDocuments, h.State != prim.HostLive || v.Out(h))
}

const (
	// drainPoll is the time between two looks at the requests in flight.
	drainPoll = 10 * time.Millisecond
	// closeGrace is the time in which answers ask callers to close their
	// connections, before idle ones are closed. Without it a caller that
	// sends a request on an idle connection just then would see it cut.
	closeGrace = 500 * time.Millisecond
	// handOverTimeout bounds the hand-over of records and allowances.
	handOverTimeout = 2 * time.Second
)

// closing asks callers to close their connections while this process stops.
func (n *Node) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.get()&byStop != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain stops admission, waits for the requests in flight of callers and of
// peers, and hands over what others need. Requests that come in meanwhile are
// still forwarded to other hosts.
func (n *Node) drain(s *http.Server) error {
	n.leaving.set(n, byStop, true)
	ctx, cancel := context.WithTimeout(context.Background(), n.c.Settings.DrainTimeout)
	defer cancel()
	waits.Sleep(ctx, closeGrace)
	err := s.Shutdown(ctx)
	for ctx.Err() == nil && n.busy() {
		waits.Sleep(ctx, drainPoll)
	}
	if ctx.Err() != nil {
		n.log.Error("planned stop timed out with requests in flight; raise -drain-timeout", "InFlight", n.admitter.Sample().InFlight)
		return ctx.Err()
	}
	ctx, cancel = context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := n.records.HandOver(ctx); err != nil {
		n.log.Warn("idempotency records not handed over; repeats of their keys end as Unknown", "Error", err)
	}
	// Only a host that leaves for good gives its slots away. One that
	// restarts uses them again.
	if n.leaving.get()&byDocuments != 0 {
		if err := n.ledger.HandOver(ctx); err != nil {
			n.log.Warn("allowance slots not handed over; they stay unused", "Error", err)
		}
	}
	return err
}

// busy reports whether a request is at the server, queued, or being answered.
func (n *Node) busy() bool {
	load := n.admitter.Sample()
	return load.InFlight > 0 || load.Queued > 0 || n.peers.Status().Serving > 0
}
