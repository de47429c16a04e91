// Package config reads and checks everything that comes from outside: the
// published documents and the settings of a process. Nothing is used before it
// is checked, and every refusal names the place, the value and the remedy.
package config

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package. The cause of an error that
// comes from checks is a Findings value, which errors.As finds.
var Error = errs.Class("config")

// maxFindings bounds what one check reports, since a document that was
// generated wrongly can hold thousands of faults of the same kind.
const maxFindings = 100

// maxShown is the number of bytes of a refused value that a finding repeats.
const maxShown = 80

// Finding is one refused value.
type Finding struct {
	Place   string // such as Plans.Customers[3].Credentials[0], or a flag's name
	Value   string // the refused value, shortened; secrets are left out
	Problem string // what is wrong with it
	Remedy  string // what to write instead
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s %s; %s", f.Place, f.Value, f.Problem, f.Remedy)
}

// Findings is an error that lists refused values in the order of the document.
type Findings []Finding

// Error returns the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// err returns the findings as an error of the package's class, or nil if there
// are none.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	return Error.Wrap(f)
}

// add appends a finding unless the bound is reached. The place is a format and
// its arguments, formatted only here because most checks pass.
func (f *Findings) add(value any, problem, remedy, place string, args ...any) {
	if len(*f) >= maxFindings {
		return
	}
	*f = append(*f, Finding{
		Place:   fmt.Sprintf(place, args...),
		Value:   show(value),
		Problem: problem,
		Remedy:  remedy,
	})
}

// unshown is a value that findings describe but do not repeat.
type unshown string

// show formats a refused value. Strings are quoted, so that spaces and control
// characters in them are visible and cannot forge log lines.
func show(value any) string {
	var s string
	switch v := value.(type) {
	case unshown:
		return string(v)
	case float64, int, bool:
		return fmt.Sprint(v)
	case fmt.Stringer:
		s = v.String()
	default:
		s = fmt.Sprint(v)
	}
	if len(s) > maxShown {
		return fmt.Sprintf("%q...", s[:maxShown])
	}
	return fmt.Sprintf("%q", s)
}
