package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// The move measurement takes a data centre out of service and puts it back
// under load, with real processes, and reports the share of served requests and the
// latency in each phase.

// moveDataCentres are the data centres of the fleet.
var moveDataCentres = [...]prim.DataCentre{"adum", "bantama", "tafo"}

// movePhase is a phase of the run with its results.
type movePhase struct {
	name   string
	length time.Duration
	begin  func() error

	mu       sync.Mutex
	sent     int
	ok       int
	failures map[string]int // number by status and outcome, or by error
	latency  *hdrhistogram.Histogram
}

func runMove(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("move", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "folder of the built programs")
	rate := fs.Int("rate", 300, "requests a second")
	length := fs.Duration("time", 6*time.Second, "length of each phase")
	seed := fs.Uint64("seed", 1, "seed of the load")
	if err := fs.Parse(args); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	config := moveFleet(*bin, folder)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, config)
	if err != nil {
		return err
	}
	defer f.Close()
	setInService := func(in bool) func() error {
		return func() error {
			config.DataCentres.DataCentres[0].InService = in
			return f.Publish(prim.NameDataCentres, config.DataCentres)
		}
	}
	noChange := func() error { return nil }
	phases := []*movePhase{
		{name: "start (not counted)", length: 8 * time.Second, begin: noChange},
		{name: "all in service", length: *length, begin: noChange},
		{name: "taken out", length: *length, begin: setInService(false)},
		{name: "put back", length: *length, begin: setInService(true)},
	}
	random := rand.New(rand.NewPCG(*seed, 0))
	for _, p := range phases {
		if err := p.begin(); err != nil {
			return err
		}
		p.run(ctx, f, *rate, random)
	}
	return reportMove(os.Stdout, phases[1:])
}

// moveFleet returns a fleet with the orders service of the Kumasi deployment: 10
// servers of 6 slots in three data centres that are 5 ms apart.
func moveFleet(bin, folder string) fleet.Config {
	config := fleet.Config{
		Bin: bin, Folder: folder, NodeArgs: []string{"-default-cost", "5ms"},
		Plans: prim.Plans{Customers: []prim.CustomerEntry{
			{Name: "bench", Plan: "all", Credentials: []string{fleet.HashToken(benchToken)}},
		}},
		Allowances: prim.Allowances{
			Plans: []prim.Plan{{Name: "all", Allowances: []prim.Allowance{{Service: "orders", Rate: 1e6, Burst: 1e5}}}},
			Routes: []prim.Route{
				{Service: "orders", Method: http.MethodGet, Path: "/stock", Class: "Stock", Idempotent: true},
				{Service: "orders", Method: http.MethodPost, Path: "/deposits", Class: "Deposit"},
			},
		},
	}
	orders := fleet.Service{Name: "orders", Slots: 6, Connections: 250}
	for i := range 10 {
		orders.Hosts = append(orders.Hosts, fleet.HostPlacement{
			Host: prim.HostName(fmt.Sprintf("orders-%d", i)), DataCentre: moveDataCentres[i%len(moveDataCentres)],
		})
	}
	for _, d := range moveDataCentres {
		config.DataCentres.DataCentres = append(config.DataCentres.DataCentres,
			prim.DataCentreEntry{Name: d, Region: "kumasi", InService: true})
	}
	config.Services = []fleet.Service{orders}
	return config
}

// run sends requests with Poisson arrivals, half reads and half deposits, to the nodes
// of all data centres, and waits for the responses.
func (p *movePhase) run(ctx context.Context, f *fleet.Fleet, rate int, random *rand.Rand) {
	p.failures = make(map[string]int)
	p.latency = hdrhistogram.New(1, histogramMax, histogramDigits)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	next := time.Now()
	for end := next.Add(p.length); next.Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Until(next))
		h := f.Hosts[random.IntN(len(f.Hosts))]
		method, path := http.MethodGet, "/orders/stock"
		if random.IntN(2) == 0 {
			method, path = http.MethodPost, "/orders/deposits"
		}
		calls.Go(func() { p.call(ctx, client, method, baseURL(h.Listen)+path) })
		next = next.Add(time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second)))
	}
	calls.Wait()
}

func (p *movePhase) call(ctx context.Context, client *http.Client, method, url string) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+benchToken)
	req.Header.Set("Request-Timeout", "2000")
	start := time.Now()
	result := "no answer"
	resp, err := client.Do(req)
	if err == nil {
		result = fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Primrosethread-Outcome"))
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			result = "body cut off"
		}
		resp.Body.Close()
	}
	took := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if result == "200 Done" {
		p.ok++
		p.latency.RecordValue(took.Microseconds())
		return
	}
	p.failures[result]++
}

func reportMove(out io.Writer, phases []*movePhase) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "phase\trequests\tserved %\tp50 ms\tp99 ms\tp99.9 ms\tfailures")
	for _, p := range phases {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%v\n", p.name, p.sent, 100*float64(p.ok)/float64(max(p.sent, 1)),
			milliseconds(p.latency.ValueAtQuantile(50)), milliseconds(p.latency.ValueAtQuantile(99)), milliseconds(p.latency.ValueAtQuantile(99.9)), p.failures)
	}
	return w.Flush()
}
