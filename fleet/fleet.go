// Package fleet starts small fleets of real processes on loopback for the demo,
// the measurements and the failure tests: a stand-in platform, and for each
// host a stand-in server and a node. The product itself starts no processes.
package fleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
)

// Config describes a fleet.
type Config struct {
	// Bin is the folder of the programs primrosethread and standin.
	Bin string
	// Folder holds the documents and the logs. It must exist.
	Folder   string
	Services []Service
	// Plans, Allowances and DataCentres are the operators' documents.
	Plans       prim.Plans
	Allowances  prim.Allowances
	DataCentres prim.DataCentres
	// NodeArgs are added to the arguments of every node.
	NodeArgs []string
	// Address returns the address to publish for a node that listens at listen,
	// such as that of a relay in front of it. Without it listen is published.
	Address func(h prim.HostName, listen netip.AddrPort) (netip.AddrPort, error)
	// Replicas is the number of platform processes, which all serve the same
	// documents; 0 means 1.
	Replicas int
	// Journals makes every server write its runs to a file, so that they are
	// known after the server was killed; see Journal.
	Journals bool
}

// Service is a service with its hosts.
type Service struct {
	Name        prim.Service
	Slots       int
	Connections int
	// ServerArgs are added to the arguments of every server.
	ServerArgs []string
	Hosts      []Place
}

// Place names a host and its data centre.
type Place struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
}

// Host is a running host.
type Host struct {
	Place
	Service  prim.Service
	Listen   netip.AddrPort // of the node, for callers and peers
	Admin    netip.AddrPort // of the node, for status and metrics
	Server   netip.AddrPort
	Control  netip.AddrPort // of the server, outside its connection limit
	Node     *Process
	ServerOf *Process
	service  *Service
}

// Fleet is a running fleet.
type Fleet struct {
	c   Config
	key string
	// Platforms are the addresses of the platform's replicas.
	Platforms []netip.AddrPort
	Hosts     []*Host

	started   time.Time
	processes *processes

	mu    sync.Mutex
	hosts prim.Hosts
}

// nodeProgram is the name of the product's program.
const nodeProgram = "primrosethread"

// age is how long ago the hosts were published, as if the fleet had been there
// before this run.
const age = time.Hour

// Hash returns the form in which a token is published.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Start starts the platform and all hosts and waits until every node is ready.
// It leaves no process behind when it fails.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{c: c, key: rand.Text() + rand.Text(), started: time.Now(), processes: newProcesses()}
	if err := f.While(ctx, f.start); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.layOut(); err != nil {
		return err
	}
	for i, a := range f.Platforms {
		if _, err := f.run(fmt.Sprintf("platform-%d", i+1), "standin", "platform", "-folder", f.documents(), "-listen", a.String()); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err := f.StartServer(h); err != nil {
			return err
		}
		if err := f.StartNode(h); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		if err := f.WaitReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// layOut gives every process an address and writes the documents.
func (f *Fleet) layOut() error {
	replicas := max(1, f.c.Replicas)
	n := replicas
	for _, s := range f.c.Services {
		n += 4 * len(s.Hosts)
	}
	addrs, err := freeAddresses(n)
	if err != nil {
		return err
	}
	f.Platforms, addrs = addrs[:replicas], addrs[replicas:]
	since := f.started.Add(-age).UTC().Truncate(time.Second)
	for i := range f.c.Services {
		s := &f.c.Services[i]
		f.hosts.Services = append(f.hosts.Services, prim.ServiceEntry{
			Name: s.Name, Since: since, Slots: s.Slots, Connections: s.Connections,
		})
		for _, p := range s.Hosts {
			h := &Host{Place: p, Service: s.Name, Listen: addrs[0], Admin: addrs[1], Server: addrs[2], Control: addrs[3], service: s}
			addrs = addrs[4:]
			published := h.Listen
			if f.c.Address != nil {
				if published, err = f.c.Address(p.Host, h.Listen); err != nil {
					return err
				}
			}
			f.Hosts = append(f.Hosts, h)
			f.hosts.Hosts = append(f.hosts.Hosts, prim.Host{
				Name: p.Host, DataCentre: p.DataCentre, Service: s.Name, Address: published,
				State: prim.HostLive, Since: since,
			})
		}
	}
	if err := os.MkdirAll(f.documents(), 0o755); err != nil {
		return err
	}
	var set config.Set
	for name, d := range map[string]any{
		prim.NamePlans: f.c.Plans, prim.NameAllowances: f.c.Allowances,
		prim.NameDataCentres: f.c.DataCentres, prim.NameHosts: f.hosts,
	} {
		body, err := json.MarshalIndent(d, "", "  ")
		if err != nil {
			return err
		}
		if err := errors.Join(set.Parse(name, body), f.PublishRaw(name, body)); err != nil {
			return err
		}
	}
	if found := set.CheckAcross(); len(found) > 0 {
		return found
	}
	return nil
}

func (f *Fleet) documents() string { return filepath.Join(f.c.Folder, "documents") }

// Publish replaces a document in the platform's folder.
func (f *Fleet) Publish(name string, document any) error {
	b, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return err
	}
	return f.PublishRaw(name, b)
}

// PublishRaw replaces a document by the given bytes, which may be malformed.
func (f *Fleet) PublishRaw(name string, body []byte) error {
	path := filepath.Join(f.documents(), name+".json")
	// Renaming keeps the platform from reading half a document.
	if err := os.WriteFile(path+".new", body, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// PublishHosts edits the host list and publishes it.
func (f *Fleet) PublishHosts(edit func(*prim.Hosts)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(&f.hosts)
	return f.Publish(prim.NameHosts, f.hosts)
}

// StartServer starts the server of a host.
func (f *Fleet) StartServer(h *Host) error {
	args := append([]string{
		"server", "-listen", h.Server.String(), "-control-listen", h.Control.String(),
		"-slots", strconv.Itoa(h.service.Slots), "-connections", strconv.Itoa(h.service.Connections),
	}, h.service.ServerArgs...)
	if f.c.Journals {
		args = append(args, "-journal", f.journal(h))
	}
	p, err := f.run("server-"+string(h.Host), "standin", args...)
	h.ServerOf = p
	return err
}

// StartNode starts the node of a host. It is a new instance.
func (f *Fleet) StartNode(h *Host) error {
	args := append([]string{
		"node", "-name", string(h.Host), "-data-centre", string(h.DataCentre),
		"-listen", h.Listen.String(), "-admin-listen", h.Admin.String(),
		"-server", h.Server.String(), "-platform", f.platforms(),
		"-seeds", f.seed(h),
	}, f.c.NodeArgs...)
	entry := f.entry(h.Place.Host)
	if entry.Address != h.Listen {
		args = append(args, "-published-address", entry.Address.String())
	}
	p, err := f.run("node-"+string(h.Host), nodeProgram, args...)
	h.Node = p
	return err
}

// Host returns a host by its name.
func (f *Fleet) Host(name prim.HostName) *Host {
	for _, h := range f.Hosts {
		if h.Place.Host == name {
			return h
		}
	}
	return nil
}

// platforms lists the platform's replicas as the nodes' setting.
func (f *Fleet) platforms() string {
	var list []string
	for _, a := range f.Platforms {
		list = append(list, a.String())
	}
	return strings.Join(list, ",")
}

// seed names the next host as a peer from which a node may get the documents.
func (f *Fleet) seed(h *Host) string {
	next := f.Hosts[(slices.Index(f.Hosts, h)+1)%len(f.Hosts)].Place.Host
	return fmt.Sprintf("%s=%s", next, f.entry(next).Address)
}

// entry returns the newest entry of a host in the host list.
func (f *Fleet) entry(name prim.HostName) prim.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found prim.Host
	for _, e := range f.hosts.Hosts {
		if e.Name == name {
			found = e
		}
	}
	return found
}

// WaitReady waits until the server and the node of a host serve.
func (f *Fleet) WaitReady(ctx context.Context, h *Host) error {
	for _, w := range []struct {
		p  *Process
		at netip.AddrPort
	}{{h.ServerOf, h.Control}, {h.Node, h.Admin}} {
		if err := waitReady(ctx, w.p, w.at); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, p *Process, at netip.AddrPort) error {
	for {
		_, err := Get(ctx, "http://"+at.String()+"/readyz")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; last: %w", p.name, context.Cause(ctx), err)
		case <-p.Ended():
			return p.describe()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Fault sets the switches of a stand-in by its address.
func Fault(ctx context.Context, addr netip.AddrPort, switches any) error {
	b, err := json.Marshal(switches)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/fault", bytes.NewReader(b))
	if err != nil {
		return err
	}
	_, err = send(req)
	return err
}

// Get returns the body of a successful GET.
func Get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return send(req)
}

func send(req *http.Request) ([]byte, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %s", req.URL, resp.StatusCode, b)
	}
	return b, err
}

// Close kills all processes, frozen ones included, and waits for their end.
func (f *Fleet) Close() { f.processes.stop(false) }

// Stop stops the nodes as on a planned stop, then the other processes. The error
// says which nodes did not end with status 0 within 12 s.
func (f *Fleet) Stop() error { return f.processes.stop(true) }

// While runs do and cancels its context with an error if a process ends that
// was neither stopped nor killed by a method of this package.
func (f *Fleet) While(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := make(chan error, 1)
	go func() { end <- do(ctx) }()
	select {
	case err := <-end:
		return err
	case p := <-f.processes.died:
		err := p.describe()
		cancel(err)
		<-end
		return err
	}
}

// freeAddresses returns n addresses that nobody listens on. They share a random
// loopback address: outgoing connections, which come from 127.0.0.1, could take
// a port there before the fleet's process listens on it.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	b := make([]byte, 3)
	rand.Read(b)
	host := netip.AddrFrom4([4]byte{127, 1 + b[0]%254, b[1], 1 + b[2]%254})
	var addrs []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addrs, nil
}
