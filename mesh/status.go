package mesh

import (
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/memory"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/stats"
)

// Status is the state of one node as it reports it.
type Status struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
	Region     prim.Region // empty if it is unknown
	Service    prim.Service
	Instance   prim.Instance
	Version    string
	Stopping   bool
	// Server is the ID of the running server process on this host, empty if the server
	// is down.
	Server string
	Load   prim.LoadSample
	// Leftover is how much of Load.InFlight are requests that an earlier process of this node
	// sent.
	Leftover int
	// ServerLimit is the limit that the server names, nil if it names none.
	ServerLimit *ServerLimit
	// Routing is the version of the routes, RoutingAgeMs the time since they were
	// received, and StateAgeMs the time since the published state was last known to be
	// current.
	Routing                  uint64
	RoutingAgeMs, StateAgeMs int64
	// RoutesVerifiedMs is the age of the routes that counts for keys under strict revocation, -1
	// if it is not known. Keys are refused once it exceeds KeysRefusedAtMs, unless that is 0.
	RoutesVerifiedMs, KeysRefusedAtMs int64
	// Customers is the number of customers, -1 if requests need no keys.
	Customers int
	// RoutingRefused is why the newest configuration that this node has read is not in
	// force, empty if it is; RoutingRefusedMs is the time since it was refused.
	RoutingRefused   string
	RoutingRefusedMs int64
	Servers          int
	// DelaysMs holds the measured one-way delays to other data centres, milliseconds.
	DelaysMs map[prim.DataCentre]float64
	// InvalidEntries is the number of published server entries that this node has read and
	// can't use.
	InvalidEntries int
	RegistryCalls  int64
	Panics         int64 // contained since the start
	Requests       stats.Snapshot
	Peers          peers.Status
	// Memory is what is held for clients, and Limits bounds what they may send.
	Memory memory.Status
	Limits Limits
}

// ServerLimit is a limit that a server names in its answers.
type ServerLimit struct {
	Server            string
	RequestsPerSecond float64 // from all nodes together; 0 if the server takes none
	ForMs             int64   // time since the server first named it
}

func (n *Node) serverLimit() *ServerLimit {
	l, ok := n.admitter.RateLimit()
	if !ok {
		return nil
	}
	return &ServerLimit{l.Server, l.Rate, time.Since(l.Since).Milliseconds()}
}

// delays returns the measured one-way delays to other data centres, in milliseconds.
func (n *Node) delays() map[prim.DataCentre]float64 {
	delays := make(map[prim.DataCentre]float64)
	for _, d := range n.relay.Distances(time.Now()) {
		delays[d.DataCentre] = float64(d.Delay) / float64(time.Millisecond)
	}
	return delays
}

// Status returns the current state.
func (n *Node) Status() Status {
	p := n.roster.Placement()
	routes, state := n.roster.Ages(time.Now())
	refused := n.registry.Refused()
	refusedFor := time.Duration(0)
	if refused.Revision > 0 {
		refusedFor = time.Since(refused.At)
	}
	verified, customers := int64(-1), -1
	if age, known := n.roster.RoutesAge(time.Now()); known {
		verified = age.Milliseconds()
	}
	if p.Routing.NeedsKeys() {
		customers = len(p.Routing.Customers)
	}
	return Status{
		Host: n.settings().Host, DataCentre: n.settings().DataCentre, Region: n.region(n.settings().DataCentre), Service: n.settings().Service,
		Instance: n.instance, Version: n.config.Version, Stopping: n.stopping.Load(),
		Server: n.admitter.ServerID(), Load: n.admitter.Sample(), Leftover: n.admitter.Leftover(), ServerLimit: n.serverLimit(),
		Routing: p.Routing.Version, RoutingAgeMs: routes.Milliseconds(), StateAgeMs: state.Milliseconds(),
		RoutesVerifiedMs: verified, KeysRefusedAtMs: n.settings().MaxRoutesAge().Milliseconds(), Customers: customers,
		RoutingRefused: refused.Cause, RoutingRefusedMs: refusedFor.Milliseconds(),
		Servers: len(p.Servers), DelaysMs: n.delays(), InvalidEntries: n.registry.InvalidEntries(), RegistryCalls: n.store.Calls(), Panics: n.guard.Panics(),
		Requests: n.recorder.Snapshot(), Peers: n.peers.Status(),
		Memory: n.memory.Status(), Limits: n.limitsStatus(),
	}
}

// ready reports whether clients may send requests here.
func (n *Node) ready() bool {
	return n.hasState() && !n.stopping.Load()
}

func (n *Node) readyRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() {
			n.readinessChecks.Add(1)
		}
		if !n.ready() {
			http.Error(w, "routes or servers are missing, or the node is stopping; see /status", http.StatusServiceUnavailable)
		}
	})
	return r
}

func (n *Node) statusRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(n.Status())
	})
	r.HandleFunc("/debug/vars", n.vars)
	r.HandleFunc("/metrics", n.metrics)
	return r
}

// metrics writes one metric per line: name, labels and value.
func (n *Node) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s := n.Status()
	line := func(name string, value any) { fmt.Fprintf(w, "Primrosethread%s %v\n", name, value) }
	line("Routing", s.Routing)
	line("RoutingAgeMs", s.RoutingAgeMs)
	line("StateAgeMs", s.StateAgeMs)
	line("RoutesVerifiedMs", s.RoutesVerifiedMs)
	line("KeysRefusedAtMs", s.KeysRefusedAtMs)
	line("Customers", s.Customers)
	line("RoutingRefusedMs", s.RoutingRefusedMs)
	line("Servers", s.Servers)
	line("InvalidEntries", s.InvalidEntries)
	line("RegistryCalls", s.RegistryCalls)
	line("Panics", s.Panics)
	line("InFlight", s.Load.InFlight)
	line("Leftover", s.Leftover)
	line("Queued", s.Load.Queued)
	line("Limit", s.Load.Limit)
	line("Slowdown", s.Load.Slowdown)
	if l := s.ServerLimit; l != nil {
		label := "{Server=" + strconv.Quote(l.Server) + "}"
		line("ServerLimit"+label, l.RequestsPerSecond)
		line("ServerLimitForMs"+label, l.ForMs)
	}
	for _, d := range slices.Sorted(maps.Keys(s.DelaysMs)) {
		line("DelayMs{DataCentre="+strconv.Quote(string(d))+"}", s.DelaysMs[d])
	}
	line("MemoryReserved", s.Memory.Reserved)
	line("MemoryLimit", s.Memory.Limit)
	line("MemoryInUse", s.Memory.InUse)
	line("MemoryInUseLimit", s.Memory.InUseLimit)
	line("MemoryCollections", s.Memory.Collections)
	line("MemoryUnread", s.Memory.Unread)
	line("MemoryUnreadLimit", s.Memory.UnreadLimit)
	line("Transfers", s.Memory.Transfers)
	line("TransfersGivenUp", s.Memory.GivenUp)
	line("TransfersRefused", s.Memory.Refused)
	line("MaxConnections", s.Memory.MaxConnections)
	line("LinksDialled", s.Peers.Dialled)
	line("LinksAccepted", s.Peers.Accepted)
	line("FramesWaitedForMemory", s.Peers.WaitedForMemory)
	line("AnswersWithoutMemory", s.Peers.AnswersWithoutMemory)
	line("LinkBytesIn", s.Peers.BytesIn)
	line("LinkBytesOut", s.Peers.BytesOut)
	line("BodiesSent", s.Peers.BodiesSent)
	line("BodiesReceived", s.Peers.BodiesReceived)
	line("BodiesAbandoned", s.Peers.BodiesAbandoned)
	for _, name := range slices.Sorted(maps.Keys(s.Requests.Counters)) {
		line("Count{Name=\""+name+"\"}", s.Requests.Counters[name])
	}
	for _, q := range s.Requests.Requests {
		class := "{Class=\"" + string(q.Class) + "\"}"
		line("Done"+class, q.Done)
		line("NotRun"+class, q.NotRun)
		line("Unknown"+class, q.Unknown)
		line("ServerErrors"+class, q.ServerErrors)
		line("LatencyP50Ms"+class, q.Latency.P50Ms)
		line("LatencyP99Ms"+class, q.Latency.P99Ms)
	}
}

// vars writes the published expvar variables and this node's status.
func (n *Node) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	vars := map[string]json.RawMessage{}
	if b, err := json.Marshal(n.Status()); err == nil {
		vars["Node"] = b
	}
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
	json.NewEncoder(w).Encode(vars)
}
