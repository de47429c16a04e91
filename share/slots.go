package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// This file says who owns which part of an allowance. The answer is a function
// of the host list and of the wall clock, so that nodes that hold different
// versions of the list still agree; docs/decisions/allowances.md has the proof.
//
// A host is active from Since + Hold (a founding host from the start) until
// Until + Hold. An owner looks at all active sets between now - Margin and
// now + Margin + Term: it uses a slot only if the slot's host belongs to every
// one of them, and it divides the allowance by the union of them. The true time
// of every use, and of every call under a lease granted now, lies in that range.

// slot identifies one part of a service's allowances: a host and the time at
// which it was published. A host replaced under its name is another slot.
type slot struct {
	_     struct{} `cbor:",toarray"`
	Host  prim.HostName
	Since int64 // Unix nanoseconds
}

func slotOf(h *prim.Host) slot { return slot{Host: h.Name, Since: h.Since.UnixNano()} }

func compareSlots(a, b slot) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Since, b.Since))
}

// window holds the active sets of a service around one time. It does not
// change while the wall clock is in [from, until).
type window struct {
	view        *prim.View
	slots       []slot       // the union, ordered
	hosts       []*prim.Host // parallel to slots
	sure        []bool       // parallel to slots: active throughout
	hashes      []uint64     // parallel to slots
	from, until time.Time
}

// valid reports whether the window still describes the service in this view.
func (w *window) valid(v *prim.View, wall time.Time) bool {
	return w != nil && w.view == v && w.covers(wall)
}

func (w *window) covers(wall time.Time) bool {
	return !wall.Before(w.from) && wall.Before(w.until)
}

var (
	distantPast   = time.Unix(0, 0)
	distantFuture = time.Unix(1<<40, 0)
)

// windowAt computes the window of a service.
func (t Terms) windowAt(v *prim.View, s prim.Service, wall time.Time) *window {
	w := &window{view: v, from: distantPast, until: distantFuture}
	bound := func(at time.Time) {
		if at.After(wall) {
			w.until = earlier(w.until, at)
		} else {
			w.from = later(w.from, at)
		}
	}
	ahead := t.ClockMargin + t.LeaseTerm
	founded, founding := foundation(v, s)
	hosts := slices.Clone(v.ServiceHosts(s))
	slices.SortFunc(hosts, func(a, b *prim.Host) int { return compareSlots(slotOf(a), slotOf(b)) })
	for _, h := range hosts {
		on, off := h.Since.Add(t.ShareHold), distantFuture
		if founding && h.Since.Equal(founded) {
			on = distantPast
		}
		if h.State == prim.HostLost {
			off = h.Until.Add(t.ShareHold)
		}
		for _, edge := range [...]time.Time{on, off} {
			bound(edge.Add(-ahead))
			bound(edge.Add(t.ClockMargin))
		}
		if on.After(wall.Add(ahead)) || !off.After(wall.Add(-t.ClockMargin)) {
			continue
		}
		id := slotOf(h)
		w.slots = append(w.slots, id)
		w.hosts = append(w.hosts, h)
		w.sure = append(w.sure, !on.After(wall.Add(-t.ClockMargin)) && off.After(wall.Add(ahead)))
		w.hashes = append(w.hashes, xxh3.HashString(string(id.Host))+uint64(id.Since))
	}
	return w
}

// foundation returns when a service was published and whether the hosts
// published with it are founding hosts. They are not if an older host of the
// service is listed: then the service was published again, and nodes with an
// older list may still use the slots of that host.
func foundation(v *prim.View, s prim.Service) (time.Time, bool) {
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

// freshUntil returns the wall time until which a node may use slots by the
// documents of a view. All three documents count: the host list says who owns
// what, the other two how much it is.
func (t Terms) freshUntil(v *prim.View) time.Time {
	oldest := distantFuture
	for _, name := range [...]string{prim.NameHosts, prim.NamePlans, prim.NameAllowances} {
		oldest = earlier(oldest, v.Digests[name].Issued)
	}
	return oldest.Add(t.ShareHold - t.ClockMargin - t.LeaseTerm)
}

// part is the share of one or several slots in an allowance.
type part struct {
	rate  float64 // requests per second
	burst float64 // requests
}

// maxUnits keeps the whole number of burst units exact in a float64.
const maxUnits = 1 << 40

// part returns what the slots at the given indices own of an allowance.
//
// The rate is divided equally. The burst is dealt out in whole units in
// rendezvous order of customer and service, because a call needs a whole unit
// and a small burst would otherwise be spread in useless fractions. Both are
// monotonic: a larger allowance or a smaller set never lowers any slot's part.
// That is why owners with different versions of the allowances together stay
// within the largest one. A number of slots chosen by the burst would not have
// this property: it moves rate between slots whenever the burst changes.
func (w *window) part(c prim.Customer, s prim.Service, a prim.Allowance, of []int) part {
	if len(of) == 0 || a.Rate < 0 || a.Burst < 1 {
		return part{}
	}
	n := len(w.slots)
	units := math.Floor(min(a.Burst, maxUnits))
	p := part{rate: a.Rate * float64(len(of)) / float64(n)}
	for _, i := range of {
		if rank := float64(w.rank(keyHash(c, s), i)); rank < units {
			p.burst += math.Ceil((units - rank) / float64(n))
		}
	}
	return p
}

// rank returns the place of a slot in the rendezvous order of a key.
func (w *window) rank(key uint64, i int) int {
	own, rank := mix(key^w.hashes[i]), 0
	for j, h := range w.hashes {
		if x := mix(key ^ h); x < own || x == own && j < i {
			rank++
		}
	}
	return rank
}

// deal returns the burst units of every slot, as part does for some.
func (w *window) deal(c prim.Customer, s prim.Service, burst float64) []float64 {
	key, order := keyHash(c, s), make([]int, len(w.slots))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(mix(key^w.hashes[i]), mix(key^w.hashes[j])), cmp.Compare(i, j))
	})
	units := math.Floor(min(burst, maxUnits))
	out := make([]float64, len(w.slots))
	for rank, i := range order {
		out[i] = max(0, math.Ceil((units-float64(rank))/float64(len(order))))
	}
	return out
}

// keyHash identifies a customer at a service.
func keyHash(c prim.Customer, s prim.Service) uint64 {
	return xxh3.HashString(string(c)) + 31*xxh3.HashString(string(s))
}

// mix is the finalizer of SplitMix64, which spreads the bits of a xor of two
// hashes.
func mix(x uint64) uint64 {
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
