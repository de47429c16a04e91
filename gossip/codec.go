package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	prim "github.com/primrosethread/primrosethread"
)

// This file defines the bodies of the messages between nodes. Digests are the
// bulk of the messages, so entries are arrays without field names, and Issued is
// cut to whole seconds, which takes 5 bytes. Cutting makes a document look up to
// one second older than it is, which is the safe direction.

// The kinds of messages of this package.
const (
	KindDigest   prim.Kind = "Digest"
	KindPull     prim.Kind = "Pull"
	KindDocument prim.Kind = "Document"
)

// FrameOverhead is charged for each message besides its body, in bytes: TCP and
// IP headers with timestamps (52), the WebSocket header (8), the frame header (20).
const FrameOverhead = 80

// maxDigest bounds a received digest message. The four documents take about 120
// bytes.
const maxDigest = 8 << 10

// Error is the class of every error of this package.
var Error = errs.Class("gossip")

type entry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Hash    uint64
	Issued  int64 // Unix seconds
}

type digestMessage struct {
	_ struct{} `cbor:",toarray"`
	// Full is set when the entries are everything that the sender holds, so that
	// a missing document means that the sender needs it.
	Full    bool
	Entries []entry
}

type pullMessage struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Have is the version that the sender holds.
	Have uint64
}

type documentMessage struct {
	_     struct{} `cbor:",toarray"`
	Entry entry
	Body  []byte
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 256, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// encode never fails for the types of this file.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func toEntry(d prim.Digest) entry {
	return entry{Name: d.Name, Version: d.Version, Hash: d.Hash, Issued: d.Issued.Unix()}
}

func (e entry) digest() prim.Digest {
	return prim.Digest{Name: e.Name, Version: e.Version, Hash: e.Hash, Issued: time.Unix(e.Issued, 0).UTC()}
}

func encodeDigests(full bool, ds []prim.Digest) []byte {
	m := digestMessage{Full: full, Entries: make([]entry, 0, len(ds))}
	for _, d := range ds {
		m.Entries = append(m.Entries, toEntry(d))
	}
	return encode(m)
}

func decodeDigests(b []byte) (full bool, ds []prim.Digest, err error) {
	if len(b) > maxDigest {
		return false, nil, Error.New("digest of %d bytes is longer than %d; check the sender's version", len(b), maxDigest)
	}
	var m digestMessage
	if err := decoder.Unmarshal(b, &m); err != nil {
		return false, nil, Error.New("digest is not valid CBOR: %v; check the sender's version", err)
	}
	for _, e := range m.Entries {
		ds = append(ds, e.digest())
	}
	return m.Full, ds, nil
}
