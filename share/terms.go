package share

import (
	"time"
)

// Terms are the times that the correctness of allowances rests on. Every node
// of a fleet must use the same ones.
type Terms struct {
	// ShareHold is how long a change of the host list waits before it changes
	// the owners of slots, and how old the documents of an owner may be.
	ShareHold time.Duration
	// ClockMargin bounds the difference between a node's wall clock and the
	// platform's.
	ClockMargin time.Duration
	// LeaseTerm is how long a lease lasts.
	LeaseTerm time.Duration
}

// DefaultTerms are those of the design page.
var DefaultTerms = Terms{ShareHold: 6 * time.Hour, ClockMargin: time.Minute, LeaseTerm: 2 * time.Second}

// Check refuses terms under which no slot could ever be used.
func (t Terms) Check() error {
	switch {
	case t.LeaseTerm < 10*time.Millisecond:
		return Error.New("LeaseTerm %s is too short for a round trip; use at least 10ms", t.LeaseTerm)
	case t.ClockMargin < 0:
		return Error.New("ClockMargin %s is negative; use the largest skew of wall clocks", t.ClockMargin)
	case t.ShareHold < 4*(t.ClockMargin+t.LeaseTerm):
		return Error.New("ShareHold %s is too short; use at least four times ClockMargin and LeaseTerm together", t.ShareHold)
	}
	return nil
}

// drift is the allowance for the rate error of monotonic clocks, one part in a
// thousand. Crystals stay within 200 parts in a million and time daemons slew by
// at most 500. Without it a slow ingress node could use a lease longer than a
// fast owner reserves it, because the round trip can be shorter than the drift.
const drift = 1000

// outstanding is how long an owner reserves a lease after granting it.
func (t Terms) outstanding() time.Duration { return t.LeaseTerm + t.LeaseTerm/drift }

// usable is how long an ingress node uses a lease after asking for it.
func (t Terms) usable() time.Duration { return t.LeaseTerm - t.LeaseTerm/drift }
