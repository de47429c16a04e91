package main

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/gossip"
)

// This file implements the algorithm that package gossip is compared with: an
// eventual leader in each data centre, after Larrea and Raynal, "Specifying and
// Implementing an Eventual Leader Service for Dynamic Systems" (2010). Each
// member trusts the oldest member that it does not suspect. The member that
// trusts itself leads: it reads the platform's index every second and tells all
// members of its data centre which versions it holds, every second and after
// each change; they pull the bodies from it. A member that receives nothing from
// the one it trusts for a timeout suspects it and trusts the next one. A message
// from an older member ends the suspicion and lengthens the timeout.

const (
	leaderAnnounceInterval = time.Second
	leaderSuspectTimeout   = 3 * time.Second
	leaderRetryDelay       = 300 * time.Millisecond // as in package gossip
)

// leaderNode is the state of one member.
type leaderNode struct {
	rank         int             // place of this node in members
	members      []prim.HostName // of the data centre, oldest first
	trusted      int             // rank of the trusted member
	lastHeard    time.Time
	timeout      time.Duration
	docs         map[string]prim.Document
	offers       map[string]leaderOffer
	nextAnnounce time.Time
	nextRead     time.Time
	readPending  bool
	rng          *rand.Rand
}

type leaderOffer struct {
	prim.Digest
	from    prim.HostName // empty for the platform
	retryAt time.Time
	pending int
}

// leaderEntry announces the version of a document. It is as large as an entry of
// package gossip, so that the byte counts are comparable.
type leaderEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Hash    uint64
	Issued  int64
}

func newLeaderNode(members []prim.HostName, rank int, now time.Time, r *rand.Rand) *leaderNode {
	start := now.Add(time.Duration(r.Float64() * float64(time.Second)))
	return &leaderNode{
		rank: rank, members: members, lastHeard: now, timeout: leaderSuspectTimeout, rng: r, nextAnnounce: start, nextRead: start,
		docs: map[string]prim.Document{}, offers: map[string]leaderOffer{},
	}
}

func (l *leaderNode) Version(name string) uint64 { return l.docs[name].Version }

func (l *leaderNode) Next(now time.Time) time.Time {
	t := l.lastHeard.Add(l.timeout)
	if l.isLeader() {
		t = l.nextAnnounce
		if !l.readPending && l.nextRead.Before(t) {
			t = l.nextRead
		}
	}
	for _, o := range l.offers {
		if o.pending < l.maxAttempts(o) && o.retryAt.Before(t) {
			t = o.retryAt
		}
	}
	return t
}

func (l *leaderNode) isLeader() bool { return l.trusted == l.rank }

func (l *leaderNode) Step(now time.Time) []gossip.Action {
	if !l.isLeader() && !now.Before(l.lastHeard.Add(l.timeout)) {
		l.trusted++
		l.lastHeard = now
		l.nextAnnounce, l.nextRead = now, now
	}
	var as []gossip.Action
	if l.isLeader() && !now.Before(l.nextAnnounce) {
		l.nextAnnounce = now.Add(leaderAnnounceInterval)
		as = l.announce(prim.DocumentNames[:])
	}
	if l.isLeader() && !l.readPending && !now.Before(l.nextRead) {
		l.readPending = true
		as = append(as, gossip.Action{Kind: gossip.ReadIndex})
	}
	return append(as, l.fetch(now)...)
}

func (l *leaderNode) announce(names []string) (as []gossip.Action) {
	var es []leaderEntry
	for _, n := range names {
		d := l.docs[n]
		es = append(es, leaderEntry{Name: d.Name, Version: d.Version, Hash: d.Hash, Issued: d.Issued.Unix()})
	}
	b, err := cbor.Marshal(es)
	if err != nil {
		panic(err) // the type can always be encoded
	}
	m := prim.Message{Kind: gossip.KindDigest, Body: b}
	for i, p := range l.members {
		if i != l.rank {
			as = append(as, gossip.Action{Kind: gossip.Tell, To: p, Message: m})
		}
	}
	return as
}

func (l *leaderNode) fetch(now time.Time) (as []gossip.Action) {
	for _, n := range prim.DocumentNames {
		o, ok := l.offers[n]
		if !ok || o.pending >= l.maxAttempts(o) || o.retryAt.After(now) {
			continue
		}
		o.pending++
		o.retryAt = now.Add(leaderRetryDelay)
		l.offers[n] = o
		a := gossip.Action{Kind: gossip.ReadDocument, Name: n}
		if o.from != "" {
			a = gossip.Action{Kind: gossip.Ask, To: o.from, Name: n, Message: prim.Message{Kind: gossip.KindPull, Body: []byte(n)}}
		}
		as = append(as, a)
	}
	return as
}

// maxAttempts limits the concurrent attempts to fetch an offer, with the limits of
// package gossip.
func (l *leaderNode) maxAttempts(o leaderOffer) int {
	if o.from == "" {
		return 1
	}
	return 6
}

func (l *leaderNode) recordOffers(from prim.HostName, ds []prim.Digest) {
	for _, d := range ds {
		if o := l.offers[d.Name]; d.Version > l.Version(d.Name) && d.Version > o.Version {
			l.offers[d.Name] = leaderOffer{Digest: d, from: from, pending: o.pending, retryAt: o.retryAt}
		}
	}
}

func (l *leaderNode) HandleMessage(now time.Time, from prim.HostName, m prim.Message) (
	prim.Message, []gossip.Action, error,
) {
	if m.Kind == gossip.KindPull {
		d, ok := l.docs[string(m.Body)]
		if !ok {
			return prim.Message{}, nil, errors.New("no such document")
		}
		return prim.Message{Kind: gossip.KindDocument, Body: d.Body}, nil, nil
	}
	var es []leaderEntry
	if err := cbor.Unmarshal(m.Body, &es); err != nil {
		return prim.Message{}, nil, err
	}
	switch rank := slices.Index(l.members, from); {
	case rank < l.trusted:
		l.trusted = rank
		l.timeout += time.Second
		l.lastHeard = now
	case rank == l.trusted:
		l.lastHeard = now
	}
	ds := make([]prim.Digest, 0, len(es))
	for _, e := range es {
		ds = append(ds, prim.Digest{Name: e.Name, Version: e.Version, Hash: e.Hash, Issued: time.Unix(e.Issued, 0)})
	}
	l.recordOffers(from, ds)
	return prim.Message{}, l.fetch(now), nil
}

func (l *leaderNode) HandleIndex(now time.Time, ds []prim.Digest, err error) []gossip.Action {
	l.readPending = false
	l.nextRead = now.Add(time.Duration((0.8 + 0.4*l.rng.Float64()) * 1.25 * float64(time.Second)))
	l.recordOffers("", ds)
	return l.fetch(now)
}

func (l *leaderNode) HandleResponse(now time.Time, a gossip.Action, m prim.Message, err error) []gossip.Action {
	o := l.offers[a.Name]
	return l.HandleDocument(now, a, prim.Document{Digest: o.Digest, Body: m.Body}, err)
}

func (l *leaderNode) HandleDocument(now time.Time, a gossip.Action, d prim.Document, err error) []gossip.Action {
	o := l.offers[a.Name]
	o.pending = max(0, o.pending-1)
	l.offers[a.Name] = o
	var as []gossip.Action
	if err == nil && d.Version > l.Version(a.Name) {
		l.docs[a.Name] = d
		if l.isLeader() {
			as = l.announce([]string{a.Name})
		}
	}
	if o.Version <= l.Version(a.Name) {
		delete(l.offers, a.Name)
	}
	return append(as, l.fetch(now)...)
}
