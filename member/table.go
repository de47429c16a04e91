package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// table is the state machine: it decides whom to probe and what to believe.
// It has no clock, no lock and no network.
type table struct {
	c           Config
	incarnation uint32 // this node's own
	peers       []prim.HostName
	order       []prim.HostName // peers that are still to be probed in this round
	hosts       map[prim.HostName]*entry
	news        []*news // claims to pass on, the least passed on first
}

// entry is what is known of one host. Hosts that were never in doubt have none.
type entry struct {
	instance    prim.Instance
	incarnation uint32
	state       State
	since       time.Time // of the state
	failures    int       // failed probes in a row
	avoid       time.Duration
	avoidUntil  time.Time
}

// news is a claim with the number of messages that have carried it.
type news struct {
	update
	sent int
}

func newTable(c Config) *table {
	return &table{c: c, hosts: make(map[prim.HostName]*entry)}
}

func (t *table) entry(h prim.HostName) *entry {
	e := t.hosts[h]
	if e == nil {
		e = &entry{}
		t.hosts[h] = e
	}
	return e
}

// setHosts takes a new host list. The peers are the hosts with the highest hash
// together with this one, so the peer sets of the fleet are spread evenly and
// change little when the list does.
func (t *table) setHosts(list []prim.Host) {
	type scored struct {
		h     prim.HostName
		score uint64
	}
	var local, distant []scored
	listed := make(map[prim.HostName]bool, len(list))
	for _, h := range list {
		if h.State == prim.HostLost || h.Name == t.c.Host || listed[h.Name] {
			continue
		}
		listed[h.Name] = true
		// The smaller name goes first, so that the relation is symmetric:
		// a host's peers also have it as theirs.
		a, b := min(h.Name, t.c.Host), max(h.Name, t.c.Host)
		s := scored{h.Name, xxh3.HashString(string(a) + "\x00" + string(b))}
		if h.DataCentre == t.c.DataCentre {
			local = append(local, s)
		} else {
			distant = append(distant, s)
		}
	}
	t.peers = t.peers[:0]
	for _, g := range []struct {
		s []scored
		n int
	}{{local, t.c.Local}, {distant, t.c.Distant}} {
		slices.SortFunc(g.s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		for _, s := range g.s[:min(g.n, len(g.s))] {
			t.peers = append(t.peers, s.h)
		}
	}
	t.order = nil
	for h := range t.hosts {
		if !listed[h] {
			delete(t.hosts, h)
		}
	}
}

// next returns the host to probe: a suspect among the peers first, else the
// next peer of the round. It returns false when there is no peer.
func (t *table) next() (prim.HostName, bool) {
	for _, h := range t.peers {
		if e := t.hosts[h]; e != nil && e.state == Suspect {
			return h, true
		}
	}
	if len(t.order) == 0 {
		t.order = slices.Clone(t.peers)
		rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	if len(t.order) == 0 {
		return "", false
	}
	h := t.order[0]
	t.order = t.order[1:]
	return h, true
}

// helpers returns random live peers for an indirect probe.
func (t *table) helpers(target prim.HostName) []prim.HostName {
	var hs []prim.HostName
	for _, i := range rand.Perm(len(t.peers)) {
		h := t.peers[i]
		if e := t.hosts[h]; h != target && (e == nil || e.state == Alive) {
			hs = append(hs, h)
		}
		if len(hs) == t.c.Helpers {
			break
		}
	}
	return hs
}

// reachable reports whether requests should be sent to the host.
func (t *table) reachable(h prim.HostName, now time.Time) bool {
	e := t.hosts[h]
	if e == nil {
		return true
	}
	dead := e.state == Dead && now.Sub(e.since) < t.c.DeadFor
	return !dead && !now.Before(e.avoidUntil)
}

// failed notes an attempt that did not reach the host.
func (t *table) failed(h prim.HostName, now time.Time) {
	e := t.entry(h)
	if now.Before(e.avoidUntil) {
		return // a burst of failures counts once
	}
	e.avoid = min(max(2*e.avoid, t.c.AvoidMin), t.c.AvoidMax)
	e.avoidUntil = now.Add(e.avoid)
	if e.state == Alive {
		e.state, e.since = Suspect, now
	}
}

// seen notes an answer of the host itself.
func (t *table) seen(h prim.HostName, i prim.Instance, now time.Time) {
	e := t.hosts[h]
	if e == nil {
		if i != 0 {
			t.hosts[h] = &entry{instance: i, since: now}
		}
		return
	}
	if i != 0 && e.instance != i {
		*e = entry{instance: i, since: now}
		return
	}
	if e.state != Alive {
		e.since = now
		t.news = slices.DeleteFunc(t.news, func(n *news) bool { return n.Host == h && n.State != Alive })
	}
	e.state, e.failures, e.avoid, e.avoidUntil = Alive, 0, 0, time.Time{}
}

// unanswered notes a probe that failed directly and through helpers.
func (t *table) unanswered(h prim.HostName, now time.Time) {
	e := t.entry(h)
	e.failures++
	state := Suspect
	if e.failures >= t.c.Failures {
		state = Dead
	}
	if state == Dead || e.state == Alive {
		e.state, e.since = state, now
		t.tell(update{Host: h, Instance: e.instance, Incarnation: e.incarnation, State: state})
	}
}

// learn takes claims from another node.
func (t *table) learn(us []update, now time.Time) {
	for _, u := range us {
		if u.Host == t.c.Host {
			t.refute(u)
			continue
		}
		e := t.hosts[u.Host]
		if e == nil {
			// Only claims about hosts that this node has met count; for
			// others there is nothing to stop choosing.
			continue
		}
		if e.instance != u.Instance || u.Incarnation < e.incarnation {
			continue
		}
		if u.Incarnation == e.incarnation && u.State <= e.state {
			continue
		}
		e.incarnation = u.Incarnation
		if e.state != u.State {
			e.state, e.since = u.State, now
			e.failures = 0
		}
		t.tell(u)
	}
}

// refute answers a claim that this node is not alive. It also answers a claim
// that it has refuted before: that refutation may have been lost in a split,
// and without another one the claim would go round for ever.
func (t *table) refute(u update) {
	if u.Instance != t.c.Instance || u.State == Alive {
		return
	}
	t.incarnation = max(t.incarnation, u.Incarnation+1)
	t.tell(update{Host: t.c.Host, Instance: t.c.Instance, Incarnation: t.incarnation})
}

// tell queues a claim for other nodes in place of an older one about the host.
func (t *table) tell(u update) {
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return n.Host == u.Host })
	t.news = slices.Insert(t.news, 0, &news{update: u})
	t.news = t.news[:min(len(t.news), maxNews)]
}

const (
	// maxNews bounds the claims that wait to be passed on. A rack that fails
	// brings a few dozen.
	maxNews = 64
	// spread is how often a claim is passed on, in multiples of the logarithm
	// of the number of peers.
	spread = 3
)

// updates returns the claims for a message to a host. The claim about that host
// itself comes first, so that it can refute it.
func (t *table) updates(to prim.HostName) []update {
	var us []update
	if e := t.hosts[to]; e != nil && e.state != Alive {
		us = append(us, update{to, e.instance, e.incarnation, e.state})
	}
	limit := spread * (bits(len(t.peers)) + 1)
	for _, n := range t.news {
		if len(us) == maxUpdates {
			break
		}
		if n.Host != to {
			us = append(us, n.update)
			n.sent++
		}
	}
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return n.sent >= limit })
	slices.SortStableFunc(t.news, func(a, b *news) int { return a.sent - b.sent })
	return us
}

// bits returns the number of bits of n.
func bits(n int) int {
	b := 0
	for ; n > 0; n >>= 1 {
		b++
	}
	return b
}
