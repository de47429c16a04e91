package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// runCut partitions one machine from the store. Meanwhile the entry of its server is removed,
// which leaves without reporting it and goes on serving for some seconds. The store is well. Then
// the node beside the other server of the service is restarted as planned work.
func runCut(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, "a", "a", "a", "a")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	const (
		timeout = 600 * time.Millisecond
		length  = 4500 * time.Millisecond // of the cut
		before  = 4 * time.Second         // from its begin to the removal
		restart = 2500 * time.Millisecond // from the removal to the restart of another node
	)
	// The nodes of the first two hosts by hash follow the store.
	hosts := slices.SortedFunc(slices.Values(f.hosts), func(a, b *host) int {
		return cmp.Compare(xxh3.HashString(a.ip), xxh3.HashString(b.ip))
	})
	for _, h := range f.hosts {
		h.server.work = 120 * time.Millisecond
	}
	hosts[0].server.service, hosts[1].server.service = "payments", "payments"
	leaving, other := hosts[2], hosts[3]
	if err := f.start(timeout); err != nil {
		return false, err
	}
	stop := f.startClients(20, timeout)
	time.Sleep(5 * time.Second)

	if f.reading(leaving) {
		return false, fmt.Errorf("%s follows the store", leaving.name)
	}
	begin := time.Now()
	if trouble {
		r.say("%s is cut off from the store", leaving.name)
		leaving.storeProxy.setCut(true)
	}
	time.Sleep(before)
	leaving.server.leave()
	acknowledged := f.store.remove("servers/" + leaving.server.id)
	r.say("the store acknowledges at %s s that the entry of server %s is removed", r.at(acknowledged), leaving.server.id)
	time.Sleep(time.Until(begin.Add(length)))
	healed := time.Now()
	if trouble {
		r.say("%s reaches the store again at %s s", leaving.name, r.at(healed))
		leaving.storeProxy.setCut(false)
	}
	time.Sleep(time.Until(acknowledged.Add(restart)))
	exit, err := f.exitDuringRestart(leaving, other)
	if err != nil {
		return false, err
	}
	stop()

	// Counted are requests that were sent later than contact_ms after the cut, but for those of
	// clients on the host whose node is restarted.
	sent := f.sent()
	late, excused, lost := 0, 0, 0
	var last time.Time
	for _, a := range leaving.server.ran() {
		q := sent[a.id]
		if q == nil || a.at.Before(acknowledged.Add(drain)) {
			continue
		}
		if !q.sentAt.After(healed.Add(contact)) || q.host == other {
			excused++
			continue
		}
		late++
		last = a.at
		if q.status != 200 && !q.answeredAt.Before(exit) {
			lost++
			r.write("lost: %s %s, answered %d %s", q.kind, q.id, q.status, q.problem)
		}
		r.write("late: %s %s of a client on %s, sent at %s s, reached %s at %s s", q.kind, q.id, q.host.name, r.at(q.sentAt), leaving.server.id, r.at(a.at))
	}
	r.say("requests that reached %s later than %v after the acknowledgement: %d counted, %d excused", leaving.server.id, drain, late, excused)
	r.say("of these, %d were at work when the server exited, and got no success", lost)
	if late > 0 {
		r.say("the last one %.1f s after the acknowledgement, %.1f s after the end of the cut", last.Sub(acknowledged).Seconds(), last.Sub(healed).Seconds())
	}
	return late > 0, nil
}
