package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// This file enforces customers' quotas on a platform that publishes server entries but no host
// list with times in the future (see slots.go for that). It addresses dozens of customers with
// a few to some hundred requests a second each, which arrive unevenly at about a hundred nodes.
//
// A few hosts own equal shares of a customer's quota: the first ones in rendezvous order of the
// customer over all hosts with an entry. An owner keeps a token bucket for its share. An ingress
// node asks an owner for one token per request; requests that wait for the same owner share a
// message. Nothing is lent, so nothing has to be returned: a node that dies takes along at most
// the tokens of its own bucket.
//
// The shares add up to more than the quota, by a part of the overage that the bound allows, so
// that the quota is usable while one owner is away. That the bound holds depends on who is an
// owner at the same time. docs/decisions/quotas.md has the argument for the rules:
//
//  1. The owners are the first maxOwners hosts in rendezvous order.
//  2. An owner grants only while the age of its state is at most MaxAge.
//  3. A host that becomes an owner waits for MaxAge + changeMargin before it grants. A node that
//     starts waits for MaxAge from its first current state, and then grants until the end of
//     that longer wait only from a state that is at most MaxAge - changeMargin old.
//  4. If the deployment itself has just started, that is if no listed server is older than
//     foundingAge, rule 3 needs only foundingWait.
//  5. A node whose state was older than MaxAge for a while may have missed changes. It waits
//     again: for changeMargin if the hosts are the same as before and there are at least
//     maxOwners, else as in rule 3.
//  6. A bucket starts with at most one token. A share grows only after the wait of rule 3: with
//     fewer hosts than maxOwners it depends on their number.
//  7. A token is taken when the request is complete.

const (
	// maxOwners is the number of owners of a customer. With eight owners of 0.144 of the quota
	// each, seven own all of it.
	maxOwners = 8
	// ownersOverage and ownersSlack are the parts of Bound.Overage and Bound.Slack that the
	// owners use. The rest is for repeated attempts, each of which arrives at a server, and for
	// requests that were granted before a window and arrive in it.
	ownersOverage = 0.6
	ownersSlack   = 0.8
	// changeMargin covers the time until all nodes that the registry reaches, directly or
	// through others, use a new list of servers.
	changeMargin = 3 * time.Second
	// foundingAge is the age of the oldest server up to which the deployment has just started,
	// and foundingWait the time from a host's first entry to its first grant then.
	foundingAge  = 10 * time.Second
	foundingWait = changeMargin
)

// Bound is the bound on the requests of a customer that arrive at servers: in any window of
// length Window, (rate x Window + burst) x (1 + Overage) + Slack.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// share returns the rate and the size of the bucket of one of n owners.
func (b Bound) share(c *prim.CustomerRule, n int) quota {
	factor := (1 + ownersOverage*b.Overage) / float64(n)
	return quota{rate: factor * c.Rate, burst: max(1, factor*c.Burst+ownersSlack*b.Slack/maxOwners)}
}

// owners returns the owners of a customer among hosts, in rendezvous order.
func owners(c prim.Customer, hosts []prim.HostName, hashes []uint64) []prim.HostName {
	key := keyHash(c, "")
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(splitMix64(key^hashes[i]), splitMix64(key^hashes[j])), cmp.Compare(hosts[i], hosts[j]))
	})
	first := make([]prim.HostName, min(maxOwners, len(order)))
	for i := range first {
		first[i] = hosts[order[i]]
	}
	return first
}

// SharesConfig configures Shares.
type SharesConfig struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
	Placements prim.Placements
	Transport  prim.Transport
	Recorder   prim.Recorder
	// Bound returns the current bound.
	Bound func() Bound
	// Age returns the time since the registry is known to have had nothing newer than the
	// current placement, and whether that was ever known. It must not be too small; it is read
	// before the placement.
	Age func(now time.Time) (time.Duration, bool)
	// MaxAge returns the age up to which this node grants. All nodes must use the same value.
	MaxAge func() time.Duration
}

// Shares keeps this node's shares and asks other owners for tokens.
type Shares struct {
	config SharesConfig

	mu        sync.Mutex
	placement *prim.Placement
	// currentAt is the time at which the state was last known to be current.
	currentAt time.Time
	// verifiedAt is when the state was first known to be current since the start of the node.
	verifiedAt time.Time
	hosts      []prim.HostName // sorted
	customers  map[prim.Customer]*allowance
	// divisor is the number of owners that shares are divided by, and fewerSince the time of the
	// last change since which there are fewer; zero if there are not.
	divisor    int
	fewerSince time.Time
	remotes    map[prim.HostName]*remote
	senders    sync.WaitGroup
}

// allowance is what this node knows of one customer's quota.
type allowance struct {
	rule   prim.CustomerRule
	owners []shareOwner
	// grantsFrom is the time from which this host grants; zero if it is no owner.
	grantsFrom time.Time
	// sinceStart is set if this host has been an owner in all lists since Shares.verifiedAt, and
	// its state was never too old.
	sinceStart bool
	bucket     tokenBucket
}

// shareOwner is what an ingress node knows of an owner of a customer.
type shareOwner struct {
	host prim.HostName
	near bool      // in the same data centre
	next time.Time // the owner is not asked before
	// able is set if the owner answered that it has no token, and not if it did not answer or
	// may not grant.
	able bool
}

// tokenBucket is the bucket of one share.
type tokenBucket struct {
	tokens float64
	at     time.Time // of tokens; zero before the first request
	// refused is the number of recent refusals, which decays with a time constant of
	// refusalMemory.
	refused float64
}

const (
	refusalMemory = time.Second
	// maxBackOffFactor and maxBackOff bound by how much longer than until the next token
	// ingress nodes have to wait if many of them ask for it.
	maxBackOffFactor = 16
	maxBackOff       = time.Second
	// minAfter is the shortest time that an owner without tokens names.
	minAfter = 5 * time.Millisecond
	// notGranting is what an owner that may not grant names instead.
	notGranting = 500 * time.Millisecond
)

// NewShares returns Shares that own nothing yet.
func NewShares(c SharesConfig) *Shares {
	return &Shares{config: c, customers: make(map[prim.Customer]*allowance), remotes: make(map[prim.HostName]*remote)}
}

// follow applies the current placement, which has to be read after the age of the state. It
// returns that age and reports whether it allows grants. The caller holds s.mu.
func (s *Shares) follow(now time.Time) (age time.Duration, current bool) {
	age, known := s.config.Age(now)
	p := s.config.Placements.Placement()
	gap := false
	if known {
		at := now.Add(-age)
		gap = !s.currentAt.IsZero() && at.Sub(s.currentAt) > s.config.MaxAge()
		s.currentAt = at
	}
	same := true
	if p != s.placement {
		same = s.apply(now, p)
	}
	if gap {
		s.waitAfterGap(now, same)
	}
	if known && s.verifiedAt.IsZero() {
		s.verifiedAt = now
		for _, a := range s.customers {
			a.sinceStart = !a.grantsFrom.IsZero()
		}
	}
	return age, known && age <= s.config.MaxAge()
}

// apply applies a placement. It reports whether the hosts are the same as before.
func (s *Shares) apply(now time.Time, p *prim.Placement) (same bool) {
	routesChanged := s.placement == nil || s.placement.Routing.Version != p.Routing.Version
	s.placement = p
	hosts, oldest := listedHosts(p)
	same = slices.Equal(hosts, s.hosts)
	if same && !routesChanged {
		return same
	}
	s.hosts = hosts
	s.setDivisor(now, min(maxOwners, len(hosts)))
	wait := s.wait()
	if !oldest.IsZero() && now.Round(0).Sub(oldest) < foundingAge {
		wait = min(wait, foundingWait)
	}
	hashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		hashes[i] = xxh3.HashString(string(h))
	}
	before := s.customers
	s.customers = make(map[prim.Customer]*allowance, len(p.Routing.Customers))
	for _, c := range p.Routing.Customers {
		if c.Rate <= 0 {
			continue
		}
		a := before[c.Name]
		if a == nil {
			a = &allowance{}
		}
		a.rule = c
		s.setOwners(a, owners(c.Name, hosts, hashes), now.Add(wait))
		s.customers[c.Name] = a
	}
	for h := range s.remotes {
		if _, listed := slices.BinarySearch(hosts, h); !listed {
			delete(s.remotes, h)
		}
	}
	return same
}

// waitAfterGap applies rule 5. With as many hosts, what may have been missed costs at most the
// share of an owner that stood in for this one, for MaxAge less changeMargin.
func (s *Shares) waitAfterGap(now time.Time, same bool) {
	wait := s.wait()
	if same && len(s.hosts) >= maxOwners {
		wait = changeMargin
	}
	for _, a := range s.customers {
		if !a.grantsFrom.IsZero() {
			a.grantsFrom, a.sinceStart, a.bucket = later(a.grantsFrom, now.Add(wait)), false, tokenBucket{}
		}
	}
	if !s.fewerSince.IsZero() {
		s.fewerSince = now
	}
}

// listedHosts returns the hosts with an entry, sorted, and the start of the oldest server; zero
// if it is not known of all.
func listedHosts(p *prim.Placement) (hosts []prim.HostName, oldest time.Time) {
	known := true
	for i := range p.Servers {
		e := &p.Servers[i]
		if p.Host(e.Host) != e {
			continue
		}
		hosts = append(hosts, e.Host)
		known = known && !e.Born.IsZero()
		if oldest.IsZero() || e.Born.Before(oldest) {
			oldest = e.Born
		}
	}
	slices.Sort(hosts)
	if !known {
		oldest = time.Time{}
	}
	return hosts, oldest
}

// setOwners sets the owners of a customer. If this host becomes one, it grants from a time on.
func (s *Shares) setOwners(a *allowance, hosts []prim.HostName, grantsFrom time.Time) {
	previous := a.owners
	a.owners = make([]shareOwner, len(hosts))
	owns := false
	for i, h := range hosts {
		a.owners[i] = shareOwner{host: h}
		if j := slices.IndexFunc(previous, func(o shareOwner) bool { return o.host == h }); j >= 0 {
			a.owners[i].next, a.owners[i].able = previous[j].next, previous[j].able
		}
		if e := s.placement.Host(h); e != nil {
			a.owners[i].near = e.DataCentre == s.config.DataCentre
		}
		owns = owns || h == s.config.Host
	}
	switch {
	case !owns:
		a.grantsFrom, a.sinceStart, a.bucket = time.Time{}, false, tokenBucket{}
	case a.grantsFrom.IsZero():
		a.grantsFrom = grantsFrom
	}
}

// setDivisor follows a number of owners: at once if it rises, and after the wait of a new owner
// if it falls.
func (s *Shares) setDivisor(now time.Time, n int) {
	if n >= s.divisor {
		s.divisor, s.fewerSince = n, time.Time{}
		return
	}
	s.fewerSince = now
}

// wait returns the time from becoming an owner to the first grant.
func (s *Shares) wait() time.Duration { return s.config.MaxAge() + changeMargin }

// grant takes up to n tokens from this host's share of a customer's quota. If there are fewer,
// after is the time after which an ingress node may ask again. Able is false if this host may
// not grant, so that the customer may be within its quota.
func (s *Shares) grant(now time.Time, c prim.Customer, n int) (granted int, after time.Duration, able bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, current := s.follow(now)
	a := s.customers[c]
	if a == nil || a.grantsFrom.IsZero() || !current || n <= 0 {
		return 0, notGranting, false
	}
	from := a.grantsFrom
	if a.sinceStart {
		from = earlier(from, s.verifiedAt.Add(s.config.MaxAge()))
	}
	if left := from.Sub(now); left > 0 {
		return 0, min(left, maxBackOff), false
	}
	if now.Before(a.grantsFrom) && age > s.config.MaxAge()-changeMargin {
		return 0, min(a.grantsFrom.Sub(now), notGranting), false
	}
	if count := min(maxOwners, len(s.hosts)); !s.fewerSince.IsZero() && now.Sub(s.fewerSince) > s.wait() {
		s.divisor, s.fewerSince = count, time.Time{}
	}
	share := s.config.Bound().share(&a.rule, max(1, s.divisor))
	initial := 1.0
	if from.Before(a.grantsFrom) {
		// The node before the restart may have emptied its bucket within the same window.
		initial = min(initial, share.rate*s.config.MaxAge().Seconds())
	}
	granted, after = a.bucket.take(now, from, initial, n, share)
	return granted, after, true
}

// take takes up to n tokens from a bucket with the rate and the size of a share, which began at
// a time with an initial number of tokens.
func (b *tokenBucket) take(now, from time.Time, initial float64, n int, share quota) (granted int, after time.Duration) {
	if b.at.IsZero() {
		*b = tokenBucket{tokens: min(initial, share.burst), at: from}
	}
	// The monotonic clock stands still while the machine is suspended, which loses tokens.
	elapsed := max(0, now.Sub(b.at))
	b.at = now
	b.tokens = min(share.burst, b.tokens+share.rate*elapsed.Seconds())
	b.refused *= math.Exp(-elapsed.Seconds() / refusalMemory.Seconds())
	granted = min(n, int(b.tokens))
	b.tokens -= float64(granted)
	if granted == n {
		return granted, 0
	}
	b.refused += float64(n - granted)
	next := seconds((1 - b.tokens) / share.rate)
	factor := 1 + min(b.refused/max(share.rate, 1), maxBackOffFactor)
	return granted, max(minAfter, next, min(maxBackOff, seconds(factor*next.Seconds())))
}

// seconds returns a duration of v seconds, an hour at most.
func seconds(v float64) time.Duration {
	return time.Duration(min(v, 3600) * float64(time.Second))
}

// candidates returns the owners of a customer that may have a token, nearest first and
// otherwise in random order, the time until the first of the others may, and whether any of
// these others has said that it has none. It reports false for a customer without a quota.
func (s *Shares) candidates(now time.Time, c prim.Customer) (hosts []prim.HostName, after time.Duration, refused, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(now)
	a := s.customers[c]
	if a == nil {
		return nil, 0, false, false
	}
	after = maxBackOff
	var far []prim.HostName
	for _, o := range a.owners {
		switch r := s.remotes[o.host]; {
		case o.next.After(now):
			after = min(after, o.next.Sub(now))
			refused = refused || o.able
		case r != nil && r.away && now.Before(r.awayUntil):
			after = min(after, r.awayUntil.Sub(now))
		case o.host == s.config.Host:
			hosts = slices.Insert(hosts, 0, o.host)
		case o.near:
			hosts = append(hosts, o.host)
		default:
			far = append(far, o.host)
		}
	}
	for _, h := range slices.Concat(hosts, far) {
		if r := s.remotes[h]; r != nil && r.away {
			r.awayUntil = now.Add(askTimeout) // only this request finds out whether the owner is back
		}
	}
	shuffle := func(l []prim.HostName) { rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] }) }
	shuffle(far)
	if len(hosts) > 0 && hosts[0] == s.config.Host {
		shuffle(hosts[1:])
	} else {
		shuffle(hosts)
	}
	return append(hosts, far...), after, refused, true
}

// setNext records that an owner is not to be asked for a customer before a time, and whether it
// is able to grant.
func (s *Shares) setNext(c prim.Customer, host prim.HostName, next time.Time, able bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.customers[c]; a != nil {
		if i := slices.IndexFunc(a.owners, func(o shareOwner) bool { return o.host == host }); i >= 0 {
			a.owners[i].next, a.owners[i].able = next, able
		}
	}
}
