package probe

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// loopbackTransport delivers messages to the prober's own handlers if deliver is set.
// It records the size of every frame.
type loopbackTransport struct {
	handlers   map[prim.Kind]prim.Handler
	deliver    bool
	frameSizes []int
}

func (f *loopbackTransport) Handle(k prim.Kind, h prim.Handler) { f.handlers[k] = h }

func (f *loopbackTransport) Ask(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
	return prim.Message{}, errors.New("Ask is not implemented")
}

func (f *loopbackTransport) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	f.frameSizes = append(f.frameSizes, controlFrameBytes+len(m.Body))
	if f.deliver {
		_, err := f.handlers[m.Kind](ctx, to, m)
		return err
	}
	return nil
}

// Guards against charging a different number of bytes than the encoded sample has.
func TestSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := prim.LoadSample{
			Host:     prim.HostName(strings.Repeat("h", rapid.IntRange(0, 48).Draw(t, "name"))),
			InFlight: rapid.IntRange(0, 1<<17).Draw(t, "inFlight"),
			Queued:   rapid.IntRange(0, 300).Draw(t, "queued"),
			Limit:    rapid.IntRange(0, 30).Draw(t, "limit"),
			Latency:  time.Duration(rapid.Int64Range(0, 1<<36).Draw(t, "latency")),
			Failing:  rapid.Float64Range(0, 1).Draw(t, "failing"),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
		}
		b, err := cbor.Marshal(s)
		if err != nil || len(b) != encodedSize(s) || len(b) > maxSampleBytes {
			t.Fatalf("size %d, encoded %d of at most %d, %v", encodedSize(s), len(b), maxSampleBytes, err)
		}
	})
}

// Guards against a node that exceeds its budget under any mix of answers, probes from
// peers and stale hosts. In any interval it may send half its budget; in total it may
// send and process its budget plus the bounded debt.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		start := now
		transport := &loopbackTransport{handlers: map[prim.Kind]prim.Handler{}}
		hosts := make([]prim.HostName, rapid.IntRange(0, 2000).Draw(t, "peers"))
		for i := range hosts {
			hosts[i] = prim.HostName(rune(i + 1000))
		}
		c := Config{
			Transport:      transport,
			Stale:          func(n int, _ time.Duration) []prim.HostName { return hosts[:min(n, len(hosts))] },
			Sample:         func() prim.LoadSample { return prim.LoadSample{Host: "h", Limit: 9} },
			Now:            func() time.Time { return now },
			BytesPerSecond: float64(rapid.SampledFrom([]int{2048, 4096, 1 << 20}).Draw(t, "bytes")),
		}
		p, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		type charge struct {
			at    time.Time
			bytes int
			time  time.Duration
		}
		var sent []charge
		received := 0
		sample := prim.LoadSample{Host: "h", InFlight: 1 << 17, Limit: 9, Latency: 1 << 36, Failing: 0.5}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			for range rapid.IntRange(1, 300).Draw(t, "times") {
				switch event {
				case 0:
					if s, ok := p.ChargeSent(sample); ok {
						sent = append(sent, charge{now, encodedSize(s), piggybackTime})
					}
				case 1:
					if s, ok := p.ChargeReceived("h", sample); ok {
						received += encodedSize(s)
					}
				case 2:
					n := len(transport.frameSizes)
					if _, err := p.handleProbe(t.Context(), "peer", prim.Message{Kind: KindProbe}); err != nil {
						t.Fatal(err)
					}
					for _, b := range transport.frameSizes[n:] {
						sent = append(sent, charge{now, b, sendTime})
					}
				case 3:
					for range p.Due(maxProbesInFlight) {
						sent = append(sent, charge{now, controlFrameBytes, sendTime})
					}
				}
			}
		}
		burst := burstDuration.Seconds()
		for i := range sent {
			bytes, cpuTime := 0, time.Duration(0)
			for _, s := range sent[i:] {
				bytes += s.bytes
				cpuTime += s.time
				window := s.at.Sub(sent[i].at).Seconds() + burst
				if float64(bytes) > c.BytesPerSecond/2*window+1 || cpuTime.Seconds() > 0.0015*window+1e-6 {
					t.Fatalf("%d bytes and %s sent in %s", bytes, cpuTime, s.at.Sub(sent[i].at))
				}
			}
		}
		total := received
		for _, s := range sent {
			total += s.bytes
		}
		if limit := c.BytesPerSecond * (now.Sub(start) + burstDuration + maxDebt).Seconds(); float64(total) > limit+1 {
			t.Fatalf("%d bytes sent and processed, at most %g allowed", total, limit)
		}
	})
}

// Guards against a host without samples that is not probed, a sample that is accepted
// without a request, and a goroutine that outlives its context.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &loopbackTransport{handlers: map[prim.Kind]prim.Handler{}, deliver: true}
		var observed []prim.LoadSample
		p, err := New(Config{
			Transport: transport,
			Stale:     func(int, time.Duration) []prim.HostName { return []prim.HostName{"h"} },
			Sample:    func() prim.LoadSample { return prim.LoadSample{Host: "h", Limit: 9} },
			Observe:   func(s prim.LoadSample) { observed = append(observed, s) },
		})
		is.NoErr(err)
		carried, _ := p.ChargeSent(prim.LoadSample{Host: "h", Limit: 9})
		got, _ := p.ChargeReceived("h", carried)
		is.Equal(got, prim.LoadSample{Host: "h", Limit: 9})
		b, err := cbor.Marshal(prim.LoadSample{Host: "h"})
		is.NoErr(err)
		_, err = p.handleSample(t.Context(), "h", prim.Message{Kind: KindSample, Body: b})
		is.NoErr(err)
		is.Equal(len(observed), 0)

		ctx, cancel := context.WithCancel(t.Context())
		done := p.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		is.Equal(<-done, context.Canceled)
		is.True(len(observed) > 20)
		bytes := 0
		for _, n := range transport.frameSizes {
			bytes += n
		}
		is.True(bytes <= 2048*10+512)
	})
}
