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

// ports fakes everything behind the front.
type ports struct {
	view   *prim.View
	ledger error
	do     func(*prim.Request) (*prim.Answer, error)
	last   *prim.Request
	ended  []prim.Outcome
}

func (p *ports) View() *prim.View                                        { return p.view }
func (p *ports) Changed() <-chan struct{}                                { return nil }
func (p *ports) Take(context.Context, prim.Customer, prim.Service) error { return p.ledger }
func (p *ports) Count(string, int64)                                     {}
func (p *ports) Request(_ *prim.Request, o prim.Outcome, _ int, _, _ time.Duration) {
	p.ended = append(p.ended, o)
}

func (p *ports) Do(_ context.Context, r *prim.Request) (*prim.Answer, error) {
	p.last = r
	return p.do(r)
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func start(t *testing.T) (*ports, *httptest.Server) {
	digests := make(map[string]prim.Digest)
	for _, n := range prim.DocumentNames {
		digests[n] = prim.Digest{Name: n, Version: 1}
	}
	p := &ports{
		view: prim.NewView(prim.ViewConfig{
			Digests: digests,
			Plans: prim.Plans{Customers: []prim.CustomerEntry{
				{Name: "family", Plan: "p", Credentials: []string{hash("f")}},
				{Name: "app", Plan: "p", Credentials: []string{hash("a")}, Internal: true},
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
	f := front.New(front.Config{Documents: p, Ledger: p, Caller: p, Recorder: p})
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	f.Mount(router)
	s := httptest.NewServer(router)
	t.Cleanup(s.Close)
	return p, s
}

func call(t *testing.T, s *httptest.Server, method, path, token, body string, headers ...string) (*http.Response, string) {
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
		return nil, "cut: " + err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, "cut: " + err.Error()
	}
	return resp, string(b)
}

// Guards against a request that reaches a server changed, without its class, or
// with the caller's credential.
func TestRequestIsPassedOn(t *testing.T) {
	is := is.New(t)
	p, s := start(t)
	resp, body := call(t, s, "POST", "/dispatch/couriers/a%2Fb?x=1", "f", "van",
		front.HeaderTimeout, "250", front.HeaderKey, "k")
	is.Equal(resp.StatusCode, 201)
	is.Equal(body, "van")
	is.Equal(resp.Header.Get("X-Path"), "/couriers/a%2Fb?x=1")
	is.Equal(resp.Header.Get(front.HeaderOutcome), "Done")
	is.Equal(p.last.Class, prim.Class("Courier"))
	is.Equal(p.last.Customer, prim.Customer("family"))
	is.Equal(p.last.Key, "k")
	is.True(!p.last.Idempotent)
	is.True(time.Until(p.last.Deadline) < 250*time.Millisecond)
	is.Equal(p.last.Header.Get("Authorization"), "")
	is.True(p.last.Header.Get(front.HeaderRequestID) != "")
}

// Guards against a request that is run although the caller may not make it or
// has malformed it, and against an error without a remedy.
func TestRefusals(t *testing.T) {
	p, s := start(t)
	p.do = func(*prim.Request) (*prim.Answer, error) {
		t.Error("a refused request was run")
		return nil, errors.New("unexpected")
	}
	large := strings.Repeat("x", prim.MaxRequestBody+1)
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
		{name: "long key", method: "POST", path: "/dispatch/couriers", token: "f", headers: []string{front.HeaderKey, large[:256]}, status: 400},
		{name: "malformed time", method: "POST", path: "/dispatch/couriers", token: "f", headers: []string{front.HeaderAttempted, "now"}, status: 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := call(t, s, c.method, c.path, c.token, c.body, c.headers...)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(front.HeaderOutcome), "NotRun")
			var problem front.Problem
			is.NoErr(json.Unmarshal([]byte(body), &problem))
			is.True(problem.Title != "" && problem.Remedy != "")
		})
	}
}

// Guards against an internal route that its own applications can't call.
func TestInternalRoute(t *testing.T) {
	is := is.New(t)
	p, s := start(t)
	resp, _ := call(t, s, "GET", "/dispatch/sheds/1", "a", "")
	is.Equal(resp.StatusCode, 201)
	is.True(p.last.Internal && p.last.Idempotent)
}

// Guards against an outcome that is told wrongly: only a refusal may say NotRun.
func TestOutcomesOfErrors(t *testing.T) {
	is := is.New(t)
	p, s := start(t)
	for _, c := range []struct {
		err     error
		status  int
		outcome string
	}{
		{&prim.Refusal{Reason: prim.ReasonBusy}, 503, "NotRun"},
		{&prim.Lost{Cause: context.DeadlineExceeded}, 504, "Unknown"},
		{&prim.Lost{Cause: errors.New("reset")}, 502, "Unknown"},
		{&prim.KeyConflict{Key: "k"}, 422, "NotRun"},
		{errors.New("other"), 502, "Unknown"},
	} {
		p.do = func(*prim.Request) (*prim.Answer, error) { return nil, c.err }
		resp, _ := call(t, s, "POST", "/dispatch/couriers", "f", "")
		is.Equal(resp.StatusCode, c.status)
		is.Equal(resp.Header.Get(front.HeaderOutcome), c.outcome)
	}
	p.ledger = &prim.OverAllowance{RetryAfter: 1500 * time.Millisecond}
	resp, _ := call(t, s, "POST", "/dispatch/couriers", "f", "")
	is.Equal(resp.StatusCode, 429)
	is.Equal(resp.Header.Get("Retry-After"), "2")
	is.Equal(resp.Header.Get(front.HeaderOutcome), "NotRun")
}

// Guards against a long answer that was cut and looks complete to the caller.
func TestCutAnswerAborts(t *testing.T) {
	is := is.New(t)
	p, s := start(t)
	for _, cut := range []bool{false, true} {
		p.do = func(*prim.Request) (*prim.Answer, error) {
			var rest io.Reader = strings.NewReader("end")
			if cut {
				rest = io.MultiReader(rest, cutReader{})
			}
			return &prim.Answer{Status: 200, Body: []byte("start-"), Rest: io.NopCloser(rest)}, nil
		}
		_, body := call(t, s, "GET", "/dispatch/x", "f", "")
		is.Equal(strings.HasPrefix(body, "cut:"), cut)
		if !cut {
			is.Equal(body, "start-end")
		}
	}
}

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against more calls in progress than the node has memory for.
func TestMaxCalls(t *testing.T) {
	is := is.New(t)
	p, _ := start(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	p.do = func(*prim.Request) (*prim.Answer, error) {
		entered <- struct{}{}
		<-leave
		return &prim.Answer{Status: 200}, nil
	}
	router := mux.NewRouter()
	front.New(front.Config{Documents: p, Ledger: p, Caller: p, Recorder: p, MaxCalls: 1}).Mount(router)
	s := httptest.NewServer(router)
	defer s.Close()
	first := make(chan int, 1)
	go func() {
		resp, _ := call(t, s, "GET", "/dispatch/x", "f", "")
		first <- resp.StatusCode
	}()
	<-entered
	resp, _ := call(t, s, "GET", "/dispatch/x", "f", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(front.HeaderOutcome), "NotRun")
	close(leave)
	is.Equal(<-first, 200)
}
