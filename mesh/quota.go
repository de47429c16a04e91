package mesh

import (
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/quota"
)

// maxQuotaAge is the age of the state up to which this node grants from its shares of quotas
// without strict revocation. It bounds how long quotas can be used while the store is away, and
// is part of the time that a new owner waits.
const maxQuotaAge = 30 * time.Second

// maxQuotaAge returns the age of the state up to which this node grants. Under strict revocation
// keys are refused from a certain age on, so nothing is granted after it either.
func (n *Node) maxQuotaAge() time.Duration {
	if age := n.settings().MaxRoutesAge(); age > 0 {
		return min(age, maxQuotaAge)
	}
	return maxQuotaAge
}

func (n *Node) quotaBound() quota.Bound {
	s := n.settings()
	return quota.Bound{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}

// needsVerifiedRoutes reports whether decisions depend on the age of the routes.
func (n *Node) needsVerifiedRoutes(v *prim.Routing) bool {
	limited := func(c prim.CustomerRule) bool { return c.Rate > 0 }
	return n.settings().StrictRevoke || slices.ContainsFunc(v.Customers, limited)
}
