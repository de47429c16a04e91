package retry

import (
	"container/heap"
	"time"

	"github.com/primrosethread/primrosethread/budget"
)

// A queue holds the requests of one service that wait to make another attempt.
// A waiter sleeps until its backoff has passed and is then ready; the retry
// budget goes to the ready waiter with the earliest deadline.
type queue struct {
	sleeping waiters // by the end of the backoff
	ready    waiters // by deadline
	limit    int
}

type waiter struct {
	deadline time.Time
	after    time.Time // end of the backoff
	released chan struct{}
	in       *waiters // the heap that holds it; nil when in none
	index    int
}

// waiters is a heap of waiters by deadline or by the end of the backoff.
type waiters struct {
	all        []*waiter
	byDeadline bool
}

func newQueue(limit int) *queue {
	return &queue{ready: waiters{byDeadline: true}, limit: limit}
}

// push adds a waiter and reports whether there was room.
func (q *queue) push(w *waiter) bool {
	if q.len() >= q.limit {
		return false
	}
	heap.Push(&q.sleeping, w)
	return true
}

func (q *queue) len() int { return len(q.sleeping.all) + len(q.ready.all) }

// remove takes out a waiter and reports whether it was still waiting.
func (q *queue) remove(w *waiter) bool {
	if w.in == nil {
		return false
	}
	heap.Remove(w.in, w.index)
	return true
}

// release lets waiters go while the budget has tokens. It returns the time
// until it should be called again, and false if nobody waits.
func (q *queue) release(now time.Time, b *budget.Budget) (time.Duration, bool) {
	for len(q.sleeping.all) > 0 && !q.sleeping.all[0].after.After(now) {
		heap.Push(&q.ready, heap.Pop(&q.sleeping))
	}
	for len(q.ready.all) > 0 && b.Take(now) {
		close(heap.Pop(&q.ready).(*waiter).released)
	}
	if q.len() == 0 {
		return 0, false
	}
	next := time.Duration(1<<63 - 1)
	if len(q.ready.all) > 0 {
		next = b.Ready(now)
	}
	if len(q.sleeping.all) > 0 {
		next = min(next, q.sleeping.all[0].after.Sub(now))
	}
	return next, true
}

func (h *waiters) Len() int { return len(h.all) }

func (h *waiters) Less(i, j int) bool {
	if h.byDeadline {
		return h.all[i].deadline.Before(h.all[j].deadline)
	}
	return h.all[i].after.Before(h.all[j].after)
}

func (h *waiters) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].index, h.all[j].index = i, j
}

func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.in, w.index = h, len(h.all)
	h.all = append(h.all, w)
}

func (h *waiters) Pop() any {
	n := len(h.all) - 1
	w := h.all[n]
	h.all[n] = nil
	h.all = h.all[:n]
	w.in = nil
	return w
}
