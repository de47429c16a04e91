// Command primrosethread runs a load balancer node, and holds the tools to
// validate documents and to show the state of a node.
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
	exitFailed = 1 // the command failed, or check has findings
	exitUsage  = 2 // invalid command, flags or settings
)

// command is a subcommand. Its function runs until it is done or the context is
// cancelled, and returns the exit status.
type command struct {
	name, args, help string
	run              func(ctx context.Context, args []string, out, errs io.Writer) int
}

var commands = []command{
	{"node", "[flags]", "run the load balancer node of this host", runNode},
	{"mesh", "[flags]", "run the load balancer node of this host on the users' platform", runMesh},
	{"check", "<folder>", "validate a folder of documents before they are published", runCheck},
	{"status", "-admin <address>", "show the state of a node", runStatus},
	{"version", "", "print the version", runVersion},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the command that the first argument names, and returns the exit
// status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	for _, c := range commands {
		if len(args) > 0 && args[0] == c.name {
			return c.run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintln(stderr, "usage: primrosethread <command> [arguments]")
	for _, c := range commands {
		fmt.Fprintf(stderr, "  %-28s %s\n", c.name+" "+c.args, c.help)
	}
	return exitUsage
}
