// Package httpd serves HTTP/1.1 to clients that send further requests on a connection
// before the first has been answered. Such requests run concurrently if the configuration
// allows it, and their responses are sent in the order of the requests. net/http, whose
// parser this package uses, serves the requests of a connection one after the other.
//
// It serves neither TLS, HTTP/2 nor hijacked connections, and sends no trailers.
package httpd

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/waits"
)

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// Concurrent reports whether a request may run beside earlier and later ones of its
	// connection. It is called before the handler, for requests of HTTP/1.1 without a body,
	// Expect, Upgrade and Connection: close; others never run beside others. If it is nil,
	// no requests do.
	Concurrent func(*http.Request) bool
	// MaxReadAhead limits the requests of a connection that run, or wait with a finished
	// response, behind the one whose response is next; DefaultReadAhead if 0.
	MaxReadAhead int
	// Leaving reports whether clients have to be asked to close their connections, as while the
	// server is shut down. It may be nil. Requests behind a response that a handler gives
	// Connection: close are cancelled; those behind a response that gets it for this reason aren't.
	Leaving func() bool
	// Memory accounts for the requests that are read ahead and for their responses; no
	// limit but those of each connection if nil.
	Memory prim.MemoryBudget
	// Requests accounts for requests, before they are parsed. One that finds no room gets 503.
	// There is no limit if it is nil.
	Requests prim.MemoryBudget
	// Unread accounts for what clients send while their connections aren't read. A request that
	// finds no room while it waits for its turn gets 503 after the responses to the earlier ones.
	// There is no limit if it is nil.
	Unread prim.MemoryBudget
	// Limits returns the limits in force. It may be nil, and fields that are zero have
	// defaults. MaxBodyBytes is left to the handler.
	Limits func() prim.ClientLimits
	// ConnState and ConnContext are as in http.Server and may be nil. ConnState must not
	// call methods of the Server.
	ConnState   func(net.Conn, http.ConnState)
	ConnContext func(context.Context, net.Conn) context.Context
	Logger      *slog.Logger
	Recorder    prim.Recorder
}

const (
	// DefaultReadAhead is the number of requests read ahead on a connection. Measured
	// clients had a median of 425 ms for 170 ms of work, so 2 to 3 requests wait in front;
	// 8 is three times that, and bounds what one connection takes of the servers.
	DefaultReadAhead = 8
	// DefaultHeaderTimeout and DefaultIdleTimeout exceed the longest timeout that operators
	// may publish for clients, so that no client is cut off early.
	DefaultHeaderTimeout = 15 * time.Second
	DefaultIdleTimeout   = 90 * time.Second
	// requestBytes is what a request that is read ahead is charged for before it has a
	// response: the goroutine's stack, the parsed request and the output buffer.
	requestBytes = 16 << 10
	// maxAheadBytes limits what the requests read ahead on one connection are charged for.
	// It has room for DefaultReadAhead responses of 16 KiB each.
	maxAheadBytes = 256 << 10
	// maxIdleWorkers limits the goroutines that are kept for the next request, because
	// their stacks have grown to what a handler needs. With stacks of 8 to 16 KiB they take
	// at most 1 MiB.
	maxIdleWorkers = 64
	// newConnTimeout is the time after which Shutdown closes a connection on which no
	// request has arrived, as in net/http.
	newConnTimeout = 5 * time.Second
	// shutdownPollInterval is the time between two checks of Shutdown for idle connections.
	shutdownPollInterval = 10 * time.Millisecond
)

// Server serves HTTP connections.
type Server struct {
	config  Config
	closing atomic.Bool // Shutdown or Close was called

	mu        sync.Mutex
	listeners map[net.Listener]bool
	conns     map[*conn]bool
	idle      []chan *conn // idle workers, the last one used most recently
	workers   int
	ended     chan struct{} // closed when no worker is left after closing
}

// New returns a Server.
func New(c Config) *Server {
	if c.MaxReadAhead == 0 {
		c.MaxReadAhead = DefaultReadAhead
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{config: c, listeners: make(map[net.Listener]bool), conns: make(map[*conn]bool), ended: make(chan struct{})}
}

// limits returns the limits in force, with defaults.
func (s *Server) limits() prim.ClientLimits {
	var l prim.ClientLimits
	if s.config.Limits != nil {
		l = s.config.Limits()
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = prim.MaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// isLeaving reports whether the response to the last accepted request of a connection asks its
// client to close it.
func (s *Server) isLeaving() bool {
	return s.closing.Load() || s.config.Leaving != nil && s.config.Leaving()
}

// count adds 1 to a counter.
func (s *Server) count(name string) {
	if s.config.Recorder != nil {
		s.config.Recorder.Count(name, 1)
	}
}

// Serve accepts connections until the listener fails or the server is closed, and closes
// the listener. After Shutdown or Close the error is http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	if !s.track(l) {
		return http.ErrServerClosed
	}
	defer s.untrack(l)
	delay := time.Duration(0)
	for {
		accepted, err := l.Accept()
		if err != nil {
			if s.closing.Load() {
				return http.ErrServerClosed
			}
			var temporary interface{ Temporary() bool } // out of descriptors, for example
			if !errors.As(err, &temporary) || !temporary.Temporary() {
				return err
			}
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			s.config.Logger.Warn("accepting a connection failed; trying again", "Error", err, "After", delay)
			time.Sleep(delay)
			continue
		}
		delay = 0
		s.serve(accepted)
	}
}

// Delays after a failed Accept, as in net/http.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// track records a listener, unless the server is closed.
func (s *Server) track(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return false
	}
	s.listeners[l] = true
	return true
}

// untrack removes a listener.
func (s *Server) untrack(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

// serve starts to serve a connection.
func (s *Server) serve(accepted net.Conn) {
	c := newConn(s, accepted)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	c.mu.Lock()
	c.setState(http.StateNew)
	c.mu.Unlock()
	s.read(c)
}

// forget removes a closed connection.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// read makes a worker read the next request of a connection.
func (s *Server) read(c *conn) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		jobs := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		jobs <- c
		return
	}
	s.workers++
	s.mu.Unlock()
	go s.work(c)
}

// work reads and serves requests until the server is closed or has enough idle workers.
func (s *Server) work(c *conn) {
	jobs := make(chan *conn, 1)
	for c != nil {
		c.serve()
		if !s.rest(jobs) {
			return
		}
		c = <-jobs
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWorker()
}

// rest adds a worker to the idle ones. It returns false if the worker has to end.
func (s *Server) rest(jobs chan *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdleWorkers || s.closing.Load() {
		s.endWorker()
		return false
	}
	s.idle = append(s.idle, jobs)
	return true
}

// endWorker counts a worker that ends. The caller holds s.mu.
func (s *Server) endWorker() {
	s.workers--
	s.noteEnd()
}

// noteEnd closes s.ended if the server is closed and has no worker. The caller holds s.mu.
func (s *Server) noteEnd() {
	if s.workers > 0 || !s.closing.Load() {
		return
	}
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// close closes the listeners and ends idle workers. It returns the connections.
func (s *Server) close() (open []*conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing.Store(true)
	for l := range s.listeners {
		err = errors.Join(err, l.Close())
	}
	clear(s.listeners)
	for _, jobs := range s.idle {
		close(jobs)
	}
	s.idle = nil
	s.noteEnd()
	for c := range s.conns {
		open = append(open, c)
	}
	return open, err
}

// Shutdown closes the listeners and the idle connections, waits until the requests in
// progress have been answered, with Connection: close, and closes their connections. When
// the context ends, the error is that of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	_, err := s.close()
	for {
		open, _ := s.close()
		for _, c := range open {
			c.closeIfIdle()
		}
		select {
		case <-s.ended:
			return err
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		waits.Sleep(ctx, shutdownPollInterval)
	}
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	open, err := s.close()
	for _, c := range open {
		c.abandon()
	}
	return err
}
