package stand

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that an App has begun.
type Run struct {
	ID, Method, Path, Origin string
	At                       time.Time
}

// App is an application server. It works on a request for Work, counts runs by
// the request's id, and keeps its slots and its warm-up.
type App struct {
	Service  string
	Slots    int
	Work     time.Duration
	WarmUp   time.Duration
	started  time.Time
	mu       sync.Mutex
	id       string
	starts   []time.Time // after the first
	draining bool
	running  int
	slow     float64 // slowdown at the beginning of a request
	failing  bool
	runs     []Run
}

// NewApp returns a server with a new id.
func NewApp(service, id string, slots int, work time.Duration) *App {
	return &App{Service: service, Slots: slots, Work: work, id: id, slow: 1, started: time.Now()}
}

// ID returns the id of the current start.
func (a *App) ID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.id
}

// Restart begins a new start of the server, cold if it has a WarmUp.
func (a *App) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = time.Now()
	a.starts = append(a.starts, a.started)
	a.id = fmt.Sprintf("%s.%d", a.id, len(a.starts))
}

// Starts returns the times of the restarts.
func (a *App) Starts() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]time.Time(nil), a.starts...)
}

// SetSlow sets how many times as long requests take that begin from now on.
func (a *App) SetSlow(x float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slow = x
}

// SetFailing lets requests end with 500 after they have run.
func (a *App) SetFailing(failing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failing = failing
}

// SetDraining changes what the health check says.
func (a *App) SetDraining(draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = draining
}

// Runs returns the requests that were begun.
func (a *App) Runs() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Run(nil), a.runs...)
}

// ServeHTTP implements http.Handler.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		a.health(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	a.mu.Lock()
	if want := r.Header.Get("X-Expect-Instance"); want != a.id {
		a.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if a.running >= a.Slots {
		a.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.running++
	work := time.Duration(float64(a.Work) * a.slow)
	failing := a.failing
	a.runs = append(a.runs, Run{id, r.Method, r.URL.RequestURI(), r.Header.Get("X-Caller-Service"), time.Now()})
	a.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	a.mu.Lock()
	a.running--
	h.Set("X-Server-Load", a.load())
	a.mu.Unlock()
	h.Set("X-Response-Seal", "seal-"+id)
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s answers %s with %d bytes", a.Service, id, len(body))
}

// load returns the load header. The caller holds a.mu.
func (a *App) load() string {
	return fmt.Sprintf("%d,0,%d,%d", a.running, a.Slots, int(100*a.slow))
}

func (a *App) health(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := w.Header()
	h.Set("X-Instance-Id", a.id)
	h.Set("X-Server-Load", a.load())
	if left := a.WarmUp - time.Since(a.started); left > 0 {
		h.Set("X-Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	if a.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
