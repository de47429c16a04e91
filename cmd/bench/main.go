// Command bench holds the measurements of primrosethread, one subcommand each.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
)

// commands maps the name of a subcommand to its function.
var commands = map[string]func(ctx context.Context, args []string) error{
	"calls":    calls,
	"dispatch": dispatch,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bench <command> [flags]; commands:", slices.Sorted(maps.Keys(commands)))
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := commands[os.Args[1]](ctx, os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
