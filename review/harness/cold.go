package main

import (
	"time"
)

// runCold lets a server become cold, kills the node beside it and starts it again a moment
// later, as a supervisor does.
func runCold(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, "a", "b")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	const (
		timeout = 600 * time.Millisecond
		usedUp  = 52 // requests in a second after which the node is killed
	)
	for _, h := range f.hosts {
		h.server.work = 20 * time.Millisecond
		h.server.crashAt = 100
	}
	if err := f.start(timeout); err != nil {
		return false, err
	}
	stop := f.startClients(250, timeout)
	time.Sleep(4 * time.Second)

	h := f.hosts[0]
	h.server.becomeCold(coldTime)
	cold := time.Now()
	h.server.awaitCold(usedUp, coldTime/2)
	if trouble {
		f.stopNode(h)
		time.Sleep(200 * time.Millisecond)
		if err := f.startNode(h); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	stop()

	// Counted are requests that were sent and arrived inside one second while the server was
	// cold.
	sent := f.sent()
	arrivals := h.server.ran()
	most, mostAt := 0, time.Time{}
	for _, first := range arrivals {
		if !first.cold || sent[first.id] == nil {
			continue
		}
		begin, n := sent[first.id].sentAt, 0
		for _, a := range arrivals {
			if q := sent[a.id]; q != nil && a.cold && !q.sentAt.Before(begin) && a.at.Sub(begin) < time.Second {
				n++
			}
		}
		if n > most {
			most, mostAt = n, begin
		}
	}
	lost := 0
	for _, a := range arrivals {
		if q := sent[a.id]; q != nil && a.at.After(cold) && q.status != 200 {
			lost++
			r.write("lost: %s %s, run at %s s, answered %d %s", q.kind, q.id, r.at(a.at), q.status, q.problem)
		}
	}
	r.say("the cold server got at most %d requests in a second, from %s s on; the bound is %v", most, r.at(mostAt), coldMost)
	r.say("requests that ran after it became cold and got no success: %d", lost)
	return float64(most) > coldMost, nil
}
