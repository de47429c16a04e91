package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// The latency measurement sends the same open-loop load, interleaved in one
// run, directly to a server, through the node of the server's own host, and
// through two nodes. The difference at the caller includes scheduling delays of
// the operating system; the nodes' own histograms hold what they add to a call.

// measuredPath is one of the compared paths from the caller to the server.
type measuredPath struct {
	name    string
	url     string
	latency *hdrhistogram.Histogram
	mu      sync.Mutex
	failed  int
}

// Histogram range: 1 µs to 60 s with three digits.
const (
	histogramMax    = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 3
)

const benchToken = "bench"

func runLatency(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("latency", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "folder of the built programs")
	rate := fs.Int("rate", 200, "calls a second on each path")
	seconds := fs.Duration("time", 10*time.Second, "length of the measurement")
	warm := fs.Duration("warm", 7*time.Second, "load before the measurement")
	service := fs.Duration("service-time", time.Millisecond, "service time of the server")
	size := fs.Int("size", 200, "body size of a request in bytes")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	profile := fs.String("profile", "", "folder for processor profiles of the two nodes")
	if err := fs.Parse(args); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, latencyFleet(*bin, folder, *service))
	if err != nil {
		return err
	}
	defer f.Close()
	target, ingress := f.Host("b1"), f.Host("a1")
	paths := []*measuredPath{
		{name: "direct", url: baseURL(target.Server) + "/slots"},
		{name: "same host", url: baseURL(target.Listen) + "/bookings/slots"},
		{name: "two nodes", url: baseURL(ingress.Listen) + "/bookings/slots"},
	}
	sendLoad(ctx, paths, *rate, *warm, *size, *seed)
	for _, p := range paths {
		p.latency, p.failed = nil, 0
	}
	profiled := make(chan error, 2)
	for _, h := range []*fleet.Host{target, ingress} {
		go func(ctx context.Context) { profiled <- takeProfile(ctx, h, *profile, *seconds) }(ctx)
	}
	sendLoad(ctx, paths, *rate, *seconds, *size, *seed+1)
	for range 2 {
		if err := <-profiled; err != nil {
			return err
		}
	}
	printLatency(os.Stdout, paths)
	for _, h := range []*fleet.Host{target, ingress} {
		if err := printNodeStats(ctx, os.Stdout, h); err != nil {
			return err
		}
	}
	return nil
}

// takeProfile writes a processor profile of a node to a folder. It does nothing if the
// folder is empty.
func takeProfile(ctx context.Context, h *fleet.Host, folder string, length time.Duration) error {
	if folder == "" {
		return nil
	}
	b, err := fleet.Get(ctx, fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", baseURL(h.Admin), int(length.Seconds())))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, string(h.HostPlacement.Host)+".pprof"), b, 0o644)
}

func baseURL(a netip.AddrPort) string { return "http://" + a.String() }

// latencyFleet returns a fleet with one server of the measured service, and one host
// of another service whose node is the ingress of the path through two nodes.
func latencyFleet(bin, folder string, service time.Duration) fleet.Config {
	return fleet.Config{
		Bin:    bin,
		Folder: folder,
		Services: []fleet.Service{
			{Name: "bookings", Slots: 64, Connections: 200, Hosts: []fleet.HostPlacement{{Host: "b1", DataCentre: "hobart"}},
				ServerArgs: []string{"-service-time", service.String(), "-noise", "0", "-warm-after", "0"}},
			{Name: "payments", Slots: 9, Connections: 200, Hosts: []fleet.HostPlacement{{Host: "a1", DataCentre: "hobart"}}},
		},
		Plans: prim.Plans{Customers: []prim.CustomerEntry{
			{Name: "bench", Plan: "all", Credentials: []string{fleet.HashToken(benchToken)}},
		}},
		Allowances: prim.Allowances{
			Plans: []prim.Plan{{Name: "all", Allowances: []prim.Allowance{
				{Service: "bookings", Rate: 1e6, Burst: 1e5}, {Service: "payments", Rate: 1e6, Burst: 1e5},
			}}},
			Routes: []prim.Route{{Service: "bookings", Method: http.MethodPost, Path: "/slots", Class: "SlotCheck", Idempotent: true}},
		},
		DataCentres: prim.DataCentres{DataCentres: []prim.DataCentreEntry{{Name: "hobart", Region: "tasmania", InService: true}}},
	}
}

// sendLoad sends requests with Poisson arrivals on every path and waits for the
// responses.
func sendLoad(ctx context.Context, paths []*measuredPath, rate int, length time.Duration, size int, seed uint64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(seed, 0))
	body := strings.Repeat("x", size)
	var calls sync.WaitGroup
	next := time.Now()
	end := next.Add(length)
	for next.Before(end) && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		p := paths[random.IntN(len(paths))]
		calls.Go(func() { p.call(ctx, client, body) })
		gap := random.ExpFloat64() / float64(rate*len(paths))
		next = next.Add(time.Duration(gap * float64(time.Second)))
	}
	calls.Wait()
}

func (p *measuredPath) call(ctx context.Context, client *http.Client, body string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+benchToken)
	start := time.Now()
	resp, err := client.Do(req)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		ok = ok && err == nil
	}
	took := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latency == nil {
		p.latency = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	if !ok {
		p.failed++
		return
	}
	p.latency.RecordValue(took.Microseconds())
}

// printLatency prints the latency percentiles at the caller. The columns added show
// the difference to the first path.
func printLatency(w io.Writer, paths []*measuredPath) {
	fmt.Fprintf(w, "%-10s %8s %6s %10s %10s %10s %12s %12s %12s\n",
		"path", "calls", "failed", "p50 ms", "p99 ms", "p99.9 ms", "added p50", "added p99", "added p99.9")
	base := paths[0].latency
	for _, p := range paths {
		row := []string{fmt.Sprintf("%-10s %8d %6d", p.name, p.latency.TotalCount(), p.failed)}
		for _, q := range []float64{50, 99, 99.9} {
			row = append(row, fmt.Sprintf("%10.3f", milliseconds(p.latency.ValueAtQuantile(q))))
		}
		for _, q := range []float64{50, 99, 99.9} {
			row = append(row, fmt.Sprintf("%12.3f", milliseconds(p.latency.ValueAtQuantile(q)-base.ValueAtQuantile(q))))
		}
		fmt.Fprintln(w, strings.Join(row, " "))
	}
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

// printNodeStats prints the request statistics that a node has recorded itself.
func printNodeStats(ctx context.Context, w io.Writer, h *fleet.Host) error {
	b, err := fleet.Get(ctx, baseURL(h.Admin)+"/debug/vars")
	if err != nil {
		return err
	}
	var vars map[string]json.RawMessage
	if err := json.Unmarshal(b, &vars); err != nil {
		return err
	}
	var node struct{ AllowanceUsage json.RawMessage }
	if err := json.Unmarshal(vars["Node"], &node); err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: %s allowances: %s\n", h.HostPlacement.Host, vars["Requests"], node.AllowanceUsage)
	return nil
}
