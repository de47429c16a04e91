package mesh

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fakes"
	"github.com/primrosethread/primrosethread/guard"
	"github.com/primrosethread/primrosethread/platform"
)

// The tests run whole nodes in this process, each on its own loopback address, with
// fakes of the store and the servers.

const (
	portCallers = 28141
	portReady   = 28140
	portPeers   = 27660
	portServer  = 28147
	portStore   = 28142
)

// deployment is a set of nodes and servers under test.
type deployment struct {
	t           *testing.T
	store       *fakes.Store
	apps        []*fakes.App
	servers     []*http.Server // of apps
	nodes       []*Node
	stops       []context.CancelFunc
	ended       []chan error
	dataCentres []prim.DataCentre
	regions     map[prim.DataCentre]prim.Region
	peerPorts   map[int]int // ports for other nodes that differ from portPeers, by host
	// strictRevoke makes the nodes refuse keys once their routes are too old, and storeOf has
	// the addresses of the store for hosts that reach it in another way.
	strictRevoke bool
	storeOf      map[int]string
	retryExtra   float64       // Settings.RetryExtra, 0 for 50
	routeTimeout time.Duration // of the routes, 0 for 5 s
	beforeRun    func(i int, n *Node)
}

func address(i, port int) string { return fmt.Sprintf("127.0.4.%d:%d", i, port) }

func (d *deployment) serve(addr string, h http.Handler) *http.Server {
	d.t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	d.t.Cleanup(func() { server.Close() })
	return server
}

// newDeployment starts a deployment with one server of the service orders on each
// host, all in data centre a unless others are given.
func newDeployment(t *testing.T, hosts int, dataCentres ...prim.DataCentre) *deployment {
	return newDeploymentWith(t, deployment{dataCentres: dataCentres}, hosts)
}

// newDeploymentWith is newDeployment for nodes with other settings.
func newDeploymentWith(t *testing.T, settings deployment, hosts int) *deployment {
	d := &settings
	d.t, d.store = t, fakes.NewStore()
	d.start(hosts)
	return d
}

// start starts the store, the servers and the nodes.
func (d *deployment) start(hosts int) {
	d.t.Helper()
	d.serve(address(250, portStore), d.store)
	d.publishRoutes(1, "orders")
	for i := range hosts {
		app := fakes.NewApp("orders", fmt.Sprintf("i-%d", i), 8, 5*time.Millisecond)
		d.apps = append(d.apps, app)
		d.servers = append(d.servers, d.serve(address(i+1, portServer), app))
		d.publishEntry(i, "ready")
	}
	for i := range hosts {
		d.startNode(i)
	}
	for i := range hosts {
		d.waitFor(func() bool {
			return d.nodes[i].ready() && d.nodes[i].Status().Servers == hosts && d.apps[i].ID() == d.nodes[i].Status().Server
		})
	}
}

func (d *deployment) dataCentre(i int) prim.DataCentre {
	if i < len(d.dataCentres) {
		return d.dataCentres[i]
	}
	return "a"
}

func (d *deployment) publishEntry(i int, state string) {
	d.store.Put("servers/"+d.apps[i].ID(), map[string]any{
		"service": d.apps[i].Service, "address": address(i+1, portServer), "zone": d.dataCentre(i), "slots": 8, "state": state, "born": 1790000000000 + i,
	})
}

// publishRoutes publishes a version of the routes.
func (d *deployment) publishRoutes(version int, service string) {
	d.publishRoutesIn(version, service)
}

// publishRoutesIn publishes a version of the routes with home regions.
func (d *deployment) publishRoutesIn(version int, service string, regions ...prim.Region) {
	d.store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts", "allowed_regions"},
			"rows": [][]any{{"r", "a.example", "/r/", "unsafe", cmp.Or(d.routeTimeout, 5*time.Second).Milliseconds(), 500, 1, service, 2, regions}}},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 100, 1, 1000}, {"none", "/healthz", 100, 1, 1000}}},
	})
}

// publishSafeAndUnsafe publishes routes with the prefixes /s/ and /r/ for safe and unsafe requests.
func (d *deployment) publishSafeAndUnsafe() {
	d.t.Helper()
	d.store.Put("op/config", map[string]any{
		"version": "00000002",
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts"},
			"rows": [][]any{{"r", "a.example", "/r/", "unsafe", 5000, 500, 1, "orders", 2}, {"s", "a.example", "/s/", "safe", 5000, 500, 1, "orders", 2}}},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 100, 1, 1000}}},
	})
	d.waitFor(func() bool {
		for _, n := range d.nodes {
			if n.Status().Routing != 2 {
				return false
			}
		}
		return true
	})
}

// settings returns the settings of a host.
func (d *deployment) settings(i int) platform.Settings {
	parse := netip.MustParseAddrPort
	store := address(250, portStore)
	if other := d.storeOf[i]; other != "" {
		store = other
	}
	return platform.Settings{
		Host: prim.HostName(strings.Split(address(i+1, 0), ":")[0]), DataCentre: d.dataCentre(i), Regions: d.regions, Service: "orders",
		Server: parse(address(i+1, portServer)), CallerListen: parse(address(i+1, portCallers)),
		ReadyListen: parse(address(i+1, portReady)),
		PeerListen:  parse(address(i+1, cmp.Or(d.peerPorts[i], portPeers))), Store: parse(store),
		Grace: 4 * time.Second, ColdFactor: 1, RetryShare: 0.2, RetryExtra: cmp.Or(d.retryExtra, 50), RetryWindow: 10 * time.Second,
		RepublishDelay: time.Second, StrictRevoke: d.strictRevoke, RevokeTime: 5 * time.Second,
	}
}

func (d *deployment) startNode(i int) {
	n, err := New(Config{Logger: slog.New(slog.DiscardHandler), Settings: d.settings(i)})
	if err != nil {
		d.t.Fatal(err)
	}
	if d.beforeRun != nil {
		d.beforeRun(i, n)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	d.nodes, d.stops, d.ended = append(d.nodes, n), append(d.stops, stop), append(d.ended, ended)
	d.t.Cleanup(func() {
		stop()
		n.readinessChecks.Add(failedReadinessChecks) // no platform checks readiness here
		<-ended
	})
}

// waitFor polls until f returns true.
func (d *deployment) waitFor(f func() bool) {
	d.t.Helper()
	for !f() {
		select {
		case <-d.t.Context().Done():
			d.t.Fatal("the test ended first")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// clientAnswer is what a client got; err is set if it is not complete.
type clientAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

// request returns a request to the node of a host.
func (d *deployment) request(i int, path, id, body string) *http.Request {
	d.t.Helper()
	q, err := http.NewRequest("POST", "http://"+address(i+1, portCallers)+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	q.Host = "a.example"
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Ms", "5000")
	return q
}

// ask sends a request on a connection of its own, with header fields as alternating names and
// values, to the node of a host. Nothing is done to the answer.
func (d *deployment) ask(i int, path, id string, fields ...string) clientAnswer {
	d.t.Helper()
	q := d.request(i, path, id, "")
	for i := 0; i+1 < len(fields); i += 2 {
		q.Header.Set(fields[i], fields[i+1])
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	resp, err := transport.RoundTrip(q)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return clientAnswer{resp.StatusCode, resp.Header, string(b), err}
}

// send sends a request to the node of a host, on a connection that may have been used.
func (d *deployment) send(i int, id string) (int, string) {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(d.request(i, "/r/x", id, "body"))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Guards against clients that go on using their connections to a node that stops, since no answer asks them to close.
func TestStopAsksClientsToClose(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, stopping := range []bool{false, true} {
		if stopping {
			d.stops[0]()
			d.waitFor(d.nodes[0].stopping.Load)
		}
		for _, path := range []string{"/r/x", "/unknown/"} {
			resp, err := http.DefaultClient.Do(d.request(0, path, fmt.Sprint("q-", stopping, path), "body"))
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode == http.StatusOK, path == "/r/x")
			is.Equal(resp.Close, stopping)
		}
	}
}

// ranAt returns the index of the host whose server ran a request, -1 for none.
func (d *deployment) ranAt(id string) int {
	for i, a := range d.apps {
		for _, r := range a.Runs() {
			if r.ID == id {
				return i
			}
		}
	}
	return -1
}

// Guards against a request whose header doesn't fit into a frame between nodes, and which
// therefore makes the node take every other host for unreachable.
func TestLargeHeaderIsRejected(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, c := range []struct{ bytes, status int }{{16 << 10, http.StatusOK}, {70 << 10, http.StatusRequestHeaderFieldsTooLarge}} {
		q, err := http.NewRequest("POST", "http://"+address(1, portCallers)+"/r/x", nil)
		is.NoErr(err)
		q.Host = "a.example"
		q.Header.Set("X-Attempt-Id", fmt.Sprint("q-", c.bytes))
		q.Header.Set("Padding", strings.Repeat("a", c.bytes))
		resp, err := http.DefaultClient.Do(q)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, c.status)
	}
	is.Equal(d.ranAt(fmt.Sprint("q-", 70<<10)), -1)
}

// Guards against a failure anywhere on the path of a request, on one host and between
// hosts, and against requests sent to servers that are leaving: because of their
// entry, a data centre switch, or a planned stop of their node.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	status, body := d.send(0, "q-1")
	is.Equal(status, 200)
	is.Equal(body, "orders answers q-1 with 4 bytes")
	d.publishEntry(0, "draining")
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving })
	status, _ = d.send(0, "q-2")
	is.Equal(status, 200)
	is.Equal(d.ranAt("q-2"), 1)
	// The other server restarts: the request must not be sent to the old
	// instance.
	d.publishEntry(0, "ready")
	d.store.Delete("servers/i-1")
	d.apps[1].Restart()
	d.publishEntry(1, "ready")
	d.waitFor(func() bool { return d.nodes[1].Status().Server == d.apps[1].ID() })
	d.waitFor(func() bool { code, _ := d.send(1, "q-3"); return code == 200 })
	is.True(d.ranAt("q-3") >= 0)
	d.store.Put("op/evacuate/a", struct{}{})
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving && d.nodes[1].Status().Load.Leaving })
	status, _ = d.send(0, "q-4")
	is.Equal(status, 503)
	is.Equal(d.ranAt("q-4"), -1)
	d.store.Delete("op/evacuate/a")
	d.waitFor(func() bool {
		return !d.nodes[0].Status().Load.Leaving && len(d.nodes[1].roster.Placement().InService("orders")) == 2
	})
	// The entry of a live server is removed and published again.
	d.store.Delete("servers/" + d.apps[0].ID())
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving })
	d.publishEntry(0, "ready")
	d.waitFor(func() bool { return !d.nodes[0].Status().Load.Leaving })
	d.stops[0]()
	d.waitFor(func() bool { return !d.nodes[0].ready() })
	status, _ = d.send(0, "q-5") // still served until the readiness checks have failed
	is.Equal(status, 200)
	d.nodes[0].readinessChecks.Add(failedReadinessChecks)
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving })
}

// Guards against a node that stays without state because it can't read the store: it
// fetches the state from a node that has linked to it.
func TestStateFromPeer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	// The store does not have this version, so node 1 can get it only from node 0.
	d.nodes[0].roster.SetRouting(prim.Routing{Version: 7, Revision: 1000, Routes: []prim.PathRoute{{
		Name: "r", Authority: "a.example", Prefix: "/r/", Targets: []prim.Target{{Service: "none", Weight: 1}}, Attempts: 1,
	}}}, "test")
	d.waitFor(func() bool { return d.nodes[1].Status().Routing == 7 })
	status, _ := d.send(1, "q-1")
	is.Equal(status, 503)
}

// Guards against linked nodes of other data centres that learn of published changes
// late, since load samples are not normally pushed to them.
func TestStateReachesOtherDataCentres(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, "a", "b")
	d.publishEntry(0, "draining")
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving })
	status, _ := d.send(0, "q-1")
	is.Equal(status, 200) // node 0 has a link to node 1 now
	d.nodes[1].roster.SetRouting(prim.Routing{Version: 7, Revision: 1000}, "test")
	d.waitFor(func() bool { return d.nodes[0].Status().Routing == 7 })
}

// Guards against accepting settings that a running node can't apply, and against a
// reload that does not apply changed limits.
func TestReload(t *testing.T) {
	is := is.New(t)
	n, err := New(Config{Logger: slog.New(slog.DiscardHandler), Settings: platform.Settings{Host: "127.0.4.9", Service: "orders", Grace: time.Second}})
	is.NoErr(err)
	is.NoErr(n.Reload(&platform.Settings{Host: "127.0.4.9", Service: "orders", Grace: 9 * time.Second}))
	is.Equal(n.settings().Grace, 9*time.Second)
	is.True(n.Reload(&platform.Settings{Host: "127.0.4.9", Service: "stock"}) != nil)
	is.Equal(n.settings().Service, prim.Service("orders"))
}

// Guards against a node that is restarted after the entry of its server was removed, and
// then admits requests for that server, although it has left.
func TestRestartAfterServerLeft(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.store.Delete("servers/" + d.apps[0].ID())
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving })
	d.stops[0]()
	d.nodes[0].readinessChecks.Add(failedReadinessChecks)
	d.ended[0] <- <-d.ended[0] // for the clean-up
	d.startNode(0)
	restarted := d.nodes[2]
	d.waitFor(func() bool { return restarted.Status().Servers == 1 && restarted.Status().Server == d.apps[0].ID() })
	d.waitFor(func() bool { return restarted.Status().Load.Leaving })
	_, err := restarted.peers.Owner(restarted.settings().Host).Dispatch(t.Context(), &prim.Request{
		Service: "orders", Method: "GET", Path: "/r/", ID: "late", Deadline: time.Now().Add(time.Second)})
	is.Equal(prim.OutcomeOf(err), prim.NotRun)
	is.Equal(d.ranAt("late"), -1)
}

// replaceServer ends the server of a host and starts another one at its address, without
// an entry.
func (d *deployment) replaceServer(i int, service, id string) {
	d.t.Helper()
	d.servers[i].Close()
	d.apps[i] = fakes.NewApp(service, id, 8, 5*time.Millisecond)
	d.servers[i] = d.serve(address(i+1, portServer), d.apps[i])
}

// Guards against requests that are run by a server of another service which has got the
// address of a server that ended, before and after it has published its entry.
func TestAddressReusedByOtherService(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.replaceServer(0, "none", "i-9")
	d.waitFor(func() bool { return d.nodes[0].Status().Server == "i-9" })
	send := func(prefix string) {
		for i := range 40 {
			id := fmt.Sprint(prefix, i)
			status, _ := d.send(i%2, id)
			is.Equal(status, 200)
			is.Equal(d.ranAt(id), 1)
		}
	}
	send("unlisted-")
	d.publishEntry(0, "ready")
	d.waitFor(func() bool { return d.nodes[0].roster.Placement().ServerByID("i-9") != nil })
	send("listed-")
}

// Guards against a server that stays out of use when it starts again at its address under
// a new ID, and against its use before its entry says which service it belongs to.
func TestRestartedServerIsUsedOnceListed(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.replaceServer(0, "orders", "i-9")
	d.waitFor(func() bool { return d.nodes[0].Status().Server == "i-9" })
	status, _ := d.send(0, "early")
	is.Equal(status, 503)
	d.publishEntry(0, "ready")
	d.waitFor(func() bool { return !d.nodes[0].Status().Load.Leaving })
	status, _ = d.send(0, "listed")
	is.Equal(status, 200)
}

// stopCall is a request that is sent during a planned stop.
type stopCall struct {
	id     string
	work   time.Duration
	sentAt time.Duration // since the begin of the stop
	status int           // 0 if the connection was closed without a response
	body   string
}

// keptConnection is a client that keeps one connection.
func (d *deployment) keptConnection(i int, idempotent bool, work time.Duration) func(c *stopCall) {
	prefix := "/unsafe"
	if idempotent {
		prefix = "/safe"
	}
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	d.t.Cleanup(client.CloseIdleConnections)
	return func(c *stopCall) {
		q, err := http.NewRequest("POST", fmt.Sprintf("http://%s%s%d/x?work=%v", address(i+1, portCallers), prefix, work.Milliseconds(), c.work), nil)
		if err != nil {
			panic(err)
		}
		q.Host = "a.example"
		q.Header.Set("X-Attempt-Id", c.id)
		q.Header.Set("X-Deadline-Ms", "20000")
		resp, err := client.Do(q)
		if err != nil {
			c.body = err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		c.status, c.body = resp.StatusCode, string(b)
		if err != nil {
			c.status, c.body = 0, err.Error()
		}
	}
}

// Guards against requests that a stopping node takes although it can't answer them before it
// exits, whenever they come, from its own callers on kept connections and from other nodes;
// and against a planned stop without trouble that ends with an error.
func TestPlannedStopAnswersWhatItTakes(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	works := []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 6 * time.Second}
	var rows [][]any
	for _, w := range works {
		for _, kind := range []string{"safe", "unsafe"} {
			name := fmt.Sprint(kind, w.Milliseconds())
			rows = append(rows, []any{name, "a.example", "/" + name + "/", kind, 20000, 500, 1, "orders", 1})
		}
	}
	d.store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", 2),
		"routes":  map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 400, 1, 1000}}},
	})
	for _, a := range d.apps {
		a.SetSlots(400)
	}
	// All requests run at host 0, those of node 1 over a link.
	d.publishEntry(1, "draining")
	d.waitFor(func() bool {
		return d.nodes[1].Status().Load.Leaving && d.nodes[0].Status().Routing == 2 && d.nodes[1].Status().Routing == 2 &&
			d.nodes[0].Status().Load.Limit > 300
	})
	const parts = 10
	grace := d.nodes[0].settings().Grace
	var calls []*stopCall
	var sends []func()
	var running sync.WaitGroup
	for part := range parts {
		for node := range 2 {
			for _, w := range works {
				for _, idempotent := range []bool{true, false} {
					send := d.keptConnection(node, idempotent, w)
					c := &stopCall{id: fmt.Sprint("q-", len(calls)), work: w, sentAt: grace * time.Duration(part) / parts}
					// The first request on the connection shows how long the class takes.
					first := &stopCall{id: "first-" + c.id, work: min(w, works[2])}
					running.Go(func() { send(first) })
					calls = append(calls, c)
					sends = append(sends, func() { send(c) })
				}
			}
		}
	}
	running.Wait()
	var stopErr error
	var unanswered int64 // requests of callers of node 0 when it ends, which the exit would cut
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopErr = <-d.ended[0]
		unanswered = d.nodes[0].callsInProgress.Load()
		d.ended[0] <- stopErr // for the clean-up
	}()
	d.stops[0]()
	d.waitFor(d.nodes[0].stopping.Load) // a request from before can outlast the stop
	begin := time.Now()
	for i, c := range calls {
		running.Go(func() {
			time.Sleep(time.Until(begin.Add(c.sentAt)))
			sends[i]()
		})
	}
	running.Wait()
	answered, refused := 0, 0
	for _, c := range calls {
		ran := d.ranAt(c.id) >= 0
		switch c.status {
		case http.StatusOK:
			answered++
			is.Equal(c.body, "orders answers "+c.id+" with 0 bytes")
		case http.StatusServiceUnavailable:
			refused++
			is.True(!ran)
		case http.StatusGatewayTimeout:
			is.True(c.work > grace-c.sentAt-exitReserve-answerReserve) // the server has ended it
		default:
			if ran { // else the connection was closed before the node read the request
				t.Errorf("request %s, work %v, sent at %v: ran, status %d, %s", c.id, c.work, c.sentAt, c.status, c.body)
			}
		}
	}
	// Until half of the grace is over, the node takes what it can answer.
	is.True(answered >= parts/2*2*2) // work of 10 ms at both nodes, safe and unsafe
	is.True(refused > 0)
	<-ended
	is.NoErr(stopErr)
	is.Equal(unanswered, int64(0))
}

// Guards against requests of a connection that wait for each other although their route is
// idempotent, and against those that don't wait although it isn't.
func TestRequestsOfOneConnection(t *testing.T) {
	d := newDeployment(t, 1)
	row := func(kind string) []any {
		return []any{kind, "a.example", "/" + kind + "/", kind, 20000, 500, 1, "orders", 1}
	}
	d.store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", 2),
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts"},
			"rows": [][]any{row("safe"), row("unsafe")}},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 400, 1, 1000}}},
	})
	d.waitFor(func() bool { return d.nodes[0].Status().Routing == 2 })
	for kind, concurrent := range map[string]bool{"safe": true, "unsafe": false} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", address(1, portCallers))
			is.NoErr(err)
			defer c.Close()
			// The first one takes longest, and is answered first.
			works := []time.Duration{200 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond}
			for i, work := range works {
				fmt.Fprintf(c, "GET /%s/x?work=%v HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s-%d\r\n\r\n", kind, work, kind, i)
			}
			in := bufio.NewReader(c)
			for i := range works {
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				b, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(b), fmt.Sprintf("orders answers %s-%d with 0 bytes", kind, i))
			}
			began := make(map[string]time.Time)
			for _, r := range d.apps[0].Runs() {
				began[r.ID] = r.At
			}
			for i := range works[1:] {
				gap := began[fmt.Sprintf("%s-%d", kind, i+1)].Sub(began[fmt.Sprintf("%s-%d", kind, i)])
				is.Equal(gap < works[i], concurrent)
			}
		})
	}
}

// Guards against an unexpected error in a background loop that ends the process or the
// loop.
func TestLoopContinuesAfterPanic(t *testing.T) {
	is := is.New(t)
	n := &Node{guard: guard.New(slog.New(slog.DiscardHandler))}
	ctx, cancel := context.WithCancel(t.Context())
	runs := 0
	ended := n.loop(ctx, func(context.Context) {
		if runs++; runs == 1 {
			panic("test")
		}
		cancel()
	})
	is.Equal(<-ended, context.Canceled)
	is.Equal(runs, 2)
	is.Equal(n.guard.Panics(), int64(1))
}

// Guards against requests to a server that says in its answers that it is leaving, from any
// node, and against a later start of the server under the same ID that stays out of use.
func TestServerSaysThatItIsLeaving(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	d.apps[0].SetHeader("Server-Leaving", "1")
	d.waitFor(func() bool { return d.nodes[0].Status().Load.Leaving })
	for i := range 30 {
		status, _ := d.send(i%3, fmt.Sprint("q-", i))
		is.Equal(status, 200)
		is.True(d.ranAt(fmt.Sprint("q-", i)) > 0)
	}
	// The entry says so too, and ends first.
	d.publishEntry(0, "draining")
	d.waitFor(func() bool { return d.nodes[0].roster.Placement().ServerByID("i-0").Draining })
	d.publishEntry(0, "ready")
	d.waitFor(func() bool { return !d.nodes[0].roster.Placement().ServerByID("i-0").Draining })
	is.True(d.nodes[0].Status().Load.Leaving)
	d.apps[0].SetHeader("Server-Leaving")
	d.waitFor(func() bool { return !d.nodes[0].Status().Load.Leaving })
}

// Guards against a limit named by a server that its node doesn't enforce for the requests
// of all nodes, or that operators can't see.
func TestServerNamesLimit(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	const rate = 4.0
	d.apps[0].SetHeader("Server-Limit", fmt.Sprint(rate))
	d.waitFor(func() bool { return d.nodes[0].Status().ServerLimit != nil })
	l := d.nodes[0].Status().ServerLimit
	is.Equal(l.Server, "i-0")
	is.Equal(l.RequestsPerSecond, rate)
	w := httptest.NewRecorder()
	d.nodes[0].metrics(w, nil)
	is.True(strings.Contains(w.Body.String(), `PrimrosethreadServerLimit{Server="i-0"} 4`))
	begin := time.Now()
	for i := range 300 {
		status, _ := d.send(i%3, fmt.Sprint("q-", i))
		is.Equal(status, 200) // what doesn't fit goes to the other servers
	}
	elapsed := time.Since(begin).Seconds()
	is.True(float64(len(d.apps[0].Runs())) <= rate*elapsed+max(1, rate/2))
	d.apps[0].SetHeader("Server-Limit", "0")
	d.waitFor(func() bool { l := d.nodes[0].Status().ServerLimit; return l != nil && l.RequestsPerSecond == 0 })
	runs := len(d.apps[0].Runs())
	for i := range 30 {
		status, _ := d.send(i%3, fmt.Sprint("r-", i))
		is.Equal(status, 200)
	}
	is.Equal(len(d.apps[0].Runs()), runs)
	d.apps[0].SetHeader("Server-Limit")
	d.waitFor(func() bool { return d.nodes[0].Status().ServerLimit == nil })
}
