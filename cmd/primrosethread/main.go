// Command primrosethread is a load balancer node and its tools.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of the commands.
const (
	exitOK     = 0
	exitFailed = 1 // the command ran and the result is bad
	exitUsage  = 2 // the command was not understood
)

// command is one row of the table of commands. It runs until it is done or the
// context ends, and returns the exit status.
type command struct {
	name, args, help string
	run              func(ctx context.Context, args []string, out, errs io.Writer) int
}

var commands = []command{
	{"node", "[flags]", "run the node of this host", runNode},
	{"mesh", "[flags]", "run the node of this host on the users' platform", runMesh},
	{"check", "<folder>", "check a folder of documents before they are published", check},
	{"status", "-admin <address>", "show the state of a node", status},
	{"version", "", "print the version", printVersion},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the command that the first argument names.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	for _, c := range commands {
		if len(args) > 0 && args[0] == c.name {
			return c.run(ctx, args[1:], out, errs)
		}
	}
	fmt.Fprintln(errs, "usage: primrosethread command")
	for _, c := range commands {
		fmt.Fprintf(errs, "  %-28s %s\n", c.name+" "+c.args, c.help)
	}
	return exitUsage
}
