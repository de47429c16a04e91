// Command bench runs the project's measurements.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
)

// commands are the measurements by name. Each parses its own flags.
var commands = map[string]func(ctx context.Context, args []string) error{
	"calls":    calls,
	"capacity": runCapacity,
	"dispatch": dispatch,
	"latency":  runLatency,
	"move":     runMove,
	"policy":   policy,
	"spread":   spread,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		names := slices.Sorted(maps.Keys(commands))
		fmt.Fprintln(os.Stderr, "usage: bench", strings.Join(names, "|"), "[flags]")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](ctx, os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
