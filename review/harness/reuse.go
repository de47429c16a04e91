package main

import (
	"syscall"
	"time"
)

// runReuse lets a server of bookings crash for good. Two seconds later the node beside it gets
// SIGTERM, and the address goes to a server of payments, which registers itself half a second
// after it has begun to listen. When the node has ended it is started with new settings.
func runReuse(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, "a", "a", "b", "b")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	const (
		timeout = 600 * time.Millisecond
		reuse   = 2 * time.Second // reuse_after_s
		listed  = 500 * time.Millisecond
		silence = 4500 * time.Millisecond // three heartbeats, after which an entry is removed
	)
	f.hosts[3].server.service = "payments"
	for _, h := range f.hosts {
		h.server.work = 20 * time.Millisecond
	}
	if err := f.start(timeout); err != nil {
		return false, err
	}
	stop := f.startClients(20, timeout)
	time.Sleep(5 * time.Second)

	var next *server
	if trouble {
		h := f.hosts[0]
		r.say("server %s of bookings crashes", h.server.id)
		h.server.exit()
		crashed := time.Now()
		time.Sleep(time.Until(crashed.Add(reuse)))
		f.signal(h, syscall.SIGTERM)
		old := h.server
		next = &server{record: r, service: "payments", id: "i-9", address: old.address, slots: old.slots, queue: old.queue, work: old.work}
		if err := next.start(); err != nil {
			return false, err
		}
		defer next.exit()
		r.say("server %s of payments has the address", next.id)
		time.Sleep(listed)
		h.server = next
		f.publishServer(h)
		r.say("server %s has registered itself", next.id)
		<-h.exited
		if err := f.writeSettings(h); err != nil {
			return false, err
		}
		if err := f.startNode(h); err != nil {
			return false, err
		}
		time.Sleep(time.Until(crashed.Add(silence)))
		f.store.remove("servers/" + old.id)
	}
	time.Sleep(2 * time.Second)
	stop()

	// Every request of these clients is on a route to bookings.
	foreign, unsafe, succeeded := 0, 0, 0
	if next != nil {
		sent := f.sent()
		for _, a := range next.ran() {
			q := sent[a.id]
			if q == nil {
				continue
			}
			foreign++
			if q.kind == "unsafe" {
				unsafe++
			}
			if q.status == 200 {
				succeeded++
			}
			r.write("foreign: %s %s of a client on %s, run by %s of payments at %s s, answered %d", q.kind, q.id, q.host.name, next.id, r.at(a.at), q.status)
		}
	}
	r.say("requests for bookings that a server of payments ran: %d, of these unsafe: %d; answered with its success: %d", foreign, unsafe, succeeded)
	return foreign > 0, nil
}
