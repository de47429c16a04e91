// Package fleet runs small fleets of real processes on the loopback interface
// for the demo, the benchmarks and the failure tests: a stand-in platform, and
// for each host a stand-in server and a node. The load balancer itself starts no
// processes.
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
	// Bin is the directory with the binaries primrosethread and standin.
	Bin string
	// Folder is the directory for documents, logs and journals. It must exist.
	Folder   string
	Services []Service
	// Plans, Allowances and DataCentres are the documents that operators publish.
	Plans       prim.Plans
	Allowances  prim.Allowances
	DataCentres prim.DataCentres
	// NodeArgs are extra command-line arguments of every node.
	NodeArgs []string
	// PublishedAddress returns the address to publish for a node that listens on
	// listen, for example the address of a relay in front of it. If it is nil,
	// listen is published.
	PublishedAddress func(h prim.HostName, listen netip.AddrPort) (netip.AddrPort, error)
	// Replicas is the number of platform processes, all of which serve the same
	// documents; 0 means 1.
	Replicas int
	// Journals makes every server record its requests in a file, which survives a
	// kill of the server; see Fleet.Journal.
	Journals bool
}

// Service configures a service and its hosts.
type Service struct {
	Name        prim.Service
	Slots       int
	Connections int
	// ServerArgs are extra command-line arguments of every server.
	ServerArgs []string
	Hosts      []HostPlacement
}

// HostPlacement assigns a host to a data centre.
type HostPlacement struct {
	Host       prim.HostName
	DataCentre prim.DataCentre
}

// Host is a host of a running fleet, with its server and its node.
type Host struct {
	HostPlacement
	Service       prim.Service
	Listen        netip.AddrPort // node listener for callers and peers
	Admin         netip.AddrPort // node listener for status and metrics
	Server        netip.AddrPort
	Control       netip.AddrPort // server listener for readiness, faults and the ledger; exempt from the connection limit
	Node          *Process
	ServerProcess *Process
	serviceConfig *Service
}

// Fleet is a running fleet.
type Fleet struct {
	config Config
	key    string
	// Platforms lists the addresses of the platform replicas.
	Platforms []netip.AddrPort
	Hosts     []*Host

	started   time.Time
	processes *processGroup

	mu    sync.Mutex
	hosts prim.Hosts
}

// nodeProgram is the file name of the node's binary.
const nodeProgram = "primrosethread"

// publishedAge is how long ago the hosts were published, as if the fleet had
// existed before this run.
const publishedAge = time.Hour

// HashToken returns the hex-encoded SHA-256 hash of a token, the form in which
// credentials are published.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Start starts the platform and all hosts and waits until every node is ready.
// If it fails, it kills every process that it started.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{config: c, key: rand.Text() + rand.Text(), started: time.Now(), processes: newProcessGroup()}
	if err := f.RunWhileAlive(ctx, f.start); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.prepare(); err != nil {
		return err
	}
	for i, a := range f.Platforms {
		if _, err := f.startProcess(fmt.Sprintf("platform-%d", i+1), "standin", "platform", "-folder", f.documentsDir(), "-listen", a.String()); err != nil {
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

// prepare assigns an address to every process, then writes and validates the
// documents.
func (f *Fleet) prepare() error {
	replicas := max(1, f.config.Replicas)
	addressCount := replicas
	for _, s := range f.config.Services {
		addressCount += 4 * len(s.Hosts)
	}
	addrs, err := freeAddresses(addressCount)
	if err != nil {
		return err
	}
	f.Platforms, addrs = addrs[:replicas], addrs[replicas:]
	since := f.started.Add(-publishedAge).UTC().Truncate(time.Second)
	for i := range f.config.Services {
		s := &f.config.Services[i]
		f.hosts.Services = append(f.hosts.Services, prim.ServiceEntry{
			Name: s.Name, Since: since, Slots: s.Slots, Connections: s.Connections,
		})
		for _, p := range s.Hosts {
			h := &Host{HostPlacement: p, Service: s.Name,
				Listen: addrs[0], Admin: addrs[1], Server: addrs[2], Control: addrs[3], serviceConfig: s}
			addrs = addrs[4:]
			published := h.Listen
			if f.config.PublishedAddress != nil {
				if published, err = f.config.PublishedAddress(p.Host, h.Listen); err != nil {
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
	if err := os.MkdirAll(f.documentsDir(), 0o755); err != nil {
		return err
	}
	var set config.Set
	for name, d := range map[string]any{
		prim.NamePlans: f.config.Plans, prim.NameAllowances: f.config.Allowances,
		prim.NameDataCentres: f.config.DataCentres, prim.NameHosts: f.hosts,
	} {
		body, err := json.MarshalIndent(d, "", "  ")
		if err != nil {
			return err
		}
		if err := errors.Join(set.Parse(name, body), f.PublishRaw(name, body)); err != nil {
			return err
		}
	}
	if found := set.CheckReferences(); len(found) > 0 {
		return found
	}
	return nil
}

func (f *Fleet) documentsDir() string { return filepath.Join(f.config.Folder, "documents") }

// Publish replaces a document in the platform's directory by the JSON encoding of
// a value.
func (f *Fleet) Publish(name string, document any) error {
	b, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return err
	}
	return f.PublishRaw(name, b)
}

// PublishRaw replaces a document by the given bytes, which may be malformed.
func (f *Fleet) PublishRaw(name string, body []byte) error {
	path := filepath.Join(f.documentsDir(), name+".json")
	// The rename is atomic: the platform never reads a partly written document.
	if err := os.WriteFile(path+".new", body, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// PublishHosts applies edit to the host list and publishes the result.
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
		"-slots", strconv.Itoa(h.serviceConfig.Slots), "-connections", strconv.Itoa(h.serviceConfig.Connections),
	}, h.serviceConfig.ServerArgs...)
	if f.config.Journals {
		args = append(args, "-journal", f.journalPath(h))
	}
	p, err := f.startProcess("server-"+string(h.Host), "standin", args...)
	h.ServerProcess = p
	return err
}

// StartNode starts the node of a host as a new instance.
func (f *Fleet) StartNode(h *Host) error {
	args := append([]string{
		"node", "-name", string(h.Host), "-data-centre", string(h.DataCentre),
		"-listen", h.Listen.String(), "-admin-listen", h.Admin.String(),
		"-server", h.Server.String(), "-platform", f.platformList(),
		"-seeds", f.seedPeer(h),
	}, f.config.NodeArgs...)
	entry := f.hostEntry(h.HostPlacement.Host)
	if entry.Address != h.Listen {
		args = append(args, "-published-address", entry.Address.String())
	}
	p, err := f.startProcess("node-"+string(h.Host), nodeProgram, args...)
	h.Node = p
	return err
}

// Host returns the host with a name, or nil.
func (f *Fleet) Host(name prim.HostName) *Host {
	for _, h := range f.Hosts {
		if h.HostPlacement.Host == name {
			return h
		}
	}
	return nil
}

// platformList returns the value of the nodes' -platform flag.
func (f *Fleet) platformList() string {
	var list []string
	for _, a := range f.Platforms {
		list = append(list, a.String())
	}
	return strings.Join(list, ",")
}

// seedPeer returns the value of a node's -seeds flag: the next host, from which
// the node may fetch documents.
func (f *Fleet) seedPeer(h *Host) string {
	next := f.Hosts[(slices.Index(f.Hosts, h)+1)%len(f.Hosts)].HostPlacement.Host
	return fmt.Sprintf("%s=%s", next, f.hostEntry(next).Address)
}

// hostEntry returns the newest entry of a host in the host list.
func (f *Fleet) hostEntry(name prim.HostName) prim.Host {
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

// WaitReady waits until the server and the node of a host report ready.
func (f *Fleet) WaitReady(ctx context.Context, h *Host) error {
	for _, w := range []struct {
		p  *Process
		at netip.AddrPort
	}{{h.ServerProcess, h.Control}, {h.Node, h.Admin}} {
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
			return fmt.Errorf("%s is not ready: %w; last readiness error: %w", p.name, context.Cause(ctx), err)
		case <-p.Ended():
			return p.exitError()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// SetFaults posts fault switches, encoded as JSON, to the stand-in at addr.
func SetFaults(ctx context.Context, addr netip.AddrPort, switches any) error {
	b, err := json.Marshal(switches)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/fault", bytes.NewReader(b))
	if err != nil {
		return err
	}
	_, err = doRequest(req)
	return err
}

// Get returns the response body of a GET request; any status other than 200 is an
// error.
func Get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return doRequest(req)
}

func doRequest(req *http.Request) ([]byte, error) {
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

// Close kills all processes, including frozen ones, and waits until they exit.
func (f *Fleet) Close() { f.processes.stop(false) }

// Stop stops the nodes gracefully, then the other processes. The error names the
// nodes that did not exit with status 0 within 12 s.
func (f *Fleet) Stop() error { return f.processes.stop(true) }

// RunWhileAlive runs do and cancels its context with an error if a process exits
// unexpectedly, that is, without being stopped or killed by a method of this
// package.
func (f *Fleet) RunWhileAlive(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	result := make(chan error, 1)
	go func() { result <- do(ctx) }()
	select {
	case err := <-result:
		return err
	case p := <-f.processes.unexpectedExit:
		err := p.exitError()
		cancel(err)
		<-result
		return err
	}
}

// freeAddresses returns n unused addresses on a random loopback IP address. It
// avoids 127.0.0.1 because outgoing connections use that as their source and
// could take a port before the fleet's process listens on it.
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
