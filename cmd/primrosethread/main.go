// Command primrosethread is a load balancer node and its tools.
package main

import (
	"fmt"
	"os"
)

// version is set by the linker for releases.
var version = "development"

func main() {
	if len(os.Args) == 2 && os.Args[1] == "version" {
		fmt.Println("primrosethread", version)
		return
	}
	fmt.Fprintln(os.Stderr, "usage: primrosethread version")
	os.Exit(2)
}
