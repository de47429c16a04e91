package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// This file starts and stops the processes. Each is stopped on every way out of
// the demo. The kernel also kills them if the demo itself is killed: their
// parent-death signal is bound to the thread that started them, so one
// goroutine keeps its thread, starts them all and lives until the last is gone.

const (
	stopNodes   = 12 * time.Second // for requests in flight
	stopOthers  = 3 * time.Second
	nodeDrain   = "8s" // shorter than stopNodes
	logTailSize = 2000
)

// process is one started process.
type process struct {
	name string
	node bool
	log  string
	cmd  *exec.Cmd
	end  chan struct{} // closed after the process ended
	err  error         // of Wait; read after end
}

// processes holds all processes of a fleet.
type processes struct {
	all    []*process
	died   chan *process // first process that ended by itself
	orders chan func()   // run by the goroutine that keeps its thread
	closed chan struct{} // closed when that goroutine ended
	ended  bool          // stop was called
}

// start starts the platform, the servers and the nodes. The result is to be
// stopped even if there is an error.
func start(ctx context.Context, bin string, d *deployment) (*processes, error) {
	g := &processes{died: make(chan *process, 1), orders: make(chan func()), closed: make(chan struct{})}
	go func() {
		defer close(g.closed)
		runtime.LockOSThread()
		for f := range g.orders {
			f()
		}
	}()
	standin, node := filepath.Join(bin, "standin"), filepath.Join(bin, "primrosethread")
	err := g.start(ctx, d, "platform", false, standin, "platform", "-listen", d.platform.String(), "-folder", d.documents)
	for _, h := range d.hosts {
		if err == nil {
			err = g.start(ctx, d, "server-"+string(h.Name), false, standin, "server", "-listen", h.server.String(),
				"-control-listen", h.control.String(), "-slots", fmt.Sprint(h.service.slots), "-connections", fmt.Sprint(h.service.connections))
		}
	}
	for i, h := range d.hosts {
		if err == nil {
			err = g.start(ctx, d, "node-"+string(h.Name), true, node, append([]string{"node"}, d.nodeFlags(i)...)...)
		}
	}
	return g, err
}

// nodeFlags returns the settings of the node of a host.
func (d *deployment) nodeFlags(i int) []string {
	h := d.hosts[i]
	var costs []string
	for i, a := range d.fleet.centres {
		for _, b := range d.fleet.centres[:i] {
			costs = append(costs, fmt.Sprintf("%s/%s=%s", a, b, d.fleet.cost))
		}
	}
	seed := d.hosts[(i+1)%len(d.hosts)]
	return []string{"-name", string(h.Name), "-data-centre", string(h.DataCentre), "-listen", h.Address.String(),
		"-admin-listen", h.admin.String(), "-server", h.server.String(), "-platform", d.platform.String(),
		"-seeds", fmt.Sprintf("%s=%s", seed.Name, seed.Address), "-fleet-key-file", d.keyFile,
		"-costs", strings.Join(costs, ","), "-drain-timeout", nodeDrain, "-log-format", "text"}
}

// start starts one process.
func (g *processes) start(ctx context.Context, d *deployment, name string, node bool, path string, args ...string) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	p := &process{name: name, node: node, log: filepath.Join(d.folder, name+".log"), end: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(path, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The settings of the shell that runs the demo must not reach the nodes.
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "PRIMROSETHREAD_") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	// A group of its own keeps the terminal's interrupt from the process, which
	// is stopped in order instead.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	g.orders <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("%w; build the binaries with make build and name their folder with -bin", err)
	}
	g.all = append(g.all, p)
	go func() {
		p.err = p.cmd.Wait()
		close(p.end)
		select {
		case g.died <- p:
		default:
		}
	}()
	return nil
}

// while runs f and cancels it if a process ends meanwhile.
func (g *processes) while(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := make(chan error, 1)
	go func() { end <- f(ctx) }()
	select {
	case err := <-end:
		return err
	case p := <-g.died:
		err := fmt.Errorf("%s ended by itself (%v); the end of its log:\n%s", p.name, p.cmd.ProcessState, p.tail())
		cancel(err)
		<-end
		return err
	}
}

// stop stops the nodes, then the others, and returns an error if a node did not
// end with status 0. A second call does nothing.
func (g *processes) stop() error {
	if g.ended {
		return nil
	}
	g.ended = true
	var errs []error
	for _, step := range []struct {
		nodes bool
		wait  time.Duration
	}{{true, stopNodes}, {false, stopOthers}} {
		for _, p := range g.all {
			if p.node == step.nodes {
				p.cmd.Process.Signal(syscall.SIGTERM)
			}
		}
		after := time.After(step.wait)
		for _, p := range g.all {
			if p.node != step.nodes {
				continue
			}
			select {
			case <-p.end:
			case <-after:
				after = time.After(0) // the next ones have had their time too
				p.cmd.Process.Kill()
				<-p.end
			}
			if p.node && p.err != nil {
				errs = append(errs, fmt.Errorf("%s did not stop with status 0 (%v); the end of its log:\n%s", p.name, p.cmd.ProcessState, p.tail()))
			}
		}
	}
	close(g.orders)
	<-g.closed
	if len(errs) > 3 {
		errs = append(errs[:3], fmt.Errorf("and %d more", len(errs)-3))
	}
	return errors.Join(errs...)
}

// tail returns the end of the log of a process.
func (p *process) tail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTailSize):])
}
