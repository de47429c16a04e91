package peers

import (
	"context"
	"time"
)

// Calls run on goroutines that are kept for the next call. A new goroutine for
// each call would grow its stack anew each time, which took a seventh of the
// processor time of a node.

const (
	// maxWorkers bounds the calls of all peers that are in progress.
	maxWorkers = 16384
	// workerIdle is how long a goroutine waits for the next call.
	workerIdle = 10 * time.Second
)

// workers runs functions on kept goroutines.
type workers struct {
	ctx  context.Context
	jobs chan func()
	// running holds one token for each goroutine; see Peers.running.
	running chan struct{}
}

func newWorkers(ctx context.Context) *workers {
	return &workers{ctx: ctx, jobs: make(chan func()), running: make(chan struct{}, maxWorkers)}
}

// run runs the function on a waiting goroutine or a new one; it reports false
// when there are too many.
func (w *workers) run(job func()) bool {
	select {
	case w.jobs <- job:
		return true
	default:
	}
	select {
	case w.running <- struct{}{}:
	default:
		return false
	}
	go w.work(w.ctx, job)
	return true
}

func (w *workers) work(ctx context.Context, job func()) {
	defer func() { <-w.running }()
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		job()
		idle.Reset(workerIdle)
		select {
		case job = <-w.jobs:
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// wait waits for the end of all goroutines after the context has ended.
func (w *workers) wait() {
	for range cap(w.running) {
		w.running <- struct{}{}
	}
}
