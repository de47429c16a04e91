package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The candidates of an attempt are the hosts of the service that are in service
// and that members find reachable, without those already tried. This node's own
// host goes first while its server has room, since that saves the second hop;
// otherwise the policy chooses.

// choice is the scratch memory of one choice.
type choice struct {
	hosts      []*prim.Host
	candidates []prim.Candidate
}

var choices = sync.Pool{New: func() any { return new(choice) }}

// choose returns a host that is not excluded, or nil if there is none.
func (k *call) choose(exclude []prim.HostName) *prim.Host {
	c := &k.caller.config
	all := c.Documents.View().InService(k.request.Service)
	now := time.Now()
	s := choices.Get().(*choice)
	defer choices.Put(s)
	s.hosts, s.candidates = s.hosts[:0], s.candidates[:0]
	// Members may be wrong and a slow host may recover. When no better host is
	// left, an attempt at one of those costs the request less than none.
	for _, good := range [...]func(h prim.HostName) bool{
		func(h prim.HostName) bool { return c.Members.Reachable(h) && k.caller.host(h).usable(now) },
		c.Members.Reachable,
		func(prim.HostName) bool { return true },
	} {
		for _, h := range all {
			if slices.Contains(exclude, h.Name) {
				continue
			}
			if h.Name == c.Host && k.hasRoom(h) {
				return h
			}
			if good(h.Name) {
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

// hasRoom reports whether the own server would admit a request now. Its sample
// is exact, since the owner is in this process.
func (k *call) hasRoom(h *prim.Host) bool {
	s := k.caller.config.Owners.Owner(h.Name).Sample()
	return !s.Leaving && s.Queued == 0 && s.InFlight < s.Limit
}

// pick returns the host of the next attempt. While no host is in service it
// waits; that costs no retry, since no attempt is made.
func (k *call) pick(waiting context.Context) (*prim.Host, error) {
	for {
		changed := k.caller.config.Documents.Changed()
		if h := k.choose(k.tried); h != nil {
			return h, waiting.Err()
		}
		if len(k.tried) > 0 {
			k.tried = k.tried[:0]
			continue
		}
		k.refusal = &prim.Refusal{Reason: prim.ReasonNoHost}
		select {
		case <-changed:
		case <-waiting.Done():
			return nil, waiting.Err()
		}
	}
}
