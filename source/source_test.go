package source_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/source"
)

// newClient returns a client of a server that sends the given response.
func newClient(t *testing.T, status int, answer string) *source.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, answer)
	}))
	t.Cleanup(server.Close)
	c, err := source.New(source.Config{Base: server.URL})
	is.New(t).NoErr(err)
	return c
}

func documentJSON(body string, hash uint64) string {
	return fmt.Sprintf(`{"Name":"Plans","Version":7,"Hash":"%d","Issued":"2026-01-02T03:04:05Z","Body":%s}`, hash, body)
}

// Guards against a body that is modified before it is hashed, for example by decoding
// and re-encoding it.
func TestRead(t *testing.T) {
	is := is.New(t)
	body := `{ "Customers" :  [ ] }`
	d, err := newClient(t, 200, documentJSON(body, xxh3.HashString(body))).Read(context.Background(), "Plans")
	is.NoErr(err)
	is.Equal(string(d.Body), body)
	is.Equal(d.Version, uint64(7))
	is.Equal(d.Issued.Unix(), int64(1767323045))
	ds, err := newClient(t, 200, `{"Documents":[`+documentJSON("null", 1<<63)+`]}`).Index(context.Background())
	is.NoErr(err)
	is.Equal(ds[0].Hash, uint64(1<<63))
}

// Guards against accepting a corrupted, oversized, misnamed or redirected response.
func TestRejectedResponses(t *testing.T) {
	oversized := `"` + strings.Repeat("x", prim.MaxDocumentBytes) + `"`
	for name, c := range map[string]struct {
		status int
		answer string
		want   string
	}{
		"hash":      {200, documentJSON(`{"a":1}`, 5), "has hash"},
		"size":      {200, documentJSON(oversized, xxh3.HashString(oversized)), "more than"},
		"endless":   {200, documentJSON(`"`+strings.Repeat("x", 2<<20)+`"`, 5), "longer than"},
		"name":      {200, strings.Replace(documentJSON(`1`, xxh3.HashString("1")), "Plans", "Hosts", 1), "received"},
		"version":   {200, strings.Replace(documentJSON(`1`, xxh3.HashString("1")), "7", "0", 1), "missing"},
		"truncated": {200, `{"Name":"Plans"`, "expected JSON"},
		"redirect":  {302, "", "status 302"},
		"down":      {503, "", "status 503"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := newClient(t, c.status, c.answer).Read(context.Background(), "Plans")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against accepting a base URL without a scheme or host.
func TestBadBase(t *testing.T) {
	is := is.New(t)
	for _, b := range []string{"", "10.0.0.1:7000", "ftp://a", "http://"} {
		_, err := source.New(source.Config{Base: b})
		is.True(err != nil)
	}
}
