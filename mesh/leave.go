package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

// A node takes no requests for its server while any reason to leave is given.

type leaveReason uint8

const (
	byEntry  leaveReason = 1 << iota // the server's own entry
	bySwitch                         // the data centre is out of service
	byStop                           // this process stops
)

type leaving struct {
	mu      sync.Mutex
	reasons leaveReason
}

// leave gives or takes back one reason.
func (n *Node) leave(r leaveReason, on bool) {
	n.leaving.mu.Lock()
	defer n.leaving.mu.Unlock()
	before := n.leaving.reasons
	if on {
		n.leaving.reasons |= r
	} else {
		n.leaving.reasons &^= r
	}
	if before == n.leaving.reasons {
		return
	}
	n.log.Info("reasons to leave changed", "Before", before, "After", n.leaving.reasons)
	n.admitter.SetLeaving(n.leaving.reasons != 0)
}

// Times of a planned stop. Clients of this host stay until readiness was missed
// twice, so the node serves them until then.
const (
	// misses is the number of readiness checks after which clients leave.
	misses = 2
	// settle is how long after the last of them clients may still send.
	settle = 300 * time.Millisecond
	// drainPoll is the time between two looks at the requests in progress.
	drainPoll = 10 * time.Millisecond
	// reserve is the part of the grace time that is kept for the exit.
	reserve = 500 * time.Millisecond
)

// drain serves until the clients have left, refuses new work for the server, and
// waits for what is in progress.
func (n *Node) drain(callers *http.Server) error {
	n.log.Info("stop begins", "Counters", n.recorder.Snapshot().Counters, "InProgress", n.calls.Load(), "AtServer", n.admitter.Sample().InFlight)
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings().Grace-reserve)
	defer cancel()
	// Half of the grace time is left for the requests that came last.
	leave, cancelLeave := context.WithTimeout(ctx, n.settings().Grace/2)
	for leave.Err() == nil && n.asked.Load() < misses {
		waits.Sleep(leave, drainPoll)
	}
	waits.Sleep(leave, settle)
	cancelLeave()
	n.leave(byStop, true)
	err := callers.Shutdown(ctx)
	for ctx.Err() == nil && (n.admitter.Sample().InFlight > 0 || n.peers.Status().Serving > 0) {
		waits.Sleep(ctx, drainPoll)
	}
	if ctx.Err() != nil {
		n.log.Error("planned stop timed out", "InProgress", n.calls.Load(), "AtServer", n.admitter.Sample().InFlight)
	}
	return err
}
