package roster

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
)

// A node that the platform turns away, or that started while the platform is
// down, takes what others know. Load samples tell the versions that their sender
// has; whoever is behind asks for the whole. Nothing is sent unasked, so a change
// that every node reads from the platform costs nothing here.

// KindState asks a node for what it has of the published state.
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

// state is the body of the answer.
type state struct {
	Routing  prim.Routing        `cbor:"1,keyasint"`
	Switches []prim.CentreSwitch `cbor:"2,keyasint"`
	Servers  []prim.ServerEntry  `cbor:"3,keyasint"`
}

// Handle answers KindState.
func (r *Roster) Handle(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
	p := r.Placement()
	b, err := encoding.Marshal(state{p.Routing, p.Switches, p.Servers})
	return prim.Message{Kind: KindState, Body: b}, err
}

// Behind reports whether the sender of a sample has something newer.
func (r *Roster) Behind(s prim.Sample) bool {
	p := r.Placement()
	return s.Routing > p.Routing.Version || s.Switches > p.Revision()
}

// Fetch takes over what is newer at another node. Its list of servers is used
// only if this node has none, since lists carry no version.
func (r *Roster) Fetch(ctx context.Context, t prim.Transport, from prim.HostName) error {
	m, err := t.Ask(ctx, from, prim.Message{Kind: KindState})
	if err != nil {
		return err
	}
	var s state
	if err := cbor.Unmarshal(m.Body, &s); err != nil {
		return fmt.Errorf("state from host %q: %w; check that both nodes run compatible versions", from, err)
	}
	source := "node " + string(from)
	if s.Routing.Version > 0 {
		r.SetRouting(s.Routing, source)
	}
	for _, c := range s.Switches {
		r.SetSwitch(c, source)
	}
	if len(r.Placement().Servers) == 0 && len(s.Servers) > 0 {
		r.SetServers(s.Servers)
	}
	return nil
}
