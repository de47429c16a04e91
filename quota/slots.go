package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// This file computes which host owns which part of an allowance. The result
// depends only on the host list and the wall clock, so that nodes with different
// versions of the list still agree; docs/decisions/allowances.md has the proof.
//
// A host is active from Since + HostChangeDelay until Until + HostChangeDelay. A
// founding host, one that was published together with its service, is active from
// the start. An owner considers the sets of active hosts at all times between
// now - ClockMargin and now + ClockMargin + LeaseTerm: it uses a slot only if the
// slot's host is in every one of these sets, and it divides the allowance by the
// size of their union. The true time of every use of the slot, and of every call
// under a lease granted now, lies in that range.

// slot identifies one part of the allowances at a service by the host that owns
// it and the time at which that host was published. A replacement host with the
// same name has another slot.
type slot struct {
	_     struct{} `cbor:",toarray"`
	Host  prim.HostName
	Since int64 // Unix nanoseconds
}

func slotOf(h *prim.Host) slot { return slot{Host: h.Name, Since: h.Since.UnixNano()} }

func compareSlots(a, b slot) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Since, b.Since))
}

// slotWindow describes the sets of active hosts of a service around the present
// time. It is valid while the wall clock is in [from, until).
type slotWindow struct {
	view         *prim.View
	slots        []slot       // the union of the sets, ordered
	hosts        []*prim.Host // parallel to slots
	alwaysActive []bool       // parallel to slots: in every set
	hashes       []uint64     // parallel to slots
	from, until  time.Time
}

// valid reports whether the window was computed from this view and covers the
// wall time.
func (w *slotWindow) valid(v *prim.View, wall time.Time) bool {
	return w != nil && w.view == v && w.covers(wall)
}

func (w *slotWindow) covers(wall time.Time) bool {
	return !wall.Before(w.from) && wall.Before(w.until)
}

var (
	distantPast   = time.Unix(0, 0)
	distantFuture = time.Unix(1<<40, 0)
)

// windowAt computes the window of a service at a wall time.
func (t Timing) windowAt(v *prim.View, s prim.Service, wall time.Time) *slotWindow {
	w := &slotWindow{view: v, from: distantPast, until: distantFuture}
	addEdge := func(at time.Time) {
		if at.After(wall) {
			w.until = earlier(w.until, at)
		} else {
			w.from = later(w.from, at)
		}
	}
	lookAhead := t.ClockMargin + t.LeaseTerm
	founded, founding := foundingTime(v, s)
	hosts := slices.Clone(v.ServiceHosts(s))
	slices.SortFunc(hosts, func(a, b *prim.Host) int { return compareSlots(slotOf(a), slotOf(b)) })
	for _, h := range hosts {
		activeFrom, activeUntil := h.Since.Add(t.HostChangeDelay), distantFuture
		if founding && h.Since.Equal(founded) {
			activeFrom = distantPast
		}
		if h.State == prim.HostLost {
			activeUntil = h.Until.Add(t.HostChangeDelay)
		}
		for _, edge := range [...]time.Time{activeFrom, activeUntil} {
			addEdge(edge.Add(-lookAhead))
			addEdge(edge.Add(t.ClockMargin))
		}
		if activeFrom.After(wall.Add(lookAhead)) || !activeUntil.After(wall.Add(-t.ClockMargin)) {
			continue
		}
		id := slotOf(h)
		w.slots = append(w.slots, id)
		w.hosts = append(w.hosts, h)
		w.alwaysActive = append(w.alwaysActive, !activeFrom.After(wall.Add(-t.ClockMargin)) && activeUntil.After(wall.Add(lookAhead)))
		w.hashes = append(w.hashes, xxh3.HashString(string(id.Host))+uint64(id.Since))
	}
	return w
}

// foundingTime returns when a service was published and whether the hosts
// published with it are founding hosts. They are not if the list has an older
// host of the service: then the service was published again, and nodes with an
// older list may still use the slot of that host.
func foundingTime(v *prim.View, s prim.Service) (time.Time, bool) {
	e, ok := v.Service(s)
	if !ok {
		return time.Time{}, false
	}
	for _, h := range v.ServiceHosts(s) {
		if h.Since.Before(e.Since) {
			return e.Since, false
		}
	}
	return e.Since, true
}

// documentsValidUntil returns the wall time until which a node may use slots
// under the documents of a view. All three documents count: the host list
// defines the owners, the other two the size of the allowances.
func (t Timing) documentsValidUntil(v *prim.View) time.Time {
	oldest := distantFuture
	for _, name := range [...]string{prim.NameHosts, prim.NamePlans, prim.NameAllowances} {
		oldest = earlier(oldest, v.Digests[name].Issued)
	}
	return oldest.Add(t.HostChangeDelay - t.ClockMargin - t.LeaseTerm)
}

// quota is a part of an allowance: a refill rate and a bucket size.
type quota struct {
	rate  float64 // requests per second
	burst float64 // requests
}

// maxBurstUnits bounds the burst so that a float64 holds it exactly.
const maxBurstUnits = 1 << 40

// quota returns the part of an allowance that the slots at the given indices own.
//
// The rate is divided equally. The burst is distributed in whole units in
// rendezvous order of customer and service, because a call needs a whole unit
// and a small burst would otherwise be split into unusable fractions. Both are
// monotonic: a larger allowance or a smaller set of slots never reduces the part
// of any slot. Therefore owners with different versions of the allowances
// together stay within the largest one. Choosing the number of slots by the
// burst would not be monotonic: it moves rate between slots whenever the burst
// changes.
func (w *slotWindow) quota(c prim.Customer, s prim.Service, a prim.Allowance, indices []int) quota {
	if len(indices) == 0 || a.Rate < 0 || a.Burst < 1 {
		return quota{}
	}
	n := len(w.slots)
	units := math.Floor(min(a.Burst, maxBurstUnits))
	p := quota{rate: a.Rate * float64(len(indices)) / float64(n)}
	for _, i := range indices {
		if rank := float64(w.rank(keyHash(c, s), i)); rank < units {
			p.burst += math.Ceil((units - rank) / float64(n))
		}
	}
	return p
}

// rank returns the position of a slot in the rendezvous order of a key.
func (w *slotWindow) rank(key uint64, i int) int {
	target, rank := splitMix64(key^w.hashes[i]), 0
	for j, h := range w.hashes {
		if x := splitMix64(key ^ h); x < target || x == target && j < i {
			rank++
		}
	}
	return rank
}

// burstUnits returns the burst of every slot, as computed by quota for one slot.
func (w *slotWindow) burstUnits(c prim.Customer, s prim.Service, burst float64) []float64 {
	key, order := keyHash(c, s), make([]int, len(w.slots))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(splitMix64(key^w.hashes[i]), splitMix64(key^w.hashes[j])), cmp.Compare(i, j))
	})
	units := math.Floor(min(burst, maxBurstUnits))
	out := make([]float64, len(w.slots))
	for rank, i := range order {
		out[i] = max(0, math.Ceil((units-float64(rank))/float64(len(order))))
	}
	return out
}

// keyHash returns the rendezvous key of a customer at a service.
func keyHash(c prim.Customer, s prim.Service) uint64 {
	return xxh3.HashString(string(c)) + 31*xxh3.HashString(string(s))
}

// splitMix64 is the finalizer of SplitMix64. It turns the xor of two hashes into
// a uniformly distributed rank.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
