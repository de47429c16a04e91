package roster

import (
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A key that the operators revoke has to be refused within a bound, also by nodes that the
// registry doesn't reach. Such a node has to know for how long its routes may have been
// outdated, and that age must never be too small. The age of the state (confirmedAt) is: it
// leaves out the time that a sample of another node was on its way or in the buffer of a
// frozen process, and the time that the registry's answer to a watch took. So the routes have
// an age of their own, which counts from the start of a call:
//
//   - of a call to the registry that brought all changes, or
//   - of a fetch from another node, less the age of that node's routes when it answered.
//
// Nodes fetch from a node whose sample shows a younger age. A node that nobody helps reads
// the registry itself at the usual age.

// minVerifyGain is by how much the routes of another node have to be younger for a fetch. The
// first reader polls about each 1.25 s, so a node fetches once for each poll.
const minVerifyGain = 500 * time.Millisecond

// verifyRetryDelay bounds the delay between failed reads of a node whose routes are too old
// and for which no other node vouches. Otherwise a node that is not a primary reader waits for
// substituteRetryDelay, and would refuse keys for as long although the registry is back.
const verifyRetryDelay = 500 * time.Millisecond

// elapsed returns the time between two readings of the clock. The monotonic clock stands still
// while a machine is suspended, and the wall clock may be set back, so the longer one counts.
// A wall clock that is set forward makes ages too long until the next answer.
func elapsed(now, at time.Time) time.Duration {
	return longer(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

func longer(monotonic, wall time.Duration) time.Duration { return max(monotonic, wall) }

// verifies reports whether the age of the routes matters. The caller holds r.mu.
func (r *Roster) verifies() bool {
	return r.config.VerifyRoutes != nil && r.routing.NeedsKeys() && r.config.VerifyRoutes(&r.routing)
}

// RoutesAge returns the time since the registry is known to have had nothing newer than this
// node: no routes, and no servers. It reports false if that was never known. The placement has to be read afterwards: one
// that was read before may lack routes that the age covers.
func (r *Roster) RoutesAge(now time.Time) (age time.Duration, known bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.routesCurrentAt.IsZero() {
		return 0, false
	}
	return max(0, elapsed(now, r.routesCurrentAt)), true
}

// shareableAge returns the age of the routes for other nodes, 0 if it isn't known or doesn't
// matter. The caller holds r.mu.
func (r *Roster) shareableAge(now time.Time) time.Duration {
	if r.routesCurrentAt.IsZero() || !r.verifies() {
		return 0
	}
	return max(1, elapsed(now, r.routesCurrentAt))
}

// verifyRoutes records that all changes of the routes before a time are known.
func (r *Roster) verifyRoutes(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verifyRoutesLocked(time.Now(), at)
}

// verifyRoutesLocked is verifyRoutes for a caller that holds r.mu. The ages are compared and
// not the times, since the time before a suspension of the machine can be the later one on the
// monotonic clock.
func (r *Roster) verifyRoutesLocked(now, at time.Time) {
	if r.routesCurrentAt.IsZero() || elapsed(now, at) < elapsed(now, r.routesCurrentAt) {
		r.routesCurrentAt = at
	}
}

// vouch records the age of another node's routes in its response to a request of askedAt,
// after the response was applied.
func (r *Roster) vouch(askedAt time.Time, resp *stateResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.Age <= 0 || resp.RoutingFields < routingFields || r.routing.Version < resp.routesVersion() || r.revision < r.revisionOf(resp.Era, resp.Number) {
		return
	}
	r.verifyRoutesLocked(time.Now(), askedAt.Add(-resp.Age))
}

// WantsRoutes reports whether this node's routes are so much older than those of the sender of
// a sample that it has to fetch them.
func (r *Roster) WantsRoutes(now time.Time, s prim.LoadSample) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return s.RoutesAge > 0 && r.verifies() && elapsed(now, r.routesCurrentAt)-minVerifyGain >= s.RoutesAge
}

// readingAge returns the age of what this node knows, which decides when it reads the registry.
// The caller holds r.mu.
func (r *Roster) readingAge(now time.Time) time.Duration {
	age := now.Sub(r.confirmedAt)
	if r.verifies() {
		age = max(age, elapsed(now, r.routesCurrentAt))
	}
	return age
}

// needsVerifying reports whether the age of the routes matters and this node has to read the
// registry because of it.
func (r *Roster) needsVerifying(now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.verifies() && elapsed(now, r.routesCurrentAt) > r.staleAge()
}
