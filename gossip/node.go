package gossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	prim "github.com/primrosethread/primrosethread"
)

// maxConcurrentActions is the maximum number of concurrent messages and reads of one
// node. Further ones are dropped: digests are sent again in the next period and
// fetches are retried.
const maxConcurrentActions = 64

// Node implements prim.Documents. It connects a Core to the transport, the
// platform and the clock. It is safe for concurrent use.
type Node struct {
	config Config
	wake   chan struct{} // buffered, holds one signal

	mu            sync.Mutex
	core          *Core
	queuedActions []Action
	view          *prim.View
	changed       chan struct{}
}

// New validates the configuration, registers the handlers for the message kinds
// Digest and Pull, and returns a Node without documents. The node obtains documents
// only after Run is called.
func New(c Config) (*Node, error) {
	if c.Transport == nil || c.Platform == nil {
		return nil, Error.New("Config.Transport or Config.Platform is nil; set both")
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

// Changed returns a channel that is closed the next time View changes. A new Issued
// alone counts as a change; such changes occur at most once per period.
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

// Run starts the node in the background; it stops when ctx is done. When all its
// goroutines have ended, the returned channel receives the cause of ctx and is closed.
// Run must be called only once.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		done <- n.run(ctx)
	}()
	return done
}

func (n *Node) run(ctx context.Context) error {
	var running errgroup.Group
	running.SetLimit(maxConcurrentActions)
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
		n.update(func() []Action {
			now := time.Now() // read under the lock, so that it never decreases
			actions := n.core.Step(now)
			next = n.core.Next(now)
			return actions
		})
		for _, a := range n.takeQueued() {
			if !running.TryGo(func() error { n.perform(ctx, a); return nil }) {
				n.failAction(a, Error.New("more than %d messages and reads are in progress", maxConcurrentActions))
			}
		}
		timer.Reset(time.Until(next))
	}
}

// update calls step with the lock held, publishes a changed view of the core and
// queues the actions that step returns.
func (n *Node) update(step func() []Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queuedActions = append(n.queuedActions, step()...)
	if view := n.core.View(); view != n.view {
		n.view = view
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// takeQueued returns the queued actions and empties the queue.
func (n *Node) takeQueued() []Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	queued := n.queuedActions
	n.queuedActions = nil
	return queued
}

// wakeUp makes run process the queue and reset its timer.
func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) receive(_ context.Context, from prim.HostName, m prim.Message) (answer prim.Message, err error) {
	n.update(func() (actions []Action) {
		answer, actions, err = n.core.HandleMessage(time.Now(), from, m)
		return actions
	})
	n.wakeUp()
	return answer, err
}

func (n *Node) perform(ctx context.Context, a Action) {
	ctx, cancel := context.WithTimeout(ctx, n.config.FetchTimeout)
	defer cancel()
	switch a.Kind {
	case Tell:
		// The next digest repeats the content of a lost one.
		_ = n.config.Transport.Tell(ctx, a.To, a.Message)
		return
	case Ask:
		answer, err := n.config.Transport.Ask(ctx, a.To, a.Message)
		n.update(func() []Action { return n.core.HandleResponse(time.Now(), a, answer, err) })
	case ReadIndex:
		digests, err := n.config.Platform.Index(ctx)
		n.update(func() []Action { return n.core.HandleIndex(time.Now(), digests, err) })
	case ReadDocument:
		document, err := n.config.Platform.Read(ctx, a.Name)
		n.update(func() []Action { return n.core.HandleDocument(time.Now(), a, document, err) })
	}
	n.wakeUp()
}

// failAction reports err to the core as the result of an action that was not started.
func (n *Node) failAction(a Action, err error) {
	n.update(func() []Action {
		now := time.Now()
		switch a.Kind {
		case Ask:
			return n.core.HandleResponse(now, a, prim.Message{}, err)
		case ReadIndex:
			return n.core.HandleIndex(now, nil, err)
		case ReadDocument:
			return n.core.HandleDocument(now, a, prim.Document{}, err)
		default:
			return nil
		}
	})
}

var _ prim.Documents = (*Node)(nil)
