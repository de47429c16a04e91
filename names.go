// Package prim defines the types and interfaces shared by the packages of
// primrosethread. The other packages implement the interfaces; only packages node
// and mesh and the commands know which implementations are in use.
package prim

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
)

// HostName is the name of a host in the published host list. A host runs one
// server and one node.
type HostName string

// DataCentre is the name of a failure domain whose hosts have cheap links to
// each other.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// Service is the name of a set of interchangeable servers.
type Service string

// Customer is the name of the party on whose behalf calls are made and to which
// they are accounted.
type Customer string

// Class is the name of a kind of requests, used in metrics, for example
// "SlotCheck".
type Class string

// Instance identifies one run of a node's process. Zero means that no instance is
// named; NewInstance never returns it.
type Instance uint64

// NewInstance returns a random instance id other than zero.
func NewInstance() Instance {
	var random [8]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	rand.Read(random[:])
	return Instance(binary.BigEndian.Uint64(random[:]) | 1)
}

// String returns the id in hexadecimal.
func (i Instance) String() string { return strconv.FormatUint(uint64(i), 16) }

// MarshalText encodes the id in hexadecimal because many JSON readers lose the
// low bits of 64-bit numbers.
func (i Instance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText decodes an id in hexadecimal.
func (i *Instance) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("instance id %q: %w; use hexadecimal digits", text, err)
	}
	*i = Instance(n)
	return nil
}
