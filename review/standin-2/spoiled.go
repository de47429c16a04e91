package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The largest dose of garble in the site file that has no variant.
const (
	spoiledShare = 0.02
	spoiledTime  = 5500 * time.Millisecond
)

// spoiledStatus lets one server of three spoil two answers in a hundred for some seconds: the
// status is 101, although no client has asked for another protocol. Such bytes are no answer to
// these requests.
func spoiledStatus(d *deployment, trouble bool) (outcome, error) {
	d.publishConfig([]route{{"deposit-take", "/pay/", "unsafe", "payments", 400, 150, 0}}, "payments")
	if err := d.addMachines([]machineConfig{
		{"tas-south-a", "payments", 42 * time.Millisecond}, {"tas-south-b", "payments", 42 * time.Millisecond}, {"tas-south-c", "payments", 42 * time.Millisecond},
	}); err != nil {
		return outcome{}, err
	}
	if err := d.start(); err != nil {
		return outcome{}, err
	}
	time.Sleep(500 * time.Millisecond) // until the nodes know the servers
	if trouble {
		d.machines[0].server.spoil(spoiledShare)
		defer time.AfterFunc(spoiledTime, func() { d.machines[0].server.spoil(0) }).Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var ended sync.WaitGroup
	for _, m := range d.machines {
		for range 4 {
			ended.Go(func() { rawClient(ctx, m) })
		}
	}
	ended.Wait()
	broken, unanswered := 0, 0
	for _, q := range d.record.all() {
		if q.failure == switchedUnasked {
			broken++
		}
		if q.status == 0 {
			unanswered++
		}
	}
	spoiled := 0
	for _, m := range d.machines {
		spoiled += m.server.spoiled
	}
	return outcome{
		broken: broken > 0,
		verdict: []string{
			fmt.Sprintf("MIXED: %d clients of %d got the status 101 without having asked for another protocol; the servers spoiled %d answers", broken, len(d.record.all()), spoiled),
			fmt.Sprintf("%d requests got no final answer until their deadline", unanswered),
		},
	}, nil
}

// switchedUnasked is the failure of a request that got the status 101 and then no final answer.
const switchedUnasked = "status 101 without an Upgrade, and no final answer until the deadline"

// rawClient sends one request after the other on a kept connection. Like any client of
// HTTP/1.1, it goes on waiting after an informational answer.
func rawClient(ctx context.Context, m *machine) {
	const deadline = 400 * time.Millisecond
	rec := m.deployment.record
	var conn net.Conn
	var in *bufio.Reader
	for ctx.Err() == nil {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", m.callersAddress()); err != nil {
				rec.add("client on %s can't connect: %v", m.name, err)
				return
			}
			in = bufio.NewReader(conn)
		}
		q := &request{id: fmt.Sprintf("a%06d", lastID.Add(1)), machine: m.name, method: "PUT", path: "/pay/2f", sentAt: time.Now()}
		rec.sent(q)
		conn.SetDeadline(q.sentAt.Add(deadline))
		body := strings.Repeat("b", 300)
		fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			q.path, authority, q.id, deadline.Milliseconds(), len(body), body)
		status, seal, failure := awaitFinal(in)
		rec.answered(q, status, seal, failure)
		if failure != "" {
			conn.Close()
			conn = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	if conn != nil {
		conn.Close()
	}
}

// awaitFinal reads answers until a final one.
func awaitFinal(in *bufio.Reader) (status int, seal, failure string) {
	switched := false
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil && switched {
			return 0, "", switchedUnasked
		}
		if err != nil {
			return 0, "", err.Error()
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			switched = true
			continue
		}
		if resp.StatusCode < 200 {
			continue
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0, "", err.Error()
		}
		return resp.StatusCode, resp.Header.Get("X-Response-Seal"), ""
	}
}
