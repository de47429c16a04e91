package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
)

// This file is the ingress side of shares.go: it takes a token for each request, from this node
// or from another one.

// KindTokens is the kind of a request for tokens of customers.
const KindTokens prim.Kind = "Tokens"

const (
	// askTimeout bounds a request for tokens. A round trip between regions takes 60 ms.
	askTimeout = 150 * time.Millisecond
	// awayTime is how long an owner that did not answer is not asked again for any customer.
	// After it one request at a time asks it, as long as it does not answer.
	awayTime = time.Second
	// followInterval is the time between two looks at the age of the state, so that a gap is
	// not mistaken for one that lasted too long, or missed.
	followInterval = time.Second
	// maxAsked bounds the customers in one message; the configuration has some hundred.
	maxAsked = 4096
)

// tokensRequest is the body of a KindTokens request: the numbers of tokens wanted by customer.
type tokensRequest struct {
	Customers []prim.Customer `cbor:"1,keyasint"`
	Wanted    []int           `cbor:"2,keyasint"`
}

// tokensResponse is the body of its answer, in the order of the request.
type tokensResponse struct {
	Granted []int           `cbor:"1,keyasint"`
	After   []time.Duration `cbor:"2,keyasint"`
	Able    []bool          `cbor:"3,keyasint"`
}

// errMalformedTokens is the error of a request or an answer whose lists don't fit together.
var errMalformedTokens = errors.New("tokens: the lists of a message have different lengths; check that both nodes run compatible versions")

// Handle answers a KindTokens request.
func (s *Shares) Handle(_ context.Context, _ prim.HostName, m prim.Message) (prim.Message, error) {
	var req tokensRequest
	if err := cbor.Unmarshal(m.Body, &req); err != nil {
		return prim.Message{}, Error.Wrap(err)
	}
	if len(req.Customers) != len(req.Wanted) || len(req.Customers) > maxAsked {
		return prim.Message{}, errMalformedTokens
	}
	var resp tokensResponse
	now := time.Now()
	for i, c := range req.Customers {
		granted, after, able := s.grant(now, c, req.Wanted[i])
		resp.Granted, resp.After, resp.Able = append(resp.Granted, granted), append(resp.After, after), append(resp.Able, able)
	}
	b, err := cbor.Marshal(resp)
	return prim.Message{Kind: KindTokens, Body: b}, err
}

// Take takes a token for one request of a customer. It returns *prim.AllowanceExceededError if
// the owners have none, *prim.RefusalError if none of them answers and may grant, or the
// context's error.
func (s *Shares) Take(ctx context.Context, rule *prim.CustomerRule) error {
	if rule.Rate <= 0 {
		return nil
	}
	hosts, after, refused, limited := s.candidates(time.Now(), rule.Name)
	if !limited {
		return nil // the quota was removed while the request was read
	}
	for _, h := range hosts {
		result := s.ask(ctx, h, rule.Name)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if result.granted {
			return nil
		}
		if result.err != nil {
			after = min(after, awayTime)
			continue
		}
		refused = refused || result.able
		after = min(after, result.after)
		s.setNext(rule.Name, h, time.Now().Add(result.after), result.able)
	}
	after = max(after, minAfter)
	if !refused {
		return &prim.RefusalError{Reason: prim.ReasonUnreachable, Host: s.config.Host, RetryAfter: after}
	}
	return &prim.AllowanceExceededError{Customer: rule.Name, RetryAfter: after}
}

// remote collects the requests that wait for one owner.
type remote struct {
	// away is set if the last message got no answer, and awayUntil is when the owner is asked
	// again then. Shares.mu guards both.
	away      bool
	awayUntil time.Time

	mu      sync.Mutex
	pending []*want
	sending bool
}

// want is a request that waits for a token.
type want struct {
	customer prim.Customer
	result   chan tokenResult
}

// tokenResult is the answer of an owner to one request.
type tokenResult struct {
	granted bool
	after   time.Duration
	able    bool
	err     error
}

// ask asks an owner for a token.
func (s *Shares) ask(ctx context.Context, host prim.HostName, c prim.Customer) tokenResult {
	if host == s.config.Host {
		n, after, able := s.grant(time.Now(), c, 1)
		return tokenResult{granted: n > 0, after: after, able: able}
	}
	w := &want{c, make(chan tokenResult, 1)}
	r := s.remote(host)
	r.mu.Lock()
	r.pending = append(r.pending, w)
	starts := !r.sending
	r.sending = true
	r.mu.Unlock()
	if starts {
		// The sender goes on for requests that join, also after the end of this one.
		s.senders.Go(func() { s.send(context.WithoutCancel(ctx), host, r) })
	}
	select {
	case result := <-w.result:
		return result
	case <-ctx.Done():
		return tokenResult{err: ctx.Err()}
	}
}

func (s *Shares) remote(host prim.HostName) *remote {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.remotes[host]
	if r == nil {
		r = &remote{}
		s.remotes[host] = r
	}
	return r
}

// send asks an owner for the tokens of all pending requests until there are none. Requests that
// come while a message is on its way go into the next one.
func (s *Shares) send(ctx context.Context, host prim.HostName, r *remote) {
	for {
		r.mu.Lock()
		batch := r.pending
		r.pending = nil
		r.sending = len(batch) > 0
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.sendBatch(ctx, host, batch)
	}
}

// sendBatch asks for the tokens of a batch and distributes the answer.
func (s *Shares) sendBatch(ctx context.Context, host prim.HostName, batch []*want) {
	var req tokensRequest
	position := make(map[prim.Customer]int)
	for _, w := range batch {
		i, ok := position[w.customer]
		if !ok {
			i = len(req.Customers)
			position[w.customer] = i
			req.Customers, req.Wanted = append(req.Customers, w.customer), append(req.Wanted, 0)
		}
		req.Wanted[i]++
	}
	s.config.Recorder.Count("QuotaMessages", 1)
	resp, err := s.exchange(ctx, host, &req)
	s.recordExchange(host, err)
	for _, w := range batch {
		if err != nil {
			w.result <- tokenResult{err: err}
			continue
		}
		i := position[w.customer]
		granted := resp.Granted[i] > 0
		resp.Granted[i]--
		w.result <- tokenResult{granted: granted, after: resp.After[i], able: resp.Able[i]}
	}
}

// recordExchange records whether an owner answered.
func (s *Shares) recordExchange(host prim.HostName, err error) {
	if err != nil {
		s.config.Recorder.Count("QuotaOwnersUnreachable", 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.remotes[host]; r != nil {
		r.away, r.awayUntil = err != nil, time.Now().Add(awayTime)
	}
}

// exchange sends a request for tokens.
func (s *Shares) exchange(ctx context.Context, host prim.HostName, req *tokensRequest) (*tokensResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	b, err := cbor.Marshal(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m, err := s.config.Transport.Ask(ctx, host, prim.Message{Kind: KindTokens, Body: b})
	if err != nil {
		return nil, err
	}
	var resp tokensResponse
	if err := cbor.Unmarshal(m.Body, &resp); err != nil {
		return nil, Error.Wrap(err)
	}
	if len(resp.Granted) != len(req.Customers) || len(resp.After) != len(req.Customers) || len(resp.Able) != len(req.Customers) {
		return nil, errMalformedTokens
	}
	return &resp, nil
}

// Follow keeps the owners up to date until the context ends and the last message is answered,
// and then sends the context's error on the channel.
func (s *Shares) Follow(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			changed := s.config.Placements.Changed()
			s.mu.Lock()
			s.follow(time.Now())
			s.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(followInterval):
			case <-ctx.Done():
			}
		}
		s.senders.Wait()
		ended <- ctx.Err()
	}()
	return ended
}
