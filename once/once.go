// Package once makes requests with an idempotency key run at most once, also
// when the caller repeats them through another ingress node that sees another
// version of the host list (section 6.2 of the design page).
//
// The candidates of a key are hosts in an order that every ingress node computes
// alike. The first candidate runs the request or leaves a tombstone, a promise
// never to run it; the next one may run it only with the tombstones of all
// earlier ones. Owner keeps the records at a host, Walker asks the candidates.
//
// The argument rests on these rules, in which c is the creation time of the key,
// a time on the caller's clock:
//
//   - No owner runs a key while c is more than KeyMargin in its future. So a
//     key that an instance ran or promised not to run has c <= start of every
//     later instance + KeyMargin, and a later instance knows that it may have
//     forgotten the key.
//   - No owner runs a key when c is longer than KeyWindow ago, and it keeps
//     records for longer than that.
//   - Two nodes whose host lists were issued within the last KeyWindow compute
//     the same candidates of c, see counts.
//
// A caller that does not tell the creation time must not repeat a key later than
// half of KeyWindow after it made the key: nobody can tell such a repeat from a
// new key. The other half allows for the time that a request takes and for pauses
// of owners. A caller that tells it on some uses only must not have a clock that
// is ahead by more than KeyMargin.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

const (
	// KeyWindow is how long after its creation a key may be used, and how old
	// the host list of a node that uses keys may be.
	KeyWindow = time.Hour
	// ClockMargin is the margin of membership. It covers KeyMargin and skew
	// between the clocks of the platform's replicas.
	ClockMargin = time.Minute
	// KeyMargin is how far a caller's clock may be ahead of an owner's.
	KeyMargin = 2 * time.Second
	// MaxBytes bounds the records of an owner.
	MaxBytes = 32 << 20
)

// Created returns the creation time of a key: that of a UUIDv7 (RFC 9562) or
// else the time of the first attempt that the caller sent in RFC 3339 format.
// It is zero when neither tells it.
func Created(key, attempted string) time.Time {
	if b, err := hex.DecodeString(strings.ReplaceAll(key, "-", "")); err == nil && len(b) == 16 && b[6]>>4 == 7 && b[8]>>6 == 2 {
		var ms int64
		for _, v := range b[:6] {
			ms = ms<<8 | int64(v)
		}
		return time.UnixMilli(ms)
	}
	if t, err := time.Parse(time.RFC3339, attempted); err == nil {
		return t
	}
	return time.Time{}
}

// id tells keys apart: those of different customers have nothing in common.
type id struct {
	Service  prim.Service  `cbor:"1,keyasint"`
	Customer prim.Customer `cbor:"2,keyasint"`
	Key      string        `cbor:"3,keyasint"`
}

func idOf(r *prim.Request) id { return id{r.Service, r.Customer, r.Key} }

// digest is the hash of what a request asks for.
type digest [sha256.Size]byte

func digestOf(r *prim.Request) digest {
	h := sha256.New()
	io.WriteString(h, r.Method)
	io.WriteString(h, "\n")
	io.WriteString(h, r.Path)
	io.WriteString(h, "\n")
	h.Write(r.Body)
	return digest(h.Sum(nil))
}

// Causes of requests that end as Unknown.
var (
	errOld       = errors.New("the idempotency key is older than the key window")
	errUndated   = errors.New("the creation time of the idempotency key is unknown and the hosts of the service changed within the key window; send a UUIDv7 key or Idempotency-Attempted")
	errForgotten = errors.New("the host that may have run the idempotency key was restarted and no record was found")
	errGone      = errors.New("the host that may have run the idempotency key was removed and no record was found")
	errNotKept   = errors.New("the request ran and its answer was too long to keep")
	errLost      = errors.New("the request was handed to the server and its answer was lost")
	errStale     = errors.New("the host list is older than the key window; check that the node reaches the configuration service or a peer that does")
	errSilent    = errors.New("the host that may have run the idempotency key cannot be reached")
)
