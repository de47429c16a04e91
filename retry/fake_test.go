package retry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// fault is what a fake owner does with one request.
type fault struct {
	Frozen    time.Duration // before it looks at the request
	Refuse    prim.Reason
	Work      time.Duration
	Queue     time.Duration // until a reservation is granted
	LoseReply bool          // runs, but the answer never arrives
	Cut       bool          // lost before it reaches the owner
	Restart   bool          // another instance answers the commit
	Stream    bool
	Status    int // of the answer, 200 if zero
}

// world is a service with fake owners, and the ports that show it. The embedded
// ports are nil: their other methods are not called.
type world struct {
	prim.Members
	prim.Policy
	prim.Recorder

	view    *prim.View
	scripts map[prim.HostName][]fault // used in turn, then from the start
	down    map[prim.HostName]bool    // members' view
	changed chan struct{}
	stale   bool        // the policy always picks the first candidate
	sample  prim.Sample // of the own host

	mu                          sync.Mutex
	turns                       map[prim.HostName]int
	runs                        map[string]int
	attempts, cancelled, hedges int
	reserved                    int // reservations neither released nor committed
}

func newWorld(hosts ...prim.HostName) *world {
	var list []prim.Host
	for _, h := range hosts {
		list = append(list, prim.Host{Name: h, Service: "s", State: prim.HostLive})
	}
	return &world{
		view:    prim.NewView(prim.ViewConfig{Hosts: prim.Hosts{Hosts: list}}),
		scripts: map[prim.HostName][]fault{}, down: map[prim.HostName]bool{},
		turns: map[prim.HostName]int{}, runs: map[string]int{}, changed: make(chan struct{}),
	}
}

func (w *world) caller(c Config) *Caller {
	c.Documents, c.Members, c.Owners, c.Policy, c.Recorder = w, w, w, w, w
	return New(c)
}

func (w *world) View() *prim.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}
func (w *world) Changed() <-chan struct{}         { return w.changed }
func (w *world) Reachable(h prim.HostName) bool   { return !w.down[h] }
func (w *world) Failed(prim.HostName)             {}
func (w *world) Observe(prim.Sample)              {}
func (w *world) Finished(prim.Attempt)            {}
func (w *world) Owner(h prim.HostName) prim.Owner { return &owner{w, h} }
func (w *world) Count(n string, by int64) {
	if n == "Hedges" {
		w.add(&w.hedges, int(by))
	}
}
func (w *world) Pick(_ prim.Service, cs []prim.Candidate) int {
	if w.stale {
		return 0
	}
	least := slices.MinFunc(cs, func(a, b prim.Candidate) int { return a.Pending - b.Pending })
	return slices.Index(cs, least)
}

func (w *world) add(n *int, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n += by
}

func (w *world) next(h prim.HostName) fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts++
	script := w.scripts[h]
	if len(script) == 0 {
		return fault{Work: time.Millisecond}
	}
	w.turns[h]++
	return script[(w.turns[h]-1)%len(script)]
}

type owner struct {
	world *world
	host  prim.HostName
}

func (o *owner) Sample() prim.Sample { return o.world.sample }

func (o *owner) Dispatch(ctx context.Context, r *prim.Request) (*prim.Answer, error) {
	return o.run(ctx, r, o.world.next(o.host))
}

// run hands the request to the owner's side, which a frozen process continues
// after the ingress has given up.
func (o *owner) run(ctx context.Context, r *prim.Request, f fault) (*prim.Answer, error) {
	type end struct {
		a   *prim.Answer
		err error
	}
	ends := make(chan end, 1)
	go func() {
		time.Sleep(f.Frozen)
		switch {
		case f.Cut:
			ends <- end{nil, &prim.Lost{Host: o.host, Cause: io.EOF}}
			return
		case f.Refuse != 0 || !time.Now().Before(r.Deadline):
			ends <- end{nil, &prim.Refusal{Reason: f.Refuse, Host: o.host}}
			return
		}
		o.world.mu.Lock()
		o.world.runs[r.Path]++
		o.world.mu.Unlock()
		if waits.Sleep(ctx, f.Work) != nil {
			o.world.add(&o.world.cancelled, 1)
		}
		a := &prim.Answer{Status: cmp.Or(f.Status, 200), Body: []byte(r.Path)}
		if f.Stream {
			a.Rest = &rest{ctx: ctx}
		}
		if !f.LoseReply {
			ends <- end{a, nil}
		} else if f.Work%2 == 0 {
			ends <- end{nil, &prim.Lost{Host: o.host, Cause: &prim.Refusal{Reason: prim.ReasonLeaving}}}
		}
	}()
	select {
	case e := <-ends:
		return e.a, e.err
	case <-ctx.Done():
		return nil, &prim.Lost{Host: o.host, Cause: ctx.Err()}
	}
}

func (o *owner) Reserve(ctx context.Context, r *prim.Request) (prim.Reservation, error) {
	f := o.world.next(o.host)
	if f.Refuse != 0 || f.Cut {
		return nil, &prim.Refusal{Reason: f.Refuse, Host: o.host}
	}
	if f.Frozen > 0 && !f.LoseReply {
		// A reservation that was made and whose answer is late.
		if f.Frozen, f.Refuse = 0, 0; waits.Sleep(ctx, f.Frozen+time.Hour) == nil {
			return nil, errors.New("not cancelled")
		}
	}
	waits.Sleep(ctx, f.Queue)
	o.world.add(&o.world.reserved, 1)
	return &reservation{o: o, r: r, f: f}, nil
}

type reservation struct {
	o    *owner
	r    *prim.Request
	f    fault
	once sync.Once
}

func (v *reservation) end() { v.once.Do(func() { v.o.world.add(&v.o.world.reserved, -1) }) }

func (v *reservation) Release() { v.end() }

func (v *reservation) Commit(ctx context.Context) (*prim.Answer, error) {
	v.end()
	if v.f.Restart {
		return nil, &prim.Refusal{Reason: prim.ReasonInstance, Host: v.o.host}
	}
	return v.o.run(ctx, v.r, v.f)
}

// rest is a stream that breaks when the context of its attempt ends.
type rest struct{ ctx context.Context }

func (r *rest) Read([]byte) (int, error) {
	if r.ctx.Err() != nil {
		return 0, io.ErrUnexpectedEOF
	}
	return 0, io.EOF
}
func (r *rest) Close() error { return nil }
