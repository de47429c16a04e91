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

// Problem is the body of an answer that does not come from a server: problem
// details as in RFC 9457, but with Pascal case names.
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

// newProblem returns the error of a request that was not run because it is
// invalid or not allowed.
func newProblem(status int, title, remedy string) error {
	return &Problem{Status: status, Title: title, Remedy: remedy, Outcome: prim.NotRun.String()}
}

// problemOf converts the error of a call into a problem with its status.
func problemOf(err error) *Problem {
	var (
		problem  *Problem
		over     *prim.AllowanceExceededError
		conflict *prim.KeyConflictError
		refusal  *prim.RefusalError
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

// writeError writes the problem of a failed request and records the outcome. A
// nil request could not be attributed to a customer and is only counted.
func (f *Front) writeError(w http.ResponseWriter, r *prim.Request, err error, start time.Time) {
	p := problemOf(err)
	writeProblem(w, p)
	if r == nil {
		f.config.Recorder.Count("RequestsRefused", 1)
		return
	}
	outcome := prim.OutcomeOf(err)
	if p.Outcome == prim.NotRun.String() {
		outcome = prim.NotRun
	}
	f.config.Recorder.Request(r, outcome, p.Status, time.Since(start), 0)
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
