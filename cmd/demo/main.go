// Command demo starts a fleet of processes on the loopback interface, sends it a
// mixed load, and checks the outcomes against the servers' ledgers: no request that
// must run once ran twice, and no request with the outcome NotRun ran.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// runTimeout limits a run up to the stop of its processes. The stop takes up to 15 s
// more, so the demo always ends within 60 s.
const runTimeout = 42 * time.Second

// settings holds the flags.
type settings struct {
	bin, fleet string
	length     time.Duration // duration of the load
	rate       int           // requests per second
	repeats    float64       // fraction of keyed requests that are sent twice
	keep       bool          // keep the folder with documents and logs
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout)
	stop()
	os.Exit(code)
}

// run parses the flags, runs the demo and returns the exit status.
func run(ctx context.Context, args []string, out io.Writer) int {
	var s settings
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&s.bin, "bin", "bin", "folder that holds the binaries primrosethread and standin")
	fs.StringVar(&s.fleet, "fleet", "tasmania", "fleet to start: "+strings.Join(fleetNames(), " or "))
	fs.DurationVar(&s.length, "length", 10*time.Second, "duration of the load, 1s to 20s")
	fs.IntVar(&s.rate, "rate", 400, "requests per second, 1 to 5000")
	fs.Float64Var(&s.repeats, "repeats", 0.1, "fraction of requests with an idempotency key that are sent twice, 0 to 1")
	fs.BoolVar(&s.keep, "keep", false, "keep the folder with documents and logs")
	if fs.Parse(args) != nil {
		return 2
	}
	f, ok := deployments[s.fleet]
	switch {
	case !ok:
		fmt.Fprintf(out, "-fleet: %q is not a known fleet; write one of %s\n", s.fleet, strings.Join(fleetNames(), ", "))
		return 2
	case s.length < time.Second || s.length > 20*time.Second || s.rate < 1 || s.rate > 5000 || !(s.repeats >= 0 && s.repeats <= 1) || fs.NArg() > 0:
		fmt.Fprintln(out, "write -length 1s to 20s, -rate 1 to 5000, -repeats 0 to 1, and no further arguments")
		return 2
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := runDemo(ctx, f, s, out); err != nil {
		fmt.Fprintln(out, "demo failed:", err)
		return 1
	}
	return 0
}

// runDemo starts a fleet, sends the load, stops the fleet and reports the results.
func runDemo(ctx context.Context, f deployment, s settings, out io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "primrosethread-demo-")
	if err != nil {
		return err
	}
	if s.keep {
		fmt.Fprintln(out, "documents and logs are in", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	fmt.Fprintf(out, "fleet %s: %d data centres, %d hosts, %s\n", f.name, len(f.dataCentres), f.hostCount(), f.summary())
	d, err := startFleet(ctx, s.bin, folder, f)
	if err != nil {
		return err
	}
	defer func() {
		if e := d.Stop(); e != nil && err == nil {
			err = e
		}
	}()
	if err := d.RunWhileAlive(ctx, d.waitReady); err != nil {
		return fmt.Errorf("waiting for the fleet to be ready: %w", err)
	}
	fmt.Fprintf(out, "ready; sending %d requests per second for %s\n", s.rate, s.length)
	l := newLoadGenerator(d, s.repeats)
	if err := d.RunWhileAlive(ctx, func(ctx context.Context) error { return l.run(ctx, s.rate, s.length) }); err != nil {
		return fmt.Errorf("sending the load: %w", err)
	}
	ledger, err := d.Ledger(ctx)
	if err != nil {
		return err
	}
	// Stop the nodes before the report, so that a bad exit status fails the demo.
	if err := d.Stop(); err != nil {
		return err
	}
	return l.report(out, ledger)
}

func fleetNames() []string {
	var names []string
	for n := range deployments {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
