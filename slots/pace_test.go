package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// newLimitedScheduler returns a scheduler for a healthy server that names a limit.
func newLimitedScheduler(rate float64) scheduler {
	s := newTestScheduler()
	s.applyReport(epoch, Report{RateLimit: &rate})
	return s
}

// Guards against more requests than the limit that a server names in any period, and against
// requests that wait although the limit allows them, for random arrivals and limits.
func TestNamedLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := []float64{0, 0.1, 0.7, 1, 5.7, 20, 60}
		rate := rapid.SampledFrom(rates).Draw(t, "rate")
		s := newLimitedScheduler(rate)
		now, largest := epoch, rate
		changed := epoch
		var starts []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				rate = rapid.SampledFrom(rates).Draw(t, "rate")
				s.applyReport(now, Report{RateLimit: &rate})
				largest, changed = max(largest, rate), now
			case 1:
				s.applyReport(now, Report{RateLimit: &rate, Slots: 10}) // the same limit again
			default:
				j := newTestJob("c", time.Duration(rapid.IntRange(0, 100).Draw(t, "wait"))*time.Millisecond, 10*time.Second, now)
				j.request.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				s.offer(now, j)
			}
			s.advance(now)
			for _, j := range s.takeDecided() {
				if j.refusal == nil {
					starts = append(starts, now)
					s.done(now, j, prim.Attempt{Outcome: prim.Done})
				} else if j.refusal.RetryAfter <= 0 {
					t.Fatalf("refused as %v without a time to retry after", j.refusal.Reason)
				}
			}
		}
		for i, begin := range starts {
			for n, end := range starts[i:] {
				allowed := largest*end.Sub(begin).Seconds() + max(1, largest*paceBurst.Seconds())
				if float64(n+1) > allowed+1e-6 {
					t.Fatalf("%d requests in %v at %v a second", n+1, end.Sub(begin), largest)
				}
			}
		}
		if rate > 0 {
			now = now.Add(10 * time.Second)
			s.advance(now) // ends the queue
			for _, j := range s.takeDecided() {
				s.done(now, j, prim.Attempt{Outcome: prim.Done})
			}
			// After the time of a full bucket the next urgent request starts at once.
			now = now.Add(time.Duration((1 + 1/rate) * float64(time.Second)))
			j := newTestJob("c", 0, 10*time.Second, now)
			s.offer(now, j)
			if !admitted(j) {
				t.Fatalf("a request is refused %v after the last change, at %v a second", now.Sub(changed), rate)
			}
		}
	})
}

// Guards against a limit that goes on after the server has stopped naming it, or that a
// later start of the server inherits; and against state that does not tell it.
func TestNamedLimitEnds(t *testing.T) {
	is := is.New(t)
	rate := 0.0
	for _, end := range []Report{
		{Slots: 10},
		{ID: "i-2", Slots: 10, Slowdown: 1, Healthy: true, Check: true},
	} {
		s := newLimitedScheduler(rate)
		sample := s.sample(epoch)
		is.True(sample.Limited && sample.Rate == 0 && sample.RateRoom == 0)
		j := newTestJob("c", time.Second, 2*time.Second, epoch)
		s.offer(epoch, j)
		is.Equal(j.refusal.Reason, prim.ReasonBusy)
		is.Equal(j.refusal.RetryAfter, maxPaceWait)
		s.applyReport(epoch, end)
		is.True(!s.sample(epoch).Limited)
		j = newTestJob("c", 0, 2*time.Second, epoch)
		s.offer(epoch, j)
		is.True(admitted(j))
	}
}

// Guards against requests from a node that has restarted and doesn't know the limit yet.
func TestNamedLimitIsKnownBeforeAdmission(t *testing.T) {
	is := is.New(t)
	s := newScheduler(New(Config{Host: "h", Service: "s"}).scheduler.config)
	j := newTestJob("c", 0, time.Second, epoch)
	s.offer(epoch, j)
	is.Equal(j.refusal.Reason, prim.ReasonUnreachable)
	rate := 3.0
	s.applyReport(epoch, Report{ID: "i-1", Slots: 10, Slowdown: 1, Healthy: true, Check: true, RateLimit: &rate})
	j = newTestJob("c", 0, time.Second, epoch)
	s.offer(epoch, j)
	is.Equal(j.refusal.Reason, prim.ReasonBusy)
}

// Guards against a request that waits in the queue although the limit that the server names
// will not allow it in time.
func TestNamedLimitRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	s := newLimitedScheduler(2)
	j := newTestJob("c", 400*time.Millisecond, 5*time.Second, epoch)
	s.offer(epoch, j)
	is.Equal(j.refusal.Reason, prim.ReasonBusy)
	is.Equal(j.refusal.RetryAfter.Round(time.Millisecond), 500*time.Millisecond)
	j = newTestJob("c", 600*time.Millisecond, 5*time.Second, epoch)
	s.offer(epoch, j)
	is.True(!j.decided)
	next := s.advance(epoch)
	is.True(next > 0 && next <= 500*time.Millisecond)
	s.advance(epoch.Add(510 * time.Millisecond))
	is.True(admitted(j))
}

// Guards against urgent requests that find no room because less urgent ones have used up
// the limit that the server names.
func TestNamedLimitKeepsRoomForUrgentRequests(t *testing.T) {
	is := is.New(t)
	s := newLimitedScheduler(10)
	now := epoch
	started := make(map[int]int)
	for i := range 400 {
		now = now.Add(25 * time.Millisecond)
		j := newTestJob("c", 0, 5*time.Second, now)
		if i%5 != 0 {
			j.request.Priority = 2
		}
		s.offer(now, j)
		if admitted(j) {
			started[j.request.Priority]++
			s.done(now, j, prim.Attempt{Outcome: prim.Done})
		}
	}
	// 80 urgent and 320 other requests in 10 s, of which 100 may start.
	is.True(started[0] >= 70)
	is.True(started[0]+started[2] >= 90)
}
