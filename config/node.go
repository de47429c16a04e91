package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file defines the settings of the node command. Each is one row of a
// table with its flag, default, help text and check; the environment variable
// follows from the flag.

// Node holds the checked settings of a node.
type Node struct {
	Name       prim.HostName
	DataCentre prim.DataCentre
	// Listen is where callers and peers connect.
	Listen netip.AddrPort
	// PublishedAddress is where others reach Listen, as in the host list.
	PublishedAddress netip.AddrPort
	// AdminListen serves metrics, status and readiness.
	AdminListen netip.AddrPort
	// Server is the address of this host's own server.
	Server netip.AddrPort
	// Platform lists the replicas of the configuration service.
	Platform []netip.AddrPort
	// Seeds are peers to ask for documents while the platform is down.
	Seeds    []Seed
	FleetKey Secret
	// Policy is one of Policies.
	Policy    string
	LogLevel  slog.Level
	LogFormat string // json or text
	// Costs are the one-way times between data centres; see Cost.
	Costs       []Cost
	DefaultCost time.Duration
	// DrainTimeout bounds how long a planned stop waits for requests in flight.
	DrainTimeout time.Duration
	// MaxConnections bounds the connections of callers.
	MaxConnections int
	// MaxCalls bounds the calls of callers that are in flight at this node.
	MaxCalls int
	// MaxWaiting bounds the calls among them that wait for a server.
	MaxWaiting int
	// RecordBytes bounds the memory of idempotency records.
	RecordBytes int
}

// Seed is a peer that is known from the settings.
type Seed struct {
	Name    prim.HostName
	Address netip.AddrPort
}

// Cost is the one-way time between two data centres, in both directions.
type Cost struct {
	A, B   prim.DataCentre
	OneWay time.Duration
}

// Policies are the names of the policies for choosing a server.
var Policies = []string{"Pool", "LeastOfTwo", "RoundRobin", "Random"}

// Cost returns the one-way time between two data centres: zero within one, the
// listed cost, or the default.
func (n *Node) Cost(a, b prim.DataCentre) time.Duration {
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

// setting is one row of the table.
type setting struct {
	flag string
	// def is the default. A setting without one is required unless optional.
	def      string
	optional bool
	secret   bool // the value is not repeated in findings
	help     string
	set      func(n *Node, text string) *refusal
}

// refusal tells why a value is refused and what to write.
type refusal struct{ problem, remedy string }

// settings is the table of the node command, in the order of its help text.
var settings = []setting{
	{flag: "name", help: "name of this host, as in the host list",
		set: func(n *Node, s string) *refusal { return setName(&n.Name, s) }},
	{flag: "data-centre", help: "data centre of this host, as in the host list",
		set: func(n *Node, s string) *refusal { return setName(&n.DataCentre, s) }},
	{flag: "listen", help: "address and port for callers and peers",
		set: func(n *Node, s string) *refusal { return setListen(&n.Listen, s) }},
	{flag: "published-address", optional: true, help: "address of this host in the host list if it differs from -listen",
		set: func(n *Node, s string) *refusal { return setAddress(&n.PublishedAddress, s) }},
	{flag: "admin-listen", help: "address and port for metrics, status and readiness",
		set: func(n *Node, s string) *refusal { return setListen(&n.AdminListen, s) }},
	{flag: "server", help: "address and port of this host's own server",
		set: func(n *Node, s string) *refusal { return setAddress(&n.Server, s) }},
	{flag: "platform", help: "addresses of the configuration service, separated by commas",
		set: func(n *Node, s string) *refusal { return setList(&n.Platform, s, 1, maxPlatform, setAddress) }},
	{flag: "seeds", optional: true, help: "peers to ask for documents while the platform is down, as name=address, separated by commas",
		set: func(n *Node, s string) *refusal { return setList(&n.Seeds, s, 0, maxSeeds, setSeed) }},
	{flag: "fleet-key", optional: true, secret: true, help: "key of at least 32 bytes that all nodes share; better given by the file or the variable, since others can see flags",
		set: func(n *Node, s string) *refusal { return setKey(&n.FleetKey, s) }},
	{flag: "fleet-key-file", optional: true, help: "file that holds the fleet key; one newline at its end is ignored",
		set: func(n *Node, s string) *refusal { return setKeyFile(&n.FleetKey, s) }},
	{flag: "policy", def: "Pool", help: "policy for choosing a server: Pool, LeastOfTwo, RoundRobin or Random",
		set: func(n *Node, s string) *refusal { return setWord(&n.Policy, s, Policies) }},
	{flag: "log-level", def: "info", help: "least level of log lines: debug, info, warn or error",
		set: func(n *Node, s string) *refusal { return setLevel(&n.LogLevel, s) }},
	{flag: "log-format", def: "json", help: "format of log lines: json or text",
		set: func(n *Node, s string) *refusal { return setWord(&n.LogFormat, s, []string{"json", "text"}) }},
	{flag: "costs", optional: true, help: "one-way times between data centres, as a/b=3ms, separated by commas",
		set: setCosts},
	{flag: "default-cost", def: "5ms", help: "one-way time between data centres that costs does not list",
		set: func(n *Node, s string) *refusal { return setDuration(&n.DefaultCost, s, 0, maxCost) }},
	{flag: "drain-timeout", def: "30s", help: "longest wait for requests in flight at a planned stop",
		set: func(n *Node, s string) *refusal {
			return setDuration(&n.DrainTimeout, s, time.Second, 10*time.Minute)
		}},
	{flag: "max-connections", def: "10000", help: "bound on connections of callers",
		set: func(n *Node, s string) *refusal { return setInt(&n.MaxConnections, s, 1, 1_000_000) }},
	{flag: "max-calls", def: "5000", help: "bound on calls of callers in flight",
		set: func(n *Node, s string) *refusal { return setInt(&n.MaxCalls, s, 1, 1_000_000) }},
	{flag: "max-waiting", def: "1000", help: "bound on calls that wait for a server",
		set: func(n *Node, s string) *refusal { return setInt(&n.MaxWaiting, s, 1, 1_000_000) }},
	{flag: "record-bytes", def: "33554432", help: "bound on the memory of idempotency records, in bytes",
		set: func(n *Node, s string) *refusal { return setInt(&n.RecordBytes, s, 1<<20, 1<<30) }},
}

// setCosts parses the list of costs and refuses a pair that is given twice.
func setCosts(n *Node, s string) *refusal {
	if r := setList(&n.Costs, s, 0, maxCosts, setCost); r != nil {
		return r
	}
	for i, c := range n.Costs {
		same := func(o Cost) bool { return (o.A == c.A && o.B == c.B) || (o.A == c.B && o.B == c.A) }
		if slices.ContainsFunc(n.Costs[:i], same) {
			return &refusal{fmt.Sprintf("gives the cost of %s/%s twice", c.A, c.B), "remove one of the two"}
		}
	}
	return nil
}
