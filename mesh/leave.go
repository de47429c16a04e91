package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

// The server of this host receives no requests while any leave reason is set.

// leaveReason is a bit set of reasons to leave.
type leaveReason uint8

const (
	leaveEntry  leaveReason = 1 << iota // the server has no entry for this host's service, or it drains
	leaveSwitch                         // the data centre is out of service
	leaveStop                           // this process is stopping
	leaveServer                         // the server says in its answers that it is leaving
)

type leaveState struct {
	mu      sync.Mutex
	reasons leaveReason
}

// setLeaveReason sets or clears one leave reason.
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

// Timing of a planned stop. Clients on this host keep sending until two readiness
// checks have failed, so the node serves them until then.
const (
	// failedReadinessChecks is the number of failed readiness checks after which
	// clients stop sending.
	failedReadinessChecks = 2
	// lateRequestTime is how long after the last of these checks clients may still
	// send requests.
	lateRequestTime = 300 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in progress.
	drainPollInterval = 10 * time.Millisecond
	// exitReserve is the part of the grace time that is kept for the exit.
	exitReserve = 500 * time.Millisecond
	// A request that is taken during a stop is answered answerReserve before the drain
	// ends. What is still in progress after half of that gets an answer from this node.
	answerReserve = 200 * time.Millisecond
	// serverReserve is how much earlier the server is told to end a request, so that its own
	// answer arrives in time.
	serverReserve = 50 * time.Millisecond
)

// answersBy returns the time by which requests have to be answered because the node stops;
// zero if it does not.
func (n *Node) answersBy() time.Time {
	if t := n.answerBy.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// serverAnswersBy is answersBy for the server of this host.
func (n *Node) serverAnswersBy() time.Time {
	if t := n.answersBy(); !t.IsZero() {
		return t.Add(-serverReserve)
	}
	return time.Time{}
}

// drain serves until clients have stopped sending, refuses new work for the server,
// and waits for the requests in progress. Throughout, requests that can't be expected to be
// answered in time are refused at once. DrainCallers ends the connections of callers when
// their requests have been served.
func (n *Node) drain(drainCallers func(context.Context) error) error {
	n.log.Info("planned stop started", "Counters", n.recorder.Snapshot().Counters, "InProgress", n.callsInProgress.Load(), "AtServer", n.admitter.Running())
	end := time.Now().Add(n.settings().Grace - exitReserve)
	answerBy := end.Add(-answerReserve)
	n.answerBy.Store(&answerBy)
	n.admitter.SetAnswerBy(answerBy)
	n.stopping.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	defer time.AfterFunc(time.Until(end.Add(-answerReserve/2)), n.endCalls).Stop()
	// The other half of the grace time is for the last requests to finish.
	leaveCtx, cancelLeaveCtx := context.WithTimeout(ctx, n.settings().Grace/2)
	for leaveCtx.Err() == nil && n.readinessChecks.Load() < failedReadinessChecks {
		waits.Sleep(leaveCtx, drainPollInterval)
	}
	waits.Sleep(leaveCtx, lateRequestTime)
	cancelLeaveCtx()
	n.setLeaveReason(leaveStop, true)
	err := drainCallers(ctx)
	for ctx.Err() == nil && (n.admitter.Running() > 0 || n.peers.Status().Serving > 0) {
		waits.Sleep(ctx, drainPollInterval)
	}
	if ctx.Err() != nil {
		n.log.Error("planned stop timed out", "InProgress", n.callsInProgress.Load(), "AtServer", n.admitter.Running())
	}
	return err
}
