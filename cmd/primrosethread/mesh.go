package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/primrosethread/primrosethread/config"
	"github.com/primrosethread/primrosethread/logs"
	"github.com/primrosethread/primrosethread/memory"
	"github.com/primrosethread/primrosethread/mesh"
	"github.com/primrosethread/primrosethread/platform"
)

// runMesh runs the mesh command: a node on the users' platform, until the context
// is cancelled. SIGHUP is passed on to the node.
func runMesh(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	flags := flag.NewFlagSet("mesh", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(platform.PathVariable), "path of the settings file; default from "+platform.PathVariable)
	level := slog.LevelInfo
	flags.TextVar(&level, "log-level", level, "minimum level of log lines: DEBUG, INFO, WARN or ERROR")
	linesPerSecond := flags.Int("log-lines", 200, "maximum number of log lines per second")
	port := flags.Uint("metrics-port", 0, "port of /metrics, /status and /debug/vars on the host's address; 0 disables them")
	if err := config.SetFromEnv(flags, os.LookupEnv); err != nil {
		fmt.Fprintln(stderr, "primrosethread mesh:", err)
		return exitUsage
	}
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) || err != nil {
		return exitUsage
	}
	if *port > math.MaxUint16 || *linesPerSecond < 1 {
		fmt.Fprintf(stderr, "primrosethread mesh: -metrics-port %d or -log-lines %d is out of range; give a port up to %d and at least one line\n", *port, *linesPerSecond, math.MaxUint16)
		return exitUsage
	}
	settings, err := platform.ReadSettings(*path)
	if err != nil {
		fmt.Fprintln(stderr, "primrosethread mesh:", err)
		return exitUsage
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && settings.MemoryMB > 0 {
		debug.SetMemoryLimit(memory.GoLimit(settings.MemoryMB << 20))
	}
	writer := logs.New(logs.Config{Out: stdout, PerSecond: *linesPerSecond})
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	writerDone := writer.Run(writerCtx)
	defer func() {
		stopWriter()
		<-writerDone
	}()
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level, ReplaceAttr: formatDurations})).With("Host", settings.Host)
	n, err := mesh.New(mesh.Config{Settings: *settings, Path: *path, MetricsPort: uint16(*port), Reload: sighup, Logger: logger, Version: version})
	if err == nil {
		err = n.Run(ctx)
	}
	if err != nil {
		logger.Error("node stopped with an error", "Error", err)
		return exitFailed
	}
	return exitOK
}

// formatDurations writes durations as text with a unit, rounded to 10 µs.
func formatDurations(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().Round(10 * time.Microsecond).String())
	}
	return a
}
