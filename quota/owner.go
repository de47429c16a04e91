package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file implements the owner of slots: it grants leases on the slots that
// this instance holds. It has no goroutines and no sockets.
//
// For each customer the owner keeps a pool, a token bucket for the part of the
// allowance that is not leased. A lease takes rate, burst and tokens out of the
// pool. They stay reserved for one term after the grant even if the response was
// lost. The invariant is that at any time the pool and the reservations together
// do not exceed the largest part that the owner had during the last term.

// clockReading is one reading of both clocks of a process. Intervals are measured
// with mono, which never steps; wall is only compared with published times and,
// to detect a suspension, with mono.
type clockReading struct {
	mono time.Duration // since the instance started
	wall time.Time
}

// leaseHolder is one instance of an ingress node.
type leaseHolder struct {
	host     prim.HostName
	instance prim.Instance
}

// leaseRecord is what the owner records about the lease of one holder.
type leaseRecord struct {
	sequence uint64
	wanted   quota
	// granted is the lease in the last response, in force until end. previous is
	// what the holder had when it sent the request; if the response is lost, the
	// holder may use it until previousEnd.
	granted, previous quota
	end, previousEnd  time.Duration
	// unitSince is when the burst of the holder last rose to a whole unit.
	unitSince time.Duration
}

// reserved returns the largest lease that the holder may be using.
func (l *leaseRecord) reserved(now time.Duration) quota {
	switch {
	case now >= l.end:
		return quota{}
	case now >= l.previousEnd:
		return l.granted
	}
	return quota{max(l.granted.rate, l.previous.rate), max(l.granted.burst, l.previous.burst)}
}

// pool is the part of one customer's allowance from which this owner grants leases.
type pool struct {
	generation  uint64
	view        *prim.View
	capacity    quota
	totalBurst  float64 // the burst of the whole allowance, over all slots
	tokens      float64
	free        quota // what was not leased at updatedAt: refill rate and bucket size
	updatedAt   time.Duration
	lastRequest time.Duration
	leases      map[leaseHolder]*leaseRecord
}

// lender grants leases on the slots that this instance holds.
type lender struct {
	timing   Timing
	self     prim.HostName
	instance prim.Instance
	start    clockReading
	config   *Config

	bound   bool // ownSlot and service are set
	ownSlot slot
	service prim.Service
	held    map[slot]time.Duration // usable from this time on

	window    *slotWindow
	usable    []int         // indices of held slots in window
	recheckAt time.Duration // when the next held slot becomes usable
	// generation counts the changes of the usable slots or of the window.
	// Pools that do not exist yet count as empty at emptySince, the time of the
	// last such change or of dropping a pool that was not full.
	generation uint64
	emptySince time.Duration
	pools      map[prim.Customer]*pool
	otherWants []quota // scratch space of fairQuota
	lastSweep  time.Duration
}

func newLender(c *Config, start clockReading) *lender {
	return &lender{
		timing: c.Timing, self: c.Self, instance: c.Instance, start: start, config: c,
		held:  make(map[slot]time.Duration),
		pools: make(map[prim.Customer]*pool),
	}
}

// bindOwnSlot finds the slot of this instance in the host list. It accepts only a
// list issued more than ClockMargin after the instance started: an older list may
// show the host as it was before its slot was handed over or replaced. It also
// compares the address: a host whose name was given to another host would
// otherwise bind the slot of that host after a restart. It binds only once,
// because the slot of a later host entry is not the one that this instance may
// have handed over.
func (l *lender) bindOwnSlot(v *prim.View) {
	h, ok := v.Host(l.self)
	if l.bound || !ok || h.State != prim.HostLive || h.Address != l.config.Address {
		return
	}
	if !v.HostsIssued().After(l.start.wall.Add(l.timing.ClockMargin)) {
		return
	}
	l.bound, l.ownSlot, l.service = true, slotOf(h), h.Service
	// Leases granted by the previous instance may be in use for one more term.
	l.held[l.ownSlot] = l.start.mono + l.timing.reservationTerm()
}

// refreshSlots updates the window and the usable slots.
func (l *lender) refreshSlots(now clockReading, v *prim.View) {
	l.bindOwnSlot(v)
	if !l.bound || l.window.valid(v, now.wall) && now.mono < l.recheckAt {
		return
	}
	w := l.timing.windowAt(v, l.service, now.wall)
	validUntil := l.timing.documentsValidUntil(v)
	w.until = earlier(w.until, validUntil)
	var usable []int
	l.recheckAt = math.MaxInt64
	for id, from := range l.held {
		i, listed := slices.BinarySearchFunc(w.slots, id, compareSlots)
		switch {
		case !listed && id != l.ownSlot:
			delete(l.held, id) // the slot has ended
		case !listed || !w.alwaysActive[i] || !now.wall.Before(validUntil):
		case now.mono < from:
			l.recheckAt = min(l.recheckAt, from)
		default:
			usable = append(usable, i)
		}
	}
	slices.Sort(usable)
	// Tokens are credited only for time in which the owner's part is known to be
	// unchanged. After a window expired, the part may have changed and changed
	// back unnoticed.
	same := l.window != nil && l.window.covers(now.wall) &&
		slices.Equal(l.window.slots, w.slots) && slices.Equal(l.usable, usable)
	if same {
		l.createRaisedPools(now, l.window.view, v)
	} else {
		l.generation++
		l.emptySince = now.mono
	}
	l.window, l.usable = w, usable
}

// updatedPool returns the pool of a customer with its tokens up to date, or nil if
// this owner has no part of the allowance.
func (l *lender) updatedPool(now clockReading, v *prim.View, c prim.Customer) *pool {
	p := l.pools[c]
	if p == nil {
		a := v.Allowance(c, l.service)
		own := l.window.quota(c, l.service, a, l.usable)
		if own.rate <= 0 && own.burst <= 0 {
			return nil
		}
		p = &pool{
			generation: l.generation, view: v, capacity: own, totalBurst: a.Burst, free: own,
			updatedAt: l.emptySince, lastRequest: now.mono, leases: make(map[leaseHolder]*leaseRecord),
		}
		l.pools[c] = p
	}
	if p.generation == l.generation {
		// The tokens are limited by the free burst at the last update. Leases
		// that ended since then have freed burst, but tokens could not collect
		// in it while they lasted.
		p.tokens = min(p.tokens+p.free.rate*(now.mono-p.updatedAt).Seconds(), p.free.burst)
	}
	if p.generation != l.generation || p.view != v {
		a := v.Allowance(c, l.service)
		p.capacity, p.totalBurst = l.window.quota(c, l.service, a, l.usable), a.Burst
		p.generation, p.view = l.generation, v
	}
	p.updateFree(now.mono)
	return p
}

// updateFree removes expired leases and limits the pool to what is not reserved.
func (p *pool) updateFree(now time.Duration) {
	var reserved quota
	for h, x := range p.leases {
		if now >= x.end {
			delete(p.leases, h)
			continue
		}
		r := x.reserved(now)
		reserved.rate += r.rate
		reserved.burst += r.burst
	}
	p.free = quota{max(0, p.capacity.rate-reserved.rate), max(0, p.capacity.burst-reserved.burst)}
	p.tokens = min(p.tokens, p.free.burst)
	p.updatedAt = now
}

// grantLeases answers a request for leases.
func (l *lender) grantLeases(now clockReading, v *prim.View, from prim.HostName, a *leaseRequest) leaseResponse {
	l.refreshSlots(now, v)
	out := leaseResponse{Instance: l.instance, Slots: len(l.usable), Items: make([]leaseResponseItem, len(a.Items))}
	if !l.bound || a.Service != l.service {
		return out
	}
	for i := range a.Items {
		if p := l.updatedPool(now, v, a.Items[i].Customer); p != nil {
			out.Items[i] = l.grantLease(now.mono, p, leaseHolder{from, a.Instance}, a.Sequence, &a.Items[i])
		}
	}
	return out
}

// grantLease replaces the lease of one holder by a new one.
func (l *lender) grantLease(now time.Duration, p *pool, h leaseHolder, sequence uint64, a *leaseRequestItem) leaseResponseItem {
	if !validAmount(a.WantRate) || !validAmount(a.WantBurst) || !validAmount(a.HeldRate) || !validAmount(a.HeldBurst) {
		return leaseResponseItem{}
	}
	p.lastRequest = now
	x := p.leases[h]
	if x == nil {
		x = &leaseRecord{}
		p.leases[h] = x
	} else if sequence <= x.sequence {
		return leaseResponseItem{} // duplicate or outdated request: the holder ignores the response
	}
	old := x.reserved(now)
	x.previous = quota{min(old.rate, float64(a.HeldRate)), min(old.burst, float64(a.HeldBurst))}
	x.previousEnd = x.end
	x.sequence = sequence
	x.wanted = quota{float64(a.WantRate), float64(a.WantBurst)}

	target := l.fairQuota(now, p, x)
	var others quota // sum of what is reserved for other holders
	for _, o := range p.leases {
		if o != x {
			r := o.reserved(now)
			others.rate += r.rate
			others.burst += r.burst
		}
	}
	out := leaseResponseItem{
		Rate:  roundDown(min(target.rate, p.capacity.rate-others.rate)),
		Burst: roundDown(min(target.burst, p.capacity.burst-others.burst)),
	}
	// Tokens are moved only for additional burst, since only there does the
	// holder's bucket have room for them.
	out.Tokens = roundDown(min(p.tokens, float64(out.Burst)-x.previous.burst))
	p.tokens -= float64(out.Tokens)
	if out.Burst >= 1 && x.granted.burst < 1 {
		x.unitSince = now
	}
	x.granted = quota{float64(out.Rate), float64(out.Burst)}
	x.end = now + l.timing.reservationTerm()
	p.updateFree(now)
	return out
}

// fairQuota returns the max-min fair part of the pool for the holder of x.
func (l *lender) fairQuota(now time.Duration, p *pool, x *leaseRecord) quota {
	l.otherWants = l.otherWants[:0]
	for _, o := range p.leases {
		if o != x {
			l.otherWants = append(l.otherWants, o.wanted)
		}
	}
	t := quota{
		rate:  maxMinFair(p.capacity.rate, x.wanted.rate, l.otherWants, func(w quota) float64 { return w.rate }),
		burst: maxMinFair(p.capacity.burst, x.wanted.burst, l.otherWants, func(w quota) float64 { return w.burst }),
	}
	// Fractions from several owners add up to a whole unit of burst, unless there
	// are more holders than units. Then a fraction grants no call, so a holder
	// gets a whole unit for one term and then none, so that others get it.
	if t.burst < 1 && x.wanted.burst >= 1 && p.capacity.burst >= 1 && float64(len(p.leases)) > p.totalBurst {
		t.burst = 1
		if x.granted.burst >= 1 && now-x.unitSince >= l.timing.LeaseTerm {
			t.burst = 0
		}
	}
	return t
}

// maxMinFair returns the max-min fair share of capacity for a holder that wants
// want, next to others. It reorders others.
func maxMinFair(capacity, want float64, others []quota, of func(quota) float64) float64 {
	sum := want
	for _, w := range others {
		sum += of(w)
	}
	if sum <= capacity {
		return want
	}
	slices.SortFunc(others, func(a, b quota) int {
		switch x, y := of(a), of(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	n := float64(len(others) + 1)
	for _, w := range others {
		if of(w) > capacity/n {
			break
		}
		capacity -= of(w)
		n--
	}
	return min(want, max(0, capacity/n))
}

// dropIdlePools drops pools without requests. A full pool without leases can be
// dropped because it is full when it is created again. A pool that is not full
// after poolIdleTimeout is dropped too, and then every absent pool counts as
// empty from now on, which keeps the bound and is rare.
func (l *lender) dropIdlePools(now clockReading, v *prim.View) {
	if now.mono-l.lastSweep < sweepInterval {
		return
	}
	l.lastSweep = now.mono
	l.refreshSlots(now, v)
	for c, p := range l.pools {
		if now.mono-p.lastRequest < l.timing.reservationTerm() {
			continue
		}
		l.updatedPool(now, v, c)
		if p.tokens >= p.capacity.burst {
			delete(l.pools, c)
		} else if now.mono-p.lastRequest >= poolIdleTimeout {
			delete(l.pools, c)
			l.emptySince = now.mono
		}
	}
}

const (
	// sweepInterval limits how often all pools and entries are visited.
	sweepInterval = 10 * time.Second
	// poolIdleTimeout is how long a pool that does not fill is kept after its
	// last request. Drops only have to be rare compared with leases.
	poolIdleTimeout = 10 * time.Minute
)

// createRaisedPools creates the absent pools of customers whose burst is larger
// in the view to than in from. An absent pool counts as filling up to its
// burst since emptySince, so it may hold the new burst at once, whereas an
// existing pool has to fill up from its present tokens. Without this, every
// lowering and raising of a plan would grant the difference again.
func (l *lender) createRaisedPools(now clockReading, from, to *prim.View) {
	if sameAllowanceDocuments(from, to) {
		return
	}
	for i := range to.Plans.Customers {
		c := to.Plans.Customers[i].Name
		if l.pools[c] != nil {
			continue
		}
		before := from.Allowance(c, l.service)
		if before.Burst >= to.Allowance(c, l.service).Burst {
			continue
		}
		if l.updatedPool(now, from, c) == nil {
			l.pools[c] = &pool{
				generation: l.generation, view: from, updatedAt: now.mono, lastRequest: now.mono,
				leases: make(map[leaseHolder]*leaseRecord),
			}
		}
	}
}

// sameAllowanceDocuments reports whether two views have the same plans and
// allowances.
func sameAllowanceDocuments(a, b *prim.View) bool {
	same := func(name string) bool {
		x, y := a.Digests[name], b.Digests[name]
		return x.Version == y.Version && x.Hash == y.Hash
	}
	return same(prim.NamePlans) && same(prim.NameAllowances)
}

// isLeaving reports whether this node's copy of the host list shows the host as
// leaving.
func (l *lender) isLeaving(v *prim.View) bool {
	if !l.bound {
		return false
	}
	for _, h := range v.ServiceHosts(l.service) {
		if slotOf(h) == l.ownSlot {
			return h.State == prim.HostLeaving
		}
	}
	return false
}

// acceptSlots answers a handOverRequest. Only the instance that accepted the offer
// takes over the slots: a second host under the same name could otherwise
// accept a repeated message and use the slots a second time.
func (l *lender) acceptSlots(now clockReading, v *prim.View, h *handOverRequest) handOverResponse {
	l.refreshSlots(now, v)
	e, ok := v.Host(l.self)
	if !l.bound || h.Service != l.service || !ok || slotOf(e) != l.ownSlot || e.State != prim.HostLive {
		return handOverResponse{Instance: l.instance}
	}
	if h.Instance == 0 {
		return handOverResponse{Accepted: true, Instance: l.instance}
	}
	if h.Instance != l.instance {
		return handOverResponse{Instance: l.instance}
	}
	for _, id := range h.Slots {
		_, known := l.held[id]
		_, listed := slices.BinarySearchFunc(l.window.slots, id, compareSlots)
		if !known && listed {
			// Leases granted by the sender may be in use for one more term.
			l.held[id] = now.mono + l.timing.reservationTerm()
			l.recheckAt = 0
		}
	}
	return handOverResponse{Accepted: true, Instance: l.instance}
}

// releaseSlots gives up all slots and returns them. This instance gets no slots
// again: it binds only once, and it accepts none because it is leaving.
func (l *lender) releaseSlots() []slot {
	ids := slices.SortedFunc(maps.Keys(l.held), compareSlots)
	clear(l.held)
	l.recheckAt = 0
	return ids
}

// handOverCandidates returns the hosts that may take over the slots, those of
// data centre d first. Only hosts that are already active qualify, since ingress
// nodes send requests to them.
func (l *lender) handOverCandidates(v *prim.View, d prim.DataCentre) []prim.HostName {
	if l.window == nil {
		return nil
	}
	own := keyHash(prim.Customer(l.self), l.service)
	type candidate struct {
		host  *prim.Host
		order uint64
	}
	var cs []candidate
	for i, h := range l.window.hosts {
		if h.State == prim.HostLive && h.Name != l.self && l.window.alwaysActive[i] {
			cs = append(cs, candidate{h, splitMix64(own ^ l.window.hashes[i])})
		}
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		if x, y := a.host.DataCentre == d, b.host.DataCentre == d; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.order, b.order)
	})
	out := make([]prim.HostName, len(cs))
	for i, c := range cs {
		out[i] = c.host.Name
	}
	return out
}
