// Package probe keeps load samples fresh and bounds the cost of load measurement.
// Samples are piggybacked on answers and refusals. Probes are sent only to hosts
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

// KindProbe is the kind of the message that requests a sample; its body is empty. The
// body of KindSample is a prim.LoadSample in CBOR. Both are sent with Transport.Tell,
// so that a node without budget sends nothing. With Transport.Ask, it would send at
// least an empty answer or an error to any number of peers.
const (
	KindProbe  prim.Kind = "Probe"
	KindSample prim.Kind = "Sample"
)

// The costs charged to the budget.
const (
	// controlFrameBytes is for a control frame without its body: TCP/IP headers
	// (52), WebSocket header (8) and control frame header (about 40).
	controlFrameBytes = 100
	maxSampleBytes    = 96 // the largest sample with a host name of 48 bytes
	// sendTime and receiveTime are the CPU time of one control frame with its
	// system call. piggybackTime is that of encoding or decoding a sample in a
	// frame that is sent anyway.
	sendTime      = 30 * time.Microsecond
	receiveTime   = 30 * time.Microsecond
	piggybackTime = 2 * time.Microsecond
)

// probeReserve is the fraction of the burst that samples on answers leave for
// probes. Without it, many answers would leave no budget to probe hosts that send
// no answers.
const probeReserve = 0.5

// Config configures a Prober. Zero fields take the defaults.
type Config struct {
	Transport prim.Transport
	// Stale returns up to n hosts that are in use and have no sample younger than
	// age.
	Stale func(n int, age time.Duration) []prim.HostName
	// Observe is called with each sample that answers a probe.
	Observe func(prim.LoadSample)
	// Sample returns the load of this node's own server.
	Sample func() prim.LoadSample
	// BytesPerSecond is the budget for traffic. Default 4096, at least 2048.
	BytesPerSecond float64
	// CPUShare is the budget for CPU time as a share of one core. Default 0.003,
	// at least 0.0005, at most 1.
	CPUShare float64
	// MaxAge is the age at which a sample becomes stale. Default 250 ms.
	MaxAge time.Duration
	// CheckInterval is the time between two checks for stale samples. Default 50 ms.
	CheckInterval time.Duration
	// SendTimeout bounds the sending of one message. Default 250 ms.
	SendTimeout time.Duration
	// Now returns the current time. Default time.Now; a simulation sets a virtual
	// clock.
	Now func() time.Time
}

// maxProbesInFlight bounds the probes that are sent concurrently. probeRetryDelay is
// the time until a host that has not answered is probed again.
const (
	maxProbesInFlight = 4
	probeRetryDelay   = time.Second
)

// Prober sends and answers probes, and accounts for all load measurement of the
// node. Code that attaches a sample to an answer calls ChargeSent first; code that
// receives such a sample calls ChargeReceived.
type Prober struct {
	config Config
	budget *budget
	mu     sync.Mutex
	// pending holds the hosts that were probed and have not answered, with the
	// time at which they may be probed again.
	pending map[prim.HostName]time.Time
}

// New returns a Prober and registers its message handlers.
func New(c Config) (*Prober, error) {
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = 4096
	}
	if c.CPUShare == 0 {
		c.CPUShare = 0.003
	}
	if c.BytesPerSecond < 2048 || c.CPUShare < 0.0005 || c.CPUShare > 1 {
		return nil, fmt.Errorf("probe: budget of %g bytes/s and %g of a core; set at least 2048 bytes/s and 0.0005 to 1 of a core", c.BytesPerSecond, c.CPUShare)
	}
	if c.MaxAge == 0 {
		c.MaxAge = 250 * time.Millisecond
	}
	if c.CheckInterval == 0 {
		c.CheckInterval = 50 * time.Millisecond
	}
	if c.SendTimeout == 0 {
		c.SendTimeout = 250 * time.Millisecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	p := &Prober{config: c, budget: newBudget(c.BytesPerSecond, c.CPUShare), pending: make(map[prim.HostName]time.Time)}
	if c.Transport != nil {
		c.Transport.Handle(KindProbe, p.handleProbe)
		c.Transport.Handle(KindSample, p.handleSample)
	}
	return p, nil
}

// ChargeSent charges for a sample to be attached to an answer. It returns the sample
// without the host name, which the receiver knows, or false if the budget does not
// allow it.
func (p *Prober) ChargeSent(s prim.LoadSample) (prim.LoadSample, bool) {
	s.Host = ""
	return s, p.budget.trySpend(p.config.Now(), cost{encodedSize(s), piggybackTime}, probeReserve)
}

// ChargeReceived charges for a sample that was attached to an answer of the host, and
// returns it with the host's name. If it returns false, the sample must not be
// used.
func (p *Prober) ChargeReceived(from prim.HostName, s prim.LoadSample) (prim.LoadSample, bool) {
	ok := p.budget.charge(p.config.Now(), cost{encodedSize(s), piggybackTime})
	s.Host = from
	return s, ok
}

// Cost returns the bytes and the CPU time charged so far, for messages and samples
// sent and received.
func (p *Prober) Cost() (bytes int64, cpuTime time.Duration) { return p.budget.charged() }

// Run sends probes until the context ends. When all of them have ended, it sends the
// context's error on the channel.
func (p *Prober) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(p.config.CheckInterval)
		defer ticker.Stop()
		probeDone := make(chan struct{}, maxProbesInFlight)
		inFlight := 0
		for {
			select {
			case <-ctx.Done():
				for ; inFlight > 0; inFlight-- {
					<-probeDone
				}
				done <- ctx.Err()
				return
			case <-probeDone:
				inFlight--
			case <-ticker.C:
				for _, h := range p.Due(maxProbesInFlight - inFlight) {
					inFlight++
					go func() {
						p.sendProbe(ctx, h)
						probeDone <- struct{}{}
					}()
				}
			}
		}
	}()
	return done
}

// Due returns up to n hosts to probe now and charges for the probes. Run calls it at
// every interval; a simulation with a virtual clock calls it directly.
func (p *Prober) Due(n int) (hs []prim.HostName) {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, t := range p.pending {
		if !now.Before(t) {
			delete(p.pending, h)
		}
	}
	if n <= 0 {
		return nil
	}
	for _, h := range p.config.Stale(n+len(p.pending), p.config.MaxAge) {
		if _, ok := p.pending[h]; ok {
			continue
		}
		if len(hs) == n || !p.budget.trySpend(now, cost{controlFrameBytes, sendTime}, 0) {
			break
		}
		p.pending[h] = now.Add(probeRetryDelay)
		hs = append(hs, h)
	}
	return hs
}

func (p *Prober) sendProbe(ctx context.Context, h prim.HostName) {
	ctx, cancel := context.WithTimeout(ctx, p.config.SendTimeout)
	defer cancel()
	// If the message is lost, the host is probed again after probeRetryDelay.
	// Other packages detect whether it is reachable.
	_ = p.config.Transport.Tell(ctx, h, prim.Message{Kind: KindProbe})
}

// handleProbe handles messages of KindProbe and answers with a sample if the budget allows
// it.
func (p *Prober) handleProbe(ctx context.Context, from prim.HostName, _ prim.Message) (prim.Message, error) {
	p.budget.charge(p.config.Now(), cost{controlFrameBytes, receiveTime})
	s := p.config.Sample()
	n := encodedSize(s)
	if n > maxSampleBytes || !p.budget.trySpend(p.config.Now(), cost{controlFrameBytes + n, sendTime}, 0) {
		return prim.Message{}, nil
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return prim.Message{}, fmt.Errorf("probe: encoding the sample: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.SendTimeout)
	defer cancel()
	return prim.Message{}, p.config.Transport.Tell(ctx, from, prim.Message{Kind: KindSample, Body: b})
}

// handleSample handles messages of KindSample. It drops samples that were not
// requested.
func (p *Prober) handleSample(_ context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
	p.budget.charge(p.config.Now(), cost{controlFrameBytes + len(m.Body), receiveTime})
	p.mu.Lock()
	_, ok := p.pending[from]
	delete(p.pending, from)
	p.mu.Unlock()
	var s prim.LoadSample
	if !ok || len(m.Body) > maxSampleBytes {
		return prim.Message{}, nil
	}
	if err := cbor.Unmarshal(m.Body, &s); err != nil {
		return prim.Message{}, fmt.Errorf("probe: sample of host %q is not CBOR: %w", from, err)
	}
	if s.Host == from {
		p.config.Observe(s)
	}
	return prim.Message{}, nil
}
