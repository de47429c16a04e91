package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/fleet"
)

// The capacity measurement runs fleets of several sizes as processes without load
// and reports the control traffic and resources of each node, with and without
// document changes. The growth rates in docs/CAPACITY.md come from it.

// clockTicks is the number of ticks a second of the processor times in /proc.
const clockTicks = 100

// startTimeout bounds the start of a fleet.
const startTimeout = time.Minute

// usage is the resource usage of one node.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
	peerBytes     int64 // received from and sent to other nodes
}

func runCapacity(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "folder of the built programs")
	sizes := fs.String("sizes", "5,10,20,40", "numbers of hosts")
	length := fs.Duration("time", 15*time.Second, "length of each measurement")
	customers := fs.Int("customers", 100, "customers in the Plans list")
	change := fs.Duration("change", 3750*time.Millisecond, "time between two changes of a document; 0 for none")
	if err := fs.Parse(args); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "hosts\tprocessor %\tresident MB\tbytes/s\tplatform reads/s\tchanges\t")
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			return fmt.Errorf("size %q is not a positive number of hosts; use a list such as 5,10,20", s)
		}
		if err := measureCapacity(ctx, w, *bin, n, *customers, *length, *change); err != nil {
			return err
		}
	}
	return w.Flush()
}

func measureCapacity(ctx context.Context, w *tabwriter.Writer, bin string, n, customers int, length, change time.Duration) error {
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	config := capacityFleet(bin, folder, n, customers)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(startCtx, config)
	if err != nil {
		return err
	}
	defer f.Close()
	const settle = 5 * time.Second // time to dial links and distribute documents
	time.Sleep(settle)
	before, err := readUsages(ctx, f)
	if err != nil {
		return err
	}
	reads, err := readPlatformCalls(ctx, f)
	if err != nil {
		return err
	}
	began := time.Now()
	changes := 0
	for next := began.Add(change); time.Since(began) < length && ctx.Err() == nil; {
		time.Sleep(50 * time.Millisecond)
		if change > 0 && time.Now().After(next) {
			next = next.Add(change)
			changes++
			config.Plans.Customers[0].Name = prim.Customer(fmt.Sprintf("c0-%d", changes))
			if err := f.Publish(prim.NamePlans, config.Plans); err != nil {
				return err
			}
		}
	}
	seconds := time.Since(began).Seconds()
	after, err := readUsages(ctx, f)
	if err != nil {
		return err
	}
	readsAfter, err := readPlatformCalls(ctx, f)
	if err != nil {
		return err
	}
	var sum usage
	for i := range after {
		sum.cpuTime += after[i].cpuTime - before[i].cpuTime
		sum.residentBytes += after[i].residentBytes
		sum.peerBytes += after[i].peerBytes - before[i].peerBytes
	}
	nodes := float64(n)
	_, err = fmt.Fprintf(w, "%d\t%.2f\t%.1f\t%.0f\t%.1f\t%d\t\n", n,
		100*sum.cpuTime.Seconds()/seconds/nodes, float64(sum.residentBytes)/nodes/(1<<20),
		float64(sum.peerBytes)/seconds/nodes, float64(readsAfter-reads)/seconds, changes)
	return err
}

// capacityFleet returns a fleet with services of up to 20 hosts each, the average of
// the target deployment.
func capacityFleet(bin, folder string, n, customers int) fleet.Config {
	const hostsPerService = 20
	config := fleet.Config{Bin: bin, Folder: folder}
	for i := range 3 {
		config.DataCentres.DataCentres = append(config.DataCentres.DataCentres,
			prim.DataCentreEntry{Name: prim.DataCentre(fmt.Sprintf("dc%d", i)), Region: "r", InService: true})
	}
	plan := prim.Plan{Name: "p"}
	for first := 0; first < n; first += hostsPerService {
		s := fleet.Service{Name: prim.Service(fmt.Sprintf("s%d", first/hostsPerService)), Slots: 9, Connections: 200}
		for i := first; i < min(n, first+hostsPerService); i++ {
			s.Hosts = append(s.Hosts, fleet.HostPlacement{
				Host:       prim.HostName(fmt.Sprintf("h%d", i)),
				DataCentre: prim.DataCentre(fmt.Sprintf("dc%d", i%3)),
			})
		}
		config.Services = append(config.Services, s)
		plan.Allowances = append(plan.Allowances, prim.Allowance{Service: s.Name, Rate: 100, Burst: 100})
	}
	config.Allowances.Plans = []prim.Plan{plan}
	config.Allowances.Routes = []prim.Route{} // a nil slice is encoded as null, which nodes reject
	for i := range customers {
		name := fmt.Sprintf("c%d", i)
		config.Plans.Customers = append(config.Plans.Customers, prim.CustomerEntry{
			Name: prim.Customer(name), Plan: "p", Credentials: []string{fleet.HashToken(name)},
		})
	}
	return config
}

func readUsages(ctx context.Context, f *fleet.Fleet) ([]usage, error) {
	var us []usage
	for _, h := range f.Hosts {
		u, err := readUsage(ctx, h)
		if err != nil {
			return nil, err
		}
		us = append(us, u)
	}
	return us, nil
}

// readUsage reads the processor time and the resident memory of a node from
// /proc, and its traffic with other nodes from its status page.
func readUsage(ctx context.Context, h *fleet.Host) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Node.PID()))
	if err != nil {
		return u, err
	}
	// In the fields after the program's name in parentheses, utime and stime are
	// the 12th and 13th, and the resident pages the 22nd.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var ticks, pages int64
	for _, i := range []int{11, 12} {
		t, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, err
		}
		ticks += t
	}
	if pages, err = strconv.ParseInt(fields[21], 10, 64); err != nil {
		return u, err
	}
	u.cpuTime = time.Duration(ticks) * time.Second / clockTicks
	u.residentBytes = pages * int64(os.Getpagesize())
	b, err := fleet.Get(ctx, baseURL(h.Admin)+"/status")
	if err != nil {
		return u, err
	}
	var status struct {
		Peers struct{ BytesIn, BytesOut int64 }
	}
	if err := json.Unmarshal(b, &status); err != nil {
		return u, err
	}
	u.peerBytes = status.Peers.BytesIn + status.Peers.BytesOut
	return u, nil
}

// readPlatformCalls returns how many calls the platform has answered.
func readPlatformCalls(ctx context.Context, f *fleet.Fleet) (int64, error) {
	b, err := fleet.Get(ctx, baseURL(f.Platforms[0])+"/counts")
	if err != nil {
		return 0, err
	}
	var counts map[string]int64
	if err := json.Unmarshal(b, &counts); err != nil {
		return 0, fmt.Errorf("cannot decode the platform's call counts: %w in %s", err, b)
	}
	return counts["Index"] + counts["Documents"] + counts["Watch"], nil
}
