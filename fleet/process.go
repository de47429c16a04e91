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

// This file starts and ends the processes. The kernel kills them if their
// starter is killed: their parent-death signal is bound to the thread that
// started them, so one goroutine keeps its thread, starts them all and lives
// until the last is gone.

// Bounds on the end of processes that were asked to stop.
const (
	stopNodes   = 12 * time.Second // for requests in flight
	stopOthers  = 3 * time.Second
	logTailSize = 2000
)

// Process is one process of a fleet.
type Process struct {
	name  string
	node  bool
	log   string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
	meant atomic.Bool // its end was asked for
}

// processes holds all processes of a fleet.
type processes struct {
	starts chan func()   // run by the goroutine that keeps its thread
	closed chan struct{} // closed when that goroutine ended
	died   chan *Process // the first process that ended by itself

	mu   sync.Mutex
	all  []*Process
	shut bool
}

func newProcesses() *processes {
	g := &processes{starts: make(chan func()), closed: make(chan struct{}), died: make(chan *Process, 1)}
	go func() {
		defer close(g.closed)
		runtime.LockOSThread()
		for f := range g.starts {
			f()
		}
	}()
	return g
}

// run starts a program with its output in a log file.
func (f *Fleet) run(name, program string, args ...string) (*Process, error) {
	p := &Process{name: name, node: program == nodeProgram, log: filepath.Join(f.c.Folder, name+".log"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(f.c.Bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The settings of the shell that starts the fleet must not reach the nodes.
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "PRIMROSETHREAD_") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	p.cmd.Env = append(p.cmd.Env, "PRIMROSETHREAD_FLEET_KEY="+f.key)
	// A group of its own keeps the terminal's interrupt from the process, which
	// is stopped in order instead.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return p, f.processes.start(p)
}

func (g *processes) start(p *Process) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return errors.New("the fleet is closed")
	}
	started := make(chan error)
	g.starts <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("%w; build the binaries with make build and name their folder with -bin", err)
	}
	g.all = append(g.all, p)
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
		if !p.meant.Load() {
			select {
			case g.died <- p:
			default:
			}
		}
	}()
	return nil
}

// stop stops the nodes, then the others, kills what has not ended after a
// while, and returns an error if a node did not end with status 0. Processes
// that ended before are not judged. A second call does nothing.
func (g *processes) stop(patient bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return nil
	}
	g.shut = true
	var errs []error
	for _, step := range []struct {
		nodes bool
		wait  time.Duration
	}{{true, stopNodes}, {false, stopOthers}} {
		if patient {
			errs = append(errs, g.stopSome(step.nodes, step.wait)...)
		}
	}
	for _, p := range g.all {
		p.Kill()
		<-p.ended
	}
	close(g.starts)
	<-g.closed
	if len(errs) > 3 {
		errs = append(errs[:3], fmt.Errorf("and %d more", len(errs)-3))
	}
	return errors.Join(errs...)
}

func (g *processes) stopSome(nodes bool, wait time.Duration) (errs []error) {
	var asked []*Process
	for _, p := range g.all {
		select {
		case <-p.ended:
			if p.meant.Load() {
				continue
			}
		default:
		}
		if p.node == nodes {
			p.Thaw()
			p.Stop()
			asked = append(asked, p)
		}
	}
	after := time.After(wait)
	for _, p := range asked {
		select {
		case <-p.ended:
		case <-after:
			after = time.After(0) // the next ones have had their time too
			p.Kill()
			<-p.ended
		}
		if p.node && p.err != nil {
			errs = append(errs, fmt.Errorf("%s did not stop with status 0 (%v); the end of its log:\n%s", p.name, p.err, p.tail()))
		}
	}
	return errs
}

// tail returns the end of the log.
func (p *Process) tail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailSize):])
}

// describe tells how the process ended by itself.
func (p *Process) describe() error {
	return fmt.Errorf("%s ended by itself (%v); the end of its log:\n%s", p.name, p.cmd.ProcessState, p.tail())
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended; call it after Ended is closed.
func (p *Process) Err() error { return p.err }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Stop asks the process to stop, as on a planned stop.
func (p *Process) Stop() {
	p.meant.Store(true)
	p.cmd.Process.Signal(syscall.SIGTERM)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.meant.Store(true)
	p.cmd.Process.Kill()
}

// Freeze pauses the process until Thaw.
func (p *Process) Freeze() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.cmd.Process.Signal(syscall.SIGCONT) }
