// Package prim holds the types and the interfaces that the packages of
// primrosethread share. Each package below it implements one of the interfaces;
// only package node and the commands know which implementation is in use.
package prim

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
)

// HostName names a host in the published host list. A host runs one server
// and one node.
type HostName string

// DataCentre names a failure domain of hosts with cheap links between them.
type DataCentre string

// Region names a group of data centres.
type Region string

// Service names a set of interchangeable servers.
type Service string

// Customer names the party that calls are made for and accounted to.
type Customer string

// Class groups requests of the same kind for metrics, for example "SlotCheck".
type Class string

// Instance identifies one start of a node. Zero means any instance.
type Instance uint64

// NewInstance draws a random instance id that is not zero.
func NewInstance() Instance {
	var b [8]byte
	// crypto/rand.Read never returns an error; it ends the process instead.
	rand.Read(b[:])
	return Instance(binary.BigEndian.Uint64(b[:]) | 1)
}

// String returns the id in hex.
func (i Instance) String() string { return strconv.FormatUint(uint64(i), 16) }

// MarshalText writes the id in hex; JSON numbers lose the low bits of 64-bit
// integers in many readers.
func (i Instance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText reads an id in hex.
func (i *Instance) UnmarshalText(b []byte) error {
	n, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return fmt.Errorf("instance id %q: %w; write hex digits", b, err)
	}
	*i = Instance(n)
	return nil
}
