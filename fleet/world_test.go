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

// world is a fleet under test with its relays, its load and what was done to it.
type world struct {
	t      *testing.T
	d      *deployment
	f      *fleet.Fleet
	load   *load
	relays map[prim.HostName]*relay
	began  time.Time

	mu      sync.Mutex
	claimed map[*fleet.Host]bool
	gone    map[*fleet.Host]bool
	away    map[*fleet.Host]int       // faults that keep documents from the node
	back    map[*fleet.Host]time.Time // end of the last such fault
	spans   spans
	plans   prim.Plans
	allowed prim.Allowances
	centres prim.DataCentres
}

// newWorld starts a fleet with a relay in front of every node.
func newWorld(ctx context.Context, t *testing.T, d *deployment, seed uint64) *world {
	folder := t.TempDir()
	if *keepFlag != "" {
		folder = filepath.Join(*keepFlag, d.name)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	w := &world{t: t, d: d, began: time.Now(), relays: make(map[prim.HostName]*relay),
		claimed: make(map[*fleet.Host]bool), gone: make(map[*fleet.Host]bool),
		away: make(map[*fleet.Host]int), back: make(map[*fleet.Host]time.Time)}
	c := d.config()
	c.Folder = folder
	c.Address = func(h prim.HostName, listen netip.AddrPort) (netip.AddrPort, error) {
		r, err := newRelay(listen)
		if err != nil {
			return netip.AddrPort{}, err
		}
		w.relays[h] = r
		return r.address, nil
	}
	w.plans, w.allowed, w.centres = c.Plans, c.Allowances, c.DataCentres
	t.Cleanup(func() {
		for _, r := range w.relays {
			r.close()
		}
	})
	start, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var err error
	if w.f, err = fleet.Start(start, c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.f.Close)
	w.load = newLoad(d, w.f.Hosts, seed)
	return w
}

// serves waits until every node gets answers for a customer from every service.
func (w *world) serves(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 25*time.Second)
	defer cancel()
	for _, h := range w.present() {
		for _, s := range w.d.services {
			for {
				last, err := w.probe(ctx, h, s.Name)
				if err == nil {
					break
				}
				if !pause(ctx, 50*time.Millisecond) {
					w.t.Errorf("%s does not serve %s: %v; last: %s", h.Place.Host, s.Name, err, last)
					break
				}
			}
		}
	}
}

func (w *world) probe(ctx context.Context, h *fleet.Host, s prim.Service) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/ready", h.Listen, s), nil)
	if err != nil {
		return "", err
	}
	q.Header.Set("Authorization", "Bearer "+w.d.customers[0].token)
	q.Header.Set("Request-Timeout", "2000")
	a, err := w.load.client.Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", a.StatusCode)
	}
	return string(body[:min(len(body), 300)]), err
}

// present returns the hosts that were not removed.
func (w *world) present() []*fleet.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hs []*fleet.Host
	for _, h := range w.f.Hosts {
		if !w.gone[h] {
			hs = append(hs, h)
		}
	}
	return hs
}

// claim takes n random hosts for a fault, so that two faults at once do not hit
// one host. The function gives them back.
func (w *world) claim(random *rand.Rand, n int) ([]*fleet.Host, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hs []*fleet.Host
	for _, i := range random.Perm(len(w.f.Hosts)) {
		if h := w.f.Hosts[i]; len(hs) < n && !w.claimed[h] && !w.gone[h] {
			w.claimed[h] = true
			hs = append(hs, h)
		}
	}
	return hs, func() { w.release(hs) }
}

// claimCentre takes all hosts of a random data centre that no fault uses.
func (w *world) claimCentre(random *rand.Rand) (prim.DataCentre, []*fleet.Host, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range random.Perm(len(w.d.centres)) {
		var hs []*fleet.Host
		free := true
		for _, h := range w.f.Hosts {
			if h.DataCentre == w.d.centres[i] {
				hs = append(hs, h)
				free = free && !w.claimed[h]
			}
		}
		if free {
			for _, h := range hs {
				w.claimed[h] = true
			}
			return w.d.centres[i], hs, func() { w.release(hs) }
		}
	}
	panic("no free data centre: a pair of faults uses too many hosts")
}

func (w *world) release(hs []*fleet.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hs {
		delete(w.claimed, h)
	}
}

// during notes that something holds for some hosts; the function ends it.
func (w *world) during(list *[]*span, hs ...*fleet.Host) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &span{hosts: hs, from: time.Now()}
	*list = append(*list, s)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.until = time.Now()
	}
}

// unreachable notes that documents may not reach some nodes.
func (w *world) unreachable(hs ...*fleet.Host) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hs {
		w.away[h]++
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, h := range hs {
			w.away[h]--
			w.back[h] = time.Now()
		}
	}
}

// status is the part of a node's status that the checks use.
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

func (w *world) status(ctx context.Context, h *fleet.Host) (s status, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	b, err := fleet.Get(ctx, "http://"+h.Admin.String()+"/status")
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	return s, err
}

// watch checks that no document ever goes back at an instance of a node.
func (w *world) watch(ctx context.Context) {
	type place struct{ instance, name string }
	seen := make(map[place]uint64)
	for pause(ctx, 200*time.Millisecond) {
		for _, h := range w.present() {
			s, err := w.status(ctx, h)
			if err != nil {
				continue // the node is down or frozen
			}
			for _, d := range s.Documents.Documents {
				p := place{s.Instance, d.Name}
				if d.Version < seen[p] {
					w.t.Errorf("%s went back from version %d of %s to %d", h.Place.Host, seen[p], d.Name, d.Version)
				}
				seen[p] = d.Version
			}
		}
	}
}

// version returns the version of a document at a replica of the platform.
func (w *world) version(ctx context.Context, platform netip.AddrPort, name string) uint64 {
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

// publish replaces a document and returns its version and the time from which
// its limits count. The last replica of the platform must not be stale or down.
func (w *world) publish(ctx context.Context, name string, write func() error) (uint64, time.Time) {
	last := w.f.Platforms[len(w.f.Platforms)-1]
	before := w.version(ctx, last, name)
	at := time.Now()
	if err := write(); err != nil {
		w.t.Errorf("publish %s: %v", name, err)
		return 0, at
	}
	for {
		if v := w.version(ctx, last, name); v > before && before > 0 {
			return v, at
		}
		if !pause(ctx, 20*time.Millisecond) {
			return 0, at
		}
	}
}

// publishDocument publishes a value.
func (w *world) publishDocument(ctx context.Context, name string, d any) (uint64, time.Time) {
	return w.publish(ctx, name, func() error { return w.f.Publish(name, d) })
}

// inForce checks that a version is in force at every reachable node within the
// limit. A node fails only by an answer that it was asked for after the limit.
func (w *world) inForce(ctx context.Context, name string, version uint64, from time.Time) {
	w.eventually(ctx, from, fmt.Sprintf("version %d of %s is not in force", version, name), func(s status) bool {
		for _, d := range s.Documents.Documents {
			if d.Name == name {
				return d.Version >= version
			}
		}
		return false
	})
}

// refused checks that every reachable node reports a version as refused.
func (w *world) refused(ctx context.Context, name string, version uint64, from time.Time) {
	w.eventually(ctx, from, fmt.Sprintf("malformed version %d of %s is not reported", version, name), func(s status) bool {
		for _, d := range s.Documents.Documents {
			if d.Name == name && d.Version >= version {
				w.t.Errorf("malformed version %d of %s is in force", version, name)
			}
			if d.Name == name {
				return d.Refused != nil && d.Refused.Version == version
			}
		}
		return false
	})
}

func (w *world) eventually(ctx context.Context, from time.Time, what string, ok func(status) bool) {
	for _, h := range w.present() {
		for {
			asked := time.Now()
			s, err := w.status(ctx, h)
			if err == nil && ok(s) {
				break
			}
			w.mu.Lock()
			away, limit := w.away[h] > 0, from
			if w.back[h].After(limit) {
				limit = w.back[h]
			}
			w.mu.Unlock()
			if err == nil && !away && asked.After(limit.Add(spreadWithin)) {
				w.t.Errorf("%s at %s %s after %s", what, h.Place.Host, asked.Sub(limit), clock(limit))
				break
			}
			if !pause(ctx, 50*time.Millisecond) {
				w.t.Errorf("%s at %s: %v, last error %v", what, h.Place.Host, ctx.Err(), err)
				return
			}
		}
	}
}

// fault sets the switches of a stand-in.
func (w *world) fault(ctx context.Context, a netip.AddrPort, switches string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	if err := fleet.Fault(ctx, a, json.RawMessage(switches)); err != nil {
		w.t.Errorf("fault %s: %v", switches, err)
	}
}

// pause waits and reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
