// Command soak runs nodes of the mesh as processes against simulated servers and a
// simulated platform store, injects random faults from a seed, and checks what callers
// and servers observe.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	var c config
	flag.Uint64Var(&c.seed, "seed", 1, "seed of the faults and requests")
	seeds := flag.Uint64("seeds", 1, "number of seeds to run, from -seed on")
	flag.DurationVar(&c.length, "length", 20*time.Second, "time during which one run injects faults")
	flag.IntVar(&c.hosts, "hosts", 6, "number of hosts, 4 to 200")
	flag.StringVar(&c.program, "program", "bin/primrosethread", "path of the node's program")
	flag.StringVar(&c.folder, "folder", "", "folder for settings and logs; default: a temporary one, removed after a run without violations")
	flag.IntVar(&c.network, "network", 2, "third octet of the hosts' loopback addresses, 1 to 250; concurrent runs need values that are at least two apart")
	flag.Parse()
	if c.network < 1 || c.network > 250 {
		fmt.Fprintln(os.Stderr, "soak: -network", c.network, "is out of range; give 1 to 250")
		os.Exit(2)
	}
	if c.hosts < 4 || c.hosts > 200 {
		fmt.Fprintln(os.Stderr, "soak: -hosts", c.hosts, "is out of range; give 4 to 200")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for range *seeds {
		report, err := runSeed(ctx, c)
		fmt.Printf("seed %d: %s\n", c.seed, report)
		if err != nil {
			fmt.Println(err)
			failed++
		}
		if ctx.Err() != nil {
			break
		}
		c.seed++
	}
	if failed > 0 {
		fmt.Println(failed, "seeds failed")
		os.Exit(1)
	}
}
