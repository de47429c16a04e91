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
	leaveEntry  leaveReason = 1 << iota // the server's own entry
	leaveSwitch                         // the data centre is out of service
	leaveStop                           // this process stops
)

type leaveState struct {
	mu      sync.Mutex
	reasons leaveReason
}

// setLeaveReason gives or takes back one reason.
func (n *Node) setLeaveReason(r leaveReason, set bool) {
	n.leaving.mu.Lock()
	defer n.leaving.mu.Unlock()
	before := n.leaving.reasons
	if set {
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
	// failedReadinessChecks is the number of readiness checks after which clients leave.
	failedReadinessChecks = 2
	// lateRequestTime is how long after the last of them clients may still send.
	lateRequestTime = 300 * time.Millisecond
	// drainPollInterval is the time between two looks at the requests in progress.
	drainPollInterval = 10 * time.Millisecond
	// exitReserve is the part of the grace time that is kept for the exit.
	exitReserve = 500 * time.Millisecond
)

// drain serves until the clients have left, refuses new work for the server, and
// waits for what is in progress.
func (n *Node) drain(callers *http.Server) error {
	n.log.Info("stop begins", "Counters", n.recorder.Snapshot().Counters, "InProgress", n.callsInProgress.Load(), "AtServer", n.admitter.Sample().InFlight)
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings().Grace-exitReserve)
	defer cancel()
	// Half of the grace time is left for the requests that came last.
	leaveCtx, cancelLeaveCtx := context.WithTimeout(ctx, n.settings().Grace/2)
	for leaveCtx.Err() == nil && n.readinessChecks.Load() < failedReadinessChecks {
		waits.Sleep(leaveCtx, drainPollInterval)
	}
	waits.Sleep(leaveCtx, lateRequestTime)
	cancelLeaveCtx()
	n.setLeaveReason(leaveStop, true)
	err := callers.Shutdown(ctx)
	for ctx.Err() == nil && (n.admitter.Sample().InFlight > 0 || n.peers.Status().Serving > 0) {
		waits.Sleep(ctx, drainPollInterval)
	}
	if ctx.Err() != nil {
		n.log.Error("planned stop timed out", "InProgress", n.callsInProgress.Load(), "AtServer", n.admitter.Sample().InFlight)
	}
	return err
}
