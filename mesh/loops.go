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
	// checkEvery is the time between two health checks. The slowdown of a
	// server changes several times a second, and answers tell it only when
	// they come.
	checkEvery = 40 * time.Millisecond
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

// check asks the server for its health and load.
func (n *Node) check(ctx context.Context) <-chan error {
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
		case <-n.checked:
		case <-time.After(checkEvery):
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
	if id != n.entry {
		n.entry, n.listed = id, false
	}
	e := n.roster.Placement().Entry(id)
	n.listed = n.listed || e != nil
	n.leave(byEntry, e != nil && e.Draining || e == nil && n.listed)
}

// followPlacement applies what is published to this host.
func (n *Node) followPlacement(ctx context.Context) <-chan error {
	return loop(ctx, func(ctx context.Context) {
		changed := n.roster.Changed()
		p := n.roster.Placement()
		s := n.settings()
		n.leave(bySwitch, p.Out(s.DataCentre))
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
	// publishGap is the least time between two samples that are pushed.
	publishGap = 20 * time.Millisecond
	// publishEvery is the most, so that nodes keep believing the last one.
	publishEvery = 200 * time.Millisecond
)

// publish pushes the load of the server to the nodes of this data centre when it
// has changed much. Others get it with answers, since links between data centres
// are dear, but they are told of published changes at once.
func (n *Node) publish(ctx context.Context) <-chan error {
	var last prim.Sample
	var at time.Time
	near := func(h prim.HostName) bool {
		e := n.roster.Placement().Host(h)
		return e != nil && e.DataCentre == n.settings().DataCentre
	}
	all := func(prim.HostName) bool { return true }
	return loop(ctx, func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-n.admitter.Changed():
		case <-n.roster.Changed():
		case <-time.After(max(0, publishEvery-time.Since(at))):
		}
		s := n.roster.Stamp(time.Now(), n.admitter.Sample())
		if !differs(s, last) && time.Since(at) < publishEvery {
			return
		}
		to := near
		if s.Revision != last.Revision {
			to = all
		}
		n.peers.Publish(s, to)
		last, at = s, time.Now()
		waits.Sleep(ctx, publishGap)
	})
}

// slow is how many times its steady pace a server has to be slowed down for others
// to be told.
const slow = 1.5

// differs reports whether a sample would change the choice of a server.
func differs(a, b prim.Sample) bool {
	full := func(s prim.Sample) bool { return s.InFlight >= s.Limit || s.Cold && s.ColdRoom == 0 }
	slow := func(s prim.Sample) bool { return s.Slowdown >= slow*s.Steady }
	return full(a) != full(b) || slow(a) != slow(b) || a.Leaving != b.Leaving || a.Cold != b.Cold ||
		a.Failing != b.Failing || a.Revision != b.Revision || a.Reading != b.Reading
}

const (
	// tendEvery is the time between two looks at the links.
	tendEvery = 200 * time.Millisecond
	// quiet and silent are when a host that owes an answer is asked for a sign
	// of life, and when its links are given up.
	quiet  = 400 * time.Millisecond
	silent = 1200 * time.Millisecond
	// fetchTimeout bounds the reading of another node's state.
	fetchTimeout = time.Second
)

// tend keeps links to the servers of this data centre that this node uses and to the
// readers of the registry, closes silent ones, and asks others for what is published
// while this node knows nothing.
func (n *Node) tend(ctx context.Context) <-chan error {
	return loop(ctx, func(ctx context.Context) {
		for _, h := range slices.Concat(n.relay.Near(), n.roster.Readers()) {
			if h != n.settings().Host {
				n.peers.Connect(h)
			}
		}
		n.peers.Check(quiet, silent)
		if callers := n.peers.Callers(); !n.informed() && len(callers) > 0 {
			n.behind(callers[0])
		}
		waits.Sleep(ctx, tendEvery)
	})
}

// catchUpGrace is how long a node that follows the registry waits for that before it
// asks another node for a newer state.
const catchUpGrace = 300 * time.Millisecond

// behind notes a node that has something newer, or anything if this one has nothing.
func (n *Node) behind(h prim.HostName) {
	select {
	case n.ahead <- h:
	default: // another one is about to be asked
	}
}

// catchUp takes the state of nodes that have something newer.
func (n *Node) catchUp(ctx context.Context) <-chan error {
	return loop(ctx, func(ctx context.Context) {
		var h prim.HostName
		select {
		case h = <-n.ahead:
		case <-ctx.Done():
			return
		}
		if n.roster.Stamp(time.Now(), prim.Sample{}).Reading {
			waits.Sleep(ctx, catchUpGrace)
		}
		if n.informed() && !n.roster.Behind(n.relay.Last(h)) {
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

// informed reports whether routes and servers are known.
func (n *Node) informed() bool {
	p := n.roster.Placement()
	return p.Routing.Version > 0 && len(p.Servers) > 0
}
