package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// commandLines are the go test commands of a log.
var commandLines = []string{
	"go test -race -timeout 10m x/a x/b\n", "go test -race -timeout 10m -cpu 1 x/c\n", "go test -race -timeout 10m -p 1 -count 1 x/abuse\n",
}

// writeLog writes a log of make test in which the packages have the given results.
func writeLog(t *testing.T, failed map[string]string, ending string) string {
	t.Helper()
	dirs, module, err := packages()
	if err != nil {
		t.Fatal(err)
	}
	results := make([][]string, len(commandLines))
	for pkg := range dirs {
		name := strings.TrimPrefix(pkg, module+"/")
		result := "ok  \t" + pkg + "\t0.1s"
		if output := failed[name]; output != "" {
			result = output + "FAIL\nFAIL\t" + pkg + "\t0.1s"
		}
		i := map[string]int{"roster": 1, "quota": 1, "abuse": 2}[name]
		results[i] = append(results[i], result)
	}
	log := ""
	for i, lines := range results {
		text := strings.Join(lines, "\n") + "\n"
		log += commandLines[i] + text
		if strings.Contains(text, "FAIL\t") {
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
	for _, command := range commandLines[1:] {
		rest := strings.Index(string(b), command)
		is.NoErr(os.WriteFile(path, append(b[:rest:rest], makeFailed...), 0o600))
		_, err = check(path, list) // a command didn't run
		is.True(err != nil)
	}
}

// findLine returns the number of the first line of a file with a text.
func findLine(t *testing.T, path, text string) int {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, _, found := strings.Cut(string(b), text)
	if !found {
		t.Fatalf("%s has no line with %s", path, text)
	}
	return strings.Count(before, "\n") + 1
}

// Guards against a failure in one command of make test that stops a landing although it is
// listed, and against an entry that covers more than its tests and its failures.
func TestEveryCommand(t *testing.T) {
	is := is.New(t)
	t.Chdir("..")
	list := filepath.Join(t.TempDir(), "known")
	const rest = "command: c\nseen: s\ncause: c\nissue: 1\nat most: 1\n"
	is.NoErr(os.WriteFile(list, []byte(
		"package: fleet\ntests: TestA\nfailure: \\[rapid\\] listed\n"+rest+"\n"+
			"package: quota\ntests: TestB\nfailure: not true: listed\n"+rest+"\n"+
			"package: abuse\ntests: TestC/kind_1\nfailure: \\[rapid\\] used .* MB\n"+rest), 0o600))
	fleet := "--- FAIL: TestA (1.00s)\n    fleet_test.go:69: [rapid] listed\n"
	quota := fmt.Sprintf("--- FAIL: TestB (1.00s)\n\tshares_test.go:%d: not true: listed\n", findLine(t, "quota/shares_test.go", "is.True("))
	subtest := func(name, failure string) string {
		return "    --- FAIL: TestC/" + name + " (9.00s)\n        abuse_test.go:1: [rapid] " + failure + "\n"
	}
	const parent = "--- FAIL: TestC (9.00s)\n"
	abuse := parent + subtest("kind_1", "used 65.2 MB")
	for _, c := range []struct {
		failed map[string]string
		found  int // tests passed over; 0 if the log is refused
	}{
		{map[string]string{"fleet": fleet}, 1},
		{map[string]string{"quota": quota}, 1},
		{map[string]string{"abuse": abuse}, 1},
		{map[string]string{"fleet": fleet, "quota": quota, "abuse": abuse}, 3},
		{map[string]string{"abuse": parent + subtest("kind_1", "ended")}, 0},
		{map[string]string{"abuse": parent + subtest("kind_2", "used 65.2 MB")}, 0},
		{map[string]string{"abuse": parent + subtest("kind_11", "used 65.2 MB")}, 0},
		{map[string]string{"abuse": abuse + subtest("kind_2", "used 65.2 MB")}, 0},
		{map[string]string{"abuse": parent + "    abuse_test.go:1: [rapid] used 65.2 MB\n"}, 0},
		{map[string]string{"abuse": parent}, 0},
		{map[string]string{"fleet": fleet, "quota": quota, "abuse": abuse, "roster": "--- FAIL: TestD (1.00s)\n"}, 0},
	} {
		found, err := check(writeLog(t, c.failed, makeFailed), list)
		is.Equal(err == nil, c.found > 0)
		is.Equal(strings.Count(strings.Join(found, "\n"), "  failed: "), c.found)
	}
}
