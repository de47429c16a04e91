package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file implements the ingress node: it spends the tokens of leases and plans
// which leases to request. It has no goroutines and no sockets.
//
// An entry combines the leases for one customer at one service in one token
// bucket: its rate and its size are the sums over the leases in force, so that
// fractions from many owners add up to whole calls. The demand of the entry is
// estimated from all calls, refused ones included. At each tick the wanted quota
// is divided over the owners, nearest first. A request is due for each lease that
// is past half of its term or whose size differs too much from what is wanted.
// The requests to one owner form one batch.

// key identifies an entry.
type key struct {
	customer prim.Customer
	service  prim.Service
}

// heldLease is the lease that an entry has from one owner.
type heldLease struct {
	instance    prim.Instance // of the owner
	granted     quota
	end         time.Duration
	sequence    uint64 // of the last request; responses to earlier ones are ignored
	requestedAt time.Duration
	wanted      quota
	// short is set if the owner granted less than was wanted.
	short bool
}

// entry is the state of one customer at one service.
type entry struct {
	key
	allowance prim.Allowance
	view      *prim.View
	// burstUnits is the burst of every slot of the service, computed for the
	// owner list with version unitsVersion and the allowance's burst unitsBurst.
	burstUnits   []float64
	unitsVersion uint64
	unitsBurst   float64

	tokens     float64
	leased     quota         // sum of the leases in force
	updatedAt  time.Duration // when tokens and leased were calculated
	nextExpiry time.Duration // earliest end of a lease in force
	leases     map[prim.HostName]*heldLease

	arrivals           int // since the last tick
	fastRate, slowRate float64
	wanted             quota
	starved            bool  // a call was refused since the last tick
	boost              quota // minimum of wanted until boostUntil
	boostUntil         time.Duration
	lastCall           time.Duration
	lastTick           time.Duration
	lastRefusal        time.Duration

	// firstPending counts the first requests of a new entry that are in flight.
	// firstAnswered is closed when they have brought a whole token or all ended.
	firstPending  int
	firstAnswered chan struct{}
	isNew         bool

	used, refused uint64
}

// ownerState is what the borrower knows about an owner of slots.
type ownerState struct {
	inFlight bool
	retryAt  time.Duration // after a failure, no request is sent before this time
	slots    int           // number of slots in its last response, 1 before it
}

// ownerList is the order in which requests go to the owners of a service.
type ownerList struct {
	window  *slotWindow
	order   []int  // indices into the slots of window
	version uint64 // changes with the slots
}

// batch is one request that is to be sent.
type batch struct {
	to      prim.HostName
	sentAt  clockReading
	request leaseRequest
}

// borrower spends the tokens of leases and plans requests for leases.
type borrower struct {
	config      *Config
	timing      Timing
	entries     map[key]*entry
	owners      map[prim.HostName]*ownerState
	ownerLists  map[prim.Service]*ownerList
	sequence    uint64
	lastClock   clockReading
	lastSweep   time.Duration
	lastVersion uint64
	// replan is set if a new entry had to leave out an owner that has a request
	// in flight. The next response then triggers another planning.
	replan bool
}

func newBorrower(c *Config) *borrower {
	return &borrower{
		config: c, timing: c.Timing,
		entries:    make(map[key]*entry),
		owners:     make(map[prim.HostName]*ownerState),
		ownerLists: make(map[prim.Service]*ownerList),
	}
}

// suspendThreshold is how far the wall clock may advance beyond the monotonic
// clock between two readings. A larger difference means that the host was
// suspended, while its monotonic clock stood still, or that the wall clock was set.
const suspendThreshold = 500 * time.Millisecond

// detectSuspend ends all leases after a suspension of the host, since the
// monotonic clock did not measure their terms during it.
func (b *borrower) detectSuspend(now clockReading) {
	ahead := now.wall.Sub(b.lastClock.wall) - (now.mono - b.lastClock.mono)
	if !b.lastClock.wall.IsZero() && ahead > suspendThreshold {
		for _, e := range b.entries {
			for _, l := range e.leases {
				l.end = 0
			}
			e.refill(now.mono, true)
		}
	}
	b.lastClock = now
}

// refill brings the token bucket up to date. Tokens are credited for each lease
// until its end and then limited to the burst of the leases still in force, which
// drops the tokens of expired leases. changed tells that leases have changed.
func (e *entry) refill(now time.Duration, changed bool) {
	if !changed && now < e.nextExpiry {
		add := e.leased.rate * (now - e.updatedAt).Seconds()
		e.tokens = min(e.tokens+add, e.leased.burst)
		e.updatedAt = now
		return
	}
	e.leased, e.nextExpiry = quota{}, math.MaxInt64
	for _, l := range e.leases {
		if l.granted == (quota{}) {
			continue
		}
		e.tokens += l.granted.rate * max(0, min(now, l.end)-e.updatedAt).Seconds()
		if now >= l.end {
			l.granted = quota{}
			continue
		}
		e.leased.rate += l.granted.rate
		e.leased.burst += l.granted.burst
		e.nextExpiry = min(e.nextExpiry, l.end)
	}
	e.tokens = min(e.tokens, e.leased.burst)
	e.updatedAt = now
}

// spend takes one token and reports whether there was one.
func (e *entry) spend(now time.Duration) bool {
	e.refill(now, false)
	e.lastCall = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	e.used++
	return true
}

// retryAfter estimates the time until the entry has a whole token.
func (e *entry) retryAfter(t Timing) time.Duration {
	if e.leased.rate <= 0 || e.leased.burst < 1 {
		return t.LeaseTerm
	}
	wait := min((1-e.tokens)/e.leased.rate, time.Minute.Seconds())
	return max(time.Millisecond, time.Duration(wait*float64(time.Second)))
}

// entry returns the entry for a key and creates it if necessary. It returns nil if
// the customer's plan has no allowance at the service.
func (b *borrower) entry(now clockReading, v *prim.View, k key) *entry {
	e := b.entries[k]
	if e == nil {
		a := v.Allowance(k.customer, k.service)
		if a.Rate <= 0 || a.Burst < 1 {
			return nil
		}
		e = &entry{
			key: k, allowance: a, view: v, updatedAt: now.mono,
			leases: make(map[prim.HostName]*heldLease),
		}
		e.reset(now.mono)
		b.entries[k] = e
	}
	return e
}

// reset makes an entry new: its next call may wait for a response. A new entry
// requests an eighth of the allowance, which is enough for a small burst of calls
// and is returned within seconds if it is not used.
func (e *entry) reset(now time.Duration) {
	e.isNew, e.firstAnswered, e.firstPending = true, make(chan struct{}), 0
	e.fastRate, e.slowRate, e.starved = e.allowance.Rate/8, e.allowance.Rate/8, false
	e.wanted, e.arrivals, e.lastTick, e.boostUntil = quota{}, 0, now, 0
}

// endFirstWait ends the phase in which calls of a new entry wait.
func (e *entry) endFirstWait() {
	if e.isNew {
		e.isNew, e.firstPending = false, 0
		close(e.firstAnswered)
	}
}

// decision is the decision about one call.
type decision struct {
	granted bool
	// waitFor is not nil if the call may wait until it is closed and try again.
	waitFor    <-chan struct{}
	retryAfter time.Duration
	wake       bool // requests must be planned at once
}

// take decides about a call. waited is set for a call that has waited; it is not
// counted again and does not wait again.
func (b *borrower) take(now clockReading, v *prim.View, k key, waited bool) decision {
	b.detectSuspend(now)
	e := b.entry(now, v, k)
	if e == nil {
		return decision{retryAfter: time.Minute}
	}
	if !waited {
		e.arrivals++
	}
	if e.spend(now.mono) {
		return decision{granted: true}
	}
	if e.isNew && !waited {
		return decision{waitFor: e.firstAnswered, wake: true}
	}
	// The entry must not stay new if its owners do not respond: otherwise every
	// call of the customer would wait.
	e.endFirstWait()
	e.refused++
	e.lastRefusal = now.mono
	wake := !e.starved
	e.starved = true
	return decision{retryAfter: e.retryAfter(b.timing), wake: wake}
}

// updateDemand updates the estimated demand of an entry and the wanted quota.
func (e *entry) updateDemand(now clockReading, v *prim.View) {
	if e.view != v {
		e.allowance, e.view = v.Allowance(e.customer, e.service), v
	}
	dt := (now.mono - e.lastTick).Seconds()
	if dt > 0 && !e.isNew {
		observed := float64(e.arrivals) / dt
		// The fast average follows rising demand. The slow one falls slowly, so
		// that leases are not returned during a short pause of the calls.
		e.fastRate += (observed - e.fastRate) * (1 - math.Exp(-dt/0.3))
		e.slowRate += (observed - e.slowRate) * (1 - math.Exp(-dt/2))
		e.starved = e.lastRefusal > e.lastTick
		e.arrivals = 0
		e.lastTick = now.mono
	}
	a := e.allowance
	// Rate that this node holds without using it is not available to other nodes,
	// and the tokens absorb short peaks, so the margin is small. A margin of a
	// third of the mean, or a larger request whenever tokens run low, cost a
	// tenth of the allowance when one node got most of the calls and the others
	// the rest.
	w := quota{rate: 1.05*e.slowRate + a.Rate/1000}
	if e.starved {
		// Callers that obey Retry-After hide their demand, so the quota grows
		// until the refusals stop or the allowance is reached. The boost lasts
		// for a while: if the wanted quotas of a customer that is short at many
		// nodes changed all the time, its owners would keep moving rate between
		// leases, and rate that is being moved is not used.
		e.boost = quota{max(1.3*e.fastRate, 1.5*e.leased.rate), 2 * e.leased.burst}
		e.boostUntil = now.mono + boostDuration
	}
	if now.mono < e.boostUntil {
		w.rate = max(w.rate, e.boost.rate)
	}
	w.rate = min(w.rate, a.Rate)
	if a.Rate > 0 {
		w.burst = a.Burst * w.rate / a.Rate
	}
	if now.mono < e.boostUntil {
		w.burst = max(w.burst, e.boost.burst)
	}
	w.burst = min(max(w.burst, 2), a.Burst)
	if !e.isNew && e.leased.burst < 1 {
		// Without a whole unit of burst this node cannot use the rate, but others
		// can.
		w.rate = min(w.rate, a.Rate/20)
	}
	if !e.isNew && e.isIdle(now.mono) {
		w = quota{}
	}
	e.wanted = w
}

// boostDuration is how long an entry wants an increased quota after a refusal.
const boostDuration = 2 * time.Second

// isIdle reports whether the entry has had no call for a while. The limit is ten
// intervals between calls at the allowed rate, but at least 2 s and at most 30 s,
// so that a slow customer keeps its lease between calls.
func (e *entry) isIdle(now time.Duration) bool {
	keep := 2 * time.Second
	if r := e.allowance.Rate; r > 0 {
		keep = max(keep, time.Duration(min(10/r, 30)*float64(time.Second)))
	}
	return now-e.lastCall > keep
}

// ownersOf returns the owners of a service, nearest first. The order among owners
// at the same distance differs from node to node, which spreads the load of small
// leases.
func (b *borrower) ownersOf(now clockReading, v *prim.View, s prim.Service) *ownerList {
	list := b.ownerLists[s]
	if list != nil && list.window.valid(v, now.wall) {
		return list
	}
	w := b.timing.windowAt(v, s, now.wall)
	if list != nil && slices.Equal(list.window.slots, w.slots) {
		list = &ownerList{window: w, version: list.version}
	} else {
		b.lastVersion++
		list = &ownerList{window: w, version: b.lastVersion}
	}
	b.ownerLists[s] = list
	own := keyHash(prim.Customer(b.config.Self), s)
	distance := func(h *prim.Host) int {
		switch {
		case h.Name == b.config.Self:
			return 0
		case h.DataCentre == b.config.DataCentre:
			return 1
		case v.Region(h.DataCentre) == v.Region(b.config.DataCentre):
			return 2
		}
		return 3
	}
	for i, h := range w.hosts {
		if h.State != prim.HostLost {
			list.order = append(list.order, i)
		}
	}
	slices.SortFunc(list.order, func(i, j int) int {
		return cmp.Or(cmp.Compare(distance(w.hosts[i]), distance(w.hosts[j])),
			cmp.Compare(splitMix64(own^w.hashes[i]), splitMix64(own^w.hashes[j])))
	})
	return list
}

// ticksPerTerm is the number of planning ticks in a lease term. A lease is
// requested, and a hand-over message repeated, at most once per tick.
const ticksPerTerm = 8

// minFirstOwners is the smallest number of owners to which a new entry sends
// requests, so that the first call is not refused because one owner does not
// respond.
const minFirstOwners = 3

// planRequests returns the requests that are due. It resets idle entries and drops
// them after entryIdleTimeout.
func (b *borrower) planRequests(now clockReading, v *prim.View) []batch {
	b.detectSuspend(now)
	b.replan = false
	due := make(map[prim.HostName]*batch)
	for k, e := range b.entries {
		e.updateDemand(now, v)
		e.refill(now.mono, false)
		if e.leased == (quota{}) && e.isIdle(now.mono) {
			if now.mono-e.lastCall > entryIdleTimeout {
				e.endFirstWait()
				delete(b.entries, k)
				continue
			}
			if !e.isNew {
				e.reset(now.mono)
			}
		}
		if !e.isNew || !e.isIdle(now.mono) {
			b.planEntry(now, v, e, due)
		}
	}
	b.dropUnused(now)
	out := make([]batch, 0, len(due))
	for _, d := range due {
		b.owners[d.to].inFlight = true
		out = append(out, *d)
	}
	slices.SortFunc(out, func(x, y batch) int { return cmp.Compare(x.to, y.to) })
	return out
}

// entryIdleTimeout is how long an entry without calls keeps its counters.
const entryIdleTimeout = time.Minute

// planEntry divides the wanted quota of an entry over the owners and adds the
// requests that are due to their batches.
func (b *borrower) planEntry(now clockReading, v *prim.View, e *entry, due map[prim.HostName]*batch) {
	list := b.ownersOf(now, v, e.service)
	w := list.window
	n := float64(len(w.slots))
	if e.unitsVersion != list.version || e.unitsBurst != e.allowance.Burst {
		e.unitsVersion, e.unitsBurst = list.version, e.allowance.Burst
		e.burstUnits = w.burstUnits(e.customer, e.service, e.allowance.Burst)
	}
	left := e.wanted
	// A small remainder is not worth a lease from another owner, unless the
	// customer needs nearly its whole allowance.
	var ignorable quota
	if e.wanted.rate < 0.9*e.allowance.Rate {
		ignorable = quota{e.wanted.rate / 10, e.wanted.burst / 10}
	}
	first := e.isNew
	requested := 0
	for _, i := range list.order {
		h := w.hosts[i]
		o := b.owners[h.Name]
		if o == nil {
			o = &ownerState{slots: 1}
			b.owners[h.Name] = o
		}
		l := e.leases[h.Name]
		var request, expected quota
		if left.rate > ignorable.rate || left.burst > ignorable.burst || first && requested < minFirstOwners && e.burstUnits[i] > 0 {
			scale := float64(o.slots)
			available := quota{e.allowance.Rate / n * scale, e.burstUnits[i] + (scale-1)*e.allowance.Burst/n}
			request = quota{min(available.rate, max(left.rate, 0)), min(available.burst, max(left.burst, 0))}
			if first {
				request.burst = max(request.burst, min(available.burst, 1))
			}
			expected = request
			switch {
			case o.retryAt > now.mono && (l == nil || l.granted == (quota{})):
				expected = quota{}
			case l != nil && l.short:
				expected = quota{min(request.rate, l.granted.rate), min(request.burst, l.granted.burst)}
			}
			left.rate -= expected.rate
			left.burst -= expected.burst
		}
		if request != (quota{}) {
			requested++
		}
		if first && o.inFlight && request != (quota{}) && l == nil {
			b.replan = true
		}
		if o.inFlight || o.retryAt > now.mono || !b.requestDue(now.mono, l, request) {
			continue
		}
		if l == nil {
			l = &heldLease{}
			e.leases[h.Name] = l
		}
		b.addToBatch(now, e, l, h.Name, request, due)
	}
}

// requestDue reports whether a lease has to be requested now.
func (b *borrower) requestDue(now time.Duration, l *heldLease, wanted quota) bool {
	if l == nil {
		return wanted != (quota{})
	}
	since := now - l.requestedAt
	switch {
	case since < b.timing.LeaseTerm/ticksPerTerm:
		return false
	case wanted == (quota{}):
		// A lease that is no longer wanted is returned at once.
		return l.granted != (quota{})
	case l.end-now < b.timing.LeaseTerm/2:
		return !l.short || l.granted != (quota{}) || since >= b.timing.LeaseTerm/4
	case wanted.rate > 1.25*l.wanted.rate || wanted.burst > 1.25*l.wanted.burst:
		return true
	case wanted.rate < 0.6*l.granted.rate || wanted.burst < 0.6*l.granted.burst:
		return true
	}
	return l.short && since >= b.timing.LeaseTerm/4
}

// addToBatch adds a request to the batch of its owner.
func (b *borrower) addToBatch(now clockReading, e *entry, l *heldLease, to prim.HostName, wanted quota, due map[prim.HostName]*batch) {
	d := due[to]
	if d == nil {
		b.sequence++
		d = &batch{to: to, sentAt: now, request: leaseRequest{
			Instance: b.config.Instance, Sequence: b.sequence, Service: e.service,
		}}
		due[to] = d
	}
	if d.request.Service != e.service || len(d.request.Items) >= maxBatchItems {
		return // requested at the next tick
	}
	l.sequence, l.requestedAt, l.wanted = d.request.Sequence, now.mono, wanted
	d.request.Items = append(d.request.Items, leaseRequestItem{
		Customer: e.customer,
		WantRate: float32(wanted.rate), WantBurst: float32(wanted.burst),
		// The conversion is exact: the amounts were received as 32-bit floats.
		HeldRate: float32(l.granted.rate), HeldBurst: float32(l.granted.burst),
	})
	if e.isNew {
		e.firstPending++
	}
}

// handleResponse processes the response to a batch, or its failure.
func (b *borrower) handleResponse(now clockReading, d *batch, response *leaseResponse, failed bool) {
	b.detectSuspend(now)
	if o := b.owners[d.to]; o != nil {
		o.inFlight = false
		if failed {
			o.retryAt = now.mono + b.timing.LeaseTerm/4
		} else {
			o.slots = min(max(1, response.Slots), math.MaxInt16)
		}
	}
	for i := range d.request.Items {
		e := b.entries[key{d.request.Items[i].Customer, d.request.Service}]
		if e == nil {
			continue
		}
		if !failed && i < len(response.Items) {
			b.applyLease(now, d, e, response.Instance, &response.Items[i])
		}
		if e.isNew && e.firstPending > 0 {
			e.firstPending--
			if e.firstPending == 0 || e.tokens >= 1 {
				e.endFirstWait()
			}
		}
	}
}

// applyLease replaces the lease from one owner by the one in its response.
func (b *borrower) applyLease(now clockReading, d *batch, e *entry, from prim.Instance, x *leaseResponseItem) {
	l := e.leases[d.to]
	if l == nil || l.sequence != d.request.Sequence || !validAmount(x.Rate) || !validAmount(x.Burst) || !validAmount(x.Tokens) {
		return
	}
	e.refill(now.mono, true)
	l.instance = from
	l.granted = quota{float64(x.Rate), float64(x.Burst)}
	// The term starts before the request was sent, so the lease ends here before
	// the owner's reservation ends.
	l.end = d.sentAt.mono + b.timing.usableTerm()
	l.short = l.granted.rate < 0.95*l.wanted.rate || l.granted.burst < 0.95*l.wanted.burst
	e.tokens += float64(x.Tokens)
	e.refill(now.mono, true)
}

// dropUnused drops the state of owners, services and leases that are no longer in
// use.
func (b *borrower) dropUnused(now clockReading) {
	if now.mono-b.lastSweep < sweepInterval {
		return
	}
	b.lastSweep = now.mono
	services := make(map[prim.Service]bool)
	for k := range b.entries {
		services[k.service] = true
	}
	listed := make(map[prim.HostName]bool)
	for s, list := range b.ownerLists {
		if !services[s] {
			delete(b.ownerLists, s)
			continue
		}
		for _, i := range list.order {
			listed[list.window.hosts[i].Name] = true
		}
	}
	for h, o := range b.owners {
		if !listed[h] && !o.inFlight {
			delete(b.owners, h)
		}
	}
	for _, e := range b.entries {
		for h, l := range e.leases {
			if l.granted == (quota{}) && now.mono-l.requestedAt > sweepInterval {
				delete(e.leases, h)
			}
		}
	}
}
