package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/stand"
)

// config is one run.
type config struct {
	seed    uint64
	length  time.Duration
	hosts   int
	program string
	folder  string
	network int // third number of the hosts' addresses
}

// host returns the address of a host, proxy that of its proxies.
func (c config) host(i int) string  { return fmt.Sprintf("127.0.%d.%d", c.network, i+1) }
func (c config) proxy(i int) string { return fmt.Sprintf("127.0.%d.%d", c.network+1, i+1) }

// Ports on every host's loopback address. Hosts have the addresses 127.0.N.n with
// N = config.network; 127.0.N+1.n are proxies before the nodes of every second pair
// of hosts, so that links to them can be harmed.
const (
	portCallers = 18141
	portReady   = 18140
	portPeers   = 17660
	portServer  = 18147
	portStore   = 18142
	centres     = 2
	slots       = 8
	work        = 15 * time.Millisecond
	coldRate    = 40.0
	coldFor     = time.Second
	heartbeat   = 500 * time.Millisecond
)

// host is one host with its node, its server and the way to its node.
type host struct {
	name    string
	ip      string
	entryIP string // where other hosts reach the node
	centre  string
	app     *stand.App
	server  *http.Server
	proxy   *stand.Proxy // nil if there is none
	store   *stand.Proxy // the node's way to the store

	mu    sync.Mutex
	node  *exec.Cmd
	ended chan struct{}
	// disturbed is until when the node, its links or its way to the store were
	// harmed, or its process changed.
	disturbed atomic.Int64
}

// world is a deployment.
type world struct {
	c       config
	folder  string
	store   *stand.Store
	web     *http.Server
	hosts   []*host
	version uint64

	mu       sync.Mutex
	routes   map[string]string // path to service, as published
	moves    []move            // of the path /safe/
	storeBad atomic.Int64      // until when the store was harmed
	broken   []string
}

// move is a change of the service of the path /safe/.
type move struct {
	at      time.Time
	service string
}

// wellSince reports whether the store was well from a time on.
func (w *world) wellSince(t time.Time) bool { return w.storeBad.Load() < t.UnixNano() }

// fail notes a promise that was not kept.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) < 20 {
		w.broken = append(w.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func newWorld(c config) (*world, error) {
	w := &world{c: c, store: stand.NewStore(), routes: map[string]string{"/safe/": "orders", "/unsafe/": "orders", "/other/": "stock"}}
	var err error
	if w.folder = c.folder; w.folder == "" {
		if w.folder, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, err
		}
	}
	storeAt := fmt.Sprintf("127.0.%d.250:%d", c.network, portStore)
	if w.web, err = serveAt(storeAt, w.store); err != nil {
		return nil, err
	}
	for i := range c.hosts {
		h := &host{
			name: fmt.Sprintf("h%d", i), ip: c.host(i), centre: fmt.Sprintf("c%d", i%centres),
			app: stand.NewApp([]string{"orders", "stock"}[i/centres%2], fmt.Sprintf("i-%d", i), slots, work),
		}
		h.app.WarmUp = coldFor
		h.entryIP = h.ip
		if h.server, err = serveAt(fmt.Sprintf("%s:%d", h.ip, portServer), h.app); err != nil {
			return nil, err
		}
		if i%4 >= 2 {
			h.entryIP = c.proxy(i)
			if h.proxy, err = stand.NewProxy(fmt.Sprintf("%s:%d", h.entryIP, portPeers), fmt.Sprintf("%s:%d", h.ip, portPeers)); err != nil {
				return nil, err
			}
		}
		if h.store, err = stand.NewProxy(fmt.Sprintf("%s:%d", c.proxy(i), portStore), storeAt); err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		if err := w.writeSettings(i, h); err != nil {
			return nil, err
		}
	}
	w.publishRoutes()
	for _, h := range w.hosts {
		w.publish(h, "ready")
		if err := w.start(h); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func serveAt(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return s, nil
}

func (w *world) settingsPath(h *host) string { return filepath.Join(w.folder, h.name+".json") }

func (w *world) writeSettings(i int, h *host) error {
	b, err := json.Marshal(map[string]any{
		"ip": h.ip, "zone": h.centre, "zones": map[string]string{"c0": "r", "c1": "r"}, "service": h.app.Service,
		"upstream":   fmt.Sprintf("%s:%d", h.ip, portServer),
		"listen":     map[string]string{"outbound": fmt.Sprintf("%s:%d", h.ip, portCallers), "ready": fmt.Sprintf("%s:%d", h.ip, portReady)},
		"port_range": []int{portPeers, portPeers + 9}, "heartbeat_ms": heartbeat.Milliseconds(), "limits": map[string]int{"memory_mb": 256},
		"bounds":   []string{"grace_s=6", "warmup_overage=1", "warmup_slack=5", "retry_ratio=0.2", "retry_slack=50", "retry_window_s=10"},
		"platform": map[string]string{"address": fmt.Sprintf("%s:%d", w.c.proxy(i), portStore)},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(w.settingsPath(h), b, 0o644)
}

// publishRoutes writes the next version of the operators' configuration.
func (w *world) publishRoutes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	rows := [][]any{}
	for path, service := range w.routes {
		kind := "safe"
		if path == "/unsafe/" {
			kind = "unsafe"
		}
		rows = append(rows, []any{"r" + path, "a.example", path, kind, 2000, 200, 1, service, 2})
	}
	w.store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", w.version),
		"routes":  map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "warmup_s", "warmup_per_s"},
			"rows": [][]any{{"orders", "/healthz", 100, coldFor.Seconds(), coldRate}, {"stock", "/healthz", 100, coldFor.Seconds(), coldRate}}},
	})
	w.moves = append(w.moves, move{time.Now(), w.routes["/safe/"]})
}

// publish writes the entry of a host's server.
func (w *world) publish(h *host, state string) {
	w.store.Put("servers/"+h.app.ID(), map[string]any{
		"service": h.app.Service, "address": fmt.Sprintf("%s:%d", h.entryIP, portServer), "zone": h.centre,
		"version": "v1", "slots": slots, "state": state, "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// start starts the node of a host.
func (w *world) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.c.program, "mesh", "-settings", w.settingsPath(h))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := make(chan struct{})
	h.node, h.ended = cmd, ended
	go func() {
		// The status of a process that was killed on purpose says nothing.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node of a host, by the id of its process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
	default:
		h.node.Process.Signal(s)
	}
}

// stopped waits for the end of the node's process.
func (h *host) stopped(d time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// disturb notes that a host is harmed until a time from now.
func (h *host) disturb(d time.Duration) { h.disturbed.Store(time.Now().Add(d).UnixNano()) }

// calm reports whether a host was well from a time on.
func (h *host) calm(since time.Time) bool { return h.disturbed.Load() < since.UnixNano() }

// close ends everything that the run started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.stopped(5 * time.Second)
		h.server.Close()
		h.store.Close()
		if h.proxy != nil {
			h.proxy.Close()
		}
	}
	w.web.Close()
}

// ready waits until every node says that it is.
func (w *world) ready(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
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
				return fmt.Errorf("host %s is not ready: %w; see its log in %s", h.name, ctx.Err(), w.folder)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
