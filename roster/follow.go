package roster

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// A reader has one watch on everything that is published. A watch that hears
// nothing proves nothing: its way may be lost, or the registry may have dropped the
// history that it waits for. So every few seconds one of the readers of a data
// centre asks whether there is anything new, and the samples of all nodes tell how
// long ago that was known of their state.

// Times of the reads.
const (
	// watchFor is the wait of a watch.
	watchFor = 28 * time.Second
	// watchGap is the least time between two watches, so that changes that come
	// together are read together; actingGap is the same for a node that reads
	// for lack of readers.
	watchGap  = 400 * time.Millisecond
	actingGap = time.Second
	// checkAfter and checkSpread say after what age of the state a reader asks:
	// at random, so that one does and the others hear of it.
	checkAfter  = 1500 * time.Millisecond
	checkSpread = 1500 * time.Millisecond
	// trusted is how long after an answer of the registry a watch may begin without
	// asking for news before.
	trusted = 3 * time.Second
	// dutyEvery is the time between two looks at whether to read.
	dutyEvery = 100 * time.Millisecond
	// minRetry and maxRetry bound the time between failed reads.
	minRetry = 50 * time.Millisecond
	maxRetry = 1600 * time.Millisecond
	// otherRetry is the same for a node that is not one of the first to read.
	otherRetry = 5 * time.Second
)

// reader is one node's reading of the registry.
type reader struct {
	r           *Roster
	registry    prim.Registry
	republished time.Duration
	started     time.Time
	at          uint64    // the state is complete up to it; 0 before the first read
	answered    time.Time // the last answer of the registry
	lostAt      time.Time
	retry       time.Duration
}

// Follow reads the registry until the context ends, and then sends on the
// channel. Republished is how long after an outage of the registry the entries
// of living servers are back.
func (r *Roster) Follow(ctx context.Context, registry prim.Registry, republished time.Duration) <-chan error {
	ended := make(chan error, 1)
	d := &reader{r: r, registry: registry, republished: republished, started: time.Now()}
	go func() {
		for ctx.Err() == nil {
			d.step(ctx)
		}
		ended <- ctx.Err()
	}()
	return ended
}

// step reads everything, follows the changes, or waits until this node is to read.
func (d *reader) step(ctx context.Context) {
	reads, first := d.r.duty(time.Now(), d.started)
	if d.r.doubts() {
		d.at = 0
	}
	if d.at > 0 && !reads {
		d.r.setReading(false)
		waits.Sleep(ctx, dutyEvery)
		return
	}
	var err error
	if d.at == 0 {
		err = d.readAll(ctx)
	} else {
		err = d.follow(ctx, first)
	}
	d.r.setReading(err == nil && d.at > 0 && reads)
	if err == nil || ctx.Err() != nil {
		return
	}
	d.at = 0
	if errors.Is(err, prim.ErrHistoryGone) || errors.Is(err, errLapsed) {
		return
	}
	d.lost(ctx, err)
}

// errLapsed is the error of changes that show an outage of the registry.
var errLapsed = errors.New("most servers were removed at once")

// lost waits after a failed read, longer each time. A node that is not one of the
// first leaves trying to them.
func (d *reader) lost(ctx context.Context, err error) {
	if d.lostAt.IsZero() {
		d.lostAt = time.Now()
		d.r.log.Warn("registry lost", "Error", err)
		d.r.setLost(d.lostAt)
	}
	d.retry = min(max(2*d.retry, minRetry), maxRetry)
	pause := waits.Jitter(d.retry)
	if _, first := d.r.duty(time.Now(), d.started); !first && d.r.known() && d.retry > minRetry {
		pause = waits.Jitter(otherRetry)
	}
	for end := time.Now().Add(pause); ctx.Err() == nil && time.Now().Before(end); {
		waits.Sleep(ctx, min(dutyEvery, time.Until(end)))
		if d.r.known() && d.r.othersRead(time.Now()) && !d.r.doubts() {
			break
		}
	}
}

// readAll reads everything.
func (d *reader) readAll(ctx context.Context) error {
	if reads, _ := d.r.duty(time.Now(), d.started); !reads && d.r.known() && d.r.othersRead(time.Now()) && !d.r.doubts() {
		d.at = d.r.Revision()
		return nil
	}
	begin := time.Now()
	s, at, err := d.registry.Read(ctx)
	if err != nil {
		return err
	}
	if !d.lostAt.IsZero() {
		d.r.log.Info("registry regained", "After", begin.Sub(d.lostAt))
		d.r.keepMissing(begin.Add(d.republished))
		d.lostAt, d.retry = time.Time{}, 0
	}
	d.at, d.answered = at, begin
	d.r.applyAll(begin, s, at)
	d.r.confirmedAt(begin)
	return nil
}

// answer is the end of a watch.
type answer struct {
	s   prim.Published
	at  uint64
	err error
}

// watch is one watch in progress.
type watch struct {
	began time.Time
	limit time.Duration // the age of the state after which to ask for news
	ended chan answer
	end   func() // ends the watch and waits for that
}

// watch begins a watch.
func (d *reader) watch(ctx context.Context) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{began: time.Now(), limit: askAfter(), ended: make(chan answer, 1)}
	done := make(chan struct{})
	after := d.at
	go func(ctx context.Context) {
		defer close(done)
		s, at, err := d.registry.Changes(ctx, after, watchFor-rand.N(watchFor/4))
		w.ended <- answer{s, at, err}
	}(ctx)
	w.end = func() {
		cancel()
		<-done
	}
	return w
}

func askAfter() time.Duration { return checkAfter + rand.N(checkSpread) }

// follow makes one watch and asks for news while it waits.
func (d *reader) follow(ctx context.Context, first bool) error {
	d.at = max(d.at, d.r.Revision())
	gap := watchGap
	if !first {
		gap = actingGap
		// The state comes from other nodes, which may have been out of touch.
		if time.Since(d.answered) > trusted {
			if err := d.check(ctx); err != nil {
				return err
			}
		}
	}
	d.r.setReading(true)
	w := d.watch(ctx)
	defer w.end()
	tick := time.NewTicker(dutyEvery)
	defer tick.Stop()
	for {
		select {
		case a := <-w.ended:
			if a.err != nil {
				return a.err
			}
			if err := d.changes(a); err != nil {
				return err
			}
			waits.Sleep(ctx, gap-time.Since(w.began))
			return nil
		case now := <-tick.C:
			if over, err := d.tend(ctx, now, w); over || err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tend looks at a watch in progress. It reports whether the watch is to end.
func (d *reader) tend(ctx context.Context, now time.Time, w *watch) (over bool, err error) {
	if reads, _ := d.r.duty(now, d.started); !reads && now.Sub(w.began) > actFor {
		return true, nil
	}
	if until := d.r.kept(); !until.IsZero() && now.After(until) {
		return true, errLapsed // what is still missing is gone
	}
	if d.r.age(now) < w.limit {
		return false, nil
	}
	w.limit = askAfter()
	at := d.at
	err = d.check(ctx)
	return d.at != at, err // the watch has not heard of what is new
}

// check asks whether there is anything new.
func (d *reader) check(ctx context.Context) error {
	begin := time.Now()
	s, at, err := d.registry.Changes(ctx, d.at, time.Millisecond)
	if err != nil {
		return err
	}
	if s.Empty() {
		d.answered = begin
		d.r.confirmedAt(begin)
		return nil
	}
	return d.changes(answer{s, at, nil})
}

// changes takes the end of a watch.
func (d *reader) changes(a answer) error {
	now := time.Now()
	d.at, d.answered = max(d.at, a.at), now
	if d.r.applyChanges(now, a.s) {
		d.r.log.Warn("most servers were removed at once; their entries are kept for a while", "For", d.republished)
		d.r.keepMissing(now.Add(d.republished))
		return errLapsed
	}
	d.r.confirmedAt(now)
	return nil
}

func (r *Roster) setReading(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != on {
		heard, _ := r.heardReaders(time.Now())
		r.log.Info("reading of the registry changed", "Reading", on, "First", r.ranked().first, "Heard", heard, "Revision", r.revision)
	}
	r.reading = on
}

func (r *Roster) confirmedAt(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(at)
}

// age returns how long ago the state was known to be current.
func (r *Roster) age(now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.confirmed)
}

// kept returns until when missing entries are kept, zero if they are not.
func (r *Roster) kept() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.keepUntil
}

// doubts reports whether this node has to see for itself: if its server's entry is
// gone, or what is still missing after an outage.
func (r *Roster) doubts() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.doubted || !r.keepUntil.IsZero() && time.Now().After(r.keepUntil)
}

// known reports whether anything is known.
func (r *Roster) known() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision > 0
}

// othersRead reports whether enough other nodes follow the registry.
func (r *Roster) othersRead(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, _ := r.heardReaders(now)
	return n >= leastReaders
}
