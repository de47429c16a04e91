package main

import (
	"fmt"
	"time"
)

// runTarget sends requests whose paths have bytes that many clients don't encode, and checks that
// servers get the same paths.
func runTarget(rec *record, trouble bool) (int, error) {
	routes, services := bookingsAndPayments()
	d, err := newDeployment(rec, routes, services, []serverConfig{bookingsServer("z-a"), bookingsServer("z-b")})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	targets := []string{"/slots/a%2Fb", "/slots/a%7Cb?day=5%7C6", "/slots/50%25"}
	if trouble {
		targets = []string{"/slots/a%2Fb|c", "/slots/a|b?day=5|6", "/slots/50%25|x"}
	}
	clients := d.clients()
	results := load(20, 5*time.Second, func(i int) (*client, request) {
		return clients[i%len(clients)], request{method: "GET", host: authority, target: targets[i%len(targets)], deadline: 500 * time.Millisecond}
	})
	changed := 0
	for _, r := range results {
		for _, run := range rec.runsOf(r.id) {
			if run.target != r.request.target {
				changed++
				rec.event("changed: %s was sent with %s and ran with %s", r.id, r.request.target, run.target)
			}
		}
	}
	if served(results) < len(results)/2 {
		return exitNotRun, fmt.Errorf("too few requests are served: %v", statuses(results))
	}
	return rec.verdict(changed > 0, "UNASKED: %d of %d requests ran with another path", changed, len(results)), nil
}
