package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a queue beyond its bound, a request served before one of the
// same customer with an earlier deadline, a customer with many requests
// delaying the others, and one class exceeding its share of the slots.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		bound := rapid.IntRange(0, 40).Draw(t, "bound")
		for i := range rapid.IntRange(0, 120).Draw(t, "n") {
			customer := rapid.SampledFrom([]string{"a", "a", "a", "a", "b", "c"}).Draw(t, "customer")
			r := request(customer, start.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline"))*time.Millisecond))
			r.Internal = rapid.IntRange(0, 2).Draw(t, "internal") == 0
			q.push(&Ticket{Request: r, cost: 1, arrival: uint64(i)}, bound)
			for i := range q.classQueues {
				if q.classQueues[i].waiting > bound {
					t.Fatalf("%d queued in class %d, bound %d", q.classQueues[i].waiting, i, bound)
				}
			}
		}
		type flowKey struct {
			class    int
			customer string
		}
		last := map[flowKey]time.Time{}
		served := map[flowKey]int{}
		servedByClass := [queueClasses]int{}
		for q.len() > 0 {
			bothWaiting := q.classQueues[0].waiting > 0 && q.classQueues[1].waiting > 0
			ticket := q.pop()
			c := queueClassOf(ticket.Request)
			popped := flowKey{c, string(ticket.Request.Customer)}
			if ticket.Request.Deadline.Before(last[popped]) {
				t.Fatalf("customer %s: a later deadline was served first", popped.customer)
			}
			last[popped] = ticket.Request.Deadline
			served[popped]++
			for customer := range q.classQueues[c].byCustomer {
				if other := (flowKey{c, string(customer)}); served[popped] > served[other]+1 {
					t.Fatalf("customer %s was served %d times, waiting customer %s %d times", popped.customer, served[popped], customer, served[other])
				}
			}
			if bothWaiting {
				servedByClass[c]++
				if servedByClass[classCustomer] > 3*servedByClass[classInternal]+3 || servedByClass[classInternal] > servedByClass[classCustomer]/3+1 {
					t.Fatalf("while both waited, customers were served %d and internal calls %d times", servedByClass[0], servedByClass[1])
				}
			}
		}
	})
}

// Guards against a customer that fills the queue and so blocks the others.
func TestQueueMakesRoom(t *testing.T) {
	q := newQueue()
	for i := range 4 {
		q.push(&Ticket{Request: request("a", start.Add(time.Duration(i)*time.Second)), cost: 1, arrival: uint64(i)}, 4)
	}
	ticket := &Ticket{Request: request("b", start.Add(time.Hour)), cost: 1, arrival: 9}
	if dropped := q.push(ticket, 4); dropped == ticket || dropped == nil || !dropped.Request.Deadline.Equal(start.Add(3*time.Second)) {
		t.Fatalf("dropped %v, want the latest request of the longest flow", dropped)
	}
}

// Guards against a customer with costly requests getting more of the server's
// time than one with cheap requests.
func TestQueueChargesCost(t *testing.T) {
	q := newQueue()
	for i := range 40 {
		q.push(&Ticket{Request: request("a", start), cost: 4, arrival: uint64(i)}, 100)
		q.push(&Ticket{Request: request("b", start), cost: 1, arrival: uint64(i)}, 100)
	}
	served := map[string]int{}
	for range 25 {
		served[string(q.pop().Request.Customer)]++
	}
	if served["a"] < 4 || served["a"] > 6 {
		t.Fatalf("served %v, want 5 costly and 20 cheap requests", served)
	}
}
