package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/access"
	"github.com/primrosethread/primrosethread/waits"
)

// Nodes learn from each other for how long their routes may have been outdated; see package
// roster, verify.go. Without strict revocation or without customers nothing is sent.

const (
	// verifyTimeout bounds a fetch that only has to show the age of another node's routes. A
	// node of the same data centre answers within a few milliseconds.
	verifyTimeout = 250 * time.Millisecond
	// verifyJitter spreads the fetches of all nodes after a poll of their first reader.
	verifyJitter = 40 * time.Millisecond
)

// keyAge returns the age of the routes that counts for the check of keys. With strict
// revocation it is never too small; otherwise it is the age of the state.
func (n *Node) keyAge(now time.Time) access.Age {
	if !n.settings().StrictRevoke {
		_, state := n.roster.Ages(now)
		return access.Age{Duration: state, Known: state > 0}
	}
	age, known := n.roster.RoutesAge(now)
	return access.Age{Duration: age, Known: known}
}

// requestVerification queues the sender of a sample if its routes are known to have been
// current later than this node's.
func (n *Node) requestVerification(h prim.HostName, s prim.LoadSample) {
	if !n.roster.WantsRoutes(time.Now(), s) {
		return
	}
	select {
	case n.verifyPeers <- h:
	default: // another node is already queued
	}
}

// verifyRoutes fetches the state of the queued nodes.
func (n *Node) verifyRoutes(ctx context.Context) <-chan error {
	return n.loop(ctx, func(ctx context.Context) {
		var h prim.HostName
		select {
		case h = <-n.verifyPeers:
		case <-ctx.Done():
			return
		}
		waits.Sleep(ctx, rand.N(verifyJitter))
		if !n.roster.WantsRoutes(time.Now(), n.relay.Last(h)) {
			return // another fetch or a poll was first
		}
		ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
		if err := n.roster.Fetch(ctx, n.peers, h); err != nil {
			n.recorder.Count("VerificationsFailed", 1)
			n.log.Info("failed to verify the routes with another node", "Peer", h, "Error", err)
			return
		}
		n.recorder.Count("Verifications", 1)
	})
}
