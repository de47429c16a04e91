package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/primrosethread/primrosethread/config"
	"github.com/primrosethread/primrosethread/node"
)

// gcPercent lets the heap grow further between collections than the default.
// A node's live heap is small, and collections show in the tail of the added
// latency.
const gcPercent = 400

// runNode runs a node until the context ends.
func runNode(ctx context.Context, args []string, out, errs io.Writer) int {
	settings, err := config.ParseNode(args, os.LookupEnv, out)
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errs, "primrosethread node:", err)
		return exitUsage
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.New(node.Config{Settings: *settings, Logger: logger(settings, errs), Version: version})
	if err != nil {
		fmt.Fprintln(errs, "primrosethread node:", err)
		return exitFailed
	}
	if err := n.Run(ctx); err != nil {
		fmt.Fprintln(errs, "primrosethread node:", err)
		return exitFailed
	}
	return exitOK
}

func logger(s *config.Node, out io.Writer) *slog.Logger {
	o := &slog.HandlerOptions{Level: s.LogLevel}
	var h slog.Handler = slog.NewJSONHandler(out, o)
	if s.LogFormat == "text" {
		h = slog.NewTextHandler(out, o)
	}
	return slog.New(h).With("Host", s.Name)
}
