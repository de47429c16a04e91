package prim

import (
	"net/netip"
	"time"
)

// This file defines the documents that the platform publishes: two lists that
// operators maintain (Plans, Allowances), their switches (DataCentres) and the
// platform's host list (Hosts). Their JSON fields have the names of the Go
// fields.

// The names of the documents.
const (
	NamePlans       = "Plans"
	NameAllowances  = "Allowances"
	NameDataCentres = "DataCentres"
	NameHosts       = "Hosts"
)

// DocumentNames lists every document, in a fixed order.
var DocumentNames = [...]string{NamePlans, NameAllowances, NameDataCentres, NameHosts}

// MaxDocumentBytes is the size of the largest value that the platform stores, in
// bytes.
const MaxDocumentBytes = 1 << 20

// Digest identifies one version of a document without its body.
type Digest struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Hash is the XXH3 hash of the body.
	Hash uint64 `cbor:"3,keyasint"`
	// Issued is when this version was last known to be current, by the
	// platform's clock.
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

// CustomerEntry assigns a plan and credentials to a customer.
type CustomerEntry struct {
	Name Customer
	Plan string
	// Credentials are the SHA-256 hashes, in hex, of the bearer tokens that
	// identify the customer. The tokens themselves are never published.
	Credentials []string
	// Internal is set for the operator's own applications, which may use
	// internal routes.
	Internal bool `json:",omitempty"`
}

// Allowances is the operators' list of the usage limits of each plan and of the
// routes that classify requests.
type Allowances struct {
	Plans  []Plan
	Routes []Route
}

// Plan is a set of allowances. Its customers may not use a service for which it
// has none.
type Plan struct {
	Name       string
	Allowances []Allowance
}

// Allowance limits the requests of one customer to one service: at most
// Rate*T + Burst requests in any interval of T seconds.
type Allowance struct {
	Service Service
	Rate    float64 // requests per second
	Burst   float64 // requests
}

// Route classifies the requests to a service that have this method and a path
// with the prefix Path. If several routes match, the longest Path wins.
type Route struct {
	Service    Service
	Method     string
	Path       string
	Class      Class
	Idempotent bool `json:",omitempty"`
	Internal   bool `json:",omitempty"`
}

// DataCentres is the operators' list of the data centres and hosts that are in
// or out of service.
type DataCentres struct {
	DataCentres []DataCentreEntry
	HostsOut    []HostName `json:",omitempty"`
}

// DataCentreEntry gives the region of a data centre and whether it receives
// requests.
type DataCentreEntry struct {
	Name      DataCentre
	Region    Region
	InService bool
}

// Hosts is the platform's host list. It is published with a delay, so it can be
// out of date.
type Hosts struct {
	Services []ServiceEntry
	Hosts    []Host
}

// ServiceEntry describes a service. Hosts with the same Since as the service are
// those that it started with.
type ServiceEntry struct {
	Name  Service
	Since time.Time
	// Slots is the number of requests that each server processes concurrently.
	Slots int
	// Connections is the number of connections that each server accepts.
	Connections int
}

// HostState is the state of a host as reported by the platform.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
	// HostLost marks a host that was removed. Its entry stays in the list so that
	// its allowance slots and idempotency keys are not reassigned too early.
	HostLost HostState = "Lost"
)

// Host is one entry of the host list.
type Host struct {
	Name       HostName
	DataCentre DataCentre
	Service    Service
	// Address is where the host's node listens for callers and peers.
	Address netip.AddrPort
	State   HostState
	// Since is when the host was first published. A replacement under the same
	// name has a new Since.
	Since time.Time
	// Until is when a lost host was removed; zero for others.
	Until time.Time `json:",omitzero"`
}
