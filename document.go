package prim

import (
	"net/netip"
	"time"
)

// This file defines the documents that the platform publishes. Two are the
// operators' lists (Plans, Allowances), one holds their switches (DataCentres),
// and one is the platform's host list (Hosts). Their JSON fields are named as
// the Go fields.

// The names of the documents.
const (
	NamePlans       = "Plans"
	NameAllowances  = "Allowances"
	NameDataCentres = "DataCentres"
	NameHosts       = "Hosts"
)

// DocumentNames lists every document, in a fixed order.
var DocumentNames = [...]string{NamePlans, NameAllowances, NameDataCentres, NameHosts}

// MaxDocument is the largest value that the platform holds, in bytes.
const MaxDocument = 1 << 20

// Digest tells one version of a document without its body.
type Digest struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Hash is the XXH3 hash of the body.
	Hash uint64 `cbor:"3,keyasint"`
	// Issued is the time on the platform's clock at which this version was
	// last known to be current.
	Issued time.Time `cbor:"4,keyasint"`
}

// Document is one version of a published document.
type Document struct {
	Digest
	Body []byte `cbor:"5,keyasint"` // JSON
}

// Plans is the operators' list of customers.
type Plans struct {
	Customers []CustomerEntry
}

// CustomerEntry gives a customer its plan and its credentials.
type CustomerEntry struct {
	Name Customer
	Plan string
	// Credentials are the SHA-256 hashes, in hex, of the bearer tokens that
	// identify the customer. The tokens themselves are never published.
	Credentials []string
	// Internal marks the operator's own applications, which may use internal
	// routes.
	Internal bool `json:",omitempty"`
}

// Allowances is the operators' list of what each plan may use, and of the
// routes by which requests are classified.
type Allowances struct {
	Plans  []Plan
	Routes []Route
}

// Plan is a set of allowances. A service that it does not name may not be used.
type Plan struct {
	Name       string
	Allowances []Allowance
}

// Allowance bounds what one customer may use of one service: in any interval
// of T seconds at most Rate*T + Burst requests.
type Allowance struct {
	Service Service
	Rate    float64 // requests per second
	Burst   float64 // requests
}

// Route classifies the requests to a service whose method is equal and whose
// path starts with Path. The longest Path wins.
type Route struct {
	Service    Service
	Method     string
	Path       string
	Class      Class
	Idempotent bool `json:",omitempty"`
	Internal   bool `json:",omitempty"`
}

// DataCentres holds the operators' switches.
type DataCentres struct {
	DataCentres []DataCentreEntry
	HostsOut    []HostName `json:",omitempty"`
}

// DataCentreEntry says where a data centre is and whether it takes requests.
type DataCentreEntry struct {
	Name      DataCentre
	Region    Region
	InService bool
}

// Hosts is the platform's host list. It lags.
type Hosts struct {
	Services []ServiceEntry
	Hosts    []Host
}

// ServiceEntry describes a service. Hosts whose Since equals the service's
// are its founding hosts.
type ServiceEntry struct {
	Name  Service
	Since time.Time
	// Slots is the number of requests that each server works on at once.
	Slots int
	// Connections is the number of connections that each server accepts.
	Connections int
}

// HostState is the platform's view of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
	// HostLost entries were removed; they stay in the list so that allowance slots
	// and idempotency keys of theirs are not given to others too early.
	HostLost HostState = "Lost"
)

// Host is one entry of the host list.
type Host struct {
	Name       HostName
	DataCentre DataCentre
	Service    Service
	// Address is where the host's node accepts callers and peers.
	Address netip.AddrPort
	State   HostState
	// Since is when the host was published. A host that is replaced under
	// the same name gets a new Since.
	Since time.Time
	// Until is when a lost host was removed; zero for others.
	Until time.Time `json:",omitzero"`
}
