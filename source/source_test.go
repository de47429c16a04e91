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

func client(t *testing.T, status int, answer string) *source.Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, answer)
	}))
	t.Cleanup(s.Close)
	c, err := source.New(source.Config{Base: s.URL})
	is.New(t).NoErr(err)
	return c
}

func document(body string, hash uint64) string {
	return fmt.Sprintf(`{"Name":"Plans","Version":7,"Hash":"%d","Issued":"2026-01-02T03:04:05Z","Body":%s}`, hash, body)
}

// Guards against the body being changed on the way to the hash, for example by
// decoding and encoding it again.
func TestRead(t *testing.T) {
	is := is.New(t)
	body := `{ "Customers" :  [ ] }`
	d, err := client(t, 200, document(body, xxh3.HashString(body))).Read(context.Background(), "Plans")
	is.NoErr(err)
	is.Equal(string(d.Body), body)
	is.Equal(d.Version, uint64(7))
	is.Equal(d.Issued.Unix(), int64(1767323045))
	ds, err := client(t, 200, `{"Documents":[`+document("null", 1<<63)+`]}`).Index(context.Background())
	is.NoErr(err)
	is.Equal(ds[0].Hash, uint64(1<<63))
}

// Guards against a damaged, oversized, misnamed or redirected answer being used.
func TestRefusedAnswers(t *testing.T) {
	big := `"` + strings.Repeat("x", prim.MaxDocument) + `"`
	for name, c := range map[string]struct {
		status int
		answer string
		want   string
	}{
		"hash":     {200, document(`{"a":1}`, 5), "has hash"},
		"size":     {200, document(big, xxh3.HashString(big)), "more than"},
		"endless":  {200, document(`"`+strings.Repeat("x", 2<<20)+`"`, 5), "longer than"},
		"name":     {200, strings.Replace(document(`1`, xxh3.HashString("1")), "Plans", "Hosts", 1), "received"},
		"version":  {200, strings.Replace(document(`1`, xxh3.HashString("1")), "7", "0", 1), "missing"},
		"cut":      {200, `{"Name":"Plans"`, "expected JSON"},
		"redirect": {302, "", "status 302"},
		"down":     {503, "", "status 503"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := client(t, c.status, c.answer).Read(context.Background(), "Plans")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a base URL without scheme or host being accepted silently.
func TestBadBase(t *testing.T) {
	is := is.New(t)
	for _, b := range []string{"", "10.0.0.1:7000", "ftp://a", "http://"} {
		_, err := source.New(source.Config{Base: b})
		is.True(err != nil)
	}
}
