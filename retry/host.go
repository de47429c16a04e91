package retry

import (
	"sync/atomic"
	"time"
)

// hostState is what this node knows about its own traffic to a host. A host that
// kept a request waiting and answered no other one meanwhile is passed over for a
// time that doubles until it answers, and is then tried by one request at a time.
// Until members notice, which takes about a second, every other request to a
// frozen owner would cost a retry.
type hostState struct {
	pending atomic.Int64
	last    atomic.Int64 // last answer, in Unix nanoseconds
	slows   atomic.Int64 // since the last answer
	until   atomic.Int64 // passed over, in Unix nanoseconds
}

// A silent host is first passed over for slowMin, and for slowMax at most.
const (
	slowMin = 50 * time.Millisecond
	slowMax = 800 * time.Millisecond
)

// silent reports whether the host has answered nothing since it was sent a
// request that is late, and notes it if so. A host that answers others has a
// long queue.
func (s *hostState) silent(sent, now time.Time) bool {
	if s.last.Load() >= sent.UnixNano() {
		return false
	}
	if now.UnixNano() < s.until.Load() {
		return true // one of several that were sent before
	}
	n := min(s.slows.Add(1)-1, 8)
	s.until.Store(now.Add(min(slowMin<<n, slowMax)).UnixNano())
	return true
}

// answered notes that the owner at the host answered anything.
func (s *hostState) answered(now time.Time) {
	s.last.Store(now.UnixNano())
	if s.slows.Load() != 0 {
		s.slows.Store(0)
		s.until.Store(0)
	}
}

// usable reports whether a request may go to the host.
func (s *hostState) usable(now time.Time) bool {
	return s.slows.Load() == 0 || now.UnixNano() >= s.until.Load() && s.pending.Load() == 0
}
