package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// Few nodes of a data centre follow the registry. Load samples tell the revision
// that their sender has; whoever is behind asks it for what has changed since its
// own.

// KindState asks a node for what is newer than the asker's state.
const KindState prim.Kind = "State"

// encoding keeps the fractions of seconds, by which the entries of one host are
// told apart.
var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// question is the body of KindState.
type question struct {
	Revision uint64 `cbor:"1,keyasint"`
	Routing  uint64 `cbor:"2,keyasint"` // version of the asker's routes
	Digest   uint64 `cbor:"3,keyasint"` // of the asker's entries
}

// state is the body of the answer.
type state struct {
	Revision uint64              `cbor:"1,keyasint"`
	Whole    bool                `cbor:"2,keyasint"` // Servers lists all of them
	Same     bool                `cbor:"7,keyasint"` // the asker has the same entries
	Routing  *prim.Routing       `cbor:"3,keyasint"` // nil if the asker has it
	Switches []prim.CentreSwitch `cbor:"4,keyasint"`
	Servers  []prim.ServerEntry  `cbor:"5,keyasint"`
	Removed  []prim.Removal      `cbor:"6,keyasint"`
}

// Handle answers KindState.
func (r *Roster) Handle(_ context.Context, _ prim.HostName, m prim.Message) (prim.Message, error) {
	var q question
	if err := cbor.Unmarshal(m.Body, &q); err != nil {
		return prim.Message{}, fmt.Errorf("question for the state: %w; check that both nodes run compatible versions", err)
	}
	b, err := encoding.Marshal(r.since(q))
	return prim.Message{Kind: KindState, Body: b}, err
}

// since returns what is newer than a question's state.
func (r *Roster) since(q question) state {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := state{Revision: r.revision, Whole: q.Revision < r.removalsFrom, Switches: r.now.Switches}
	if s.Whole && q.Digest == r.digest() {
		s.Whole, s.Same = false, true
	}
	if r.routing.Version > q.Routing {
		s.Routing = &r.routing
	}
	for _, e := range r.servers {
		if s.Whole || !s.Same && e.Revision > q.Revision {
			s.Servers = append(s.Servers, e)
		}
	}
	if !s.Whole && !s.Same {
		for _, m := range r.removals {
			if m.Revision > q.Revision {
				s.Removed = append(s.Removed, m)
			}
		}
	}
	return s
}

// Fetch takes over what is newer at another node.
func (r *Roster) Fetch(ctx context.Context, t prim.Transport, from prim.HostName) error {
	body, err := encoding.Marshal(r.question())
	if err != nil {
		return err
	}
	m, err := t.Ask(ctx, from, prim.Message{Kind: KindState, Body: body})
	if err != nil {
		return err
	}
	var s state
	if err := cbor.Unmarshal(m.Body, &s); err != nil {
		return fmt.Errorf("state from host %q: %w; check that both nodes run compatible versions", from, err)
	}
	r.adopt(s, "node "+string(from))
	return nil
}

// question returns what this node asks another one.
func (r *Roster) question() question {
	r.mu.Lock()
	defer r.mu.Unlock()
	return question{r.revision, r.routing.Version, r.digest()}
}

// digest returns a sum of the entries whatever their order and revisions. Nodes that
// start together have the same entries as of different revisions, and need not send
// them to each other. The caller holds r.mu.
func (r *Roster) digest() uint64 {
	if r.digested == r.now {
		return r.sum
	}
	var sum uint64
	for _, e := range r.servers {
		e.Revision = 0
		e.Born = e.Born.UTC()
		b, err := encoding.Marshal(e)
		if err != nil {
			return rand.Uint64() // equal to no other
		}
		sum += xxh3.Hash(b)
	}
	r.digested, r.sum = r.now, sum
	return sum
}

// adopt takes another node's answer to a question. This node's state may have moved
// meanwhile: what it has by then is not lost, since each value has its revision.
func (r *Roster) adopt(s state, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision <= r.revision {
		return
	}
	if s.Routing != nil {
		r.setRouting(*s.Routing, source)
	}
	for _, c := range s.Switches {
		r.setSwitch(c, source)
	}
	for _, m := range s.Removed {
		r.removeServer(m, source)
	}
	for _, e := range s.Servers {
		r.setServer(e, source)
	}
	if s.Whole {
		for id := range r.servers {
			if !slices.ContainsFunc(s.Servers, func(e prim.ServerEntry) bool { return e.ID == id }) {
				r.removeServer(prim.Removal{ID: id, Revision: s.Revision}, source)
			}
		}
	}
	if s.Whole || s.Same {
		r.removals, r.removalsFrom = nil, s.Revision
	}
	r.rebuild(s.Revision, source)
}

// Stamp adds to a sample what this node knows.
func (r *Roster) Stamp(now time.Time, s prim.Sample) prim.Sample {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s.Revision, s.Reading = r.revision, r.reading
	if !r.confirmed.IsZero() {
		s.Age = max(1, now.Sub(r.confirmed))
	}
	return s
}

// Heard takes what another node's sample tells of its state. It reports whether
// that is newer.
func (r *Roster) Heard(now time.Time, h prim.HostName, s prim.Sample) (behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[h] = hearing{now, s.Reading}
	if s.Revision == r.revision && r.revision > 0 && s.Age > 0 {
		r.confirm(now.Add(-s.Age))
	}
	return s.Revision > r.revision
}

// Behind reports whether the sender of a sample has something newer.
func (r *Roster) Behind(s prim.Sample) bool { return s.Revision > r.Revision() }

// confirm notes that the state was current at a time. The caller holds r.mu.
func (r *Roster) confirm(at time.Time) {
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}
