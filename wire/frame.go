// Package wire defines the frames that nodes exchange. A frame is one binary
// WebSocket message: a 4-byte big-endian length, a CBOR header of that length,
// and the body as raw bytes. Bodies stay outside the CBOR so that they are
// neither scanned nor copied by the codec.
package wire

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
)

// Type says what a frame is.
type Type uint8

// The frame types. See docs/design.md, section 7.
const (
	Dispatch   Type = iota + 1 // run a request
	Reserve                    // hold a slot for a request
	Reserved                   // the slot is held
	Commit                     // run the request in the reserved slot
	Release                    // give the reserved slot back
	Cancel                     // the sender no longer waits
	Answer                     // status, headers and the body or its start
	AnswerPart                 // a further part of a long body
	Credit                     // the receiver can take one more part
	Refusal                    // the request did not run
	Lost                       // the request may have run
	Conflict                   // the idempotency key was used with other content
	Ask                        // a control message that wants a Reply
	Tell                       // a control message without a reply
	Reply                      // the answer to Ask; Text is set on failure
	Load                       // a load sample that nobody asked for
)

// Bounds of a frame in bytes.
const (
	// MaxHeader bounds the CBOR header. HTTP headers are at most
	// prim.MaxHeaderBytes; the rest is for the other fields.
	MaxHeader = 64 << 10
	// MaxBody bounds the body of one frame.
	MaxBody = 1<<20 + 64<<10
	// MaxFrame bounds a whole frame.
	MaxFrame = 4 + MaxHeader + MaxBody

	lengthSize = 4
)

// Header is the CBOR part of a frame. Which fields are set depends on Type.
type Header struct {
	Type Type   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // of the call, chosen by its sender
	// Instance is the instance that the sender means; another one refuses.
	Instance prim.Instance `cbor:"3,keyasint,omitempty"`
	// Remaining is the time left for the call, so that clocks of two hosts
	// are never compared.
	Remaining time.Duration `cbor:"4,keyasint,omitempty"`
	Service   prim.Service  `cbor:"5,keyasint,omitempty"`
	Customer  prim.Customer `cbor:"6,keyasint,omitempty"`
	Class     prim.Class    `cbor:"7,keyasint,omitempty"`
	Method    string        `cbor:"8,keyasint,omitempty"`
	Path      string        `cbor:"9,keyasint,omitempty"`
	// HTTP holds the names and values of the HTTP headers in turn. A list is
	// several times cheaper to encode than a map.
	HTTP       []string `cbor:"10,keyasint,omitempty"`
	Idempotent bool     `cbor:"11,keyasint,omitempty"`
	Internal   bool     `cbor:"12,keyasint,omitempty"`
	Key        string   `cbor:"13,keyasint,omitempty"`
	// KeyCreated is in milliseconds since the Unix epoch; zero if unknown.
	KeyCreated int64         `cbor:"14,keyasint,omitempty"`
	Lookup     bool          `cbor:"15,keyasint,omitempty"`
	Ticket     uint64        `cbor:"16,keyasint,omitempty"` // of a reservation
	Status     int           `cbor:"17,keyasint,omitempty"`
	Reason     prim.Reason   `cbor:"18,keyasint,omitempty"`
	Sample     *prim.Sample  `cbor:"19,keyasint,omitempty"`
	Text       string        `cbor:"20,keyasint,omitempty"`
	Reset      bool          `cbor:"21,keyasint,omitempty"`
	More       bool          `cbor:"22,keyasint,omitempty"` // parts follow
	Kind       prim.Kind     `cbor:"23,keyasint,omitempty"` // of a control message
	Served     time.Duration `cbor:"24,keyasint,omitempty"`
	// Host is the host that a refusal is about, if not the sender.
	Host      prim.HostName `cbor:"25,keyasint,omitempty"`
	CallerID  string        `cbor:"26,keyasint,omitempty"`
	Authority string        `cbor:"27,keyasint,omitempty"`
	Origin    prim.Service  `cbor:"28,keyasint,omitempty"`
	Priority  int           `cbor:"29,keyasint,omitempty"`
	// Objective is the time left until the request's objective; 0 means none.
	Objective time.Duration `cbor:"30,keyasint,omitempty"`
	Patience  time.Duration `cbor:"31,keyasint,omitempty"`
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration `cbor:"32,keyasint,omitempty"`
	// Reoffered is set when an owner has refused the request before.
	Reoffered bool `cbor:"33,keyasint,omitempty"`
}

// Malformed is the error of a frame that can't be read. The link it came from
// has to be closed, since frame boundaries can no longer be trusted.
type Malformed struct {
	Problem string
	Cause   error
}

// Error names the problem and the remedy.
func (m *Malformed) Error() string {
	return fmt.Sprintf("malformed frame: %s: %v; check that both nodes run compatible versions", m.Problem, m.Cause)
}

// Unwrap returns the cause.
func (m *Malformed) Unwrap() error { return m.Cause }

var (
	encoding cbor.EncMode
	decoding cbor.DecMode
)

func init() {
	var err error
	encoding, err = cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	decoding, err = cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1024,
		MaxMapPairs:      1024,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Append appends the frame to b and returns the extended slice.
func Append(b []byte, h *Header, body []byte) ([]byte, error) {
	head, err := encoding.Marshal(h)
	if err != nil {
		return b, &Malformed{Problem: "header can't be encoded", Cause: err}
	}
	if len(head) > MaxHeader || len(body) > MaxBody {
		return b, &Malformed{
			Problem: "frame too large",
			Cause:   fmt.Errorf("header %d of %d bytes, body %d of %d", len(head), MaxHeader, len(body), MaxBody),
		}
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(head)))
	b = append(b, head...)
	return append(b, body...), nil
}

// Split reads the frame in message. The body shares the memory of message.
func Split(message []byte) (Header, []byte, error) {
	var h Header
	if len(message) < lengthSize {
		return h, nil, &Malformed{Problem: "truncated", Cause: fmt.Errorf("%d bytes", len(message))}
	}
	n := int(binary.BigEndian.Uint32(message))
	if n > MaxHeader || n > len(message)-lengthSize {
		return h, nil, &Malformed{
			Problem: "header length out of range",
			Cause:   fmt.Errorf("%d bytes announced, %d there, %d allowed", n, len(message)-lengthSize, MaxHeader),
		}
	}
	body := message[lengthSize+n:]
	if len(body) > MaxBody {
		return h, nil, &Malformed{Problem: "body too large", Cause: fmt.Errorf("%d of %d bytes", len(body), MaxBody)}
	}
	if err := decoding.Unmarshal(message[lengthSize:lengthSize+n], &h); err != nil {
		return h, nil, &Malformed{Problem: "header can't be decoded", Cause: err}
	}
	if h.Type < Dispatch || h.Type > Load {
		return h, nil, &Malformed{Problem: "unknown type", Cause: fmt.Errorf("type %d", h.Type)}
	}
	return h, body, nil
}
