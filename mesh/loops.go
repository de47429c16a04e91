package mesh

import (
	"context"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// The background work of a node. Each loop ends with its context and reports on
// a channel.

const (
	// checkInterval is the time between two health checks. The slowdown of a
	// server changes several times a second, and answers tell it only when
	// they come.
	checkInterval = 40 * time.Millisecond
	// checkTimeout bounds a health check.
	checkTimeout = 500 * time.Millisecond
	// downAfter is the number of failed checks in a row after which the server
	// is down.
	downAfter = 2
)

// loop runs f until the context ends.
func loop(ctx context.Context, f func(ctx context.Context)) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			f(ctx)
		}
		ended <- ctx.Err()
	}()
	return ended
}

// checkServer asks the server for its health and load.
func (n *Node) checkServer(ctx context.Context) <-chan error {
	failed := 0
	return loop(ctx, func(ctx context.Context) {
		r, err := n.server.Check(ctx, checkTimeout)
		if err == nil {
			failed = 0
			n.admitter.Learn(r)
			n.followEntry()
		} else if failed++; failed >= downAfter {
			n.admitter.Down(err)
		}
		select {
		case <-ctx.Done():
		case <-n.checkNow:
		case <-time.After(checkInterval):
		}
	})
}

// followEntry leaves while the entry of the server on this host drains or is gone.
// A server that is not listed yet may be used.
func (n *Node) followEntry() {
	id := n.admitter.Server()
	if id == "" {
		return
	}
	if id != n.entryID {
		n.entryID, n.entrySeen = id, false
	}
	e := n.roster.Placement().Entry(id)
	n.entrySeen = n.entrySeen || e != nil
	n.setLeaveReason(leaveEntry, e != nil && e.Draining || e == nil && n.entrySeen)
}

// followPlacement applies what is published to this host.
func (n *Node) followPlacement(ctx context.Context) <-chan error {
	return loop(ctx, func(ctx context.Context) {
		changed := n.roster.Changed()
		p := n.roster.Placement()
		s := n.settings()
		n.setLeaveReason(leaveSwitch, p.Out(s.DataCentre))
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
	// minPublishInterval is the least time between two samples that are pushed.
	minPublishInterval = 20 * time.Millisecond
	// maxPublishInterval is the most, so that nodes keep believing the last one.
	maxPublishInterval = 200 * time.Millisecond
)

// publishLoad pushes the load of the server to the nodes of this data centre when it
// has changed much. Others get it with answers, since links between data centres
// are dear, but they are told of published changes at once.
func (n *Node) publishLoad(ctx context.Context) <-chan error {
	var last prim.Sample
	var lastAt time.Time
	sameDataCentre := func(h prim.HostName) bool {
		e := n.roster.Placement().Host(h)
		return e != nil && e.DataCentre == n.settings().DataCentre
	}
	allHosts := func(prim.HostName) bool { return true }
	return loop(ctx, func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-n.admitter.Changed():
		case <-n.roster.Changed():
		case <-time.After(max(0, maxPublishInterval-time.Since(lastAt))):
		}
		s := n.roster.Annotate(time.Now(), n.admitter.Sample())
		if !changesSelection(s, last) && time.Since(lastAt) < maxPublishInterval {
			return
		}
		recipients := sameDataCentre
		if s.Revision != last.Revision {
			recipients = allHosts
		}
		n.peers.Publish(s, recipients)
		last, lastAt = s, time.Now()
		waits.Sleep(ctx, minPublishInterval)
	})
}

// slowFactor is how many times its steady pace a server has to be slowed down for others
// to be told.
const slowFactor = 1.5

// changesSelection reports whether a sample would change the choice of a server.
func changesSelection(a, b prim.Sample) bool {
	isFull := func(s prim.Sample) bool { return s.InFlight >= s.Limit || s.Cold && s.ColdRoom == 0 }
	isSlow := func(s prim.Sample) bool { return s.Slowdown >= slowFactor*s.Steady }
	return isFull(a) != isFull(b) || isSlow(a) != isSlow(b) || a.Leaving != b.Leaving || a.Cold != b.Cold ||
		a.Failing != b.Failing || a.Revision != b.Revision || a.Reading != b.Reading
}

const (
	// linkCheckInterval is the time between two looks at the links.
	linkCheckInterval = 200 * time.Millisecond
	// pingAfter and silent are when a host that owes an answer is asked for a sign
	// of life, and when its links are given up.
	pingAfter  = 400 * time.Millisecond
	closeAfter = 1200 * time.Millisecond
	// fetchTimeout bounds the reading of another node's state.
	fetchTimeout = time.Second
)

// maintainLinks keeps links to the servers of this data centre that this node uses and to the
// readers of the registry, closes silent ones, and asks others for what is published
// while this node knows nothing.
func (n *Node) maintainLinks(ctx context.Context) <-chan error {
	return loop(ctx, func(ctx context.Context) {
		for _, h := range slices.Concat(n.relay.Near(), n.roster.Readers()) {
			if h != n.settings().Host {
				n.peers.Connect(h)
			}
		}
		n.peers.Check(pingAfter, closeAfter)
		if callers := n.peers.Callers(); !n.hasState() && len(callers) > 0 {
			n.requestCatchUp(callers[0])
		}
		waits.Sleep(ctx, linkCheckInterval)
	})
}

// catchUpGrace is how long a node that follows the registry waits for that before it
// asks another node for a newer state.
const catchUpGrace = 300 * time.Millisecond

// requestCatchUp notes a node that has something newer, or anything if this one has nothing.
func (n *Node) requestCatchUp(h prim.HostName) {
	select {
	case n.aheadPeers <- h:
	default: // another one is about to be asked
	}
}

// catchUp takes the state of nodes that have something newer.
func (n *Node) catchUp(ctx context.Context) <-chan error {
	return loop(ctx, func(ctx context.Context) {
		var h prim.HostName
		select {
		case h = <-n.aheadPeers:
		case <-ctx.Done():
			return
		}
		if n.roster.Annotate(time.Now(), prim.Sample{}).Reading {
			waits.Sleep(ctx, catchUpGrace)
		}
		if n.hasState() && !n.roster.IsBehind(n.relay.Last(h)) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if err := n.roster.Fetch(ctx, n.peers, h); err != nil {
			n.log.Warn("state of another node not read", "Peer", h, "Error", err)
			return
		}
		n.log.Info("state of another node taken", "Peer", h)
	})
}

// hasState reports whether routes and servers are known.
func (n *Node) hasState() bool {
	p := n.roster.Placement()
	return p.Routing.Version > 0 && len(p.Servers) > 0
}
