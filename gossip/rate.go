package gossip

import (
	"math/rand/v2"
	"time"
)

// This file decides how often a node reads the platform's index. The service
// counts each read, so the gaps of all nodes together are chosen such that the
// fleet's expected total stays at or below Config.FleetReads a second. A gap is
// 1 s and an exponentially distributed rest. With gaps uniform in 80% to 120% of
// their mean, 9,100 nodes that start together read 900 times a second for ten
// seconds one mean gap later; exponential gaps have no such wave.
//
// Body reads count too: after an index read that led to b body reads, the next
// gap makes up for 1+b reads, so the rate of all reads has the same bound.

const (
	// DefaultFleetReads is the fleet's total of reads a second. It leaves four
	// fifths of the platform's 2,000 reads a second to others.
	DefaultFleetReads = 400
	// minGap is the shortest time between two index reads of one node.
	minGap = time.Second
	// regularShare is the part of the total that regular reads use. The rest is
	// for nodes that count as isolated by chance: at 30% loss about one in a
	// hundred nodes of a large fleet at a time.
	regularShare = 0.9
	// isolatedGap is the mean gap of a node that hears few peers. The gap is at
	// most 6 s, within the 10 s in which a change must be in effect. If every
	// node of 9,100 is isolated they read 1,820 times a second, which the
	// platform can still answer.
	isolatedGap = 5 * time.Second
	// isolatedBelow is the number of different peers heard within heardWindow
	// below which a node counts as isolated. A node in a whole fleet receives
	// some 12 digests in that time, from 8 peers or more. The window and the
	// first read, at most isolatedSpread later, fit into 10 s.
	isolatedBelow  = 2
	heardWindow    = 4 * time.Second
	isolatedSpread = 4 * time.Second
	// maxUnknownGap is the largest mean gap while the size of the fleet is not
	// known; it is longer than the gap of the target size.
	maxUnknownGap = 32 * time.Second

	jitter = 0.2
)

// meanGap returns the mean time between two index reads of one node in a fleet
// of n hosts that may make total reads a second together. Reads is the number of
// reads that the gap has to make up for: the index read and the body reads that
// followed it.
func meanGap(n, reads int, total float64) time.Duration {
	shortest := time.Duration(float64(minGap) / (1 - jitter))
	return max(shortest, time.Duration(float64(n*reads)/(regularShare*total)*float64(time.Second)))
}

// regularGap draws a gap with at most the given mean, which is above minGap.
// Gaps of more than six times the mean are cut; regularShare leaves room
// for that.
func regularGap(mean time.Duration, r *rand.Rand) time.Duration {
	rest := float64(mean - minGap)
	return minGap + time.Duration(rest*min(6, r.ExpFloat64()))
}

// spread returns a time that is uniform in 80% to 120% of mean.
func spread(mean time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * (1 - jitter + 2*jitter*r.Float64()))
}
