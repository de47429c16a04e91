package main

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosethread/primrosethread/fakes"
)

var seed = flag.Uint64("soak-seed", 4, "seed of the short run")

// Guards against violations that appear only with real processes, signals and
// disturbed connections, while the tests of the single packages pass.
func TestShortRun(t *testing.T) {
	program := filepath.Join(t.TempDir(), "primrosethread")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "github.com/primrosethread/primrosethread/cmd/primrosethread")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	report, err := runSeed(t.Context(), config{seed: *seed, length: 8 * time.Second, hosts: 6, program: program, network: 6})
	t.Log(report)
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against checks that miss a rejected request, and against one that reports
// statuses that the node may use.
func TestRejectedRequests(t *testing.T) {
	is := is.New(t)
	h := &host{name: "h1"}
	for status, violations := range map[int]int{0: 0, 200: 0, 301: 1, 404: 1, 499: 1, 500: 0, 503: 0} {
		d := &deployment{}
		body := "orders answers q-1 with 0 bytes"
		d.checkAnswers([]requestResult{{id: "q-1", path: "/safe/", host: h, status: status, body: body}}, time.Now().Add(time.Hour))
		is.Equal(len(d.violations), violations) // status
	}
}

// Guards against a rewrite that leaves out a change or a deletion that a restore lost,
// and against one that raises the revision further than the lost keys do.
func TestWriteAgain(t *testing.T) {
	is := is.New(t)
	d := &deployment{store: fakes.NewStore(), written: make(map[string]write)}
	for _, key := range []string{"kept", "changed", "removed"} { // revisions 2 to 4
		d.write(key, 1)
	}
	c, copied := d.copyStore()
	d.write("changed", 2)
	d.write("removed", nil)
	d.write("added", 3)
	lost := map[string]string{"changed": "2", "removed": "", "added": "3"}
	all := map[string]string{"kept": "1", "changed": "2", "removed": "", "added": "3"}
	for after, expected := range map[int]map[string]string{copied: lost, 0: all} {
		d.store.Restore(c)
		d.writeAgain(t.Context(), rand.New(rand.NewPCG(1, 1)), after, time.Millisecond)
		w := httptest.NewRecorder()
		d.store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/kv-watch?after=4", nil))
		var changes struct {
			Events []struct {
				Key   string
				Value []byte
			}
		}
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &changes))
		is.Equal(len(changes.Events), len(expected)) // each key once
		values := make(map[string]string)
		for _, e := range changes.Events {
			values[e.Key] = string(e.Value)
		}
		is.Equal(values, expected)
	}
}
