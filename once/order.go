package once

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// The candidates of a key are the hosts of its service that count at its
// creation time, in rendezvous order, reachable or not.

// counts reports whether a host is a candidate for keys created at c. A host
// counts late, and a removed one counts on, by KeyWindow + ClockMargin.
//
// Two nodes that use c therefore agree. Let I be the time of issue of the older
// list. Its node uses c only while its clock t shows t < I + KeyWindow, and only
// if c <= t + KeyMargin, so c < I + KeyWindow + KeyMargin; the skew of t drops
// out. A change that the list lacks has a time after I, and so counts only for
// c > I + KeyWindow + ClockMargin. These exclude each other when KeyMargin <=
// ClockMargin. The rest of ClockMargin is for Issued, Since and Until that are
// taken from different clocks of the platform.
func counts(since time.Time, h *prim.Host, c time.Time) bool {
	if !h.Since.Equal(since) && h.Since.Add(KeyWindow+ClockMargin).After(c) {
		return false
	}
	return h.State != prim.HostLost || h.Until.Add(KeyWindow+ClockMargin).After(c)
}

// fresh reports whether the host list is recent enough to use keys.
func fresh(v *prim.View, now time.Time) bool {
	return now.Sub(v.HostsIssued()) < KeyWindow
}

// order returns the candidates of a key in their order. It returns false if the
// creation time is unknown and the candidates were not the same throughout the
// last KeyWindow.
func order(v *prim.View, k id, created, now time.Time) ([]*prim.Host, bool) {
	var since time.Time
	if e, ok := v.Service(k.Service); ok {
		since = e.Since
	}
	at := created
	if created.IsZero() {
		at = now
	}
	type scored struct {
		host  *prim.Host
		score uint64
	}
	seed := xxh3.HashString(string(k.Service) + "\x00" + string(k.Customer) + "\x00" + k.Key)
	var all []scored
	for _, h := range v.ServiceHosts(k.Service) {
		if created.IsZero() && !steady(since, h, now) {
			return nil, false
		}
		if counts(since, h, at) {
			// A host that was replaced under its name is another candidate.
			name := strconv.AppendInt(append([]byte(h.Name), 0), h.Since.UnixNano(), 36)
			all = append(all, scored{h, xxh3.HashSeed(name, seed)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name), a.host.Since.Compare(b.host.Since))
	})
	hosts := make([]*prim.Host, len(all))
	for i, s := range all {
		hosts[i] = s.host
	}
	return hosts, true
}

// steady reports whether a host counted, or did not, for every creation time
// that a key used now may have.
func steady(since time.Time, h *prim.Host, now time.Time) bool {
	changes := []time.Time{h.Since}
	if h.Since.Equal(since) {
		changes = changes[:0]
	}
	if h.State == prim.HostLost {
		changes = append(changes, h.Until)
	}
	for _, t := range changes {
		if t = t.Add(KeyWindow + ClockMargin); t.After(now.Add(-KeyWindow)) && !t.After(now.Add(KeyMargin)) {
			return false
		}
	}
	return true
}
