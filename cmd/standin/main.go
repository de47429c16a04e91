// Command standin runs simulated versions of the systems around primrosethread:
// the platform's configuration service and a server. Both can simulate faults of
// the real systems, which are set over HTTP at /fault.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// commands are the subcommands. Each parses its arguments and runs until the
// context is cancelled.
var commands = []struct {
	name, help string
	run        func(ctx context.Context, args []string, out io.Writer) error
}{
	{"platform", "run a simulated configuration service that serves the documents of a folder", runPlatform},
	{"server", "run a simulated server of a service", runServer},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run runs the subcommand that the first argument names. It returns the exit
// status: 0 after a planned stop, 1 after a failure, 2 after invalid usage.
func run(ctx context.Context, args []string, out io.Writer) int {
	for _, c := range commands {
		if len(args) == 0 || args[0] != c.name {
			continue
		}
		err := c.run(ctx, args[1:], out)
		switch {
		case err == nil:
			return 0
		case errors.Is(err, flag.ErrHelp):
			return 2
		}
		fmt.Fprintf(out, "standin %s: %v\n", c.name, err)
		return 1
	}
	fmt.Fprintln(out, "usage: standin <command> [flags]")
	for _, c := range commands {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.help)
	}
	return 2
}

// newFlags returns a flag set that returns errors instead of exiting.
func newFlags(name string, out io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("standin "+name, flag.ContinueOnError)
	fs.SetOutput(out)
	return fs
}

// endpoint is a listener with its HTTP handler.
type endpoint struct {
	net.Listener
	handler http.Handler
}

// serve serves the endpoints until the context is cancelled, and then waits up to
// drainTimeout for requests in flight.
func serve(ctx context.Context, drainTimeout time.Duration, log *slog.Logger, endpoints ...endpoint) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range endpoints {
		// BaseContext is not set to ctx, so that a planned stop does not cancel
		// requests in flight.
		srv := &http.Server{Handler: e.handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Minute,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
		g.Go(func() error {
			if err := srv.Serve(e); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
			defer cancel()
			if err := srv.Shutdown(shutdownCtx); err != nil {
				return errors.Join(err, srv.Close())
			}
			return nil
		})
	}
	return g.Wait()
}

// writeJSON writes a response with the given status and v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(b, '\n'))
}
