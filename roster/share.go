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

// Only a few nodes of a data centre follow the registry. Load samples carry the
// revision of their sender's state; a node with an older state requests the changes
// since its own revision.

// KindState is the kind of a request for the changes since the sender's state.
const KindState prim.Kind = "State"

// kindDeflatedState is the kind of a response that is deflated.
const kindDeflatedState prim.Kind = "StateDeflated"

// encoding encodes times with fractions of a second, which distinguish the entries of
// one host.
var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// stateRequest is the body of a KindState request.
type stateRequest struct {
	Number         uint64 `cbor:"1,keyasint"` // of the sender's revision
	RoutingVersion uint64 `cbor:"2,keyasint"` // version of the sender's routes
	Digest         uint64 `cbor:"3,keyasint"` // of the sender's entries
	// Inflates is set by senders that accept a deflated response.
	Inflates bool `cbor:"4,keyasint,omitempty"`
	// AppliesDiffs is set by senders that accept a difference instead of all routes.
	AppliesDiffs bool `cbor:"6,keyasint,omitempty"`
	// Era is one more than that of the sender's revision; 0 from nodes that don't know
	// eras.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// stateResponse is the body of the answer to a stateRequest. Nodes of earlier versions
// don't know eras, so all revisions in it are numbers in one era.
type stateResponse struct {
	Number       uint64                  `cbor:"1,keyasint"`            // of the sender's revision
	Era          uint64                  `cbor:"8,keyasint,omitempty"`  // as in stateRequest
	Complete     bool                    `cbor:"2,keyasint"`            // Servers lists all entries
	EntriesEqual bool                    `cbor:"7,keyasint"`            // the requester has the same entries
	Digest       *uint64                 `cbor:"10,keyasint,omitempty"` // that EntriesEqual refers to; nil from nodes of earlier versions
	Routing      *prim.Routing           `cbor:"3,keyasint"`            // nil if the requester has it
	RoutesDiff   *routesDiff             `cbor:"9,keyasint,omitempty"`  // instead of Routing
	Switches     []prim.DataCentreSwitch `cbor:"4,keyasint"`
	Servers      serverEntries           `cbor:"5,keyasint"`
	Removed      []prim.Removal          `cbor:"6,keyasint"`
	Lapses       []sharedLapse           `cbor:"11,keyasint,omitempty"` // of entries that are in use but not in Servers
	// RoutingFields is the sender's routingFields; 0 from nodes that don't know customers
	// and home regions.
	RoutingFields int `cbor:"12,keyasint,omitempty"`
	// Age is the time since the registry is known to have had no newer routes than the
	// sender, at the time of this response; 0 if it is not known.
	Age time.Duration `cbor:"13,keyasint,omitempty"`
}

// serverEntries is a list of entries of which those that can't be decoded are empty, so that
// they don't keep the rest of a response from this node. Roster.setServer refuses them.
type serverEntries []prim.ServerEntry

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *serverEntries) UnmarshalCBOR(b []byte) error {
	var entries []prim.ServerEntry
	if err := cbor.Unmarshal(b, &entries); err == nil {
		*l = entries
		return nil
	}
	var encoded []cbor.RawMessage
	if err := cbor.Unmarshal(b, &encoded); err != nil {
		return err
	}
	*l = nil
	for _, item := range encoded {
		var e prim.ServerEntry
		if cbor.Unmarshal(item, &e) != nil {
			e = prim.ServerEntry{}
		}
		*l = append(*l, e)
	}
	return nil
}

// Handle answers a KindState request.
func (r *Roster) Handle(_ context.Context, _ prim.HostName, m prim.Message) (prim.Message, error) {
	var req stateRequest
	if err := cbor.Unmarshal(m.Body, &req); err != nil {
		return prim.Message{}, fmt.Errorf("state request: %w; check that both nodes run compatible versions", err)
	}
	b, err := encoding.Marshal(r.changesSince(req))
	if err != nil || !req.Inflates || len(b) < minDeflatedBytes {
		return prim.Message{Kind: KindState, Body: b}, err
	}
	b, err = deflate(b)
	return prim.Message{Kind: kindDeflatedState, Body: b}, err
}

// changesSince returns the changes since the state that a request describes.
func (r *Roster) changesSince(req stateRequest) stateResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.revisionOf(req.Era, req.Number)
	resp := stateResponse{
		Number: r.revision.Number(), Era: r.revision.Era() + 1, Complete: known < r.removalsFrom, Switches: sortSwitches(r.switches),
		RoutingFields: routingFields, Age: r.shareableAge(time.Now()),
	}
	for i, c := range resp.Switches {
		resp.Switches[i].Revision = numberOnly(c.Revision)
	}
	if resp.Complete && known.Era() == r.revision.Era() && req.Digest == r.digest() {
		resp.Complete, resp.EntriesEqual, resp.Digest = false, true, &req.Digest
	}
	if r.routing.Version > req.RoutingVersion && req.AppliesDiffs {
		resp.RoutesDiff = r.routesSince(req.RoutingVersion)
	}
	if r.routing.Version > req.RoutingVersion && resp.RoutesDiff == nil {
		routing := r.routing // the response is encoded without the lock
		routing.Revision = numberOnly(routing.Revision)
		resp.Routing = &routing
	}
	for _, e := range r.servers {
		if resp.Complete || !resp.EntriesEqual && e.Revision > known {
			e.Revision = numberOnly(e.Revision)
			resp.Servers = append(resp.Servers, e)
		}
	}
	if !resp.Complete && !resp.EntriesEqual {
		for _, m := range r.removals {
			if m.Revision > known {
				m.Revision = numberOnly(m.Revision)
				resp.Removed = append(resp.Removed, m)
			}
		}
	}
	resp.Lapses = r.lapsesToShare(time.Now())
	return resp
}

// Fetch requests newer state from another node and applies it.
func (r *Roster) Fetch(ctx context.Context, t prim.Transport, from prim.HostName) error {
	body, err := encoding.Marshal(r.request())
	if err != nil {
		return err
	}
	// The other node's age refers to a time after this one.
	askedAt := time.Now()
	m, err := t.Ask(ctx, from, prim.Message{Kind: KindState, Body: body})
	if err != nil {
		return err
	}
	if m.Kind == kindDeflatedState {
		if m.Body, err = inflate(m.Body); err != nil {
			return fmt.Errorf("state from host %q: %w", from, err)
		}
	}
	var resp stateResponse
	if err := cbor.Unmarshal(m.Body, &resp); err != nil {
		return fmt.Errorf("state from host %q: %w; check that both nodes run compatible versions", from, err)
	}
	r.applyResponse(resp, "node "+string(from))
	r.vouch(askedAt, &resp)
	return nil
}

// request returns a request for the changes since this node's state.
func (r *Roster) request() stateRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return stateRequest{
		Number: r.revision.Number(), Era: r.revision.Era() + 1, RoutingVersion: r.routing.Version, Digest: r.digest(),
		Inflates: true, AppliesDiffs: true,
	}
}

// digest returns a sum over the entries that depends neither on their order nor on
// their revisions. Nodes that start together have the same entries at different
// revisions and need not send them to each other. The caller holds r.mu.
func (r *Roster) digest() uint64 {
	if r.digestPlacement == r.placement {
		return r.digestValue
	}
	var sum uint64
	for _, e := range r.servers {
		e.Revision = 0
		e.Born = e.Born.UTC()
		b, err := encoding.Marshal(e)
		if err != nil {
			return rand.Uint64() // matches no other digest
		}
		sum += xxh3.Hash(b)
	}
	r.digestPlacement, r.digestValue = r.placement, sum
	return sum
}

// applyResponse applies another node's response. This node's state may have changed
// since the request; newer values are kept, since each value has its revision.
func (r *Roster) applyResponse(resp stateResponse, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	revision := r.revisionOf(resp.Era, resp.Number)
	inEra := func(number prim.Revision) prim.Revision { return r.revisionOf(revision.Era()+1, uint64(number)) }
	newRoutes, missingRoutes := r.applyRoutes(&resp, source)
	// Entries that were equal at the request may have changed since.
	outdated := missingRoutes || resp.EntriesEqual && resp.Digest != nil && *resp.Digest != r.digest()
	if revision <= r.revision || outdated || revision.Era() > r.revision.Era() && !resp.Complete {
		if newRoutes {
			r.rebuild(r.revision, source)
		}
		return
	}
	previous := r.enterEra(revision)
	for _, c := range resp.Switches {
		c.Revision = inEra(c.Revision)
		r.setSwitch(c, source)
	}
	now := time.Now()
	lapses := r.receivedLapses(resp.Lapses)
	remove := func(m prim.Removal) {
		if e := r.removeServer(m, source).inUse; e != nil {
			r.removeReported(now, *e, m.Revision, lapses[m.ID])
		}
	}
	for _, m := range resp.Removed {
		m.Revision = inEra(m.Revision)
		remove(m)
	}
	for _, e := range resp.Servers {
		e.Revision = inEra(e.Revision)
		r.setServer(e, source)
	}
	if resp.Complete {
		for id := range r.servers {
			if !slices.ContainsFunc(resp.Servers, func(e prim.ServerEntry) bool { return e.ID == id }) {
				remove(prim.Removal{ID: id, Revision: revision})
			}
		}
	}
	for _, l := range lapses {
		l.Entry.Revision = inEra(l.Entry.Revision)
		r.restoreLapsed(now, l, inEra(prim.Revision(l.Undoes)))
	}
	if resp.Complete || resp.EntriesEqual {
		r.endUnlisted(resp.Switches, revision, source)
		r.removals, r.removalsFrom = nil, revision
	}
	if previous != nil {
		r.keep(previous)
	}
	r.rebuild(revision, source)
}

// applyRoutes applies the routes of a response, or their difference from this node's
// version. It reports whether the routes changed, and whether the response has newer ones
// that can't be applied, since the version has changed after the request, since the
// sender may have dropped fields of them, or since they are invalid. The caller holds r.mu.
func (r *Roster) applyRoutes(resp *stateResponse, source string) (changed, missing bool) {
	if version := resp.routesVersion(); resp.RoutingFields < routingFields && (version > r.routing.Version || r.routing.NeedsKeys()) {
		r.log.Info("state of a node of an earlier version of the program not applied, since its routes may lack customers and home regions", "Version", version,
			"Routes", r.routing.Version, "Source", source, "Remedy", "update that node; this one reads the registry")
		return false, true
	}
	routing := resp.Routing
	if d := resp.RoutesDiff; d != nil && d.Base == r.routing.Version {
		next := d.apply(&r.routing)
		routing = &next
	} else if d != nil && d.Version > r.routing.Version {
		r.log.Info("difference of routes not applied", "Base", d.Base, "Version", d.Version, "Routes", r.routing.Version, "Source", source)
		missing = true
	}
	if routing == nil {
		return false, missing
	}
	if err := routing.Check(); err != nil && routing.Version > r.routing.Version {
		r.log.Warn("routes of another node refused; this node reads the registry itself", "Error", err, "Routes", r.routing.Version, "Source", source)
		return false, true
	}
	routing.Revision = r.revisionOf(resp.Era, uint64(routing.Revision))
	return r.setRouting(*routing, source), missing
}

// routesVersion returns the version of the routes in a response, 0 if it has none.
func (resp *stateResponse) routesVersion() uint64 {
	switch {
	case resp.RoutesDiff != nil:
		return resp.RoutesDiff.Version
	case resp.Routing != nil:
		return resp.Routing.Version
	}
	return 0
}

// revisionOf returns a revision that another node sent as a number and one more than
// its era. A node that doesn't know eras, and sends 0, is in this node's era unless the
// registry was restored since this node started. The revision is 0, below all others, if
// the era is unknown or out of range. The caller holds r.mu.
func (r *Roster) revisionOf(era, number uint64) prim.Revision {
	if era == 0 && r.restored {
		return 0
	}
	if era == 0 {
		era = r.revision.Era() + 1
	}
	revision, err := prim.NewRevision(era-1, number)
	if err != nil {
		r.log.Debug("another node sent an invalid revision", "Error", err)
		return 0
	}
	return revision
}

// numberOnly returns a revision without its era, for nodes that don't know eras.
func numberOnly(rev prim.Revision) prim.Revision { return prim.Revision(rev.Number()) }

// Annotate adds the revision and age of this node's state to a sample. The age is that of
// the last answer of the registry to this node: an age doesn't include the time that a
// sample was on its way, so ages that nodes pass on would fall short by all of these times.
func (r *Roster) Annotate(now time.Time, s prim.LoadSample) prim.LoadSample {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s.Number, s.Era, s.Routes, s.Reading = r.revision.Number(), r.revision.Era()+1, r.routing.Version, r.reading
	if !r.registryCurrentAt.IsZero() {
		s.Age = max(1, now.Sub(r.registryCurrentAt))
	}
	s.RoutesAge = r.shareableAge(now)
	return s
}

// ObserveSample records the state that another node's sample reports. It returns true
// if that state is newer than this node's.
func (r *Roster) ObserveSample(now time.Time, h prim.HostName, s prim.LoadSample) (behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[h] = peerState{now, s.Reading}
	if r.revisionOf(s.Era, s.Number) == r.revision && r.revision > 0 && s.Age > 0 {
		r.confirmLocked(now, now.Add(-s.Age))
	}
	if !r.isBehind(s) {
		return false
	}
	r.behind.observe(now, r.revisionOf(s.Era, s.Number), s.Routes)
	return true
}

// IsBehind reports whether the sender of a sample has newer state.
func (r *Roster) IsBehind(s prim.LoadSample) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.isBehind(s)
}

// isBehind is IsBehind for a caller that holds r.mu. After a restore of the registry the
// routes of another node may be newer although its revision is not.
func (r *Roster) isBehind(s prim.LoadSample) bool {
	return r.revisionOf(s.Era, s.Number) > r.revision || s.Routes > r.routing.Version
}

// confirmLocked records that the state was current at a time. The caller holds r.mu.
func (r *Roster) confirmLocked(now, at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt, r.answerLag = at, now.Sub(at)
	}
}
