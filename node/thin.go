package node

import (
	"context"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The parts in this file stand for packages that are not merged yet: share,
// member and stats. They make no claim beyond serving requests.

// planOnly refuses services that are not in the customer's plan.
type planOnly struct{ d prim.Documents }

func (p planOnly) Take(_ context.Context, c prim.Customer, s prim.Service) error {
	if p.d.View().Allowance(c, s).Rate <= 0 {
		return &prim.OverAllowance{Customer: c, Service: s, RetryAfter: time.Minute}
	}
	return nil
}

type everyone struct{}

func (everyone) Reachable(prim.HostName) bool      { return true }
func (everyone) Failed(prim.HostName)              {}
func (everyone) Seen(prim.HostName, prim.Instance) {}

type discard struct{}

func (discard) Request(*prim.Request, prim.Outcome, int, time.Duration, time.Duration) {}
func (discard) Count(string, int64)                                                    {}
