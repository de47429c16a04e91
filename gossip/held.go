package gossip

import (
	"cmp"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file keeps one published document at this node: the version in force, the
// newer versions that were offered and by whom, and the versions that were
// refused. The version in force only ever rises.

const (
	// maxOffers bounds the sources remembered for one document.
	maxOffers = 16
	// maxTries is how often a source is asked before its offer is dropped. The
	// source's next digest is a new offer. The platform is asked less often.
	maxTries         = 8
	maxPlatformTries = 3
	// maxFetches bounds the attempts under way for one document, and hedgeAfter
	// is the time after which another one starts, at another source if there is
	// one. An attempt whose messages were lost otherwise blocks the document until
	// its timeout. The time grows with the size of the version in force, so that
	// a large body on its way is not asked for twice.
	maxFetches      = 6
	hedgeAfter      = 300 * time.Millisecond
	hedgeAfterPerMB = time.Second
	// retryAfter is the pause before a source that failed is asked again. It is
	// longer for the platform, which counts every read.
	retryAfter         = 500 * time.Millisecond
	retryPlatformAfter = time.Second
	// maxRefused bounds the refused versions remembered for one document. Only
	// versions above the one in force count, and nodes offer only what they
	// accepted, so more than a few come only from a faulty platform.
	maxRefused = 8
	// issuedMargin is how far in the future an Issued may lie. A replica whose
	// clock is wrong would otherwise make the document look current for ever,
	// since the highest Issued is kept.
	issuedMargin = time.Minute
)

// offer is a newer version that a source can give. The platform is the empty
// host name.
type offer struct {
	prim.Digest
	source  prim.HostName
	tries   int
	after   time.Time // not to be asked before
	pending int       // attempts under way
}

func (o offer) limit() int {
	if o.source == "" {
		return maxPlatformTries
	}
	return maxTries
}

// refusal is a version that failed its check. It is not fetched again.
type refusal struct {
	document prim.Document // without body if a newer version was refused too
	from     prim.HostName
}

type held struct {
	prim.Document // Version 0 when none was received; versions start at 1
	source        prim.HostName
	since         time.Time
	offers        []offer
	pending       int
	lastFetch     time.Time
	refused       []refusal
	lastRefused   *Refused
	budget        budgets
}

// wants reports whether a version should be fetched.
func (h *held) wants(d prim.Digest) bool {
	return d.Version > h.Version && !h.isRefused(d)
}

func (h *held) isRefused(d prim.Digest) bool {
	return slices.ContainsFunc(h.refused, func(r refusal) bool {
		return r.document.Version == d.Version && r.document.Hash == d.Hash
	})
}

// remember keeps a refused version. Only the last one keeps its body, which
// bounds the memory.
func (h *held) remember(r refusal) {
	for i := range h.refused {
		h.refused[i].document.Body = nil
	}
	if len(h.refused) >= maxRefused {
		h.refused = slices.Delete(h.refused, 0, 1)
	}
	h.refused = append(h.refused, r)
}

// offered remembers that a source has a version that this node wants. There is
// one offer per source; when the list is full the lowest version is dropped.
func (h *held) offered(source prim.HostName, d prim.Digest) {
	for i := range h.offers {
		o := &h.offers[i]
		if o.source != source {
			continue
		}
		if d.Version != o.Version || d.Hash != o.Hash {
			o.tries, o.after = 0, time.Time{}
		}
		o.Digest = d
		return
	}
	h.offers = append(h.offers, offer{Digest: d, source: source})
	if len(h.offers) > maxOffers {
		lowest := 0
		for i, o := range h.offers {
			if o.Version < h.offers[lowest].Version {
				lowest = i
			}
		}
		h.offers = slices.Delete(h.offers, lowest, lowest+1)
	}
}

// prune drops offers and refusals that the version in force made useless.
func (h *held) prune() {
	h.refused = slices.DeleteFunc(h.refused, func(r refusal) bool { return r.document.Version <= h.Version })
	h.offers = slices.DeleteFunc(h.offers, func(o offer) bool { return !h.wants(o.Digest) || o.tries >= o.limit() })
}

// next returns the offer to ask and the earliest time for it, or nil. The
// highest version comes first, then the source with the fewest attempts under way,
// then the one that failed least, then a peer before the platform, whose reads are
// counted.
func (h *held) next(now time.Time) (*offer, time.Time) {
	if h.pending >= maxFetches {
		return nil, time.Time{}
	}
	var best *offer
	for i := range h.offers {
		o := &h.offers[i]
		if o.source == "" && o.pending > 0 || !h.wants(o.Digest) {
			continue
		}
		if best == nil || compareOffers(o, best, now) < 0 {
			best = o
		}
	}
	if best == nil {
		return nil, time.Time{}
	}
	at := h.budget.readyAt(now)
	if best.after.After(at) {
		at = best.after
	}
	patience := hedgeAfter + hedgeAfterPerMB*time.Duration(len(h.Body))/prim.MaxDocument
	if hedge := h.lastFetch.Add(patience); h.pending > 0 && hedge.After(at) {
		at = hedge
	}
	return best, at
}

func compareOffers(a, b *offer, now time.Time) int {
	waits := func(o *offer) time.Duration { return max(0, o.after.Sub(now)) }
	rank := func(o *offer) int {
		if o.source == "" {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(waits(a), waits(b)),
		cmp.Compare(b.Version, a.Version),
		cmp.Compare(a.pending, b.pending),
		cmp.Compare(a.tries, b.tries),
		cmp.Compare(rank(a), rank(b)),
	)
}

// ended notes that an attempt to get a version from a source ended. A source
// whose offer still stands gave less than it offered and is asked again after a
// pause.
func (h *held) ended(now time.Time, source prim.HostName, version uint64) {
	h.pending--
	for i := range h.offers {
		if o := &h.offers[i]; o.source == source {
			o.pending = max(0, o.pending-1) // the offer may be newer than the attempt
			if o.Version != version {
				continue
			}
			o.tries++
			o.after = now.Add(retryAfter)
			if source == "" {
				o.after = now.Add(retryPlatformAfter)
			}
		}
	}
}

// refresh keeps the highest Issued for the version in force and reports
// whether it rose.
func (h *held) refresh(d prim.Digest) bool {
	if h.Version == 0 || d.Version != h.Version || d.Hash != h.Hash || !d.Issued.After(h.Issued) {
		return false
	}
	h.Issued = d.Issued
	return true
}
