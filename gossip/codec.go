package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	prim "github.com/primrosethread/primrosethread"
)

// This file defines the encoding of message bodies between nodes. Most messages are
// digests, so entries are encoded as arrays without field names, and Issued is
// truncated to whole seconds, which takes 5 bytes. Truncation makes a document
// appear up to one second older than it is, which is the safe direction.

// Message kinds of this package.
const (
	KindDigest   prim.Kind = "Digest"
	KindPull     prim.Kind = "Pull"
	KindDocument prim.Kind = "Document"
)

// FrameOverhead is the number of bytes charged for each message in addition to its
// body: TCP and IP headers with timestamps (52), the WebSocket header (8) and the
// frame header (20).
const FrameOverhead = 80

// maxDigestBytes is the largest digest message accepted. The digests of the four
// documents take about 120 bytes.
const maxDigestBytes = 8 << 10

// Error is the class of all errors returned by this package.
var Error = errs.Class("gossip")

type digestEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Hash    uint64
	Issued  int64 // Unix seconds
}

type digestMessage struct {
	_ struct{} `cbor:",toarray"`
	// Full is set when Entries lists every document that the sender holds. A
	// document missing from the list is then one that the sender needs.
	Full    bool
	Entries []digestEntry
}

type pullMessage struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Have is the version that the sender holds, 0 if none.
	Have uint64
}

type documentMessage struct {
	_     struct{} `cbor:",toarray"`
	Entry digestEntry
	Body  []byte
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 256, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// encode panics on failure; the message types of this file always encode.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func newDigestEntry(d prim.Digest) digestEntry {
	return digestEntry{Name: d.Name, Version: d.Version, Hash: d.Hash, Issued: d.Issued.Unix()}
}

func (e digestEntry) digest() prim.Digest {
	return prim.Digest{Name: e.Name, Version: e.Version, Hash: e.Hash, Issued: time.Unix(e.Issued, 0).UTC()}
}

func encodeDigests(full bool, digests []prim.Digest) []byte {
	message := digestMessage{Full: full, Entries: make([]digestEntry, 0, len(digests))}
	for _, d := range digests {
		message.Entries = append(message.Entries, newDigestEntry(d))
	}
	return encode(message)
}

func decodeDigests(b []byte) (full bool, digests []prim.Digest, err error) {
	if len(b) > maxDigestBytes {
		return false, nil, Error.New("digest of %d bytes is longer than %d; check the sender's version", len(b), maxDigestBytes)
	}
	var message digestMessage
	if err := decoder.Unmarshal(b, &message); err != nil {
		return false, nil, Error.New("digest is not valid CBOR: %v; check the sender's version", err)
	}
	for _, e := range message.Entries {
		digests = append(digests, e.digest())
	}
	return message.Full, digests, nil
}
