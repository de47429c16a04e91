package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// table is the state machine of failure detection: it selects the hosts to probe
// and tracks their states. It uses no clock, no lock and no network.
type table struct {
	config      Config
	incarnation uint32          // this node's own
	peers       []prim.HostName // hosts that this node probes
	unprobed    []prim.HostName // peers not yet probed in this round
	hosts       map[prim.HostName]*entry
	updateQueue []*queuedUpdate // updates to send to peers, least transmitted first
}

// entry is the state of one host. A host from which this node has had neither an
// answer nor a failure has no entry.
type entry struct {
	instance      prim.Instance
	incarnation   uint32
	state         State
	stateSince    time.Time
	failedProbes  int // consecutive
	avoidDuration time.Duration
	avoidUntil    time.Time
}

// queuedUpdate is an update with the number of messages that have carried it.
type queuedUpdate struct {
	update
	transmissions int
}

func newTable(c Config) *table {
	return &table{config: c, hosts: make(map[prim.HostName]*entry)}
}

func (t *table) entry(h prim.HostName) *entry {
	e := t.hosts[h]
	if e == nil {
		e = &entry{}
		t.hosts[h] = e
	}
	return e
}

// setHosts applies a new host list. The peers are selected by rendezvous hashing:
// they are the hosts whose names have the highest hash together with this one's.
// This spreads the peer sets evenly over the fleet and changes them little when
// the list changes.
func (t *table) setHosts(list []prim.Host) {
	type candidate struct {
		h     prim.HostName
		score uint64
	}
	var local, distant []candidate
	listed := make(map[prim.HostName]bool, len(list))
	for _, h := range list {
		if h.State == prim.HostLost || h.Name == t.config.Host || listed[h.Name] {
			continue
		}
		listed[h.Name] = true
		// Hashing the smaller name first makes the score symmetric, so that
		// two hosts tend to select each other.
		a, b := min(h.Name, t.config.Host), max(h.Name, t.config.Host)
		s := candidate{h.Name, xxh3.HashString(string(a) + "\x00" + string(b))}
		if h.DataCentre == t.config.DataCentre {
			local = append(local, s)
		} else {
			distant = append(distant, s)
		}
	}
	t.peers = t.peers[:0]
	for _, g := range []struct {
		s []candidate
		n int
	}{{local, t.config.LocalPeers}, {distant, t.config.DistantPeers}} {
		slices.SortFunc(g.s, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		for _, s := range g.s[:min(g.n, len(g.s))] {
			t.peers = append(t.peers, s.h)
		}
	}
	t.unprobed = nil
	for h := range t.hosts {
		if !listed[h] {
			delete(t.hosts, h)
		}
	}
}

// nextTarget returns the host to probe: a suspect peer if there is one, otherwise
// the next peer of the round. It returns false if there are no peers.
func (t *table) nextTarget() (prim.HostName, bool) {
	for _, h := range t.peers {
		if e := t.hosts[h]; e != nil && e.state == Suspect {
			return h, true
		}
	}
	if len(t.unprobed) == 0 {
		t.unprobed = slices.Clone(t.peers)
		rand.Shuffle(len(t.unprobed), func(i, j int) { t.unprobed[i], t.unprobed[j] = t.unprobed[j], t.unprobed[i] })
	}
	if len(t.unprobed) == 0 {
		return "", false
	}
	h := t.unprobed[0]
	t.unprobed = t.unprobed[1:]
	return h, true
}

// selectHelpers returns random live peers for an indirect probe of the target.
func (t *table) selectHelpers(target prim.HostName) []prim.HostName {
	var hs []prim.HostName
	for _, i := range rand.Perm(len(t.peers)) {
		h := t.peers[i]
		if e := t.hosts[h]; h != target && (e == nil || e.state == Alive) {
			hs = append(hs, h)
		}
		if len(hs) == t.config.IndirectHelpers {
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
	dead := e.state == Dead && now.Sub(e.stateSince) < t.config.DeadFor
	return !dead && !now.Before(e.avoidUntil)
}

// attemptFailed records a request attempt that did not reach the host.
func (t *table) attemptFailed(h prim.HostName, now time.Time) {
	e := t.entry(h)
	if now.Before(e.avoidUntil) {
		return // a burst of failures counts once
	}
	e.avoidDuration = min(max(2*e.avoidDuration, t.config.AvoidMin), t.config.AvoidMax)
	e.avoidUntil = now.Add(e.avoidDuration)
	if e.state == Alive {
		e.state, e.stateSince = Suspect, now
	}
}

// responded records an answer of the host itself.
func (t *table) responded(h prim.HostName, i prim.Instance, now time.Time) {
	e := t.hosts[h]
	if e == nil {
		if i != 0 {
			t.hosts[h] = &entry{instance: i, stateSince: now}
		}
		return
	}
	if i != 0 && e.instance != i {
		*e = entry{instance: i, stateSince: now}
		return
	}
	if e.state != Alive {
		e.stateSince = now
		t.updateQueue = slices.DeleteFunc(t.updateQueue, func(q *queuedUpdate) bool { return q.Host == h && q.State != Alive })
	}
	e.state, e.failedProbes, e.avoidDuration, e.avoidUntil = Alive, 0, 0, time.Time{}
}

// probeFailed records a probe that failed directly and indirectly.
func (t *table) probeFailed(h prim.HostName, now time.Time) {
	e := t.entry(h)
	e.failedProbes++
	state := Suspect
	if e.failedProbes >= t.config.FailuresUntilDead {
		state = Dead
	}
	if state == Dead || e.state == Alive {
		e.state, e.stateSince = state, now
		t.enqueue(update{Host: h, Instance: e.instance, Incarnation: e.incarnation, State: state})
	}
}

// applyUpdates applies the updates from another node.
func (t *table) applyUpdates(us []update, now time.Time) {
	for _, u := range us {
		if u.Host == t.config.Host {
			t.refute(u)
			continue
		}
		e := t.hosts[u.Host]
		if e == nil {
			// Updates matter only for hosts that this node has a record of: it
			// does not use the others, so there is nothing to exclude.
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
			e.state, e.stateSince = u.State, now
			e.failedProbes = 0
		}
		t.enqueue(u)
	}
}

// refute refutes an update that reports this node as not alive. It does so even if
// it has refuted that incarnation before: the earlier refutation may have been lost
// in a network partition, and without another one the update would circulate
// forever.
func (t *table) refute(u update) {
	if u.Instance != t.config.Instance || u.State == Alive {
		return
	}
	t.incarnation = max(t.incarnation, u.Incarnation+1)
	t.enqueue(update{Host: t.config.Host, Instance: t.config.Instance, Incarnation: t.incarnation})
}

// enqueue queues an update for other nodes. It replaces an older one about the
// same host.
func (t *table) enqueue(u update) {
	t.updateQueue = slices.DeleteFunc(t.updateQueue, func(q *queuedUpdate) bool { return q.Host == u.Host })
	t.updateQueue = slices.Insert(t.updateQueue, 0, &queuedUpdate{update: u})
	t.updateQueue = t.updateQueue[:min(len(t.updateQueue), maxQueuedUpdates)]
}

const (
	// maxQueuedUpdates bounds the update queue. The failure of a rack causes a
	// few dozen updates.
	maxQueuedUpdates = 64
	// retransmitFactor determines the number of transmissions of an update, as
	// a multiple of the logarithm of the number of peers.
	retransmitFactor = 3
)

// updatesFor returns the updates for a message to a host. An update about that
// host itself comes first, so that the host can refute it.
func (t *table) updatesFor(to prim.HostName) []update {
	var us []update
	if e := t.hosts[to]; e != nil && e.state != Alive {
		us = append(us, update{to, e.instance, e.incarnation, e.state})
	}
	limit := retransmitFactor * (bitLength(len(t.peers)) + 1)
	for _, q := range t.updateQueue {
		if len(us) == maxUpdates {
			break
		}
		if q.Host != to {
			us = append(us, q.update)
			q.transmissions++
		}
	}
	t.updateQueue = slices.DeleteFunc(t.updateQueue, func(q *queuedUpdate) bool { return q.transmissions >= limit })
	slices.SortStableFunc(t.updateQueue, func(a, b *queuedUpdate) int { return a.transmissions - b.transmissions })
	return us
}

// bitLength returns the number of bits needed to represent n.
func bitLength(n int) int {
	b := 0
	for ; n > 0; n >>= 1 {
		b++
	}
	return b
}
