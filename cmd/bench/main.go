// Command bench measures parts of primrosethread. Each measurement is a
// subcommand with its own flags.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
)

var commands = map[string]func(ctx context.Context, args []string) error{
	"spread": spread,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	names := slices.Sorted(maps.Keys(commands))
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: bench COMMAND [FLAGS]; commands: %v\n", names)
		os.Exit(2)
	}
	if err := commands[os.Args[1]](ctx, os.Args[2:]); err != nil {
		fmt.Fprintf(os.Stderr, "bench %s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}
