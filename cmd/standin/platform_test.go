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

// testPlatform returns a platform over a folder with one document.
func testPlatform(t *testing.T, limit float64) (*platform, string) {
	t.Helper()
	dir := t.TempDir()
	write(t, dir, "Plans", `{ "Customers": [] }`)
	f, err := newFolder(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return newPlatform(f, limit), dir
}

// bubble runs a test on a clock of its own.
func bubble(t *testing.T, f func(t *testing.T, is *is.I)) {
	synctest.Test(t, func(t *testing.T) { f(t, is.New(t)) })
}

func write(t *testing.T, dir, name, body string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name+".json"), []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
}

// do sends one request to a handler. A connection cut by the handler has
// status 0.
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

type served struct {
	Name    string
	Version uint64
	Hash    string
	Issued  time.Time
	Body    json.RawMessage
}

func get(t *testing.T, h http.Handler, name string) served {
	t.Helper()
	var d served
	w := do(h, "GET", "/v1/documents/"+name, "")
	if err := json.Unmarshal(w.Body.Bytes(), &d); err != nil {
		t.Fatalf("status %d: %v", w.Code, err)
	}
	return d
}

// Guards against a hash that is not that of the bytes that a reader gets, a
// change that keeps its version, and a version that rises without a change.
func TestVersions(t *testing.T) {
	is := is.New(t)
	p, dir := testPlatform(t, 1e6)
	h := p.handler()
	first := get(t, h, "Plans")
	is.Equal(first.Hash, strconv.FormatUint(xxh3.Hash(first.Body), 10))
	is.Equal(string(first.Body), `{"Customers":[]}`)
	var index struct{ Documents []served }
	is.NoErr(json.Unmarshal(do(h, "GET", "/v1/index", "").Body.Bytes(), &index))
	is.Equal(index.Documents[0].Hash, first.Hash)
	is.Equal(index.Documents[0].Version, first.Version)

	write(t, dir, "Plans", `{"Customers":  []}`)
	is.NoErr(p.folder.read())
	is.Equal(get(t, h, "Plans").Version, first.Version)

	write(t, dir, "Plans", `{"Customers":[{"Name":"<é>"}]}`)
	is.NoErr(p.folder.read())
	second := get(t, h, "Plans")
	is.True(second.Version > first.Version)
	is.Equal(second.Hash, strconv.FormatUint(xxh3.Hash(second.Body), 10))
	is.Equal(do(h, "GET", "/v1/documents/Other", "").Code, 404)
	is.Equal(do(h, "PUT", "/v1/documents/Plans", "{}").Code, 405)
}

// Guards against a malformed or oversize file replacing a document.
func TestUnpublishable(t *testing.T) {
	is := is.New(t)
	p, dir := testPlatform(t, 1e6)
	first := get(t, p.handler(), "Plans")
	for _, body := range []string{`{"Customers":`, `{"x":"` + strings.Repeat("x", prim.MaxDocumentBytes) + `"}`} {
		write(t, dir, "Plans", body)
		is.NoErr(p.folder.read())
		is.Equal(get(t, p.handler(), "Plans").Version, first.Version)
	}
	write(t, dir, "Plans", `{"x":"`+strings.Repeat("x", prim.MaxDocumentBytes-8)+`"}`)
	is.NoErr(p.folder.read())
	is.Equal(len(get(t, p.handler(), "Plans").Body), prim.MaxDocumentBytes)
}

// Guards against the stand-in serving more reads than the real service would,
// and against reads that are not counted.
func TestLimitAndCounts(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		p, _ := testPlatform(t, 2000)
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

// Guards against a stale replica that shows changes or advances Issued, and
// against a down service that answers.
func TestPlatformFaults(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		p, dir := testPlatform(t, 1e6)
		h := p.handler()
		is.Equal(do(h, "POST", "/fault", `{"Stale":true}`).Code, 200)
		before := get(t, h, "Plans")
		write(t, dir, "Plans", `{"Customers":[{}]}`)
		is.NoErr(p.folder.read())
		time.Sleep(time.Minute)
		stale := get(t, h, "Plans")
		is.Equal(stale.Version, before.Version)
		is.Equal(stale.Issued, before.Issued)

		is.Equal(do(h, "POST", "/fault", `{"Stale":false,"SlowMs":3000}`).Code, 200)
		start := time.Now()
		fresh := get(t, h, "Plans")
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

// Guards against a watch that misses a change, returns without one, or outlives
// a service that is down.
func TestWatch(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		p, dir := testPlatform(t, 1e6)
		h := p.handler()
		is.Equal(do(h, "GET", "/v1/watch?after=0", "").Header().Get(indexHeader), "1")
		is.Equal(do(h, "GET", "/v1/watch?after=x", "").Code, 400)
		start := time.Now()
		is.Equal(do(h, "GET", "/v1/watch?after=1", "").Header().Get(indexHeader), "1")
		is.Equal(time.Since(start), maxWatch)

		got := make(chan int)
		go func() { got <- do(h, "GET", "/v1/watch?after=1", "").Code }()
		synctest.Wait()
		write(t, dir, "Plans", `{"Customers":[{}]}`)
		is.NoErr(p.folder.read())
		is.Equal(<-got, 200)
		go func() { got <- do(h, "GET", "/v1/watch?after=2", "").Code }()
		synctest.Wait()
		is.Equal(do(h, "POST", "/fault", `{"Down":true}`).Code, 200)
		is.Equal(<-got, 0)
		is.Equal(p.counts.Watch.Load(), int64(5))
	})
}

// Guards against flags that are accepted and fail later.
func TestWrongUsage(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"other"}, {"platform"}, {"platform", "-folder", "/nowhere/at/all"},
		{"platform", "-folder", ".", "-limit", "NaN"}, {"platform", "-folder", ".", "-listen", "localhost:1"},
		{"server", "-slots", "0"}, {"server", "-noise", "NaN"}, {"server", "-listen", "x"}, {"server", "-help"}} {
		is.True(run(t.Context(), args, io.Discard) != 0)
	}
}
