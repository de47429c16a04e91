package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The candidates for an attempt are the hosts of the service that are in service,
// that Reachability reports as reachable and that have not been tried. This node's
// own host comes first while its server has room, since that avoids the second hop.
// Otherwise the policy chooses.

// choiceBuffers holds the slices of one call of choose, for reuse.
type choiceBuffers struct {
	hosts      []*prim.Host
	candidates []prim.Candidate
}

var choicePool = sync.Pool{New: func() any { return new(choiceBuffers) }}

// choose returns a host that is not excluded, or nil if there is none.
func (k *call) choose(exclude []prim.HostName) *prim.Host {
	c := &k.caller.config
	all := c.Documents.View().InService(k.request.Service)
	now := time.Now()
	s := choicePool.Get().(*choiceBuffers)
	defer choicePool.Put(s)
	s.hosts, s.candidates = s.hosts[:0], s.candidates[:0]
	// Reachability may be wrong and a silent host may recover. If no better host is
	// left, an attempt at an unreachable or silent one is better than none.
	for _, acceptable := range [...]func(h prim.HostName) bool{
		func(h prim.HostName) bool { return c.Reachability.Reachable(h) && k.caller.host(h).usable(now) },
		c.Reachability.Reachable,
		func(prim.HostName) bool { return true },
	} {
		for _, h := range all {
			if slices.Contains(exclude, h.Name) {
				continue
			}
			if h.Name == c.Host && k.hasRoom(h) {
				return h
			}
			if acceptable(h.Name) {
				s.hosts = append(s.hosts, h)
			}
		}
		if len(s.hosts) > 0 {
			break
		}
	}
	if len(s.hosts) == 0 {
		return nil
	}
	for _, h := range s.hosts {
		cost, ok := c.Costs[h.DataCentre]
		if !ok {
			cost = c.DefaultCost
		}
		if h.Name == c.Host {
			cost = 0
		}
		s.candidates = append(s.candidates, prim.Candidate{Host: h, Cost: cost, Pending: k.caller.Pending(h.Name)})
	}
	return s.hosts[c.Policy.Pick(k.request.Service, s.candidates)]
}

// hasRoom reports whether this node's own server would admit a request now. The
// sample is exact, since the owner is in this process.
func (k *call) hasRoom(h *prim.Host) bool {
	s := k.caller.config.Owners.Owner(h.Name).Sample()
	return !s.Leaving && s.Queued == 0 && s.InFlight < s.Limit
}

// awaitHost returns the host for the next attempt. It waits while no host is in
// service; that takes no retry token, since no attempt is made.
func (k *call) awaitHost(deadlineCtx context.Context) (*prim.Host, error) {
	for {
		changed := k.caller.config.Documents.Changed()
		if h := k.choose(k.tried); h != nil {
			return h, deadlineCtx.Err()
		}
		if len(k.tried) > 0 {
			k.tried = k.tried[:0]
			continue
		}
		k.lastRefusal = &prim.RefusalError{Reason: prim.ReasonNoHost}
		select {
		case <-changed:
		case <-deadlineCtx.Done():
			return nil, deadlineCtx.Err()
		}
	}
}
