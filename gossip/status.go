package gossip

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Status is what a node reports about its documents.
type Status struct {
	Documents []DocumentStatus
	// PlatformError is the error of the last read of the platform, empty when it
	// succeeded; PlatformErrorAt is the time of the last error.
	PlatformError   string    `json:",omitempty"`
	PlatformErrorAt time.Time `json:",omitzero"`
	// Hosts is the number of hosts that the read rate counts, 0 if unknown.
	Hosts int
	// Heard is the number of peers heard lately. Isolated is set when it is so
	// small that the node reads the platform more often.
	Heard    int
	Isolated bool
}

// DocumentStatus describes one document. Version is 0 if none is in force.
type DocumentStatus struct {
	Name    string
	Version uint64
	Hash    uint64 `json:",string"`
	Issued  time.Time
	// Source is "platform" or the host that the version in force came from, and
	// Since is when it was accepted.
	Source string    `json:",omitempty"`
	Since  time.Time `json:",omitzero"`
	Bytes  int
	// Refused is the last refused version, kept after a valid one followed.
	Refused *Refused `json:",omitempty"`
}

// Refused describes a version that failed its check.
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
		Hosts:           c.hosts,
		Heard:           len(c.heard),
		Isolated:        c.isolated(now),
	}
	for _, n := range prim.DocumentNames {
		h := c.docs[n]
		d := DocumentStatus{
			Name: n, Version: h.Version, Hash: h.Hash, Issued: h.Issued,
			Since: h.since, Bytes: len(h.Body), Refused: h.lastRefused,
		}
		if h.Version > 0 {
			d.Source = sourceName(h.source)
		}
		s.Documents = append(s.Documents, d)
	}
	return s
}
