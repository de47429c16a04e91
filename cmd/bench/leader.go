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

// This file is the alternative that package gossip is compared with: an eventual
// leader in each data centre, after Larrea and Raynal, "Specifying and
// Implementing an Eventual Leader Service for Dynamic Systems" (2010). Each
// member trusts the oldest member that it does not suspect. The member that
// trusts itself leads: it reads the platform's index every second and tells all
// members of its data centre which versions it holds, every second and after
// each change; they pull the bodies from it. A member that hears nothing from
// the one it trusts for a timeout suspects it and trusts the next one. Hearing
// from an older member ends the suspicion and lengthens the timeout.

const (
	leaderBeat    = time.Second
	leaderTimeout = 3 * time.Second
	leaderRetry   = 300 * time.Millisecond // as in package gossip
)

type leader struct {
	rank    int             // place of this node in members
	members []prim.HostName // of the data centre, oldest first
	trusted int             // rank of the trusted member
	heard   time.Time
	timeout time.Duration
	docs    map[string]prim.Document
	offers  map[string]leaderOffer
	beat    time.Time
	read    time.Time
	reading bool
	r       *rand.Rand
}

type leaderOffer struct {
	prim.Digest
	from    prim.HostName // empty for the platform
	after   time.Time
	pending int
}

// leaderEntry has the size of an entry of package gossip.
type leaderEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Hash    uint64
	Issued  int64
}

func newLeader(members []prim.HostName, rank int, now time.Time, r *rand.Rand) *leader {
	start := now.Add(time.Duration(r.Float64() * float64(time.Second)))
	return &leader{
		rank: rank, members: members, heard: now, timeout: leaderTimeout, r: r, beat: start, read: start,
		docs: map[string]prim.Document{}, offers: map[string]leaderOffer{},
	}
}

func (l *leader) Version(name string) uint64 { return l.docs[name].Version }

func (l *leader) Next(now time.Time) time.Time {
	t := l.heard.Add(l.timeout)
	if l.leads() {
		t = l.beat
		if !l.reading && l.read.Before(t) {
			t = l.read
		}
	}
	for _, o := range l.offers {
		if o.pending < l.most(o) && o.after.Before(t) {
			t = o.after
		}
	}
	return t
}

func (l *leader) leads() bool { return l.trusted == l.rank }

func (l *leader) Step(now time.Time) []gossip.Action {
	if !l.leads() && !now.Before(l.heard.Add(l.timeout)) {
		l.trusted++
		l.heard = now
		l.beat, l.read = now, now
	}
	var as []gossip.Action
	if l.leads() && !now.Before(l.beat) {
		l.beat = now.Add(leaderBeat)
		as = l.tell(prim.DocumentNames[:])
	}
	if l.leads() && !l.reading && !now.Before(l.read) {
		l.reading = true
		as = append(as, gossip.Action{Kind: gossip.ReadIndex})
	}
	return append(as, l.fetch(now)...)
}

func (l *leader) tell(names []string) (as []gossip.Action) {
	var es []leaderEntry
	for _, n := range names {
		d := l.docs[n]
		es = append(es, leaderEntry{Name: d.Name, Version: d.Version, Hash: d.Hash, Issued: d.Issued.Unix()})
	}
	b, err := cbor.Marshal(es)
	if err != nil {
		panic(err) // the type is constant
	}
	m := prim.Message{Kind: gossip.KindDigest, Body: b}
	for i, p := range l.members {
		if i != l.rank {
			as = append(as, gossip.Action{Kind: gossip.Tell, To: p, Message: m})
		}
	}
	return as
}

func (l *leader) fetch(now time.Time) (as []gossip.Action) {
	for _, n := range prim.DocumentNames {
		o, ok := l.offers[n]
		if !ok || o.pending >= l.most(o) || o.after.After(now) {
			continue
		}
		o.pending++
		o.after = now.Add(leaderRetry)
		l.offers[n] = o
		a := gossip.Action{Kind: gossip.ReadDocument, Name: n}
		if o.from != "" {
			a = gossip.Action{Kind: gossip.Ask, To: o.from, Name: n, Message: prim.Message{Kind: gossip.KindPull, Body: []byte(n)}}
		}
		as = append(as, a)
	}
	return as
}

// most bounds the attempts under way as package gossip does.
func (l *leader) most(o leaderOffer) int {
	if o.from == "" {
		return 1
	}
	return 6
}

func (l *leader) learn(from prim.HostName, ds []prim.Digest) {
	for _, d := range ds {
		if o := l.offers[d.Name]; d.Version > l.Version(d.Name) && d.Version > o.Version {
			l.offers[d.Name] = leaderOffer{Digest: d, from: from, pending: o.pending, after: o.after}
		}
	}
}

func (l *leader) Receive(now time.Time, from prim.HostName, m prim.Message) (prim.Message, []gossip.Action, error) {
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
		l.heard = now
	case rank == l.trusted:
		l.heard = now
	}
	ds := make([]prim.Digest, 0, len(es))
	for _, e := range es {
		ds = append(ds, prim.Digest{Name: e.Name, Version: e.Version, Hash: e.Hash, Issued: time.Unix(e.Issued, 0)})
	}
	l.learn(from, ds)
	return prim.Message{}, l.fetch(now), nil
}

func (l *leader) Index(now time.Time, ds []prim.Digest, err error) []gossip.Action {
	l.reading = false
	l.read = now.Add(time.Duration((0.8 + 0.4*l.r.Float64()) * 1.25 * float64(time.Second)))
	l.learn("", ds)
	return l.fetch(now)
}

func (l *leader) Answered(now time.Time, a gossip.Action, m prim.Message, err error) []gossip.Action {
	o := l.offers[a.Name]
	return l.Read(now, a, prim.Document{Digest: o.Digest, Body: m.Body}, err)
}

func (l *leader) Read(now time.Time, a gossip.Action, d prim.Document, err error) []gossip.Action {
	o := l.offers[a.Name]
	o.pending = max(0, o.pending-1)
	l.offers[a.Name] = o
	var as []gossip.Action
	if err == nil && d.Version > l.Version(a.Name) {
		l.docs[a.Name] = d
		if l.leads() {
			as = l.tell([]string{a.Name})
		}
	}
	if o.Version <= l.Version(a.Name) {
		delete(l.offers, a.Name)
	}
	return append(as, l.fetch(now)...)
}
