package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file defines the settings of the node command as a table. Each row has
// the flag, the default, the help text and the parser of one setting. The name
// of the environment variable is derived from the flag.

// NodeSettings holds the validated settings of a node.
type NodeSettings struct {
	Name       prim.HostName
	DataCentre prim.DataCentre
	// Listen is the address on which the node accepts callers and peers.
	Listen netip.AddrPort
	// PublishedAddress is the address in the host list, by which others reach
	// Listen.
	PublishedAddress netip.AddrPort
	// AdminListen is the address that serves metrics, status and readiness.
	AdminListen netip.AddrPort
	// Server is the address of this host's own server.
	Server netip.AddrPort
	// Platform lists the addresses of the configuration service's replicas.
	Platform []netip.AddrPort
	// Seeds are peers from which documents are fetched while the platform is
	// down.
	Seeds    []Seed
	FleetKey Secret
	// Policy is the policy for choosing a server, one of Policies.
	Policy    string
	LogLevel  slog.Level
	LogFormat string // json or text
	// Costs are the one-way network delays between data centres. Pairs that
	// are not listed have DefaultCost.
	Costs       []Cost
	DefaultCost time.Duration
	// DrainTimeout limits how long a planned stop waits for requests in flight.
	DrainTimeout time.Duration
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	// MaxCalls limits the calls of callers that are in flight at this node.
	MaxCalls int
	// MaxWaiting limits how many of these calls wait for a server.
	MaxWaiting int
	// RecordBytes limits the memory used by idempotency records.
	RecordBytes int
}

// Seed is a peer whose address is given in the settings.
type Seed struct {
	Name    prim.HostName
	Address netip.AddrPort
}

// Cost is the one-way network delay between two data centres. It is the same in
// both directions.
type Cost struct {
	A, B   prim.DataCentre
	OneWay time.Duration
}

// Policies lists the names of the policies for choosing a server.
var Policies = []string{"Pool", "LeastOfTwo", "RoundRobin", "Random"}

// Cost returns the one-way network delay between two data centres: zero within
// one data centre, else the listed cost or the default.
func (n *NodeSettings) Cost(a, b prim.DataCentre) time.Duration {
	if a == b {
		return 0
	}
	for _, c := range n.Costs {
		if (c.A == a && c.B == b) || (c.A == b && c.B == a) {
			return c.OneWay
		}
	}
	return n.DefaultCost
}

// setting is one row of the settings table.
type setting struct {
	flag string
	// defaultValue is used if neither the flag nor the variable is given. A
	// setting without a default is required unless it is optional.
	defaultValue string
	optional     bool
	secret       bool // the value is not repeated in findings
	help         string
	set          func(n *NodeSettings, text string) *invalidValue
}

// invalidValue says what is wrong with a value and what to write instead.
type invalidValue struct{ problem, remedy string }

// settings lists the settings of the node command in the order of its help text.
var settings = []setting{
	{flag: "name", help: "name of this host, as in the host list",
		set: func(n *NodeSettings, s string) *invalidValue { return setName(&n.Name, s) }},
	{flag: "data-centre", help: "data centre of this host, as in the host list",
		set: func(n *NodeSettings, s string) *invalidValue { return setName(&n.DataCentre, s) }},
	{flag: "listen", help: "address and port for callers and peers",
		set: func(n *NodeSettings, s string) *invalidValue { return setListen(&n.Listen, s) }},
	{flag: "published-address", optional: true, help: "address of this host in the host list if it differs from -listen",
		set: func(n *NodeSettings, s string) *invalidValue { return setAddress(&n.PublishedAddress, s) }},
	{flag: "admin-listen", help: "address and port for metrics, status and readiness",
		set: func(n *NodeSettings, s string) *invalidValue { return setListen(&n.AdminListen, s) }},
	{flag: "server", help: "address and port of this host's own server",
		set: func(n *NodeSettings, s string) *invalidValue { return setAddress(&n.Server, s) }},
	{flag: "platform", help: "addresses of the configuration service, separated by commas",
		set: func(n *NodeSettings, s string) *invalidValue {
			return setList(&n.Platform, s, 1, maxPlatformAddresses, setAddress)
		}},
	{flag: "seeds", optional: true, help: "peers to ask for documents while the platform is down, as name=address, separated by commas",
		set: func(n *NodeSettings, s string) *invalidValue { return setList(&n.Seeds, s, 0, maxSeeds, setSeed) }},
	{flag: "fleet-key", optional: true, secret: true, help: "key of at least 32 bytes that all nodes share; better given by the file or the variable, since others can see flags",
		set: func(n *NodeSettings, s string) *invalidValue { return setKey(&n.FleetKey, s) }},
	{flag: "fleet-key-file", optional: true, help: "file that holds the fleet key; one newline at its end is ignored",
		set: func(n *NodeSettings, s string) *invalidValue { return setKeyFile(&n.FleetKey, s) }},
	{flag: "policy", defaultValue: "Pool", help: "policy for choosing a server: Pool, LeastOfTwo, RoundRobin or Random",
		set: func(n *NodeSettings, s string) *invalidValue { return setChoice(&n.Policy, s, Policies) }},
	{flag: "log-level", defaultValue: "info", help: "lowest level that is logged: debug, info, warn or error",
		set: func(n *NodeSettings, s string) *invalidValue { return setLevel(&n.LogLevel, s) }},
	{flag: "log-format", defaultValue: "json", help: "format of log lines: json or text",
		set: func(n *NodeSettings, s string) *invalidValue {
			return setChoice(&n.LogFormat, s, []string{"json", "text"})
		}},
	{flag: "costs", optional: true, help: "one-way network delays between data centres, as a/b=3ms, separated by commas",
		set: setCosts},
	{flag: "default-cost", defaultValue: "5ms", help: "one-way network delay between data centres that -costs does not list",
		set: func(n *NodeSettings, s string) *invalidValue { return setDuration(&n.DefaultCost, s, 0, maxCost) }},
	{flag: "drain-timeout", defaultValue: "30s", help: "longest wait for requests in flight at a planned stop",
		set: func(n *NodeSettings, s string) *invalidValue {
			return setDuration(&n.DrainTimeout, s, time.Second, 10*time.Minute)
		}},
	{flag: "max-connections", defaultValue: "10000", help: "limit on connections of callers",
		set: func(n *NodeSettings, s string) *invalidValue { return setInt(&n.MaxConnections, s, 1, 1_000_000) }},
	{flag: "max-calls", defaultValue: "5000", help: "limit on calls of callers in flight",
		set: func(n *NodeSettings, s string) *invalidValue { return setInt(&n.MaxCalls, s, 1, 1_000_000) }},
	{flag: "max-waiting", defaultValue: "1000", help: "limit on calls that wait for a server",
		set: func(n *NodeSettings, s string) *invalidValue { return setInt(&n.MaxWaiting, s, 1, 1_000_000) }},
	{flag: "record-bytes", defaultValue: "33554432", help: "limit on the memory of idempotency records, in bytes",
		set: func(n *NodeSettings, s string) *invalidValue { return setInt(&n.RecordBytes, s, 1<<20, 1<<30) }},
}

// setCosts parses the list of costs and rejects a pair of data centres that is
// given twice, in either order.
func setCosts(n *NodeSettings, s string) *invalidValue {
	if r := setList(&n.Costs, s, 0, maxCosts, setCost); r != nil {
		return r
	}
	for i, c := range n.Costs {
		same := func(o Cost) bool { return (o.A == c.A && o.B == c.B) || (o.A == c.B && o.B == c.A) }
		if slices.ContainsFunc(n.Costs[:i], same) {
			return &invalidValue{fmt.Sprintf("gives the cost of %s/%s twice", c.A, c.B), "remove one of the two"}
		}
	}
	return nil
}
