package httpd

import (
	"slices"
	"strings"
	"testing"

	prim "github.com/primrosethread/primrosethread"
)

// FuzzRequests guards against input on which the server crashes, hangs, or sees other
// requests than net/http, and against responses that depend on whether requests run
// concurrently.
func FuzzRequests(f *testing.F) {
	const end = " HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, seed := range []string{
		"GET /" + end + "GET /large" + end + "HEAD /length" + end,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc\r\n\r\nGET /close" + end + "GET /" + end,
		"POST /unread HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nT: x\r\n\r\nGET /" + end,
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\naGET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect:\r\nContent-Length: 1\r\n\r\na", // got 100 Continue
		"GET http://b/ HTTP/1.0\nHost: a\n \n\n",                              // was accepted with a folded Host field
		"GET http://b/ HTTP/1.1\nHost: a\nX : y\n\nGET * HTTP/1.1\r\nHost:\r\n\r\n",
		"T / HTTP/1.1\nHost:\nTransfer-Encoding:chunked\n\n3;\r\nabc\r\n0\r\nT: x\r\r\n\r\n", // was accepted with a control byte in a trailer
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /short" + end,
		"POST /unread HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\n\nC: d\r\n\r\nGET /" + end, // panicked
		"POST /unread HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA(: b\r\n\r\nGET /" + end,        // was accepted with a name that is no token
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		want, wantSeen := playNetHTTP(input)
		got, gotSeen := playHTTPD(input, nil)
		if len(gotSeen) > len(wantSeen) || !slices.Equal(gotSeen, wantSeen[:len(gotSeen)]) {
			t.Fatalf("requests: %q, net/http: %q", gotSeen, wantSeen)
		}
		if len(gotSeen) == len(wantSeen) && normalize(got) != normalize(want) && !strings.Contains(got, "Connection: close") {
			t.Fatalf("responses: %q, net/http: %q", got, want)
		}
		if ahead, _ := playHTTPD(input, always); ahead != got {
			t.Fatalf("responses: %q, with read-ahead: %q", got, ahead)
		}
	})
}

// smallHeaders are the limits of playHTTPD: as those of playNetHTTP.
func smallHeaders() prim.ClientLimits { return prim.ClientLimits{MaxHeaderBytes: 8 << 10} }
