package quota

import (
	"time"
)

// Timing holds the durations on which the bound on grants depends. All nodes of a
// fleet must use the same values.
type Timing struct {
	// HostChangeDelay is the delay between a change of the host list and its effect
	// on the slots. It also limits the age of the documents that an owner uses.
	HostChangeDelay time.Duration
	// ClockMargin is the largest difference between the wall clock of a node
	// and that of the platform.
	ClockMargin time.Duration
	// LeaseTerm is the duration of a lease.
	LeaseTerm time.Duration
}

// DefaultTiming holds the values from docs/design.md.
var DefaultTiming = Timing{HostChangeDelay: 6 * time.Hour, ClockMargin: time.Minute, LeaseTerm: 2 * time.Second}

// Check returns an error if no slot could be used with this timing.
func (t Timing) Check() error {
	switch {
	case t.LeaseTerm < 10*time.Millisecond:
		return Error.New("LeaseTerm %s is too short for a round trip; use at least 10ms", t.LeaseTerm)
	case t.ClockMargin < 0:
		return Error.New("ClockMargin %s is negative; use the largest expected skew of the wall clocks", t.ClockMargin)
	case t.HostChangeDelay < 4*(t.ClockMargin+t.LeaseTerm):
		return Error.New("HostChangeDelay %s is too short; use at least 4 * (ClockMargin + LeaseTerm)", t.HostChangeDelay)
	}
	return nil
}

// driftDivisor sets the margin for the rate error of monotonic clocks to one part
// in a thousand at the owner and at the ingress node. Crystals stay within 200
// parts in a million and time daemons slew by at most 500. Without the margin an
// ingress node with a slow clock could use a lease for longer than an owner with
// a fast clock reserves it, because the round trip can be shorter than the drift.
const driftDivisor = 1000

// reservationTerm is how long an owner reserves a lease after granting it.
func (t Timing) reservationTerm() time.Duration { return t.LeaseTerm + t.LeaseTerm/driftDivisor }

// usableTerm is how long an ingress node uses a lease after sending the request
// for it.
func (t Timing) usableTerm() time.Duration { return t.LeaseTerm - t.LeaseTerm/driftDivisor }
