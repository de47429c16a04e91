package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a queue beyond its bound, a request served before one of the
// same customer with an earlier deadline, a customer with many requests
// delaying the others, and one class taking the share of the other.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		bound := rapid.IntRange(0, 40).Draw(t, "bound")
		for i := range rapid.IntRange(0, 120).Draw(t, "n") {
			customer := rapid.SampledFrom([]string{"a", "a", "a", "a", "b", "c"}).Draw(t, "customer")
			r := request(customer, start.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline"))*time.Millisecond))
			r.Internal = rapid.IntRange(0, 2).Draw(t, "internal") == 0
			q.push(&Ticket{Request: r, cost: 1, arrival: uint64(i)}, bound)
			for i := range q.rings {
				if q.rings[i].n > bound {
					t.Fatalf("%d queued in class %d, bound %d", q.rings[i].n, i, bound)
				}
			}
		}
		type key struct {
			class    int
			customer string
		}
		last := map[key]time.Time{}
		served := map[key]int{}
		class := [classes]int{}
		for q.len() > 0 {
			both := q.rings[0].n > 0 && q.rings[1].n > 0
			k := q.pop()
			c := classOf(k.Request)
			at := key{c, string(k.Request.Customer)}
			if k.Request.Deadline.Before(last[at]) {
				t.Fatalf("customer %s: a later deadline was served first", at.customer)
			}
			last[at] = k.Request.Deadline
			served[at]++
			for customer := range q.rings[c].by {
				if other := (key{c, string(customer)}); served[at] > served[other]+1 {
					t.Fatalf("customer %s was served %d times, waiting customer %s %d times", at.customer, served[at], customer, served[other])
				}
			}
			if both {
				class[c]++
				if class[classCustomer] > 3*class[classInternal]+3 || class[classInternal] > class[classCustomer]/3+1 {
					t.Fatalf("while both waited, customers were served %d and internal calls %d times", class[0], class[1])
				}
			}
		}
	})
}

// Guards against a customer that fills the queue keeping the others out.
func TestQueueMakesRoom(t *testing.T) {
	q := newQueue()
	for i := range 4 {
		q.push(&Ticket{Request: request("a", start.Add(time.Duration(i)*time.Second)), cost: 1, arrival: uint64(i)}, 4)
	}
	k := &Ticket{Request: request("b", start.Add(time.Hour)), cost: 1, arrival: 9}
	if d := q.push(k, 4); d == k || d == nil || !d.Request.Deadline.Equal(start.Add(3*time.Second)) {
		t.Fatalf("dropped %v, want the latest request of the longest flow", d)
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
