package main

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// newTestPlatform returns a platform that serves a folder with one document.
func newTestPlatform(t *testing.T, limit float64) (*platform, string) {
	t.Helper()
	dir := t.TempDir()
	writeDocument(t, dir, "Plans", `{ "Customers": [] }`)
	f, err := newFolder(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return newPlatform(f, limit), dir
}

// withFakeClock runs a test in a synctest bubble, which has a fake clock.
func withFakeClock(t *testing.T, f func(t *testing.T, is *is.I)) {
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t)) })
}

func writeDocument(t *testing.T, dir, name, body string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name+".json"), []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
}

// do passes one request to a handler. If the handler aborts the connection, the
// status of the result is 0.
func do(h http.Handler, method, path, body string, header ...string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	defer func() {
		if recover() != nil {
			w.Code = 0
		}
	}()
	h.ServeHTTP(w, r)
	return w
}

type documentResponse struct {
	Name    string
	Version uint64
	Hash    string
	Issued  time.Time
	Body    json.RawMessage
}

func getDocument(t *testing.T, h http.Handler, name string) documentResponse {
	t.Helper()
	var d documentResponse
	w := do(h, "GET", "/v1/documents/"+name, "")
	if err := json.Unmarshal(w.Body.Bytes(), &d); err != nil {
		t.Fatalf("status %d: %v", w.Code, err)
	}
	return d
}

// The hash must be that of the bytes that clients receive. The version must
// increase with each change of the content, and only then.
func TestVersions(t *testing.T) {
	is := is.New(t)
	p, dir := newTestPlatform(t, 1e6)
	h := p.handler()
	first := getDocument(t, h, "Plans")
	is.Equal(first.Hash, strconv.FormatUint(xxh3.Hash(first.Body), 10))
	is.Equal(string(first.Body), `{"Customers":[]}`)
	var index struct{ Documents []documentResponse }
	is.NoErr(json.Unmarshal(do(h, "GET", "/v1/index", "").Body.Bytes(), &index))
	is.Equal(index.Documents[0].Hash, first.Hash)
	is.Equal(index.Documents[0].Version, first.Version)

	writeDocument(t, dir, "Plans", `{"Customers":  []}`)
	is.NoErr(p.folder.read())
	is.Equal(getDocument(t, h, "Plans").Version, first.Version)

	writeDocument(t, dir, "Plans", `{"Customers":[{"Name":"<é>"}]}`)
	is.NoErr(p.folder.read())
	second := getDocument(t, h, "Plans")
	is.True(second.Version > first.Version)
	is.Equal(second.Hash, strconv.FormatUint(xxh3.Hash(second.Body), 10))
	is.Equal(do(h, "GET", "/v1/documents/Other", "").Code, 404)
	is.Equal(do(h, "PUT", "/v1/documents/Plans", "{}").Code, 405)
}

// A malformed or oversized file must not replace a document.
func TestInvalidFileKeepsDocument(t *testing.T) {
	is := is.New(t)
	p, dir := newTestPlatform(t, 1e6)
	first := getDocument(t, p.handler(), "Plans")
	for _, body := range []string{`{"Customers":`, `{"x":"` + strings.Repeat("x", prim.MaxDocumentBytes) + `"}`} {
		writeDocument(t, dir, "Plans", body)
		is.NoErr(p.folder.read())
		is.Equal(getDocument(t, p.handler(), "Plans").Version, first.Version)
	}
	writeDocument(t, dir, "Plans", `{"x":"`+strings.Repeat("x", prim.MaxDocumentBytes-8)+`"}`)
	is.NoErr(p.folder.read())
	is.Equal(len(getDocument(t, p.handler(), "Plans").Body), prim.MaxDocumentBytes)
}

// The stand-in must not serve more reads than the real service would, and must
// count every read.
func TestLimitAndCounts(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		p, _ := newTestPlatform(t, 2000)
		h := p.handler()
		ok := 0
		for range 10 {
			for range 500 {
				if do(h, "GET", "/v1/index", "").Code == 200 {
					ok++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(ok, 2000)
		var counts map[string]int
		is.NoErr(json.Unmarshal(do(h, "GET", "/counts", "").Body.Bytes(), &counts))
		is.Equal(counts["Index"], 5000)
		is.Equal(counts["Refused"], 3000)
	})
}

// With Stale set, neither changes nor newer Issued times may be visible. With Down
// set, no read may get a response.
func TestPlatformFaults(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		p, dir := newTestPlatform(t, 1e6)
		h := p.handler()
		is.Equal(do(h, "POST", "/fault", `{"Stale":true}`).Code, 200)
		before := getDocument(t, h, "Plans")
		writeDocument(t, dir, "Plans", `{"Customers":[{}]}`)
		is.NoErr(p.folder.read())
		time.Sleep(time.Minute)
		stale := getDocument(t, h, "Plans")
		is.Equal(stale.Version, before.Version)
		is.Equal(stale.Issued, before.Issued)

		is.Equal(do(h, "POST", "/fault", `{"Stale":false,"SlowMs":3000}`).Code, 200)
		start := time.Now()
		fresh := getDocument(t, h, "Plans")
		is.True(fresh.Version > before.Version)
		is.True(fresh.Issued.After(before.Issued))
		is.Equal(time.Since(start), 3*time.Second)

		is.Equal(do(h, "POST", "/fault", `{"Down":true}`).Code, 200)
		is.Equal(do(h, "GET", "/v1/index", "").Code, 0)
		is.Equal(do(h, "GET", "/fault", "").Body.String(), `{"Down":true,"Stale":false,"SlowMs":3000}`+"\n")
		is.Equal(do(h, "POST", "/fault", `{"Down":false}`).Code, 200)
		is.Equal(do(h, "GET", "/v1/index", "").Code, 200)

		is.Equal(do(h, "POST", "/fault", `{"Dwon":true}`).Code, 400)
		is.Equal(do(h, "POST", "/fault", `{"SlowMs":-1}`).Code, 400)
	})
}

// A watch must return on a change, must not return earlier without one, and must
// be aborted when Down is set.
func TestWatch(t *testing.T) {
	withFakeClock(t, func(t *testing.T, is *is.I) {
		p, dir := newTestPlatform(t, 1e6)
		h := p.handler()
		is.Equal(do(h, "GET", "/v1/watch?after=0", "").Header().Get(indexHeader), "1")
		is.Equal(do(h, "GET", "/v1/watch?after=x", "").Code, 400)
		start := time.Now()
		is.Equal(do(h, "GET", "/v1/watch?after=1", "").Header().Get(indexHeader), "1")
		is.Equal(time.Since(start), maxWatchWait)

		got := make(chan int)
		go func() { got <- do(h, "GET", "/v1/watch?after=1", "").Code }()
		synctest.Wait()
		writeDocument(t, dir, "Plans", `{"Customers":[{}]}`)
		is.NoErr(p.folder.read())
		is.Equal(<-got, 200)
		go func() { got <- do(h, "GET", "/v1/watch?after=2", "").Code }()
		synctest.Wait()
		is.Equal(do(h, "POST", "/fault", `{"Down":true}`).Code, 200)
		is.Equal(<-got, 0)
		is.Equal(p.counts.Watch.Load(), int64(5))
	})
}

// Invalid flags must be rejected at the start, not fail later.
func TestInvalidUsage(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"other"}, {"platform"}, {"platform", "-folder", "/nowhere/at/all"},
		{"platform", "-folder", ".", "-limit", "NaN"}, {"platform", "-folder", ".", "-listen", "localhost:1"},
		{"server", "-slots", "0"}, {"server", "-noise", "NaN"}, {"server", "-listen", "x"}, {"server", "-help"}} {
		is.True(run(t.Context(), args, io.Discard) != 0)
	}
}
