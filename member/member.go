// Package member implements failure detection: it tells which hosts are reachable.
//
// The published host list decides which hosts exist. This package only excludes
// hosts from routing temporarily. It follows SWIM (Das, Gupta and Motivala, DSN
// 2002): each node probes a bounded set of peers, one per period, directly and,
// if that fails, through other peers. A host that does not answer becomes a
// suspect, is probed again soon, and is declared dead after several consecutive
// failures. Suspicions and their refutations are piggybacked on the probes.
//
// A failed request attempt is the fastest signal. It takes effect immediately,
// but only at this node and only for a short time.
package member

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	prim "github.com/primrosethread/primrosethread"
)

// Error is the class of this package's errors.
var Error = errs.Class("member")

// State is the state of a host as this node sees it.
type State uint8

// The states of a host. For the same incarnation, a later one in this list
// overrides an earlier one.
const (
	Alive State = iota
	Suspect
	Dead
)

var stateNames = [...]string{Alive: "Alive", Suspect: "Suspect", Dead: "Dead"}

// String returns the name that the status page shows.
func (s State) String() string { return stateNames[min(s, Dead)] }

// MarshalText returns the result of String.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Message kinds. A Pong answers a Ping and a PingVia.
const (
	kindPing    prim.Kind = "Ping"
	kindPingVia prim.Kind = "PingVia"
	kindPong    prim.Kind = "Pong"
)

// update reports the state of one host. It applies to one instance only, not to
// later ones. A host refutes an update by one with a higher incarnation.
type update struct {
	Host        prim.HostName `cbor:"1,keyasint"`
	Instance    prim.Instance `cbor:"2,keyasint"`
	Incarnation uint32        `cbor:"3,keyasint,omitempty"`
	State       State         `cbor:"4,keyasint,omitempty"`
}

// message is the body of all message kinds.
type message struct {
	Instance prim.Instance `cbor:"1,keyasint"`
	// Target is the host that the receiver of a PingVia probes.
	Target  prim.HostName `cbor:"2,keyasint,omitempty"`
	Updates []update      `cbor:"3,keyasint,omitempty"`
}

// maxUpdates bounds the updates per message, and thereby the size of a probe.
const maxUpdates = 8

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(k prim.Kind, content *message) (prim.Message, error) {
	body, err := cbor.Marshal(content)
	return prim.Message{Kind: k, Body: body}, Error.Wrap(err)
}

func decode(m prim.Message) (*message, error) {
	var content message
	if err := decMode.Unmarshal(m.Body, &content); err != nil {
		return nil, Error.New("body of %s: %v; check that both nodes run compatible versions", m.Kind, err)
	}
	if len(content.Updates) > maxUpdates {
		return nil, Error.New("%d updates in %s, %d allowed; check that both nodes run compatible versions", len(content.Updates), m.Kind, maxUpdates)
	}
	return &content, nil
}

// Config configures Members. Zero fields take the defaults.
type Config struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
	Instance   prim.Instance
	Documents  prim.Documents
	Transport  prim.Transport
	// LocalPeers and DistantPeers bound the number of peers that are probed in
	// this data centre and in others. Defaults 24 and 8.
	LocalPeers, DistantPeers int
	// ProbePeriod is the interval between probes. Default 1 s.
	ProbePeriod time.Duration
	// ProbeTimeout bounds a direct probe; an indirect one may take twice as
	// long. Default 300 ms, a few round trips between data centres.
	ProbeTimeout time.Duration
	// IndirectHelpers is the number of peers through which a host is probed if
	// it does not answer a direct probe. Default 3.
	IndirectHelpers int
	// FailuresUntilDead is the number of consecutive probes, each of which
	// failed directly and indirectly, after which a host is dead. Default 3.
	FailuresUntilDead int
	// DeadFor is the time after which a dead host counts as reachable again
	// unless it is declared dead once more. Default 1 min, longer than a round
	// of probes. It bounds how long a lost refutation keeps a live host out of
	// use.
	DeadFor time.Duration
	// AvoidMin and AvoidMax bound the time for which a host is avoided after a
	// failed attempt. It starts at AvoidMin and doubles with every failure up to
	// AvoidMax. Defaults 100 ms and 5 s.
	AvoidMin, AvoidMax time.Duration
}

func (c Config) withDefaults() Config {
	defaultInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	defaultDuration := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	defaultInt(&c.LocalPeers, 24)
	defaultInt(&c.DistantPeers, 8)
	defaultInt(&c.IndirectHelpers, 3)
	defaultInt(&c.FailuresUntilDead, 3)
	defaultDuration(&c.ProbePeriod, time.Second)
	defaultDuration(&c.ProbeTimeout, 300*time.Millisecond)
	defaultDuration(&c.DeadFor, time.Minute)
	defaultDuration(&c.AvoidMin, 100*time.Millisecond)
	defaultDuration(&c.AvoidMax, 5*time.Second)
	return c
}
