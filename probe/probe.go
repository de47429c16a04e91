// Package probe keeps load samples fresh and bounds what load measurement costs.
// Samples travel on answers and refusals; probes only fill the gaps, for hosts
// that are in use and have no fresh sample.
package probe

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
)

// Prober asks hosts for their load and accounts for all load measurement of the
// node. Whoever attaches a sample to an answer asks Carry first; whoever receives
// one calls Received.

// Kind is the kind of the message that asks for a sample; its body is empty.
// KindSample holds a prim.Sample in CBOR. Both are sent with Transport.Tell: a
// node without budget then sends nothing, where Ask would make it send at least
// an empty answer or an error to any number of peers.
const (
	Kind       prim.Kind = "Probe"
	KindSample prim.Kind = "Sample"
)

// The costs that are charged. Bytes of a frame are those of TCP/IP (52), the
// WebSocket header (8) and the header of a control frame (about 40).
const (
	frameBytes  = 100
	sampleBytes = 96 // the largest sample with a host name of 48 bytes
	// sendTime and receiveTime are for one control frame with its system call;
	// carryTime is for encoding or decoding a sample in a frame that is sent
	// anyway.
	sendTime    = 30 * time.Microsecond
	receiveTime = 30 * time.Microsecond
	carryTime   = 2 * time.Microsecond
)

// probeReserve is the part of the buckets that samples on answers leave for
// probes; without it, many answers would leave no budget to learn about hosts
// that give none.
const probeReserve = 0.5

// Config configures a Prober. Zero fields take the defaults.
type Config struct {
	Transport prim.Transport
	// Stale returns up to n hosts in use that have no sample younger than age.
	Stale func(n int, age time.Duration) []prim.HostName
	// Observe receives the samples.
	Observe func(prim.Sample)
	// Sample returns the load of this node's own server.
	Sample func() prim.Sample
	// Bytes is the budget in bytes a second, default 4096, at least 2048.
	Bytes float64
	// Processor is the budget as a share of one core, default 0.003, at least
	// 0.0005.
	Processor float64
	// Age is the age at which a sample is no longer fresh. Default 250 ms.
	Age time.Duration
	// Every is the interval at which gaps are looked for. Default 50 ms.
	Every time.Duration
	// Timeout bounds the sending of one message. Default 250 ms.
	Timeout time.Duration
	// Now gives the time. It is time.Now unless a measurement runs on a
	// virtual clock.
	Now func() time.Time
}

// Bounds on probes in progress and on repeating one that brought nothing.
const (
	maxRunning = 4
	retryAfter = time.Second
)

// Prober sends and answers probes.
type Prober struct {
	c      Config
	budget *budget
	mu     sync.Mutex
	// asked holds the hosts that were asked and have not answered, with the time
	// at which they may be asked again.
	asked map[prim.HostName]time.Time
}

// New makes a Prober and registers its handler.
func New(c Config) (*Prober, error) {
	if c.Bytes == 0 {
		c.Bytes = 4096
	}
	if c.Processor == 0 {
		c.Processor = 0.003
	}
	if c.Bytes < 2048 || c.Processor < 0.0005 || c.Processor > 1 {
		return nil, fmt.Errorf("probe: budget of %g bytes/s and %g of a core; set at least 2048 bytes/s and 0.0005 to 1 of a core", c.Bytes, c.Processor)
	}
	if c.Age == 0 {
		c.Age = 250 * time.Millisecond
	}
	if c.Every == 0 {
		c.Every = 50 * time.Millisecond
	}
	if c.Timeout == 0 {
		c.Timeout = 250 * time.Millisecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	p := &Prober{c: c, budget: newBudget(c.Bytes, c.Processor), asked: make(map[prim.HostName]time.Time)}
	if c.Transport != nil {
		c.Transport.Handle(Kind, p.answer)
		c.Transport.Handle(KindSample, p.learn)
	}
	return p, nil
}

// Carry returns what may be attached to an answer, and charges for it: the sample
// without the host name, which the receiver knows, or false.
func (p *Prober) Carry(s prim.Sample) (prim.Sample, bool) {
	s.Host = ""
	return s, p.budget.spend(p.c.Now(), cost{size(s), carryTime}, probeReserve)
}

// Received charges for a sample that came on an answer of the host, and returns
// it with the host's name. If it returns false, the sample is not to be used.
func (p *Prober) Received(from prim.HostName, s prim.Sample) (prim.Sample, bool) {
	ok := p.budget.charge(p.c.Now(), cost{size(s), carryTime})
	s.Host = from
	return s, ok
}

// Cost returns the bytes and the processor time charged so far, for messages and
// samples sent and received.
func (p *Prober) Cost() (bytes int64, busy time.Duration) { return p.budget.total() }

// Run probes until the context ends, then sends its error on the channel. All
// probes have ended by then.
func (p *Prober) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(p.c.Every)
		defer ticker.Stop()
		ended := make(chan struct{}, maxRunning)
		running := 0
		for {
			select {
			case <-ctx.Done():
				for ; running > 0; running-- {
					<-ended
				}
				end <- ctx.Err()
				return
			case <-ended:
				running--
			case <-ticker.C:
				for _, h := range p.Due(maxRunning - running) {
					running++
					go func() {
						p.probe(ctx, h)
						ended <- struct{}{}
					}()
				}
			}
		}
	}()
	return end
}

// Due returns up to n hosts to probe now. Each is paid for. Run calls it at every
// interval; a measurement on a virtual clock calls it itself.
func (p *Prober) Due(n int) (hs []prim.HostName) {
	now := p.c.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, t := range p.asked {
		if !now.Before(t) {
			delete(p.asked, h)
		}
	}
	if n <= 0 {
		return nil
	}
	for _, h := range p.c.Stale(n+len(p.asked), p.c.Age) {
		if _, ok := p.asked[h]; ok {
			continue
		}
		if len(hs) == n || !p.budget.spend(now, cost{frameBytes, sendTime}, 0) {
			break
		}
		p.asked[h] = now.Add(retryAfter)
		hs = append(hs, h)
	}
	return hs
}

func (p *Prober) probe(ctx context.Context, h prim.HostName) {
	ctx, cancel := context.WithTimeout(ctx, p.c.Timeout)
	defer cancel()
	// If the message is lost, the host is asked again after retryAfter; whether
	// it is reachable is for other packages to find out.
	_ = p.c.Transport.Tell(ctx, h, prim.Message{Kind: Kind})
}

// answer handles Kind.
func (p *Prober) answer(ctx context.Context, from prim.HostName, _ prim.Message) (prim.Message, error) {
	p.budget.charge(p.c.Now(), cost{frameBytes, receiveTime})
	s := p.c.Sample()
	n := size(s)
	if n > sampleBytes || !p.budget.spend(p.c.Now(), cost{frameBytes + n, sendTime}, 0) {
		return prim.Message{}, nil
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return prim.Message{}, fmt.Errorf("probe: encoding the sample: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, p.c.Timeout)
	defer cancel()
	return prim.Message{}, p.c.Transport.Tell(ctx, from, prim.Message{Kind: KindSample, Body: b})
}

// learn handles KindSample. A sample that was not asked for is dropped.
func (p *Prober) learn(_ context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
	p.budget.charge(p.c.Now(), cost{frameBytes + len(m.Body), receiveTime})
	p.mu.Lock()
	_, ok := p.asked[from]
	delete(p.asked, from)
	p.mu.Unlock()
	var s prim.Sample
	if !ok || len(m.Body) > sampleBytes {
		return prim.Message{}, nil
	}
	if err := cbor.Unmarshal(m.Body, &s); err != nil {
		return prim.Message{}, fmt.Errorf("probe: sample of host %q is not CBOR: %w", from, err)
	}
	if s.Host == from {
		p.c.Observe(s)
	}
	return prim.Message{}, nil
}
