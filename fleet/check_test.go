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

// This file compares what callers were told with what the servers ran.

// Limits that the design page names.
const (
	stopsWithin  = 3 * time.Second  // new requests to servers that leave or are out
	spreadWithin = 10 * time.Second // changed documents
)

// span is a time during which something held for some hosts.
type span struct {
	hosts       []*fleet.Host
	from, until time.Time // until is zero while it lasts
}

func (s *span) overlaps(from, until time.Time) bool {
	return !until.Before(s.from) && (s.until.IsZero() || !from.After(s.until))
}

// spans is a set of spans by what held.
type spans struct {
	killed []*span // callers' connections to the nodes broke
	out    []*span // published as out, leaving or removed
	long   []*span // the servers sent long answers and cut some
	calm   []*span // planned stops only
	low    []*span // the lowered allowance of the customer trial was in force
}

// lowRate is the lowered allowance, rate and burst.
const lowRate = 4

// evidence is what a run left.
type evidence struct {
	records  []*record
	journals map[*fleet.Host][]fleet.Entry
	spans    spans
}

// judge returns every broken guarantee, at most some of each kind.
func (e *evidence) judge() []string {
	var found []string
	for _, check := range []struct {
		name string
		of   func(add func(format string, args ...any))
	}{
		{"ran more than once", e.runs},
		{"answered NotRun but ran", e.notRun},
		{"answer of another request or not whole", e.answers},
		{"new request after the limit", e.late},
		{"connection of a caller broke", e.broken},
		{"over the allowance", e.grants},
	} {
		n := 0
		check.of(func(format string, args ...any) {
			if n++; n <= 5 {
				found = append(found, check.name+": "+fmt.Sprintf(format, args...))
			}
		})
		if n > 5 {
			found = append(found, fmt.Sprintf("%s: %d in all", check.name, n))
		}
	}
	return found
}

// ran counts the runs by request id and by key.
func (e *evidence) ran() (requests, keys map[string]int) {
	requests, keys = make(map[string]int), make(map[string]int)
	for _, j := range e.journals {
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

func (e *evidence) runs(add func(string, ...any)) {
	requests, keys := e.ran()
	told := make(map[string]bool)
	for _, r := range e.records {
		if r.call.idempotent {
			continue
		}
		if n := requests[r.id]; n > 1 {
			add("request %s: %d runs, %s", r.id, n, e.story(r))
		}
		if n := keys[r.key]; r.key != "" && n > 1 && !told[r.key] {
			told[r.key] = true
			add("key %s: %d runs, %s", r.key, n, e.story(r))
		}
	}
}

func (e *evidence) notRun(add func(string, ...any)) {
	requests, keys := e.ran()
	mayHaveRun := make(map[string]bool)
	for _, r := range e.records {
		if r.outcome != prim.NotRun.String() && !r.unsent {
			mayHaveRun[r.name()] = true
		}
	}
	for _, r := range e.records {
		if r.outcome != prim.NotRun.String() {
			continue
		}
		if n := requests[r.id]; n > 0 {
			add("request %s: %d runs, %s", r.id, n, e.story(r))
		} else if n := keys[r.key]; r.key != "" && n > 0 && !mayHaveRun[r.key] {
			add("key %s: %d runs, %s", r.key, n, e.story(r))
		}
	}
}

func (e *evidence) answers(add func(string, ...any)) {
	requests, keys := e.ran()
	ids := make(map[string][]string) // of each key
	for _, r := range e.records {
		ids[r.name()] = append(ids[r.name()], r.id)
	}
	for _, r := range e.records {
		if r.err != nil {
			continue
		}
		switch r.outcome {
		case prim.Done.String(), prim.NotRun.String(), prim.Unknown.String():
		default:
			add("status %d has the outcome %q, %s", r.status, r.outcome, e.story(r))
		}
		switch {
		case slices.Contains([]int{400, 401, 403, 404, 422}, r.status):
			add("a valid request was refused, %s", e.story(r))
		case r.status != 200:
		case r.malform != nil:
			add("%v, %s", r.malform, e.story(r))
		case !slices.Contains(ids[r.name()], r.own.Request) || r.own.Key != r.key || r.own.Path != r.call.path:
			add("answer of %s with key %q to %s, %s", r.own.Request, r.own.Key, r.own.Path, e.story(r))
		case requests[r.own.Request] == 0 || r.key != "" && keys[r.key] == 0:
			add("answered but never ran, %s", e.story(r))
		}
	}
}

func (e *evidence) late(add func(string, ...any)) {
	for _, s := range e.spans.out {
		limit := s.from.Add(stopsWithin)
		for _, h := range s.hosts {
			for _, l := range e.journals[h] {
				if l.At.After(limit) && (s.until.IsZero() || l.At.Before(s.until)) {
					add("request %s at %s %s after the change", l.Request, h.Place.Host, l.At.Sub(s.from))
				}
			}
		}
	}
}

func (e *evidence) broken(add func(string, ...any)) {
	for _, r := range e.records {
		switch {
		case r.err != nil && !r.unsent && !e.excused(r):
			add("%v, %s", r.err, e.story(r))
		case r.status == 502 && r.key == "" && in(e.spans.calm, r):
			add("answer lost during a planned stop, %s", e.story(r))
		}
	}
}

// excused reports whether the connection had to break: the ingress node was
// killed, or the server cut a long answer.
func (e *evidence) excused(r *record) bool {
	for _, s := range e.spans.killed {
		if slices.Contains(s.hosts, r.ingress) && s.overlaps(r.sent, r.ended) {
			return true
		}
	}
	for _, s := range e.spans.long {
		if s.hosts[0].Service == r.call.service && s.overlaps(r.sent, r.ended) && errors.Is(r.err, io.ErrUnexpectedEOF) {
			return true
		}
	}
	return false
}

func in(list []*span, r *record) bool {
	return slices.ContainsFunc(list, func(s *span) bool { return s.overlaps(r.sent, r.sent) && s.overlaps(r.ended, r.ended) })
}

// grants checks every interval that begins with a request and ends with an
// answer. A request that was sent and answered in it was granted in it.
func (e *evidence) grants(add func(string, ...any)) {
	type account struct {
		customer *customer
		service  prim.Service
	}
	granted := make(map[account][]*record)
	for _, r := range e.records {
		if r.outcome == prim.Done.String() && r.err == nil {
			a := account{r.customer, r.call.service}
			granted[a] = append(granted[a], r)
		}
	}
	for a, rs := range granted {
		if a.customer.rate <= 100 {
			if n, bound, d := excess(rs, a.customer.rate, a.customer.burst); n > 0 {
				add("%s at %s: %d grants in %s, at most %.0f allowed", a.customer.name, a.service, n, d, bound)
			}
			for _, s := range e.spans.low {
				rs := slices.DeleteFunc(slices.Clone(rs), func(r *record) bool { return r.sent.Before(s.from) || r.ended.After(s.until) })
				if n, bound, d := excess(rs, lowRate, lowRate); n > 0 {
					add("%s at %s under the lowered allowance: %d grants in %s, at most %.0f allowed", a.customer.name, a.service, n, d, bound)
				}
			}
		}
	}
}

// excess returns the interval with the most grants beyond rate*T+burst.
func excess(rs []*record, rate, burst float64) (n int, bound float64, d time.Duration) {
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

// story tells all that is known about a request.
func (e *evidence) story(r *record) string {
	s := fmt.Sprintf("%s %s%s of %s", r.call.method, r.call.service, r.call.path, r.customer.name)
	for _, o := range e.records {
		if o.name() != r.name() {
			continue
		}
		s += fmt.Sprintf("\n\t%s sent %s to %s, ended after %s: %d %q %s %v", o.id, clock(o.sent), o.ingress.Place.Host, o.ended.Sub(o.sent), o.status, o.outcome, o.detail, o.err)
	}
	for h, j := range e.journals {
		for _, l := range j {
			if l.Request == r.id || r.key != "" && l.Key == r.key {
				s += fmt.Sprintf("\n\tat %s %s ran=%t request %s", h.Place.Host, clock(l.At), l.Ran, l.Request)
			}
		}
	}
	return s
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }
