package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file starts and stops the processes. The kernel kills them if their parent
// is killed: they set a parent-death signal. The signal is bound to the thread
// that started them, so a single goroutine, locked to its OS thread, starts all
// processes and lives until the last one has exited.

// Timeouts of a planned stop, and the length of the log excerpt in errors.
const (
	nodeStopTimeout  = 12 * time.Second // leaves time for requests in flight
	otherStopTimeout = 3 * time.Second
	logTailBytes     = 2000
)

// Process is one process of a fleet.
type Process struct {
	name         string
	isNode       bool
	logPath      string
	cmd          *exec.Cmd
	ended        chan struct{}
	err          error
	exitExpected atomic.Bool // set by Stop and Kill
}

// processGroup starts, tracks and stops the processes of a fleet.
type processGroup struct {
	startFuncs     chan func()   // executed by the thread-locked goroutine
	starterDone    chan struct{} // closed when that goroutine returns
	unexpectedExit chan *Process // the first process that exited unexpectedly

	mu      sync.Mutex
	all     []*Process
	stopped bool
}

func newProcessGroup() *processGroup {
	g := &processGroup{startFuncs: make(chan func()), starterDone: make(chan struct{}), unexpectedExit: make(chan *Process, 1)}
	go func() {
		defer close(g.starterDone)
		runtime.LockOSThread()
		for f := range g.startFuncs {
			f()
		}
	}()
	return g
}

// startProcess starts a program and appends its output to a log file.
func (f *Fleet) startProcess(name, program string, args ...string) (*Process, error) {
	p := &Process{name: name, isNode: program == nodeProgram, logPath: filepath.Join(f.config.Folder, name+".log"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(f.config.Bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Settings in the environment of the caller must not reach the nodes.
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "PRIMROSETHREAD_") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	p.cmd.Env = append(p.cmd.Env, "PRIMROSETHREAD_FLEET_KEY="+f.key)
	// In a process group of its own, the process does not receive SIGINT from the
	// terminal; Stop and Close end the processes in order instead.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return p, f.processes.start(p)
}

func (g *processGroup) start(p *Process) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return errors.New("the fleet is closed")
	}
	started := make(chan error)
	g.startFuncs <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("%w; build the binaries with make build and name their folder with -bin", err)
	}
	g.all = append(g.all, p)
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
		if !p.exitExpected.Load() {
			select {
			case g.unexpectedExit <- p:
			default:
			}
		}
	}()
	return nil
}

// stop ends all processes. If graceful is set, it first stops the nodes and then
// the others, each with a timeout. It kills those that still run. The error names
// nodes that did not exit with status 0 in the planned stop; nodes that had
// already exited after Stop or Kill are not checked. A second call does nothing.
func (g *processGroup) stop(graceful bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	g.stopped = true
	var errs []error
	for _, step := range []struct {
		nodes bool
		limit time.Duration
	}{{true, nodeStopTimeout}, {false, otherStopTimeout}} {
		if graceful {
			errs = append(errs, g.stopGracefully(step.nodes, step.limit)...)
		}
	}
	for _, p := range g.all {
		p.Kill()
		<-p.ended
	}
	close(g.startFuncs)
	<-g.starterDone
	if len(errs) > 3 {
		errs = append(errs[:3], fmt.Errorf("and %d more", len(errs)-3))
	}
	return errors.Join(errs...)
}

// stopGracefully stops the nodes, or the other processes, and kills those that
// still run after the limit.
func (g *processGroup) stopGracefully(nodes bool, limit time.Duration) (errs []error) {
	var stopping []*Process
	for _, p := range g.all {
		select {
		case <-p.ended:
			if p.exitExpected.Load() {
				continue
			}
		default:
		}
		if p.isNode == nodes {
			p.Thaw()
			p.Stop()
			stopping = append(stopping, p)
		}
	}
	timeout := time.After(limit)
	for _, p := range stopping {
		select {
		case <-p.ended:
		case <-timeout:
			timeout = time.After(0) // the timeout is shared: the remaining processes have used it up too
			p.Kill()
			<-p.ended
		}
		if p.isNode && p.err != nil {
			errs = append(errs, fmt.Errorf("%s did not stop with status 0 (%v); the end of its log:\n%s", p.name, p.err, p.logTail()))
		}
	}
	return errs
}

// logTail returns the end of the process's log.
func (p *Process) logTail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailBytes):])
}

// exitError reports an unexpected exit.
func (p *Process) exitError() error {
	return fmt.Errorf("%s exited unexpectedly (%v); the end of its log:\n%s", p.name, p.cmd.ProcessState, p.logTail())
}

// Ended returns a channel that is closed when the process has exited.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns the error of exec.Cmd.Wait, nil for status 0; call it only after
// the channel of Ended is closed.
func (p *Process) Err() error { return p.err }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Stop begins a planned stop of the process (SIGTERM).
func (p *Process) Stop() {
	p.exitExpected.Store(true)
	p.cmd.Process.Signal(syscall.SIGTERM)
}

// Kill ends the process at once (SIGKILL).
func (p *Process) Kill() {
	p.exitExpected.Store(true)
	p.cmd.Process.Kill()
}

// Freeze suspends the process until Thaw (SIGSTOP).
func (p *Process) Freeze() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() { p.cmd.Process.Signal(syscall.SIGCONT) }
