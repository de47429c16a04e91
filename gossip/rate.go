package gossip

import (
	"math/rand/v2"
	"time"
)

// This file determines how often a node reads the platform's index. The platform
// counts every read, so the intervals are chosen such that the expected total of the
// fleet is at most Config.FleetReads reads per second. An interval is 1 s plus an
// exponentially distributed remainder. With intervals uniform in 80% to 120% of their
// mean, 9,100 nodes that start together would make 900 reads per second for ten
// seconds, one mean interval later; exponential intervals show no such wave.
//
// Body reads count as well: after b body reads the next interval is that of 1+b
// reads, so the same limit holds for the rate of all reads.

const (
	// DefaultFleetReads is the default limit for the fleet, in reads per second.
	// It leaves four fifths of the platform's 2,000 reads per second to other clients.
	DefaultFleetReads = 400
	// minReadInterval is the minimum time between two index reads of one node.
	minReadInterval = time.Second
	// regularReadShare is the fraction of the fleet's read rate for regular reads. The
	// remainder is for nodes that count as isolated by chance: with 30% message loss
	// that is about one in a hundred nodes of a large fleet at any time.
	regularReadShare = 0.9
	// isolatedReadInterval is the mean read interval of an isolated node. With jitter
	// the interval is at most 6 s, within the 10 s in which a change must be in effect.
	// If all nodes of a fleet of 9,100 are isolated they make 1,820 reads per second,
	// which the platform can still serve.
	isolatedReadInterval = 5 * time.Second
	// A node that has heard from fewer than minHeardPeers distinct peers within
	// heardWindow counts as isolated. In a fully connected fleet a node receives
	// about 12 digests in that time, from at least 8 peers. The window plus the first
	// read as an isolated node, at most maxIsolatedReadDelay later, fit into the 10 s
	// in which a change must be in effect.
	minHeardPeers        = 2
	heardWindow          = 4 * time.Second
	maxIsolatedReadDelay = 4 * time.Second
	// A node that has heard from so few peers within searchWindow sends digests searchPushes
	// times in each Period, to all hosts in turn: a node without state that only this one
	// can reach gets no documents before it is found. It is shorter than heardWindow since a
	// search costs digests, bounded by Config.DigestRate, but no reads.
	searchWindow = 2 * time.Second
	searchPushes = 4
	// maxUnknownSizeInterval is the maximum mean read interval while the size of the
	// fleet is unknown. It is longer than the mean interval at the target fleet size.
	maxUnknownSizeInterval = 32 * time.Second

	// jitterFraction is the maximum relative deviation of a jittered duration.
	jitterFraction = 0.2
)

// meanReadInterval returns the mean time between two index reads of one node in a
// fleet of the given number of hosts that may make readsPerSecond reads together. The
// interval allows for the given number of reads by this node: the index read and the
// body reads since the previous one.
func meanReadInterval(hosts, reads int, readsPerSecond float64) time.Duration {
	shortest := time.Duration(float64(minReadInterval) / (1 - jitterFraction))
	return max(shortest, time.Duration(float64(hosts*reads)/(regularReadShare*readsPerSecond)*float64(time.Second)))
}

// randomReadInterval returns a random interval of at least minReadInterval whose mean
// is close to the given one, which must be above minReadInterval. The exponentially
// distributed remainder is capped at six times its mean, which makes the mean
// slightly shorter; regularReadShare leaves room for that.
func randomReadInterval(mean time.Duration, r *rand.Rand) time.Duration {
	remainder := float64(mean - minReadInterval)
	return minReadInterval + time.Duration(remainder*min(6, r.ExpFloat64()))
}

// jittered returns a random duration that is uniform in 80% to 120% of mean.
func jittered(mean time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(mean) * (1 - jitterFraction + 2*jitterFraction*r.Float64()))
}
