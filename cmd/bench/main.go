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

// commands maps each measurement's name to its function, which parses its own flags.
var commands = map[string]func(ctx context.Context, args []string) error{
	"calls":    runCalls,
	"capacity": runCapacity,
	"dispatch": runDispatch,
	"latency":  runLatency,
	"move":     runMove,
	"policy":   runPolicy,
	"spread":   runSpread,
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
