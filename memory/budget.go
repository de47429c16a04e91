// Package memory owns a node's budget of bytes and of callers' connections, for what the
// other side chooses the size and the number of.
//
// It addresses this load: thousands of connections of clients that the operators don't
// control, with bodies that arrive slowly, in chunks of any size, that stop short of their
// end or exceed their limit, and clients that don't read their answers. Decisions need no
// network, so they are tested without one.
package memory

import (
	"container/list"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Config configures a Budget. A limit that is zero is none.
type Config struct {
	// Bytes is the memory of the machine, and Descriptors the number of descriptors that
	// the process may have open.
	Bytes, Descriptors int
	// InUse returns the memory that the process has in use, usually InUse of this package. If
	// it is nil, only reserved bytes are bounded.
	InUse func() int64
}

const (
	// clientPercent is the part of the memory that clients may take. The Go memory limit
	// is three quarters of the memory; a fifth is left for what a node holds without
	// clients: 37 of 184 MB, where one among 300 hosts was measured with 34.
	clientPercent = 55
	// bodyPercent is the part of the budget that bodies may take. The rest is for headers
	// and connections, so that bodies can't keep new requests from being read.
	bodyPercent = 88
	// pressurePercent is the part of the budget from which on bodies that have stopped
	// arriving are given up and the shares of clients are enforced.
	pressurePercent = 60
	// calmPercent is the part of the budget below which others don't count: a body is
	// then admitted whatever its client's share and its progress.
	calmPercent = 25
	// optionalPercent is the part of the budget up to which Optional has room. What it
	// buffers follows each other fast and stays until the next garbage collection, so it
	// costs up to twice what is reserved. At 60% the owner of ./abuse went 5 MB beyond its
	// 64 MB in 1 of 11 runs.
	optionalPercent = 40
	// sharePercent is the part of the budget and of the connections that one client
	// address may take under pressure. Callers on one host may all have its address, so
	// it is large; it leaves as much to the others.
	sharePercent = 50

	// ordinaryBytes is the size up to which a request may take the whole budget.
	ordinaryBytes = 64 << 10

	// ConnectionBytes is the cost of a connection: its input buffer (4 KiB), the stack of the
	// goroutine that reads it (8 KiB), and its header up to 4 KiB as received and copied.
	ConnectionBytes = 20 << 10
	// connectionPercent is the part of the memory that connections may take.
	connectionPercent = 25
	// fileDescriptors are kept for files. The other descriptors are shared equally by
	// callers on one side, and other nodes, the server and the store on the other.
	fileDescriptors = 200
	// backlogDivisor gives the part of the connections that may wait to be accepted, and
	// backlogBytes what the kernel may hold for each of them.
	backlogDivisor = 8
	backlogBytes   = 128 << 10
	// maxConnections applies without settings.
	maxConnections = 1 << 20

	// stallTime is the time without progress after which a body is given up under
	// pressure. It exceeds the retransmission of a lost packet.
	stallTime = time.Second
	// stepBytes are the bytes that have to arrive to count as progress, so that a few
	// bytes now and then don't.
	stepBytes = 16 << 10
	// retryAfter is the time after which a refused client may try again. Bodies that have
	// stopped arriving have been given up by then.
	retryAfter = stallTime
)

// Budget accounts for the bytes that a node holds for clients. It implements
// prim.MemoryBudget.
type Budget struct {
	limit       int64
	connections int
	process     *process
	unread      unread
	used        atomic.Int64

	mu        sync.Mutex
	transfers list.List // of *Transfer in progress, the one with the least progress first
	clients   map[netip.Addr]int
	leaving   int // bytes of transfers that were given up and have not ended yet
	givenUp   int64
	refused   int64
}

var _ prim.MemoryBudget = (*Budget)(nil)

// New returns a Budget.
func New(c Config) *Budget {
	b := &Budget{limit: 1 << 62, connections: maxConnections, process: newProcess(c), clients: make(map[netip.Addr]int)}
	if c.Bytes > 0 {
		b.limit = int64(c.Bytes) / 100 * clientPercent
		b.connections = c.Bytes / 100 * connectionPercent / ConnectionBytes
	}
	if c.Descriptors > 0 {
		b.connections = min(b.connections, (c.Descriptors-fileDescriptors)/2)
	}
	b.connections = max(1, b.connections)
	b.unread.limit = 1 << 62
	if c.Bytes > 0 {
		// The rest of the memory is what the kernel may hold.
		b.unread.limit = int64(c.Bytes) - GoLimit(c.Bytes) - codeBytes - int64(b.Backlog())*backlogBytes
	}
	return b
}

// Backlog returns the number of connections that may wait to be accepted.
func (b *Budget) Backlog() int { return max(1, b.connections/backlogDivisor) }

// MaxConnections returns the number of connections that callers may have in sum, and that
// one client address may have under pressure.
func (b *Budget) MaxConnections() (total, perClient int) {
	return b.connections, max(1, b.connections*sharePercent/100)
}

// Reserve implements prim.MemoryBudget. Under pressure, transfers that have stopped are given up.
func (b *Budget) Reserve(n int) bool { return b.reserve(n, b.limit, 0) }

// reserve reserves n bytes up to a limit, so that keep bytes of the process stay free.
func (b *Budget) reserve(n int, limit, keep int64) bool {
	reserved := b.process.hasRoom(int64(n), keep) && b.reserveUpTo(n, limit)
	over := b.used.Load() - b.percent(pressurePercent)
	if reserved && over <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !reserved {
		b.refused++
		over = max(over, int64(n))
	}
	b.relieve(over, time.Now().Add(-stallTime))
	return reserved
}

// Requests returns the budget for requests and frames. Large ones have as much room as bodies,
// so that ordinary ones are served beside a crowd of large ones.
func (b *Budget) Requests() prim.MemoryBudget { return requests{b} }

// Connections returns the budget for connections. It doesn't measure the memory in use: new
// connections must not wait for a garbage collection, or what their clients send is held by the
// kernel meanwhile. Their number is bounded.
func (b *Budget) Connections() prim.MemoryBudget { return connections{b} }

type connections struct{ budget *Budget }

// Reserve implements prim.MemoryBudget.
func (c connections) Reserve(n int) bool { return c.budget.reserveUpTo(n, c.budget.limit) }

// Release implements prim.MemoryBudget.
func (c connections) Release(n int) { c.budget.Release(n) }

// Unread returns the budget for bytes that the kernel has received for the process and that it
// doesn't read. They count toward its memory, but not toward that of the Go runtime. Large
// reservations may take half of it.
func (b *Budget) Unread() prim.MemoryBudget { return &b.unread }

type unread struct {
	limit int64
	used  atomic.Int64
}

// Reserve implements prim.MemoryBudget.
func (u *unread) Reserve(n int) bool {
	limit := u.limit
	if n > backlogBytes {
		limit /= 2
	}
	if u.used.Add(int64(n)) > limit {
		u.used.Add(int64(-n))
		return false
	}
	return true
}

// Release implements prim.MemoryBudget.
func (u *unread) Release(n int) { u.used.Add(int64(-n)) }

type requests struct{ budget *Budget }

// Reserve implements prim.MemoryBudget.
func (r requests) Reserve(n int) bool {
	if n <= ordinaryBytes {
		return r.budget.Reserve(n)
	}
	return r.budget.reserve(n, r.budget.percent(bodyPercent), r.budget.keptForOrdinary())
}

// Release implements prim.MemoryBudget.
func (r requests) Release(n int) { r.budget.Release(n) }

// keptForOrdinary returns the bytes that bodies leave to ordinary requests.
func (b *Budget) keptForOrdinary() int64 { return b.percent(100 - bodyPercent) }

func (b *Budget) reserveUpTo(n int, limit int64) bool {
	for {
		used := b.used.Load()
		if used+int64(n) > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

// Release implements prim.MemoryBudget.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Optional returns the budget for bytes that can do without: it has room only well below the pressure line.
// Buffers that only save time or connections use it.
func (b *Budget) Optional() prim.MemoryBudget { return optional{b} }

type optional struct{ budget *Budget }

// Reserve implements prim.MemoryBudget.
func (o optional) Reserve(n int) bool {
	return o.budget.process.hasRoomNow(int64(n), o.budget.keptForOrdinary()) && o.budget.reserveUpTo(n, o.budget.percent(optionalPercent))
}

// Release implements prim.MemoryBudget.
func (o optional) Release(n int) { o.budget.Release(n) }

// Status describes a Budget.
type Status struct {
	Reserved, Limit int64 // bytes
	Transfers       int   // bodies that arrive and answers that are written
	// GivenUp is the number of transfers that were ended under pressure, and Refused the
	// number of those that did not fit in.
	GivenUp, Refused int64
	MaxConnections   int
	// InUse is the memory that the Go runtime has in use, and InUseLimit what it may have; 0
	// for no limit. Collections counts the garbage collections for lack of room.
	InUse, InUseLimit, Collections int64
	// Unread is the sum that is reserved for bytes that are not read, of at most UnreadLimit.
	Unread, UnreadLimit int64
}

// Status returns the current state.
func (b *Budget) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{
		Reserved: b.used.Load(), Limit: b.limit, Transfers: b.transfers.Len(),
		GivenUp: b.givenUp, Refused: b.refused, MaxConnections: b.connections,
		InUse: b.process.read(), InUseLimit: b.process.limit, Collections: b.process.collections.Load(),
		Unread: b.unread.used.Load(), UnreadLimit: b.unread.limit,
	}
}

// FullError reports that the budget has no room for a body.
type FullError struct {
	// Share is set if the client has more than its share, and otherwise the node is full.
	Share      bool
	RetryAfter time.Duration
}

// Error names the cause and the remedy.
func (e *FullError) Error() string {
	if e.Share {
		return fmt.Sprintf("the client's address holds more than its share of the memory; send again after %v, or less at once", e.RetryAfter)
	}
	return fmt.Sprintf("no memory is left for bodies; send again after %v", e.RetryAfter)
}

func (b *Budget) percent(p int64) int64 { return b.limit / 100 * p }
