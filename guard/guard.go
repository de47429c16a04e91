// Package guard keeps an unexpected error in one part of the process from ending all of
// it.
package guard

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
)

// Guard contains panics, and logs and counts them. It is safe for concurrent use.
type Guard struct {
	log      *slog.Logger
	panicked atomic.Int64
}

// New returns a Guard.
func New(log *slog.Logger) *Guard { return &Guard{log: log} }

// Panics returns the number of panics that were contained.
func (g *Guard) Panics() int64 { return g.panicked.Load() }

// Run calls f and returns its error, or an error if f panics. The caller has to give up
// what f may have changed in part.
func (g *Guard) Run(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			g.panicked.Add(1)
			g.log.Error("internal error; the process goes on", "Panic", v, "Stack", string(debug.Stack()), "Remedy", "report it with this line")
			err = fmt.Errorf("internal error: %v; see the log", v)
		}
	}()
	return f()
}
