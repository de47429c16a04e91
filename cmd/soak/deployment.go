package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/fakes"
	"github.com/primrosethread/primrosethread/waits"
)

// config configures one run.
type config struct {
	seed    uint64
	length  time.Duration
	hosts   int
	program string
	folder  string
	network int // third octet of the hosts' addresses
}

// hostIP returns the address of a host, proxyIP that of the proxies in front of it.
func (c config) hostIP(i int) string  { return fmt.Sprintf("127.0.%d.%d", c.network, i+1) }
func (c config) proxyIP(i int) string { return fmt.Sprintf("127.0.%d.%d", c.network+1, i+1) }

// Ports on every host's loopback address, and the size and timing of the deployment.
// Hosts have the addresses 127.0.N.n with N = config.network. 127.0.(N+1).n are proxies:
// in front of the nodes of every second pair of hosts, or of all if there are regions, to
// disturb the links to them, and
// between each node and the store.
const (
	portCallers       = 18141
	portReady         = 18140
	portPeers         = 17660
	portServer        = 18147
	portStore         = 18142
	dataCentres       = 2 // without regions
	slots             = 8 // of each server
	serviceTime       = 15 * time.Millisecond
	warmUpRate        = 40.0 // requests a second that a cold server may get
	warmUpTime        = time.Second
	heartbeatInterval = 500 * time.Millisecond
)

// host is a host with its node, its server and the proxies of its node.
type host struct {
	name        string
	ip          string
	publishedIP string // address at which other hosts reach the node
	dataCentre  string
	app         *fakes.App
	appServer   *http.Server
	peerProxy   *fakes.Proxy // in front of the node; nil if there is none
	linkFaults  bool         // the fault "links" affects peerProxy
	storeProxy  *fakes.Proxy // between the node and the store

	mu     sync.Mutex
	node   *exec.Cmd
	exited chan struct{}
	// disturbedUntil is the end, in Unix nanoseconds, of the time in which a fault
	// affects the node, its links or its connection to the store, or the process
	// is replaced.
	disturbedUntil atomic.Int64
	cutUntil       atomic.Int64 // the same for a cut between data centres, which spares the store
	downUntil      atomic.Int64 // the same for a node that is killed or frozen
	stoppingUntil  atomic.Int64 // end of a planned stop, until the next process is started
}

// deployment is a set of hosts with the store that they share.
type deployment struct {
	c           config
	folder      string
	store       *fakes.Store
	storeServer *http.Server
	hosts       []*host
	version     uint64
	regions     int // 1: no route has home regions
	dataCentres int

	// writeMu is held while the operator or a server writes to the store, so that the
	// writes to a key are remembered in the order in which the store has them.
	writeMu sync.Mutex
	written map[string]write // last write to each key
	writes  int              // number of writes so far

	restoreMu    sync.Mutex // held from the copy to the end of the rewrite; locked before storeFaultMu
	storeFaultMu sync.Mutex // held during a fault of the store, which can have only one
	largeMu      sync.Mutex // held during the fault "large configuration", since the end of one ends another too

	mu              sync.Mutex
	routes          map[string]string // service by path, as published
	extraRoutes     int               // published besides routes
	routeChanges    []routeChange     // of the path /safe/, oldest first
	home            []string          // home regions of homePath; empty: no restriction
	homeChanges     []homeChange      // oldest first
	idleTimeout     time.Duration     // of clients, as published
	idleChanges     []idleChange      // of idleTimeout, oldest first
	storeFaultUntil atomic.Int64      // end of the store's fault in Unix nanoseconds
	violations      []string
	stalls          []interval // oldest first
}

// write is a write to a key of the store.
type write struct {
	value  any // nil if the key was deleted
	number int // in the order of all writes, from 1 on
}

// routeChange is a change of the service that serves the path /safe/.
type routeChange struct {
	at      time.Time
	service string
}

// storeHealthySince reports whether the store had no fault since a time.
func (d *deployment) storeHealthySince(t time.Time) bool {
	return d.storeFaultUntil.Load() < t.UnixNano()
}

// fail records a violation. Only the first 20 are kept.
func (d *deployment) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.violations) < 20 {
		d.violations = append(d.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func newDeployment(c config) (*deployment, error) {
	d := &deployment{c: c, store: fakes.NewStore(), written: make(map[string]write), routes: map[string]string{"/unsafe/": "orders", "/other/": "stock"},
		idleTimeout: usualIdleTimeout}
	d.drawRegions()
	var err error
	if d.folder = c.folder; d.folder == "" {
		if d.folder, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, err
		}
	}
	storeAddress := fmt.Sprintf("127.0.%d.250:%d", c.network, portStore)
	if d.storeServer, err = listenAndServe(storeAddress, d.store); err != nil {
		return nil, err
	}
	for i := range c.hosts {
		h := &host{
			name: fmt.Sprintf("h%d", i), ip: c.hostIP(i), dataCentre: fmt.Sprintf("c%d", i%d.dataCentres),
			app: fakes.NewApp([]string{"orders", "stock"}[i/d.dataCentres%2], fmt.Sprintf("i-%d", i), slots, serviceTime),
		}
		h.app.WarmUp = warmUpTime
		h.publishedIP = h.ip
		if h.appServer, err = listenAndServe(fmt.Sprintf("%s:%d", h.ip, portServer), h.app); err != nil {
			return nil, err
		}
		h.linkFaults = i%4 >= 2
		if h.linkFaults || d.regions > 1 {
			h.publishedIP = c.proxyIP(i)
			if h.peerProxy, err = fakes.NewProxy(fmt.Sprintf("%s:%d", h.publishedIP, portPeers), fmt.Sprintf("%s:%d", h.ip, portPeers)); err != nil {
				return nil, err
			}
		}
		if h.storeProxy, err = fakes.NewProxy(fmt.Sprintf("%s:%d", c.proxyIP(i), portStore), storeAddress); err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
		if err := d.writeSettings(i, h); err != nil {
			return nil, err
		}
	}
	d.publishRoutes("orders")
	for _, h := range d.hosts {
		d.publishServer(h, "ready")
		if err := d.startNode(h); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func listenAndServe(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return s, nil
}

func (d *deployment) settingsPath(h *host) string { return filepath.Join(d.folder, h.name+".json") }

func (d *deployment) writeSettings(i int, h *host) error {
	b, err := json.Marshal(map[string]any{
		"ip": h.ip, "zone": h.dataCentre, "zones": d.zones(), "service": h.app.Service,
		"upstream":   fmt.Sprintf("%s:%d", h.ip, portServer),
		"listen":     map[string]string{"outbound": fmt.Sprintf("%s:%d", h.ip, portCallers), "ready": fmt.Sprintf("%s:%d", h.ip, portReady)},
		"port_range": []int{portPeers, portPeers + 9}, "heartbeat_ms": heartbeatInterval.Milliseconds(), "limits": map[string]int{"memory_mb": 256},
		"bounds":   []string{"grace_s=6", "warmup_overage=1", "warmup_slack=5", "retry_ratio=0.2", "retry_slack=50", "retry_window_s=10"},
		"platform": map[string]string{"address": fmt.Sprintf("%s:%d", d.c.proxyIP(i), portStore)},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsPath(h), b, 0o644)
}

// write sets a key of the store and remembers the value, or deletes the key if the value
// is nil. The operator and the servers write only through it.
func (d *deployment) write(key string, value any) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.writes++
	d.written[key] = write{value, d.writes}
	d.writeRemembered(key)
}

// writeRemembered writes the last value of a key. The caller holds d.writeMu.
func (d *deployment) writeRemembered(key string) {
	if value := d.written[key].value; value != nil {
		d.store.Put(key, value)
	} else {
		d.store.Delete(key)
	}
}

// copyStore returns a copy of the store and the number of writes that were made before.
func (d *deployment) copyStore() (c *fakes.Snapshot, writes int) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	return d.store.Copy(), d.writes
}

// writeAgain repeats the last write of each key if its number is above after, in random
// order within maxDuration. Keys are deleted again too, since a restored copy may have
// them.
func (d *deployment) writeAgain(ctx context.Context, r *rand.Rand, after int, maxDuration time.Duration) {
	d.writeMu.Lock()
	keys := slices.Sorted(maps.Keys(d.written))
	keys = slices.DeleteFunc(keys, func(key string) bool { return d.written[key].number <= after })
	d.writeMu.Unlock()
	r.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	begin, length := time.Now(), time.Duration(r.Int64N(int64(maxDuration)))
	for i, key := range keys {
		waits.Sleep(ctx, time.Until(begin.Add(length*time.Duration(i)/time.Duration(len(keys)))))
		d.writeMu.Lock()
		d.writeRemembered(key)
		d.writeMu.Unlock()
	}
}

// versionStep is the difference between the numbers of consecutive versions of the routes.
const versionStep = 3

// versionPath returns the path that has a route only in one version of the routes.
func versionPath(version uint64) string { return fmt.Sprintf("/v%04x/", version) }

// publishRoutes writes the next version of the operator configuration to the store, with
// routes from the path /safe/ and that of the version to a service.
func (d *deployment) publishRoutes(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes["/safe/"] = service
	delete(d.routes, versionPath(d.version))
	d.version += versionStep
	d.routes[versionPath(d.version)] = service
	rows := [][]any{}
	for path, service := range d.routes {
		kind := "safe"
		if path == "/unsafe/" {
			kind = "unsafe"
		}
		var home []string
		if path == homePath {
			home = d.home
		}
		rows = append(rows, []any{"r" + path, "a.example", path, kind, 2000, 200, 1, service, 2, home})
	}
	for i := range d.extraRoutes {
		path := fmt.Sprintf("/extra%d/", i)
		rows = append(rows, []any{"r" + path, "a.example", path, "safe", 2000, 200, 1, "stock", 2})
	}
	begin := time.Now()
	d.write("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", d.version),
		"routes":  map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts", "allowed_regions"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 100, warmUpTime.Seconds(), warmUpRate}, {"stock", "/healthz", 100, warmUpTime.Seconds(), warmUpRate}}},
		"limits": map[string]any{"max_header_bytes": 16 << 10, "max_body_bytes": 1 << 20, "header_timeout_ms": 10000, "idle_timeout_ms": d.idleTimeout.Milliseconds()},
	})
	d.idleChanges = append(d.idleChanges, idleChange{time.Now(), d.idleTimeout})
	d.routeChanges = append(d.routeChanges, routeChange{time.Now(), service})
	d.homeChanges = append(d.homeChanges, homeChange{begin, time.Now(), d.home})
}

// publishExtraRoutes publishes a version with a number of routes that no client uses.
func (d *deployment) publishExtraRoutes(count int, service string) {
	d.mu.Lock()
	d.extraRoutes = count
	d.mu.Unlock()
	d.publishRoutes(service)
}

// otherService returns a service to which no route leads from the path /safe/.
func (d *deployment) otherService() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes["/safe/"] == "orders" {
		return "stock"
	}
	return "orders"
}

// publishServer writes the store entry of a host's server.
func (d *deployment) publishServer(h *host, state string) {
	d.write("servers/"+h.app.ID(), map[string]any{
		"service": h.app.Service, "address": fmt.Sprintf("%s:%d", h.publishedIP, portServer), "zone": h.dataCentre,
		"version": "v1", "slots": slots, "state": state, "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// startNode starts the process of a host's node.
func (d *deployment) startNode(h *host) error {
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.c.program, "mesh", "-settings", d.settingsPath(h))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	exited := make(chan struct{})
	h.node, h.exited = cmd, exited
	go func() {
		// Faults kill the process on purpose; the stop fault checks ProcessState.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the host's node, unless it has ended.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
	default:
		h.node.Process.Signal(s)
	}
}

// waitExit waits for the node's process to exit and reports whether it did in time.
func (h *host) waitExit(timeout time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// exitCode returns the exit status of the node's process, which has ended.
func (h *host) exitCode() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.ProcessState.ExitCode()
}

// markDisturbed marks the host as disturbed for d from now on.
func (h *host) markDisturbed(d time.Duration) { h.disturbedUntil.Store(time.Now().Add(d).UnixNano()) }

// undisturbedSince reports whether no fault affected the host since a time.
func (h *host) undisturbedSince(since time.Time) bool {
	return h.informedSince(since) && h.cutUntil.Load() < since.UnixNano()
}

// informedSince reports whether nothing kept the host from the store since a time.
func (h *host) informedSince(since time.Time) bool {
	return h.disturbedUntil.Load() < since.UnixNano()
}

// markDown marks the host's node as killed or frozen for d from now on.
func (h *host) markDown(d time.Duration) { h.downUntil.Store(time.Now().Add(d).UnixNano()) }

// aliveSince reports whether the node was neither killed nor frozen since a time. A planned stop
// doesn't count.
func (h *host) aliveSince(since time.Time) bool { return h.downUntil.Load() < since.UnixNano() }

// close kills the nodes and closes the servers and proxies of the run.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.waitExit(5 * time.Second)
		h.appServer.Close()
		h.storeProxy.Close()
		if h.peerProxy != nil {
			h.peerProxy.Close()
		}
	}
	d.storeServer.Close()
}

// waitReady waits until every node reports that it is ready.
func (d *deployment) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range d.hosts {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, portReady))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w; see its log in %s", h.name, ctx.Err(), d.folder)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
