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

// This file compares what callers were told with what the servers did.

// verdict counts what must not happen.
type verdict struct {
	doubled   int // runs beyond the first of a request that must run once
	ranNotRun int // requests answered NotRun that ran
	lost      int // requests answered Done that no ledger has
	foreign   int // answers of another request
	unnamed   int // answers without an outcome
	over      int // calls granted beyond an allowance
}

// row is one line of the report. Errors are those among done whose status is 500
// or above; refused are calls over the allowance.
type row struct {
	requests, done, errors, refused, notRun, unknown int
	latency                                          *hdrhistogram.Histogram
}

func (r *row) add(s *sent) {
	r.requests++
	switch {
	case s.outcome == prim.Done.String():
		r.done++
		if s.status >= http.StatusInternalServerError {
			r.errors++
		}
		// The histogram's range is longer than the client's timeout.
		_ = r.latency.RecordValue(max(1, s.took.Microseconds()))
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

// report prints the requests by class and the verdict. The error says that a
// promise was broken.
func (l *load) report(out io.Writer, sum ledger) error {
	all := &row{latency: newHistogram()}
	rows := make(map[prim.Class]*row)
	for i := range l.ends {
		s := &l.ends[i]
		c := s.call.route.Class
		if rows[c] == nil {
			rows[c] = &row{latency: newHistogram()}
		}
		rows[c].add(s)
		all.add(s)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "Class\tRequests\tDone\tServerErrors\tOverAllowance\tNotRun\tUnknown\tP50Ms\tP99Ms")
	for _, c := range l.d.deployment.calls {
		if r := rows[c.route.Class]; r != nil {
			r.print(w, string(c.route.Class))
		}
	}
	all.print(w, "All")
	w.Flush()
	v := l.judge(sum)
	fmt.Fprintf(out, "sent in %s, %d not sent, %d runs at servers\n", l.took.Round(time.Millisecond), l.skipped, sum.Runs)
	fmt.Fprintf(out, "doubled runs: %d; answered NotRun but ran: %d; answered Done but never ran: %d; answers of other requests: %d; over allowance: %d\n",
		v.doubled, v.ranNotRun, v.lost, v.foreign, v.over)
	switch {
	case all.done == 0:
		return errors.New("no request was answered by a server")
	case v.unnamed > 0:
		return fmt.Errorf("%d answers have no outcome header", v.unnamed)
	case v != verdict{}:
		return errors.New("a promise was broken; run again with -keep and read the logs")
	}
	return nil
}

// name returns what a request and its repetitions have in common.
func (s *sent) name() string {
	if s.key != "" {
		return s.key
	}
	return s.id
}

// judge checks every request against the ledgers. A request counts by its key
// if it has one, since a repetition has another id.
func (l *load) judge(sum ledger) verdict {
	var v verdict
	mayHaveRun := make(map[string]bool) // keys with a request that was not answered NotRun
	counted := make(map[string]bool)    // requests that were judged, by key or id
	granted := make(map[*customer]map[prim.Service]int)
	for i := range l.ends {
		s := &l.ends[i]
		if s.outcome != prim.NotRun.String() {
			mayHaveRun[s.name()] = true
		}
		if granted[s.customer] == nil {
			granted[s.customer] = make(map[prim.Service]int)
		}
		if s.outcome == prim.Done.String() {
			granted[s.customer][s.call.route.Service]++
		}
		if s.foreign {
			v.foreign++
		}
		if s.outcome == "" && !s.cut {
			v.unnamed++
		}
	}
	for i := range l.ends {
		s := &l.ends[i]
		runs := sum.Requests[s.id]
		if s.key != "" {
			runs = sum.Keys[s.key]
		}
		if s.outcome == prim.Done.String() && runs == 0 {
			v.lost++
		}
		if counted[s.name()] {
			continue
		}
		counted[s.name()] = true
		if !s.call.route.Idempotent && runs > 1 {
			v.doubled += runs - 1
		}
		if runs > 0 && !mayHaveRun[s.name()] {
			v.ranNotRun++
		}
	}
	for c, services := range granted {
		for _, n := range services {
			// Calls that were answered by a server were granted. The bound is that of
			// section 9 of the design page over the time of the load.
			v.over += max(0, n-int(c.rate*l.took.Seconds()+c.burst))
		}
	}
	return v
}
