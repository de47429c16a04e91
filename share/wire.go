package share

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	prim "github.com/primrosethread/primrosethread"
)

// This file defines the bodies of the control messages. They are CBOR arrays,
// because leases are renewed every second and field names would double their
// size. Amounts are 32-bit floats, rounded towards zero where the sender gives
// something away.

// The kinds of the control messages and of their answers.
const (
	KindLeaseAsk     prim.Kind = "LeaseAsk"
	KindLease        prim.Kind = "Lease"
	KindSlotHandOver prim.Kind = "SlotHandOver"
	KindAccepted     prim.Kind = "Accepted"
)

// Error is the class of the errors of this package.
var Error = errs.Class("share")

// leaseAsk asks a slot owner for leases for several customers of its service.
type leaseAsk struct {
	_        struct{} `cbor:",toarray"`
	Instance prim.Instance
	// Sequence increases with every ask of an instance. An owner ignores an
	// ask that is not newer than the last one it saw for the customer.
	Sequence uint64
	Service  prim.Service
	Items    []askItem
}

// askItem is one customer in a leaseAsk.
type askItem struct {
	_         struct{} `cbor:",toarray"`
	Customer  prim.Customer
	WantRate  float32
	WantBurst float32
	// HeldRate and HeldBurst are the lease that the sender has in use. The
	// sender ignores answers to earlier asks from now on, so the owner need
	// not reserve more than this for them.
	HeldRate  float32
	HeldBurst float32
}

// lease answers a leaseAsk.
type lease struct {
	_        struct{} `cbor:",toarray"`
	Instance prim.Instance
	// Slots is the number of slots that the owner lends from.
	Slots int
	// Items are parallel to those of the ask.
	Items []leaseItem
}

// leaseItem replaces the lease that the asker had from this owner.
type leaseItem struct {
	_     struct{} `cbor:",toarray"`
	Rate  float32
	Burst float32
	// Tokens were moved out of the owner's bucket and add to the asker's.
	Tokens float32
}

// handOver moves slots. With Instance zero it only asks whether the receiver
// would take them.
type handOver struct {
	_        struct{}      `cbor:",toarray"`
	Instance prim.Instance // of the receiver
	Service  prim.Service
	Slots    []slot
}

// accepted answers a handOver.
type accepted struct {
	_        struct{} `cbor:",toarray"`
	Accepted bool
	Instance prim.Instance // of the receiver
}

// maxItems bounds the customers in one message; the rest follows in the next.
const maxItems = 500

// decoding bounds what a peer can make this node allocate.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * maxItems, MaxNestedLevels: 5}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(k prim.Kind, body any) (prim.Message, error) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return prim.Message{}, Error.New("encode %s: %w", k, err)
	}
	return prim.Message{Kind: k, Body: b}, nil
}

func decode(m prim.Message, k prim.Kind, body any) error {
	if m.Kind != k {
		return Error.New("got message kind %q, want %q; check that both nodes run compatible versions", m.Kind, k)
	}
	if err := decoding.Unmarshal(m.Body, body); err != nil {
		return Error.New("decode %s: %w; check that both nodes run compatible versions", k, err)
	}
	return nil
}

// down rounds towards zero, so that the receiver never gets more than the
// sender subtracts.
func down(x float64) float32 {
	f := float32(max(x, 0))
	if float64(f) > x {
		f = math.Nextafter32(f, 0)
	}
	return max(f, 0)
}

// sane reports whether an amount from a peer can be calculated with.
func sane(x float32) bool { return x >= 0 && x < maxUnits }
