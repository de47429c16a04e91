package gossip

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Status is the state of a node's documents, as reported to operators.
type Status struct {
	Documents []DocumentStatus
	// PlatformError is the error of the last platform read, empty if it succeeded;
	// PlatformErrorAt is the time of the last error.
	PlatformError   string    `json:",omitempty"`
	PlatformErrorAt time.Time `json:",omitzero"`
	// Hosts is the number of hosts from which the read interval is computed, 0 if
	// unknown.
	Hosts int
	// Heard is the number of nodes from which digests were received recently.
	// Isolated is set while it is so small that the node reads the platform more often.
	Heard    int
	Isolated bool
}

// DocumentStatus is the state of one document. Version is 0 if none is in force.
type DocumentStatus struct {
	Name    string
	Version uint64
	Hash    uint64 `json:",string"`
	Issued  time.Time
	// Source is "platform" or the host from which the version in force was fetched;
	// Since is the time at which it was accepted.
	Source string    `json:",omitempty"`
	Since  time.Time `json:",omitzero"`
	Bytes  int
	// Refused is the last refused version. It is kept after a later version is
	// accepted.
	Refused *Refused `json:",omitempty"`
}

// Refused describes a version that failed validation.
type Refused struct {
	Version uint64
	Hash    uint64 `json:",string"`
	Source  string
	Error   string
	At      time.Time
}

// Status returns the state of every document.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		PlatformError:   c.platformError,
		PlatformErrorAt: c.platformErrorAt,
		Hosts:           c.hostCount,
		Heard:           len(c.heardAt),
		Isolated:        c.isolated(now),
	}
	for _, name := range prim.DocumentNames {
		doc := c.documents[name]
		d := DocumentStatus{
			Name: name, Version: doc.Version, Hash: doc.Hash, Issued: doc.Issued,
			Since: doc.acceptedAt, Bytes: len(doc.Body), Refused: doc.lastRefused,
		}
		if doc.Version > 0 {
			d.Source = sourceName(doc.source)
		}
		s.Documents = append(s.Documents, d)
	}
	return s
}
