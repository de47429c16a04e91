package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// reader returns the one of some machines whose node follows the store for certain: two nodes
// of each zone do, by a hash of their addresses.
func (d *deployment) reader(machines ...int) int {
	return slices.MinFunc(machines, func(a, b int) int {
		return cmp.Compare(xxh3.HashString(d.address(a)), xxh3.HashString(d.address(b)))
	})
}

// Of the site file: the largest burst and loss of a zone, and the requests a second of the clients of the zones
// b and c, which have eight machines, on the day scale-2. Each slot-check makes 1.4 calls of
// manifest-pull, which are sent by clients here.
const (
	burst       = 1.7
	burstTime   = 3 * time.Second
	slotChecks  = 193.8 * 5 / 8.8 / 8
	holds       = 193.8 * 2 / 8.8 / 8
	deposits    = 193.8 * 1.8 / 8.8 / 8
	manifests   = 1.4 * slotChecks
	lostZone    = "tas-south-a"
	lossTime    = 5500 * time.Millisecond // the longest zone_loss
	timeToLeave = 2400 * time.Millisecond // after the loss of the zone
	timeToBurst = 200 * time.Millisecond  // after that
	longer      = 1000 * time.Millisecond // than drainTime, until the servers end
)

// sheetClients returns the clients of the zones that are not lost, which send a share of the
// load of the sheet.
func (d *deployment) sheetClients(share float64) (all []*clients) {
	for _, m := range d.machines {
		if m.zone == lostZone {
			continue // their clients are lost with the zone
		}
		all = append(all,
			&clients{machine: m, method: "GET", path: "/slots/2f", perSecond: share * slotChecks, deadline: 500 * time.Millisecond},
			&clients{machine: m, method: "GET", path: "/manifest/2f", perSecond: share * manifests, deadline: 200 * time.Millisecond},
			&clients{machine: m, method: "POST", path: "/hold/2f", perSecond: share * holds, deadline: 600 * time.Millisecond, bodyBytes: 4000},
			&clients{machine: m, method: "PUT", path: "/pay/2f", perSecond: share * deposits, deadline: 400 * time.Millisecond, bodyBytes: 300})
	}
	return all
}

// without returns the machines but one.
func without(machines []int, left int) []int {
	return slices.DeleteFunc(slices.Clone(machines), func(i int) bool { return i == left })
}

// removedServerUsedAgain lets a zone lose power while servers of other zones leave, whose
// entries are removed without a report that they drain. When the entries of the lost zone have
// expired too, most entries are gone, and the nodes use those that left again.
func removedServerUsedAgain(d *deployment, trouble bool) (outcome, error) {
	d.publishConfig([]route{
		{"slot-check", "/slots/", "safe", "bookings", 500, 200, 2}, {"charter-hold", "/hold/", "unsafe", "bookings", 600, 250, 1},
		{"deposit-take", "/pay/", "unsafe", "payments", 400, 150, 0}, {"manifest-pull", "/manifest/", "safe", "payments", 200, 100, 1},
	}, "payments", "bookings")
	// Ten machines, so that two leaving servers are a fifth.
	zones := []string{lostZone, lostZone, lostZone, lostZone, "tas-south-b", "tas-south-b", "tas-south-b", "tas-south-c", "tas-south-c", "tas-south-c"}
	configs := make([]machineConfig, len(zones))
	for i, z := range zones {
		configs[i] = machineConfig{z, "bookings", 60 * time.Millisecond}
	}
	// Two servers leave, each beside a node that follows the store: one of payments, and one of
	// the third zone, where the last one of payments remains.
	home, other := []int{4, 5, 6}, []int{7, 8, 9}
	first := d.reader(append(home, other...)...)
	if !slices.Contains(home, first) {
		home, other = other, home
	}
	second := d.reader(other...)
	remaining := without(other, second)
	leavingIndex := []int{first, second}
	for _, i := range []int{0, first, remaining[0]} {
		configs[i].service, configs[i].workTime = "payments", 42*time.Millisecond
	}
	if err := d.addMachines(configs); err != nil {
		return outcome{}, err
	}
	for _, m := range d.machines {
		m.server.noisy = true
		m.server.workTimes = map[string]time.Duration{"/hold/": 78 * time.Millisecond, "/manifest/": 15 * time.Millisecond}
	}
	if err := d.start(); err != nil {
		return outcome{}, err
	}
	l := startLoad(d.sheetClients(1)...)
	time.Sleep(2 * time.Second)
	lostAt := time.Now()
	if trouble {
		d.record.add("zone %s loses power", lostZone)
		for _, m := range d.machines {
			if m.zone == lostZone {
				m.killNode()
				m.server.stop()
			}
		}
	}
	time.Sleep(timeToLeave)
	leavers := map[string]time.Time{}
	var leaving []*machine
	for _, i := range leavingIndex {
		leaving = append(leaving, d.machines[i])
	}
	for _, m := range leaving {
		at := m.server.leave()
		leavers[m.server.id] = at
		d.record.add("store: entry of %s is removed, acknowledged", m.server.id)
	}
	time.Sleep(timeToBurst)
	many := startLoad(d.sheetClients(burst - 1)...)
	time.AfterFunc(burstTime, many.stop)
	// They serve on for drainTime and a little longer.
	time.Sleep(drainTime + longer - timeToBurst)
	for _, m := range leaving {
		m.server.stop()
		d.record.add("server %s ends", m.server.id)
	}
	time.Sleep(time.Until(lostAt.Add(lossTime)))
	if trouble {
		d.record.add("zone %s has power again", lostZone)
		for _, m := range d.machines {
			if m.zone != lostZone {
				continue
			}
			if err := m.server.start(); err != nil {
				return outcome{}, err
			}
			if err := m.startNode(); err != nil {
				return outcome{}, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	l.stop()
	late, lost := 0, 0
	latest := time.Duration(0)
	for _, q := range d.record.all() {
		for _, a := range q.arrivals {
			left, ok := leavers[a.server]
			if !ok || a.at.Sub(left) <= drainTime {
				continue
			}
			late++
			latest = max(latest, a.at.Sub(left))
			// Those that reached the deadline of their client or of their server aren't lost.
			closed := q.status == 0 && !strings.Contains(q.failure, context.DeadlineExceeded.Error())
			if q.runs > 0 && (closed || q.status == http.StatusBadGateway && q.seal == "") {
				lost++
			}
		}
	}
	return outcome{
		broken: late > 0,
		verdict: []string{
			fmt.Sprintf("DRAIN: %d requests reached a server more than %v after the store had acknowledged that it left, the last one %v after it", late, drainTime, latest.Round(time.Millisecond)),
			fmt.Sprintf("%d of these requests were run and lost: 502 without a seal, or the connection closed before the client's deadline", lost),
		},
	}, nil
}
