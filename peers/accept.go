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

// acceptLink verifies the proof of another node, upgrades its connection and
// serves frames until the link closes.
func (p *Peers) acceptLink(w http.ResponseWriter, r *http.Request) {
	from, err := p.identifyPeer(r.Header)
	if err != nil {
		p.config.Logger.Warn("peer refused", "Remote", r.RemoteAddr, "Error", err)
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	w.Header().Set(headerInstance, p.config.Instance.String())
	w.Header().Set(headerFeatures, featureBodyParts)
	w.Header().Set(headerProof, newAcceptProof(p.config.Key, p.config.Self, p.config.Instance, r.Header.Get(headerProof)))
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		p.config.Logger.Warn("peer upgrade failed", "Peer", from, "Error", err)
		return
	}
	if !p.tryAcquireLinkSem() {
		conn.CloseNow()
		return
	}
	defer p.releaseLinkSem()
	p.accepted.Add(1)
	defer p.accepted.Add(-1)
	var instance prim.Instance
	if err := instance.UnmarshalText([]byte(r.Header.Get(headerInstance))); err == nil {
		p.config.OnHostResponse(from, instance)
	}
	l := &inboundLink{
		link:         newLink(p, conn, from),
		callSem:      make(chan struct{}, p.config.MaxCalls),
		cancels:      make(map[uint64]context.CancelFunc),
		credits:      make(map[uint64]chan struct{}),
		bodies:       make(map[uint64]*incomingBody),
		reservations: make(map[uint64]prim.Reservation),
	}
	p.addInbound(l)
	err = l.serve(p.ctx)
	p.removeInbound(l)
	var frameErr *wire.FrameError
	if errors.As(err, &frameErr) {
		p.config.Logger.Warn("link closed", "Peer", from, "Error", err)
	}
}

// identifyPeer verifies the proof in the upgrade request and returns the name of
// the dialling host. Without keys it returns the claimed name.
func (p *Peers) identifyPeer(h http.Header) (prim.HostName, error) {
	if p.config.Keyless {
		return prim.HostName(h.Get(headerHost)), nil
	}
	return verifyDialProof(p.config.Key, h, p.config.Self, time.Now())
}

// inboundLink is a link that another node has dialled. It answers the calls that
// this node makes on it.
type inboundLink struct {
	*link
	// callSem is a semaphore that each call in progress holds one unit of; see
	// Peers.linkSem.
	callSem chan struct{}

	callMu       sync.Mutex
	cancels      map[uint64]context.CancelFunc
	credits      map[uint64]chan struct{}
	bodies       map[uint64]*incomingBody
	reservations map[uint64]prim.Reservation // by ticket
	lastTicket   uint64

	waitAgainAt time.Time // when holdFrame may wait again; only used by the reader
}

// serve handles frames until the link closes. It then cancels the calls in
// progress, releases their reservations and waits for the calls to end.
func (l *inboundLink) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	err := l.readFrames(ctx, func(h *wire.Header, body []byte) error { return l.handleFrame(ctx, h, body) })
	cancel()
	l.shutDown()
	l.callMu.Lock()
	for _, reservation := range l.reservations {
		reservation.Release()
	}
	l.callMu.Unlock()
	for range cap(l.callSem) {
		l.callSem <- struct{}{}
	}
	return err
}

// handleFrame processes one frame. An error closes the link.
func (l *inboundLink) handleFrame(ctx context.Context, h *wire.Header, body []byte) error {
	switch h.Type {
	case wire.BodyPart:
		return l.addBodyPart(h, body)
	case wire.Dispatch, wire.Reserve, wire.Commit, wire.Ask:
		held, ok := l.holdFrame(ctx, h, len(body))
		if !ok {
			l.refuseBusy(h.ID)
			return nil
		}
		if h.Type == wire.Dispatch && h.More {
			return l.startBody(ctx, *h, held)
		}
		return l.startCall(ctx, *h, append([]byte(nil), body...), held)
	case wire.Tell:
		held, ok := l.holdFrame(ctx, h, len(body))
		if !ok {
			return nil // Tell does not guarantee delivery
		}
		return l.startTell(ctx, *h, append([]byte(nil), body...), held)
	case wire.Cancel:
		l.callMu.Lock()
		if cancel := l.cancels[h.ID]; cancel != nil {
			cancel()
		}
		l.callMu.Unlock()
	case wire.Release:
		if reservation := l.takeReservation(h.Ticket); reservation != nil {
			reservation.Release()
		}
	case wire.Credit:
		l.callMu.Lock()
		credit := l.credits[h.ID]
		l.callMu.Unlock()
		select {
		case credit <- struct{}{}:
		default: // the answer is complete, or the peer granted more than creditWindow
		}
	default:
		return &wire.FrameError{Problem: "unexpected type", Cause: errors.New("only the accepting side sends it")}
	}
	return nil
}

// startCall runs a call, which holds the memory of its frame until it ends. An error closes
// the link.
func (l *inboundLink) startCall(ctx context.Context, h wire.Header, body []byte, held heldFrame) error {
	launched := false
	defer func() {
		if !launched {
			held.release() // also after a panic
		}
	}()
	now := time.Now()
	ctx, cancel, ok, err := l.beginCall(ctx, &h, now)
	if !ok {
		return err
	}
	launched = true
	l.launchCall(ctx, cancel, &h, body, now, held.release)
	return nil
}

// beginCall registers a call and returns its context. If ok is false, the call was refused,
// or the link has to be closed because of err.
func (l *inboundLink) beginCall(ctx context.Context, h *wire.Header, now time.Time) (callCtx context.Context, cancel context.CancelFunc, ok bool, err error) {
	if h.Remaining <= 0 || h.Remaining > prim.MaxTimeout {
		h.Remaining = prim.MaxTimeout
	}
	ctx, cancel = context.WithDeadline(ctx, now.Add(h.Remaining))
	l.callMu.Lock()
	_, duplicate := l.cancels[h.ID]
	full := !duplicate && !l.tryAcquireCallSem()
	if !duplicate && !full {
		l.cancels[h.ID] = cancel
	}
	l.callMu.Unlock()
	if duplicate {
		cancel()
		return nil, nil, false, &wire.FrameError{Problem: "call id used twice", Cause: errors.New("the first call is unanswered")}
	}
	if full {
		cancel()
		l.refuseBusy(h.ID)
		return nil, nil, false, nil
	}
	return ctx, cancel, true, nil
}

// launchCall runs a registered call on a goroutine of the worker pool, so that a slow call
// does not delay others. It calls release, if not nil, when the body is no longer used.
func (l *inboundLink) launchCall(ctx context.Context, cancel context.CancelFunc, h *wire.Header, body []byte, now time.Time, release func()) {
	started := l.peers.workerPool.runJob(func() {
		defer l.endLaunchedCall(h.ID, cancel, release)
		if err := l.peers.config.Guard.Run(func() error { l.runCall(ctx, h, body, now); return nil }); err != nil {
			// The sender must not wait until its deadline.
			l.respond(wire.Header{Type: wire.Lost, ID: h.ID, Text: err.Error()}, nil)
		}
	})
	if !started {
		l.endLaunchedCall(h.ID, cancel, release)
		l.refuseBusy(h.ID)
	}
}

// endLaunchedCall calls release, if not nil, and ends the call.
func (l *inboundLink) endLaunchedCall(id uint64, cancel context.CancelFunc, release func()) {
	if release != nil {
		release()
	}
	l.endCall(id, cancel)
}

// refuseBusy refuses a call because too many calls are in progress.
func (l *inboundLink) refuseBusy(id uint64) {
	l.respond(wire.ErrorHeader(id, &prim.RefusalError{Reason: prim.ReasonBusy, Host: l.peers.config.Self}), nil)
}

// tryAcquireCallSem acquires a unit of callSem. It returns false if MaxCalls are in
// progress.
func (l *inboundLink) tryAcquireCallSem() bool {
	select {
	case l.callSem <- struct{}{}:
		return true
	default:
		return false
	}
}

// endCall cancels the context of a call, forgets the call and releases its unit
// of callSem.
func (l *inboundLink) endCall(id uint64, cancel context.CancelFunc) {
	cancel()
	l.callMu.Lock()
	delete(l.cancels, id)
	delete(l.credits, id)
	l.callMu.Unlock()
	<-l.callSem
}

// runCall runs a call and sends its result.
func (l *inboundLink) runCall(ctx context.Context, h *wire.Header, body []byte, now time.Time) {
	if h.Type == wire.Ask {
		l.handleAsk(ctx, h, body)
		return
	}
	l.peers.serving.Add(1)
	defer l.peers.serving.Add(-1)
	l.runOwnerCall(ctx, h, body, now)
}

// runOwnerCall handles Dispatch, Reserve and Commit. It refuses a frame for
// another instance of this node, because that instance may hold reservations or
// records that this one does not know.
func (l *inboundLink) runOwnerCall(ctx context.Context, h *wire.Header, body []byte, now time.Time) {
	if h.Instance != l.peers.config.Instance {
		l.respond(wire.ErrorHeader(h.ID, &prim.RefusalError{
			Reason: prim.ReasonOtherInstance, Host: l.peers.config.Self,
		}), nil)
		return
	}
	switch h.Type {
	case wire.Dispatch:
		answer, err := l.peers.localOwner.Dispatch(ctx, h.Request(body, now))
		l.sendResult(ctx, h.ID, now, answer, err)
	case wire.Reserve:
		reservation, err := l.peers.localOwner.Reserve(ctx, h.Request(body, now))
		if err != nil {
			l.respond(wire.ErrorHeader(h.ID, err), nil)
			return
		}
		ticket := l.storeReservation(reservation)
		if err := l.respond(wire.Header{Type: wire.Reserved, ID: h.ID, Ticket: ticket}, nil); err != nil || ctx.Err() != nil {
			if reservation := l.takeReservation(ticket); reservation != nil {
				reservation.Release()
			}
		}
	case wire.Commit:
		reservation := l.takeReservation(h.Ticket)
		if reservation == nil {
			l.respond(wire.ErrorHeader(h.ID, &prim.RefusalError{
				Reason: prim.ReasonReservationExpired, Host: l.peers.config.Self,
			}), nil)
			return
		}
		answer, err := reservation.Commit(ctx)
		l.sendResult(ctx, h.ID, now, answer, err)
	}
}

// reservationTTL is how long an unused reservation stays in the table of a link.
// The owner expires the reservation itself much earlier.
const reservationTTL = 2 * time.Second

// storeReservation adds a reservation to the table and returns its ticket.
func (l *inboundLink) storeReservation(reservation prim.Reservation) uint64 {
	l.callMu.Lock()
	l.lastTicket++
	ticket := l.lastTicket
	l.reservations[ticket] = reservation
	l.callMu.Unlock()
	time.AfterFunc(reservationTTL, func() {
		if reservation := l.takeReservation(ticket); reservation != nil {
			reservation.Release()
		}
	})
	return ticket
}

// takeReservation removes a reservation from the table and returns it, or nil if
// the ticket is unknown or was already used.
func (l *inboundLink) takeReservation(ticket uint64) prim.Reservation {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	reservation := l.reservations[ticket]
	delete(l.reservations, ticket)
	return reservation
}

// sendResult sends the answer or the error of a request that arrived at the given time. An
// answer with a Rest is sent in parts.
func (l *inboundLink) sendResult(ctx context.Context, id uint64, arrivedAt time.Time, answer *prim.Answer, err error) {
	ownerTime := max(1, time.Since(arrivedAt)) // 0 would mean that it is unknown
	if err != nil {
		h := wire.ErrorHeader(id, err)
		h.OwnerTime = ownerTime
		l.respond(h, nil)
		return
	}
	defer answer.Drop()
	h := wire.AnswerHeader(id, answer)
	h.OwnerTime = ownerTime
	if answer.Rest == nil {
		l.respond(h, answer.Body)
		return
	}
	credit := make(chan struct{}, creditWindow)
	for range creditWindow {
		credit <- struct{}{}
	}
	l.callMu.Lock()
	l.credits[id] = credit
	l.callMu.Unlock()
	if l.respond(h, answer.Body) != nil {
		return
	}
	l.sendParts(ctx, id, answer.Rest, credit)
}

// sendParts sends the rest of a long answer, one part for each credit. A part
// with an error text tells the receiver that the answer is truncated.
func (l *inboundLink) sendParts(ctx context.Context, id uint64, rest io.Reader, credit <-chan struct{}) {
	ended := false
	defer func() {
		if !ended { // a panic; another answer to the call would close the link
			l.respond(wire.Header{Type: wire.AnswerPart, ID: id, Text: "internal error"}, nil)
		}
	}()
	buf := make([]byte, partBytes)
	for {
		n, err := io.ReadFull(rest, buf)
		last := err == io.EOF || err == io.ErrUnexpectedEOF && !truncated(rest)
		h := wire.Header{Type: wire.AnswerPart, ID: id, More: err == nil}
		if err != nil && !last {
			h.Text = err.Error()
		}
		select {
		case <-credit:
		case <-ctx.Done():
			ended = true
			l.respond(wire.Header{Type: wire.AnswerPart, ID: id, Text: ctx.Err().Error()}, nil)
			return
		}
		if l.respond(h, buf[:n]) != nil || err != nil {
			ended = true
			return
		}
	}
}

// truncated reports whether rest ended before its answer was complete.
// io.ReadFull returns io.ErrUnexpectedEOF both for a short last part and for a
// truncated reader, so truncated reads once more: a complete reader returns
// io.EOF.
func truncated(rest io.Reader) bool {
	_, err := rest.Read(make([]byte, 1))
	return err != io.EOF
}

// respond writes a frame of the response to a call. A failed write closes the
// link, which tells the other side. If the header is too large, wire.Lost is sent
// instead.
func (l *inboundLink) respond(h wire.Header, body []byte) error {
	if h.Sample != nil {
		s, ok := l.peers.config.OutgoingSample(*h.Sample)
		if s.Host == l.peers.config.Self {
			s.Host = "" // implied: the other side knows which host it dialled
		}
		h.Sample = &s
		if !ok {
			h.Sample = nil
		}
	}
	_, err := l.writeFrame(l.peers.ctx, &h, body)
	if err != nil {
		var frameErr *wire.FrameError
		if errors.As(err, &frameErr) {
			lost := wire.Header{Type: wire.Lost, ID: h.ID, Text: "answer has too large headers"}
			_, err = l.writeFrame(l.peers.ctx, &lost, nil)
		}
	}
	return err
}

// handleAsk runs the handler of a control message and sends its reply.
func (l *inboundLink) handleAsk(ctx context.Context, h *wire.Header, body []byte) {
	reply := wire.Header{Type: wire.Reply, ID: h.ID, Kind: h.Kind}
	handler := l.peers.handlers[h.Kind]
	if handler == nil {
		reply.Text = "unknown kind " + string(h.Kind)
		l.respond(reply, nil)
		return
	}
	m, err := handler(ctx, l.host, prim.Message{Kind: h.Kind, Body: body})
	if err != nil {
		reply.Text = err.Error()
		l.respond(reply, nil)
		return
	}
	reply.Kind = m.Kind
	l.respond(reply, m.Body)
}

// startTell runs the handler of a control message that has no reply.
func (l *inboundLink) startTell(ctx context.Context, h wire.Header, body []byte, held heldFrame) error {
	handler := l.peers.handlers[h.Kind]
	if handler == nil || !l.tryAcquireCallSem() {
		held.release()
		return nil // Tell does not guarantee delivery
	}
	started := l.peers.workerPool.runJob(func() {
		defer held.release()
		defer func() { <-l.callSem }()
		err := l.peers.config.Guard.Run(func() error {
			_, err := handler(ctx, l.host, prim.Message{Kind: h.Kind, Body: body})
			return err
		})
		if err != nil {
			l.peers.config.Logger.Debug("control message failed", "Kind", h.Kind, "Peer", l.host, "Error", err)
		}
	})
	if !started {
		held.release()
		<-l.callSem
	}
	return nil
}
