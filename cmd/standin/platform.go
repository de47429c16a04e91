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

// This file is the HTTP side of the stand-in of the configuration service: read
// only for clients, with a limit on reads, and each read counted.

// indexHeader carries the index counter, which GET /v1/watch takes as after.
const indexHeader = "Primrosethread-Index"

// maxWatch is the longest time that a watch waits before it answers with an
// unchanged index.
const maxWatch = 55 * time.Second

// platformFault is the state of the platform's switches.
type platformFault struct {
	// Down cuts every read without an answer.
	Down bool
	// Stale serves the versions and Issued times of the moment it was set, as a
	// replica does that lost its source.
	Stale bool
	// SlowMs delays every answer.
	SlowMs int
}

func checkPlatformFault(f platformFault) error {
	if f.SlowMs < 0 || f.SlowMs > 60_000 {
		return fmt.Errorf("SlowMs: %d is not a delay; write 0 to 60000", f.SlowMs)
	}
	return nil
}

// platformCounts counts the reads. Each watch counts as one.
type platformCounts struct {
	Index, Documents, Watch atomic.Int64
	// Refused counts the reads beyond the limit, Failed those cut by Down.
	Refused, Failed atomic.Int64
}

// platform serves the documents of a folder.
type platform struct {
	folder *folder
	limit  *rate.Limiter
	fault  *switches[platformFault]
	counts platformCounts

	mu sync.Mutex
	// frozen is what is served while the stale switch is set.
	frozen *state
	down   chan struct{} // closed while the down switch is set
}

// newPlatform returns a platform that serves f with a limit on reads a second.
func newPlatform(f *folder, limit float64) *platform {
	// A tenth of a second's reads may come at once, as on a real service with a
	// short queue.
	p := &platform{folder: f, limit: rate.NewLimiter(rate.Limit(limit), max(1, int(limit/10))), down: make(chan struct{})}
	p.fault = newSwitches(platformFault{}, checkPlatformFault, p.faultChanged)
	return p
}

// faultChanged freezes the state when the stale switch is set, and ends waiting
// watches when the down switch is.
func (p *platform) faultChanged(old, now *platformFault) {
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
		close(p.down)
	case !now.Down && old.Down:
		p.down = make(chan struct{})
	}
}

// state returns what is served now, and a channel that is closed when the down
// switch is set.
func (p *platform) state() (state, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		return *p.frozen, p.down
	}
	s := p.folder.current()
	s.issued = time.Now()
	return s, p.down
}

// handler returns the HTTP interface.
func (p *platform) handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/v1/index", p.read(&p.counts.Index, p.index)).Methods(http.MethodGet)
	m.Handle("/v1/documents/{name}", p.read(&p.counts.Documents, p.document)).Methods(http.MethodGet)
	m.Handle("/v1/watch", p.read(&p.counts.Watch, p.watch)).Methods(http.MethodGet)
	m.Handle("/fault", p.fault).Methods(http.MethodGet, http.MethodPost)
	m.HandleFunc("/counts", p.count).Methods(http.MethodGet)
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ready\n") }).Methods(http.MethodGet)
	return m
}

// read counts a read and applies the limit and the faults.
func (p *platform) read(n *atomic.Int64, h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		f := p.fault.load()
		if f.Down {
			p.counts.Failed.Add(1)
			panic(http.ErrAbortHandler)
		}
		if !p.limit.Allow() {
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

// digest is one document in the index. The hash is text because a JSON number
// of 64 bits does not survive every reader.
type digest struct {
	Name    string
	Version uint64
	Hash    string
	Issued  time.Time
}

func (s *state) digest(d *document) digest {
	return digest{Name: d.name, Version: d.version, Hash: strconv.FormatUint(d.hash, 10), Issued: s.issued.UTC()}
}

func (p *platform) index(w http.ResponseWriter, _ *http.Request) {
	s, _ := p.state()
	writeIndex(w, &s)
}

// writeIndex answers with the digests of all documents.
func writeIndex(w http.ResponseWriter, s *state) {
	body := struct{ Documents []digest }{Documents: []digest{}}
	for _, d := range s.documents {
		body.Documents = append(body.Documents, s.digest(d))
	}
	w.Header().Set(indexHeader, strconv.FormatUint(s.counter, 10))
	writeJSON(w, http.StatusOK, body)
}

// document answers with one document. The answer is put together by hand
// because json.Marshal would change the bytes of the body, which the hash is of.
func (p *platform) document(w http.ResponseWriter, r *http.Request) {
	s, _ := p.state()
	name := mux.Vars(r)["name"]
	for _, d := range s.documents {
		if d.name != name {
			continue
		}
		g := s.digest(d)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Name":%q,"Version":%d,"Hash":"%s","Issued":%q,"Body":%s}`,
			g.Name, g.Version, g.Hash, g.Issued.Format(time.RFC3339Nano), d.body)
		return
	}
	writeJSON(w, http.StatusNotFound, map[string]string{"Error": "no such document", "Remedy": "see GET /v1/index"})
}

// watch waits until the index counter is above after, and answers with the
// index. An unchanged index is answered after maxWatch.
func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"Error": "after is not a counter", "Remedy": "write the value of the header " + indexHeader})
		return
	}
	end := time.NewTimer(maxWatch)
	defer end.Stop()
	for {
		s, down := p.state()
		changed := s.changed
		if s.counter > after {
			writeIndex(w, &s)
			return
		}
		var again <-chan time.Time
		if p.fault.load().Stale {
			// A frozen state's channel is closed at the first hidden change, so
			// look for the end of the fault from time to time instead.
			changed, again = nil, time.After(100*time.Millisecond)
		}
		select {
		case <-changed:
		case <-down:
			p.counts.Failed.Add(1)
			panic(http.ErrAbortHandler)
		case <-end.C:
			s, _ := p.state()
			writeIndex(w, &s)
			return
		case <-again:
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) count(w http.ResponseWriter, _ *http.Request) {
	c := &p.counts
	writeJSON(w, http.StatusOK, map[string]int64{
		"Index": c.Index.Load(), "Documents": c.Documents.Load(), "Watch": c.Watch.Load(),
		"Refused": c.Refused.Load(), "Failed": c.Failed.Load(),
	})
}

// sleep waits and reports false if the context ended first.
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

// runPlatform is the platform subcommand.
func runPlatform(ctx context.Context, args []string, out io.Writer) error {
	fs := newFlags("platform", out)
	listen := fs.String("listen", "127.0.0.1:8500", "address and port to listen on")
	path := fs.String("folder", "", "folder of the documents, one file Name.json each")
	limit := fs.Float64("limit", 2000, "reads a second beyond which reads are refused")
	poll := fs.Duration("poll", 100*time.Millisecond, "time between two looks at the folder")
	if err := fs.Parse(args); err != nil {
		return err
	}
	switch {
	case *path == "":
		return errors.New("-folder: nothing is given; name the folder of the documents")
	case !(*limit >= 1 && *limit <= 1e6):
		return fmt.Errorf("-limit: %v is not a limit; write 1 to 1e6", *limit)
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
	log.Info("platform listens", "address", l.Addr(), "folder", *path)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.watch(ctx, *poll) })
	g.Go(func() error {
		return serve(ctx, time.Second, log, listener{l, newPlatform(f, *limit).handler()})
	})
	return g.Wait()
}
