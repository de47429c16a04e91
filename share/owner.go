package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file is the slot owner's side: it lends parts of the slots that this
// instance holds. It has no goroutines and no sockets.
//
// For each customer the owner keeps a pool: a token bucket over the part that
// is not lent. A lease takes rate, burst and tokens out of the pool, and they
// stay reserved until one term after the grant even if the answer was lost. The
// invariant is that at any time the pool and the reservations together stay
// within the largest part that the owner had during the last term.

// instant is one reading of the clocks of a process. Intervals use mono, which
// never steps; only comparisons with published times use wall.
type instant struct {
	mono time.Duration // since the instance started
	wall time.Time
}

// holder is one instance of an ingress node.
type holder struct {
	host     prim.HostName
	instance prim.Instance
}

// loan is what the owner knows about the lease of one holder.
type loan struct {
	sequence uint64
	want     part
	// granted is what the last answer gave, until end. held is what the holder
	// had when it asked; it may keep it until heldEnd if the answer is lost.
	granted, held part
	end, heldEnd  time.Duration
	// since is when the holder last went from less than one unit to one.
	since time.Duration
}

// reserved returns what the holder may be using.
func (l *loan) reserved(now time.Duration) part {
	switch {
	case now >= l.end:
		return part{}
	case now >= l.heldEnd:
		return l.granted
	}
	return part{max(l.granted.rate, l.held.rate), max(l.granted.burst, l.held.burst)}
}

// pool is the part of one customer's allowance that this owner lends from.
type pool struct {
	generation uint64
	view       *prim.View
	own        part
	units      float64 // the whole burst of the allowance, all slots together
	tokens     float64
	free       part // what is not lent: refill rate and size since at
	at         time.Duration
	used       time.Duration // last ask
	loans      map[holder]*loan
}

// lender lends from the slots that this instance holds.
type lender struct {
	terms    Terms
	self     prim.HostName
	instance prim.Instance
	start    instant
	config   *Config

	bound   bool // own is known
	own     slot
	service prim.Service
	held    map[slot]time.Duration // usable from this time on

	window *window
	usable []int         // indices of held slots in window
	recalc time.Duration // when the next held slot becomes usable
	// generation counts changes of the usable slots or of the window. since is
	// the time of the last one; pools that do not exist are empty then.
	generation uint64
	since      time.Duration
	pools      map[prim.Customer]*pool
	wants      []part // scratch space of share
	swept      time.Duration
}

func newLender(c *Config, start instant) *lender {
	return &lender{
		terms: c.Terms, self: c.Self, instance: c.Instance, start: start, config: c,
		held:  make(map[slot]time.Duration),
		pools: make(map[prim.Customer]*pool),
	}
}

// bind learns which slot belongs to this instance. It trusts only a list issued
// after the instance started, on any clock within the margin: an older list may
// show the host as it was before its slot was handed over or replaced. Nor does
// it trust the name alone: a machine whose name was given to another one, and
// which restarts, would find that other one's slot. It binds once, because the
// slot of a later entry is not the one that this instance may have handed over.
func (l *lender) bind(v *prim.View) {
	h, ok := v.Host(l.self)
	if l.bound || !ok || h.State != prim.HostLive || h.Address != l.config.Address {
		return
	}
	if !v.HostsIssued().After(l.start.wall.Add(l.terms.ClockMargin)) {
		return
	}
	l.bound, l.own, l.service = true, slotOf(h), h.Service
	// Leases of the previous instance may be outstanding for one term.
	l.held[l.own] = l.start.mono + l.terms.outstanding()
}

// refresh brings the usable slots up to date.
func (l *lender) refresh(now instant, v *prim.View) {
	l.bind(v)
	if !l.bound || l.window.valid(v, now.wall) && now.mono < l.recalc {
		return
	}
	w := l.terms.windowAt(v, l.service, now.wall)
	fresh := l.terms.freshUntil(v)
	w.until = earlier(w.until, fresh)
	var usable []int
	l.recalc = math.MaxInt64
	for id, from := range l.held {
		i, listed := slices.BinarySearchFunc(w.slots, id, compareSlots)
		switch {
		case !listed && id != l.own:
			delete(l.held, id) // its time is over
		case !listed || !w.sure[i] || !now.wall.Before(fresh):
		case now.mono < from:
			l.recalc = min(l.recalc, from)
		default:
			usable = append(usable, i)
		}
	}
	slices.Sort(usable)
	// Tokens are only credited for time in which the part is known not to have
	// changed. A window that ran out may hide a change and its reversal.
	same := l.window != nil && l.window.covers(now.wall) &&
		slices.Equal(l.window.slots, w.slots) && slices.Equal(l.usable, usable)
	if same {
		l.materialize(now, l.window.view, v)
	} else {
		l.generation++
		l.since = now.mono
	}
	l.window, l.usable = w, usable
}

// touch returns the pool of a customer with its tokens up to date, nil if this
// owner has no part of the allowance.
func (l *lender) touch(now instant, v *prim.View, c prim.Customer) *pool {
	p := l.pools[c]
	if p == nil {
		a := v.Allowance(c, l.service)
		own := l.window.part(c, l.service, a, l.usable)
		if own.rate <= 0 && own.burst <= 0 {
			return nil
		}
		p = &pool{
			generation: l.generation, view: v, own: own, units: a.Burst, free: own,
			at: l.since, used: now.mono, loans: make(map[holder]*loan),
		}
		l.pools[c] = p
	}
	if p.generation == l.generation {
		// The size is that of the last settlement. Loans that ended since then
		// made room, but while they lasted the tokens had none.
		p.tokens = min(p.tokens+p.free.rate*(now.mono-p.at).Seconds(), p.free.burst)
	}
	if p.generation != l.generation || p.view != v {
		a := v.Allowance(c, l.service)
		p.own, p.units = l.window.part(c, l.service, a, l.usable), a.Burst
		p.generation, p.view = l.generation, v
	}
	p.settle(now.mono)
	return p
}

// settle forgets ended loans and bounds the pool by what is not reserved.
func (p *pool) settle(now time.Duration) {
	var lent part
	for h, x := range p.loans {
		if now >= x.end {
			delete(p.loans, h)
			continue
		}
		r := x.reserved(now)
		lent.rate += r.rate
		lent.burst += r.burst
	}
	p.free = part{max(0, p.own.rate-lent.rate), max(0, p.own.burst-lent.burst)}
	p.tokens = min(p.tokens, p.free.burst)
	p.at = now
}

// lend answers an ask for leases.
func (l *lender) lend(now instant, v *prim.View, from prim.HostName, a *leaseAsk) lease {
	l.refresh(now, v)
	out := lease{Instance: l.instance, Slots: len(l.usable), Items: make([]leaseItem, len(a.Items))}
	if !l.bound || a.Service != l.service {
		return out
	}
	for i := range a.Items {
		if p := l.touch(now, v, a.Items[i].Customer); p != nil {
			out.Items[i] = l.grant(now.mono, p, holder{from, a.Instance}, a.Sequence, &a.Items[i])
		}
	}
	return out
}

// grant replaces the loan of one holder by a new one.
func (l *lender) grant(now time.Duration, p *pool, h holder, sequence uint64, a *askItem) leaseItem {
	if !sane(a.WantRate) || !sane(a.WantBurst) || !sane(a.HeldRate) || !sane(a.HeldBurst) {
		return leaseItem{}
	}
	p.used = now
	x := p.loans[h]
	if x == nil {
		x = &loan{}
		p.loans[h] = x
	} else if sequence <= x.sequence {
		return leaseItem{} // a duplicate or overtaken ask; nobody waits for the answer
	}
	old := x.reserved(now)
	x.held = part{min(old.rate, float64(a.HeldRate)), min(old.burst, float64(a.HeldBurst))}
	x.heldEnd = x.end
	x.sequence = sequence
	x.want = part{float64(a.WantRate), float64(a.WantBurst)}

	target := l.share(now, p, x)
	var lent part // to others
	for _, o := range p.loans {
		if o != x {
			r := o.reserved(now)
			lent.rate += r.rate
			lent.burst += r.burst
		}
	}
	out := leaseItem{
		Rate:  down(min(target.rate, p.own.rate-lent.rate)),
		Burst: down(min(target.burst, p.own.burst-lent.burst)),
	}
	// Only added burst brings tokens: the holder has room for them.
	out.Tokens = down(min(p.tokens, float64(out.Burst)-x.held.burst))
	p.tokens -= float64(out.Tokens)
	if out.Burst >= 1 && x.granted.burst < 1 {
		x.since = now
	}
	x.granted = part{float64(out.Rate), float64(out.Burst)}
	x.end = now + l.terms.outstanding()
	p.settle(now)
	return out
}

// share divides the owner's part among the holders by max-min fairness.
func (l *lender) share(now time.Duration, p *pool, x *loan) part {
	l.wants = l.wants[:0]
	for _, o := range p.loans {
		if o != x {
			l.wants = append(l.wants, o.want)
		}
	}
	t := part{
		rate:  fair(p.own.rate, x.want.rate, l.wants, func(w part) float64 { return w.rate }),
		burst: fair(p.own.burst, x.want.burst, l.wants, func(w part) float64 { return w.burst }),
	}
	// Fractions from several owners add up to a unit, unless there are more
	// holders than units. Then a fraction grants no call, so each holder gets a
	// whole unit for a term and leaves it to the others after that.
	if t.burst < 1 && x.want.burst >= 1 && p.own.burst >= 1 && float64(len(p.loans)) > p.units {
		t.burst = 1
		if x.granted.burst >= 1 && now-x.since >= l.terms.LeaseTerm {
			t.burst = 0
		}
	}
	return t
}

// fair returns the max-min fair share of own among others. It reorders others.
func fair(capacity, own float64, others []part, of func(part) float64) float64 {
	sum := own
	for _, w := range others {
		sum += of(w)
	}
	if sum <= capacity {
		return own
	}
	slices.SortFunc(others, func(a, b part) int {
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
	return min(own, max(0, capacity/n))
}

// sweep drops idle pools. A pool without loans that is full starts full again.
// One that is not full after poolIdle is dropped too, and then every absent pool
// counts as empty from now on, which is safe and rare.
func (l *lender) sweep(now instant, v *prim.View) {
	if now.mono-l.swept < sweepEvery {
		return
	}
	l.swept = now.mono
	l.refresh(now, v)
	for c, p := range l.pools {
		if now.mono-p.used < l.terms.outstanding() {
			continue
		}
		l.touch(now, v, c)
		if p.tokens >= p.own.burst {
			delete(l.pools, c)
		} else if now.mono-p.used >= poolIdle {
			delete(l.pools, c)
			l.since = now.mono
		}
	}
}

const (
	// sweepEvery spreads the cost of visiting every pool and entry.
	sweepEvery = 10 * time.Second
	// poolIdle is how long a pool that cannot fill is kept. It only has to be
	// rare compared with leases.
	poolIdle = 10 * time.Minute
)

// materialize creates the absent pools of customers whose burst is raised from
// one view to the next. An absent pool stands for a full one, and a pool that
// existed would have to fill up to the new burst at its rate. Without this,
// lowering and raising a plan repeatedly would hand out the difference each time.
func (l *lender) materialize(now instant, from, to *prim.View) {
	if listsEqual(from, to) {
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
		if l.touch(now, from, c) == nil {
			l.pools[c] = &pool{
				generation: l.generation, view: from, at: now.mono, used: now.mono,
				loans: make(map[holder]*loan),
			}
		}
	}
}

// listsEqual reports whether two views have the same operators' lists.
func listsEqual(a, b *prim.View) bool {
	same := func(name string) bool {
		x, y := a.Digests[name], b.Digests[name]
		return x.Version == y.Version && x.Hash == y.Hash
	}
	return same(prim.NamePlans) && same(prim.NameAllowances)
}

// leaving reports whether this node's own host list shows it as leaving.
func (l *lender) leaving(v *prim.View) bool {
	if !l.bound {
		return false
	}
	for _, h := range v.ServiceHosts(l.service) {
		if slotOf(h) == l.own {
			return h.State == prim.HostLeaving
		}
	}
	return false
}

// accept answers a handOver. Slots are taken over only by the instance that was
// asked before: a second machine under the same name could otherwise accept a
// repeated message and use the slots a second time.
func (l *lender) accept(now instant, v *prim.View, h *handOver) accepted {
	l.refresh(now, v)
	e, ok := v.Host(l.self)
	if !l.bound || h.Service != l.service || !ok || slotOf(e) != l.own || e.State != prim.HostLive {
		return accepted{Instance: l.instance}
	}
	if h.Instance == 0 {
		return accepted{Accepted: true, Instance: l.instance}
	}
	if h.Instance != l.instance {
		return accepted{Instance: l.instance}
	}
	for _, id := range h.Slots {
		_, known := l.held[id]
		_, listed := slices.BinarySearchFunc(l.window.slots, id, compareSlots)
		if !known && listed {
			// Leases of the giver may be outstanding for one term.
			l.held[id] = now.mono + l.terms.outstanding()
			l.recalc = 0
		}
	}
	return accepted{Accepted: true, Instance: l.instance}
}

// surrender gives up all slots and returns them. They never come back: this
// instance binds once, and it accepts nothing any more since it is leaving.
func (l *lender) surrender() []slot {
	ids := slices.SortedFunc(maps.Keys(l.held), compareSlots)
	clear(l.held)
	l.recalc = 0
	return ids
}

// successors returns the hosts that may take over the slots, the own data
// centre first. Hosts that are active by now are preferred since ingress nodes
// already ask them.
func (l *lender) successors(v *prim.View, d prim.DataCentre) []prim.HostName {
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
		if h.State == prim.HostLive && h.Name != l.self && l.window.sure[i] {
			cs = append(cs, candidate{h, mix(own ^ l.window.hashes[i])})
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
