package main

import (
	"fmt"
	"strings"
	"time"
)

// runRestart restarts the node beside a cold server and checks how many requests the server gets
// in one second.
func runRestart(rec *record, trouble bool) (int, error) {
	const perSecond, overage, slack = 8.3, 1.5, 5
	routes := []route{{"shed-read", "/shed/", "safe", "dispatch", 500 * time.Millisecond, 200 * time.Millisecond, 0, 2}}
	services := []service{{"orders", 260, 3 * time.Second, perSecond}, {"dispatch", 260, 3 * time.Second, perSecond}}
	orders := serverConfig{service: "orders", zone: "z-a", slots: 6, maxConns: 260, work: 160 * time.Millisecond, warmup: 3 * time.Second, answerText: strings.Repeat("o", 500)}
	dispatch := serverConfig{service: "dispatch", zone: "z-a", slots: 6, maxConns: 260, work: 40 * time.Millisecond, warmup: 3 * time.Second, answerText: strings.Repeat("d", 500)}
	d, err := newDeployment(rec, routes, services, []serverConfig{orders, orders, dispatch}, 64)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	m := d.machines[2]
	clients := d.clients()
	done := make(chan []result, 1)
	go func() {
		done <- load(55, 16*time.Second, func(i int) (*client, request) {
			return clients[i%len(clients)], request{method: "GET", host: authority, target: "/shed/" + randomHex(3), deadline: 500 * time.Millisecond}
		})
	}()
	time.Sleep(4 * time.Second)
	// The server comes back cold, as after cold_return.
	oldKey, _ := m.server.entry(0)
	m.server.crash()
	d.store.remove(oldKey)
	time.Sleep(2 * time.Second)
	if err := m.server.start(true); err != nil {
		return exitNotRun, err
	}
	m.publish()
	back := time.Now()
	if trouble {
		for m.server.coldCount() == 0 && time.Since(back) < 2*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		m.killNode()
		time.Sleep(300 * time.Millisecond)
		if err := m.startNode(); err != nil {
			return exitNotRun, err
		}
	}
	results := <-done
	rec.event("requests at the cold server, ms after its start: %s", m.server.coldArrivals(back))
	most, bound := m.server.mostInOneSecond(), perSecond*overage+slack
	if served(results) < len(results)/4 || m.server.coldCount() == 0 {
		return exitNotRun, fmt.Errorf("too few requests are served: %v, %d at the cold server", statuses(results), m.server.coldCount())
	}
	return rec.verdict(float64(most) > bound, "FAILBACK: the cold server got %d requests in one second, the bound is %.2f; by status %v", most, bound, statuses(results)), nil
}

// coldCount returns the number of requests that arrived while the server was cold.
func (s *server) coldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}
