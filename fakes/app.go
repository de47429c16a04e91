package fakes

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that an App started to execute.
type Run struct {
	ID, Method, Path, Origin string
	At                       time.Time
	Header                   http.Header // as received
}

// App is a fake application server. It executes each request for ServiceTime, or for the
// duration in the parameter work of its query, but not beyond its deadline, records every run with its attempt id, enforces its slot limit and reports its
// warm-up. Its answers have at least as many bytes as the parameter length says.
type App struct {
	Service     string
	Slots       int
	ServiceTime time.Duration
	WarmUp      time.Duration
	started     time.Time
	mu          sync.Mutex
	id          string
	restarts    []time.Time // times of the restarts, without the first start
	draining    bool
	running     int
	slowdown    float64 // factor applied to ServiceTime when a request starts
	failing     bool
	unsigned    int // status, or 0
	resetting   bool
	occupied    int // slots that requests of others take
	resets      int
	header      http.Header // of all answers
	runs        []Run
}

// NewApp returns a server whose instance id is id.
func NewApp(service, id string, slots int, serviceTime time.Duration) *App {
	return &App{Service: service, Slots: slots, ServiceTime: serviceTime, id: id, slowdown: 1, started: time.Now()}
}

// ID returns the current instance id, which changes at each restart.
func (a *App) ID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.id
}

// Restart simulates a restart: the server gets a new instance id and, if WarmUp
// is set, is cold again.
func (a *App) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = time.Now()
	a.restarts = append(a.restarts, a.started)
	a.id = fmt.Sprintf("%s.%d", a.id, len(a.restarts))
}

// Starts returns the times of the restarts.
func (a *App) Starts() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]time.Time(nil), a.restarts...)
}

// SetSlow sets the factor by which requests that start from now on take longer.
func (a *App) SetSlow(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowdown = factor
}

// SetSlots sets the number of slots while the server runs.
func (a *App) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Slots = slots
}

// SetFailing makes requests that start from now on answer 500 after they have run.
func (a *App) SetFailing(failing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failing = failing
}

// SetResetting makes the server reset connections while all slots are taken: that of a new
// request, which then does not run, instead of answering 503, and that of a request that has
// run. A node can't tell the two apart. Requests of others, which no node sent, take a number
// of slots.
func (a *App) SetResetting(resetting bool, occupied int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetting, a.occupied = resetting, occupied
}

// Resets returns the number of requests whose connection was reset.
func (a *App) Resets() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.resets
}

// SetUnsigned makes requests that have run get answers with a status and a page, without the
// server's signature; 0 ends it.
func (a *App) SetUnsigned(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsigned = status
}

// SetHeader sets a header of all answers, or removes it if there are no values.
func (a *App) SetHeader(name string, values ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.header = a.header.Clone()
	if a.header == nil {
		a.header = make(http.Header)
	}
	a.header[name] = values
}

// SetDraining makes the health check answer 503, or 200 again.
func (a *App) SetDraining(draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = draining
}

// Runs returns the requests that were started.
func (a *App) Runs() []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Run(nil), a.runs...)
}

// ServeHTTP implements http.Handler.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	a.mu.Lock()
	maps.Copy(h, a.header)
	a.mu.Unlock()
	if r.URL.Path == "/healthz" {
		a.health(w)
		return
	}
	body, _ := io.ReadAll(r.Body)
	var deadline <-chan time.Time
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	a.mu.Lock()
	if want := r.Header.Get("X-Expect-Instance"); want != a.id {
		a.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if a.running+a.occupied >= a.Slots {
		if a.resetting {
			a.reset(w)
		}
		a.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.running++
	duration := time.Duration(float64(a.ServiceTime) * a.slowdown)
	if d, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		duration = d
	}
	failing, unsigned := a.failing, a.unsigned
	a.runs = append(a.runs, Run{id, r.Method, r.URL.RequestURI(), r.Header.Get("X-Caller-Service"), time.Now(), r.Header.Clone()})
	a.mu.Unlock()
	expired := false
	select {
	case <-time.After(duration):
	case <-deadline:
		expired = true
	case <-r.Context().Done():
	}
	a.mu.Lock()
	full := a.running+a.occupied >= a.Slots
	a.running--
	if full && a.resetting {
		a.reset(w)
	}
	h.Set("X-Server-Load", a.load())
	a.mu.Unlock()
	if unsigned != 0 {
		w.WriteHeader(unsigned)
		io.WriteString(w, "page")
		return
	}
	h.Set("X-Response-Seal", "seal-"+id)
	if expired {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := fmt.Appendf(nil, "%s answers %s with %d bytes", a.Service, id, len(body))
	if length, err := strconv.Atoi(r.URL.Query().Get("length")); err == nil && length > len(answer) {
		answer = append(answer, bytes.Repeat([]byte{' '}, length-len(answer))...)
	}
	w.Write(answer)
}

// reset resets the connection of a request and ends its handler. The caller holds a.mu,
// which reset unlocks.
func (a *App) reset(w http.ResponseWriter) {
	a.resets++
	a.mu.Unlock()
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// load returns the value of the X-Server-Load header. The caller holds a.mu.
func (a *App) load() string {
	return fmt.Sprintf("%d,0,%d,%d", a.running+a.occupied, a.Slots, int(100*a.slowdown))
}

func (a *App) health(w http.ResponseWriter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := w.Header()
	h.Set("X-Instance-Id", a.id)
	h.Set("X-Server-Load", a.load())
	if remaining := a.WarmUp - time.Since(a.started); remaining > 0 {
		h.Set("X-Warmup-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if a.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
