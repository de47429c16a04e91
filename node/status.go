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
	"github.com/primrosethread/primrosethread/quota"
	"github.com/primrosethread/primrosethread/server"
	"github.com/primrosethread/primrosethread/stats"
)

// Status is the state of a node and its view of the fleet, as served at /status.
type Status struct {
	Host          prim.HostName
	DataCentre    prim.DataCentre
	Instance      prim.Instance
	Version       string
	UptimeSeconds int64
	// Leaving lists the reasons why no new requests are admitted to the server
	// of this host.
	Leaving    []string
	Documents  gossip.Status
	Members    member.Status
	Load       Load
	Measuring  Measuring
	Requests   stats.Snapshot
	Allowances []quota.Status
	// AllowanceUsage counts this node's calls, lease requests and slots of
	// allowances over all customers.
	AllowanceUsage quota.Usage
	Server         server.Status
	Peers          peers.Status
}

// Measuring is the cost of load measurement since the start of the node.
type Measuring struct {
	Bytes       int64
	ProcessorMs float64
}

// Load is the load of this host's server as measured by this node.
type Load struct {
	InFlight  int
	Queued    int
	Limit     int
	LatencyMs float64
	Failing   float64 // fraction of recent requests that failed
}

func loadOf(s prim.LoadSample) Load {
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
		Host:           n.config.Settings.Name,
		DataCentre:     n.config.Settings.DataCentre,
		Instance:       n.instance,
		Version:        n.config.Version,
		UptimeSeconds:  int64(time.Since(n.started).Seconds()),
		Leaving:        n.leaveReasons.get().names(),
		Documents:      n.documents.Status(),
		Members:        n.members.Status(),
		Load:           loadOf(n.admitter.Sample()),
		Measuring:      Measuring{Bytes: bytes, ProcessorMs: milliseconds(busy)},
		Requests:       n.recorder.Snapshot(),
		Allowances:     n.allowanceLimiter.Status(),
		AllowanceUsage: n.allowanceLimiter.Usage(),
		Server:         n.server.Status(),
		Peers:          n.peers.Status(),
	}
}

// ready reports whether the node has all documents and so can route requests.
func (n *Node) ready() bool {
	return len(n.documents.View().Digests) == len(prim.DocumentNames)
}

func (n *Node) adminRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/debug/vars", n.serveVars)
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

// serveVars serves this node's variables together with those of expvar. The
// node's variables are not published in expvar's global table, so that several
// nodes can run in one process.
func (n *Node) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	vars := map[string]json.RawMessage{"Requests": json.RawMessage(n.recorder.String())}
	if b, err := json.Marshal(n.Status()); err == nil {
		vars["Node"] = b
	}
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
	json.NewEncoder(w).Encode(vars)
}
