package admit

import (
	"container/heap"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The queue holds the requests that wait for a slot. It has two classes, calls
// of customers and internal calls, so that neither can take the other's places.
// A class keeps a heap for each customer, earliest deadline first, and serves
// the customers by deficit round robin (Shreedhar and Varghese, 1995): each
// visit adds a quantum to the customer's deficit, and a request is taken when
// the deficit covers its cost, which is its usual time at the server.

// The classes of the queue, with the share of the slots that each gets while
// both wait.
const (
	classCustomer = iota
	classInternal
	classes
)

var quanta = [classes]float64{classCustomer: 3, classInternal: 1}

// Costs are relative to the mean of the requests waiting; the bounds keep one
// class of requests from blocking a customer for many rounds.
const (
	minCost = 0.25
	maxCost = 4
)

// flow is the waiting requests of one customer.
type flow struct {
	customer prim.Customer
	deficit  float64
	visited  bool // the deficit was raised on this visit
	heap     deadlines
}

// ring is the flows of one class in the order of service.
type ring struct {
	flows []*flow
	by    map[prim.Customer]*flow
	n     int
}

type queue struct {
	rings   [classes]ring
	deficit [classes]float64
	turn    int
}

func newQueue() queue {
	var q queue
	for i := range q.rings {
		q.rings[i].by = make(map[prim.Customer]*flow)
	}
	return q
}

func (q *queue) len() (n int) {
	for i := range q.rings {
		n += q.rings[i].n
	}
	return n
}

func classOf(r *prim.Request) int {
	if r.Internal {
		return classInternal
	}
	return classCustomer
}

// push adds a ticket if its class has fewer than bound waiting. If not, it makes
// room by removing the latest deadline of the customer with the most requests,
// provided that the ticket's customer has at least two fewer; else it adds
// nothing. The ticket that finds no place is returned.
func (q *queue) push(t *Ticket, bound int) (dropped *Ticket) {
	r := &q.rings[classOf(t.Request)]
	if r.n >= bound {
		longest := r.longest()
		own := 0
		if f := r.by[t.Request.Customer]; f != nil {
			own = len(f.heap)
		}
		if longest == nil || bound <= 0 || len(longest.heap) < own+2 {
			return t
		}
		dropped = longest.heap.latest()
		q.remove(dropped)
	}
	f := r.by[t.Request.Customer]
	if f == nil {
		f = &flow{customer: t.Request.Customer}
		r.by[f.customer] = f
		r.flows = append(r.flows, f)
	}
	heap.Push(&f.heap, t)
	r.n++
	return dropped
}

// trim removes tickets until each class has at most bound.
func (q *queue) trim(bound int) (dropped []*Ticket) {
	for i := range q.rings {
		for r := &q.rings[i]; r.n > bound; {
			t := r.longest().heap.latest()
			q.remove(t)
			dropped = append(dropped, t)
		}
	}
	return dropped
}

// expired removes the tickets whose deadline is not after now.
func (q *queue) expired(now time.Time) (dropped []*Ticket) {
	for i := range q.rings {
		r := &q.rings[i]
		for j := 0; j < len(r.flows); {
			f := r.flows[j]
			if t := f.heap[0]; !t.Request.Deadline.After(now) {
				q.remove(t)
				dropped = append(dropped, t)
				continue
			}
			j++
		}
	}
	return dropped
}

// pop removes the next ticket, or returns nil if none waits.
func (q *queue) pop() *Ticket {
	if q.len() == 0 {
		return nil
	}
	for {
		r := &q.rings[q.turn]
		if r.n == 0 {
			q.deficit[q.turn] = 0
		} else if q.deficit[q.turn] >= 1 {
			q.deficit[q.turn]--
			return q.take(r)
		}
		q.turn = (q.turn + 1) % classes
		if q.rings[q.turn].n > 0 {
			q.deficit[q.turn] += quanta[q.turn]
		}
	}
}

// take serves the flows of a class that is not empty.
func (q *queue) take(r *ring) *Ticket {
	for {
		f := r.flows[0]
		if !f.visited {
			f.deficit++
			f.visited = true
		}
		if t := f.heap[0]; f.deficit >= t.cost {
			f.deficit -= t.cost
			q.remove(t)
			return t
		}
		f.visited = false
		r.flows = append(r.flows[1:], f)
	}
}

// remove takes a waiting ticket out.
func (q *queue) remove(t *Ticket) {
	r := &q.rings[classOf(t.Request)]
	f := r.by[t.Request.Customer]
	heap.Remove(&f.heap, t.place)
	r.n--
	if len(f.heap) > 0 {
		return
	}
	delete(r.by, f.customer)
	for i, g := range r.flows {
		if g == f {
			r.flows = append(r.flows[:i], r.flows[i+1:]...)
			break
		}
	}
}

// longest returns the flow with the most requests, the earliest in the ring of
// equal ones.
func (r *ring) longest() (l *flow) {
	for _, f := range r.flows {
		if l == nil || len(f.heap) > len(l.heap) {
			l = f
		}
	}
	return l
}

// deadlines is a heap of tickets, earliest deadline first, and of equal ones
// the earlier arrival.
type deadlines []*Ticket

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return before(d[i], d[j]) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	t := x.(*Ticket)
	t.place = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	t := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return t
}

// latest returns the ticket that would be served last.
func (d deadlines) latest() *Ticket {
	l := d[0]
	for _, t := range d {
		if before(l, t) {
			l = t
		}
	}
	return l
}

func before(a, b *Ticket) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.arrival < b.arrival
}
