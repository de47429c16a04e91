package fleet_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// A relay is a TCP proxy in front of one node. Its address is published as the
// node's address, so every link from another node goes through it. It reads the
// dialling host from the headers of the HTTP upgrade, so that it can cut the links
// of a single pair of nodes.

// relayFault is the fault that a relay applies to links; the zero value is none.
type relayFault struct {
	cut   bool          // close the links and refuse new ones
	hold  bool          // forward nothing but keep the links open
	delay time.Duration // forward everything this much later
}

type relay struct {
	target   netip.AddrPort
	listener net.Listener
	address  netip.AddrPort

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change of a fault
	faults     map[prim.HostName]relayFault
	links      map[*relayLink]bool
	closed     bool
	goroutines sync.WaitGroup
}

type relayLink struct {
	from      prim.HostName
	in, out   net.Conn
	closeOnce sync.Once
}

func (l *relayLink) close() {
	l.closeOnce.Do(func() {
		l.in.Close()
		if l.out != nil {
			l.out.Close()
		}
	})
}

func newRelay(target netip.AddrPort) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, listener: l, address: l.Addr().(*net.TCPAddr).AddrPort(), changed: make(chan struct{}),
		faults: make(map[prim.HostName]relayFault), links: make(map[*relayLink]bool)}
	r.goroutines.Go(r.accept)
	return r, nil
}

// close closes the relay and all its links and waits for its goroutines.
func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for l := range r.links {
		l.close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.goroutines.Wait()
}

// setFault sets the fault of the links from a host.
func (r *relay) setFault(from prim.HostName, f relayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[from] = f
	close(r.changed)
	r.changed = make(chan struct{})
	for l := range r.links {
		if l.from == from && f.cut {
			l.close()
		}
	}
}

func (r *relay) fault(from prim.HostName) (relayFault, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[from], r.changed, r.closed
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		l := &relayLink{in: c}
		r.mu.Lock()
		r.links[l] = true
		if r.closed {
			l.close()
		}
		r.mu.Unlock()
		r.goroutines.Go(func() { r.serve(l) })
	}
}

// serve forwards one connection until either side closes it.
func (r *relay) serve(l *relayLink) {
	defer func() {
		l.close()
		r.mu.Lock()
		delete(r.links, l)
		r.mu.Unlock()
	}()
	// The headers of the upgrade request name the dialling host. The bytes after
	// them are forwarded unchanged.
	in := bufio.NewReader(l.in)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	from := prim.HostName(req.Header.Get("Primrosethread-Host"))
	out, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	r.mu.Lock()
	l.from, l.out = from, out
	cut := r.faults[from].cut || r.closed
	r.mu.Unlock()
	if cut {
		out.Close()
		return
	}
	if !r.waitWhileHeld(from) || req.Write(out) != nil {
		out.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(l, out, in) })
	directions.Go(func() { r.forward(l, l.in, out) })
	directions.Wait()
}

// waitWhileHeld blocks while the links from a host are held. It returns false if
// they are cut or the relay is closed.
func (r *relay) waitWhileHeld(from prim.HostName) bool {
	for {
		f, changed, closed := r.fault(from)
		if closed || f.cut {
			return false
		}
		if !f.hold {
			return true
		}
		<-changed
	}
}

// forward copies one direction in order and sends each chunk when it is due.
func (r *relay) forward(l *relayLink, to io.Writer, from io.Reader) {
	type chunk struct {
		due   time.Time
		bytes []byte
	}
	chunks := make(chan chunk, 256)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				f, _, _ := r.fault(l.from)
				chunks <- chunk{time.Now().Add(f.delay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if failed || !r.waitWhileHeld(l.from) {
			failed = true
			l.close() // ends the reader as well; drain its remaining chunks
			continue
		}
		if _, err := to.Write(c.bytes); err != nil {
			failed = true
			l.close()
		}
	}
	l.close()
}
