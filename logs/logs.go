// Package logs writes structured logs without blocking the caller and limits
// their volume.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Config configures a Writer.
type Config struct {
	Out io.Writer
	// Queue is the maximum number of lines waiting to be written; 0 means 1024.
	Queue int
	// PerSecond is the maximum number of lines accepted per second; 0 means 200.
	PerSecond int
}

// flushInterval is how long lines are collected, so that one write covers many.
const flushInterval = 100 * time.Millisecond

// Writer writes lines in the background. Lines that exceed a limit are dropped
// and counted.
type Writer struct {
	config          Config
	queue           chan []byte
	dropped         atomic.Int64
	currentSecond   atomic.Int64 // Unix time
	linesThisSecond atomic.Int64
}

// New returns a Writer. It writes only while Run is active.
func New(config Config) *Writer {
	if config.Queue == 0 {
		config.Queue = 1024
	}
	if config.PerSecond == 0 {
		config.PerSecond = 200
	}
	return &Writer{config: config, queue: make(chan []byte, config.Queue)}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if previous := w.currentSecond.Load(); previous != now && w.currentSecond.CompareAndSwap(previous, now) {
		w.linesThisSecond.Store(0)
	}
	if w.linesThisSecond.Add(1) > int64(w.config.PerSecond) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run starts writing lines and returns at once. When the context ends, it writes
// the remaining lines and then sends nil on the returned channel.
func (w *Writer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		var reported int64
		for {
			select {
			case line := <-w.queue:
				w.flush(line)
			case <-ctx.Done():
				w.flush(nil)
				done <- nil
				return
			}
			if n := w.dropped.Load(); n > reported {
				slog.New(slog.NewJSONHandler(w.config.Out, nil)).Warn("log lines dropped", "Lines", n-reported, "Total", n)
				reported = n
			}
			select {
			case <-time.After(flushInterval):
			case <-ctx.Done():
			}
		}
	}()
	return done
}

// flush writes batch and all queued lines in a single write.
func (w *Writer) flush(batch []byte) {
	for {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if len(batch) > 0 {
		// A failed write of the log cannot be reported anywhere.
		_, _ = w.config.Out.Write(batch)
	}
}
