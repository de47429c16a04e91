package mesh

import (
	"context"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// The background loops of a node. Each one ends with its context and then sends the
// context's error on its channel.

const (
	// checkTimeout bounds one health check.
	checkTimeout = 500 * time.Millisecond
	// downAfter is the number of consecutive failed checks after which the server
	// counts as down.
	downAfter = 2
)

// panicDelay is the time after a panic in a loop until the loop continues.
const panicDelay = 100 * time.Millisecond

// loop runs f repeatedly until the context ends. A panic is logged and ends only the
// current run of f.
func (n *Node) loop(ctx context.Context, f func(ctx context.Context)) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if err := n.guard.Run(func() error { f(ctx); return nil }); err != nil {
				waits.Sleep(ctx, panicDelay)
			}
		}
		ended <- ctx.Err()
	}()
	return ended
}

// checkServer polls the server for its health and load.
func (n *Node) checkServer(ctx context.Context) <-chan error {
	failed := 0
	return n.loop(ctx, func(ctx context.Context) {
		checkedAt := time.Now()
		n.admitter.BeginCheck()
		r, err := n.server.Check(ctx, checkTimeout)
		if err == nil {
			failed = 0
			n.followEntry(r.ID) // first, so that nothing is admitted for another process
			n.admitter.ApplyReport(r)
		} else if failed++; failed >= downAfter {
			n.admitter.Down(err)
		}
		for now := time.Now(); ; now = time.Now() {
			wait := checkDelay(now, checkedAt, n.startedAt.Add(time.Duration(n.reportedAt.Load())))
			if wait <= 0 {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-n.checkNow:
				return
			case <-time.After(wait):
			}
		}
	})
}

// followEntry sets leaveEntry unless the published state names the server process with this
// ID as a server of this host's service that does not drain. Until a process has an entry it
// may belong to another service: addresses of servers that ended are used again.
func (n *Node) followEntry(id string) {
	e := n.roster.Placement().ServerByID(id)
	named := e != nil && e.Service == n.settings().Service
	n.setLeaveReason(leaveEntry, !named || e.Draining)
}

// followPlacement applies the published state that concerns this host.
func (n *Node) followPlacement(ctx context.Context) <-chan error {
	return n.loop(ctx, func(ctx context.Context) {
		changed := n.roster.Changed()
		p := n.roster.Placement()
		s := n.settings()
		n.setLeaveReason(leaveSwitch, p.IsDataCentreOut(s.DataCentre))
		if rule := p.Service(s.Service); rule != nil {
			n.server.SetHealthPath(rule.HealthPath)
			n.client.SetConnections(rule.Connections)
			n.admitter.SetRule(*rule)
		}
		if e := p.Host(s.Host); e != nil {
			n.admitter.SetPublished(e.Slots)
		}
		n.relay.Retain(func(h prim.HostName) bool { return p.Host(h) != nil })
		select {
		case <-changed:
		case <-ctx.Done():
		}
	})
}

const (
	// minPublishInterval is the minimum time between two pushed samples.
	minPublishInterval = 20 * time.Millisecond
	// maxPublishInterval is the maximum, so that the last sample does not go stale at
	// other nodes.
	maxPublishInterval = 200 * time.Millisecond
)

// publishLoad pushes a load sample to the nodes of this data centre when it changes
// the selection of a server or the registry has answered, and at least every
// maxPublishInterval. Nodes of other data centres get samples with answers, since
// traffic between data centres is expensive, but a new revision of the published state
// is pushed to all linked nodes at once.
func (n *Node) publishLoad(ctx context.Context) <-chan error {
	var last prim.LoadSample
	var lastAt time.Time
	sameDataCentre := func(h prim.HostName) bool {
		e := n.roster.Placement().Host(h)
		return e != nil && e.DataCentre == n.settings().DataCentre
	}
	allHosts := func(prim.HostName) bool { return true }
	return n.loop(ctx, func(ctx context.Context) {
		answered := false
		select {
		case <-ctx.Done():
			return
		case <-n.admitter.Changed():
		case <-n.roster.Changed():
		case <-n.roster.Answered():
			answered = true
		case <-time.After(max(0, maxPublishInterval-time.Since(lastAt))):
		}
		s := n.roster.Annotate(time.Now(), n.admitter.Sample())
		if !answered && !changesSelection(s, last) && time.Since(lastAt) < maxPublishInterval {
			return
		}
		recipients := sameDataCentre
		if s.Number != last.Number || s.Era != last.Era || s.Routes != last.Routes {
			recipients = allHosts
		}
		n.peers.Publish(s, recipients)
		last, lastAt = s, time.Now()
		waits.Sleep(ctx, minPublishInterval)
	})
}

// spikeFactor is the factor over the baseline slowdown from which a slowdown is a spike.
// The start and the end of a spike are pushed to other nodes at once.
const spikeFactor = 1.5

// changesSelection reports whether the difference of two samples affects the selection
// of a server or the exchange of published state.
func changesSelection(a, b prim.LoadSample) bool {
	isFull := func(s prim.LoadSample) bool {
		return s.InFlight >= s.Limit || s.Cold && s.ColdRoom == 0 || s.Limited && s.RateRoom == 0
	}
	hasSpike := func(s prim.LoadSample) bool { return s.Slowdown >= spikeFactor*s.Steady }
	return isFull(a) != isFull(b) || hasSpike(a) != hasSpike(b) || a.Leaving != b.Leaving || a.Cold != b.Cold ||
		a.Failing != b.Failing || a.Number != b.Number || a.Era != b.Era || a.Routes != b.Routes || a.Reading != b.Reading
}

const (
	// linkCheckInterval is the time between two checks of the links.
	linkCheckInterval = 200 * time.Millisecond
	// A host that owes an answer and has sent nothing gets a ping after pingAfter;
	// after closeAfter its links are closed.
	pingAfter  = 400 * time.Millisecond
	closeAfter = 1200 * time.Millisecond
	// fetchTimeout bounds a request for another node's state. A large state takes seconds
	// on a slow link; if nothing arrives, the link is closed after closeAfter.
	fetchTimeout = 4 * time.Second
)

// maintainLinks keeps links to the servers of this data centre that this node uses and
// to the registry readers, closes links to unresponsive hosts, and requests the
// published state from another node while this node has none.
func (n *Node) maintainLinks(ctx context.Context) <-chan error {
	return n.loop(ctx, func(ctx context.Context) {
		for _, h := range slices.Concat(n.relay.LinkTargets(), n.roster.Readers()) {
			if h != n.settings().Host {
				n.peers.Connect(h)
			}
		}
		for _, h := range n.peers.CheckLinks(pingAfter, closeAfter) {
			n.probeDataCentre(h)
		}
		if inboundHosts := n.peers.InboundHosts(); !n.hasState() && len(inboundHosts) > 0 {
			n.requestCatchUp(inboundHosts[0])
		}
		waits.Sleep(ctx, linkCheckInterval)
	})
}

// probeDataCentre checks the links to the data centre of a host that has become silent, if
// it is another one: the whole data centre may be cut off.
func (n *Node) probeDataCentre(silent prim.HostName) {
	p := n.roster.Placement()
	e := p.Host(silent)
	if e == nil || e.DataCentre == n.settings().DataCentre {
		return
	}
	n.recorder.Count("DataCentreProbes", 1)
	n.peers.ProbeLinks(func(h prim.HostName) bool {
		o := p.Host(h)
		return o != nil && o.DataCentre == e.DataCentre
	})
}

// catchUpGrace is how long a node that follows the registry waits for the change to
// arrive from there before it requests newer state from another node.
const catchUpGrace = 300 * time.Millisecond

// requestCatchUp queues a node with newer state, or any node if this one has no state.
func (n *Node) requestCatchUp(h prim.HostName) {
	select {
	case n.aheadPeers <- h:
	default: // another node is already queued
	}
}

// catchUp fetches the state of the queued nodes.
func (n *Node) catchUp(ctx context.Context) <-chan error {
	return n.loop(ctx, func(ctx context.Context) {
		var h prim.HostName
		select {
		case h = <-n.aheadPeers:
		case <-ctx.Done():
			return
		}
		if n.roster.Annotate(time.Now(), prim.LoadSample{}).Reading {
			waits.Sleep(ctx, catchUpGrace)
		}
		if n.hasState() && !n.roster.IsBehind(n.relay.Last(h)) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if err := n.roster.Fetch(ctx, n.peers, h); err != nil {
			n.recorder.Count("StateFetchesFailed", 1)
			n.log.Warn("failed to fetch the state of another node", "Peer", h, "Error", err)
			return
		}
		n.recorder.Count("StatesFetched", 1)
		n.log.Info("state fetched from another node", "Peer", h)
	})
}

// hasState reports whether routes and servers are known.
func (n *Node) hasState() bool {
	p := n.roster.Placement()
	return p.Routing.Version > 0 && len(p.Servers) > 0
}
