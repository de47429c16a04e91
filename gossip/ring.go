package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// This file derives the peers that a node tells. The hosts of its data centre
// stand on a ring in the order of a hash of their names, and it tells those at
// the distances 1, 2, 4, 8 ... from itself. Every node of a data centre is
// therefore told by as many as it tells, so none is left out, which happens with
// random lists. The hosts of other data centres stand on a second ring with the
// node itself, and it tells those at 1, 4, 16 ... there; the host before a data
// centre's part of the ring is outside it, so each data centre is told by another.
// The number of links grows with the logarithm of the fleet: at 9,100 hosts in 17
// data centres a node has 10 local and 7 remote peers.

// peerList holds the peers of one node, without itself.
type peerList struct {
	local  []prim.HostName
	remote []prim.HostName
}

// derivePeers returns the peers of a node. Lost hosts are left out; hosts taken
// out of service still need documents. Without an own entry, as in a node whose
// host is not published yet, the node takes the place that its name gives it.
func derivePeers(v *prim.View, self prim.HostName, home prim.DataCentre) (ps peerList, hosts int) {
	type place struct {
		hash uint64
		name prim.HostName
	}
	var near, far []place
	me := place{xxh3.HashString(string(self)), self}
	for i := range v.Hosts.Hosts {
		h := &v.Hosts.Hosts[i]
		if h.State == prim.HostLost || h.Name == self {
			continue
		}
		p := place{xxh3.HashString(string(h.Name)), h.Name}
		if h.DataCentre == home {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	pick := func(ring []place, factor int) (names []prim.HostName) {
		ring = append(ring, me)
		slices.SortFunc(ring, func(a, b place) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
		})
		at := slices.Index(ring, me)
		for d := 1; d < len(ring); d *= factor {
			names = append(names, ring[(at+d)%len(ring)].name)
		}
		return names
	}
	return peerList{local: pick(near, 2), remote: pick(far, 4)}, len(near) + len(far) + 1
}

// choose returns up to n different peers, about a third of them remote. Links
// between data centres are costly, but one remote peer in three keeps the
// spread between data centres as fast as within them.
func (ps peerList) choose(n int, r *rand.Rand) []prim.HostName {
	far := min((n+2)/3, len(ps.remote))
	near := min(n-far, len(ps.local))
	far = min(n-near, len(ps.remote))
	out := make([]prim.HostName, 0, near+far)
	for _, i := range r.Perm(len(ps.local))[:near] {
		out = append(out, ps.local[i])
	}
	for _, i := range r.Perm(len(ps.remote))[:far] {
		out = append(out, ps.remote[i])
	}
	return out
}
