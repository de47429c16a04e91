package gossip

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Defaults for the fields of Config.
const (
	DefaultFanout = 3
	DefaultPeriod = time.Second
	// DefaultDigestRate and DefaultBodyRate are this package's share of the 23 KB/s
	// that a node may use for control traffic: 3 KB/s for digests sent and 10 KB/s
	// for bodies sent and received.
	DefaultDigestRate = 3 << 10
	DefaultBodyRate   = 10 << 10
	// DefaultBodyBurst lets a node receive each document once and forward it once
	// without waiting, for documents of up to 256 KB.
	DefaultBodyBurst    = 4 * prim.MaxDocumentBytes
	DefaultFetchTimeout = 2 * time.Second
)

// Config configures a Core or a Node. Optional fields with a zero value use the
// defaults.
type Config struct {
	// Self and DataCentre identify this node's host and data centre.
	Self       prim.HostName
	DataCentre prim.DataCentre
	// Seeds receive this node's digests while the host list is unknown and while
	// no peer is heard from; they answer with the digests that are newer there. The
	// transport must reach them without the host list.
	Seeds []prim.HostName
	// Parse validates the body of d and returns a copy of current in which d
	// replaces its previous version. It must not modify current, and the Digests
	// of the result are ignored. If it returns an error or panics, d is refused.
	// The result may depend on the other documents: a refused document is
	// validated again when one of them changes.
	Parse func(d prim.Document, current *prim.View) (*prim.View, error)

	// Transport and Platform are used by Node only.
	Transport prim.Transport
	Platform  prim.Platform
	// Log receives messages about refused documents and platform errors; nil
	// discards them.
	Log *slog.Logger

	// Fanout is the number of peers that receive a digest in each Period and after
	// each change.
	Fanout int
	Period time.Duration
	// FleetReads is the maximum of the expected platform reads per second of all
	// nodes together.
	FleetReads float64
	// DigestRate limits the digests sent, in bytes per second.
	DigestRate float64
	// BodyRate and BodyBurst limit the bodies sent and received, in bytes per
	// second and in bytes. Half of each is shared and half is divided equally among
	// the documents, so that a large host list cannot delay a change to a data
	// centre.
	BodyRate  float64
	BodyBurst int
	// FetchTimeout is the timeout of one attempt to fetch a body or the index.
	FetchTimeout time.Duration
	// Rand is the source of randomness; nil selects a source with a random seed.
	Rand *rand.Rand
}

func (c Config) withDefaults() (Config, error) {
	if c.Parse == nil {
		return c, Error.New("Config.Parse is nil; set the function that validates documents")
	}
	if c.Self == "" {
		return c, Error.New("Config.Self is empty; set the name of this host")
	}
	setDefault(&c.Fanout, DefaultFanout)
	setDefault(&c.Period, DefaultPeriod)
	setDefault(&c.FleetReads, DefaultFleetReads)
	setDefault(&c.DigestRate, DefaultDigestRate)
	setDefault(&c.BodyRate, DefaultBodyRate)
	setDefault(&c.BodyBurst, DefaultBodyBurst)
	setDefault(&c.FetchTimeout, DefaultFetchTimeout)
	c.Seeds = slices.DeleteFunc(slices.Clone(c.Seeds), func(h prim.HostName) bool { return h == c.Self })
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
