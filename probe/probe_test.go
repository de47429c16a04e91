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

// fake is a transport that delivers messages to the prober's own handlers or,
// without loop, only counts them.
type fake struct {
	handlers map[prim.Kind]prim.Handler
	loop     bool
	told     []int // frame sizes
}

func (f *fake) Handle(k prim.Kind, h prim.Handler) { f.handlers[k] = h }

func (f *fake) Ask(context.Context, prim.HostName, prim.Message) (prim.Message, error) {
	return prim.Message{}, errors.New("not in use")
}

func (f *fake) Tell(ctx context.Context, to prim.HostName, m prim.Message) error {
	f.told = append(f.told, frameBytes+len(m.Body))
	if f.loop {
		_, err := f.handlers[m.Kind](ctx, to, m)
		return err
	}
	return nil
}

// Guards against charging fewer bytes than a sample takes.
func TestSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := prim.Sample{
			Host:     prim.HostName(strings.Repeat("h", rapid.IntRange(0, 48).Draw(t, "name"))),
			InFlight: rapid.IntRange(0, 1<<17).Draw(t, "inFlight"),
			Queued:   rapid.IntRange(0, 300).Draw(t, "queued"),
			Limit:    rapid.IntRange(0, 30).Draw(t, "limit"),
			Latency:  time.Duration(rapid.Int64Range(0, 1<<36).Draw(t, "latency")),
			Failing:  rapid.Float64Range(0, 1).Draw(t, "failing"),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
		}
		b, err := cbor.Marshal(s)
		if err != nil || len(b) != size(s) || len(b) > sampleBytes {
			t.Fatalf("size %d, encoded %d of at most %d, %v", size(s), len(b), sampleBytes, err)
		}
	})
}

// Guards against any load, by answers, by peers that probe this node and by
// stale hosts, making the node send more than half its budget in any interval,
// or send and process more than its budget and the bounded debt in all.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		begin := now
		f := &fake{handlers: map[prim.Kind]prim.Handler{}}
		hosts := make([]prim.HostName, rapid.IntRange(0, 2000).Draw(t, "peers"))
		for i := range hosts {
			hosts[i] = prim.HostName(rune(i + 1000))
		}
		c := Config{
			Transport: f,
			Stale:     func(n int, _ time.Duration) []prim.HostName { return hosts[:min(n, len(hosts))] },
			Sample:    func() prim.Sample { return prim.Sample{Host: "h", Limit: 9} },
			Now:       func() time.Time { return now },
			Bytes:     float64(rapid.SampledFrom([]int{2048, 4096, 1 << 20}).Draw(t, "bytes")),
		}
		p, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		type spent struct {
			at    time.Time
			bytes int
			time  time.Duration
		}
		var sent []spent
		received := 0
		load := prim.Sample{Host: "h", InFlight: 1 << 17, Limit: 9, Latency: 1 << 36, Failing: 0.5}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			for range rapid.IntRange(1, 300).Draw(t, "times") {
				switch event {
				case 0:
					if s, ok := p.Carry(load); ok {
						sent = append(sent, spent{now, size(s), carryTime})
					}
				case 1:
					if s, ok := p.Received("h", load); ok {
						received += size(s)
					}
				case 2:
					n := len(f.told)
					if _, err := p.answer(t.Context(), "peer", prim.Message{Kind: Kind}); err != nil {
						t.Fatal(err)
					}
					for _, b := range f.told[n:] {
						sent = append(sent, spent{now, b, sendTime})
					}
				case 3:
					for range p.Due(maxRunning) {
						sent = append(sent, spent{now, frameBytes, sendTime})
					}
				}
			}
		}
		burst := burstTime.Seconds()
		for i := range sent {
			bytes, busy := 0, time.Duration(0)
			for _, s := range sent[i:] {
				bytes += s.bytes
				busy += s.time
				window := s.at.Sub(sent[i].at).Seconds() + burst
				if float64(bytes) > c.Bytes/2*window+1 || busy.Seconds() > 0.0015*window+1e-6 {
					t.Fatalf("%d bytes and %s sent in %s", bytes, busy, s.at.Sub(sent[i].at))
				}
			}
		}
		all := received
		for _, s := range sent {
			all += s.bytes
		}
		if most := c.Bytes * (now.Sub(begin) + burstTime + maxDebt).Seconds(); float64(all) > most+1 {
			t.Fatalf("%d bytes sent and processed, at most %g allowed", all, most)
		}
	})
}

// Guards against probes that do not reach a host without samples, a sample that
// nobody asked for being believed, and a goroutine that outlives its context.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{handlers: map[prim.Kind]prim.Handler{}, loop: true}
		var seen []prim.Sample
		p, err := New(Config{
			Transport: f,
			Stale:     func(int, time.Duration) []prim.HostName { return []prim.HostName{"h"} },
			Sample:    func() prim.Sample { return prim.Sample{Host: "h", Limit: 9} },
			Observe:   func(s prim.Sample) { seen = append(seen, s) },
		})
		is.NoErr(err)
		carried, _ := p.Carry(prim.Sample{Host: "h", Limit: 9})
		got, _ := p.Received("h", carried)
		is.Equal(got, prim.Sample{Host: "h", Limit: 9})
		b, err := cbor.Marshal(prim.Sample{Host: "h"})
		is.NoErr(err)
		_, err = p.learn(t.Context(), "h", prim.Message{Kind: KindSample, Body: b})
		is.NoErr(err)
		is.Equal(len(seen), 0)

		ctx, cancel := context.WithCancel(t.Context())
		end := p.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		is.Equal(<-end, context.Canceled)
		is.True(len(seen) > 20)
		bytes := 0
		for _, n := range f.told {
			bytes += n
		}
		is.True(bytes <= 2048*10+512)
	})
}
