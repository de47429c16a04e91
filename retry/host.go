package retry

import (
	"sync/atomic"
	"time"
)

// hostState is what this node knows about its own traffic to a host. A host is
// silent if a request to it is late and it has answered no other request since that
// one was sent. A silent host is avoided for a time that doubles until it answers;
// after that time it gets one request at a time. Reachability takes about a second to
// detect a frozen owner; until then every other request to it would cost a retry.
type hostState struct {
	pending    atomic.Int64
	lastAnswer atomic.Int64 // Unix nanoseconds
	silences   atomic.Int64 // times found silent since the last answer
	avoidUntil atomic.Int64 // Unix nanoseconds
}

// Bounds of the time for which a silent host is avoided. It starts at minAvoidTime
// and doubles up to maxAvoidTime.
const (
	minAvoidTime = 50 * time.Millisecond
	maxAvoidTime = 800 * time.Millisecond
)

// markSilent reports whether the host has answered nothing since a late request was
// sent to it, and if so extends the time for which the host is avoided. A host that
// has answered other requests is not silent: it has a long queue.
func (s *hostState) markSilent(sent, now time.Time) bool {
	if s.lastAnswer.Load() >= sent.UnixNano() {
		return false
	}
	if now.UnixNano() < s.avoidUntil.Load() {
		return true // another late request has already recorded it
	}
	n := min(s.silences.Add(1)-1, 8)
	s.avoidUntil.Store(now.Add(min(minAvoidTime<<n, maxAvoidTime)).UnixNano())
	return true
}

// markAnswered records that the owner at the host answered, even with a refusal.
func (s *hostState) markAnswered(now time.Time) {
	s.lastAnswer.Store(now.UnixNano())
	if s.silences.Load() != 0 {
		s.silences.Store(0)
		s.avoidUntil.Store(0)
	}
}

// usable reports whether a request may be sent to the host.
func (s *hostState) usable(now time.Time) bool {
	return s.silences.Load() == 0 || now.UnixNano() >= s.avoidUntil.Load() && s.pending.Load() == 0
}
