package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/front"
)

// fakeNode fakes all interfaces that a Front depends on.
type fakeNode struct {
	view        *prim.View
	limiterErr  error
	do          func(*prim.Request) (*prim.Answer, error)
	lastRequest *prim.Request
	outcomes    []prim.Outcome
}

func (n *fakeNode) View() *prim.View                                        { return n.view }
func (n *fakeNode) Changed() <-chan struct{}                                { return nil }
func (n *fakeNode) Take(context.Context, prim.Customer, prim.Service) error { return n.limiterErr }
func (n *fakeNode) Count(string, int64)                                     {}
func (n *fakeNode) Request(_ *prim.Request, o prim.Outcome, _ int, _, _ time.Duration) {
	n.outcomes = append(n.outcomes, o)
}

func (n *fakeNode) Do(_ context.Context, r *prim.Request) (*prim.Answer, error) {
	n.lastRequest = r
	return n.do(r)
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func startServer(t *testing.T) (*fakeNode, *httptest.Server) {
	digests := make(map[string]prim.Digest)
	for _, n := range prim.DocumentNames {
		digests[n] = prim.Digest{Name: n, Version: 1}
	}
	node := &fakeNode{
		view: prim.NewView(prim.ViewConfig{
			Digests: digests,
			Plans: prim.Plans{Customers: []prim.CustomerEntry{
				{Name: "family", Plan: "p", Credentials: []string{hashToken("f")}},
				{Name: "app", Plan: "p", Credentials: []string{hashToken("a")}, Internal: true},
			}},
			Allowances: prim.Allowances{Routes: []prim.Route{
				{Service: "dispatch", Method: "GET", Path: "/sheds", Class: "ShedRead", Idempotent: true, Internal: true},
				{Service: "dispatch", Method: "POST", Path: "/couriers", Class: "Courier"},
			}},
			Hosts: prim.Hosts{Services: []prim.ServiceEntry{{Name: "dispatch"}}},
		}),
		do: func(r *prim.Request) (*prim.Answer, error) {
			return &prim.Answer{Status: 201, Header: http.Header{"X-Path": {r.Path}}, Body: r.Body}, nil
		},
	}
	f := front.New(front.Config{Documents: node, AllowanceLimiter: node, Caller: node, Recorder: node})
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	f.Mount(router)
	s := httptest.NewServer(router)
	t.Cleanup(s.Close)
	return node, s
}

func sendRequest(t *testing.T, s *httptest.Server, method, path, token, body string, headers ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "truncated: " + err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, "truncated: " + err.Error()
	}
	return resp, string(b)
}

// Guards against a request that is forwarded with another path or body, without
// its class, or with the caller's credential.
func TestRequestIsForwarded(t *testing.T) {
	is := is.New(t)
	node, s := startServer(t)
	resp, body := sendRequest(t, s, "POST", "/dispatch/couriers/a%2Fb?x=1", "f", "van",
		front.HeaderTimeout, "250", front.HeaderIdempotencyKey, "k")
	is.Equal(resp.StatusCode, 201)
	is.Equal(body, "van")
	is.Equal(resp.Header.Get("X-Path"), "/couriers/a%2Fb?x=1")
	is.Equal(resp.Header.Get(front.HeaderOutcome), "Done")
	is.Equal(node.lastRequest.Class, prim.Class("Courier"))
	is.Equal(node.lastRequest.Customer, prim.Customer("family"))
	is.Equal(node.lastRequest.Key, "k")
	is.True(!node.lastRequest.Idempotent)
	is.True(time.Until(node.lastRequest.Deadline) < 250*time.Millisecond)
	is.Equal(node.lastRequest.Header.Get("Authorization"), "")
	is.True(node.lastRequest.Header.Get(front.HeaderRequestID) != "")
}

// Guards against a path that is encoded anew if it has a byte such as "|", by which an encoded slash
// becomes a separator.
func TestPathIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	_, s := startServer(t)
	req, err := http.NewRequest("POST", s.URL, nil)
	is.NoErr(err)
	req.URL.Opaque = "/dispatch/couriers/a%2Fb|c?x=|"
	req.Header.Set("Authorization", "Bearer f")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.Header.Get("X-Path"), "/couriers/a%2Fb|c?x=|")
}

// Guards against running a request that is invalid or not allowed, and against a
// problem without a title or a remedy.
func TestRefusals(t *testing.T) {
	node, s := startServer(t)
	node.do = func(*prim.Request) (*prim.Answer, error) {
		t.Error("a refused request was run")
		return nil, errors.New("unexpected")
	}
	large := strings.Repeat("x", front.MaxRequestBody+1)
	for _, c := range []struct {
		name, method, path, token, body string
		headers                         []string
		status                          int
	}{
		{name: "no credential", method: "GET", path: "/dispatch/x", status: 401},
		{name: "unknown credential", method: "GET", path: "/dispatch/x", token: "bad", status: 401},
		{name: "customer's name as credential", method: "GET", path: "/dispatch/x", token: "family", status: 401},
		{name: "unknown service", method: "GET", path: "/other/x", token: "f", status: 404},
		{name: "no service", method: "GET", path: "/", token: "f", status: 404},
		{name: "internal route", method: "GET", path: "/dispatch/sheds/1", token: "f", status: 403},
		{name: "large body", method: "POST", path: "/dispatch/couriers", token: "f", body: large, status: 413},
		{name: "malformed timeout", method: "GET", path: "/dispatch/x", token: "f", headers: []string{front.HeaderTimeout, "soon"}, status: 400},
		{name: "long key", method: "POST", path: "/dispatch/couriers", token: "f", headers: []string{front.HeaderIdempotencyKey, large[:256]}, status: 400},
		{name: "malformed time", method: "POST", path: "/dispatch/couriers", token: "f", headers: []string{front.HeaderAttempted, "now"}, status: 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := sendRequest(t, s, c.method, c.path, c.token, c.body, c.headers...)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(front.HeaderOutcome), "NotRun")
			var problem front.Problem
			is.NoErr(json.Unmarshal([]byte(body), &problem))
			is.True(problem.Title != "" && problem.Remedy != "")
		})
	}
}

// Guards against an internal route that the operator's own applications cannot
// call.
func TestInternalRoute(t *testing.T) {
	is := is.New(t)
	node, s := startServer(t)
	resp, _ := sendRequest(t, s, "GET", "/dispatch/sheds/1", "a", "")
	is.Equal(resp.StatusCode, 201)
	is.True(node.lastRequest.Internal && node.lastRequest.Idempotent)
}

// Guards against an error that is reported with the wrong outcome: NotRun is
// allowed only if the request certainly did not run.
func TestOutcomesOfErrors(t *testing.T) {
	is := is.New(t)
	node, s := startServer(t)
	for _, c := range []struct {
		err     error
		status  int
		outcome string
	}{
		{&prim.RefusalError{Reason: prim.ReasonBusy}, 503, "NotRun"},
		{&prim.LostAnswerError{Cause: context.DeadlineExceeded}, 504, "Unknown"},
		{&prim.LostAnswerError{Cause: errors.New("reset")}, 502, "Unknown"},
		{&prim.KeyConflictError{Key: "k"}, 422, "NotRun"},
		{errors.New("other"), 502, "Unknown"},
	} {
		node.do = func(*prim.Request) (*prim.Answer, error) { return nil, c.err }
		resp, _ := sendRequest(t, s, "POST", "/dispatch/couriers", "f", "")
		is.Equal(resp.StatusCode, c.status)
		is.Equal(resp.Header.Get(front.HeaderOutcome), c.outcome)
	}
	node.limiterErr = &prim.AllowanceExceededError{RetryAfter: 1500 * time.Millisecond}
	resp, _ := sendRequest(t, s, "POST", "/dispatch/couriers", "f", "")
	is.Equal(resp.StatusCode, 429)
	is.Equal(resp.Header.Get("Retry-After"), "2")
	is.Equal(resp.Header.Get(front.HeaderOutcome), "NotRun")
}

// Guards against a long answer that was truncated but looks complete to the
// caller.
func TestTruncatedAnswerAborts(t *testing.T) {
	is := is.New(t)
	node, s := startServer(t)
	for _, truncated := range []bool{false, true} {
		node.do = func(*prim.Request) (*prim.Answer, error) {
			var rest io.Reader = strings.NewReader("end")
			if truncated {
				rest = io.MultiReader(rest, truncatedReader{})
			}
			return &prim.Answer{Status: 200, Body: []byte("start-"), Rest: io.NopCloser(rest)}, nil
		}
		_, body := sendRequest(t, s, "GET", "/dispatch/x", "f", "")
		is.Equal(strings.HasPrefix(body, "truncated:"), truncated)
		if !truncated {
			is.Equal(body, "start-end")
		}
	}
}

type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against more calls in progress than MaxCalls, each of which holds a
// body in memory.
func TestMaxCalls(t *testing.T) {
	is := is.New(t)
	node, _ := startServer(t)
	entered, release := make(chan struct{}), make(chan struct{})
	node.do = func(*prim.Request) (*prim.Answer, error) {
		entered <- struct{}{}
		<-release
		return &prim.Answer{Status: 200}, nil
	}
	router := mux.NewRouter()
	front.New(front.Config{
		Documents: node, AllowanceLimiter: node, Caller: node, Recorder: node, MaxCalls: 1,
	}).Mount(router)
	s := httptest.NewServer(router)
	defer s.Close()
	first := make(chan int, 1)
	go func() {
		resp, _ := sendRequest(t, s, "GET", "/dispatch/x", "f", "")
		first <- resp.StatusCode
	}()
	<-entered
	resp, _ := sendRequest(t, s, "GET", "/dispatch/x", "f", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(front.HeaderOutcome), "NotRun")
	close(release)
	is.Equal(<-first, 200)
}
