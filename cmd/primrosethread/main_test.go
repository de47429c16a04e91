package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
)

// runCommand runs the command line args and returns its exit status and output.
func runCommand(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// The example documents, which operators copy, must be valid.
func TestCheckExamples(t *testing.T) {
	is := is.New(t)
	for _, fleet := range []string{"tasmania", "kumasi"} {
		code, out, errs := runCommand(t, "check", filepath.Join("../../examples", fleet))
		is.Equal(out, "")
		is.True(strings.HasPrefix(errs, "4 documents"))
		is.Equal(code, exitOK)
	}
}

// An invalid folder must fail, so that CI rejects it. Each finding must name the
// file, the place, the value and the remedy.
func TestCheckFindings(t *testing.T) {
	for _, c := range []struct{ file, old, new, want string }{
		{"Plans.json", `"Plan": "public"`, `"Plan": "free"`, `Plans.json: Plans.Customers[2].Plan: "free" is not a known plan; add it to Allowances.Plans or correct the name`},
		{"Plans.json", `"Plan"`, `"Pan"`, `Plans.json: Plans.Customers[0]: "Pan" is not a field; remove it or correct its name`},
		{"Plans.json", `]`, ``, `is not valid JSON`},
		{"Plans.json", `{`, strings.Repeat(" ", prim.MaxDocumentBytes) + `{`, `Plans.json: Plans: 1048577 bytes are more than the platform holds`},
		{"Allowances.json", `"Rate": 50`, `"Rate": -50`, `Allowances.json: Allowances.Plans[0].Allowances[0].Rate: -50 is not a rate; write requests a second`},
		{"DataCentres.json", `"hobart"`, `"hobart-2"`, `Hosts.json: Hosts.Hosts[0].DataCentre: "hobart" is not a known data centre`},
		{"plans.json", ``, `{}`, `plans.json: file name is not that of a document; rename the file to one of [Plans Allowances DataCentres Hosts] or remove it`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(os.CopyFS(dir, os.DirFS("../../examples/tasmania")))
			path := filepath.Join(dir, c.file)
			old, _ := os.ReadFile(path) // the file does not exist in the case of the unknown name
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(string(old), c.old, c.new, 1)), 0o600))
			code, out, errs := runCommand(t, "check", dir)
			is.Equal(code, exitFailed)
			is.True(strings.Contains(errs, "findings"))
			if !strings.Contains(out, c.want) {
				t.Errorf("got  %s\nwant %s", out, c.want)
			}
		})
	}
}

// A missing document must not count as an empty one.
func TestCheckMissingDocument(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.CopyFS(dir, os.DirFS("../../examples/tasmania")))
	is.NoErr(os.Remove(filepath.Join(dir, "Hosts.json")))
	code, out, _ := runCommand(t, "check", dir)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "Hosts.json: file is missing; the names of services and hosts are not checked"))
	is.NoErr(os.Remove(filepath.Join(dir, "Allowances.json")))
	code, out, _ = runCommand(t, "check", dir)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "Allowances.json: Allowances: nothing is given; add the file"))
	code, _, errs := runCommand(t, "check", filepath.Join(dir, "absent"))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errs, "absent"))
}

// Invalid usage must exit with exitUsage and print a message.
func TestUsage(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"other"}, {"check"}, {"check", "-help"}, {"check", "a", "b"}, {"version", "x"},
		{"status", "-admin", "localhost:1"}, {"status", "-timeout", "-1s"}, {"status", "x"}, {"status", "-other"}} {
		code, _, errs := runCommand(t, args...)
		is.Equal(code, exitUsage)
		is.True(errs != "")
	}
	t.Setenv("PRIMROSETHREAD_TIMEOUT", "soon")
	code, _, errs := runCommand(t, "status")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, `PRIMROSETHREAD_TIMEOUT: "soon" is refused`))
	code, out, _ := runCommand(t, "version")
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "primrosethread development go"))
}

// newAdminServer starts an HTTP server that serves body at /status with the given
// status code. It returns its address.
func newAdminServer(t *testing.T, code int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			t.Errorf("path %s", r.URL.Path)
		}
		w.WriteHeader(code)
		io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// The table must show each value under its own column. Control characters of a
// response must not reach the terminal.
func TestStatusTable(t *testing.T) {
	is := is.New(t)
	const body = `{"Name":"h1","Leaving":false,"Uptime":"3h","Documents":[{"Name":"Plans","Version":12},{"Name":"Hosts","Version":9007199254740993,"Problem":"refused"}],
		"Members":{"h2":{"Reachable":true},"h3":{"Reachable":false,"Reasons":["a","b"]}},
		"Limits":{"Admit":{"Limit":9,"Cold":{"Cap":1}},"Share":null},"Empty":[],"Bad\u001b[2J":"x\u0007"}`
	code, out, errs := runCommand(t, "status", "-admin", newAdminServer(t, 200, body))
	is.Equal(errs, "")
	is.Equal(code, exitOK)
	is.Equal(out, `Name     h1
Leaving  false
Uptime   3h
Documents (2)
  Name   Version           Problem
  Plans  12                -
  Hosts  9007199254740993  refused
Members (2)
  Name  Reachable  Reasons
  h2    true       -
  h3    false      a, b
Limits
  Admit
    Limit  9
    Cold
      Cap  1
  Share  -
Empty         -
"Bad\x1b[2J"  "x\a"
`)
}

// A response that does not come from a node must not be shown as a node's state.
func TestStatusInvalidResponse(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		code       int
		body, want string
	}{
		{404, `{}`, "404"}, {200, `[1]`, "not a JSON object"}, {200, `<html>`, "not JSON"},
		{200, `{"x":"` + strings.Repeat("x", maxStatusBytes) + `"}`, "larger than 16 MiB"},
	} {
		code, out, errs := runCommand(t, "status", "-admin", newAdminServer(t, c.code, c.body))
		is.Equal(code, exitFailed)
		is.Equal(out, "")
		is.True(strings.Contains(errs, c.want))
	}
	t.Setenv("PRIMROSETHREAD_ADMIN", newAdminServer(t, 200, " {\"b\":1, \"a\":2}\n"))
	code, out, _ := runCommand(t, "status", "-json")
	is.Equal(code, exitOK)
	is.Equal(out, "{\"b\":1, \"a\":2}\n")
}
