package stats_test

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/stats"
)

func request(c, class string) *prim.Request {
	return &prim.Request{Customer: prim.Customer(c), Class: prim.Class(class)}
}

// Guards against an outcome counted as another one, against an unknown added
// latency recorded as zero, and against refusals of calls over an allowance hiding
// the latency of other calls.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	r := stats.New(stats.Config{})
	call := request("a", "Deposit")
	r.Request(call, prim.Done, 200, time.Millisecond, 100*time.Microsecond)
	r.Request(call, prim.Done, 503, time.Millisecond, 0)
	r.Request(call, prim.NotRun, 429, time.Microsecond, 0)
	r.Request(call, prim.NotRun, 503, time.Second, 0)
	r.Request(call, prim.Unknown, 502, time.Millisecond, 0)
	r.Count("Refused", 2)
	r.Count("Refused", 3)
	s := r.Snapshot()
	is.Equal(len(s.Requests), 1)
	summary := s.Requests[0]
	is.True(math.Abs(summary.Latency.P50Ms-1) <= 0.01)
	is.Equal([]int64{summary.Done, summary.NotRun, summary.Unknown, summary.ServerErrors, summary.Latency.Count}, []int64{2, 2, 1, 1, 4})
	is.Equal(s.Added[0].Latency.Count, int64(1))
	is.Equal(s.Added[0].Latency.MaxMs, 0.1)
	is.Equal(s.Counters["Refused"], int64(5))
	is.True(json.Valid([]byte(r.String())))
}

// Guards against a summary that deviates by more than the documented 1%, and
// against failures on durations outside the range of the histogram.
func TestSummary(t *testing.T) {
	is := is.New(t)
	r := stats.New(stats.Config{})
	for i := range 10_000 {
		r.Request(request("a", "A"), prim.Done, 200, time.Duration(i+1)*time.Millisecond, 0)
	}
	latency := r.Snapshot().Requests[0].Latency
	for _, c := range []struct{ got, want float64 }{{latency.P50Ms, 5000}, {latency.P99Ms, 9900}, {latency.P999Ms, 9990}, {latency.MaxMs, 10_000}} {
		is.True(math.Abs(c.got-c.want) <= c.want/100)
	}
	r.Request(request("b", "A"), prim.Done, 200, time.Hour, -time.Second)
	r.Request(request("b", "A"), prim.Done, 200, -time.Second, 0)
	outOfRange := r.Snapshot().Requests[1].Latency
	is.Equal(outOfRange.Count, int64(2))
	is.True(outOfRange.MaxMs >= 119_000)
}

// Guards against expired values in a summary, and against values that are
// dropped before the following window is over.
func TestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := stats.New(stats.Config{Window: time.Minute})
		latencyCount := func() int64 { return r.Snapshot().Requests[0].Latency.Count }
		r.Request(request("a", "A"), prim.Done, 200, time.Second, 0)
		time.Sleep(59 * time.Second)
		is.Equal(latencyCount(), int64(1))
		time.Sleep(time.Second)
		r.Request(request("a", "A"), prim.Done, 200, time.Second, 0)
		is.Equal(latencyCount(), int64(2))
		time.Sleep(time.Minute)
		is.Equal(latencyCount(), int64(1))
		time.Sleep(time.Minute)
		is.Equal(latencyCount(), int64(0))
		is.Equal(r.Snapshot().Requests[0].Done, int64(2))
	})
}

// Guards against memory use that grows with the number of customers, and against
// idle customers that keep their series while active ones share the overflow
// series.
func TestBoundedSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := stats.New(stats.Config{MaxSeries: 3, MaxCounters: 2, Window: time.Minute})
		for i := range 10 {
			r.Request(request(fmt.Sprint(i), "A"), prim.Done, 200, time.Second, time.Second)
			r.Count(fmt.Sprint(i), 1)
		}
		s := r.Snapshot()
		is.Equal(len(s.Requests), 4)
		is.Equal(s.Requests[0].Customer, prim.Customer(stats.Other))
		is.Equal(s.Requests[0].Done, int64(7))
		is.Equal(s.Counters, map[string]int64{"0": 1, "1": 1, stats.Other: 8})

		time.Sleep(11 * time.Minute)
		r.Request(request("new", "A"), prim.Done, 200, time.Second, 0)
		s = r.Snapshot()
		is.Equal(len(s.Requests), 1)
		is.Equal(s.Requests[0].Customer, prim.Customer("new"))
	})
}

// Guards against requests lost under concurrent use.
func TestConcurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 8).Draw(t, "workers")
		customers := rapid.IntRange(1, 6).Draw(t, "customers")
		r := stats.New(stats.Config{MaxSeries: 4})
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() {
				for i := range 60 {
					r.Request(request(fmt.Sprint(i%customers), "A"), prim.Done, 200, time.Millisecond, time.Millisecond)
					r.Count("n", 1)
				}
			})
		}
		wg.Wait()
		s := r.Snapshot()
		var done, recorded int64
		for _, summary := range s.Requests {
			done += summary.Done
			recorded += summary.Latency.Count
		}
		want := int64(60 * workers)
		if done != want || recorded != want || s.Added[0].Latency.Count != want || s.Counters["n"] != want {
			t.Fatalf("got %d, %d, %d, %d of %d", done, recorded, s.Added[0].Latency.Count, s.Counters["n"], want)
		}
	})
}

// ExampleRecorder shows how a node publishes its measurements.
func ExampleRecorder() {
	r := stats.New(stats.Config{})
	r.Request(&prim.Request{Customer: "harbour", Class: "SlotCheck"}, prim.Done, 200, 2*time.Millisecond, 0)
	expvar.Publish("Primrosethread", r)
	one := r.Snapshot().Requests[0]
	fmt.Println(one.Customer, one.Class, one.Done, one.Latency.Count)
	// Output:
	// harbour SlotCheck 1 1
}

// BenchmarkRequest measures the cost on the request path, with one goroutine and
// with all processors recording to the same series.
func BenchmarkRequest(b *testing.B) {
	call := request("harbour", "SlotCheck")
	b.Run("One", func(b *testing.B) {
		r := stats.New(stats.Config{})
		for b.Loop() {
			r.Request(call, prim.Done, 200, 3*time.Millisecond, 200*time.Microsecond)
		}
	})
	b.Run("Parallel", func(b *testing.B) {
		r := stats.New(stats.Config{})
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				r.Request(call, prim.Done, 200, 3*time.Millisecond, 200*time.Microsecond)
			}
		})
	})
}

// BenchmarkCount measures the cost of incrementing a named counter.
func BenchmarkCount(b *testing.B) {
	r := stats.New(stats.Config{})
	for b.Loop() {
		r.Count("Refused", 1)
	}
}

// BenchmarkSnapshot measures the cost of a metrics scrape with every series in
// use.
func BenchmarkSnapshot(b *testing.B) {
	r := stats.New(stats.Config{})
	for i := range 256 {
		r.Request(request(fmt.Sprint(i), "A"), prim.Done, 200, time.Millisecond, time.Millisecond)
	}
	for b.Loop() {
		_ = r.String()
	}
}
