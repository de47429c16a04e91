package retry

import (
	"container/heap"
	"time"

	"github.com/primrosethread/primrosethread/budget"
)

// queue holds the requests of one service that wait to make another attempt.
// A waiter becomes ready when its backoff has passed. The ready waiter with the
// earliest deadline gets the next token of the budget.
type queue struct {
	backingOff waiterHeap // ordered by the end of the backoff
	ready      waiterHeap // ordered by deadline
	limit      int
}

type waiter struct {
	deadline   time.Time
	backoffEnd time.Time
	released   chan struct{}
	memberOf   *waiterHeap // the heap that contains the waiter, or nil
	index      int
}

// waiterHeap is a heap of waiters, ordered by deadline or by the end of the backoff.
type waiterHeap struct {
	items      []*waiter
	byDeadline bool
}

func newQueue(limit int) *queue {
	return &queue{ready: waiterHeap{byDeadline: true}, limit: limit}
}

// push adds a waiter and reports whether there was room for it.
func (q *queue) push(w *waiter) bool {
	if q.len() >= q.limit {
		return false
	}
	heap.Push(&q.backingOff, w)
	return true
}

func (q *queue) len() int { return len(q.backingOff.items) + len(q.ready.items) }

// remove removes a waiter and reports whether it was still waiting.
func (q *queue) remove(w *waiter) bool {
	if w.memberOf == nil {
		return false
	}
	heap.Remove(w.memberOf, w.index)
	return true
}

// release releases ready waiters while the budget has tokens. It returns the time
// until its next call is due, and false if no waiter is left.
func (q *queue) release(now time.Time, b *budget.Budget) (time.Duration, bool) {
	for len(q.backingOff.items) > 0 && !q.backingOff.items[0].backoffEnd.After(now) {
		heap.Push(&q.ready, heap.Pop(&q.backingOff))
	}
	for len(q.ready.items) > 0 && b.Take(now) {
		close(heap.Pop(&q.ready).(*waiter).released)
	}
	if q.len() == 0 {
		return 0, false
	}
	next := time.Duration(1<<63 - 1)
	if len(q.ready.items) > 0 {
		next = b.UntilNextToken(now)
	}
	if len(q.backingOff.items) > 0 {
		next = min(next, q.backingOff.items[0].backoffEnd.Sub(now))
	}
	return next, true
}

func (h *waiterHeap) Len() int { return len(h.items) }

func (h *waiterHeap) Less(i, j int) bool {
	if h.byDeadline {
		return h.items[i].deadline.Before(h.items[j].deadline)
	}
	return h.items[i].backoffEnd.Before(h.items[j].backoffEnd)
}

func (h *waiterHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.memberOf, w.index = h, len(h.items)
	h.items = append(h.items, w)
}

func (h *waiterHeap) Pop() any {
	n := len(h.items) - 1
	w := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	w.memberOf = nil
	return w
}
