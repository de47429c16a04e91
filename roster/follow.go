package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// A reader keeps one watch on all published state. A watch that returns nothing does
// not prove that nothing changed: its connection may be lost, or the registry may have
// dropped the history that it waits for. So about once a second one reader of each data
// centre polls for changes, and every node's samples carry the time since its state
// was last known to be current.

// Timing of watches, polls and retries.
const (
	// watchTimeout is the maximum duration of a watch.
	watchTimeout = 28 * time.Second
	// minWatchInterval is the minimum time between the starts of two watches, so that
	// changes close together are read together. minSubstituteWatchInterval is the same
	// for a substitute reader.
	minWatchInterval           = 400 * time.Millisecond
	minSubstituteWatchInterval = time.Second
	// A reader polls once the state is older than minPollAge plus a random part of
	// pollAgeJitter, and pollStagger more for each of up to maxPollRank other readers that
	// rank before it. So one reader polls and the others learn the result from it.
	minPollAge    = 1200 * time.Millisecond
	pollAgeJitter = 50 * time.Millisecond
	pollStagger   = 220 * time.Millisecond
	maxPollRank   = 2
	// pollTimeout bounds a poll.
	pollTimeout = 500 * time.Millisecond
	// answerFreshFor is how long after an answer of the registry a substitute reader
	// may start a watch without polling first.
	answerFreshFor = 3 * time.Second
	// selectionInterval is the time between two checks whether this node should read.
	selectionInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between failed reads. A delay is up
	// to 1/retryJitterParts shorter.
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = 900 * time.Millisecond
	retryJitterParts = 8
	// maxRequiredReadDelay bounds the delay between full reads that a registry requires
	// although it answers.
	maxRequiredReadDelay = 1600 * time.Millisecond
	// substituteRetryDelay is the retry delay of a node that is not a primary reader.
	substituteRetryDelay = 5 * time.Second
	// uncheckedRetryDelay is the maximum retry delay of any node that uses lapsed entries
	// which it has to check.
	uncheckedRetryDelay = 500 * time.Millisecond
	// settleMargin is the part of Config.SettleTime that is left when the lapse of this
	// host's server ends, and the part of Config.DrainTime when the lapse of a server ends that
	// was removed together with most others: for the loops that notice it, and for requests
	// on their way.
	settleMargin = 300 * time.Millisecond
)

// reader follows the registry for one node.
type reader struct {
	roster     *Roster
	registry   prim.Registry
	started    time.Time
	revision   prim.Revision // the state is complete up to it; 0 if a full read is needed
	answeredAt time.Time     // time of the last successful registry call
	pollTime   time.Duration // how long the last successful poll took
	failedAt   time.Time     // the registry was away then, by a failed call other than a watch or by what others say
	lostAt     time.Time
	retryDelay time.Duration
	// requiredReads is the number of full reads that the registry has required within
	// maxRequiredReadDelay of each other, the last one at requiredAt.
	requiredReads int
	requiredAt    time.Time
}

// Follow reads the registry until the context ends, and then sends the context's error
// on the channel.
func (r *Roster) Follow(ctx context.Context, registry prim.Registry) <-chan error {
	ended := make(chan error, 1)
	rd := &reader{roster: r, registry: registry, started: time.Now()}
	expiring := r.expireUntilDone(ctx)
	go func() {
		for ctx.Err() == nil {
			// A panic, for example by published bytes that a decoder does not expect,
			// counts as a failed read.
			if err := r.config.Guard.Run(func() error { rd.step(ctx); return nil }); err != nil {
				rd.revision, rd.failedAt = 0, time.Now()
				rd.backOff(ctx, err)
			}
		}
		ended <- <-expiring
	}()
	return ended
}

// expireUntilDone drops what was kept for a limited time until the context ends, and then sends
// the context's error on the channel. The reader may wait for seconds for an answer of the
// registry or between calls.
func (r *Roster) expireUntilDone(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if err := r.config.Guard.Run(func() error { r.expire(time.Now()); return nil }); err != nil {
				r.log.Error("lapsed entries not ended", "Error", err)
			}
			waits.Sleep(ctx, selectionInterval)
		}
		ended <- ctx.Err()
	}()
	return ended
}

// step does a full read, runs one watch, or waits while this node need not read.
func (rd *reader) step(ctx context.Context) {
	reads, primary := rd.roster.shouldRead(time.Now(), rd.started)
	if rd.roster.mustRead() {
		rd.revision = 0
	}
	if rd.revision > 0 && !reads && !rd.roster.isStale(time.Now()) {
		rd.roster.setReading(false)
		waits.Sleep(ctx, selectionInterval)
		return
	}
	var err error
	switch {
	case rd.revision == 0:
		err = rd.readAll(ctx)
	case reads:
		err = rd.follow(ctx, primary)
	default:
		rd.revision = max(rd.revision, rd.roster.Revision())
		err = rd.poll(ctx, nil)
	}
	rd.roster.setReading(err == nil && rd.revision > 0 && reads)
	if err == nil || ctx.Err() != nil {
		return
	}
	rd.revision = 0
	if requiresRead(err) && rd.isFirstRequired(time.Now()) {
		return
	}
	rd.backOff(ctx, err)
}

// requiresRead reports whether an error of the registry means that everything has to be
// read again, and not that the registry can't be read.
func requiresRead(err error) bool {
	return errors.Is(err, prim.ErrHistoryGone) || errors.Is(err, errEarlierEra)
}

// isFirstRequired records a full read that the registry requires. It returns false if
// another one was required shortly before, so that the reader has to wait.
func (rd *reader) isFirstRequired(now time.Time) bool {
	if now.Sub(rd.requiredAt) > maxRequiredReadDelay {
		rd.requiredReads, rd.retryDelay = 0, 0
	}
	rd.requiredReads++
	rd.requiredAt = now
	return rd.requiredReads == 1
}

// backOff waits after a failed read, with an exponential delay. A node that is not a
// primary reader waits longer and leaves the retries to the primary readers.
func (rd *reader) backOff(ctx context.Context, err error) {
	if requiresRead(err) {
		rd.roster.log.Warn("registry requires full reads again and again", "Reads", rd.requiredReads, "Error", err)
	} else if rd.lostAt.IsZero() {
		rd.lostAt = time.Now()
		rd.roster.log.Warn("registry lost", "Error", err)
		rd.roster.setRegistryLost(rd.lostAt)
	}
	maxDelay := maxRetryDelay
	if requiresRead(err) {
		maxDelay = maxRequiredReadDelay
	}
	rd.retryDelay = min(max(2*rd.retryDelay, minRetryDelay), maxDelay)
	delay := rd.retryDelay - rand.N(rd.retryDelay/retryJitterParts)
	if _, primary := rd.roster.shouldRead(time.Now(), rd.started); !primary && rd.roster.hasState() && rd.retryDelay > minRetryDelay {
		delay = substituteRetryDelay - rand.N(substituteRetryDelay/retryJitterParts)
	}
	now := time.Now()
	failedAt := now
	if !requiresRead(err) {
		// Calls that fail late must not add to the time until the registry's return is
		// noticed.
		failedAt = rd.failedAt
	}
	end, earliest := failedAt.Add(delay), now.Add(minRetryDelay/2)
	if end.Before(earliest) {
		end = earliest
	}
	for ctx.Err() == nil && now.Before(end) {
		waits.Sleep(ctx, min(selectionInterval, end.Sub(now)))
		now = time.Now()
		if away := now.Add(-maxRetryDelay); rd.roster.hearsNoReader(now) && away.After(rd.failedAt) {
			rd.failedAt = away // a primary reader would have noticed an earlier return
		}
		if rd.roster.hasState() && rd.roster.canRelyOnOthers(now) && !rd.roster.mustRead() {
			break
		}
		if now.Sub(failedAt) >= uncheckedRetryDelay && rd.roster.hasUncheckedLapses() {
			break
		}
		if now.Sub(failedAt) >= verifyRetryDelay && rd.roster.needsVerifying(now) {
			break
		}
	}
}

// readAll reads the full registry contents, unless this node can rely on other
// readers.
func (rd *reader) readAll(ctx context.Context) error {
	if reads, _ := rd.roster.shouldRead(time.Now(), rd.started); !reads && rd.roster.hasState() && rd.roster.canRelyOnOthers(time.Now()) && !rd.roster.mustRead() {
		rd.revision = rd.roster.Revision()
		return nil
	}
	begin := time.Now()
	snapshot, revision, err := rd.registry.Read(ctx)
	if err != nil {
		rd.failedAt = begin
		return err
	}
	if !rd.lostAt.IsZero() {
		// The registry returned between the last failed call and this answer.
		answered := time.Now()
		rd.roster.log.Info("registry regained", "After", answered.Sub(rd.lostAt), "LastFailed", answered.Sub(rd.failedAt))
		rd.roster.setLapsing(answered.Add(rd.roster.config.RepublishDelay), rd.failedAt.Add(rd.roster.config.SettleTime-settleMargin))
		rd.lostAt, rd.retryDelay = time.Time{}, 0
	}
	if err := rd.roster.applySnapshot(begin, snapshot, revision); err != nil {
		return err
	}
	rd.revision, rd.answeredAt = revision, begin
	rd.roster.verifyRoutes(begin) // before confirm, which lets the age be sent
	rd.roster.confirm(begin)
	return nil
}

// watchResult is the result of a watch.
type watchResult struct {
	changes  prim.Published
	revision prim.Revision
	err      error
}

// watch is a watch in progress.
type watch struct {
	startedAt time.Time
	pollAge   time.Duration // age of the state after which the first reader polls
	result    chan watchResult
	stop      func() // cancels the watch and waits for its end
}

// startWatch starts a watch in the background.
func (rd *reader) startWatch(ctx context.Context) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{startedAt: time.Now(), pollAge: randomPollAge(), result: make(chan watchResult, 1)}
	done := make(chan struct{})
	after := rd.revision
	go func(ctx context.Context) {
		defer close(done)
		var result watchResult
		result.err = rd.roster.config.Guard.Run(func() (err error) {
			result.changes, result.revision, err = rd.registry.Changes(ctx, after, watchTimeout-rand.N(watchTimeout/4))
			return err
		})
		w.result <- result
	}(ctx)
	w.stop = func() {
		cancel()
		<-done
	}
	return w
}

func randomPollAge() time.Duration { return minPollAge + rand.N(pollAgeJitter) }

// follow runs one watch and polls for changes while it waits.
func (rd *reader) follow(ctx context.Context, primary bool) error {
	rd.revision = max(rd.revision, rd.roster.Revision())
	interval := minWatchInterval
	if !primary {
		interval = minSubstituteWatchInterval
		// The state comes from other nodes, which may have lost the registry.
		if time.Since(rd.answeredAt) > answerFreshFor {
			if err := rd.poll(ctx, nil); err != nil {
				return err
			}
		}
	}
	rd.roster.setReading(true)
	w := rd.startWatch(ctx)
	defer w.stop()
	for {
		check := time.NewTimer(min(selectionInterval, max(time.Millisecond, rd.roster.pollDelay(time.Now(), w.pollAge))))
		select {
		case result := <-w.result:
			if result.err != nil && !requiresRead(result.err) {
				return rd.pollAfterCut(ctx, minWatchInterval-time.Since(w.startedAt), result.err)
			}
			if result.err != nil {
				return result.err
			}
			now := time.Now()
			rd.noteWatch(w, now)
			if err := rd.applyResult(result, w.startedAt, rd.watchAnswerTime(now, w.startedAt)); err != nil {
				return err
			}
			waits.Sleep(ctx, interval-time.Since(w.startedAt))
			return nil
		case now := <-check.C:
			if done, err := rd.checkWatch(ctx, now, w); done || err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		check.Stop()
	}
}

// pollAfterCut checks whether the registry still answers after it has cut a watch. Unlike
// an outage, a cut does not make entries expire.
func (rd *reader) pollAfterCut(ctx context.Context, wait time.Duration, cause error) error {
	rd.roster.log.Info("registry cut a watch", "Error", cause)
	waits.Sleep(ctx, max(wait, waits.Jitter(minRetryDelay)))
	return rd.poll(ctx, nil)
}

// checkWatch checks a watch in progress. It reports whether the watch is to be ended.
func (rd *reader) checkWatch(ctx context.Context, now time.Time, w *watch) (done bool, err error) {
	if reads, _ := rd.roster.shouldRead(now, rd.started); !reads && now.Sub(w.startedAt) > minSubstituteTime {
		return true, nil
	}
	if rd.roster.pollDelay(now, w.pollAge) > 0 {
		return false, nil
	}
	w.pollAge = randomPollAge()
	before := rd.revision
	err = rd.poll(ctx, w)
	return rd.revision != before, err // the watch missed the changes that the poll returned
}

// poll asks the registry for changes without waiting for new ones. The watch in progress, if
// there is one, ends with the poll if that finds changes.
func (rd *reader) poll(ctx context.Context, w *watch) error {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	changes, revision, err := rd.registry.Changes(ctx, rd.revision, time.Millisecond)
	if err != nil {
		rd.failedAt = begin
		return err
	}
	rd.pollTime = time.Since(begin)
	if changes.Empty() {
		rd.answeredAt = begin
		rd.roster.verifyRoutes(begin)
		rd.roster.confirm(begin)
		return nil
	}
	rd.awaitWatch(w, begin)
	return rd.applyResult(watchResult{changes, revision, nil}, begin, begin)
}

// watchAnswerTime returns the time at which the answer of a watch shows the state to be
// current. How long the answer was on its way is not known. If it counted as new, the end
// of a watch would make a slow registry look fast, and all nodes would poll. So it counts
// as old as the last poll took, but no older than the newest answer to any node was when
// this node learned of it.
func (rd *reader) watchAnswerTime(now, startedAt time.Time) time.Time {
	at := now.Add(-min(rd.pollTime, rd.roster.newestAnswerLag()))
	if at.Before(startedAt) {
		return startedAt
	}
	return at
}

// noteWatch records how long the registry had no changes for a watch that hadn't answered by a
// time and then does. It would have answered older changes before.
func (rd *reader) noteWatch(w *watch, unansweredAt time.Time) {
	if at := unansweredAt.Add(-max(watchAnswerDelay, 2*rd.pollTime)); at.After(w.startedAt) {
		rd.roster.noteUnchanged(at)
	}
}

// awaitWatch waits a short time for the answer of a watch, after a poll that began at a time has
// found changes. If it answers, it isn't silent. The watch is nil if there is none.
func (rd *reader) awaitWatch(w *watch, begin time.Time) {
	if w == nil {
		return
	}
	timeout := time.NewTimer(watchAnswerDelay)
	defer timeout.Stop()
	select {
	case result := <-w.result:
		if result.err == nil {
			rd.noteWatch(w, begin)
		}
	case <-timeout.C:
	}
}

// applyResult applies the changes that a watch or a poll returned. The call began at a time,
// and its answer shows the changes to have been current at another one.
func (rd *reader) applyResult(result watchResult, begin, current time.Time) error {
	if err := rd.roster.applyChanges(time.Now(), result.changes, result.revision); err != nil {
		return err
	}
	rd.revision, rd.answeredAt = max(rd.revision, result.revision), current
	rd.roster.verifyRoutes(begin)
	rd.roster.confirm(current)
	return nil
}

func (r *Roster) setReading(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != on {
		others, _ := r.otherReaders(time.Now())
		r.log.Info("registry reader status changed", "Reading", on, "First", r.selectReaders().primary, "Heard", others, "Revision", r.revision)
	}
	r.reading = on
}

// confirm records that an answer of the registry showed the state to be current at a time.
func (r *Roster) confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.registryCurrentAt) {
		r.registryCurrentAt = at
		select {
		case r.answered <- struct{}{}:
		default:
		}
	}
	r.confirmLocked(time.Now(), at)
}

// pollDelay returns the time until this node has to poll, given the age of the state after
// which the first reader polls.
func (r *Roster) pollDelay(now time.Time, pollAge time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, before := r.otherReaders(now)
	return pollAge + time.Duration(min(before, maxPollRank))*pollStagger - r.readingAge(now)
}

// mustRead reports whether this node has to read the registry itself: only that shows
// whether a server has left, or other nodes have newer state but this one doesn't get it.
func (r *Roster) mustRead() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	return r.hasUnchecked(now) || !r.reading && r.behind.isTooLong(now)
}

// hasUncheckedLapses reports whether this node uses lapsed entries that only a read of the
// registry can end.
func (r *Roster) hasUncheckedLapses() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasUnchecked(time.Now())
}

// hasState reports whether any published state is known.
func (r *Roster) hasState() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision > 0
}

// canRelyOnOthers reports whether this node need not read: at least minReaders other nodes
// follow the registry, and one of them has had an answer from it recently. That a node says
// that it reads does not show that the registry still reaches it.
func (r *Roster) canRelyOnOthers(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, _ := r.otherReaders(now)
	return n >= minReaders && r.readingAge(now) <= r.staleAge()
}

// isStale reports whether the state was last known to be current so long ago that this node
// has to poll the registry itself.
func (r *Roster) isStale(now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.readingAge(now) > r.staleAge()
}

// newestAnswerLag returns how old the newest answer of the registry to any node was when
// this node learned of it.
func (r *Roster) newestAnswerLag() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.answerLag
}

// staleAge returns the age of the state from which this node polls. While the registry is
// slow, answers are old when they arrive, and polls of all nodes would make it slower. The
// caller holds r.mu.
func (r *Roster) staleAge() time.Duration {
	if r.answerLag <= slowAnswerLag {
		return r.staleAfter
	}
	return r.staleAfter + min(r.answerLag, pollTimeout)
}
