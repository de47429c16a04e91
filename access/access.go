// Package access decides whether a request may run, by the key that it carries. It knows no
// network and no names of a platform: the caller extracts the key and translates the refusal.
//
// The load that it is written for is that of every request on its ingress node: one lookup by
// the digest of the key, without locks and independent of the number of customers.
package access

import (
	"fmt"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

const (
	// unknownKeyMaxAge is the age of the routes up to which a key that they lack counts as
	// unknown. Changes are in force within 3 s on nodes that the registry reaches, so on a
	// node with older routes the key may be a new one, and the client would not retry.
	unknownKeyMaxAge = 3 * time.Second
	// staleRetryAfter is the Retry-After time of a node whose routes are too old. A node that
	// the registry reaches again reads it within that time (package roster, verifyRetryDelay); one
	// that resumes after a pause does so within 0.2 s.
	staleRetryAfter = 500 * time.Millisecond
	// closedRetryAfter is the Retry-After time while a route or a customer has restrictions
	// that this version of the program doesn't know. Only an update or a new configuration
	// ends that.
	closedRetryAfter = 5 * time.Second
)

// Config configures a Gate.
type Config struct {
	// MaxAge returns the age of the routes from which requests that need a key are refused; 0
	// if any age will do. It may be nil, which means 0.
	MaxAge func() time.Duration
}

// Gate admits requests.
type Gate struct {
	config Config
	index  atomic.Pointer[index]
}

// index holds the customers of one version of the routes by the digests of their keys.
type index struct {
	version   uint64
	customers map[prim.KeyDigest]*prim.CustomerRule
}

// New returns a Gate.
func New(c Config) *Gate {
	if c.MaxAge == nil {
		c.MaxAge = func() time.Duration { return 0 }
	}
	return &Gate{config: c}
}

// Age is how long the routes may have been outdated. It is unknown if they were never known
// to be current.
type Age struct {
	Duration time.Duration
	Known    bool
}

func (a Age) atMost(d time.Duration) bool { return a.Known && a.Duration <= d }

// Reason is why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	KeyMissing Reason = iota + 1
	KeyUnknown
	RoutesTooOld // whether keys are valid can't be known
	Closed       // there are restrictions that this version of the program doesn't know
)

var reasonTexts = [...]struct{ name, remedy string }{
	KeyMissing:   {"KeyMissing", "send the customer's key"},
	KeyUnknown:   {"KeyUnknown", "send a key that the operators' configuration lists"},
	RoutesTooOld: {"RoutesTooOld", "retry; check that the node reaches the registry or a node that does"},
	Closed:       {"Closed", "update the program, or remove the unknown restriction from the configuration"},
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonTexts[r].name }

// RefusalError is the error of a request that may not run. It contains no key.
type RefusalError struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; 0 if none will.
	RetryAfter time.Duration
}

// Error names the reason and the remedy.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("request refused: %s; %s", e.Reason, reasonTexts[e.Reason].remedy)
}

// The refusals are fixed, so that refusing many requests costs no allocations.
var (
	errKeyMissing   = &RefusalError{Reason: KeyMissing}
	errKeyUnknown   = &RefusalError{Reason: KeyUnknown}
	errRoutesTooOld = &RefusalError{Reason: RoutesTooOld, RetryAfter: staleRetryAfter}
	errClosed       = &RefusalError{Reason: Closed, RetryAfter: closedRetryAfter}
)

// Admit returns the customer of a request on a route of the placement, nil if the request needs
// no key, or a *RefusalError. The key is empty if the request has none. The age has to be read
// before the placement: a placement that was read first may lack a revocation that the age
// covers.
func (g *Gate) Admit(key string, route *prim.PathRoute, p *prim.Placement, age Age) (*prim.CustomerRule, error) {
	if route.Closed {
		return nil, errClosed
	}
	if !p.Routing.NeedsKeys() || route.Public {
		return nil, nil
	}
	if maxAge := g.config.MaxAge(); maxAge > 0 && !age.atMost(maxAge) {
		return nil, errRoutesTooOld
	}
	if key == "" {
		return nil, errKeyMissing
	}
	customer := g.customers(&p.Routing)[prim.DigestKey(key)]
	switch {
	case customer == nil && age.Known && !age.atMost(unknownKeyMaxAge):
		return nil, errRoutesTooOld
	case customer == nil:
		return nil, errKeyUnknown
	case customer.Closed:
		return nil, errClosed
	}
	return customer, nil
}

// customers returns the customers of a version by the digests of their keys. Several callers
// may build the same index at once, which happens only after a change of the version.
func (g *Gate) customers(v *prim.Routing) map[prim.KeyDigest]*prim.CustomerRule {
	known := g.index.Load()
	if known != nil && known.version == v.Version {
		return known.customers
	}
	built := &index{version: v.Version, customers: make(map[prim.KeyDigest]*prim.CustomerRule)}
	for i := range v.Customers {
		for _, k := range v.Customers[i].Keys {
			built.customers[k] = &v.Customers[i]
		}
	}
	// A request that still uses the previous version must not replace the index of the next.
	if known == nil || known.version < v.Version {
		g.index.CompareAndSwap(known, built)
	}
	return built.customers
}
