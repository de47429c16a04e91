package gossip

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Defaults of the configuration.
const (
	DefaultFanout = 3
	DefaultPeriod = time.Second
	// DefaultDigestRate and DefaultBodyRate are this package's part of the 23 KB/s
	// that a node may use for control: 3 KB/s for digests sent, 10 KB/s for
	// bodies sent and received.
	DefaultDigestRate = 3 << 10
	DefaultBodyRate   = 10 << 10
	// DefaultBodyBurst lets a node receive and pass on each document once without
	// waiting, for documents of up to 256 KB.
	DefaultBodyBurst    = 4 * prim.MaxDocument
	DefaultFetchTimeout = 2 * time.Second
)

// Config configures a Core or a Node. Zero values of the optional fields mean
// the defaults.
type Config struct {
	// Self and DataCentre are this node's host and data centre.
	Self       prim.HostName
	DataCentre prim.DataCentre
	// Seeds are asked for documents while the host list is unknown and while no
	// peer is heard. The transport must reach them without the host list.
	Seeds []prim.HostName
	// Parse checks the body of d and returns the documents in current with d put
	// in place of its predecessor. It must not change current, and Digests of
	// the result are ignored. An error or a panic refuses d. It may depend on
	// the other documents: a refused document is checked again when one of them
	// changes.
	Parse func(d prim.Document, current *prim.View) (*prim.View, error)

	// Transport and Platform are used by Node only.
	Transport prim.Transport
	Platform  prim.Platform
	// Log receives refused documents and platform errors; nil discards them.
	Log *slog.Logger

	// Fanout is the number of peers told in each Period and after each change.
	Fanout int
	Period time.Duration
	// FleetReads is the expected total of platform reads a second of all nodes.
	FleetReads float64
	// DigestRate bounds digests sent, in bytes a second.
	DigestRate float64
	// BodyRate and BodyBurst bound the bodies sent and received, in bytes a
	// second and bytes. Half of each is shared and half divided equally among the
	// documents, so that a large host list cannot delay a data centre's switch.
	BodyRate  float64
	BodyBurst int
	// FetchTimeout bounds one attempt to get a body or the index.
	FetchTimeout time.Duration
	// Rand is the source of all random choices; nil means a random seed.
	Rand *rand.Rand
}

func (c Config) withDefaults() (Config, error) {
	if c.Parse == nil {
		return c, Error.New("Config.Parse is missing; set the function that checks documents")
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
