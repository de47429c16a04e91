// Package front implements the HTTP interface for callers. It identifies the
// customer by the bearer token, classifies the request by the published routes,
// charges it to the customer's allowance, runs it, and returns the whole answer
// or a problem document that states the outcome.
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

// HTTP headers of requests by callers and of the answers to them.
const (
	// HeaderTimeout is how long the caller waits for the answer, in milliseconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderIdempotencyKey identifies repeats of the same request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempted is the time of the first attempt under a key, RFC 3339.
	HeaderAttempted = "Idempotency-Attempted"
	// HeaderRequestID identifies a request at all hops. A random one is
	// generated for requests without it.
	HeaderRequestID = "Primrosethread-Request-Id"
	// HeaderOutcome states the outcome of a request: Done, NotRun or Unknown.
	HeaderOutcome = "Primrosethread-Outcome"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// Config configures a Front.
type Config struct {
	Documents        prim.Documents
	AllowanceLimiter prim.AllowanceLimiter
	Caller           prim.Caller
	Recorder         prim.Recorder
	// KeyCreated returns the time at which a key was first used, derived from
	// the key itself or from the value of HeaderAttempted, or the zero time if
	// it is unknown.
	KeyCreated func(key, attempted string) time.Time
	// MaxCalls limits the calls in progress; 0 means DefaultMaxCalls.
	MaxCalls int
	Logger   *slog.Logger
}

// MaxRequestBody is the size of the largest accepted request body, in bytes. It fits into one
// frame between nodes, which the reservation of a slot requires.
const MaxRequestBody = 1 << 20

// DefaultMaxCalls is the default of Config.MaxCalls. Each call in progress holds
// the body of its request, so the limit also bounds memory.
const DefaultMaxCalls = 4096

// Front handles the requests of callers.
type Front struct {
	config     Config
	callTokens chan struct{} // semaphore with one token for each call in progress
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
	return &Front{config: c, callTokens: make(chan struct{}, c.MaxCalls)}
}

// Mount adds the routes for callers to a router. They match every path that
// begins with /NAME/, whether NAME is a service or not, so more specific routes
// must be added before.
func (f *Front) Mount(r *mux.Router) {
	r.PathPrefix("/{service}/").HandlerFunc(f.serveCaller)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, &Problem{Status: http.StatusNotFound, Title: "no service named", Outcome: prim.NotRun.String(),
			Remedy: "use a path such as /bookings/slots"})
	})
}

func (f *Front) serveCaller(w http.ResponseWriter, httpRequest *http.Request) {
	start := time.Now()
	select {
	case f.callTokens <- struct{}{}:
		defer func() { <-f.callTokens }()
	default:
		f.writeError(w, nil, &prim.RefusalError{Reason: prim.ReasonBusy}, start)
		return
	}
	r, err := f.parseRequest(w, httpRequest, start)
	if err != nil {
		f.writeError(w, r, err, start)
		return
	}
	ctx, cancel := context.WithDeadline(httpRequest.Context(), r.Deadline)
	defer cancel()
	if err := f.config.AllowanceLimiter.Take(ctx, r.Customer, r.Service); err != nil {
		f.writeError(w, r, err, start)
		return
	}
	answer, err := f.config.Caller.Do(ctx, r)
	if err != nil {
		f.writeError(w, r, err, start)
		return
	}
	f.writeAnswer(w, r, answer, start)
}

// parseRequest builds the request from an HTTP request. Its errors are of type
// *Problem. The request is nil if the error comes before the customer is known
// and allowed to call the route.
func (f *Front) parseRequest(w http.ResponseWriter, httpRequest *http.Request, now time.Time) (*prim.Request, error) {
	view := f.config.Documents.View()
	if len(view.Digests) < len(prim.DocumentNames) {
		// Until all documents have arrived, a valid credential or service may
		// look unknown.
		return nil, &Problem{Status: http.StatusServiceUnavailable, Title: "the node has just started and lacks documents",
			Outcome: prim.NotRun.String(), Remedy: "retry, or use another node", retryAfter: time.Second}
	}
	service := prim.Service(mux.Vars(httpRequest)["service"])
	token, ok := strings.CutPrefix(httpRequest.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, newProblem(http.StatusUnauthorized, "no credential", "send the header Authorization: Bearer with the customer's token")
	}
	customer, ok := view.CustomerByToken(token)
	if !ok {
		return nil, newProblem(http.StatusUnauthorized, "unknown credential", "use a token whose hash is in the Plans list")
	}
	if _, ok := view.Service(service); !ok {
		return nil, newProblem(http.StatusNotFound, "unknown service", "use a service of the host list as the first path segment")
	}
	target := strings.TrimPrefix(prim.OriginForm(httpRequest.RequestURI), "/"+string(service))
	path, _, _ := strings.Cut(target, "?")
	route := view.Route(service, httpRequest.Method, path)
	if route.Internal && !customer.Internal {
		return nil, newProblem(http.StatusForbidden, "internal route", "only the operator's own applications may call it")
	}
	r := &prim.Request{
		Service:    service,
		Customer:   customer.Name,
		Class:      route.Class,
		Method:     httpRequest.Method,
		Path:       target,
		Header:     httpRequest.Header,
		Idempotent: route.Idempotent,
		Internal:   customer.Internal,
	}
	if err := f.setDeadline(r, now); err != nil {
		return r, err
	}
	if err := f.setIdempotencyKey(r); err != nil {
		return r, err
	}
	// The credential is meant for the node only and is not forwarded to servers,
	// which get the customer's name instead.
	r.Header.Del("Authorization")
	if r.Header.Get(HeaderRequestID) == "" {
		r.Header.Set(HeaderRequestID, rand.Text())
	}
	return r, readBody(w, httpRequest, r)
}

func (f *Front) setDeadline(r *prim.Request, now time.Time) error {
	timeout := prim.DefaultTimeout
	if value := r.Header.Get(HeaderTimeout); value != "" {
		ms, err := strconv.Atoi(value)
		if err != nil || ms <= 0 {
			return newProblem(http.StatusBadRequest, "malformed "+HeaderTimeout, "send milliseconds as a whole number above zero")
		}
		timeout = min(time.Duration(ms)*time.Millisecond, prim.MaxTimeout)
	}
	r.Deadline = now.Add(timeout)
	return nil
}

func (f *Front) setIdempotencyKey(r *prim.Request) error {
	r.Key = r.Header.Get(HeaderIdempotencyKey)
	if len(r.Key) > maxKeyBytes {
		return newProblem(http.StatusBadRequest, HeaderIdempotencyKey+" too long", "use at most 255 bytes, for example a UUIDv7")
	}
	attempted := r.Header.Get(HeaderAttempted)
	if attempted != "" {
		if _, err := time.Parse(time.RFC3339, attempted); err != nil {
			return newProblem(http.StatusBadRequest, "malformed "+HeaderAttempted, "send the time of the first attempt as in RFC 3339")
		}
	}
	if r.Key != "" {
		r.KeyCreated = f.config.KeyCreated(r.Key, attempted)
	}
	return nil
}

func readBody(w http.ResponseWriter, httpRequest *http.Request, r *prim.Request) error {
	if httpRequest.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, httpRequest.Body, MaxRequestBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return newProblem(http.StatusRequestEntityTooLarge, "body too large", "send at most 1 MiB")
		}
		return newProblem(http.StatusBadRequest, "body not received", "send the whole body")
	}
	r.Body = body
	return nil
}

// writeAnswer writes the answer of a server. If the rest of a long answer is
// truncated, the connection to the caller is aborted so that the answer cannot
// be taken for complete.
func (f *Front) writeAnswer(w http.ResponseWriter, r *prim.Request, a *prim.Answer, start time.Time) {
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
	elapsed := time.Since(start)
	f.config.Recorder.Request(r, prim.Done, a.Status, elapsed, elapsed-a.ServiceTime)
	if a.Rest == nil {
		return
	}
	defer a.Rest.Close()
	if _, err := io.Copy(w, a.Rest); err != nil {
		f.config.Logger.Warn("answer truncated", "Service", r.Service, "Customer", r.Customer, "Error", err)
		panic(http.ErrAbortHandler)
	}
}
