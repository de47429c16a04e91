package memory

import (
	"container/list"
	"net/netip"
	"time"
)

// Transfer is a body or an answer on its way between a client and the node. Its methods
// are called by one goroutine.
type Transfer struct {
	budget *Budget
	client netip.Addr
	giveUp func()

	sinceStep int // bytes since the last step

	// Guarded by Budget.mu.
	held       int           // bytes
	attached   int           // bytes that are accounted for elsewhere
	element    *list.Element // in Budget.transfers; nil if not in progress
	progressAt time.Time     // time of the last step
	gaveUp     bool
}

// Begin registers a transfer. Under pressure giveUp is called once if the transfer makes
// the least progress; it has to make the goroutine of the transfer call End soon. It is
// called with locks held, only before Finish and End return, and must not block.
func (b *Budget) Begin(client netip.Addr, giveUp func()) *Transfer {
	t := &Transfer{budget: b, client: client, giveUp: giveUp, progressAt: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	t.element = b.transfers.PushBack(t)
	return t
}

// Attach records n bytes that are accounted for by Budget.Reserve and are returned when the
// transfer has ended, such as those of its request's header.
func (t *Transfer) Attach(n int) {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.attach(n)
}

// attach is Attach with Budget.mu held.
func (t *Transfer) attach(n int) {
	t.attached += n
	t.count(n)
}

// Reserve accounts for n more bytes of a body. The error is a *FullError.
func (t *Transfer) Reserve(n int) error {
	b := t.budget
	roomy := b.process.hasRoom(int64(n), b.keptForOrdinary())
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.gaveUp {
		return &FullError{RetryAfter: retryAfter}
	}
	used := b.used.Load() + int64(n)
	calm := used-int64(t.held+n) <= b.percent(calmPercent)
	if !calm && used > b.percent(pressurePercent) {
		if int64(b.clients[t.client]+n) > b.percent(bodyPercent)*sharePercent/100 {
			b.refused++
			return &FullError{Share: true, RetryAfter: retryAfter}
		}
		b.relieve(used-b.percent(pressurePercent), time.Now().Add(-stallTime))
	}
	if t.gaveUp || !roomy || !b.reserveUpTo(n, b.percent(bodyPercent)) {
		over := used - b.percent(bodyPercent)
		if !roomy {
			over = max(over, int64(n))
		}
		b.relieve(over, t.progressAt)
		b.refused++
		return &FullError{RetryAfter: retryAfter}
	}
	t.add(n)
	return nil
}

// Add accounts for n bytes that are held already, whether they fit in or not. If they
// don't, the transfers with the least progress are given up.
func (t *Transfer) Add(n int) {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.used.Add(int64(n))
	t.add(n)
	b.relieve(used-b.percent(pressurePercent), time.Now().Add(-stallTime))
	b.relieve(used-b.percent(bodyPercent), t.progressAt)
}

// Release returns n bytes.
func (t *Transfer) Release(n int) {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.budget.Release(n)
	t.add(-n)
}

// add changes the bytes that the transfer holds. The caller holds Budget.mu.
func (t *Transfer) add(n int) {
	t.held += n
	t.count(n)
}

// count changes the bytes of the client, and of the transfers that were given up. The caller
// holds Budget.mu.
func (t *Transfer) count(n int) {
	if t.gaveUp {
		t.budget.leaving += n
	}
	c := t.budget.clients
	if c[t.client] += n; c[t.client] == 0 {
		delete(c, t.client)
	}
}

// relieve gives up transfers whose last progress was before a time, the one with the least
// progress first, until n bytes are about to be released. The caller holds b.mu.
func (b *Budget) relieve(n int64, before time.Time) {
	for e := b.transfers.Front(); e != nil && int64(b.leaving) < n; {
		t := e.Value.(*Transfer)
		if !t.progressAt.Before(before) {
			return
		}
		e = e.Next()
		if t.held+t.attached == 0 {
			continue
		}
		b.end(t)
	}
}

// GiveUpStopped gives up at most n transfers without progress, so that their connections
// become free for others. It returns their number.
func (b *Budget) GiveUpStopped(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := time.Now().Add(-stallTime)
	given := 0
	for e := b.transfers.Front(); e != nil && given < n; given++ {
		t := e.Value.(*Transfer)
		if !t.progressAt.Before(before) {
			break
		}
		e = e.Next()
		b.end(t)
	}
	return given
}

// end gives up a transfer. The caller holds b.mu.
func (b *Budget) end(t *Transfer) {
	t.gaveUp = true
	b.givenUp++
	b.leaving += t.held + t.attached
	t.leave()
	t.giveUp()
}

// leave ends the progress of a transfer. The caller holds Budget.mu.
func (t *Transfer) leave() {
	if t.element != nil {
		t.budget.transfers.Remove(t.element)
		t.element = nil
	}
}

// Progress records that n bytes have been transferred.
func (t *Transfer) Progress(n int) {
	if t.sinceStep += n; t.sinceStep < stepBytes {
		return
	}
	t.sinceStep = 0
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.element != nil {
		t.progressAt = time.Now()
		b.transfers.MoveToBack(t.element)
	}
}

// Finish records that a body is whole. It is not given up from then on. The error is a
// *FullError if it has been given up before.
func (t *Transfer) Finish() error {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.leave()
	if t.gaveUp {
		return &FullError{RetryAfter: retryAfter}
	}
	return nil
}

// Err returns a *FullError if the transfer has been given up.
func (t *Transfer) Err() error {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	if t.gaveUp {
		return &FullError{RetryAfter: retryAfter}
	}
	return nil
}

// End returns all bytes of the transfer.
func (t *Transfer) End() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.leave()
	t.budget.Release(t.held)
	t.add(-t.held)
	t.attach(-t.attached)
}
