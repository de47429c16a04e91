package member

import (
	"context"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Members implements prim.Members.
type Members struct {
	c  Config
	mu sync.Mutex
	t  *table

	probes, indirect, failures int64
}

// New returns Members that probe nothing yet and registers their handlers.
func New(c Config) *Members {
	c = c.withDefaults()
	m := &Members{c: c, t: newTable(c)}
	c.Transport.Handle(kindPing, m.ping)
	c.Transport.Handle(kindPingVia, m.pingVia)
	return m
}

// Reachable reports whether requests should be sent to the host.
func (m *Members) Reachable(h prim.HostName) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.reachable(h, time.Now())
}

// Failed tells that an attempt could not reach the host.
func (m *Members) Failed(h prim.HostName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.t.failed(h, time.Now())
}

// Seen tells that the host answered.
func (m *Members) Seen(h prim.HostName, i prim.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.t.seen(h, i, time.Now())
}

// HostStatus describes a host that is or was in doubt.
type HostStatus struct {
	State    State
	Instance prim.Instance
	Since    time.Time
}

// Status describes the members for the status page.
type Status struct {
	Peers    int
	Probes   int64 // sent
	Indirect int64 // of them through other peers
	Failures int64 // probes that failed both ways
	// Doubtful holds the hosts that are not alive.
	Doubtful map[prim.HostName]HostStatus
}

// Status returns the current state.
func (m *Members) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{
		Peers: len(m.t.peers), Probes: m.probes, Indirect: m.indirect, Failures: m.failures,
		Doubtful: make(map[prim.HostName]HostStatus),
	}
	for h, e := range m.t.hosts {
		if e.state != Alive {
			s.Doubtful[h] = HostStatus{e.state, e.instance, e.since}
		}
	}
	return s
}

// Run probes until the context ends, then sends on the channel.
func (m *Members) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(m.c.Period)
		defer tick.Stop()
		for {
			changed := m.c.Documents.Changed()
			m.mu.Lock()
			m.t.setHosts(m.c.Documents.View().Hosts.Hosts)
			m.mu.Unlock()
			if !m.probeUntil(ctx, tick.C, changed) {
				ended <- ctx.Err()
				return
			}
		}
	}()
	return ended
}

// probeUntil probes in every period until the documents change; it returns
// false when the context has ended.
func (m *Members) probeUntil(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
		}
		m.mu.Lock()
		h, ok := m.t.next()
		m.mu.Unlock()
		if ok {
			m.probe(ctx, h)
		}
	}
}

// probe asks a host directly, and if that fails through helpers at once.
func (m *Members) probe(ctx context.Context, h prim.HostName) {
	if m.ask(ctx, h, h, kindPing, m.c.Timeout) {
		return
	}
	m.mu.Lock()
	helpers := m.t.helpers(h)
	m.indirect += int64(len(helpers))
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, via := range helpers {
		go func(ctx context.Context) { answers <- m.ask(ctx, via, h, kindPingVia, 2*m.c.Timeout) }(ctx)
	}
	answered := false
	for range helpers {
		if <-answers {
			answered = true
			cancel() // the others need not go on
		}
	}
	if answered || ctx.Err() != nil {
		return // or this node stops, which says nothing about the host
	}
	m.mu.Lock()
	m.failures++
	m.t.unanswered(h, time.Now())
	m.mu.Unlock()
}

// ask sends a probe and reports whether the target answered.
func (m *Members) ask(ctx context.Context, to, target prim.HostName, k prim.Kind, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	m.probes++
	out := &message{Instance: m.c.Instance, Updates: m.t.updates(target)}
	m.mu.Unlock()
	if to != target {
		out.Target = target
	}
	body, err := encode(k, out)
	if err != nil {
		return false
	}
	reply, err := m.c.Transport.Ask(ctx, to, body)
	if err != nil {
		return false
	}
	in, err := decode(reply)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The answer to an indirect probe carries the target's own instance.
	m.t.seen(target, in.Instance, time.Now())
	m.t.learn(in.Updates, time.Now())
	return true
}

// ping answers a direct probe.
func (m *Members) ping(_ context.Context, from prim.HostName, in prim.Message) (prim.Message, error) {
	d, err := decode(in)
	if err != nil {
		return prim.Message{}, err
	}
	m.mu.Lock()
	m.t.seen(from, d.Instance, time.Now())
	m.t.learn(d.Updates, time.Now())
	out := &message{Instance: m.c.Instance, Updates: m.t.updates(from)}
	m.mu.Unlock()
	return encode(kindPong, out)
}

// pingVia probes the target for another node and passes its answer on.
func (m *Members) pingVia(ctx context.Context, _ prim.HostName, in prim.Message) (prim.Message, error) {
	d, err := decode(in)
	if err != nil {
		return prim.Message{}, err
	}
	if _, ok := m.c.Documents.View().Host(d.Target); !ok {
		return prim.Message{}, Error.New("host %q is not in the host list; check that both nodes see the same list", d.Target)
	}
	ctx, cancel := context.WithTimeout(ctx, m.c.Timeout)
	defer cancel()
	body, err := encode(kindPing, &message{Instance: m.c.Instance, Updates: d.Updates})
	if err != nil {
		return prim.Message{}, err
	}
	return m.c.Transport.Ask(ctx, d.Target, body)
}
