package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hostileAtOnce is the number of hostile requests at the same time at one node.
const hostileAtOnce = 8

// hostileCrowd lists the bodies that hostile clients send to each node, in this order.
var hostileCrowd = []struct{ requests, chunks, chunkBytes int }{
	{120, 32, 32 << 10}, // 1 MiB in large chunks
	{100, 40, 1 << 10},  // 40 KiB in small chunks
	{200, 10, 1},        // ten bytes in chunks of one byte
}

// runTrailers sends chunked bodies whose trailers have an empty line, and checks that requests
// with a body are served long after.
func runTrailers(rec *record, trouble bool) (int, error) {
	routes, services := bookingsAndPayments()
	d, err := newDeployment(rec, routes, services, []serverConfig{bookingsServer("z-a"), bookingsServer("z-b"), paymentsServer("z-a"), paymentsServer("z-b")})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	before := d.mixedLoad(3 * time.Second)
	rec.event("before: %s", before)
	trailers := "A: b\r\nC: d\r\n\r\n"
	if trouble {
		trailers = "A: b\n\nC: d\r\n\r\n"
	}
	for _, m := range d.machines {
		d.sendHostile(m, trailers)
	}
	const rest = 10 * time.Second // more than contact_ms, and than any time after which a body is given up
	time.Sleep(rest)
	for _, m := range d.machines {
		rec.event("memory of the node at %s: %s", m.ip, m.memory())
	}
	after := d.mixedLoad(45 * time.Second)
	rec.event("after: %s", after)
	if before.shareOf("unsafe") < 0.9 || before.shareOf("safe") < 0.9 {
		return exitNotRun, fmt.Errorf("the deployment does not serve before the disruption: %s", before)
	}
	// The rule is about a whole day, so what was served before the crowd counts as well.
	day := mixedResults{"safe": append(before["safe"], after["safe"]...), "unsafe": append(before["unsafe"], after["unsafe"]...)}
	broken := day.shareOf("unsafe") < day.shareOfAll()/4
	return rec.verdict(broken, "Starved: over the whole run the share of requests served is %.3f of the unsafe kind and %.3f of all; from %v after the crowd on %.3f and %.3f",
		day.shareOf("unsafe"), day.shareOfAll(), rest, after.shareOf("unsafe"), after.shareOfAll()), nil
}

// sendHostile sends requests with chunked bodies and the given trailers to the node of a machine.
func (d *deployment) sendHostile(m *machine, trailers string) {
	var wait sync.WaitGroup
	turns := make(chan struct{}, hostileAtOnce)
	var mu sync.Mutex
	endings := make(map[string]int)
	for _, crowd := range hostileCrowd {
		for range crowd.requests {
			turns <- struct{}{}
			wait.Go(func() {
				id := randomHex(8)
				ending := sendChunked(m.outbound(), id, crowd.chunks, crowd.chunkBytes, trailers)
				d.record.event("hostile  %s to %s: %d chunks of %d bytes, trailers %q: %s", id, m.ip, crowd.chunks, crowd.chunkBytes, trailers, ending)
				mu.Lock()
				endings[ending]++
				mu.Unlock()
				<-turns
			})
		}
		wait.Wait()
	}
	d.record.event("hostile requests to %s have ended: %v", m.ip, endings)
}

// sendChunked sends one request with a chunked body and returns how it ended.
func sendChunked(address, id string, chunks, chunkBytes int, trailers string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	io.WriteString(c, fmt.Sprintf("POST /hold/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", authority, id))
	for range chunks {
		io.WriteString(c, chunk)
	}
	io.WriteString(c, "0\r\n"+trailers)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed without an answer"
	}
	return resp.Status
}

// mixedResults are results by kind of request.
type mixedResults map[string][]result

func (m mixedResults) shareOf(kind string) float64 {
	return float64(served(m[kind])) / float64(max(1, len(m[kind])))
}

func (m mixedResults) shareOfAll() float64 {
	all := append(append([]result(nil), m["safe"]...), m["unsafe"]...)
	return float64(served(all)) / float64(max(1, len(all)))
}

func (m mixedResults) String() string {
	return fmt.Sprintf("safe %v, unsafe %v (number by status)", statuses(m["safe"]), statuses(m["unsafe"]))
}

// mixedLoad sends ordinary requests from all machines: 3 in 4 safe ones, the others with a body.
// Each machine has several clients, with a kept connection each.
func (d *deployment) mixedLoad(length time.Duration) mixedResults {
	const clientsPerMachine = 10
	var clients []*client
	for range clientsPerMachine {
		for _, m := range d.machines {
			clients = append(clients, newClient(m.outbound(), d.record))
		}
	}
	results := make(mixedResults)
	for _, r := range load(80, length, func(i int) (*client, request) {
		q := request{method: "GET", host: authority, target: "/slots/" + randomHex(3), deadline: 500 * time.Millisecond}
		if rand.IntN(4) == 0 {
			q = request{method: "POST", host: authority, target: "/hold/" + randomHex(3), deadline: 600 * time.Millisecond, body: strings.Repeat("x", 300)}
		}
		return clients[i%len(clients)], q
	}) {
		kind := "safe"
		if r.request.method == "POST" {
			kind = "unsafe"
		}
		results[kind] = append(results[kind], r)
	}
	for _, c := range clients {
		c.closeIdle()
	}
	return results
}

// memory returns what the node says of its memory.
func (m *machine) memory() string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/status", m.ip, metricsPort))
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var status struct{ Memory json.RawMessage }
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return err.Error()
	}
	return string(status.Memory)
}
