package main

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
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
