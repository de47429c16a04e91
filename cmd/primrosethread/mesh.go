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
	"github.com/primrosethread/primrosethread/mesh"
	"github.com/primrosethread/primrosethread/platform"
)

// runMesh runs a node on the users' platform until the context ends.
func runMesh(ctx context.Context, args []string, out, errs io.Writer) int {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	flags := flag.NewFlagSet("mesh", flag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.String("settings", os.Getenv(platform.PathVariable), "path of the settings file; default from "+platform.PathVariable)
	level := slog.LevelInfo
	flags.TextVar(&level, "log-level", level, "least level of the log lines: DEBUG, INFO, WARN or ERROR")
	perSecond := flags.Int("log-lines", 200, "most log lines per second")
	port := flags.Uint("metrics-port", 0, "port of /metrics, /status and /debug/vars on the host's address; 0 for none")
	if err := config.FromEnv(flags, os.LookupEnv); err != nil {
		fmt.Fprintln(errs, "primrosethread mesh:", err)
		return exitUsage
	}
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) || err != nil {
		return exitUsage
	}
	if *port > math.MaxUint16 || *perSecond < 1 {
		fmt.Fprintf(errs, "primrosethread mesh: -metrics-port %d or -log-lines %d is out of range; give a port up to %d and at least one line\n", *port, *perSecond, math.MaxUint16)
		return exitUsage
	}
	settings, err := platform.ReadSettings(*path)
	if err != nil {
		fmt.Fprintln(errs, "primrosethread mesh:", err)
		return exitUsage
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" && settings.MemoryMB > 0 {
		// Three quarters leave room for what is outside of the heap.
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * 3 / 4)
	}
	writer := logs.New(logs.Config{Out: out, PerSecond: *perSecond})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := writer.Run(background)
	defer func() {
		stop()
		<-ended
	}()
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level, ReplaceAttr: readable})).With("Host", settings.Host)
	n, err := mesh.New(mesh.Config{Settings: *settings, Path: *path, MetricsPort: uint16(*port), Hangup: hangup, Logger: logger, Version: version})
	if err == nil {
		err = n.Run(ctx)
	}
	if err != nil {
		logger.Error("node ended", "Error", err)
		return exitFailed
	}
	return exitOK
}

// readable writes durations with their unit.
func readable(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().Round(10 * time.Microsecond).String())
	}
	return a
}
