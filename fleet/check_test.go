package fleet_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// This file checks the guarantees: it compares the answers that callers got with
// the servers' journals.

// Limits from docs/design.md.
const (
	dispatchStopLimit   = 3 * time.Second  // until no new requests reach a server that is leaving or out of service
	documentSpreadLimit = 10 * time.Second // until a changed document is in force at every reachable node
)

// span is a period during which a condition applied to some hosts.
type span struct {
	hosts       []*fleet.Host
	from, until time.Time // until is zero while the period lasts
}

func (s *span) overlaps(from, until time.Time) bool {
	return !until.Before(s.from) && (s.until.IsZero() || !from.After(s.until))
}

// spans groups the spans of a run by condition.
type spans struct {
	nodeKilled       []*span // the nodes were killed, so callers' connections to them broke
	outOfService     []*span // hosts were published as out of service, leaving or lost
	longAnswers      []*span // the servers sent long answers and truncated some
	plannedStops     []*span // no fault but planned stops
	loweredAllowance []*span // the lowered allowance of customer trial was in force
}

// loweredRate is both the rate and the burst of the lowered allowance.
const loweredRate = 4

// runResult is what a run leaves for the checks: the callers' records, the
// servers' journals and the spans of the faults.
type runResult struct {
	records  []*record
	journals map[*fleet.Host][]fleet.JournalEntry
	spans    spans
}

// violations returns the broken guarantees, at most five of each kind and then
// their number.
func (result *runResult) violations() []string {
	var found []string
	for _, check := range []struct {
		name string
		run  func(add func(format string, args ...any))
	}{
		{"ran more than once", result.checkRuns},
		{"answered NotRun but ran", result.checkNotRun},
		{"answer invalid or of another request", result.checkAnswers},
		{"request reached a server after the limit", result.checkLateRequests},
		{"caller's connection broke", result.checkConnections},
		{"allowance exceeded", result.checkAllowances},
	} {
		n := 0
		check.run(func(format string, args ...any) {
			if n++; n <= 5 {
				found = append(found, check.name+": "+fmt.Sprintf(format, args...))
			}
		})
		if n > 5 {
			found = append(found, fmt.Sprintf("%s: %d in total", check.name, n))
		}
	}
	return found
}

// runCounts counts the runs by request id and by idempotency key.
func (result *runResult) runCounts() (requests, keys map[string]int) {
	requests, keys = make(map[string]int), make(map[string]int)
	for _, j := range result.journals {
		for _, l := range j {
			if l.Ran {
				requests[l.Request]++
				if l.Key != "" {
					keys[l.Key]++
				}
			}
		}
	}
	return requests, keys
}

func (result *runResult) checkRuns(add func(string, ...any)) {
	requests, keys := result.runCounts()
	reported := make(map[string]bool)
	for _, r := range result.records {
		if r.kind.idempotent {
			continue
		}
		if n := requests[r.id]; n > 1 {
			add("request %s: %d runs, %s", r.id, n, result.history(r))
		}
		if n := keys[r.key]; r.key != "" && n > 1 && !reported[r.key] {
			reported[r.key] = true
			add("key %s: %d runs, %s", r.key, n, result.history(r))
		}
	}
}

func (result *runResult) checkNotRun(add func(string, ...any)) {
	requests, keys := result.runCounts()
	mayHaveRun := make(map[string]bool)
	for _, r := range result.records {
		if r.outcome != prim.NotRun.String() && !r.unsent {
			mayHaveRun[r.logicalID()] = true
		}
	}
	for _, r := range result.records {
		if r.outcome != prim.NotRun.String() {
			continue
		}
		if n := requests[r.id]; n > 0 {
			add("request %s: %d runs, %s", r.id, n, result.history(r))
		} else if n := keys[r.key]; r.key != "" && n > 0 && !mayHaveRun[r.key] {
			add("key %s: %d runs, %s", r.key, n, result.history(r))
		}
	}
}

func (result *runResult) checkAnswers(add func(string, ...any)) {
	requests, keys := result.runCounts()
	ids := make(map[string][]string) // request ids by logicalID
	for _, r := range result.records {
		ids[r.logicalID()] = append(ids[r.logicalID()], r.id)
	}
	for _, r := range result.records {
		if r.err != nil {
			continue
		}
		switch r.outcome {
		case prim.Done.String(), prim.NotRun.String(), prim.Unknown.String():
		default:
			add("status %d has unexpected outcome %q, %s", r.status, r.outcome, result.history(r))
		}
		switch {
		case slices.Contains([]int{400, 401, 403, 404, 422}, r.status):
			add("a valid request was refused, %s", result.history(r))
		case r.status != 200:
		case r.malformed != nil:
			add("%v, %s", r.malformed, result.history(r))
		case !slices.Contains(ids[r.logicalID()], r.answer.Request) || r.answer.Key != r.key || r.answer.Path != r.kind.path:
			add("answer of %s with key %q to %s, %s", r.answer.Request, r.answer.Key, r.answer.Path, result.history(r))
		case requests[r.answer.Request] == 0 || r.key != "" && keys[r.key] == 0:
			add("answered but never ran, %s", result.history(r))
		}
	}
}

func (result *runResult) checkLateRequests(add func(string, ...any)) {
	for _, s := range result.spans.outOfService {
		limit := s.from.Add(dispatchStopLimit)
		for _, h := range s.hosts {
			for _, l := range result.journals[h] {
				if l.At.After(limit) && (s.until.IsZero() || l.At.Before(s.until)) {
					add("request %s at %s %s after the change", l.Request, h.HostPlacement.Host, l.At.Sub(s.from))
				}
			}
		}
	}
}

func (result *runResult) checkConnections(add func(string, ...any)) {
	for _, r := range result.records {
		switch {
		case r.err != nil && !r.unsent && !result.breakExpected(r):
			add("%v, %s", r.err, result.history(r))
		case r.status == 502 && r.key == "" && withinAny(result.spans.plannedStops, r):
			add("answer lost during a planned stop, %s", result.history(r))
		}
	}
}

// breakExpected reports whether a fault explains the broken connection: the
// ingress node was killed, or the server truncated a long answer.
func (result *runResult) breakExpected(r *record) bool {
	for _, s := range result.spans.nodeKilled {
		if slices.Contains(s.hosts, r.ingress) && s.overlaps(r.sent, r.ended) {
			return true
		}
	}
	for _, s := range result.spans.longAnswers {
		if s.hosts[0].Service == r.kind.service && s.overlaps(r.sent, r.ended) && errors.Is(r.err, io.ErrUnexpectedEOF) {
			return true
		}
	}
	return false
}

// withinAny reports whether a span of the list contains both the start and the
// end of a request.
func withinAny(list []*span, r *record) bool {
	return slices.ContainsFunc(list, func(s *span) bool { return s.overlaps(r.sent, r.sent) && s.overlaps(r.ended, r.ended) })
}

// checkAllowances checks every interval that begins when a request is sent and
// ends when an answer arrives: a request sent and answered within the interval was
// granted within it, so there may be at most rate*T+burst of them.
func (result *runResult) checkAllowances(add func(string, ...any)) {
	type account struct {
		customer *customer
		service  prim.Service
	}
	granted := make(map[account][]*record)
	for _, r := range result.records {
		if r.outcome == prim.Done.String() && r.err == nil {
			a := account{r.customer, r.kind.service}
			granted[a] = append(granted[a], r)
		}
	}
	for a, rs := range granted {
		if a.customer.rate <= 100 {
			if n, bound, d := worstExcess(rs, a.customer.rate, a.customer.burst); n > 0 {
				add("%s at %s: %d grants in %s, at most %.0f allowed", a.customer.name, a.service, n, d, bound)
			}
			for _, s := range result.spans.loweredAllowance {
				rs := slices.DeleteFunc(slices.Clone(rs), func(r *record) bool { return r.sent.Before(s.from) || r.ended.After(s.until) })
				if n, bound, d := worstExcess(rs, loweredRate, loweredRate); n > 0 {
					add("%s at %s under the lowered allowance: %d grants in %s, at most %.0f allowed", a.customer.name, a.service, n, d, bound)
				}
			}
		}
	}
}

// worstExcess returns the number of grants, the bound and the length of the
// interval that exceeds rate*T+burst the most; n is 0 if none does.
func worstExcess(rs []*record, rate, burst float64) (n int, bound float64, d time.Duration) {
	rs = slices.Clone(rs)
	slices.SortFunc(rs, func(a, b *record) int { return a.ended.Compare(b.ended) })
	worst := 0.0
	for _, first := range rs {
		count := 0
		for _, r := range rs {
			if r.sent.Before(first.sent) {
				continue
			}
			count++
			t := r.ended.Sub(first.sent)
			if b := rate*t.Seconds() + burst; float64(count)-b > worst {
				worst, n, bound, d = float64(count)-b, count, b, t
			}
		}
	}
	return n, bound, d
}

// history describes a request and its repeats: what the callers sent and saw, and
// every line about it in the servers' journals.
func (result *runResult) history(r *record) string {
	s := fmt.Sprintf("%s %s%s of %s", r.kind.method, r.kind.service, r.kind.path, r.customer.name)
	for _, other := range result.records {
		if other.logicalID() != r.logicalID() {
			continue
		}
		s += fmt.Sprintf("\n\t%s sent %s to %s, ended after %s: %d %q %s %v", other.id, formatTime(other.sent), other.ingress.HostPlacement.Host, other.ended.Sub(other.sent), other.status, other.outcome, other.detail, other.err)
	}
	for h, j := range result.journals {
		for _, l := range j {
			if l.Request == r.id || r.key != "" && l.Key == r.key {
				s += fmt.Sprintf("\n\tat %s %s ran=%t request %s", h.HostPlacement.Host, formatTime(l.At), l.Ran, l.Request)
			}
		}
	}
	return s
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
