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
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	prim "github.com/primrosethread/primrosethread"
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
	Node     *Process
	ServerOf *Process
	service  *Service
}

// Fleet is a running fleet.
type Fleet struct {
	c        Config
	key      string
	Platform netip.AddrPort
	platform *Process
	Hosts    []*Host
	started  time.Time

	mu        sync.Mutex
	processes []*Process
	hosts     prim.Hosts
}

// Hash returns the form in which a token is published.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Start starts the platform and all hosts and waits until every node is ready.
// It leaves no process behind when it fails.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{c: c, key: rand.Text() + rand.Text(), started: time.Now()}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.layOut(); err != nil {
		return err
	}
	var err error
	if f.platform, err = f.run("platform", "standin", "platform", "-folder", f.documents(), "-listen", f.Platform.String()); err != nil {
		return err
	}
	for _, h := range f.Hosts {
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
	n := 1
	for _, s := range f.c.Services {
		n += 3 * len(s.Hosts)
	}
	addrs, err := freeAddresses(n)
	if err != nil {
		return err
	}
	f.Platform, addrs = addrs[0], addrs[1:]
	since := f.started.UTC().Truncate(time.Second)
	for i := range f.c.Services {
		s := &f.c.Services[i]
		f.hosts.Services = append(f.hosts.Services, prim.ServiceEntry{
			Name: s.Name, Since: since, Slots: s.Slots, Connections: s.Connections,
		})
		for _, p := range s.Hosts {
			h := &Host{Place: p, Service: s.Name, Listen: addrs[0], Admin: addrs[1], Server: addrs[2], service: s}
			addrs = addrs[3:]
			f.Hosts = append(f.Hosts, h)
			f.hosts.Hosts = append(f.hosts.Hosts, prim.Host{
				Name: p.Host, DataCentre: p.DataCentre, Service: s.Name, Address: h.Listen,
				State: prim.HostLive, Since: since,
			})
		}
	}
	if err := os.MkdirAll(f.documents(), 0o755); err != nil {
		return err
	}
	return errors.Join(
		f.Publish(prim.NamePlans, f.c.Plans),
		f.Publish(prim.NameAllowances, f.c.Allowances),
		f.Publish(prim.NameDataCentres, f.c.DataCentres),
		f.Publish(prim.NameHosts, f.hosts),
	)
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
		"server", "-listen", h.Server.String(),
		"-slots", strconv.Itoa(h.service.Slots), "-connections", strconv.Itoa(h.service.Connections),
	}, h.service.ServerArgs...)
	p, err := f.run("server-"+string(h.Host), "standin", args...)
	h.ServerOf = p
	return err
}

// StartNode starts the node of a host. It is a new instance.
func (f *Fleet) StartNode(h *Host) error {
	args := append([]string{
		"node", "-name", string(h.Host), "-data-centre", string(h.DataCentre),
		"-listen", h.Listen.String(), "-admin-listen", h.Admin.String(),
		"-server", h.Server.String(), "-platform", f.Platform.String(),
	}, f.c.NodeArgs...)
	p, err := f.run("node-"+string(h.Host), "primrosethread", args...)
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

// WaitReady waits until the node of a host serves.
func (f *Fleet) WaitReady(ctx context.Context, h *Host) error {
	for {
		if _, err := Get(ctx, "http://"+h.Admin.String()+"/readyz"); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node of host %q is not ready: %w; see its log in %s", h.Place.Host, ctx.Err(), f.c.Folder)
		case <-h.Node.Ended():
			return fmt.Errorf("node of host %q ended; see its log in %s", h.Place.Host, f.c.Folder)
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

// Close stops all processes, frozen ones included, and waits for their end.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
	for _, p := range f.processes {
		<-p.Ended()
	}
}

// Process is one process of a fleet.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// run starts a program with its output in a log file.
func (f *Fleet) run(name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(f.c.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.c.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "PRIMROSETHREAD_FLEET_KEY="+f.key)
	// A fleet must not outlive its starter, even if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w; build the programs with make build", program, err)
	}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended; call it after Ended is closed.
func (p *Process) Err() error { return p.err }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Stop asks the process to stop, as on a planned stop.
func (p *Process) Stop() { p.cmd.Process.Signal(syscall.SIGTERM) }

// Kill ends the process at once.
func (p *Process) Kill() { p.cmd.Process.Kill() }

// Freeze pauses the process until Thaw.
func (p *Process) Freeze() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.cmd.Process.Signal(syscall.SIGCONT) }

// freeAddresses returns n loopback addresses that nobody listens on.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	var addrs []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addrs, nil
}
