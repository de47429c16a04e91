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

// The capacity measurement runs idle fleets of several sizes as processes and
// reports what control costs each node, with and without changes of a document.
// docs/CAPACITY.md takes its slopes from it.

// clockTicks is the unit of processor times in /proc, in ticks a second.
const clockTicks = 100

// startTimeout bounds the start of a fleet.
const startTimeout = time.Minute

// usage is what one node has used.
type usage struct {
	processor time.Duration
	resident  int64 // bytes
	bytes     int64 // to and from other nodes
}

func runCapacity(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	bin := fs.String("bin", "bin", "folder of the programs")
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
			return fmt.Errorf("size %q is not a number of hosts; write numbers such as 5,10,20", s)
		}
		if err := capacityOf(ctx, w, *bin, n, *customers, *length, *change); err != nil {
			return err
		}
	}
	return w.Flush()
}

func capacityOf(ctx context.Context, w *tabwriter.Writer, bin string, n, customers int, length, change time.Duration) error {
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	c := capacityFleet(bin, folder, n, customers)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(starting, c)
	if err != nil {
		return err
	}
	defer f.Close()
	const settle = 5 * time.Second // links are dialled and documents spread
	time.Sleep(settle)
	before, err := usages(ctx, f)
	if err != nil {
		return err
	}
	reads, err := platformReads(ctx, f)
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
			c.Plans.Customers[0].Name = prim.Customer(fmt.Sprintf("c0-%d", changes))
			if err := f.Publish(prim.NamePlans, c.Plans); err != nil {
				return err
			}
		}
	}
	seconds := time.Since(began).Seconds()
	after, err := usages(ctx, f)
	if err != nil {
		return err
	}
	readsAfter, err := platformReads(ctx, f)
	if err != nil {
		return err
	}
	var sum usage
	for i := range after {
		sum.processor += after[i].processor - before[i].processor
		sum.resident += after[i].resident
		sum.bytes += after[i].bytes - before[i].bytes
	}
	each := float64(n)
	_, err = fmt.Fprintf(w, "%d\t%.2f\t%.1f\t%.0f\t%.1f\t%d\t\n", n,
		100*sum.processor.Seconds()/seconds/each, float64(sum.resident)/each/(1<<20),
		float64(sum.bytes)/seconds/each, float64(readsAfter-reads)/seconds, changes)
	return err
}

// capacityFleet has services of up to 20 hosts, as the target has on average.
func capacityFleet(bin, folder string, n, customers int) fleet.Config {
	const serviceSize = 20
	c := fleet.Config{Bin: bin, Folder: folder}
	for i := range 3 {
		c.DataCentres.DataCentres = append(c.DataCentres.DataCentres,
			prim.DataCentreEntry{Name: prim.DataCentre(fmt.Sprintf("dc%d", i)), Region: "r", InService: true})
	}
	plan := prim.Plan{Name: "p"}
	for first := 0; first < n; first += serviceSize {
		s := fleet.Service{Name: prim.Service(fmt.Sprintf("s%d", first/serviceSize)), Slots: 9, Connections: 200}
		for i := first; i < min(n, first+serviceSize); i++ {
			s.Hosts = append(s.Hosts, fleet.Place{
				Host:       prim.HostName(fmt.Sprintf("h%d", i)),
				DataCentre: prim.DataCentre(fmt.Sprintf("dc%d", i%3)),
			})
		}
		c.Services = append(c.Services, s)
		plan.Allowances = append(plan.Allowances, prim.Allowance{Service: s.Name, Rate: 100, Burst: 100})
	}
	c.Allowances.Plans = []prim.Plan{plan}
	c.Allowances.Routes = []prim.Route{} // null would be refused
	for i := range customers {
		name := fmt.Sprintf("c%d", i)
		c.Plans.Customers = append(c.Plans.Customers, prim.CustomerEntry{
			Name: prim.Customer(name), Plan: "p", Credentials: []string{fleet.Hash(name)},
		})
	}
	return c
}

func usages(ctx context.Context, f *fleet.Fleet) ([]usage, error) {
	var us []usage
	for _, h := range f.Hosts {
		u, err := usageOf(ctx, h)
		if err != nil {
			return nil, err
		}
		us = append(us, u)
	}
	return us, nil
}

// usageOf reads the processor time and the resident memory of a node from
// /proc, and its bytes from its status.
func usageOf(ctx context.Context, h *fleet.Host) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Node.PID()))
	if err != nil {
		return u, err
	}
	// The fields after the program's name in parentheses; utime and stime are
	// the 12th and 13th of them, the resident pages the 22nd.
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
	u.processor = time.Duration(ticks) * time.Second / clockTicks
	u.resident = pages * int64(os.Getpagesize())
	b, err := fleet.Get(ctx, address(h.Admin)+"/status")
	if err != nil {
		return u, err
	}
	var status struct {
		Peers struct{ BytesIn, BytesOut int64 }
	}
	if err := json.Unmarshal(b, &status); err != nil {
		return u, err
	}
	u.bytes = status.Peers.BytesIn + status.Peers.BytesOut
	return u, nil
}

// platformReads returns how many calls the platform has answered.
func platformReads(ctx context.Context, f *fleet.Fleet) (int64, error) {
	b, err := fleet.Get(ctx, address(f.Platforms[0])+"/counts")
	if err != nil {
		return 0, err
	}
	var counts map[string]int64
	if err := json.Unmarshal(b, &counts); err != nil {
		return 0, fmt.Errorf("counts of the platform: %w in %s", err, b)
	}
	return counts["Index"] + counts["Documents"] + counts["Watch"], nil
}
