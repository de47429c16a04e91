package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// leaveReason is a bit set of reasons to leave. While there is any, the node
// admits no new requests to its server. Each reason has a source of its own,
// which sets and clears only that reason.
type leaveReason uint8

const (
	leaveByDocuments leaveReason = 1 << iota // the host list or the operators' switches say so
	leaveByServer                            // the server is draining
	leaveByStop                              // this process is stopping
)

// names returns the names of the reasons in status and logs.
func (r leaveReason) names() []string {
	var names []string
	for _, e := range [...]struct {
		reason leaveReason
		name   string
	}{{leaveByDocuments, "Documents"}, {leaveByServer, "Server"}, {leaveByStop, "Stop"}} {
		if r&e.reason != 0 {
			names = append(names, e.name)
		}
	}
	return names
}

// leaveReasonSet holds the current reasons to leave.
type leaveReasonSet struct {
	mu      sync.Mutex
	reasons leaveReason
}

// set sets or clears one reason and applies the result to the admitter.
func (l *leaveReasonSet) set(n *Node, r leaveReason, on bool) {
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

func (l *leaveReasonSet) get() leaveReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reasons
}

// followDocuments starts a goroutine that applies each new version of the
// documents to this host. The returned channel reports its end.
func (n *Node) followDocuments(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			changed := n.documents.Changed()
			n.applyDocuments(n.documents.View())
			select {
			case <-changed:
			case <-ctx.Done():
				done <- ctx.Err()
				return
			}
		}
	}()
	return done
}

// applyDocuments sets the slots, the connections and the leaving state of this
// host from the documents.
func (n *Node) applyDocuments(v *prim.View) {
	h, ok := v.Host(n.config.Settings.Name)
	if !ok {
		n.admitter.SetPublished(0)
		return
	}
	if s, ok := v.Service(h.Service); ok {
		n.admitter.SetPublished(s.Slots)
		n.server.SetConnections(s.Connections)
	}
	n.leaveReasons.set(n, leaveByDocuments, h.State != prim.HostLive || v.IsHostOut(h))
}

const (
	// drainPollInterval is the time between two checks for requests in flight.
	drainPollInterval = 10 * time.Millisecond
	// connectionCloseGrace is the time between the moment at which answers
	// begin to carry "Connection: close" and the closing of idle connections.
	// Without it, a request sent on an idle connection while that is being
	// closed would fail.
	connectionCloseGrace = 500 * time.Millisecond
	// handOverTimeout limits the hand-over of idempotency records and that of
	// allowance slots, both together.
	handOverTimeout = 2 * time.Second
)

// closeConnectionsOnStop returns a handler that adds "Connection: close" to the
// answers of next while this process is stopping.
func (n *Node) closeConnectionsOnStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaveReasons.get()&leaveByStop != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain stops admission, waits for the requests in flight of callers and peers,
// and hands over the idempotency records and the allowance slots. Requests that
// arrive meanwhile are still forwarded to other hosts. DrainCallers ends the connections
// of callers when their requests have been served.
func (n *Node) drain(drainCallers func(context.Context) error) error {
	n.leaveReasons.set(n, leaveByStop, true)
	ctx, cancel := context.WithTimeout(context.Background(), n.config.Settings.DrainTimeout)
	defer cancel()
	waits.Sleep(ctx, connectionCloseGrace)
	err := drainCallers(ctx)
	for ctx.Err() == nil && n.hasRequests() {
		waits.Sleep(ctx, drainPollInterval)
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
	// Only a host that leaves permanently hands over its allowance slots.
	// One that restarts uses them again.
	if n.leaveReasons.get()&leaveByDocuments != 0 {
		if err := n.allowanceLimiter.HandOver(ctx); err != nil {
			n.log.Warn("allowance slots not handed over; they stay unused", "Error", err)
		}
	}
	return err
}

// hasRequests reports whether any request is at the server, queued or being
// served for a peer.
func (n *Node) hasRequests() bool {
	load := n.admitter.Sample()
	return load.InFlight > 0 || load.Queued > 0 || n.peers.Status().Serving > 0
}
