package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// This file selects the peers to which a node sends digests. The hosts of its data
// centre form a ring, ordered by a hash of their names, and the local peers are those
// at the distances 1, 2, 4, 8 ... after the node. Every node is therefore a peer of as
// many nodes of its data centre as it has local peers itself; with random peer lists
// some nodes would be in no list. The hosts of all other data centres form a second
// ring together with the node itself, and the remote peers are those at the distances
// 1, 4, 16 ... there; the host that precedes a data centre's hosts on the ring is in
// another data centre, so each data centre receives digests from outside. The number
// of peers grows with the logarithm of the fleet size: with 9,100 hosts in 17 data
// centres a node has 10 local and 7 remote peers.

// peerList holds the peers of one node, which is not one of them.
type peerList struct {
	local  []prim.HostName
	remote []prim.HostName
}

// derivePeers returns the peers of a node and the number of hosts, including the
// node's own. Lost hosts are left out; hosts taken out of service are included, since
// they still need documents. A node whose host is not in the host list yet has the
// ring position of its name.
func derivePeers(view *prim.View, self prim.HostName, home prim.DataCentre) (ps peerList, hostCount int) {
	type ringEntry struct {
		hash uint64
		name prim.HostName
	}
	var local, remote []ringEntry
	selfEntry := ringEntry{xxh3.HashString(string(self)), self}
	for i := range view.Hosts.Hosts {
		h := &view.Hosts.Hosts[i]
		if h.State == prim.HostLost || h.Name == self {
			continue
		}
		entry := ringEntry{xxh3.HashString(string(h.Name)), h.Name}
		if h.DataCentre == home {
			local = append(local, entry)
		} else {
			remote = append(remote, entry)
		}
	}
	atPowersOf := func(ring []ringEntry, factor int) (peers []prim.HostName) {
		ring = append(ring, selfEntry)
		slices.SortFunc(ring, func(a, b ringEntry) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
		})
		position := slices.Index(ring, selfEntry)
		for distance := 1; distance < len(ring); distance *= factor {
			peers = append(peers, ring[(position+distance)%len(ring)].name)
		}
		return peers
	}
	return peerList{local: atPowersOf(local, 2), remote: atPowersOf(remote, 4)}, len(local) + len(remote) + 1
}

// sample returns up to n distinct random peers, about a third of them remote. Links
// between data centres are costly, but with one remote peer in three, documents reach
// other data centres as fast as hosts of the same one.
func (ps peerList) sample(n int, r *rand.Rand) []prim.HostName {
	remoteCount := min((n+2)/3, len(ps.remote))
	localCount := min(n-remoteCount, len(ps.local))
	remoteCount = min(n-localCount, len(ps.remote))
	peers := make([]prim.HostName, 0, localCount+remoteCount)
	for _, i := range r.Perm(len(ps.local))[:localCount] {
		peers = append(peers, ps.local[i])
	}
	for _, i := range r.Perm(len(ps.remote))[:remoteCount] {
		peers = append(peers, ps.remote[i])
	}
	return peers
}
