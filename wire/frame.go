// Package wire defines the frames that nodes exchange. A frame is one binary
// WebSocket message: a 4-byte big-endian length, a CBOR header of that length,
// and the body as raw bytes. The body is not part of the CBOR, so the codec
// neither scans nor copies it.
package wire

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
)

// Type is the type of a frame.
type Type uint8

// The frame types. See docs/design.md, section 7.
const (
	Dispatch   Type = iota + 1 // run a request
	Reserve                    // reserve a slot for a request
	Reserved                   // the slot is reserved; Ticket identifies it
	Commit                     // run the request in the reserved slot
	Release                    // release the reserved slot
	Cancel                     // the sender no longer waits for the call
	Answer                     // status, headers and all or the start of the body
	AnswerPart                 // the next part of a long body
	Credit                     // allows the sender of a long body one more part, in both directions
	Refusal                    // the request did not run
	Lost                       // the request may have run
	Conflict                   // the idempotency key was used with different content
	Ask                        // a control message that expects a Reply
	Tell                       // a control message without a reply
	Reply                      // the response to Ask; Text is set if it failed
	LoadSample                 // a load sample that was not requested
	BodyPart                   // the next part of a long body of a request
)

// Maximum sizes of a frame and its parts.
const (
	// MaxHeaderBytes is the maximum size of the CBOR header. HTTP headers take
	// at most prim.MaxHeaderBytes of it; the rest is for the other fields.
	MaxHeaderBytes = 64 << 10
	// MaxBodyBytes is the maximum size of the body of one frame.
	MaxBodyBytes = 1<<20 + 64<<10
	// MaxFrameBytes is the maximum size of a whole frame.
	MaxFrameBytes = 4 + MaxHeaderBytes + MaxBodyBytes

	// lengthPrefixBytes is the size of the header length.
	lengthPrefixBytes = 4
)

// Header is the CBOR part of a frame. Which fields are set depends on Type.
type Header struct {
	Type Type   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // identifies the call; chosen by the caller
	// Instance is the instance that the frame is meant for; another one refuses
	// it.
	Instance prim.Instance `cbor:"3,keyasint,omitempty"`
	// Remaining is the time left for the call. It is a duration so that the
	// clocks of two hosts are never compared.
	Remaining time.Duration `cbor:"4,keyasint,omitempty"`
	Service   prim.Service  `cbor:"5,keyasint,omitempty"`
	Customer  prim.Customer `cbor:"6,keyasint,omitempty"`
	Class     prim.Class    `cbor:"7,keyasint,omitempty"`
	Method    string        `cbor:"8,keyasint,omitempty"`
	Path      string        `cbor:"9,keyasint,omitempty"`
	// HTTPFields holds the HTTP headers as alternating names and values. A list
	// is several times cheaper to encode than a map.
	HTTPFields []string `cbor:"10,keyasint,omitempty"`
	Idempotent bool     `cbor:"11,keyasint,omitempty"`
	Internal   bool     `cbor:"12,keyasint,omitempty"`
	Key        string   `cbor:"13,keyasint,omitempty"`
	// KeyCreated is when Key was first used, in milliseconds since the Unix
	// epoch; zero if unknown.
	KeyCreated  int64            `cbor:"14,keyasint,omitempty"`
	Lookup      bool             `cbor:"15,keyasint,omitempty"`
	Ticket      uint64           `cbor:"16,keyasint,omitempty"` // identifies a reservation on its link
	Status      int              `cbor:"17,keyasint,omitempty"`
	Reason      prim.Reason      `cbor:"18,keyasint,omitempty"`
	Sample      *prim.LoadSample `cbor:"19,keyasint,omitempty"`
	Text        string           `cbor:"20,keyasint,omitempty"`
	Reset       bool             `cbor:"21,keyasint,omitempty"`
	More        bool             `cbor:"22,keyasint,omitempty"` // parts follow
	Kind        prim.Kind        `cbor:"23,keyasint,omitempty"` // of a control message
	ServiceTime time.Duration    `cbor:"24,keyasint,omitempty"`
	// Host is the host that a refusal is about if it is not the sender.
	Host      prim.HostName `cbor:"25,keyasint,omitempty"`
	CallerID  string        `cbor:"26,keyasint,omitempty"`
	Authority string        `cbor:"27,keyasint,omitempty"`
	Origin    prim.Service  `cbor:"28,keyasint,omitempty"`
	Priority  int           `cbor:"29,keyasint,omitempty"`
	// Objective is the time left until the request's objective; 0 means none.
	Objective    time.Duration `cbor:"30,keyasint,omitempty"`
	MaxQueueTime time.Duration `cbor:"31,keyasint,omitempty"`
	// RetryAfter is only set in a Refusal.
	RetryAfter time.Duration `cbor:"32,keyasint,omitempty"`
	// PreviouslyRefused is set if an owner has already refused the request.
	PreviouslyRefused bool `cbor:"33,keyasint,omitempty"`
	// BodyBytes is the length of the body; Append sets it. Peers of earlier versions
	// send 0. A WebSocket message that is sent in parts seems complete if its connection
	// ends between two of them.
	BodyBytes int `cbor:"34,keyasint,omitempty"`
	// TimedOut is set in a Lost that is due to a deadline.
	TimedOut bool `cbor:"35,keyasint,omitempty"`
	// BodyTotal is set in a Dispatch whose body follows in BodyPart frames: its length.
	BodyTotal int `cbor:"36,keyasint,omitempty"`
	// OwnerTime is the time from the arrival of a request until this frame ends its call; 0
	// from nodes of earlier versions. The other node derives the delay between the two.
	OwnerTime time.Duration `cbor:"37,keyasint,omitempty"`
}

// FrameError reports a frame that can't be encoded or decoded, or that violates
// the protocol. The link that a bad frame was received on has to be closed, since
// frame boundaries can no longer be trusted.
type FrameError struct {
	Problem string
	Cause   error
}

// Error names the problem and the remedy.
func (e *FrameError) Error() string {
	return fmt.Sprintf("malformed frame: %s: %v; check that both nodes run compatible versions", e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

func init() {
	var err error
	encMode, err = cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	decMode, err = cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: MaxHeaderBytes, // each element takes at least one byte
		MaxMapPairs:      1024,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		// HTTP header values and paths may have any bytes (RFC 9110, section 5.5).
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Append appends the encoded frame to b and returns the extended slice. It sets
// h.BodyBytes.
func Append(b []byte, h *Header, body []byte) ([]byte, error) {
	h.BodyBytes = len(body)
	header, err := encMode.Marshal(h)
	if err != nil {
		return b, &FrameError{Problem: "header can't be encoded", Cause: err}
	}
	if len(header) > MaxHeaderBytes || len(body) > MaxBodyBytes {
		return b, &FrameError{
			Problem: "frame too large",
			Cause:   fmt.Errorf("header %d of %d bytes, body %d of %d", len(header), MaxHeaderBytes, len(body), MaxBodyBytes),
		}
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(header)))
	b = append(b, header...)
	return append(b, body...), nil
}

// Split decodes the frame in message into its header and body. The body shares
// the memory of message.
func Split(message []byte) (Header, []byte, error) {
	var h Header
	if len(message) < lengthPrefixBytes {
		return h, nil, &FrameError{Problem: "truncated", Cause: fmt.Errorf("%d bytes", len(message))}
	}
	n := int(binary.BigEndian.Uint32(message))
	if n > MaxHeaderBytes || n > len(message)-lengthPrefixBytes {
		return h, nil, &FrameError{
			Problem: "header length out of range",
			Cause:   fmt.Errorf("%d bytes announced, %d received, %d allowed", n, len(message)-lengthPrefixBytes, MaxHeaderBytes),
		}
	}
	body := message[lengthPrefixBytes+n:]
	if len(body) > MaxBodyBytes {
		return h, nil, &FrameError{Problem: "body too large", Cause: fmt.Errorf("%d of %d bytes", len(body), MaxBodyBytes)}
	}
	if err := decMode.Unmarshal(message[lengthPrefixBytes:lengthPrefixBytes+n], &h); err != nil {
		return h, nil, &FrameError{Problem: "header can't be decoded", Cause: err}
	}
	if h.BodyBytes != 0 && h.BodyBytes != len(body) {
		return h, nil, &FrameError{Problem: "truncated body", Cause: fmt.Errorf("%d of %d bytes", len(body), h.BodyBytes)}
	}
	if h.Type < Dispatch || h.Type > BodyPart {
		return h, nil, &FrameError{Problem: "unknown type", Cause: fmt.Errorf("type %d", h.Type)}
	}
	return h, body, nil
}
