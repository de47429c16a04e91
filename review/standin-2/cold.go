package main

import (
	"fmt"
	"time"
)

// coldLimit is the number of requests that a cold server may get in any second (FAILBACK).
const coldLimit = warmUpPerSecond*warmUpOverage + warmUpSlack

// crashRate is the number of requests in a second at which the cold server crashes: twice
// what it tolerates, which is also above the limit.
const crashRate = 2 * warmUpPerSecond

// coldServerRestartedNode kills the node beside a cold server while there is more work than the
// server may get. The next process of the node sends it the full allowance again.
func coldServerRestartedNode(d *deployment, trouble bool) (outcome, error) {
	d.publishConfig([]route{{"deposit-take", "/pay/", "unsafe", "payments", 400, 150, 0}}, "payments", "bookings")
	err := d.addMachines([]machineConfig{
		{"tas-south-a", "payments", 15 * time.Millisecond}, {"tas-south-b", "bookings", 60 * time.Millisecond}, {"tas-south-c", "bookings", 60 * time.Millisecond},
	})
	if err != nil {
		return outcome{}, err
	}
	if err := d.start(); err != nil {
		return outcome{}, err
	}
	m := d.machines[0]
	crashed := false
	m.server.crashRate = crashRate
	m.server.onCrash = func() {
		crashed = true
		d.record.add("server %s crashes: %.0f requests in one second while it is cold", m.server.id, float64(crashRate))
	}
	var all []*clients
	for _, from := range d.machines {
		all = append(all, &clients{machine: from, method: "PUT", path: "/pay/2f", perSecond: 110, deadline: 400 * time.Millisecond, bodyBytes: 300})
	}
	l := startLoad(all...)
	time.Sleep(2 * time.Second)
	m.server.becomeCold()
	d.record.add("server %s is cold for %v", m.server.id, warmUpTime)
	time.Sleep(1100 * time.Millisecond)
	if trouble {
		m.killNode()
		d.record.add("node %s is killed", m.name)
		time.Sleep(restartDelay)
		if err := m.startNode(); err != nil {
			return outcome{}, err
		}
		d.record.add("node %s is started again", m.name)
	}
	time.Sleep(1900 * time.Millisecond)
	l.stop()
	if err := m.awaitReady(5 * time.Second); err != nil {
		return outcome{}, err
	}
	most, at := mostInOneSecond(d.record.all())
	lost, refused, served := 0, 0, 0
	for _, q := range d.record.all() {
		switch {
		case q.status == 200:
			served++
		case q.status == 503:
			refused++
		case q.runs > 0:
			lost++
		}
	}
	return outcome{
		broken: float64(most) > coldLimit,
		verdict: []string{
			fmt.Sprintf("FAILBACK: the cold server got at most %d requests in one second, until %.3f s; allowed are %.1f", most, at.Sub(d.record.started).Seconds(), coldLimit),
			fmt.Sprintf("server crashed: %v; requests served %d, refused with 503 %d, run without an answer to the client that it ran %d", crashed, served, refused, lost),
		},
	}, nil
}

// mostInOneSecond returns the largest number of requests that were sent to a cold server and
// reached it within one second, and the end of that second.
func mostInOneSecond(all []*request) (most int, until time.Time) {
	type pair struct{ sent, arrived time.Time }
	var pairs []pair
	for _, q := range all {
		for _, a := range q.arrivals {
			if a.cold {
				pairs = append(pairs, pair{q.sentAt, a.at})
			}
		}
	}
	for _, end := range pairs {
		from := end.arrived.Add(-time.Second)
		n := 0
		for _, p := range pairs {
			if p.sent.After(from) && !p.arrived.After(end.arrived) {
				n++
			}
		}
		if n > most {
			most, until = n, end.arrived
		}
	}
	return most, until
}
