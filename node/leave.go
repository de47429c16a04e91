package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A node takes no new requests for its server while any reason to leave is
// given. Reasons come from several sources, each of which only knows its own.

type leaveReason uint8

const (
	byDocuments leaveReason = 1 << iota // the host list or the operators' switches
	byServer                            // the server drains
	byStop                              // this process stops
)

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
		n.log.Info("reasons to leave changed", "Before", before, "After", l.reasons)
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

// drainPoll is the time between two looks at the requests in flight.
const drainPoll = 10 * time.Millisecond

// drain stops admission, waits for the requests in flight of callers and of
// peers, and closes the listener. Requests that come in meanwhile are still
// forwarded to other hosts.
func (n *Node) drain(s *http.Server) error {
	n.leaving.set(n, byStop, true)
	ctx, cancel := context.WithTimeout(context.Background(), n.c.Settings.DrainTimeout)
	defer cancel()
	err := s.Shutdown(ctx)
	for ctx.Err() == nil {
		load := n.admitter.Sample()
		if load.InFlight == 0 && load.Queued == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	if ctx.Err() != nil {
		n.log.Error("planned stop timed out with requests in flight; raise -drain-timeout", "InFlight", n.admitter.Sample().InFlight)
		return ctx.Err()
	}
	return err
}
