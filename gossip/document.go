package gossip

import (
	"cmp"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file holds the state of one published document at this node: the version in
// force, the newer versions offered by each source, and the refused versions. The
// version in force never decreases.

const (
	// maxOffers is the maximum number of offers kept for one document.
	maxOffers = 16
	// maxPeerAttempts and maxPlatformAttempts are the numbers of failed attempts
	// after which the offer of a peer or of the platform is dropped. The next digest
	// from that source is a new offer.
	maxPeerAttempts     = 8
	maxPlatformAttempts = 3
	// maxConcurrentFetches is the maximum number of concurrent attempts for one
	// document. While an attempt is in flight, another one starts after hedgeDelay,
	// from another source if there is one; otherwise an attempt whose messages were
	// lost would block the document until its timeout. The delay increases by
	// hedgeDelayPerMiB for each MiB of the version in force, so that a large body
	// still in transfer is not fetched twice.
	maxConcurrentFetches = 10
	hedgeDelay           = 200 * time.Millisecond
	hedgeDelayPerMiB     = time.Second
	// peerRetryDelay and platformRetryDelay are the delays before a fetch from a
	// source that failed is retried. The platform's delay is longer, since every read
	// of it counts against Config.FleetReads.
	peerRetryDelay     = 500 * time.Millisecond
	platformRetryDelay = time.Second
	// maxRefusals is the maximum number of refused versions remembered for one
	// document. Only versions above the one in force are kept, and nodes offer only
	// versions that they accepted, so only a faulty platform can cause more than a
	// few.
	maxRefusals = 8
	// maxIssuedAhead is the furthest into the future that an Issued may be. The
	// highest Issued is kept, so a replica with a wrong clock could otherwise make
	// the document appear current forever.
	maxIssuedAhead = time.Minute
)

// offer is a newer version that is available from a source. The empty source is the
// platform.
type offer struct {
	prim.Digest
	source    prim.HostName
	attempts  int       // attempts that ended without delivering this version
	notBefore time.Time // earliest time of the next attempt
	inFlight  int
}

func (o offer) maxAttempts() int {
	if o.source == "" {
		return maxPlatformAttempts
	}
	return maxPeerAttempts
}

// refusal is a version that failed validation. It is not fetched again.
type refusal struct {
	document prim.Document // Body is nil if another version was refused later
	source   prim.HostName
}

// documentState is the state of one document. The embedded Document is the version
// in force.
type documentState struct {
	prim.Document // Version is 0 if none was accepted; versions start at 1
	source        prim.HostName
	acceptedAt    time.Time
	offers        []offer
	inFlight      int // attempts in flight, of all offers
	lastFetchAt   time.Time
	refusals      []refusal
	lastRefused   *Refused
	budget        budgets
}

// wants reports whether the version is newer than the one in force and has not been
// refused.
func (s *documentState) wants(d prim.Digest) bool {
	return d.Version > s.Version && !s.isRefused(d)
}

func (s *documentState) isRefused(d prim.Digest) bool {
	return slices.ContainsFunc(s.refusals, func(r refusal) bool {
		return r.document.Version == d.Version && r.document.Hash == d.Hash
	})
}

// addRefusal records a refused version. Only the most recent refusal keeps its body,
// which limits memory use.
func (s *documentState) addRefusal(r refusal) {
	for i := range s.refusals {
		s.refusals[i].document.Body = nil
	}
	if len(s.refusals) >= maxRefusals {
		s.refusals = slices.Delete(s.refusals, 0, 1)
	}
	s.refusals = append(s.refusals, r)
}

// addOffer records that a source offers version d. Each source has at most one
// offer; if the list exceeds maxOffers, the offer of the lowest version is dropped.
func (s *documentState) addOffer(source prim.HostName, d prim.Digest) {
	for i := range s.offers {
		o := &s.offers[i]
		if o.source != source {
			continue
		}
		if d.Version != o.Version || d.Hash != o.Hash {
			o.attempts, o.notBefore = 0, time.Time{}
		}
		o.Digest = d
		return
	}
	s.offers = append(s.offers, offer{Digest: d, source: source})
	if len(s.offers) > maxOffers {
		lowest := 0
		for i, o := range s.offers {
			if o.Version < s.offers[lowest].Version {
				lowest = i
			}
		}
		s.offers = slices.Delete(s.offers, lowest, lowest+1)
	}
}

// prune drops offers that are no longer wanted or have used up their attempts, and
// refusals of versions that are not above the one in force.
func (s *documentState) prune() {
	s.refusals = slices.DeleteFunc(s.refusals, func(r refusal) bool { return r.document.Version <= s.Version })
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return !s.wants(o.Digest) || o.attempts >= o.maxAttempts() })
}

// nextFetch returns the best offer by compareOffers and the earliest time at which it
// may be fetched, or nil if there is nothing to fetch.
func (s *documentState) nextFetch(now time.Time) (*offer, time.Time) {
	if s.inFlight >= maxConcurrentFetches {
		return nil, time.Time{}
	}
	var best *offer
	for i := range s.offers {
		o := &s.offers[i]
		if o.source == "" && o.inFlight > 0 || !s.wants(o.Digest) {
			continue
		}
		if best == nil || compareOffers(o, best, now) < 0 {
			best = o
		}
	}
	if best == nil {
		return nil, time.Time{}
	}
	at := s.budget.readyAt(now)
	if best.notBefore.After(at) {
		at = best.notBefore
	}
	delay := hedgeDelay + hedgeDelayPerMiB*time.Duration(len(s.Body))/prim.MaxDocumentBytes
	if hedge := s.lastFetchAt.Add(delay); s.inFlight > 0 && hedge.After(at) {
		at = hedge
	}
	return best, at
}

// compareOffers orders offers by preference: the shortest remaining wait, then the
// highest version, the fewest attempts in flight and the fewest failed attempts. Peers
// precede the platform, whose reads count against Config.FleetReads.
func compareOffers(a, b *offer, now time.Time) int {
	remaining := func(o *offer) time.Duration { return max(0, o.notBefore.Sub(now)) }
	sourceRank := func(o *offer) int {
		if o.source == "" {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(remaining(a), remaining(b)),
		cmp.Compare(b.Version, a.Version),
		cmp.Compare(a.inFlight, b.inFlight),
		cmp.Compare(a.attempts, b.attempts),
		cmp.Compare(sourceRank(a), sourceRank(b)),
	)
}

// attemptEnded records that an attempt to fetch a version from a source ended. If the
// offer is still wanted afterwards, the attempt did not deliver that version and is
// retried after a delay.
func (s *documentState) attemptEnded(now time.Time, source prim.HostName, version uint64) {
	s.inFlight--
	for i := range s.offers {
		if o := &s.offers[i]; o.source == source {
			o.inFlight = max(0, o.inFlight-1) // the offer may have been replaced during the attempt
			if o.Version != version {
				continue
			}
			o.attempts++
			o.notBefore = now.Add(peerRetryDelay)
			if source == "" {
				o.notBefore = now.Add(platformRetryDelay)
			}
		}
	}
}

// advanceIssued keeps the highest Issued of the version in force and reports whether
// it advanced.
func (s *documentState) advanceIssued(d prim.Digest) bool {
	if s.Version == 0 || d.Version != s.Version || d.Hash != s.Hash || !d.Issued.After(s.Issued) {
		return false
	}
	s.Issued = d.Issued
	return true
}
