package mesh

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/conns"
	"github.com/primrosethread/primrosethread/memory"
)

// clientLimits returns the operators' limits for clients at present, with defaults.
func (n *Node) clientLimits() prim.ClientLimits {
	return n.roster.Placement().Routing.Limits.WithDefaults()
}

// connectionBounds returns the bounds for callers' connections.
func (n *Node) connectionBounds() conns.Bounds {
	total, perClient := n.memory.MaxConnections()
	return conns.Bounds{
		Limits: n.clientLimits, Memory: n.memory.Connections(), ConnectionBytes: memory.ConnectionBytes,
		MaxOpen: total, MaxPerClient: perClient, Backlog: n.memory.Backlog(), OnPressure: n.recordPressure(),
		EndStopped: func(count int) { n.memory.GiveUpStopped(count) },
	}
}

// pressureLogInterval is the shortest time between two log lines about too many connections.
const pressureLogInterval = time.Second

// recordPressure returns a function that records that connections without a request were
// closed in favour of new ones, or that a new one was refused. Only one goroutine, the one
// that accepts connections, calls it.
func (n *Node) recordPressure() func(closed int, refused bool) {
	var loggedAt time.Time
	return func(closed int, refused bool) {
		n.recorder.Count("ConnectionsEvicted", int64(closed))
		if refused {
			n.recorder.Count("ConnectionsRefused", 1)
		}
		if time.Since(loggedAt) < pressureLogInterval {
			return
		}
		loggedAt = time.Now()
		total, perClient := n.memory.MaxConnections()
		n.log.Warn("callers' connections are at their bound; idle ones are closed, and new ones refused if there are none",
			"Closed", closed, "Refused", refused, "Bound", total, "BoundPerClient", perClient)
	}
}

// Limits is the part of the status with the limits for clients in force.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes   int
	HeaderTimeoutMs, IdleTimeoutMs int64
}

func (n *Node) limitsStatus() Limits {
	l := n.clientLimits()
	return Limits{l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeout.Milliseconds(), l.IdleTimeout.Milliseconds()}
}
