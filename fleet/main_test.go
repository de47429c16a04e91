package fleet_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"testing"
)

var (
	seedFlag = flag.Uint64("seed", 0, "seed of the order and times of the faults; 0 uses FLEET_SEED, or a random seed if that is not set")
	onlyFlag = flag.String("only", "", "run only the faults whose names match this regular expression")
	raceFlag = flag.Bool("race-programs", false, "build the programs with the race detector")
	keepFlag = flag.String("keep", "", "directory in which documents, logs and journals are kept")
	binDir   string // directory of the binaries
	baseSeed uint64
)

// TestMain chooses the seed and builds the binaries that the tests start.
func TestMain(m *testing.M) {
	flag.Parse()
	baseSeed = *seedFlag
	if text := os.Getenv("FLEET_SEED"); baseSeed == 0 && text != "" {
		var err error
		if baseSeed, err = strconv.ParseUint(text, 10, 64); err != nil {
			fmt.Fprintf(os.Stderr, "FLEET_SEED: %v; write a whole number\n", err)
			os.Exit(2)
		}
	}
	if baseSeed == 0 {
		baseSeed = rand.Uint64()>>32 | 1
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleet-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := []string{"build", "-o", dir + "/"}
	if *raceFlag {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "../cmd/primrosethread", "../cmd/standin")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
