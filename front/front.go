// Package front is the HTTP interface for callers. It identifies the customer
// by a credential, classifies the request by the published routes, takes the
// call from the customer's allowance, and returns the whole answer or a
// problem that tells the outcome.
package front

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	prim "github.com/primrosethread/primrosethread"
)

// Headers between callers and nodes.
const (
	// HeaderTimeout is the time in milliseconds that the caller waits.
	HeaderTimeout = "Request-Timeout"
	// HeaderKey marks repeats of the same request.
	HeaderKey = "Idempotency-Key"
	// HeaderAttempted is the time of the first attempt under a key, RFC 3339.
	HeaderAttempted = "Idempotency-Attempted"
	// HeaderRequestID follows a request through all hops. One is drawn for
	// requests without it.
	HeaderRequestID = "Primrosethread-Request-Id"
	// HeaderOutcome tells the outcome of a request.
	HeaderOutcome = "Primrosethread-Outcome"
)

// maxKey is the longest idempotency key in bytes.
const maxKey = 255

// Config configures a Front.
type Config struct {
	Documents prim.Documents
	Ledger    prim.Ledger
	Caller    prim.Caller
	Recorder  prim.Recorder
	// KeyCreated returns when a key was first used, from the key itself or
	// from the value of HeaderAttempted; zero if unknown.
	KeyCreated func(key, attempted string) time.Time
	// MaxCalls bounds the calls in progress; 0 means DefaultMaxCalls.
	MaxCalls int
	Logger   *slog.Logger
}

// DefaultMaxCalls bounds the calls in progress. Each holds its body, so the
// bound is one on memory.
const DefaultMaxCalls = 4096

// Front handles the requests of callers.
type Front struct {
	c     Config
	calls chan struct{} // a token for each call in progress
}

// New returns a Front.
func New(c Config) *Front {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.KeyCreated == nil {
		c.KeyCreated = func(string, string) time.Time { return time.Time{} }
	}
	if c.MaxCalls == 0 {
		c.MaxCalls = DefaultMaxCalls
	}
	return &Front{c: c, calls: make(chan struct{}, c.MaxCalls)}
}

// Mount adds the callers' routes to a router. They match every path with a
// service name as its first segment, so more specific routes come before.
func (f *Front) Mount(r *mux.Router) {
	r.PathPrefix("/{service}/").HandlerFunc(f.serve)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, &Problem{Status: http.StatusNotFound, Title: "no service named", Outcome: prim.NotRun.String(),
			Remedy: "use a path such as /bookings/slots"})
	})
}

func (f *Front) serve(w http.ResponseWriter, hr *http.Request) {
	start := time.Now()
	select {
	case f.calls <- struct{}{}:
		defer func() { <-f.calls }()
	default:
		f.fail(w, nil, &prim.Refusal{Reason: prim.ReasonBusy}, start)
		return
	}
	r, err := f.request(w, hr, start)
	if err != nil {
		f.fail(w, r, err, start)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), r.Deadline)
	defer cancel()
	if err := f.c.Ledger.Take(ctx, r.Customer, r.Service); err != nil {
		f.fail(w, r, err, start)
		return
	}
	answer, err := f.c.Caller.Do(ctx, r)
	if err != nil {
		f.fail(w, r, err, start)
		return
	}
	f.answer(w, r, answer, start)
}

// request builds the request or returns a *Problem.
func (f *Front) request(w http.ResponseWriter, hr *http.Request, now time.Time) (*prim.Request, error) {
	view := f.c.Documents.View()
	if len(view.Digests) < len(prim.DocumentNames) {
		// Without them a valid credential or service looks unknown.
		return nil, &Problem{Status: http.StatusServiceUnavailable, Title: "the node has just started and lacks documents",
			Outcome: prim.NotRun.String(), Remedy: "retry, or use another node", retryAfter: time.Second}
	}
	service := prim.Service(mux.Vars(hr)["service"])
	token, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, refused(http.StatusUnauthorized, "no credential", "send the header Authorization: Bearer with the customer's token")
	}
	customer, ok := view.Credential(token)
	if !ok {
		return nil, refused(http.StatusUnauthorized, "unknown credential", "use a token whose hash is in the Plans list")
	}
	if _, ok := view.Service(service); !ok {
		return nil, refused(http.StatusNotFound, "unknown service", "use a service of the host list as the first path segment")
	}
	path := strings.TrimPrefix(hr.URL.EscapedPath(), "/"+string(service))
	route := view.Route(service, hr.Method, path)
	if route.Internal && !customer.Internal {
		return nil, refused(http.StatusForbidden, "internal route", "only the operator's own applications may call it")
	}
	if hr.URL.RawQuery != "" {
		path += "?" + hr.URL.RawQuery
	}
	r := &prim.Request{
		Service:    service,
		Customer:   customer.Name,
		Class:      route.Class,
		Method:     hr.Method,
		Path:       path,
		Header:     hr.Header,
		Idempotent: route.Idempotent,
		Internal:   customer.Internal,
	}
	if err := f.setTime(r, now); err != nil {
		return r, err
	}
	if err := f.setKey(r); err != nil {
		return r, err
	}
	// The credential is for this system; servers get the customer's name.
	r.Header.Del("Authorization")
	if r.Header.Get(HeaderRequestID) == "" {
		r.Header.Set(HeaderRequestID, rand.Text())
	}
	return r, readBody(w, hr, r)
}

func (f *Front) setTime(r *prim.Request, now time.Time) error {
	timeout := prim.DefaultTimeout
	if s := r.Header.Get(HeaderTimeout); s != "" {
		ms, err := strconv.Atoi(s)
		if err != nil || ms <= 0 {
			return refused(http.StatusBadRequest, "malformed "+HeaderTimeout, "send milliseconds as a whole number above zero")
		}
		timeout = min(time.Duration(ms)*time.Millisecond, prim.MaxTimeout)
	}
	r.Deadline = now.Add(timeout)
	return nil
}

func (f *Front) setKey(r *prim.Request) error {
	r.Key = r.Header.Get(HeaderKey)
	if len(r.Key) > maxKey {
		return refused(http.StatusBadRequest, HeaderKey+" too long", "use at most 255 bytes, for example a UUIDv7")
	}
	attempted := r.Header.Get(HeaderAttempted)
	if attempted != "" {
		if _, err := time.Parse(time.RFC3339, attempted); err != nil {
			return refused(http.StatusBadRequest, "malformed "+HeaderAttempted, "send the time of the first attempt as in RFC 3339")
		}
	}
	if r.Key != "" {
		r.KeyCreated = f.c.KeyCreated(r.Key, attempted)
	}
	return nil
}

func readBody(w http.ResponseWriter, hr *http.Request, r *prim.Request) error {
	if hr.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, prim.MaxRequestBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return refused(http.StatusRequestEntityTooLarge, "body too large", "send at most 1 MiB")
		}
		return refused(http.StatusBadRequest, "body not received", "send the whole body")
	}
	r.Body = body
	return nil
}

// answer writes the answer of a server. When a long answer is cut, the
// caller's connection is aborted, so that it cannot look complete.
func (f *Front) answer(w http.ResponseWriter, r *prim.Request, a *prim.Answer, start time.Time) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set(HeaderOutcome, prim.Done.String())
	if a.Rest == nil && r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
	took := time.Since(start)
	f.c.Recorder.Request(r, prim.Done, a.Status, took, took-a.Served)
	if a.Rest == nil {
		return
	}
	defer a.Rest.Close()
	if _, err := io.Copy(w, a.Rest); err != nil {
		f.c.Logger.Warn("answer cut", "Service", r.Service, "Customer", r.Customer, "Error", err)
		panic(http.ErrAbortHandler)
	}
}
