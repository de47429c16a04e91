package main

import (
	"context"
	"crypto/rand"
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
	"strings"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
)

// This file gives each process of a fleet its addresses, writes the documents,
// and asks the processes for their state.

// deployment is a fleet on this machine.
type deployment struct {
	fleet     fleet
	folder    string
	documents string
	keyFile   string
	platform  netip.AddrPort
	hosts     []host
	customers []customer
	client    *http.Client
}

// host is one host of the fleet.
type host struct {
	prim.Host
	service service
	admin   netip.AddrPort // of the node
	server  netip.AddrPort
	control netip.AddrPort // of the server, outside its connection limit
}

// place chooses addresses and writes the documents and the fleet key.
func place(f fleet, folder string) (*deployment, error) {
	d := &deployment{fleet: f, folder: folder, documents: filepath.Join(folder, "documents"),
		keyFile: filepath.Join(folder, "fleet-key"), customers: slices.Clone(customers),
		client: &http.Client{Timeout: 15 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}}}
	for i := range d.customers {
		d.customers[i].token = randomText()
	}
	count := 0
	for _, s := range f.services {
		count += s.servers
	}
	ports, err := freePorts(1 + 4*count)
	if err != nil {
		return nil, err
	}
	d.platform, ports = ports[0], ports[1:]
	since := time.Now().Add(-time.Hour).UTC().Truncate(time.Second)
	for _, s := range f.services {
		for n := range s.servers {
			h := host{service: s, admin: ports[1], server: ports[2], control: ports[3]}
			h.Host = prim.Host{Name: prim.HostName(fmt.Sprintf("%s-%d", s.name, n+1)), Service: s.name,
				DataCentre: f.centres[len(d.hosts)%len(f.centres)],
				Address:    ports[0], State: prim.HostLive, Since: since}
			ports = ports[4:]
			d.hosts = append(d.hosts, h)
		}
	}
	return d, d.write(since)
}

// write writes the documents, after the checks that nodes make, and the key.
func (d *deployment) write(since time.Time) error {
	if err := os.Mkdir(d.documents, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(d.keyFile, []byte(randomText()), 0o600); err != nil {
		return err
	}
	var list []prim.Host
	for _, h := range d.hosts {
		list = append(list, h.Host)
	}
	var set config.Set
	for name, doc := range d.fleet.documents(d.customers, list, since) {
		body, err := json.MarshalIndent(doc, "", "  ")
		if err != nil {
			return err
		}
		if err := set.Parse(name, body); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(d.documents, name+".json"), body, 0o600); err != nil {
			return err
		}
	}
	if f := set.CheckAcross(); len(f) > 0 {
		return f
	}
	return nil
}

// freePorts returns loopback addresses that are free now. They are all held
// open until the last is found, so that none is returned twice.
func freePorts(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

// randomText returns 64 hex digits of random bits.
func randomText() string {
	var b [32]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ready waits until every process is ready and each customer that stays within
// its plan gets answers: a node that has just started grants nothing during its
// first lease term.
func (d *deployment) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	urls := []string{"http://" + d.platform.String() + "/readyz"}
	for _, h := range d.hosts {
		urls = append(urls, "http://"+h.control.String()+"/readyz", "http://"+h.admin.String()+"/readyz")
	}
	for _, u := range urls {
		if err := d.until(ctx, func() (*http.Request, error) { return http.NewRequestWithContext(ctx, http.MethodGet, u, nil) }); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		for _, c := range d.customers {
			for _, s := range d.fleet.services {
				if c.over() {
					continue
				}
				err := d.until(ctx, func() (*http.Request, error) {
					r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/ready", h.Address, s.name), nil)
					if err == nil {
						r.Header.Set("Authorization", "Bearer "+c.token)
					}
					return r, err
				})
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// until sends a request again and again until its answer has status 200.
func (d *deployment) until(ctx context.Context, build func() (*http.Request, error)) error {
	last := "no answer"
	for {
		r, err := build()
		if err != nil {
			return err
		}
		a, err := d.client.Do(r)
		if err == nil {
			body, _ := io.ReadAll(io.LimitReader(a.Body, 300))
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%s %s", a.Status, strings.TrimSpace(string(body)))
		} else if ctx.Err() == nil {
			last = err.Error()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w; last: %s", r.URL, context.Cause(ctx), last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// ledger is the sum of the servers' ledgers.
type ledger struct {
	Runs, Overflow int64
	Requests, Keys map[string]int
}

// ledger reads and adds up the ledgers of all servers.
func (d *deployment) ledger(ctx context.Context) (ledger, error) {
	sum := ledger{Requests: make(map[string]int), Keys: make(map[string]int)}
	for _, h := range d.hosts {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.control.String()+"/ledger", nil)
		if err != nil {
			return sum, err
		}
		a, err := d.client.Do(r)
		if err != nil {
			return sum, err
		}
		var one ledger
		err = json.NewDecoder(a.Body).Decode(&one)
		a.Body.Close()
		if err != nil {
			return sum, fmt.Errorf("ledger of %s: %w", h.Name, err)
		}
		sum.Runs += one.Runs
		sum.Overflow += one.Overflow
		for k, n := range one.Requests {
			sum.Requests[k] += n
		}
		for k, n := range one.Keys {
			sum.Keys[k] += n
		}
	}
	if sum.Overflow > 0 {
		return sum, errors.New("a ledger overflowed; lower -rate or -length")
	}
	return sum, nil
}
