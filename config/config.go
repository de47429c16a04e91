// Package config parses and validates all external input: the published
// documents and the settings of a process. Nothing is used before it has been
// validated, and every error names the place, the value and the remedy.
package config

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package. A validation error wraps a
// Findings value, which errors.As can extract.
var Error = errs.Class("config")

// maxFindings limits the findings of one check, since a wrongly generated
// document can contain thousands of faults of the same kind.
const maxFindings = 100

// maxShownBytes is the length to which an invalid value is truncated in a
// finding.
const maxShownBytes = 80

// Finding describes one invalid value.
type Finding struct {
	Place   string // for example Plans.Customers[3].Credentials[0] or the name of a flag
	Value   string // the invalid value, truncated; secrets are omitted
	Problem string // what is wrong with the value
	Remedy  string // what to write instead
}

// String formats the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s %s; %s", f.Place, f.Value, f.Problem, f.Remedy)
}

// Findings is an error that lists invalid values in the order of the document.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// err returns the findings as an error of class Error, or nil if there are none.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	return Error.Wrap(f)
}

// add appends a finding unless there are already maxFindings. The place is
// passed as a format and its arguments, so that checks that pass, which most
// do, format nothing.
func (f *Findings) add(value any, problem, remedy, place string, args ...any) {
	if len(*f) >= maxFindings {
		return
	}
	*f = append(*f, Finding{
		Place:   fmt.Sprintf(place, args...),
		Value:   formatValue(value),
		Problem: problem,
		Remedy:  remedy,
	})
}

// description stands in a finding for a value that is described, not quoted.
type description string

// formatValue formats an invalid value for a finding. Strings are quoted so
// that spaces and control characters are visible and cannot forge log lines.
func formatValue(value any) string {
	var s string
	switch v := value.(type) {
	case description:
		return string(v)
	case float64, int, bool:
		return fmt.Sprint(v)
	case fmt.Stringer:
		s = v.String()
	default:
		s = fmt.Sprint(v)
	}
	if len(s) > maxShownBytes {
		return fmt.Sprintf("%q...", s[:maxShownBytes])
	}
	return fmt.Sprintf("%q", s)
}
