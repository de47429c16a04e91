// Package once executes requests with an idempotency key at most once, even if
// the caller repeats them through another ingress node with a different version
// of the host list (docs/design.md, section 6.2).
//
// Each key has an ordered list of candidate hosts that every ingress node computes
// identically. The first candidate runs the request or records a tombstone, which
// guarantees that it will never run it. A later candidate may run the request only
// after all earlier candidates have recorded tombstones. Owner keeps the records
// at a host; Caller asks the candidates in order.
//
// Safety depends on the following rules, where c is the creation time of the key
// according to the caller's clock:
//
//   - An owner does not run a key while c is more than KeyMargin in the future.
//     Any key that an instance ran or recorded a tombstone for therefore has
//     c <= start + KeyMargin for the start of every later instance, so a later
//     instance can detect that it may have lost the record.
//   - An owner does not run a key whose c is more than KeyWindow in the past, and
//     it keeps records for longer than KeyWindow.
//   - Two nodes whose host lists were issued within the last KeyWindow compute
//     the same candidates for c; see isCandidate.
//
// A caller that does not send the creation time must not repeat a key later than
// KeyWindow/2 after creating it, because such a repeat cannot be distinguished
// from a new key. The other half of the window covers the duration of the request
// and pauses of owners. A caller that sends the creation time with only some uses
// of a key must not have a clock that is ahead by more than KeyMargin.
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
	// KeyWindow is the maximum age of a key that may still be used, and the
	// maximum age of the host list of a node that processes keys.
	KeyWindow = time.Hour
	// ClockMargin is added to KeyWindow before a membership change takes
	// effect. It covers KeyMargin and the skew between the clocks of the
	// platform's replicas.
	ClockMargin = time.Minute
	// KeyMargin is how far a caller's clock may be ahead of an owner's clock.
	KeyMargin = 2 * time.Second
	// DefaultRecordBytes is the default memory limit for the records of an
	// owner.
	DefaultRecordBytes = 32 << 20
)

// KeyCreationTime returns the creation time of a key. It is the timestamp of a UUIDv7 key
// (RFC 9562) or else attempted, the time of the first attempt that the caller sent
// in RFC 3339 format. The result is zero if neither is valid.
func KeyCreationTime(key, attempted string) time.Time {
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

// keyID identifies a key. Equal keys of different services or customers are
// independent.
type keyID struct {
	Service  prim.Service  `cbor:"1,keyasint"`
	Customer prim.Customer `cbor:"2,keyasint"`
	Key      string        `cbor:"3,keyasint"`
}

func keyIDOf(r *prim.Request) keyID { return keyID{r.Service, r.Customer, r.Key} }

// requestDigest is the SHA-256 hash of the method, path and body of a request.
type requestDigest [sha256.Size]byte

func digestRequest(r *prim.Request) requestDigest {
	h := sha256.New()
	io.WriteString(h, r.Method)
	io.WriteString(h, "\n")
	io.WriteString(h, r.Path)
	io.WriteString(h, "\n")
	h.Write(r.Body)
	return requestDigest(h.Sum(nil))
}

// Causes of requests whose outcome is Unknown.
var (
	errKeyExpired      = errors.New("the idempotency key is older than the key window")
	errUndatedKey      = errors.New("the creation time of the idempotency key is unknown and the hosts of the service changed within the key window; send a UUIDv7 key or Idempotency-Attempted")
	errHostRestarted   = errors.New("the host that may have run the idempotency key was restarted and no record was found")
	errHostRemoved     = errors.New("the host that may have run the idempotency key was removed and no record was found")
	errAnswerTooLong   = errors.New("the request ran and its answer was too long to keep")
	errAnswerLost      = errors.New("the request was handed to the server and its answer was lost")
	errHostListTooOld  = errors.New("the host list is older than the key window; check that the node reaches the configuration service or a peer that does")
	errHostUnreachable = errors.New("the host that may have run the idempotency key cannot be reached")
)
