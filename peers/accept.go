package peers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/wire"
)

// accept upgrades the connection of another node after checking its proof, and
// serves its frames until the link ends.
func (p *Peers) accept(w http.ResponseWriter, r *http.Request) {
	from, err := p.identify(r.Header)
	if err != nil {
		p.c.Logger.Warn("peer refused", "Remote", r.RemoteAddr, "Error", err)
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	w.Header().Set(headerInstance, p.c.Instance.String())
	w.Header().Set(headerProof, countersign(p.c.Key, p.c.Self, p.c.Instance, r.Header.Get(headerProof)))
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		p.c.Logger.Warn("peer upgrade failed", "Peer", from, "Error", err)
		return
	}
	if !p.begin() {
		conn.CloseNow()
		return
	}
	defer p.end()
	p.accepted.Add(1)
	defer p.accepted.Add(-1)
	var i prim.Instance
	if err := i.UnmarshalText([]byte(r.Header.Get(headerInstance))); err == nil {
		p.c.Seen(from, i)
	}
	a := &acceptor{
		link:     newLink(p, conn, from),
		handling: make(chan struct{}, p.c.MaxCalls),
		cancels:  make(map[uint64]context.CancelFunc),
		credits:  make(map[uint64]chan struct{}),
		reserved: make(map[uint64]prim.Reservation),
	}
	p.listen(a)
	err = a.serve(p.ctx)
	p.unlisten(a)
	var malformed *wire.Malformed
	if errors.As(err, &malformed) {
		p.c.Logger.Warn("link closed", "Peer", from, "Error", err)
	}
}

// identify returns the host that dials, after checking its proof.
func (p *Peers) identify(h http.Header) (prim.HostName, error) {
	if p.c.Keyless {
		return prim.HostName(h.Get(headerHost)), nil
	}
	return verify(p.c.Key, h, p.c.Self, time.Now())
}

// acceptor answers the calls that another node sends on one link.
type acceptor struct {
	*link
	// handling holds one token for each call in progress; see Peers.running.
	handling chan struct{}

	amu      sync.Mutex
	cancels  map[uint64]context.CancelFunc
	credits  map[uint64]chan struct{}
	reserved map[uint64]prim.Reservation // by ticket
	tickets  uint64
}

// serve handles frames until the link ends, then cancels what it started and
// waits for it.
func (a *acceptor) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	err := a.read(ctx, func(h *wire.Header, body []byte) error { return a.handle(ctx, h, body) })
	cancel()
	a.fail()
	a.amu.Lock()
	for _, v := range a.reserved {
		v.Release()
	}
	a.amu.Unlock()
	for range cap(a.handling) {
		a.handling <- struct{}{}
	}
	return err
}

func (a *acceptor) handle(ctx context.Context, h *wire.Header, body []byte) error {
	switch h.Type {
	case wire.Dispatch, wire.Reserve, wire.Commit, wire.Ask:
		return a.start(ctx, *h, append([]byte(nil), body...))
	case wire.Tell:
		return a.startTell(ctx, *h, append([]byte(nil), body...))
	case wire.Cancel:
		a.amu.Lock()
		if cancel := a.cancels[h.ID]; cancel != nil {
			cancel()
		}
		a.amu.Unlock()
	case wire.Release:
		if v := a.takeReservation(h.Ticket); v != nil {
			v.Release()
		}
	case wire.Credit:
		a.amu.Lock()
		c := a.credits[h.ID]
		a.amu.Unlock()
		select {
		case c <- struct{}{}:
		default: // the answer has ended, or more credits than parts
		}
	default:
		return &wire.Malformed{Problem: "unexpected type", Cause: errors.New("only the accepting side sends it")}
	}
	return nil
}

// start handles a call in its own goroutine, so that a slow one holds up no
// other.
func (a *acceptor) start(ctx context.Context, h wire.Header, body []byte) error {
	now := time.Now()
	if h.Remaining <= 0 || h.Remaining > prim.MaxTimeout {
		h.Remaining = prim.MaxTimeout
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(h.Remaining))
	a.amu.Lock()
	_, twice := a.cancels[h.ID]
	full := !twice && !a.begin()
	if !twice && !full {
		a.cancels[h.ID] = cancel
	}
	a.amu.Unlock()
	if twice {
		cancel()
		return &wire.Malformed{Problem: "call id used twice", Cause: errors.New("the first call is unanswered")}
	}
	if full {
		cancel()
		a.busy(h.ID)
		return nil
	}
	started := a.p.workers.run(func() {
		defer a.end(h.ID, cancel)
		if h.Type == wire.Ask {
			a.ask(ctx, &h, body)
			return
		}
		a.p.serving.Add(1)
		defer a.p.serving.Add(-1)
		a.run(ctx, &h, body, now)
	})
	if !started {
		a.end(h.ID, cancel)
		a.busy(h.ID)
	}
	return nil
}

// busy refuses a call because there are too many.
func (a *acceptor) busy(id uint64) {
	a.answer(wire.ErrorHeader(id, &prim.Refusal{Reason: prim.ReasonBusy, Host: a.p.c.Self}), nil)
}

// begin takes a token for a call; it reports false when there are too many.
func (a *acceptor) begin() bool {
	select {
	case a.handling <- struct{}{}:
		return true
	default:
		return false
	}
}

func (a *acceptor) end(id uint64, cancel context.CancelFunc) {
	cancel()
	a.amu.Lock()
	delete(a.cancels, id)
	delete(a.credits, id)
	a.amu.Unlock()
	<-a.handling
}

// run handles Dispatch, Reserve and Commit. A frame for another instance is
// refused: that instance may have promised something this one does not know.
func (a *acceptor) run(ctx context.Context, h *wire.Header, body []byte, now time.Time) {
	if h.Instance != a.p.c.Instance {
		a.answer(wire.ErrorHeader(h.ID, &prim.Refusal{Reason: prim.ReasonInstance, Host: a.p.c.Self}), nil)
		return
	}
	switch h.Type {
	case wire.Dispatch:
		answer, err := a.p.local.Dispatch(ctx, h.Request(body, now))
		a.finish(ctx, h.ID, answer, err)
	case wire.Reserve:
		v, err := a.p.local.Reserve(ctx, h.Request(body, now))
		if err != nil {
			a.answer(wire.ErrorHeader(h.ID, err), nil)
			return
		}
		ticket := a.putReservation(v)
		if err := a.answer(wire.Header{Type: wire.Reserved, ID: h.ID, Ticket: ticket}, nil); err != nil || ctx.Err() != nil {
			if v := a.takeReservation(ticket); v != nil {
				v.Release()
			}
		}
	case wire.Commit:
		v := a.takeReservation(h.Ticket)
		if v == nil {
			a.answer(wire.ErrorHeader(h.ID, &prim.Refusal{Reason: prim.ReasonReservation, Host: a.p.c.Self}), nil)
			return
		}
		answer, err := v.Commit(ctx)
		a.finish(ctx, h.ID, answer, err)
	}
}

// reservationKeep is how long an unused reservation stays in the table of a
// link. The reservation itself expires much earlier.
const reservationKeep = 2 * time.Second

func (a *acceptor) putReservation(v prim.Reservation) uint64 {
	a.amu.Lock()
	a.tickets++
	ticket := a.tickets
	a.reserved[ticket] = v
	a.amu.Unlock()
	time.AfterFunc(reservationKeep, func() {
		if v := a.takeReservation(ticket); v != nil {
			v.Release()
		}
	})
	return ticket
}

func (a *acceptor) takeReservation(ticket uint64) prim.Reservation {
	a.amu.Lock()
	defer a.amu.Unlock()
	v := a.reserved[ticket]
	delete(a.reserved, ticket)
	return v
}

// finish sends the end of a request.
func (a *acceptor) finish(ctx context.Context, id uint64, answer *prim.Answer, err error) {
	if err != nil {
		a.answer(wire.ErrorHeader(id, err), nil)
		return
	}
	if answer.Rest == nil {
		a.answer(wire.AnswerHeader(id, answer), answer.Body)
		return
	}
	defer answer.Rest.Close()
	credit := make(chan struct{}, window)
	for range window {
		credit <- struct{}{}
	}
	a.amu.Lock()
	a.credits[id] = credit
	a.amu.Unlock()
	if a.answer(wire.AnswerHeader(id, answer), answer.Body) != nil {
		return
	}
	a.sendParts(ctx, id, answer.Rest, credit)
}

// sendParts sends the rest of a long answer. A part with a text says that the
// answer was cut.
func (a *acceptor) sendParts(ctx context.Context, id uint64, rest io.Reader, credit <-chan struct{}) {
	buf := make([]byte, partSize)
	for {
		n, err := io.ReadFull(rest, buf)
		last := err == io.EOF || err == io.ErrUnexpectedEOF && !cut(rest)
		h := wire.Header{Type: wire.AnswerPart, ID: id, More: err == nil}
		if err != nil && !last {
			h.Text = err.Error()
		}
		select {
		case <-credit:
		case <-ctx.Done():
			a.answer(wire.Header{Type: wire.AnswerPart, ID: id, Text: ctx.Err().Error()}, nil)
			return
		}
		if a.answer(h, buf[:n]) != nil || err != nil {
			return
		}
	}
}

// cut reports whether rest ended early. io.ReadFull returns the same error for
// a short last part and for a reader that was cut, so the reader is asked once
// more: a complete one returns io.EOF.
func cut(rest io.Reader) bool {
	_, err := rest.Read(make([]byte, 1))
	return err != io.EOF
}

// answer writes a frame that ends a call. A failure closes the link, which is
// how the other side learns of it.
func (a *acceptor) answer(h wire.Header, body []byte) error {
	if h.Sample != nil {
		s, ok := a.p.c.Carry(*h.Sample)
		if s.Host == a.p.c.Self {
			s.Host = "" // the other side knows whom it has dialled
		}
		h.Sample = &s
		if !ok {
			h.Sample = nil
		}
	}
	_, err := a.write(a.p.ctx, &h, body)
	if err != nil {
		var malformed *wire.Malformed
		if errors.As(err, &malformed) {
			lost := wire.Header{Type: wire.Lost, ID: h.ID, Text: "answer has too large headers"}
			_, err = a.write(a.p.ctx, &lost, nil)
		}
	}
	return err
}

func (a *acceptor) ask(ctx context.Context, h *wire.Header, body []byte) {
	reply := wire.Header{Type: wire.Reply, ID: h.ID, Kind: h.Kind}
	handler := a.p.handlers[h.Kind]
	if handler == nil {
		reply.Text = "unknown kind " + string(h.Kind)
		a.answer(reply, nil)
		return
	}
	m, err := handler(ctx, a.host, prim.Message{Kind: h.Kind, Body: body})
	if err != nil {
		reply.Text = err.Error()
		a.answer(reply, nil)
		return
	}
	reply.Kind = m.Kind
	a.answer(reply, m.Body)
}

func (a *acceptor) startTell(ctx context.Context, h wire.Header, body []byte) error {
	handler := a.p.handlers[h.Kind]
	if handler == nil {
		return nil
	}
	if !a.begin() {
		return nil // the sender does not count on delivery
	}
	started := a.p.workers.run(func() {
		defer func() { <-a.handling }()
		if _, err := handler(ctx, a.host, prim.Message{Kind: h.Kind, Body: body}); err != nil {
			a.p.c.Logger.Debug("control message failed", "Kind", h.Kind, "Peer", a.host, "Error", err)
		}
	})
	if !started {
		<-a.handling
	}
	return nil
}
