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

// gcPercent replaces Go's default of 100. A node's live heap is small, and garbage
// collections are visible in the tail of the added latency, so the heap may grow
// further between collections.
const gcPercent = 400

// runNode runs the node command: a node, until the context is cancelled.
func runNode(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	settings, err := config.ParseNode(args, os.LookupEnv, stdout)
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrosethread node:", err)
		return exitUsage
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.New(node.Config{Settings: *settings, Logger: newLogger(settings, stderr), Version: version})
	if err != nil {
		fmt.Fprintln(stderr, "primrosethread node:", err)
		return exitFailed
	}
	if err := n.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "primrosethread node:", err)
		return exitFailed
	}
	return exitOK
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(s *config.NodeSettings, out io.Writer) *slog.Logger {
	opts := &slog.HandlerOptions{Level: s.LogLevel}
	var h slog.Handler = slog.NewJSONHandler(out, opts)
	if s.LogFormat == "text" {
		h = slog.NewTextHandler(out, opts)
	}
	return slog.New(h).With("Host", s.Name)
}
