package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file is the ingress node's side: it spends leases and plans which ones
// to ask for. It has no goroutines and no sockets.
//
// An entry holds the leases for one customer at one service in one token bucket:
// its rate and its size are the sums over the leases in force, so fractions from
// many owners add up to whole calls. The demand of the entry is estimated from
// all calls, refused ones included. At each tick the wanted part is spread over
// the owners, nearest first, and asks are due for those leases that are at half
// of their term or whose size is wrong. The asks for one owner form one batch.

// key names an entry.
type key struct {
	customer prim.Customer
	service  prim.Service
}

// borrowed is the lease from one owner.
type borrowed struct {
	instance prim.Instance // of the owner
	have     part
	end      time.Duration
	sequence uint64 // of the last ask; answers to earlier ones are ignored
	asked    time.Duration
	wanted   part
	// short is set when the owner gave less than was wanted.
	short bool
}

// entry is the state of one customer at one service.
type entry struct {
	key
	allowance prim.Allowance
	view      *prim.View
	// units are the burst units of the fleet's slots, for one version of the
	// fleet and one burst.
	units      []float64
	unitsFleet uint64
	unitsBurst float64

	tokens  float64
	sum     part          // of the leases in force
	at      time.Duration // when tokens and sum were calculated
	nextEnd time.Duration // earliest end of a lease in force
	leases  map[prim.HostName]*borrowed

	arrivals    int // since the last tick
	fast, slow  float64
	want        part
	starved     bool // a call was refused since the last tick
	boost       part // wanted until boosted
	boosted     time.Duration
	lastCall    time.Duration
	lastTick    time.Duration
	lastRefusal time.Duration

	// waiting counts the asks of the first round. answered is closed when they
	// brought a whole token or all ended.
	waiting  int
	answered chan struct{}
	isNew    bool

	used, refused uint64
}

// owner is what the ingress side knows about a slot owner.
type owner struct {
	busy  bool
	until time.Duration // not asked before this time, after a failure
	slots int           // from its last answer
}

// fleet is the order in which the owners of a service are asked.
type fleet struct {
	window  *window
	order   []int  // indices into window
	version uint64 // changes with the slots
}

// batch is one ask that is to be sent.
type batch struct {
	to   prim.HostName
	sent instant
	ask  leaseAsk
}

// borrower spends and plans leases.
type borrower struct {
	config   *Config
	terms    Terms
	entries  map[key]*entry
	owners   map[prim.HostName]*owner
	fleets   map[prim.Service]*fleet
	sequence uint64
	last     instant
	swept    time.Duration
	versions uint64
	// again is set when a new entry had to leave out an owner that is busy, so
	// that the next answer is followed by another plan.
	again bool
}

func newBorrower(c *Config) *borrower {
	return &borrower{
		config: c, terms: c.Terms,
		entries: make(map[key]*entry),
		owners:  make(map[prim.HostName]*owner),
		fleets:  make(map[prim.Service]*fleet),
	}
}

// suspendSlack is how far the wall clock may run ahead of the monotonic clock
// between two calls. More means that the host was suspended, during which the
// monotonic clock stands still, or that the wall clock was set.
const suspendSlack = 500 * time.Millisecond

// observe drops all leases after a suspension of the host, since their terms
// were not counted meanwhile.
func (b *borrower) observe(now instant) {
	ahead := now.wall.Sub(b.last.wall) - (now.mono - b.last.mono)
	if !b.last.wall.IsZero() && ahead > suspendSlack {
		for _, e := range b.entries {
			for _, l := range e.leases {
				l.end = 0
			}
			e.settle(now.mono, true)
		}
	}
	b.last = now
}

// settle brings the bucket up to date. Tokens are credited for each lease until
// its end, and then bounded by the leases still in force, so the tokens of an
// ended lease are dropped.
func (e *entry) settle(now time.Duration, changed bool) {
	if !changed && now < e.nextEnd {
		add := e.sum.rate * (now - e.at).Seconds()
		e.tokens = min(e.tokens+add, e.sum.burst)
		e.at = now
		return
	}
	e.sum, e.nextEnd = part{}, math.MaxInt64
	for _, l := range e.leases {
		if l.have == (part{}) {
			continue
		}
		e.tokens += l.have.rate * max(0, min(now, l.end)-e.at).Seconds()
		if now >= l.end {
			l.have = part{}
			continue
		}
		e.sum.rate += l.have.rate
		e.sum.burst += l.have.burst
		e.nextEnd = min(e.nextEnd, l.end)
	}
	e.tokens = min(e.tokens, e.sum.burst)
	e.at = now
}

// spend takes one token if there is one.
func (e *entry) spend(now time.Duration) bool {
	e.settle(now, false)
	e.lastCall = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	e.used++
	return true
}

// retryAfter estimates when the entry has a whole token.
func (e *entry) retryAfter(t Terms) time.Duration {
	if e.sum.rate <= 0 || e.sum.burst < 1 {
		return t.LeaseTerm
	}
	wait := min((1-e.tokens)/e.sum.rate, time.Minute.Seconds())
	return max(time.Millisecond, time.Duration(wait*float64(time.Second)))
}

// entry returns the entry of a customer, nil if its plan allows it nothing.
func (b *borrower) entry(now instant, v *prim.View, k key) *entry {
	e := b.entries[k]
	if e == nil {
		a := v.Allowance(k.customer, k.service)
		if a.Rate <= 0 || a.Burst < 1 {
			return nil
		}
		e = &entry{
			key: k, allowance: a, view: v, at: now.mono,
			leases: make(map[prim.HostName]*borrowed),
		}
		e.reset(now.mono)
		b.entries[k] = e
	}
	return e
}

// reset makes an entry new: its next call may wait for an answer. A new entry
// asks for an eighth of the allowance, which is enough for a small burst to pass
// and is returned within seconds if it is not used.
func (e *entry) reset(now time.Duration) {
	e.isNew, e.answered, e.waiting = true, make(chan struct{}), 0
	e.fast, e.slow, e.starved = e.allowance.Rate/8, e.allowance.Rate/8, false
	e.want, e.arrivals, e.lastTick, e.boosted = part{}, 0, now, 0
}

// settled ends the time in which calls of the entry wait.
func (e *entry) settled() {
	if e.isNew {
		e.isNew, e.waiting = false, 0
		close(e.answered)
	}
}

// verdict is the decision about one call.
type verdict struct {
	granted bool
	// answered is not nil if the call may wait on it and be tried again.
	answered <-chan struct{}
	retry    time.Duration
	kick     bool // a plan is wanted at once
}

// take decides about a call. A call that has waited is not counted again and
// does not wait again.
func (b *borrower) take(now instant, v *prim.View, k key, waited bool) verdict {
	b.observe(now)
	e := b.entry(now, v, k)
	if e == nil {
		return verdict{retry: time.Minute}
	}
	if !waited {
		e.arrivals++
	}
	if e.spend(now.mono) {
		return verdict{granted: true}
	}
	if e.isNew && !waited {
		return verdict{answered: e.answered, kick: true}
	}
	// A customer whose owners do not answer is not new for ever: otherwise each
	// of its calls would wait.
	e.settled()
	e.refused++
	e.lastRefusal = now.mono
	kick := !e.starved
	e.starved = true
	return verdict{retry: e.retryAfter(b.terms), kick: kick}
}

// tick updates the demand of an entry and what it wants.
func (e *entry) tick(now instant, v *prim.View) {
	if e.view != v {
		e.allowance, e.view = v.Allowance(e.customer, e.service), v
	}
	dt := (now.mono - e.lastTick).Seconds()
	if dt > 0 && !e.isNew {
		seen := float64(e.arrivals) / dt
		// Demand is believed fast when it rises and slowly when it falls, so
		// that a short silence does not give leases away.
		e.fast += (seen - e.fast) * (1 - math.Exp(-dt/0.3))
		e.slow += (seen - e.slow) * (1 - math.Exp(-dt/2))
		e.starved = e.lastRefusal > e.lastTick
		e.arrivals = 0
		e.lastTick = now.mono
	}
	a := e.allowance
	// Rate that is held and not used is lost to other nodes, and the tokens
	// absorb short peaks. Wanting a third more than the mean, or more whenever
	// tokens run low, cost a tenth of the allowance when one node gets most of
	// the calls and the others the rest.
	w := part{rate: 1.05*e.slow + a.Rate/1000}
	if e.starved {
		// Callers that heed Retry-After hide their demand; grow until the
		// refusals stop or the allowance is reached. The boost is kept for a
		// while: if the wants of a customer that is short at many nodes moved
		// all the time, its owners would shift leases around, and rate that is
		// being shifted is not used.
		e.boost = part{max(1.3*e.fast, 1.5*e.sum.rate), 2 * e.sum.burst}
		e.boosted = now.mono + boostFor
	}
	if now.mono < e.boosted {
		w.rate = max(w.rate, e.boost.rate)
	}
	w.rate = min(w.rate, a.Rate)
	if a.Rate > 0 {
		w.burst = a.Burst * w.rate / a.Rate
	}
	if now.mono < e.boosted {
		w.burst = max(w.burst, e.boost.burst)
	}
	w.burst = min(max(w.burst, 2), a.Burst)
	if !e.isNew && e.sum.burst < 1 {
		// Without a whole unit the rate is of no use here, but it is to others.
		w.rate = min(w.rate, a.Rate/20)
	}
	if !e.isNew && e.idle(now.mono) {
		w = part{}
	}
	e.want = w
}

// boostFor is how long an entry asks for more after a refusal.
const boostFor = 2 * time.Second

// idle reports whether the entry has had no call for a while. A slow customer
// keeps its lease for ten intervals of its rate, within reason.
func (e *entry) idle(now time.Duration) bool {
	keep := 2 * time.Second
	if r := e.allowance.Rate; r > 0 {
		keep = max(keep, time.Duration(min(10/r, 30)*float64(time.Second)))
	}
	return now-e.lastCall > keep
}

// fleet returns the owners of a service, nearest first. The order among equally
// near ones differs from node to node, which spreads the load of small leases.
func (b *borrower) fleet(now instant, v *prim.View, s prim.Service) *fleet {
	f := b.fleets[s]
	if f != nil && f.window.valid(v, now.wall) {
		return f
	}
	w := b.terms.windowAt(v, s, now.wall)
	if f != nil && slices.Equal(f.window.slots, w.slots) {
		f = &fleet{window: w, version: f.version}
	} else {
		b.versions++
		f = &fleet{window: w, version: b.versions}
	}
	b.fleets[s] = f
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
			f.order = append(f.order, i)
		}
	}
	slices.SortFunc(f.order, func(i, j int) int {
		return cmp.Or(cmp.Compare(distance(w.hosts[i]), distance(w.hosts[j])),
			cmp.Compare(mix(own^w.hashes[i]), mix(own^w.hashes[j])))
	})
	return f
}

// retry is how soon a lease that is too small is asked for again, as a part of
// the lease term.
const retry = 8

// firstOwners is how many owners a new entry asks at least, so that one that
// does not answer does not cost the customer its first call.
const firstOwners = 3

// plan returns the asks that are due. Entries that were idle are dropped.
func (b *borrower) plan(now instant, v *prim.View) []batch {
	b.observe(now)
	b.again = false
	due := make(map[prim.HostName]*batch)
	for k, e := range b.entries {
		e.tick(now, v)
		e.settle(now.mono, false)
		if e.sum == (part{}) && e.idle(now.mono) {
			if now.mono-e.lastCall > entryIdle {
				e.settled()
				delete(b.entries, k)
				continue
			}
			if !e.isNew {
				e.reset(now.mono)
			}
		}
		if !e.isNew || !e.idle(now.mono) {
			b.spread(now, v, e, due)
		}
	}
	b.sweep(now)
	out := make([]batch, 0, len(due))
	for _, d := range due {
		b.owners[d.to].busy = true
		out = append(out, *d)
	}
	slices.SortFunc(out, func(x, y batch) int { return cmp.Compare(x.to, y.to) })
	return out
}

// entryIdle is how long an entry without calls keeps its counters.
const entryIdle = time.Minute

// spread divides what an entry wants over the owners and adds the due asks.
func (b *borrower) spread(now instant, v *prim.View, e *entry, due map[prim.HostName]*batch) {
	f := b.fleet(now, v, e.service)
	w := f.window
	n := float64(len(w.slots))
	if e.unitsFleet != f.version || e.unitsBurst != e.allowance.Burst {
		e.unitsFleet, e.unitsBurst = f.version, e.allowance.Burst
		e.units = w.deal(e.customer, e.service, e.allowance.Burst)
	}
	left := e.want
	// A small rest is not worth a lease from one more owner, unless the customer
	// needs nearly all it has.
	var rest part
	if e.want.rate < 0.9*e.allowance.Rate {
		rest = part{e.want.rate / 10, e.want.burst / 10}
	}
	first := e.isNew
	asked := 0
	for _, i := range f.order {
		h := w.hosts[i]
		o := b.owners[h.Name]
		if o == nil {
			o = &owner{slots: 1}
			b.owners[h.Name] = o
		}
		l := e.leases[h.Name]
		var ask, counted part
		if left.rate > rest.rate || left.burst > rest.burst || first && asked < firstOwners && e.units[i] > 0 {
			scale := float64(o.slots)
			whole := part{e.allowance.Rate / n * scale, e.units[i] + (scale-1)*e.allowance.Burst/n}
			ask = part{min(whole.rate, max(left.rate, 0)), min(whole.burst, max(left.burst, 0))}
			if first {
				ask.burst = max(ask.burst, min(whole.burst, 1))
			}
			counted = ask
			switch {
			case o.until > now.mono && (l == nil || l.have == (part{})):
				counted = part{}
			case l != nil && l.short:
				counted = part{min(ask.rate, l.have.rate), min(ask.burst, l.have.burst)}
			}
			left.rate -= counted.rate
			left.burst -= counted.burst
		}
		if ask != (part{}) {
			asked++
		}
		if first && o.busy && ask != (part{}) && l == nil {
			b.again = true
		}
		if o.busy || o.until > now.mono || !b.due(now.mono, l, ask) {
			continue
		}
		if l == nil {
			l = &borrowed{}
			e.leases[h.Name] = l
		}
		b.add(now, e, l, h.Name, ask, due)
	}
}

// due reports whether a lease has to be asked for now.
func (b *borrower) due(now time.Duration, l *borrowed, ask part) bool {
	if l == nil {
		return ask != (part{})
	}
	since := now - l.asked
	switch {
	case since < b.terms.LeaseTerm/retry:
		return false
	case ask == (part{}):
		// What is not wanted any more is returned at once.
		return l.have != (part{})
	case l.end-now < b.terms.LeaseTerm/2:
		return !l.short || l.have != (part{}) || since >= b.terms.LeaseTerm/4
	case ask.rate > 1.25*l.wanted.rate || ask.burst > 1.25*l.wanted.burst:
		return true
	case ask.rate < 0.6*l.have.rate || ask.burst < 0.6*l.have.burst:
		return true
	}
	return l.short && since >= b.terms.LeaseTerm/4
}

// add puts an ask into the batch of its owner.
func (b *borrower) add(now instant, e *entry, l *borrowed, to prim.HostName, ask part, due map[prim.HostName]*batch) {
	d := due[to]
	if d == nil {
		b.sequence++
		d = &batch{to: to, sent: now, ask: leaseAsk{
			Instance: b.config.Instance, Sequence: b.sequence, Service: e.service,
		}}
		due[to] = d
	}
	if d.ask.Service != e.service || len(d.ask.Items) >= maxItems {
		return // asked at the next tick
	}
	l.sequence, l.asked, l.wanted = d.ask.Sequence, now.mono, ask
	d.ask.Items = append(d.ask.Items, askItem{
		Customer: e.customer,
		WantRate: float32(ask.rate), WantBurst: float32(ask.burst),
		// Held amounts were 32-bit floats when they arrived.
		HeldRate: float32(l.have.rate), HeldBurst: float32(l.have.burst),
	})
	if e.isNew {
		e.waiting++
	}
}

// absorb takes the answer to a batch, or its failure.
func (b *borrower) absorb(now instant, d *batch, answer *lease, failed bool) {
	b.observe(now)
	if o := b.owners[d.to]; o != nil {
		o.busy = false
		if failed {
			o.until = now.mono + b.terms.LeaseTerm/4
		} else {
			o.slots = min(max(1, answer.Slots), math.MaxInt16)
		}
	}
	for i := range d.ask.Items {
		e := b.entries[key{d.ask.Items[i].Customer, d.ask.Service}]
		if e == nil {
			continue
		}
		if !failed && i < len(answer.Items) {
			b.apply(now, d, e, answer.Instance, &answer.Items[i])
		}
		if e.isNew && e.waiting > 0 {
			e.waiting--
			if e.waiting == 0 || e.tokens >= 1 {
				e.settled()
			}
		}
	}
}

// apply replaces the lease from one owner by the one in its answer.
func (b *borrower) apply(now instant, d *batch, e *entry, from prim.Instance, x *leaseItem) {
	l := e.leases[d.to]
	if l == nil || l.sequence != d.ask.Sequence || !sane(x.Rate) || !sane(x.Burst) || !sane(x.Tokens) {
		return
	}
	e.settle(now.mono, true)
	l.instance = from
	l.have = part{float64(x.Rate), float64(x.Burst)}
	// The term counts from before the ask was sent, so it ends here before the
	// owner's reservation does.
	l.end = d.sent.mono + b.terms.usable()
	l.short = l.have.rate < 0.95*l.wanted.rate || l.have.burst < 0.95*l.wanted.burst
	e.tokens += float64(x.Tokens)
	e.settle(now.mono, true)
}

// sweep drops what belongs to hosts and services that are no longer in use.
func (b *borrower) sweep(now instant) {
	if now.mono-b.swept < sweepEvery {
		return
	}
	b.swept = now.mono
	services := make(map[prim.Service]bool)
	for k := range b.entries {
		services[k.service] = true
	}
	listed := make(map[prim.HostName]bool)
	for s, f := range b.fleets {
		if !services[s] {
			delete(b.fleets, s)
			continue
		}
		for _, i := range f.order {
			listed[f.window.hosts[i].Name] = true
		}
	}
	for h, o := range b.owners {
		if !listed[h] && !o.busy {
			delete(b.owners, h)
		}
	}
	for _, e := range b.entries {
		for h, l := range e.leases {
			if l.have == (part{}) && now.mono-l.asked > sweepEvery {
				delete(e.leases, h)
			}
		}
	}
}
