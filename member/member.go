// Package member tells which hosts can be reached.
//
// The published host list is the authority on which hosts exist. This package
// only takes hosts out of choice for a while. Each node probes a bounded set
// of peers, one in each period, directly and, if that fails, through other
// peers (after SWIM: Das, Gupta and Motivala, DSN 2002). A host that does not
// answer is suspected, probed again soon, and counted as dead after several
// failures in a row. Suspicions and their refutations travel on the probes.
//
// A failed attempt of a request is the fastest signal. It counts at once, but
// only at this node and only for a short time.
package member

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	prim "github.com/primrosethread/primrosethread"
)

// Error is the class of this package's errors.
var Error = errs.Class("member")

// State is what a node believes about a host.
type State uint8

// The states of a host, in the order in which they override each other for the
// same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
)

var stateNames = [...]string{Alive: "Alive", Suspect: "Suspect", Dead: "Dead"}

// String returns the name in the status page.
func (s State) String() string { return stateNames[min(s, Dead)] }

// MarshalText writes the name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// The kinds of messages.
const (
	kindPing    prim.Kind = "Ping"
	kindPingVia prim.Kind = "PingVia"
	kindPong    prim.Kind = "Pong"
)

// update is a claim about one host. A claim about an instance says nothing
// about a later one. A host refutes a claim by a higher incarnation.
type update struct {
	Host        prim.HostName `cbor:"1,keyasint"`
	Instance    prim.Instance `cbor:"2,keyasint"`
	Incarnation uint32        `cbor:"3,keyasint,omitempty"`
	State       State         `cbor:"4,keyasint,omitempty"`
}

// message is the body of all kinds.
type message struct {
	Instance prim.Instance `cbor:"1,keyasint"`
	// Target is the host that a PingVia asks about.
	Target  prim.HostName `cbor:"2,keyasint,omitempty"`
	Updates []update      `cbor:"3,keyasint,omitempty"`
}

// maxUpdates bounds the claims on one message, and so the bytes of a probe.
const maxUpdates = 8

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(k prim.Kind, m *message) (prim.Message, error) {
	b, err := cbor.Marshal(m)
	return prim.Message{Kind: k, Body: b}, Error.Wrap(err)
}

func decode(m prim.Message) (*message, error) {
	var d message
	if err := decoding.Unmarshal(m.Body, &d); err != nil {
		return nil, Error.New("body of %s: %v; check that both nodes run compatible versions", m.Kind, err)
	}
	if len(d.Updates) > maxUpdates {
		return nil, Error.New("%d updates in %s, %d allowed; check that both nodes run compatible versions", len(d.Updates), m.Kind, maxUpdates)
	}
	return &d, nil
}

// Config configures Members. Zero fields take the defaults.
type Config struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
	Instance   prim.Instance
	Documents  prim.Documents
	Transport  prim.Transport
	// Local and Distant bound the peers that are probed in this data centre
	// and in others: 24 and 8.
	Local, Distant int
	// Period is the time between two probes: 1 s.
	Period time.Duration
	// Timeout bounds a direct probe, and an indirect one takes twice as long:
	// 300 ms, a few round trips between data centres.
	Timeout time.Duration
	// Helpers is the number of peers that are asked for an indirect probe: 3.
	Helpers int
	// Failures is the number of failed probes in a row, each direct and
	// indirect, after which a host is dead: 3.
	Failures int
	// DeadFor is the time after which a host counts as reachable again unless
	// it is found dead anew: 1 min, longer than a round of probes. It bounds the harm of a refutation that
	// got lost.
	DeadFor time.Duration
	// AvoidMin and AvoidMax bound the time for which a host is avoided after
	// a failed attempt: 100 ms, doubled with every failure up to 5 s.
	AvoidMin, AvoidMax time.Duration
}

func (c Config) withDefaults() Config {
	orInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	or := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	orInt(&c.Local, 24)
	orInt(&c.Distant, 8)
	orInt(&c.Helpers, 3)
	orInt(&c.Failures, 3)
	or(&c.Period, time.Second)
	or(&c.Timeout, 300*time.Millisecond)
	or(&c.DeadFor, time.Minute)
	or(&c.AvoidMin, 100*time.Millisecond)
	or(&c.AvoidMax, 5*time.Second)
	return c
}
