package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: hosts with servers and nodes, and the platform's store.
type fleet struct {
	record       *record
	folder       string // temporary
	network      string // first three parts of all addresses
	store        *store
	storeAddress string
	storeServer  *http.Server
	hosts        []*host
	version      int
	done         chan struct{} // closed at the end of the script

	mu       sync.Mutex
	requests []*request
}

const routeHost = "ficu95.example"

// Bounds of the deployment, as in its settings.
const (
	contact  = 3 * time.Second
	drain    = 2 * time.Second
	grace    = 6 * time.Second
	coldRate = 35.0
	coldTime = 3 * time.Second
	coldMost = coldRate*1.5 + 5 // requests to a cold server in one second
)

// newFleet returns a deployment with one host for each of the zones named, all with servers
// of one service. Nothing runs yet.
func newFleet(r *record, zones ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, store: newStore(), done: make(chan struct{})}
	f.closeOnSignal()
	if f.network, err = freeNetwork(len(zones)); err != nil {
		return f, err
	}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("host-%d", i+1), ip: fmt.Sprintf("%s.%d", f.network, i+1), zone: zone}
		h.server = &server{record: r, service: "bookings", id: fmt.Sprintf("i-%d", i+1), address: h.address(portServer),
			slots: 9, queue: 18, work: 60 * time.Millisecond}
		f.hosts = append(f.hosts, h)
	}
	f.storeAddress = fmt.Sprintf("%s.250:%d", f.network, portStore)
	listener, err := net.Listen("tcp", f.storeAddress)
	if err != nil {
		return f, err
	}
	f.storeServer = &http.Server{Handler: f.store}
	go f.storeServer.Serve(listener)
	return f, nil
}

// freeNetwork returns the first three parts of loopback addresses whose ports are free.
func freeNetwork(hosts int) (string, error) {
	for i := 1; i < 250; i++ {
		network := fmt.Sprintf("127.83.%d", i)
		free := true
		for _, port := range [...]int{portOutbound, portReady, portServer, portFirst, portStore, portMetrics} {
			for n := range hosts {
				free = free && canListen(fmt.Sprintf("%s.%d:%d", network, n+1, port))
			}
		}
		if free && canListen(fmt.Sprintf("%s.250:%d", network, portStore)) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func canListen(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// publishConfig writes the next version of the operator's configuration, in which a service
// serves the safe and the unsafe route.
func (f *fleet) publishConfig(timeout time.Duration, service string) time.Time {
	f.version += 3
	ms := timeout.Milliseconds()
	return f.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", f.version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service", "attempts", "split"},
			"rows": [][]any{
				{"r-safe", routeHost, "/safe/", "safe", ms, 200, 2, service, 2, nil},
				{"r-unsafe", routeHost, "/unsafe/", "unsafe", ms, 250, 1, service, 2, nil},
				{"r-pay", routeHost, "/pay/", "unsafe", ms, 250, 0, "payments", 2, nil},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_conns", "protocol", "tls", "warmup_s", "warmup_per_s"},
			"rows": [][]any{
				{"bookings", healthPath, 220, "h1", false, coldTime.Seconds(), coldRate},
				{"payments", healthPath, 220, "h1", false, coldTime.Seconds(), coldRate},
			},
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// publishServer writes the entry of a host's server.
func (f *fleet) publishServer(h *host) time.Time {
	return f.store.put("servers/"+h.server.id, map[string]any{
		"service": h.server.service, "address": h.server.address, "zone": h.zone, "version": "v1", "slots": h.server.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": 4, "born": time.Now().UnixMilli(),
	})
}

// start starts the servers and the nodes, and waits until all nodes are ready.
func (f *fleet) start(timeout time.Duration) error {
	f.publishConfig(timeout, "bookings")
	for i, h := range f.hosts {
		var err error
		if h.storeProxy, err = newProxy(fmt.Sprintf("%s.%d:%d", f.network, 100+i, portStore), f.storeAddress); err != nil {
			return err
		}
		if err := h.server.start(); err != nil {
			return err
		}
		f.publishServer(h)
		if err := f.writeSettings(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.startNode(h); err != nil {
			return err
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if response, err := http.Get("http://" + h.address(portReady) + "/v1/readyz"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.hosts) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready after 10 s; see the logs in %s", ready, len(f.hosts), f.folder)
		}
	}
	for _, h := range f.hosts {
		go h.checkReadiness(f.done)
	}
	f.record.write("all nodes are ready")
	return nil
}

// closeOnSignal ends all that the script has started, and the script itself, if it is
// interrupted.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(couldntRun)
	}()
}

// close ends all that the script has started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		f.stopNode(h)
		if h.server.http != nil {
			h.server.http.Close()
		}
		if h.storeProxy != nil {
			h.storeProxy.close()
		}
	}
	if f.storeServer != nil {
		f.storeServer.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}

func (f *fleet) addRequest(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, q)
}

// sent returns the requests that were sent, by their ids.
func (f *fleet) sent() map[string]*request {
	f.mu.Lock()
	defer f.mu.Unlock()
	byID := make(map[string]*request, len(f.requests))
	for _, q := range f.requests {
		byID[q.id] = q
	}
	return byID
}
