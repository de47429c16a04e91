package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosethread/primrosethread/waits"
)

// Limits that the checks enforce.
const (
	// A draining server and those of an evacuated data centre get no new request after
	// these times.
	drainBound    = 2 * time.Second
	evacuateBound = 5 * time.Second
	// limitGrace is the time from when a server names a limit until it has to be kept, and
	// limitSlack the number of requests by which it may be exceeded.
	limitGrace = time.Second
	limitSlack = 5
	// After a route change, the old route stays allowed for requests sent within this time.
	routesBound = 2 * time.Second
	// warmUpSlackRequests is by how much the requests in the second after a restart may
	// exceed warmUpRate.
	warmUpSlackRequests = 5
	// minServedShare is the minimum share of requests served once the faults have ended.
	minServedShare = 0.99
	clientsPerHost = 4 // each host sends through its own node
	requestTimeout = time.Second
)

// requestResult is the result of one request as its client saw it.
type requestResult struct {
	id, path    string
	host        *host
	sent        time.Time
	took        time.Duration
	status      int // 0 without a response
	body        string
	err         error
	undisturbed bool     // no fault affected the host or the store while the request ran
	informed    bool     // the same, but for cuts between data centres
	kept        *keptEnd // nil if the connection was not kept
}

// rejected reports whether the response has a status of redirects or client errors.
// Nodes pass on no such status from a server.
func (r requestResult) rejected() bool { return r.status >= 300 && r.status < 500 }

// runSeed runs the faults and requests of one seed. It returns a summary line, and
// an error that lists the violations found.
func runSeed(ctx context.Context, c config) (report string, err error) {
	d, err := newDeployment(c)
	if err != nil {
		return "not started", err
	}
	defer d.close()
	startCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.waitReady(startCtx); err != nil {
		return "not started", err
	}
	results := &resultList{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { d.watchStalls(loadCtx) })
	for i, h := range d.hosts {
		for k := range clientsPerHost {
			load.Go(func() {
				d.runClient(loadCtx, h, rand.New(rand.NewPCG(c.seed, uint64(100+i*clientsPerHost+k))), results)
			})
		}
		load.Go(func() {
			d.runPipeliningClient(loadCtx, h, rand.New(rand.NewPCG(c.seed, uint64(pipelineSource+i))), results)
		})
		for k := range keptPerHost {
			load.Go(func() {
				d.runKeepingClient(loadCtx, h, rand.New(rand.NewPCG(c.seed, uint64(keptSource+i*keptPerHost+k))), results)
			})
		}
		if d.regions > 1 {
			load.Go(func() {
				d.runHomeClient(loadCtx, h, rand.New(rand.NewPCG(c.seed, uint64(homeSource+i))), results)
			})
		}
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, c.length)
	var injecting sync.WaitGroup
	for half := range 2 {
		injecting.Go(func() { d.injectFaults(faultCtx, half) })
	}
	if d.regions > 1 {
		injecting.Go(func() { d.injectRegionFaults(faultCtx) })
	}
	injecting.Go(func() { d.injectResets(faultCtx) })
	injecting.Go(func() { d.injectUnsigned(faultCtx) })
	injecting.Go(func() { d.injectLimits(faultCtx) })
	injecting.Wait()
	stopFaults()
	// The deployment recovers in the first seconds without faults, so requests sent in
	// them may fail.
	waits.Sleep(ctx, recoveryTime+2*time.Second)
	recoveredAt := time.Now()
	versionResults := d.checkVersions()
	waits.Sleep(ctx, 2*time.Second)
	stopLoad()
	load.Wait()
	keptReport := d.checkKept(results.results)
	d.checkAnswers(results.results, recoveredAt)
	d.checkRuns(append(versionResults, results.results...))
	resets := 0
	for _, h := range d.hosts {
		resets += h.app.Resets()
	}
	report = fmt.Sprintf("%d regions, %d resets, %d requests, %d served, %d rejected, %d stalls; kept connections: %s", d.regions, resets, len(results.results),
		results.count(func(res requestResult) bool { return res.status == 200 }), results.count(requestResult.rejected), len(d.stalls), keptReport)
	if len(d.violations) > 0 {
		return report, errors.New("violations: " + strings.Join(d.violations, "\n        ") + "\n        logs in " + d.folder)
	}
	if c.folder == "" {
		os.RemoveAll(d.folder)
	}
	return report, nil
}

// resultList collects the results of requests.
type resultList struct {
	mu      sync.Mutex
	results []requestResult
}

func (r *resultList) add(res requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

func (r *resultList) count(match func(requestResult) bool) (n int) {
	for _, res := range r.results {
		if match(res) {
			n++
		}
	}
	return n
}

var lastRequestID atomic.Int64

// runClient sends requests to the node of a host until the context ends. It reuses
// its connection until that breaks.
func (d *deployment) runClient(ctx context.Context, h *host, r *rand.Rand, results *resultList) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		waits.Sleep(ctx, time.Duration(20+r.IntN(60))*time.Millisecond)
		path := []string{"/safe/", "/unsafe/", "/other/"}[r.IntN(3)]
		results.add(d.send(client, h, path, r))
	}
}

func newClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	// One connection, and no retries by net/http.
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1}}
}

func (d *deployment) send(client *http.Client, h *host, path string, r *rand.Rand) requestResult {
	res := requestResult{id: fmt.Sprintf("q-%d", lastRequestID.Add(1)), path: path, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if path == "/unsafe/" {
		method, body = http.MethodPost, bytes.NewReader(make([]byte, r.IntN(4000)))
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%sx", h.ip, portCallers, path), body)
	if err != nil {
		res.err = err
		return res
	}
	q.GetBody = nil // net/http retries a request whose body it can read again
	q.Host = "a.example"
	q.Header.Set("X-Attempt-Id", res.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	q.Header.Set("X-Caller-Service", "forged")
	resp, err := client.Do(q)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		res.status, res.body = resp.StatusCode, string(b)
		if err == nil {
			d.checkID(res, resp.Header)
		}
	}
	res.err, res.took = err, time.Since(res.sent)
	d.observe(&res)
	return res
}

// observe sets which faults a request met that has just ended.
func (d *deployment) observe(res *requestResult) {
	res.informed = res.host.informedSince(res.sent) && d.storeHealthySince(res.sent)
	res.undisturbed = res.informed && res.host.undisturbedSince(res.sent)
}

// checkAnswers checks the responses that clients got: bodies belong to their
// requests, no request is rejected, since the paths are in every configuration, and
// requests sent after recoveredAt are served.
func (d *deployment) checkAnswers(list []requestResult, recoveredAt time.Time) {
	sent, served := 0, 0
	for _, res := range list {
		if res.status == 200 && res.err == nil && !strings.Contains(res.body, " answers "+res.id+" with ") {
			d.fail("request %s got the body %q", res.id, res.body)
		}
		// The idle timeout also bounds the pauses in a body.
		if res.rejected() && !(res.status == http.StatusRequestTimeout && res.kept != nil && res.kept.slow) {
			d.fail("request %s for %s at host %s, sent at %s, got status %d", res.id, res.path, res.host.name, res.sent.Format("15:04:05.000"), res.status)
		}
		if res.sent.After(recoveredAt) && !res.unanswered() {
			sent++
			if res.status == 200 {
				served++
			} else {
				fmt.Printf("request not served after the faults: %s %s at %s, status %d, %v, %v\n", res.id, res.path, res.host.name, res.status, res.took, res.err)
			}
		}
	}
	if float64(served) < minServedShare*float64(sent) {
		d.fail("%d of %d requests were served after the faults had ended", served, sent)
	}
}

// checkVersions checks that every node uses the newest version of the routes: it has
// the path of that version and not that of the previous one. It returns the results of
// its requests.
func (d *deployment) checkVersions() (list []requestResult) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d.mu.Lock()
	version := d.version
	d.mu.Unlock()
	for _, h := range d.hosts {
		newest := d.send(client, h, versionPath(version), nil)
		if newest.status == http.StatusNotFound {
			d.fail("host %s does not have the path of the newest version %08x of the routes: request %s got status 404", h.name, version, newest.id)
		}
		previous := d.send(client, h, versionPath(version-versionStep), nil)
		if previous.status != http.StatusNotFound {
			d.fail("host %s still has a path that version %08x of the routes dropped: request %s got status %d, %v", h.name, version, previous.id, previous.status, previous.err)
		}
		list = append(list, newest, previous)
	}
	return list
}

// checkNoRequests checks that a server which was taken out of service gets no
// request later than bound after that. It checks nothing if a fault affected any
// host or the store meanwhile.
func (d *deployment) checkNoRequests(h *host, why string, since time.Time, bound time.Duration) {
	for _, other := range d.hosts {
		if !other.undisturbedSince(since) {
			return
		}
	}
	if !d.storeHealthySince(since) {
		return
	}
	for _, r := range h.app.Runs() {
		if r.At.After(since.Add(bound)) {
			d.fail("host %s, %s since %s, still ran %s at %s", h.name, why, since.Format("05.000"), r.ID, r.At.Format("05.000"))
		}
	}
}

// checkLimit checks that a server got at most one and a half times the requests that a limit
// named by it allows, and limitSlack, between two times.
func (d *deployment) checkLimit(h *host, rate float64, from, until time.Time) {
	n := 0
	for _, r := range h.app.Runs() {
		if r.At.After(from) && r.At.Before(until) {
			n++
		}
	}
	if allowed := 1.5*rate*until.Sub(from).Seconds() + limitSlack; float64(n) > allowed {
		d.fail("host %s ran %d requests from %s to %s; its limit allows %.1f", h.name, n, from.Format("05.000"), until.Format("05.000"), allowed)
	}
}

// routeAllows reports whether a request for the path /safe/ may run at a service at a
// time: a route to the service was published before then, and if it was replaced, then
// at most routesBound before the request was sent.
func (d *deployment) routeAllows(res requestResult, service string, at time.Time) bool {
	for i, change := range d.routeChanges {
		replaced := i+1 < len(d.routeChanges) && d.routeChanges[i+1].at.Before(res.sent.Add(-routesBound))
		if change.service == service && !replaced && change.at.Before(at) {
			return true
		}
	}
	return false
}

// checkRuns compares the requests that servers ran with the results of the clients.
func (d *deployment) checkRuns(list []requestResult) {
	byID := make(map[string]requestResult, len(list))
	for _, res := range list {
		byID[res.id] = res
	}
	d.checkHome(byID)
	runs := make(map[string]int)
	for _, h := range d.hosts {
		var starts []time.Time
		for _, r := range h.app.Runs() {
			runs[r.ID]++
			starts = append(starts, r.At)
			res, known := byID[r.ID]
			switch {
			case !known:
				d.fail("host %s ran %q, which no client sent", h.name, r.ID)
			case r.Origin != res.host.app.Service:
				d.fail("request %s ran with the origin %q", r.ID, r.Origin)
			case !strings.HasPrefix(r.Path, res.path):
				d.fail("request %s for %s ran as %s", r.ID, res.path, r.Path)
			case res.path == "/safe/" && res.undisturbed && !d.routeAllows(res, h.app.Service, r.At):
				d.fail("request %s of host %s ran at the service of an old route at %s", r.ID, res.host.name, r.At.Format("05.000"))
			}
		}
		d.checkWarmUpRate(h, starts)
	}
	for id, count := range runs {
		res := byID[id]
		if res.undisturbed && res.status == 0 && !res.unanswered() && !errors.Is(res.err, context.DeadlineExceeded) {
			d.fail("request %s at host %s, sent at %s, ran, but its client lost the connection: %v", id, res.host.name, res.sent.Format("05.000"), res.err)
		}
		if res.path == "/unsafe/" && count > 1 {
			d.fail("request %s ran %d times", id, count)
		}
		if res.path == "/unsafe/" && errors.Is(res.err, errBehindClose) {
			d.fail("request %s at host %s ran behind a response that closed the connection", id, res.host.name)
		}
		if res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests {
			d.fail("request %s for %s at host %s, sent at %s, ran, but its client got status %d, which says that it did not",
				id, res.path, res.host.name, res.sent.Format("05.000"), res.status)
		}
	}
}

// checkWarmUpRate checks the number of requests started in the second after each
// restart of a server. It counts the requests from all nodes, so the limit is that of
// a cold server.
func (d *deployment) checkWarmUpRate(h *host, starts []time.Time) {
	slices.SortFunc(starts, time.Time.Compare)
	for _, restart := range h.app.Starts() {
		n := 0
		for _, start := range starts {
			if start.After(restart) && start.Before(restart.Add(warmUpTime)) {
				n++
			}
		}
		if n > int(warmUpRate)+warmUpSlackRequests {
			d.fail("host %s got %d requests in the first second after a restart", h.name, n)
		}
	}
}
