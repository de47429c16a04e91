package peers

import (
	"context"
	"time"
)

// Calls run on goroutines that are reused. A new goroutine for each call would
// have to grow its stack every time, which took a seventh of the processor time
// of a node.

const (
	// maxWorkers is the maximum number of calls in progress on all links.
	maxWorkers = 16384
	// workerIdleTimeout is how long a goroutine waits for the next call before
	// it ends.
	workerIdleTimeout = 10 * time.Second
)

// workerPool runs functions on reused goroutines.
type workerPool struct {
	ctx  context.Context
	jobs chan func()
	// workerSem is a semaphore that each goroutine holds one unit of; see
	// Peers.linkSem.
	workerSem chan struct{}
}

func newWorkerPool(ctx context.Context) *workerPool {
	return &workerPool{ctx: ctx, jobs: make(chan func()), workerSem: make(chan struct{}, maxWorkers)}
}

// runJob runs job on an idle goroutine or a new one. It returns false, and does
// not run job, if maxWorkers goroutines are busy.
func (w *workerPool) runJob(job func()) bool {
	select {
	case w.jobs <- job:
		return true
	default:
	}
	select {
	case w.workerSem <- struct{}{}:
	default:
		return false
	}
	go w.runWorker(w.ctx, job)
	return true
}

// runWorker runs job and then further jobs until it has been idle for
// workerIdleTimeout or the context ends.
func (w *workerPool) runWorker(ctx context.Context, job func()) {
	defer func() { <-w.workerSem }()
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		job()
		idle.Reset(workerIdleTimeout)
		select {
		case job = <-w.jobs:
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// wait waits for all goroutines to end. The pool's context must have ended.
func (w *workerPool) wait() {
	for range cap(w.workerSem) {
		w.workerSem <- struct{}{}
	}
}
