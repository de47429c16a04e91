// Command primrosethread is a load balancer node and its tools.
package main

import (
	"fmt"
	"io"
	"os"
)

// version is set by the linker for releases.
var version = "development"

// commands is the table of subcommands. Each returns the exit status.
var commands = []struct {
	name, help string
	run        func(args []string, out io.Writer) int
}{
	{"node", "run the node of this host", runNode},
	{"version", "print the version", func([]string, io.Writer) int {
		fmt.Println("primrosethread", version)
		return 0
	}},
}

func main() {
	if len(os.Args) > 1 {
		for _, c := range commands {
			if c.name == os.Args[1] {
				os.Exit(c.run(os.Args[2:], os.Stderr))
			}
		}
	}
	fmt.Fprintln(os.Stderr, "usage: primrosethread command [flags]")
	for _, c := range commands {
		fmt.Fprintf(os.Stderr, "  %-8s %s\n", c.name, c.help)
	}
	os.Exit(2)
}
