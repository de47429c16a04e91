package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
)

// version is set by the linker in release builds.
var version = "development"

// runVersion runs the version command.
func runVersion(_ context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 {
		fmt.Fprintln(stderr, "usage: primrosethread version")
		return exitUsage
	}
	fmt.Fprintln(stdout, "primrosethread", version, runtime.Version())
	return exitOK
}
