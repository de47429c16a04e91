package once

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// fault is what the network and the server do with one dispatch.
type fault struct {
	Delay     time.Duration // before the owner sees it, as if it were frozen
	Cut       bool          // the link breaks; with a delay the frame arrives later
	LoseReply bool
	Busy      bool // the server's owner refuses
	Dies      bool // runs, and the owner never learns the end
	Work      time.Duration
}

// machine is a host of the service: its times in the host list, and the current
// instance of its owner.
type machine struct {
	since, leaving, until time.Time
	down                  bool
	instance              int
	owner                 *Owner
	handler               prim.Handler
}

// world is a service, seen by nodes whose host lists are of different ages. The
// embedded ports are nil: their other methods are not called.
type world struct {
	prim.Members
	prim.Policy
	skew    time.Duration // of the platform's clock
	founded time.Time
	lags    map[prim.HostName]time.Duration // age of a node's host list
	faults  []fault
	bytes   int64
	parted  func(ingress, h prim.HostName) bool

	mu    sync.Mutex
	hosts map[prim.HostName]*machine
	turn  int
	runs  map[string]int
	ran   map[string]bool // by the value of the header Attempt
}

func newWorld(names ...prim.HostName) *world {
	w := &world{
		founded: time.Now().Add(-24 * time.Hour), lags: map[prim.HostName]time.Duration{},
		hosts: map[prim.HostName]*machine{}, runs: map[string]int{}, ran: map[string]bool{},
	}
	for _, n := range names {
		w.hosts[n] = &machine{since: w.founded}
		w.start(n, time.Now().Add(-12*time.Hour))
	}
	return w
}

// start replaces the instance at a host.
func (w *world) start(h prim.HostName, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.hosts[h]
	m.instance++
	m.down = false
	m.owner = NewOwner(OwnerConfig{Host: h, Next: &serverOwner{w: w, host: h}, Documents: &documents{w, h},
		Transport: &transport{w: w, from: h, m: m}, Started: at, Bytes: w.bytes})
}

func (w *world) walker(ingress prim.HostName) *Walker {
	return NewWalker(WalkerConfig{Host: ingress, Documents: &documents{w, ingress}, Members: w, Policy: w, Owners: &side{w, ingress}})
}

func (w *world) Failed(prim.HostName)             {}
func (w *world) Observe(prim.Sample)              {}
func (w *world) Finished(prim.Attempt)            {}
func (w *world) Owner(h prim.HostName) prim.Owner { return &remote{w: w, host: h} }

// side is the network as one ingress node has it.
type side struct {
	*world
	ingress prim.HostName
}

func (s *side) Owner(h prim.HostName) prim.Owner {
	return &remote{w: s.world, host: h, from: s.ingress}
}

func (w *world) next() (f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) > 0 {
		f = w.faults[w.turn%len(w.faults)]
		w.turn++
	}
	return f
}

type documents struct {
	w    *world
	node prim.HostName
}

func (d *documents) View() *prim.View {
	at := time.Now().Add(-d.w.lags[d.node])
	var list []prim.Host
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	for n, m := range d.w.hosts {
		h := prim.Host{Name: n, Service: "s", State: prim.HostLive, Since: m.since.Add(d.w.skew)}
		if m.since.After(at) {
			continue
		}
		if !m.leaving.IsZero() && !m.leaving.After(at) {
			h.State = prim.HostLeaving
		}
		if !m.until.IsZero() && !m.until.After(at) {
			h.State, h.Until = prim.HostLost, m.until.Add(d.w.skew)
		}
		list = append(list, h)
	}
	return prim.NewView(prim.ViewConfig{
		Digests: map[string]prim.Digest{prim.NameHosts: {Issued: at.Add(d.w.skew)}},
		Hosts:   prim.Hosts{Services: []prim.ServiceEntry{{Name: "s", Since: d.w.founded.Add(d.w.skew)}}, Hosts: list},
	})
}

func (d *documents) Changed() <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(c) })
	return c
}

// remote is an owner across the network.
type remote struct {
	prim.Owner
	w          *world
	host, from prim.HostName
}

func (o *remote) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	f := o.w.next()
	o.w.mu.Lock()
	m := o.w.hosts[o.host]
	down, instance := m.down, m.instance
	o.w.mu.Unlock()
	if down || o.w.parted != nil && o.w.parted(o.from, o.host) {
		return nil, &prim.Refusal{Reason: prim.ReasonUnreachable, Host: o.host}
	}
	type end struct {
		a   *prim.Answer
		err error
	}
	ends := make(chan end, 2)
	sent := time.Now()
	lost := end{nil, &prim.Lost{Host: o.host, Cause: io.EOF}}
	go func() {
		if f.Cut {
			if ends <- lost; f.Delay == 0 {
				return
			}
		}
		time.Sleep(f.Delay)
		o.w.mu.Lock()
		gone, owner := m.down || m.instance != instance, m.owner
		o.w.mu.Unlock()
		if gone {
			ends <- end{nil, &prim.Refusal{Reason: prim.ReasonInstance, Host: o.host}}
			return
		}
		// The remaining time counts from when the owner reads the frame.
		late := *r
		late.Deadline = r.Deadline.Add(time.Since(sent))
		c := ctx
		if f.Delay > 0 {
			c = context.Background()
		}
		a, err := owner.Dispatch(c, &late)
		if f.LoseReply {
			a, err = lost.a, lost.err
		}
		ends <- end{a, err}
	}()
	select {
	case e := <-ends:
		return e.a, e.err
	case <-ctx.Done():
		return nil, &prim.Lost{Host: o.host, Cause: ctx.Err()}
	}
}

// serverOwner is the owner behind the records: it counts runs.
type serverOwner struct {
	prim.Owner
	w    *world
	host prim.HostName
}

func (o *serverOwner) Sample() prim.Sample { return prim.Sample{Host: o.host} }

func (o *serverOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	f := o.w.next()
	if f.Busy || !time.Now().Before(r.Deadline) {
		return nil, &prim.Refusal{Reason: prim.ReasonBusy, Host: o.host}
	}
	o.w.mu.Lock()
	o.w.runs[r.Key]++
	n := o.w.runs[r.Key]
	o.w.ran[r.Header.Get("Attempt")] = true
	o.w.mu.Unlock()
	if err := waits.Sleep(ctx, f.Work); err != nil || f.Dies {
		return nil, &prim.Lost{Host: o.host, Cause: io.EOF, Reset: true}
	}
	return &prim.Answer{Status: 201, Body: fmt.Append(nil, r.Key, " run ", n)}, nil
}

// transport delivers hand-overs to hosts that are up.
type transport struct {
	prim.Transport
	w    *world
	from prim.HostName
	m    *machine
}

func (t *transport) Handle(_ prim.Kind, h prim.Handler) { t.m.handler = h }

func (t *transport) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	t.w.mu.Lock()
	down, h := t.w.hosts[to].down, t.w.hosts[to].handler
	t.w.mu.Unlock()
	if down || t.w.next().Cut {
		return prim.Message{}, io.EOF
	}
	return h(ctx, t.from, m)
}
