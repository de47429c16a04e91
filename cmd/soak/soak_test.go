package main

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
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
