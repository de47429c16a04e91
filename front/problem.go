package front

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// Problem is the body of an answer that does not come from a server (RFC 9457,
// with Pascal case names).
type Problem struct {
	Type    string `json:",omitempty"`
	Title   string
	Status  int
	Detail  string `json:",omitempty"`
	Outcome string
	Remedy  string

	retryAfter time.Duration
}

// Error returns the title and the remedy.
func (p *Problem) Error() string { return p.Title + "; " + p.Remedy }

// refused returns the problem of a request that was not run because of the
// request itself.
func refused(status int, title, remedy string) error {
	return &Problem{Status: status, Title: title, Remedy: remedy, Outcome: prim.NotRun.String()}
}

// problemOf describes the error of a call.
func problemOf(err error) *Problem {
	var (
		problem  *Problem
		over     *prim.OverAllowance
		conflict *prim.KeyConflict
		refusal  *prim.Refusal
	)
	p := &Problem{Outcome: prim.OutcomeOf(err).String(), Detail: err.Error()}
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &over):
		p.Status, p.Title = http.StatusTooManyRequests, "over the allowance"
		p.Remedy = "retry after the time in Retry-After"
		p.retryAfter = over.RetryAfter
	case errors.As(err, &conflict):
		p.Status, p.Title = http.StatusUnprocessableEntity, "idempotency key used with different content"
		p.Remedy = "use a new key for a new request"
	case errors.As(err, &refusal):
		p.Status, p.Title = http.StatusServiceUnavailable, "not run: "+refusal.Reason.String()
		p.Remedy = refusal.Reason.Remedy()
		p.retryAfter = time.Second
	case prim.IsTimeout(err):
		p.Status, p.Title = http.StatusGatewayTimeout, "no answer in time"
		p.Remedy = "check whether the request ran before repeating it, or repeat it under the same idempotency key"
	default:
		p.Status, p.Title = http.StatusBadGateway, "answer lost"
		p.Remedy = "check whether the request ran before repeating it, or repeat it under the same idempotency key"
	}
	return p
}

// fail writes the problem of a request. The request is nil if it could not be
// attributed to a customer.
func (f *Front) fail(w http.ResponseWriter, r *prim.Request, err error, start time.Time) {
	p := problemOf(err)
	writeProblem(w, p)
	if r == nil {
		f.c.Recorder.Count("RequestsRefused", 1)
		return
	}
	outcome := prim.OutcomeOf(err)
	if p.Outcome == prim.NotRun.String() {
		outcome = prim.NotRun
	}
	f.c.Recorder.Request(r, outcome, p.Status, time.Since(start), 0)
}

func writeProblem(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, p.Outcome)
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}
