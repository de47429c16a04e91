package member

import (
	"context"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Members implements prim.Reachability. It probes peers over the transport and is safe
// for concurrent use.
type Members struct {
	config Config
	mu     sync.Mutex
	table  *table

	probesSent, indirectProbes, failedProbes int64
}

// New returns Members and registers its message handlers. Probing begins with Run.
func New(c Config) *Members {
	c = c.withDefaults()
	m := &Members{config: c, table: newTable(c)}
	c.Transport.Handle(kindPing, m.handlePing)
	c.Transport.Handle(kindPingVia, m.handlePingVia)
	return m
}

// Reachable reports whether requests should be sent to the host.
func (m *Members) Reachable(h prim.HostName) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.reachable(h, time.Now())
}

// MarkUnreachable records an attempt that could not reach the host.
func (m *Members) MarkUnreachable(h prim.HostName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.attemptFailed(h, time.Now())
}

// MarkReachable records an answer of the host.
func (m *Members) MarkReachable(h prim.HostName, i prim.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.responded(h, i, time.Now())
}

// HostStatus describes a host that is suspect or dead.
type HostStatus struct {
	State    State
	Instance prim.Instance
	Since    time.Time
}

// Status is the state of failure detection for the status page.
type Status struct {
	Peers    int
	Probes   int64 // sent, direct and indirect
	Indirect int64 // of these, through other peers
	Failures int64 // probes that failed directly and indirectly
	// Doubtful holds the suspect and dead hosts.
	Doubtful map[prim.HostName]HostStatus
}

// Status returns the current state.
func (m *Members) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{
		Peers: len(m.table.peers), Probes: m.probesSent, Indirect: m.indirectProbes, Failures: m.failedProbes,
		Doubtful: make(map[prim.HostName]HostStatus),
	}
	for h, e := range m.table.hosts {
		if e.state != Alive {
			s.Doubtful[h] = HostStatus{e.state, e.instance, e.stateSince}
		}
	}
	return s
}

// Run probes peers until the context ends, then sends the context's error on the
// channel.
func (m *Members) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(m.config.ProbePeriod)
		defer tick.Stop()
		for {
			changed := m.config.Documents.Changed()
			m.mu.Lock()
			m.table.setHosts(m.config.Documents.View().Hosts.Hosts)
			m.mu.Unlock()
			if !m.probeUntilChange(ctx, tick.C, changed) {
				done <- ctx.Err()
				return
			}
		}
	}()
	return done
}

// probeUntilChange probes one host per period. It returns true when the documents
// have changed and false when the context has ended.
func (m *Members) probeUntilChange(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
		}
		m.mu.Lock()
		h, ok := m.table.nextTarget()
		m.mu.Unlock()
		if ok {
			m.probe(ctx, h)
		}
	}
}

// probe probes a host directly and, if that fails, through all helpers
// concurrently.
func (m *Members) probe(ctx context.Context, h prim.HostName) {
	if m.sendProbe(ctx, h, h, kindPing, m.config.ProbeTimeout) {
		return
	}
	m.mu.Lock()
	helpers := m.table.selectHelpers(h)
	m.indirectProbes += int64(len(helpers))
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, via := range helpers {
		go func(ctx context.Context) { results <- m.sendProbe(ctx, via, h, kindPingVia, 2*m.config.ProbeTimeout) }(ctx)
	}
	answered := false
	for range helpers {
		if <-results {
			answered = true
			cancel() // one answer is enough
		}
	}
	if answered || ctx.Err() != nil {
		return // if the context has ended, the failure says nothing about the host
	}
	m.mu.Lock()
	m.failedProbes++
	m.table.probeFailed(h, time.Now())
	m.mu.Unlock()
}

// sendProbe sends a probe and reports whether the target answered.
func (m *Members) sendProbe(ctx context.Context, to, target prim.HostName, k prim.Kind, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	m.probesSent++
	request := &message{Instance: m.config.Instance, Updates: m.table.updatesFor(target)}
	m.mu.Unlock()
	if to != target {
		request.Target = target
	}
	encoded, err := encode(k, request)
	if err != nil {
		return false
	}
	reply, err := m.config.Transport.Ask(ctx, to, encoded)
	if err != nil {
		return false
	}
	response, err := decode(reply)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// A helper passes on the target's answer, so the instance is the target's.
	m.table.responded(target, response.Instance, time.Now())
	m.table.applyUpdates(response.Updates, time.Now())
	return true
}

// handlePing answers a direct probe.
func (m *Members) handlePing(_ context.Context, from prim.HostName, request prim.Message) (prim.Message, error) {
	content, err := decode(request)
	if err != nil {
		return prim.Message{}, err
	}
	m.mu.Lock()
	m.table.responded(from, content.Instance, time.Now())
	m.table.applyUpdates(content.Updates, time.Now())
	response := &message{Instance: m.config.Instance, Updates: m.table.updatesFor(from)}
	m.mu.Unlock()
	return encode(kindPong, response)
}

// handlePingVia probes the target for another node and returns its answer.
func (m *Members) handlePingVia(ctx context.Context, _ prim.HostName, request prim.Message) (prim.Message, error) {
	content, err := decode(request)
	if err != nil {
		return prim.Message{}, err
	}
	if _, ok := m.config.Documents.View().Host(content.Target); !ok {
		return prim.Message{}, Error.New("host %q is not in the host list; check that both nodes see the same list", content.Target)
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.ProbeTimeout)
	defer cancel()
	ping, err := encode(kindPing, &message{Instance: m.config.Instance, Updates: content.Updates})
	if err != nil {
		return prim.Message{}, err
	}
	return m.config.Transport.Ask(ctx, content.Target, ping)
}
