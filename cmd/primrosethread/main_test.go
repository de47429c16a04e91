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

// call runs a command line.
func call(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against examples that operators copy and that are refused.
func TestCheckAcceptsExamples(t *testing.T) {
	is := is.New(t)
	for _, fleet := range []string{"tasmania", "kumasi"} {
		code, out, errs := call(t, "check", filepath.Join("../../examples", fleet))
		is.Equal(out, "")
		is.True(strings.HasPrefix(errs, "4 documents"))
		is.Equal(code, exitOK)
	}
}

// Guards against a folder with a fault that CI lets through, and against a
// finding that does not tell the file, the place, the value and the remedy.
func TestCheckRefuses(t *testing.T) {
	for _, c := range []struct{ file, old, new, want string }{
		{"Plans.json", `"Plan": "public"`, `"Plan": "free"`, `Plans.json: Plans.Customers[2].Plan: "free" is not a known plan; add it to Allowances.Plans or correct the name`},
		{"Plans.json", `"Plan"`, `"Pan"`, `Plans.json: Plans.Customers[0]: "Pan" is not a field; remove it or correct its name`},
		{"Plans.json", `]`, ``, `is not valid JSON`},
		{"Plans.json", `{`, strings.Repeat(" ", prim.MaxDocumentBytes) + `{`, `Plans.json: Plans: 1048577 bytes are more than the platform holds`},
		{"Allowances.json", `"Rate": 50`, `"Rate": -50`, `Allowances.json: Allowances.Plans[0].Allowances[0].Rate: -50 is not a rate; write requests a second`},
		{"DataCentres.json", `"hobart"`, `"hobart-2"`, `Hosts.json: Hosts.Hosts[0].DataCentre: "hobart" is not a known data centre`},
		{"plans.json", ``, `{}`, `plans.json: is not a document; rename it to one of [Plans Allowances DataCentres Hosts] or remove it`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(os.CopyFS(dir, os.DirFS("../../examples/tasmania")))
			path := filepath.Join(dir, c.file)
			old, _ := os.ReadFile(path) // absent for the stray file
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(string(old), c.old, c.new, 1)), 0o600))
			code, out, errs := call(t, "check", dir)
			is.Equal(code, exitFailed)
			is.True(strings.Contains(errs, "findings"))
			if !strings.Contains(out, c.want) {
				t.Errorf("got  %s\nwant %s", out, c.want)
			}
		})
	}
}

// Guards against an absent list that counts as an empty one.
func TestCheckAbsent(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.CopyFS(dir, os.DirFS("../../examples/tasmania")))
	is.NoErr(os.Remove(filepath.Join(dir, "Hosts.json")))
	code, out, _ := call(t, "check", dir)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "Hosts.json: absent; the names of services and hosts are not checked"))
	is.NoErr(os.Remove(filepath.Join(dir, "Allowances.json")))
	code, out, _ = call(t, "check", dir)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "Allowances.json: Allowances: nothing is given; add the file"))
	code, _, errs := call(t, "check", filepath.Join(dir, "absent"))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errs, "absent"))
}

// Guards against wrong usage that ends with status 0.
func TestUsage(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"other"}, {"check"}, {"check", "-help"}, {"check", "a", "b"}, {"version", "x"},
		{"status", "-admin", "localhost:1"}, {"status", "-timeout", "-1s"}, {"status", "x"}, {"status", "-other"}} {
		code, _, errs := call(t, args...)
		is.Equal(code, exitUsage)
		is.True(errs != "")
	}
	t.Setenv("PRIMROSETHREAD_TIMEOUT", "soon")
	code, _, errs := call(t, "status")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errs, `PRIMROSETHREAD_TIMEOUT: "soon" is refused`))
	code, out, _ := call(t, "version")
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "primrosethread development go"))
}

// answering starts an admin interface that answers with one text.
func answering(t *testing.T, code int, body string) string {
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

// Guards against a table that drops or mixes up values, and against control
// characters of an answer reaching the terminal.
func TestStatusTable(t *testing.T) {
	is := is.New(t)
	const body = `{"Name":"h1","Leaving":false,"Uptime":"3h","Documents":[{"Name":"Plans","Version":12},{"Name":"Hosts","Version":9007199254740993,"Problem":"refused"}],
		"Members":{"h2":{"Reachable":true},"h3":{"Reachable":false,"Reasons":["a","b"]}},
		"Limits":{"Admit":{"Limit":9,"Cold":{"Cap":1}},"Share":null},"Empty":[],"Bad\u001b[2J":"x\u0007"}`
	code, out, errs := call(t, "status", "-admin", answering(t, 200, body))
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

// Guards against an answer of something else than a node being shown as a state.
func TestStatusRefuses(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		code       int
		body, want string
	}{
		{404, `{}`, "404"}, {200, `[1]`, "not a JSON object"}, {200, `<html>`, "not JSON"},
		{200, `{"x":"` + strings.Repeat("x", maxStatus) + `"}`, "longer than 16 MiB"},
	} {
		code, out, errs := call(t, "status", "-admin", answering(t, c.code, c.body))
		is.Equal(code, exitFailed)
		is.Equal(out, "")
		is.True(strings.Contains(errs, c.want))
	}
	t.Setenv("PRIMROSETHREAD_ADMIN", answering(t, 200, " {\"b\":1, \"a\":2}\n"))
	code, out, _ := call(t, "status", "-json")
	is.Equal(code, exitOK)
	is.Equal(out, "{\"b\":1, \"a\":2}\n")
}
