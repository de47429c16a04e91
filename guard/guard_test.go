package guard

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a panic that ends the process, or that leaves no trace of its cause.
func TestRun(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	g := New(slog.New(slog.NewTextHandler(&lines, nil)))
	is.NoErr(g.Run(func() error { return nil }))
	failed := errors.New("failed")
	is.Equal(g.Run(func() error { return failed }), failed)
	is.Equal(g.Panics(), int64(0))
	err := g.Run(func() error {
		var none *Guard
		none.panicked.Add(1)
		return nil
	})
	is.True(err != nil)
	is.Equal(g.Panics(), int64(1))
	is.True(strings.Contains(lines.String(), "nil pointer") && strings.Contains(lines.String(), "guard_test.go"))
}
