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
	Host       prim.HostName
	DataCentre prim.DataCentre
	Instance   prim.Instance
	Version    string
	Uptime     time.Duration
	Leaving    leaveReason
	Documents  gossip.Status
	Members    member.Status
	Load       prim.Sample
	Measuring  Measuring
	Requests   stats.Snapshot
	Allowances []share.Status
	Server     server.Status
	Peers      peers.Status
}

// Measuring is what measuring load has cost since the start.
type Measuring struct {
	Bytes     int64
	Processor time.Duration
}

// Status returns the current state.
func (n *Node) Status() Status {
	bytes, busy := n.prober.Cost()
	return Status{
		Host:       n.c.Settings.Name,
		DataCentre: n.c.Settings.DataCentre,
		Instance:   n.instance,
		Version:    n.c.Version,
		Uptime:     time.Since(n.started).Round(time.Second),
		Leaving:    n.leaving.get(),
		Documents:  n.documents.Status(),
		Members:    n.members.Status(),
		Load:       n.admitter.Sample(),
		Measuring:  Measuring{Bytes: bytes, Processor: busy},
		Requests:   n.recorder.Snapshot(),
		Allowances: n.ledger.Status(),
		Server:     n.server.Status(),
		Peers:      n.peers.Status(),
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
	expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
	json.NewEncoder(w).Encode(vars)
}
