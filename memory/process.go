package memory

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// goPercent is the part of the machine's memory that the Go runtime may have in use, besides
	// codeBytes for the program's code. The rest is for what the runtime doesn't count, such as
	// bytes that the kernel has received for the process.
	goPercent = 75
	codeBytes = 8 << 20
	// measureFraction is the part of the free memory that may be reserved until it is measured
	// again, and minAllowance the least.
	measureFraction = 4
	minAllowance    = 64 << 10
	// maxMeasureAge is the time after which a measurement is repeated, for memory that nobody
	// reserves.
	maxMeasureAge = 20 * time.Millisecond
	// collectPause is the least time between two collections, as a multiple of the duration of
	// the last one, so that they can't take most of the processor.
	collectPause = 4
)

// GoLimit returns the memory limit of the Go runtime on a machine with this memory.
func GoLimit(memoryBytes int) int64 {
	share := int64(memoryBytes) / 100 * goPercent
	return max(share-codeBytes, share/2)
}

// process bounds the memory of the process as the Go runtime measures it. The sum of reserved
// bytes alone doesn't bound it: what has been released stays in use until the next garbage
// collection, and clients that are rejected leave garbage as fast as they send.
type process struct {
	limit   int64        // bytes in use; 0 for no limit
	inUse   func() int64 // bytes in use, garbage included
	collect func()       // collects garbage

	began      time.Time
	measuredAt atomic.Int64 // nanoseconds since began
	allowance  atomic.Int64 // bytes that may be reserved before the next measurement
	kept       atomic.Int64 // bytes that stay free when the allowance is used up

	mu             sync.Mutex // held while measuring and collecting
	collectAgainAt time.Time
	collections    atomic.Int64
}

func newProcess(c Config) *process {
	p := &process{inUse: c.InUse, collect: runtime.GC, began: time.Now()}
	if c.InUse != nil {
		p.limit = GoLimit(c.Bytes)
	}
	return p
}

// read returns the memory in use, 0 if it is not bounded.
func (p *process) read() int64 {
	if p.limit == 0 {
		return 0
	}
	return p.inUse()
}

// hasRoom reports whether n more bytes can be allocated so that keep bytes stay free. If they
// can't because of garbage, it collects that.
func (p *process) hasRoom(n, keep int64) bool {
	if p.limit == 0 || p.take(n, keep) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(n, keep) || // another caller has measured meanwhile
		p.measureAndTake(n, keep) || p.collectGarbage() && p.measureAndTake(n, keep)
}

// hasRoomNow is hasRoom without a collection.
func (p *process) hasRoomNow(n, keep int64) bool {
	if p.limit == 0 || p.take(n, keep) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(n, keep) || p.measureAndTake(n, keep)
}

// collectGarbage collects garbage. It returns false if it was just done. The caller holds p.mu.
func (p *process) collectGarbage() bool {
	began := time.Now()
	if began.Before(p.collectAgainAt) {
		return false
	}
	p.collect()
	p.collections.Add(1)
	p.collectAgainAt = time.Now().Add(collectPause * time.Since(began))
	return true
}

// take takes n bytes of the allowance, if the last measurement is recent and at least keep bytes
// stay free.
func (p *process) take(n, keep int64) bool {
	if time.Since(p.began)-time.Duration(p.measuredAt.Load()) >= maxMeasureAge || p.kept.Load() < keep {
		return false
	}
	return p.allowance.Add(-n) >= 0
}

// measureAndTake measures the memory in use, sets the allowance and takes n bytes of it, if at
// least keep bytes stay free. The caller holds p.mu.
func (p *process) measureAndTake(n, keep int64) bool {
	free := p.limit - p.inUse()
	ok := free-n >= keep
	if ok {
		free -= n
	}
	allowance := min(max(free/measureFraction, minAllowance), max(free, 0))
	p.kept.Store(free - allowance)
	p.allowance.Store(allowance)
	p.measuredAt.Store(int64(time.Since(p.began)))
	return ok
}

// InUse returns the memory of the Go runtime without what is free or was returned to the
// system.
func InUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/free:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64() - samples[2].Value.Uint64())
}
