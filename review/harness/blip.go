package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// runBlip lets the store be down for a second. Eight seconds later the entry of a server is
// removed that leaves without reporting it. The server serves for drain_ms and a little
// longer, and then exits.
func runBlip(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, "a", "a", "a", "a")
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	const (
		timeout = 2 * time.Second
		longer  = 100 * time.Millisecond // that the server serves after drain_ms
	)
	for _, h := range f.hosts {
		h.server.work = 150 * time.Millisecond
	}
	if err := f.start(timeout); err != nil {
		return false, err
	}
	stop := f.startClients(45, timeout)
	time.Sleep(4 * time.Second)
	if trouble {
		r.say("the store is down")
		f.store.setDown(true)
	}
	time.Sleep(time.Second)
	if trouble {
		r.say("the store is back")
		f.store.setDown(false)
	}
	time.Sleep(8 * time.Second)

	leaving := f.notReading()
	if leaving == nil {
		return false, fmt.Errorf("every node reads the store")
	}
	acknowledged := f.store.remove("servers/" + leaving.server.id)
	r.say("the store acknowledges at %s s that the entry of server %s is removed", r.at(acknowledged), leaving.server.id)
	time.Sleep(time.Until(acknowledged.Add(drain + longer)))
	leaving.server.exit()
	exit := time.Now()
	time.Sleep(500 * time.Millisecond)
	f.signal(leaving, syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	stop()

	sent := f.sent()
	late, lost, lostUnsafe := 0, 0, 0
	for _, a := range leaving.server.ran() {
		q := sent[a.id]
		if q == nil || a.at.Before(acknowledged.Add(drain)) {
			continue
		}
		late++
		r.write("late: %s %s, sent at %s s, reached %s at %s s", q.kind, q.id, r.at(q.sentAt), leaving.server.id, r.at(a.at))
	}
	for _, a := range leaving.server.ran() {
		if q := sent[a.id]; q != nil && q.status != 200 && !q.answeredAt.Before(exit) {
			lost++
			if q.kind == "unsafe" {
				lostUnsafe++
			}
			r.write("lost: %s %s, reached %s at %s s, answered %d %s", q.kind, q.id, leaving.server.id, r.at(a.at), q.status, q.problem)
		}
	}
	r.say("requests that reached %s later than %v after the acknowledgement: %d", leaving.server.id, drain, late)
	r.say("requests at work when the server exited that got no success: %d, of these unsafe: %d", lost, lostUnsafe)
	return late > 0, nil
}

// notReading returns a host whose node doesn't follow the store, as its log says, or nil.
func (f *fleet) notReading() *host {
	for _, h := range f.hosts {
		log, err := os.ReadFile(filepath.Join(f.folder, h.name+".log"))
		if err != nil {
			return nil
		}
		on, off := bytes.LastIndex(log, []byte(`"Reading":true`)), bytes.LastIndex(log, []byte(`"Reading":false`))
		if on <= off {
			return h
		}
	}
	return nil
}
