package node

import (
	"context"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The ledger in this file stands for package share, which is not merged yet.

// planOnly refuses services that are not in the customer's plan.
type planOnly struct{ d prim.Documents }

func (p planOnly) Take(_ context.Context, c prim.Customer, s prim.Service) error {
	if p.d.View().Allowance(c, s).Rate <= 0 {
		return &prim.OverAllowance{Customer: c, Service: s, RetryAfter: time.Minute}
	}
	return nil
}
