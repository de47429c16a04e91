package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	prim "github.com/primrosethread/primrosethread"
)

// This file compares the outcomes that callers received with the executions in the
// servers' ledgers.

// violations counts violations of the guarantees of the fleet.
type violations struct {
	duplicates      int // executions beyond the first of a request that must run once
	notRunExecuted  int // requests with outcome NotRun that ran
	doneNotExecuted int // requests with outcome Done that are in no ledger
	mismatched      int // responses that belong to another request
	missingOutcome  int // responses without an outcome
	overAllowance   int // requests granted beyond an allowance
}

// row is one line of the report. The field errors counts the done requests with a
// status of 500 or above, and refused counts the requests over the allowance.
type row struct {
	requests, done, errors, refused, notRun, unknown int
	latency                                          *hdrhistogram.Histogram
}

func (r *row) add(s *result) {
	r.requests++
	switch {
	case s.outcome == prim.Done.String():
		r.done++
		if s.status >= http.StatusInternalServerError {
			r.errors++
		}
		// This cannot fail: the range of the histogram exceeds the client's timeout.
		_ = r.latency.RecordValue(max(1, s.latency.Microseconds()))
	case s.outcome == prim.NotRun.String() && s.status == http.StatusTooManyRequests:
		r.refused++
	case s.outcome == prim.NotRun.String():
		r.notRun++
	default:
		r.unknown++
	}
}

func (r *row) print(w io.Writer, name string) {
	ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n", name, r.requests, r.done, r.errors, r.refused, r.notRun, r.unknown, ms(50), ms(99))
}

// report prints the results by class and the violations. It returns an error if a
// guarantee was violated or no request was done.
func (l *loadGenerator) report(out io.Writer, total ledger) error {
	all := &row{latency: newHistogram()}
	rows := make(map[prim.Class]*row)
	for i := range l.results {
		s := &l.results[i]
		c := s.kind.route.Class
		if rows[c] == nil {
			rows[c] = &row{latency: newHistogram()}
		}
		rows[c].add(s)
		all.add(s)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "Class\tRequests\tDone\tServerErrors\tOverAllowance\tNotRun\tUnknown\tP50Ms\tP99Ms")
	for _, c := range l.fleet.deployment.requestKinds {
		if r := rows[c.route.Class]; r != nil {
			r.print(w, string(c.route.Class))
		}
	}
	all.print(w, "All")
	w.Flush()
	v := l.findViolations(total)
	fmt.Fprintf(out, "load took %s; requests not sent: %d; executions at servers: %d\n", l.elapsed.Round(time.Millisecond), l.skipped, total.Runs)
	fmt.Fprintf(out, "duplicate executions: %d; outcome NotRun but executed: %d; outcome Done but not executed: %d; responses to other requests: %d; over allowance: %d\n",
		v.duplicates, v.notRunExecuted, v.doneNotExecuted, v.mismatched, v.overAllowance)
	switch {
	case all.done == 0:
		return errors.New("no request has the outcome Done")
	case v.missingOutcome > 0:
		return fmt.Errorf("%d responses have no outcome header", v.missingOutcome)
	case v != violations{}:
		return errors.New("a guarantee was violated; run again with -keep and read the logs")
	}
	return nil
}

// identity returns the idempotency key of a request, which its repeated request
// shares, or the request id if it has no key.
func (s *result) identity() string {
	if s.key != "" {
		return s.key
	}
	return s.id
}

// findViolations compares every result with the ledgers. Requests with a key are
// looked up by key, since a repeated request has a different id.
func (l *loadGenerator) findViolations(total ledger) violations {
	var v violations
	mayHaveRun := make(map[string]bool) // by identity: some request has an outcome other than NotRun
	checked := make(map[string]bool)    // by identity: the request was checked
	granted := make(map[*customer]map[prim.Service]int)
	for i := range l.results {
		s := &l.results[i]
		if s.outcome != prim.NotRun.String() {
			mayHaveRun[s.identity()] = true
		}
		if granted[s.customer] == nil {
			granted[s.customer] = make(map[prim.Service]int)
		}
		if s.outcome == prim.Done.String() {
			granted[s.customer][s.kind.route.Service]++
		}
		if s.mismatched {
			v.mismatched++
		}
		if s.outcome == "" && !s.incomplete {
			v.missingOutcome++
		}
	}
	for i := range l.results {
		s := &l.results[i]
		runs := total.Requests[s.id]
		if s.key != "" {
			runs = total.Keys[s.key]
		}
		if s.outcome == prim.Done.String() && runs == 0 {
			v.doneNotExecuted++
		}
		if checked[s.identity()] {
			continue
		}
		checked[s.identity()] = true
		if !s.kind.route.Idempotent && runs > 1 {
			v.duplicates += runs - 1
		}
		if runs > 0 && !mayHaveRun[s.identity()] {
			v.notRunExecuted++
		}
	}
	for c, services := range granted {
		for _, n := range services {
			// Each request with outcome Done was granted. The bound is that of
			// docs/design.md, section 9, for the duration of the load.
			v.overAllowance += max(0, n-int(c.rate*l.elapsed.Seconds()+c.burst))
		}
	}
	return v
}
