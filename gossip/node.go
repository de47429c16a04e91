package gossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	prim "github.com/primrosethread/primrosethread"
)

// maxActions bounds the messages and reads under way at one node. More are
// dropped: digests are told again in the next period, fetches are tried again.
const maxActions = 64

// Node implements prim.Documents. It connects a Core to the transport, the
// platform and the clock. It is safe for concurrent use.
type Node struct {
	config Config
	wake   chan struct{} // has room for one signal

	mu      sync.Mutex
	core    *Core
	queue   []Action
	view    *prim.View
	changed chan struct{}
}

// New checks the configuration, registers the handlers of the kinds Digest and
// Pull, and returns a Node without documents. Run must be called for it to learn
// any.
func New(c Config) (*Node, error) {
	if c.Transport == nil || c.Platform == nil {
		return nil, Error.New("Config.Transport or Config.Platform is missing; set both")
	}
	core, err := NewCore(c, time.Now())
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:  core.config,
		wake:    make(chan struct{}, 1),
		core:    core,
		view:    core.View(),
		changed: make(chan struct{}),
	}
	c.Transport.Handle(KindDigest, n.receive)
	c.Transport.Handle(KindPull, n.receive)
	return n, nil
}

// View returns the documents in force.
func (n *Node) View() *prim.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// Changed returns a channel that is closed when View next changes. A new Issued
// alone is a change too; such changes come at most once in a period.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Status returns the state of every document.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Status(time.Now())
}

// Run starts the background work. The channel gives one value, the reason why
// it ended, and is closed once nothing of it runs any more. Run must be called
// once.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- n.loop(ctx)
	}()
	return done
}

func (n *Node) loop(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxActions)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = running.Wait() // the actions return no errors
			return context.Cause(ctx)
		case <-timer.C:
		case <-n.wake:
		}
		var next time.Time
		n.do(func() []Action {
			now := time.Now() // taken under the lock, so that it never goes back
			as := n.core.Step(now)
			next = n.core.Next(now)
			return as
		})
		for _, a := range n.take() {
			if !running.TryGo(func() error { n.perform(ctx, a); return nil }) {
				n.fail(a, Error.New("more than %d messages and reads under way", maxActions))
			}
		}
		timer.Reset(time.Until(next))
	}
}

// do runs a step of the core, publishes its view and queues its actions.
func (n *Node) do(step func() []Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, step()...)
	if v := n.core.View(); v != n.view {
		n.view = v
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

func (n *Node) take() []Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.queue
	n.queue = nil
	return q
}

// signal makes the loop look at the queue and the next time again.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) receive(_ context.Context, from prim.HostName, m prim.Message) (answer prim.Message, err error) {
	n.do(func() (as []Action) {
		answer, as, err = n.core.Receive(time.Now(), from, m)
		return as
	})
	n.signal()
	return answer, err
}

func (n *Node) perform(ctx context.Context, a Action) {
	ctx, cancel := context.WithTimeout(ctx, n.config.FetchTimeout)
	defer cancel()
	switch a.Kind {
	case Tell:
		// A lost digest is made up for by the next one.
		_ = n.config.Transport.Tell(ctx, a.To, a.Message)
		return
	case Ask:
		m, err := n.config.Transport.Ask(ctx, a.To, a.Message)
		n.do(func() []Action { return n.core.Answered(time.Now(), a, m, err) })
	case ReadIndex:
		ds, err := n.config.Platform.Index(ctx)
		n.do(func() []Action { return n.core.Index(time.Now(), ds, err) })
	case ReadDocument:
		d, err := n.config.Platform.Read(ctx, a.Name)
		n.do(func() []Action { return n.core.Read(time.Now(), a, d, err) })
	}
	n.signal()
}

// fail answers an action that was not started.
func (n *Node) fail(a Action, err error) {
	n.do(func() []Action {
		now := time.Now()
		switch a.Kind {
		case Ask:
			return n.core.Answered(now, a, prim.Message{}, err)
		case ReadIndex:
			return n.core.Index(now, nil, err)
		case ReadDocument:
			return n.core.Read(now, a, prim.Document{}, err)
		default:
			return nil
		}
	})
}

var _ prim.Documents = (*Node)(nil)
