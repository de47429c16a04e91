// Package logs writes structured logs without ever blocking the caller, and
// bounds their volume.
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
	// Queue is the number of lines that may wait to be written; 0 means 1024.
	Queue int
	// PerSecond bounds the lines of a second; 0 means 200.
	PerSecond int
}

// flushEvery is how long a line may wait, so that many go in one write.
const flushEvery = 100 * time.Millisecond

// Writer passes lines on in the background. Lines that exceed a bound are
// dropped and counted.
type Writer struct {
	c       Config
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64 // the current one
	written atomic.Int64 // lines in it
}

// New returns a Writer. Run has to be called for it to write.
func New(c Config) *Writer {
	if c.Queue == 0 {
		c.Queue = 1024
	}
	if c.PerSecond == 0 {
		c.PerSecond = 200
	}
	return &Writer{c: c, lines: make(chan []byte, c.Queue)}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if old := w.second.Load(); old != now && w.second.CompareAndSwap(old, now) {
		w.written.Store(0)
	}
	if w.written.Add(1) > int64(w.c.PerSecond) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, then what is left, and sends on the
// channel.
func (w *Writer) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		var reported int64
		for {
			select {
			case line := <-w.lines:
				w.flush(line)
			case <-ctx.Done():
				w.flush(nil)
				ended <- nil
				return
			}
			if n := w.dropped.Load(); n > reported {
				slog.New(slog.NewJSONHandler(w.c.Out, nil)).Warn("log lines dropped", "Lines", n-reported, "Total", n)
				reported = n
			}
			select {
			case <-time.After(flushEvery):
			case <-ctx.Done():
			}
		}
	}()
	return ended
}

// flush writes the line and those that wait, in one go.
func (w *Writer) flush(b []byte) {
	for {
		select {
		case line := <-w.lines:
			b = append(b, line...)
			continue
		default:
		}
		break
	}
	if len(b) > 0 {
		// There is nowhere to report a failed write of the log.
		_, _ = w.c.Out.Write(b)
	}
}
