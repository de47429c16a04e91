package main

import (
	"time"
)

// runReaders partitions two machines from the store, silently: those of a zone whose nodes follow
// it. Soon after, a version of the configuration gives the routes to another service. The store
// and the other machines are well.
func runReaders(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, "a", "a", "a", "a", "b", "b", "b", "b")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	const (
		timeout  = 600 * time.Millisecond
		length   = 5500 * time.Millisecond // of the cut
		converge = 2 * time.Second
	)
	for i, h := range f.hosts {
		h.server.work = 20 * time.Millisecond
		if i%2 == 1 {
			h.server.service = "payments"
		}
	}
	if err := f.start(timeout); err != nil {
		return false, err
	}
	stop := f.startClients(20, timeout)
	time.Sleep(6 * time.Second)
	cut := make(map[*host]bool)
	for _, h := range f.hosts {
		if h.zone == "a" && f.reading(h) {
			cut[h] = true
		}
	}
	f.awaitPoll(cut)
	for h := range cut {
		if trouble {
			r.say("%s is cut off from the store", h.name)
			h.storeProxy.setSilent(true)
		}
	}
	time.Sleep(100 * time.Millisecond)
	acknowledged := f.publishConfig(timeout, "payments")
	r.say("the store acknowledges at %s s that the routes go to payments", r.at(acknowledged))
	time.Sleep(length - 100*time.Millisecond)
	for h := range cut {
		h.storeProxy.setSilent(false)
	}
	time.Sleep(3 * time.Second)
	stop()

	sent := f.sent()
	late, unsafe := 0, 0
	var last time.Time
	for _, h := range f.hosts {
		for _, a := range h.server.ran() {
			q := sent[a.id]
			if q == nil || h.server.service == "payments" || cut[q.host] || !q.sentAt.After(acknowledged.Add(converge)) {
				continue
			}
			late++
			if q.kind == "unsafe" {
				unsafe++
			}
			if a.at.After(last) {
				last = a.at
			}
			r.write("old version: %s %s of a client on %s, sent at %s s, run by bookings", q.kind, q.id, q.host.name, r.at(q.sentAt))
		}
	}
	r.say("requests sent later than %v after the acknowledgement on machines in touch and run by the old service: %d, of these unsafe: %d", converge, late, unsafe)
	if late > 0 {
		r.say("the last one %.1f s after the acknowledgement", last.Sub(acknowledged).Seconds())
	}
	return late > 0, nil
}

// awaitPoll waits until the node of one of the hosts has asked the store for changes, which it
// does every 1.5 to 3 s.
func (f *fleet) awaitPoll(hosts map[*host]bool) {
	polls := func() (n int) {
		for h := range hosts {
			n += f.store.pollsOf(h.storeProxy.address())
		}
		return n
	}
	before := polls()
	for end := time.Now().Add(5 * time.Second); polls() == before && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}
