package once

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// The candidates of a key are the hosts of its service for which isCandidate
// holds at the key's creation time, in rendezvous order, reachable or not.

// isCandidate reports whether a host is a candidate for keys with the given
// creation time. An added host becomes a candidate, and a removed host stops being
// one, only for keys created at least KeyWindow + ClockMargin after the change. The
// founding hosts, whose Since is that of the service, are candidates from the start.
//
// This delay makes any two nodes that use a key created at c agree. Let I be the
// time of issue of the older of their lists. The node with that list uses c only
// while its clock t shows t < I + KeyWindow, and only if c <= t + KeyMargin, hence
// c < I + KeyWindow + KeyMargin, independent of the skew of t. A change that the
// list lacks was made after I and takes effect only for
// c > I + KeyWindow + ClockMargin. Both conditions cannot hold at once as long as
// KeyMargin <= ClockMargin. The remainder of ClockMargin covers Issued, Since and
// Until being read from different clocks of the platform.
func isCandidate(serviceSince time.Time, h *prim.Host, created time.Time) bool {
	if !h.Since.Equal(serviceSince) && h.Since.Add(KeyWindow+ClockMargin).After(created) {
		return false
	}
	return h.State != prim.HostLost || h.Until.Add(KeyWindow+ClockMargin).After(created)
}

// hostListIsRecent reports whether the host list is recent enough to use keys.
func hostListIsRecent(v *prim.View, now time.Time) bool {
	return now.Sub(v.HostsIssued()) < KeyWindow
}

// orderedCandidates returns the candidates of a key in rendezvous order. It returns
// false if the creation time is unknown and the set of candidates is not the same
// for every creation time within the last KeyWindow.
func orderedCandidates(v *prim.View, key keyID, created, now time.Time) ([]*prim.Host, bool) {
	var serviceSince time.Time
	if e, ok := v.Service(key.Service); ok {
		serviceSince = e.Since
	}
	at := created
	if created.IsZero() {
		at = now
	}
	type scored struct {
		host  *prim.Host
		score uint64
	}
	seed := xxh3.HashString(string(key.Service) + "\x00" + string(key.Customer) + "\x00" + key.Key)
	var ranked []scored
	for _, h := range v.ServiceHosts(key.Service) {
		if created.IsZero() && !candidacyUnchanged(serviceSince, h, now) {
			return nil, false
		}
		if isCandidate(serviceSince, h, at) {
			// Since is hashed too: a host that was replaced under the same name
			// is a different candidate.
			name := strconv.AppendInt(append([]byte(h.Name), 0), h.Since.UnixNano(), 36)
			ranked = append(ranked, scored{h, xxh3.HashSeed(name, seed)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name), a.host.Since.Compare(b.host.Since))
	})
	hosts := make([]*prim.Host, len(ranked))
	for i, s := range ranked {
		hosts[i] = s.host
	}
	return hosts, true
}

// candidacyUnchanged reports whether isCandidate gives the same result for a host
// at every creation time that a key used now may have.
func candidacyUnchanged(serviceSince time.Time, h *prim.Host, now time.Time) bool {
	changes := []time.Time{h.Since}
	if h.Since.Equal(serviceSince) {
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
