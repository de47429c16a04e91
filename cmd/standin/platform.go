package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// This file implements the HTTP interface of the stand-in for the configuration
// service. Clients can only read. Reads are rate limited and counted.

// indexHeader is the response header with the index counter. GET /v1/watch takes
// its value as the parameter after.
const indexHeader = "Primrosethread-Index"

// maxWatchWait is the time after which a watch responds even if the index is
// unchanged.
const maxWatchWait = 55 * time.Second

// platformFaults holds the fault switches of the platform.
type platformFaults struct {
	// Down aborts every read without a response.
	Down bool
	// Stale serves the versions and Issued times of the moment at which it was set,
	// as a replica does that lost the connection to its source.
	Stale bool
	// SlowMs delays every response, in milliseconds.
	SlowMs int
}

func validatePlatformFaults(f platformFaults) error {
	if f.SlowMs < 0 || f.SlowMs > 60_000 {
		return fmt.Errorf("SlowMs: %d is not a delay; write 0 to 60000", f.SlowMs)
	}
	return nil
}

// platformCounts counts the reads by path. A watch counts as one read.
type platformCounts struct {
	Index, Documents, Watch atomic.Int64
	// Refused counts the reads beyond the rate limit, Failed those that Down
	// aborted.
	Refused, Failed atomic.Int64
}

// platform serves the documents of a folder.
type platform struct {
	folder  *folder
	limiter *rate.Limiter
	faults  *switches[platformFaults]
	counts  platformCounts

	mu sync.Mutex
	// frozen is the snapshot that is served while Stale is set.
	frozen  *snapshot
	downSet chan struct{} // closed while Down is set
}

// newPlatform returns a platform that serves f, with a limit in reads per second.
func newPlatform(f *folder, limit float64) *platform {
	// The burst is the number of reads in 100 ms, as with a real service that has a
	// short queue.
	p := &platform{folder: f, limiter: rate.NewLimiter(rate.Limit(limit), max(1, int(limit/10))), downSet: make(chan struct{})}
	p.faults = newSwitches(platformFaults{}, validatePlatformFaults, p.faultChanged)
	return p
}

// faultChanged freezes the snapshot when Stale is set, and aborts waiting watches
// when Down is set.
func (p *platform) faultChanged(old, now *platformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case now.Stale && !old.Stale:
		s := p.folder.current()
		s.issued = time.Now()
		p.frozen = &s
	case !now.Stale:
		p.frozen = nil
	}
	switch {
	case now.Down && !old.Down:
		close(p.downSet)
	case !now.Down && old.Down:
		p.downSet = make(chan struct{})
	}
}

// snapshot returns the snapshot to serve, and a channel that is closed when Down is
// set.
func (p *platform) snapshot() (snapshot, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		return *p.frozen, p.downSet
	}
	s := p.folder.current()
	s.issued = time.Now()
	return s, p.downSet
}

// handler returns the handler of the HTTP interface.
func (p *platform) handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/v1/index", p.read(&p.counts.Index, p.serveIndex)).Methods(http.MethodGet)
	m.Handle("/v1/documents/{name}", p.read(&p.counts.Documents, p.serveDocument)).Methods(http.MethodGet)
	m.Handle("/v1/watch", p.read(&p.counts.Watch, p.serveWatch)).Methods(http.MethodGet)
	m.Handle("/fault", p.faults).Methods(http.MethodGet, http.MethodPost)
	m.HandleFunc("/counts", p.serveCounts).Methods(http.MethodGet)
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready\n") }).Methods(http.MethodGet)
	return m
}

// read wraps the handler of a read: it counts the read in n and applies the rate
// limit and the faults.
func (p *platform) read(counter *atomic.Int64, h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counter.Add(1)
		f := p.faults.load()
		if f.Down {
			p.counts.Failed.Add(1)
			panic(http.ErrAbortHandler)
		}
		if !p.limiter.Allow() {
			p.counts.Refused.Add(1)
			w.Header().Set("Retry-After", "1")
			writeJSON(w, http.StatusTooManyRequests, map[string]string{"Error": "over the limit of reads a second", "Remedy": "read less often"})
			return
		}
		if f.SlowMs > 0 && !sleep(r.Context(), time.Duration(f.SlowMs)*time.Millisecond) {
			return
		}
		h(w, r)
	})
}

// digest is the entry of one document in the index. The hash is a string because
// some JSON decoders lose precision on 64-bit numbers.
type digest struct {
	Name    string
	Version uint64
	Hash    string
	Issued  time.Time
}

func (s *snapshot) digest(d *document) digest {
	return digest{Name: d.name, Version: d.version, Hash: strconv.FormatUint(d.hash, 10), Issued: s.issued.UTC()}
}

func (p *platform) serveIndex(w http.ResponseWriter, _ *http.Request) {
	s, _ := p.snapshot()
	writeIndex(w, &s)
}

// writeIndex writes a response with the digests of all documents.
func writeIndex(w http.ResponseWriter, s *snapshot) {
	body := struct{ Documents []digest }{Documents: []digest{}}
	for _, d := range s.documents {
		body.Documents = append(body.Documents, s.digest(d))
	}
	w.Header().Set(indexHeader, strconv.FormatUint(s.counter, 10))
	writeJSON(w, http.StatusOK, body)
}

// serveDocument responds with one document. The JSON is formatted here because
// json.Marshal would change the bytes of the body, over which the hash is computed.
func (p *platform) serveDocument(w http.ResponseWriter, r *http.Request) {
	s, _ := p.snapshot()
	name := mux.Vars(r)["name"]
	for _, d := range s.documents {
		if d.name != name {
			continue
		}
		dg := s.digest(d)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Name":%q,"Version":%d,"Hash":"%s","Issued":%q,"Body":%s}`,
			dg.Name, dg.Version, dg.Hash, dg.Issued.Format(time.RFC3339Nano), d.body)
		return
	}
	writeJSON(w, http.StatusNotFound, map[string]string{"Error": "no such document", "Remedy": "see GET /v1/index"})
}

// serveWatch waits until the index counter is greater than the parameter after, and
// responds with the index. After maxWatchWait it responds with the unchanged index.
func (p *platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"Error": "after is not a counter", "Remedy": "write the value of the header " + indexHeader})
		return
	}
	timeout := time.NewTimer(maxWatchWait)
	defer timeout.Stop()
	for {
		s, down := p.snapshot()
		changed := s.changed
		if s.counter > after {
			writeIndex(w, &s)
			return
		}
		var recheck <-chan time.Time
		if p.faults.load().Stale {
			// The channel of a frozen snapshot is closed at the first change that it
			// hides, so poll for the end of the fault instead.
			changed, recheck = nil, time.After(100*time.Millisecond)
		}
		select {
		case <-changed:
		case <-down:
			p.counts.Failed.Add(1)
			panic(http.ErrAbortHandler)
		case <-timeout.C:
			s, _ := p.snapshot()
			writeIndex(w, &s)
			return
		case <-recheck:
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	c := &p.counts
	writeJSON(w, http.StatusOK, map[string]int64{
		"Index": c.Index.Load(), "Documents": c.Documents.Load(), "Watch": c.Watch.Load(),
		"Refused": c.Refused.Load(), "Failed": c.Failed.Load(),
	})
}

// sleep waits for d. It returns false if the context is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runPlatform runs the platform subcommand.
func runPlatform(ctx context.Context, args []string, out io.Writer) error {
	fs := newFlags("platform", out)
	listen := fs.String("listen", "127.0.0.1:8500", "address and port to listen on")
	path := fs.String("folder", "", "folder that holds a file Name.json for each document")
	limit := fs.Float64("limit", 2000, "maximum reads per second; further reads are refused with status 429")
	poll := fs.Duration("poll", 100*time.Millisecond, "interval at which the folder is read")
	if err := fs.Parse(args); err != nil {
		return err
	}
	switch {
	case *path == "":
		return errors.New("-folder: no value is given; name the folder of the documents")
	case !(*limit >= 1 && *limit <= 1e6):
		return fmt.Errorf("-limit: %v is out of range; write 1 to 1e6", *limit)
	case *poll < time.Millisecond:
		return fmt.Errorf("-poll: %v is too short; write at least 1ms", *poll)
	}
	address, err := netip.ParseAddrPort(*listen)
	if err != nil {
		return fmt.Errorf("-listen: %w; write an address such as 127.0.0.1:8500", err)
	}
	log := slog.New(slog.NewTextHandler(out, nil))
	f, err := newFolder(*path, log)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	log.Info("platform is listening", "address", l.Addr(), "folder", *path)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.watch(ctx, *poll) })
	g.Go(func() error {
		return serve(ctx, time.Second, log, endpoint{l, newPlatform(f, *limit).handler()})
	})
	return g.Wait()
}
