package quota

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	prim "github.com/primrosethread/primrosethread"
)

// This file defines the bodies of the control messages. They are encoded as CBOR
// arrays because leases are renewed every second and field names would double
// the message size. Amounts are 32-bit floats, rounded towards zero where the
// sender gives up the amount.

// The kinds of the control messages and of their responses.
const (
	KindLeaseRequest prim.Kind = "LeaseAsk"
	KindLease        prim.Kind = "Lease"
	KindSlotHandOver prim.Kind = "SlotHandOver"
	KindAccepted     prim.Kind = "Accepted"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quota")

// leaseRequest requests leases for several customers from an owner of slots.
type leaseRequest struct {
	_        struct{} `cbor:",toarray"`
	Instance prim.Instance
	// Sequence increases with every request of an instance. An owner ignores a
	// request that is not newer than the last one it received for the customer.
	Sequence uint64
	Service  prim.Service
	Items    []leaseRequestItem
}

// leaseRequestItem is the part of a leaseRequest for one customer.
type leaseRequestItem struct {
	_         struct{} `cbor:",toarray"`
	Customer  prim.Customer
	WantRate  float32
	WantBurst float32
	// HeldRate and HeldBurst are the lease that the sender has in use. From now
	// on the sender ignores responses to earlier requests, so the owner need
	// not reserve more than this for them.
	HeldRate  float32
	HeldBurst float32
}

// leaseResponse is the response to a leaseRequest.
type leaseResponse struct {
	_        struct{} `cbor:",toarray"`
	Instance prim.Instance
	// Slots is the number of slots from which the owner can grant leases.
	Slots int
	// Items are parallel to those of the request.
	Items []leaseResponseItem
}

// leaseResponseItem replaces the lease that the requester had from this owner.
type leaseResponseItem struct {
	_     struct{} `cbor:",toarray"`
	Rate  float32
	Burst float32
	// Tokens were taken out of the owner's pool; the requester adds them to its
	// bucket.
	Tokens float32
}

// handOverRequest moves slots to the receiver. If Instance is zero, it only asks
// whether the receiver would accept them.
type handOverRequest struct {
	_        struct{}      `cbor:",toarray"`
	Instance prim.Instance // of the receiver
	Service  prim.Service
	Slots    []slot
}

// handOverResponse is the response to a handOverRequest.
type handOverResponse struct {
	_        struct{} `cbor:",toarray"`
	Accepted bool
	Instance prim.Instance // of the receiver
}

// maxBatchItems is the largest number of customers in one message. Further
// customers follow in later messages.
const maxBatchItems = 500

// decMode limits the memory that a message of a peer can make this node allocate.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * maxBatchItems, MaxNestedLevels: 5}.DecMode()
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
	if err := decMode.Unmarshal(m.Body, body); err != nil {
		return Error.New("decode %s: %w; check that both nodes run compatible versions", k, err)
	}
	return nil
}

// roundDown converts a non-negative amount, rounding towards zero, so that the
// receiver never gets more than the sender subtracts. It returns 0 for a
// negative amount.
func roundDown(x float64) float32 {
	f := float32(max(x, 0))
	if float64(f) > x {
		f = math.Nextafter32(f, 0)
	}
	return max(f, 0)
}

// validAmount reports whether an amount received from a peer is in the supported
// range. It is false for NaN.
func validAmount(x float32) bool { return x >= 0 && x < maxBurstUnits }
