package wire_test

import (
	"net/http"
	"testing"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// BenchmarkRequest measures the cost of the codec for one hop: encoding and
// decoding a request with the headers of a typical caller.
func BenchmarkRequest(b *testing.B) {
	now := time.Now()
	r := &prim.Request{
		Service: "bookings", Customer: "harbour", Class: "SlotCheck", Method: "GET", Path: "/slots?day=2026-12-04",
		Header: http.Header{
			"Accept": {"*/*"}, "Accept-Encoding": {"gzip"}, "User-Agent": {"Go-http-client/1.1"},
			"Primrosethread-Request-Id": {"RDAABUXQWPNLEK75GHQ5ZYJ57F"}, "Content-Type": {"application/json"},
		},
		Body: make([]byte, 200), Deadline: now.Add(time.Second),
	}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		h := wire.RequestHeader(wire.Dispatch, r, now)
		buf, _ = wire.Append(buf[:0], &h, r.Body)
		got, body, err := wire.Split(buf)
		if err != nil {
			b.Fatal(err)
		}
		got.Request(body, now)
	}
}
