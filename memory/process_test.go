package memory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeProcess is a process whose garbage stays in use until it is collected.
type fakeProcess struct {
	live, garbage int64
	collections   int
}

// budget returns a budget for a machine of 100 MiB with this process.
func (p *fakeProcess) budget(collectTime time.Duration) *Budget {
	b := New(Config{Bytes: testBytes, InUse: func() int64 { return p.live + p.garbage }})
	b.process.collect = func() {
		p.garbage = 0
		p.collections++
		time.Sleep(collectTime)
	}
	return b
}

// waste takes n bytes of the budget and drops them at once.
func (p *fakeProcess) waste(b *Budget, n int) bool {
	if !b.Reserve(n) {
		return false
	}
	p.garbage += int64(n)
	b.Release(n)
	return true
}

// Guards against released bytes that take the process over its memory before they are
// collected.
func TestGarbageIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakeProcess{live: 10 << 20}
		b := p.budget(time.Millisecond)
		for range 1000 {
			time.Sleep(collectPause * time.Millisecond)
			is.True(p.waste(b, 1<<20))
			is.True(p.live+p.garbage <= GoLimit(testBytes))
		}
		is.True(p.collections > 10)
		is.True(p.collections < 1000/20) // not for each reservation
	})
}

// Guards against a process that does nothing but collect garbage when all of its memory is in
// use.
func TestCollectionsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakeProcess{live: GoLimit(testBytes)}
		b := p.budget(10 * time.Millisecond)
		began := time.Now()
		for range 1000 {
			is.True(!b.Reserve(1 << 10))
			time.Sleep(time.Millisecond)
		}
		is.Equal(b.used.Load(), int64(0))
		is.True(time.Duration(p.collections)*10*time.Millisecond <= time.Since(began)/collectPause)
		p.live = 10 << 20
		is.True(b.Reserve(1 << 10)) // at once
	})
}

// Guards against large requests and bodies that leave no memory for ordinary requests, and
// against optional bytes for which garbage is collected.
func TestRoomForOrdinaryRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakeProcess{}
		b := p.budget(time.Millisecond)
		p.live = GoLimit(testBytes) - b.keptForOrdinary()
		is.True(!b.Requests().Reserve(ordinaryBytes + 1))
		transfer := b.Begin(address(1), func() {})
		is.True(transfer.Reserve(1<<10) != nil)
		transfer.End()
		is.True(b.Requests().Reserve(ordinaryBytes))
		collections := p.collections
		is.True(!b.Optional().Reserve(1 << 10))
		is.Equal(p.collections, collections)
	})
	is := is.New(t)
	b := New(Config{Bytes: testBytes})
	n := 0
	for b.Requests().Reserve(ordinaryBytes + 1) {
		n += ordinaryBytes + 1
	}
	is.True(int64(n) <= b.percent(bodyPercent))
	is.True(b.Requests().Reserve(ordinaryBytes))
}

// Guards against bytes held by the kernel, the Go runtime and the program's code that exceed the
// machine in sum.
func TestPartsOfMemory(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ megabytes, descriptors int }{{64, 600}, {184, 4100}, {284, 4100}, {536, 8192}} {
		b := New(Config{Bytes: c.megabytes << 20, Descriptors: c.descriptors})
		held := 0
		for b.Unread().Reserve(96 << 10) {
			held += 96 << 10
		}
		is.True(held > 0)
		is.True(!b.Unread().Reserve(backlogBytes + 1))
		is.True(int64(held+b.Backlog()*backlogBytes)+GoLimit(c.megabytes<<20)+codeBytes <= int64(c.megabytes)<<20)
		b.Unread().Release(held)
		is.Equal(b.Status().Unread, int64(0))
	}
}

// Guards against stopped bodies whose requests cost more than the bytes that have arrived, and
// which are kept while other requests are refused.
func TestCostOfRequestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(Config{Bytes: testBytes})
		const cost = 1 << 20
		gaveUp := 0
		var transfers []*Transfer
		for i := 0; b.Requests().Reserve(cost); i++ {
			transfer := b.Begin(address(i), func() { gaveUp++ })
			transfer.Attach(cost)
			transfers = append(transfers, transfer)
		}
		is.Equal(gaveUp, 0)
		time.Sleep(2 * stallTime)
		is.True(!b.Requests().Reserve(cost))
		is.True(gaveUp > 0)
		is.True(gaveUp < len(transfers)) // until the pressure ends
		for _, transfer := range transfers {
			transfer.End()
			b.Release(cost)
		}
		is.Equal(b.used.Load(), int64(0))
		is.Equal(b.leaving, 0)
		is.Equal(len(b.clients), 0)
		is.True(b.Requests().Reserve(cost))
	})
}
