package node

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/gossip"
	"github.com/primrosethread/primrosethread/member"
	"github.com/primrosethread/primrosethread/peers"
	"github.com/primrosethread/primrosethread/server"
	"github.com/primrosethread/primrosethread/share"
	"github.com/primrosethread/primrosethread/stats"
)

// Status is what one node sees.
type Status struct {
	Host          prim.HostName
	DataCentre    prim.DataCentre
	Instance      prim.Instance
	Version       string
	UptimeSeconds int64
	// Leaving lists why the server of this host takes no new requests.
	Leaving    []string
	Documents  gossip.Status
	Members    member.Status
	Load       Load
	Measuring  Measuring
	Requests   stats.Snapshot
	Allowances []share.Status
	// AllowanceUsage sums up what allowances cost this node.
	AllowanceUsage share.Usage
	Server         server.Status
	Peers          peers.Status
}

// Measuring is what measuring load has cost since the start.
type Measuring struct {
	Bytes       int64
	ProcessorMs float64
}

// Load is the load of this host's server as the owner knows it.
type Load struct {
	InFlight  int
	Queued    int
	Limit     int
	LatencyMs float64
	Failing   float64 // share of recent requests
}

func loadOf(s prim.Sample) Load {
	return Load{
		InFlight: s.InFlight, Queued: s.Queued, Limit: s.Limit,
		LatencyMs: milliseconds(s.Latency), Failing: s.Failing,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Status returns the current state.
func (n *Node) Status() Status {
	bytes, busy := n.prober.Cost()
	return Status{
		Host:           n.c.Settings.Name,
		DataCentre:     n.c.Settings.DataCentre,
		Instance:       n.instance,
		Version:        n.c.Version,
		UptimeSeconds:  int64(time.Since(n.started).Seconds()),
		Leaving:        n.leaving.get().names(),
		Documents:      n.documents.Status(),
		Members:        n.members.Status(),
		Load:           loadOf(n.admitter.Sample()),
		Measuring:      Measuring{Bytes: bytes, ProcessorMs: milliseconds(busy)},
		Requests:       n.recorder.Snapshot(),
		Allowances:     n.ledger.Status(),
		AllowanceUsage: n.ledger.Usage(),
		Server:         n.server.Status(),
		Peers:          n.peers.Status(),
	}
}

// ready reports whether the node has every document and can place requests.
func (n *Node) ready() bool {
	return len(n.documents.View().Digests) == len(prim.DocumentNames)
}

func (n *Node) adminRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/debug/vars", n.vars)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(n.Status())
	})
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			http.Error(w, "documents are missing; see /status", http.StatusServiceUnavailable)
		}
	})
	return r
}

// vars writes the variables of expvar and this node's own. They are not
// published in the global table, so that several nodes can run in one process.
func (n *Node) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	vars := map[string]json.RawMessage{"Requests": json.RawMessage(n.recorder.String())}
	if b, err := json.Marshal(n.Status()); err == nil {
		vars["Node"] = b
	}
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
	json.NewEncoder(w).Encode(vars)
}
