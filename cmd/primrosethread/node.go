package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/primrosethread/primrosethread/config"
	"github.com/primrosethread/primrosethread/node"
)

// gcPercent lets the heap grow further between collections than the default.
// A node's live heap is small, and collections show in the tail of the added
// latency.
const gcPercent = 400

// runNode runs a node until SIGTERM or SIGINT.
func runNode(args []string, out io.Writer) int {
	settings, err := config.ParseNode(args, os.LookupEnv, out)
	if errors.Is(err, flag.ErrHelp) {
		return 2
	}
	if err != nil {
		fmt.Fprintln(out, "primrosethread node:", err)
		return 2
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.New(node.Config{Settings: *settings, Logger: logger(settings, out), Version: version})
	if err != nil {
		fmt.Fprintln(out, "primrosethread node:", err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := n.Run(ctx); err != nil {
		fmt.Fprintln(out, "primrosethread node:", err)
		return 1
	}
	return 0
}

func logger(s *config.Node, out io.Writer) *slog.Logger {
	o := &slog.HandlerOptions{Level: s.LogLevel}
	var h slog.Handler = slog.NewJSONHandler(out, o)
	if s.LogFormat == "text" {
		h = slog.NewTextHandler(out, o)
	}
	return slog.New(h).With("Host", s.Name)
}
