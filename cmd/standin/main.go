// Command standin runs stand-ins for the systems around primrosethread: the
// platform's configuration service and a server. Both have switches for the
// faults that the real ones show.
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

// commands is the table of subcommands. Each parses its arguments and runs
// until the context ends.
var commands = []struct {
	name, help string
	run        func(ctx context.Context, args []string, out io.Writer) error
}{
	{"platform", "serve the documents of a folder as the configuration service does", runPlatform},
	{"server", "serve requests as a server of a service does", runServer},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stderr))
}

// run returns the exit status: 0 after a planned stop, 1 after a failure, 2
// after wrong usage.
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
	fmt.Fprintln(out, "usage: standin command [flags]")
	for _, c := range commands {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.help)
	}
	return 2
}

// newFlags returns a flag set that reports errors instead of exiting.
func newFlags(name string, out io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("standin "+name, flag.ContinueOnError)
	fs.SetOutput(out)
	return fs
}

// listener is a listener with the handler that serves it.
type listener struct {
	net.Listener
	handler http.Handler
}

// serve serves until the context ends and then waits up to drain for requests
// in flight.
func serve(ctx context.Context, drain time.Duration, log *slog.Logger, ls ...listener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range ls {
		// BaseContext stays out of ctx, so that a planned stop cuts no request off.
		s := &http.Server{Handler: l.handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 5 * time.Minute,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
		g.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			end, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
			defer cancel()
			if err := s.Shutdown(end); err != nil {
				return errors.Join(err, s.Close())
			}
			return nil
		})
	}
	return g.Wait()
}

// writeJSON answers with a JSON value.
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
