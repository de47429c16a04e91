package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// testbed is a fleet under test with its relays, its load and a record of the
// injected faults.
type testbed struct {
	t          *testing.T
	deployment *deployment
	fleet      *fleet.Fleet
	load       *loadGenerator
	relays     map[prim.HostName]*relay
	started    time.Time

	mu          sync.Mutex
	claimed     map[*fleet.Host]bool
	removed     map[*fleet.Host]bool      // published as lost
	cutOff      map[*fleet.Host]int       // number of active faults that may keep documents from the node
	restoredAt  map[*fleet.Host]time.Time // end of the last fault counted in cutOff
	spans       spans
	plans       prim.Plans
	allowances  prim.Allowances
	dataCentres prim.DataCentres
}

// newTestbed starts a fleet with a relay in front of every node.
func newTestbed(ctx context.Context, t *testing.T, d *deployment, seed uint64) *testbed {
	folder := t.TempDir()
	if *keepFlag != "" {
		folder = filepath.Join(*keepFlag, d.name)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	bed := &testbed{t: t, deployment: d, started: time.Now(), relays: make(map[prim.HostName]*relay),
		claimed: make(map[*fleet.Host]bool), removed: make(map[*fleet.Host]bool),
		cutOff: make(map[*fleet.Host]int), restoredAt: make(map[*fleet.Host]time.Time)}
	c := d.config()
	c.Folder = folder
	c.PublishedAddress = func(h prim.HostName, listen netip.AddrPort) (netip.AddrPort, error) {
		r, err := newRelay(listen)
		if err != nil {
			return netip.AddrPort{}, err
		}
		bed.relays[h] = r
		return r.address, nil
	}
	bed.plans, bed.allowances, bed.dataCentres = c.Plans, c.Allowances, c.DataCentres
	t.Cleanup(func() {
		for _, r := range bed.relays {
			r.close()
		}
	})
	start, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var err error
	if bed.fleet, err = fleet.Start(start, c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.fleet.Close)
	bed.load = newLoadGenerator(d, bed.fleet.Hosts, seed)
	return bed
}

// waitServing waits until a customer's request through every node to every service
// succeeds.
func (bed *testbed) waitServing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	for _, h := range bed.currentHosts() {
		for _, s := range bed.deployment.services {
			for {
				last, err := bed.probe(ctx, h, s.Name)
				if err == nil {
					break
				}
				if !sleep(ctx, 50*time.Millisecond) {
					bed.t.Errorf("%s does not serve %s: %v; last answer: %s", h.HostPlacement.Host, s.Name, err, last)
					break
				}
			}
		}
	}
}

func (bed *testbed) probe(ctx context.Context, h *fleet.Host, s prim.Service) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/ready", h.Listen, s), nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+bed.deployment.customers[0].token)
	req.Header.Set("Request-Timeout", "2000")
	resp, err := bed.load.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return string(body[:min(len(body), 300)]), err
}

// currentHosts returns the hosts that are not published as lost.
func (bed *testbed) currentHosts() []*fleet.Host {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	var hs []*fleet.Host
	for _, h := range bed.fleet.Hosts {
		if !bed.removed[h] {
			hs = append(hs, h)
		}
	}
	return hs
}

// claim reserves n random hosts for a fault, so that concurrent faults do not hit
// the same host. The returned function releases them.
func (bed *testbed) claim(random *rand.Rand, n int) ([]*fleet.Host, func()) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	var hs []*fleet.Host
	for _, i := range random.Perm(len(bed.fleet.Hosts)) {
		if h := bed.fleet.Hosts[i]; len(hs) < n && !bed.claimed[h] && !bed.removed[h] {
			bed.claimed[h] = true
			hs = append(hs, h)
		}
	}
	return hs, func() { bed.release(hs) }
}

// claimDataCentre reserves all hosts of a random data centre of which no host is
// claimed.
func (bed *testbed) claimDataCentre(random *rand.Rand) (prim.DataCentre, []*fleet.Host, func()) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, i := range random.Perm(len(bed.deployment.dataCentres)) {
		var hs []*fleet.Host
		free := true
		for _, h := range bed.fleet.Hosts {
			if h.DataCentre == bed.deployment.dataCentres[i] {
				hs = append(hs, h)
				free = free && !bed.claimed[h]
			}
		}
		if free {
			for _, h := range hs {
				bed.claimed[h] = true
			}
			return bed.deployment.dataCentres[i], hs, func() { bed.release(hs) }
		}
	}
	panic("every data centre has a claimed host: a pair of faults claims too many hosts")
}

func (bed *testbed) release(hs []*fleet.Host) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, h := range hs {
		delete(bed.claimed, h)
	}
}

// beginSpan appends a span for some hosts to a list; the returned function ends it.
func (bed *testbed) beginSpan(list *[]*span, hs ...*fleet.Host) (end func()) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	s := &span{hosts: hs, from: time.Now()}
	*list = append(*list, s)
	return func() {
		bed.mu.Lock()
		defer bed.mu.Unlock()
		s.until = time.Now()
	}
}

// markUnreachable records that documents may not reach some nodes, until the
// returned function is called.
func (bed *testbed) markUnreachable(hs ...*fleet.Host) (end func()) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, h := range hs {
		bed.cutOff[h]++
	}
	return func() {
		bed.mu.Lock()
		defer bed.mu.Unlock()
		for _, h := range hs {
			bed.cutOff[h]--
			bed.restoredAt[h] = time.Now()
		}
	}
}

// status is the part of a node's status document that the checks read.
type status struct {
	Instance  string
	Documents struct {
		Documents []struct {
			Name    string
			Version uint64
			Refused *struct{ Version uint64 }
		}
	}
}

func (bed *testbed) status(ctx context.Context, h *fleet.Host) (s status, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	b, err := fleet.Get(ctx, "http://"+h.Admin.String()+"/status")
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	return s, err
}

// watchVersions checks that no document version ever decreases at an instance of a
// node.
func (bed *testbed) watchVersions(ctx context.Context) {
	type documentKey struct{ instance, name string }
	seen := make(map[documentKey]uint64)
	for sleep(ctx, 200*time.Millisecond) {
		for _, h := range bed.currentHosts() {
			s, err := bed.status(ctx, h)
			if err != nil {
				continue // the node is down or frozen
			}
			for _, d := range s.Documents.Documents {
				key := documentKey{s.Instance, d.Name}
				if d.Version < seen[key] {
					bed.t.Errorf("%s reverted from version %d of %s to %d", h.HostPlacement.Host, seen[key], d.Name, d.Version)
				}
				seen[key] = d.Version
			}
		}
	}
}

// documentVersion returns the version of a document at a replica of the platform,
// or 0 if it is not known.
func (bed *testbed) documentVersion(ctx context.Context, platform netip.AddrPort, name string) uint64 {
	var index struct {
		Documents []struct {
			Name    string
			Version uint64
		}
	}
	if b, err := fleet.Get(ctx, "http://"+platform.String()+"/v1/index"); err != nil || json.Unmarshal(b, &index) != nil {
		return 0
	}
	for _, d := range index.Documents {
		if d.Name == name {
			return d.Version
		}
	}
	return 0
}

// publish replaces a document and returns its new version and the time from which
// the limits for it count. It reads the version from the last replica of the
// platform, which must not be stale or down.
func (bed *testbed) publish(ctx context.Context, name string, write func() error) (uint64, time.Time) {
	last := bed.fleet.Platforms[len(bed.fleet.Platforms)-1]
	before := bed.documentVersion(ctx, last, name)
	at := time.Now()
	if err := write(); err != nil {
		bed.t.Errorf("publish %s: %v", name, err)
		return 0, at
	}
	for {
		if v := bed.documentVersion(ctx, last, name); v > before && before > 0 {
			return v, at
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return 0, at
		}
	}
}

// publishDocument publishes the JSON encoding of a value.
func (bed *testbed) publishDocument(ctx context.Context, name string, d any) (uint64, time.Time) {
	return bed.publish(ctx, name, func() error { return bed.fleet.Publish(name, d) })
}

// checkInForce checks that a version is in force at every reachable node within
// documentSpreadLimit. Only a status requested after the limit fails a node.
func (bed *testbed) checkInForce(ctx context.Context, name string, version uint64, from time.Time) {
	bed.checkEventually(ctx, from, fmt.Sprintf("version %d of %s is not in force", version, name), func(s status) bool {
		for _, d := range s.Documents.Documents {
			if d.Name == name {
				return d.Version >= version
			}
		}
		return false
	})
}

// checkRefused checks that every reachable node reports a version as refused and
// does not put it in force.
func (bed *testbed) checkRefused(ctx context.Context, name string, version uint64, from time.Time) {
	bed.checkEventually(ctx, from, fmt.Sprintf("malformed version %d of %s is not reported", version, name), func(s status) bool {
		for _, d := range s.Documents.Documents {
			if d.Name == name && d.Version >= version {
				bed.t.Errorf("malformed version %d of %s is in force", version, name)
			}
			if d.Name == name {
				return d.Refused != nil && d.Refused.Version == version
			}
		}
		return false
	})
}

// checkEventually polls every node until ok accepts its status. The limit counts
// from the given time or, if later, from the end of the last fault that kept
// documents from the node.
func (bed *testbed) checkEventually(ctx context.Context, from time.Time, problem string, ok func(status) bool) {
	for _, h := range bed.currentHosts() {
		for {
			requested := time.Now()
			s, err := bed.status(ctx, h)
			if err == nil && ok(s) {
				break
			}
			bed.mu.Lock()
			cutOff, limit := bed.cutOff[h] > 0, from
			if bed.restoredAt[h].After(limit) {
				limit = bed.restoredAt[h]
			}
			bed.mu.Unlock()
			if err == nil && !cutOff && requested.After(limit.Add(documentSpreadLimit)) {
				bed.t.Errorf("%s at %s %s after %s", problem, h.HostPlacement.Host, requested.Sub(limit), formatTime(limit))
				break
			}
			if !sleep(ctx, 50*time.Millisecond) {
				bed.t.Errorf("%s at %s: %v, last error %v", problem, h.HostPlacement.Host, ctx.Err(), err)
				return
			}
		}
	}
}

// setFaults sets the fault switches of a stand-in.
func (bed *testbed) setFaults(ctx context.Context, a netip.AddrPort, switches string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	if err := fleet.SetFaults(ctx, a, json.RawMessage(switches)); err != nil {
		bed.t.Errorf("set fault switches %s: %v", switches, err)
	}
}

// sleep waits for d; it returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
