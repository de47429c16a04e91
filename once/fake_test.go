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

// fault describes the faults of the network and the server in one dispatch.
type fault struct {
	Delay       time.Duration // until the owner reads the frame, as if it were frozen
	LinkBreaks  bool          // with a Delay the frame still arrives later
	LoseReply   bool
	Busy        bool // the next owner refuses
	OutcomeLost bool // the request runs, but the owner gets no result
	RunTime     time.Duration
}

// simHost is a host of the service: its times in the host list and the current
// instance of its owner.
type simHost struct {
	addedAt, leavingAt, removedAt time.Time
	down                          bool
	instance                      int
	owner                         *Owner
	handler                       prim.Handler
}

// simulation is a service used by nodes with host lists of different ages. The
// embedded interfaces are nil, because their other methods are not called.
type simulation struct {
	prim.Reachability
	prim.Policy
	platformSkew time.Duration // error of the platform's clock
	serviceSince time.Time
	listAges     map[prim.HostName]time.Duration // age of a node's host list
	faults       []fault
	recordBytes  int64
	unreachable  func(ingress, h prim.HostName) bool

	mu          sync.Mutex
	hosts       map[prim.HostName]*simHost
	faultIndex  int
	runsByKey   map[string]int
	ranAttempts map[string]bool // keyed by the Attempt header
}

func newSimulation(names ...prim.HostName) *simulation {
	sim := &simulation{
		serviceSince: time.Now().Add(-24 * time.Hour), listAges: map[prim.HostName]time.Duration{},
		hosts: map[prim.HostName]*simHost{}, runsByKey: map[string]int{}, ranAttempts: map[string]bool{},
	}
	for _, n := range names {
		sim.hosts[n] = &simHost{addedAt: sim.serviceSince}
		sim.startInstance(n, time.Now().Add(-12*time.Hour))
	}
	return sim
}

// startInstance replaces the instance at a host.
func (s *simulation) startInstance(name prim.HostName, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.hosts[name]
	host.instance++
	host.down = false
	host.owner = NewOwner(OwnerConfig{Host: name, Next: &serverOwner{sim: s, host: name}, Documents: &simDocuments{s, name},
		Transport: &simTransport{sim: s, from: name, host: host}, Started: at, MaxRecordBytes: s.recordBytes})
}

func (s *simulation) newCaller(ingress prim.HostName) *Caller {
	return NewCaller(CallerConfig{Host: ingress, Documents: &simDocuments{s, ingress}, Reachability: s, Policy: s, Owners: &ingressOwners{s, ingress}})
}

func (s *simulation) MarkUnreachable(prim.HostName)    {}
func (s *simulation) Observe(prim.LoadSample)          {}
func (s *simulation) AttemptFinished(prim.Attempt)     {}
func (s *simulation) Owner(h prim.HostName) prim.Owner { return &remoteOwner{sim: s, host: h} }

// ingressOwners provides the owners as reachable from one ingress node.
type ingressOwners struct {
	*simulation
	ingress prim.HostName
}

func (o *ingressOwners) Owner(h prim.HostName) prim.Owner {
	return &remoteOwner{sim: o.simulation, host: h, from: o.ingress}
}

func (s *simulation) nextFault() (f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) > 0 {
		f = s.faults[s.faultIndex%len(s.faults)]
		s.faultIndex++
	}
	return f
}

type simDocuments struct {
	sim  *simulation
	node prim.HostName
}

func (d *simDocuments) View() *prim.View {
	issued := time.Now().Add(-d.sim.listAges[d.node])
	var list []prim.Host
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	for n, host := range d.sim.hosts {
		h := prim.Host{Name: n, Service: "s", State: prim.HostLive, Since: host.addedAt.Add(d.sim.platformSkew)}
		if host.addedAt.After(issued) {
			continue
		}
		if !host.leavingAt.IsZero() && !host.leavingAt.After(issued) {
			h.State = prim.HostLeaving
		}
		if !host.removedAt.IsZero() && !host.removedAt.After(issued) {
			h.State, h.Until = prim.HostLost, host.removedAt.Add(d.sim.platformSkew)
		}
		list = append(list, h)
	}
	return prim.NewView(prim.ViewConfig{
		Digests: map[string]prim.Digest{prim.NameHosts: {Issued: issued.Add(d.sim.platformSkew)}},
		Hosts:   prim.Hosts{Services: []prim.ServiceEntry{{Name: "s", Since: d.sim.serviceSince.Add(d.sim.platformSkew)}}, Hosts: list},
	})
}

func (d *simDocuments) Changed() <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(c) })
	return c
}

// remoteOwner is an owner that is reached over the network.
type remoteOwner struct {
	prim.Owner
	sim        *simulation
	host, from prim.HostName
}

func (o *remoteOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	f := o.sim.nextFault()
	o.sim.mu.Lock()
	host := o.sim.hosts[o.host]
	down, instance := host.down, host.instance
	o.sim.mu.Unlock()
	if down || o.sim.unreachable != nil && o.sim.unreachable(o.from, o.host) {
		return nil, &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: o.host}
	}
	type result struct {
		a   *prim.Answer
		err error
	}
	results := make(chan result, 2)
	sent := time.Now()
	lost := result{nil, &prim.LostAnswerError{Host: o.host, Cause: io.EOF}}
	go func() {
		if f.LinkBreaks {
			if results <- lost; f.Delay == 0 {
				return
			}
		}
		time.Sleep(f.Delay)
		o.sim.mu.Lock()
		replaced, owner := host.down || host.instance != instance, host.owner
		o.sim.mu.Unlock()
		if replaced {
			results <- result{nil, &prim.RefusalError{Reason: prim.ReasonOtherInstance, Host: o.host}}
			return
		}
		// A frame carries the remaining time, so the deadline counts from when
		// the owner reads it.
		delayed := *r
		delayed.Deadline = r.Deadline.Add(time.Since(sent))
		ownerCtx := ctx
		if f.Delay > 0 {
			ownerCtx = context.Background()
		}
		a, err := owner.Dispatch(ownerCtx, &delayed)
		if f.LoseReply {
			a, err = lost.a, lost.err
		}
		results <- result{a, err}
	}()
	select {
	case e := <-results:
		return e.a, e.err
	case <-ctx.Done():
		return nil, &prim.LostAnswerError{Host: o.host, Cause: ctx.Err()}
	}
}

// serverOwner is the owner that runs the requests. It counts the runs of each key.
type serverOwner struct {
	prim.Owner
	sim  *simulation
	host prim.HostName
}

func (o *serverOwner) Sample() prim.LoadSample { return prim.LoadSample{Host: o.host} }

func (o *serverOwner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	f := o.sim.nextFault()
	if f.Busy || !time.Now().Before(r.Deadline) {
		return nil, &prim.RefusalError{Reason: prim.ReasonBusy, Host: o.host}
	}
	o.sim.mu.Lock()
	o.sim.runsByKey[r.Key]++
	n := o.sim.runsByKey[r.Key]
	o.sim.ranAttempts[r.Header.Get("Attempt")] = true
	o.sim.mu.Unlock()
	if err := waits.Sleep(ctx, f.RunTime); err != nil || f.OutcomeLost {
		return nil, &prim.LostAnswerError{Host: o.host, Cause: io.EOF, Reset: true}
	}
	return &prim.Answer{Status: 201, Body: fmt.Append(nil, r.Key, " run ", n)}, nil
}

// simTransport delivers hand-over messages to hosts that are up.
type simTransport struct {
	prim.Transport
	sim  *simulation
	from prim.HostName
	host *simHost
}

func (t *simTransport) Handle(_ prim.Kind, h prim.Handler) { t.host.handler = h }

func (t *simTransport) Ask(ctx context.Context, to prim.HostName, m prim.Message) (prim.Message, error) {
	t.sim.mu.Lock()
	down, h := t.sim.hosts[to].down, t.sim.hosts[to].handler
	t.sim.mu.Unlock()
	if down || t.sim.nextFault().LinkBreaks {
		return prim.Message{}, io.EOF
	}
	return h(ctx, t.from, m)
}
