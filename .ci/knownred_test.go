package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// writeLog writes a log of make test in which the packages have the given results.
func writeLog(t *testing.T, failed map[string]string, ending string) string {
	t.Helper()
	dirs, module, err := packages()
	if err != nil {
		t.Fatal(err)
	}
	var first, second []string // both commands test half of the packages
	for pkg := range dirs {
		name := strings.TrimPrefix(pkg, module+"/")
		result := "ok  \t" + pkg + "\t0.1s"
		if output := failed[name]; output != "" {
			result = output + "FAIL\nFAIL\t" + pkg + "\t0.1s"
		}
		if len(first) < len(dirs)/2 && name != "roster" || name == "fleet" {
			first = append(first, result)
		} else {
			second = append(second, result)
		}
	}
	log := ""
	for i, results := range [][]string{first, second} {
		log += []string{"go test -race -timeout 10m x/a x/b\n", "go test -race -timeout 10m -cpu 1 x/c\n"}[i]
		log += strings.Join(results, "\n") + "\n"
		if strings.Contains(strings.Join(results, "\n"), "FAIL\t") {
			log += "FAIL\n"
		}
	}
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(log+ending), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const makeFailed = "make: *** [Makefile:30: test] Error 1\n"

// Guards against a known failure in the first go test command that fails CI, and against a
// failure that isn't listed or a command that didn't run and that CI passes over.
func TestKnownFailures(t *testing.T) {
	is := is.New(t)
	t.Chdir("..")
	list := filepath.Join(t.TempDir(), "known")
	entry := "package: fleet\ntests: TestListed\ncommand: c\nseen: s\ncause: c\nissue: 1\nfailure: \\[rapid\\] listed\nat most: 1\n"
	is.NoErr(os.WriteFile(list, []byte(entry), 0o600))
	listed := "--- FAIL: TestListed (1.00s)\n    fleet_test.go:69: [rapid] listed\n"
	other := "--- FAIL: TestListed (1.00s)\n    fleet_test.go:69: [rapid] other\n"
	unlisted := "--- FAIL: TestUnlisted (1.00s)\n    roster_test.go:1: [rapid] listed\n"

	found, err := check(writeLog(t, map[string]string{"fleet": listed}, makeFailed), list)
	is.NoErr(err)
	is.True(strings.Contains(strings.Join(found, "\n"), "failed: fleet TestListed"))

	for _, failed := range []map[string]string{{"fleet": other}, {"roster": unlisted}, {"fleet": listed, "roster": unlisted}, {}} {
		_, err = check(writeLog(t, failed, makeFailed), list)
		is.True(err != nil)
	}
	_, err = check(writeLog(t, map[string]string{"fleet": listed}, ""), list)
	is.True(err != nil)

	path := writeLog(t, map[string]string{"fleet": listed}, "")
	b, err := os.ReadFile(path)
	is.NoErr(err)
	first, _, _ := strings.Cut(string(b), "go test -race -timeout 10m -cpu 1")
	is.NoErr(os.WriteFile(path, []byte(first+makeFailed), 0o600))
	_, err = check(path, list) // the second command didn't run
	is.True(err != nil)
}
