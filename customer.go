package prim

import (
	"crypto/sha256"
	"slices"
)

// DigestKey returns the digest of a customer's key.
func DigestKey(key string) KeyDigest {
	var buffer [128]byte // keys up to this length cost no allocation
	return sha256.Sum256(append(buffer[:0], key...))
}

// Equal reports whether two rules are equal.
func (c *CustomerRule) Equal(o *CustomerRule) bool {
	return c.Name == o.Name && slices.Equal(c.Keys, o.Keys) && equalPriority(c.Priority, o.Priority) &&
		c.Rate == o.Rate && c.Burst == o.Burst && slices.Equal(c.Regions, o.Regions) && c.Closed == o.Closed
}

func equalPriority(a, b *int) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// NeedsKeys reports whether requests on routes that are not public need a key. Without
// customers in the configuration none does; with an empty list of customers nobody holds a
// key.
func (r *Routing) NeedsKeys() bool { return r.Customers != nil }
