package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
)

// version is set by the linker for releases.
var version = "development"

// printVersion is the version command.
func printVersion(_ context.Context, args []string, out, errs io.Writer) int {
	if len(args) > 0 {
		fmt.Fprintln(errs, "usage: primrosethread version")
		return exitUsage
	}
	fmt.Fprintln(out, "primrosethread", version, runtime.Version())
	return exitOK
}
