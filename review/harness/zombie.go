package main

import "time"

// runZombie removes the entry of a server that leaves without reporting it, and lets the
// store cut the waiting watches once, a second later. The server goes on serving for some
// seconds. Then the node beside the other server of the service is restarted as planned work.
func runZombie(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, "a", "a", "b", "b")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	const timeout = 600 * time.Millisecond
	for i, h := range f.hosts {
		h.server.work = 120 * time.Millisecond
		if i%2 == 1 {
			h.server.service = "payments"
		}
	}
	if err := f.start(timeout); err != nil {
		return false, err
	}
	stop := f.startClients(20, timeout)
	time.Sleep(5 * time.Second)

	leaving, other := f.hosts[0], f.hosts[2]
	leaving.server.leave()
	acknowledged := f.store.remove("servers/" + leaving.server.id)
	r.say("the store acknowledges at %s s that the entry of server %s is removed", r.at(acknowledged), leaving.server.id)
	time.Sleep(time.Second)
	cut := time.Now()
	if trouble {
		r.say("the store cuts the watches that are waiting")
		f.store.cutWatches()
	}
	inTouch := cut.Add(contact)
	time.Sleep(time.Until(acknowledged.Add(5 * time.Second)))
	exit, err := f.exitDuringRestart(leaving, other)
	if err != nil {
		return false, err
	}
	stop()

	// Counted are requests that reach the server later than drain_ms after the
	// acknowledgement, and sent later than contact_ms after the cut of the watches, but for those
	// of clients on the host whose node is restarted.
	sent := f.sent()
	late, before, lost := 0, 0, 0
	for _, a := range leaving.server.ran() {
		if a.at.Before(acknowledged.Add(drain)) {
			continue
		}
		q := sent[a.id]
		if q == nil || !q.sentAt.After(inTouch) || q.host == other {
			before++
			continue
		}
		late++
		r.write("late: %s %s of a client on %s, sent at %s s, reached %s %.3f s after the acknowledgement", q.kind, q.id, q.host.name, r.at(q.sentAt), leaving.server.id, a.at.Sub(acknowledged).Seconds())
		if q.status != 200 && !q.answeredAt.Before(exit) {
			lost++
			r.write("lost: %s %s, sent at %s s, run by %s, answered %d %s", q.kind, q.id, r.at(q.sentAt), leaving.server.id, q.status, q.problem)
		}
	}
	r.say("requests that reached %s later than %v after the acknowledgement: %d counted, %d excused", leaving.server.id, drain, late, before)
	r.say("of these, %d were at work when the server exited, and got no success", lost)
	return late > 0, nil
}
