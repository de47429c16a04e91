package admit

import (
	"container/heap"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// The queue holds the requests that wait for a slot. It has two classes, customer
// calls and internal calls, each with its own bound, so that neither can crowd
// out the other. Within a class, each customer has a heap ordered by deadline,
// and the customers are served by deficit round robin (Shreedhar and Varghese,
// 1995): each visit adds a quantum to the customer's deficit counter, and a
// request is removed when the counter covers its cost, its expected service time.

// The queue classes.
const (
	classCustomer = iota
	classInternal
	queueClasses
)

// classQuanta gives the shares of the slots while both classes have requests
// waiting.
var classQuanta = [queueClasses]float64{classCustomer: 3, classInternal: 1}

// Bounds of a request's cost, relative to the mean cost. They prevent a class of
// requests from blocking a customer for many rounds.
const (
	minCost = 0.25
	maxCost = 4
)

// flow holds the waiting requests of one customer.
type flow struct {
	customer prim.Customer
	deficit  float64
	visited  bool // the quantum of this visit has been added
	heap     deadlineHeap
}

// classQueue holds the flows of one class in round robin order.
type classQueue struct {
	flows      []*flow
	byCustomer map[prim.Customer]*flow
	waiting    int
}

type queue struct {
	classQueues  [queueClasses]classQueue
	deficit      [queueClasses]float64
	currentClass int
}

func newQueue() queue {
	var q queue
	for i := range q.classQueues {
		q.classQueues[i].byCustomer = make(map[prim.Customer]*flow)
	}
	return q
}

func (q *queue) len() (n int) {
	for i := range q.classQueues {
		n += q.classQueues[i].waiting
	}
	return n
}

func queueClassOf(r *prim.Request) int {
	if r.Internal {
		return classInternal
	}
	return classCustomer
}

// push adds a ticket if its class has fewer than bound tickets. If the class is
// full, push makes room by removing the ticket with the latest deadline of the
// customer with the most tickets, provided that the new ticket's customer has at
// least two fewer; otherwise it rejects the new ticket. It returns the ticket
// removed or rejected, or nil.
func (q *queue) push(t *Ticket, bound int) (dropped *Ticket) {
	class := &q.classQueues[queueClassOf(t.Request)]
	if class.waiting >= bound {
		longest := class.longestFlow()
		own := 0
		if f := class.byCustomer[t.Request.Customer]; f != nil {
			own = len(f.heap)
		}
		if longest == nil || bound <= 0 || len(longest.heap) < own+2 {
			return t
		}
		dropped = longest.heap.latest()
		q.remove(dropped)
	}
	f := class.byCustomer[t.Request.Customer]
	if f == nil {
		f = &flow{customer: t.Request.Customer}
		class.byCustomer[f.customer] = f
		class.flows = append(class.flows, f)
	}
	heap.Push(&f.heap, t)
	class.waiting++
	return dropped
}

// trim removes tickets until each class has at most bound.
func (q *queue) trim(bound int) (dropped []*Ticket) {
	for i := range q.classQueues {
		for class := &q.classQueues[i]; class.waiting > bound; {
			t := class.longestFlow().heap.latest()
			q.remove(t)
			dropped = append(dropped, t)
		}
	}
	return dropped
}

// removeExpired removes the tickets whose deadline is not after now.
func (q *queue) removeExpired(now time.Time) (dropped []*Ticket) {
	for i := range q.classQueues {
		class := &q.classQueues[i]
		for j := 0; j < len(class.flows); {
			f := class.flows[j]
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

// pop removes and returns the next ticket, or returns nil if the queue is empty.
func (q *queue) pop() *Ticket {
	if q.len() == 0 {
		return nil
	}
	for {
		class := &q.classQueues[q.currentClass]
		if class.waiting == 0 {
			q.deficit[q.currentClass] = 0
		} else if q.deficit[q.currentClass] >= 1 {
			q.deficit[q.currentClass]--
			return q.popFrom(class)
		}
		q.currentClass = (q.currentClass + 1) % queueClasses
		if q.classQueues[q.currentClass].waiting > 0 {
			q.deficit[q.currentClass] += classQuanta[q.currentClass]
		}
	}
}

// popFrom removes and returns the next ticket of a class that is not empty.
func (q *queue) popFrom(class *classQueue) *Ticket {
	for {
		f := class.flows[0]
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
		class.flows = append(class.flows[1:], f)
	}
}

// remove removes a waiting ticket, and its flow if that is then empty.
func (q *queue) remove(t *Ticket) {
	class := &q.classQueues[queueClassOf(t.Request)]
	f := class.byCustomer[t.Request.Customer]
	heap.Remove(&f.heap, t.heapIndex)
	class.waiting--
	if len(f.heap) > 0 {
		return
	}
	delete(class.byCustomer, f.customer)
	for i, other := range class.flows {
		if other == f {
			class.flows = append(class.flows[:i], class.flows[i+1:]...)
			break
		}
	}
}

// longestFlow returns the flow with the most tickets; among equal ones, the first
// in round robin order.
func (c *classQueue) longestFlow() (longest *flow) {
	for _, f := range c.flows {
		if longest == nil || len(f.heap) > len(longest.heap) {
			longest = f
		}
	}
	return longest
}

// deadlineHeap is a heap of tickets, ordered by deadline, then by arrival.
type deadlineHeap []*Ticket

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return servedBefore(d[i], d[j]) }

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	t := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return t
}

// latest returns the ticket that would be served last.
func (d deadlineHeap) latest() *Ticket {
	latest := d[0]
	for _, t := range d {
		if servedBefore(latest, t) {
			latest = t
		}
	}
	return latest
}

func servedBefore(a, b *Ticket) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.arrival < b.arrival
}
