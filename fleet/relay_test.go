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

// A relay stands between the other nodes and one node. It is published as the
// node's address, so every link to the node passes it. It learns which node
// dials from the headers of the upgrade, so that it can cut single pairs.

// relayFault is what a relay does to links.
type relayFault struct {
	cut   bool          // break the links and refuse new ones
	hold  bool          // pass nothing on; the links stay open
	delay time.Duration // pass everything on so much later
}

type relay struct {
	target   netip.AddrPort
	listener net.Listener
	address  netip.AddrPort

	mu      sync.Mutex
	changed chan struct{} // closed at each change of a fault
	faults  map[prim.HostName]relayFault
	links   map[*relayLink]bool
	closed  bool
	running sync.WaitGroup
}

type relayLink struct {
	from     prim.HostName
	in, out  net.Conn
	closeOne sync.Once
}

func (l *relayLink) close() {
	l.closeOne.Do(func() {
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
	r.running.Go(r.accept)
	return r, nil
}

// close ends the relay and all its links.
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
	r.running.Wait()
}

// set changes what happens to the links from a host.
func (r *relay) set(from prim.HostName, f relayFault) {
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
		r.running.Go(func() { r.link(l) })
	}
}

// link passes one connection on until either side ends it.
func (r *relay) link(l *relayLink) {
	defer func() {
		l.close()
		r.mu.Lock()
		delete(r.links, l)
		r.mu.Unlock()
	}()
	// The head of the upgrade tells who dials. The bytes after it follow.
	in := bufio.NewReader(l.in)
	q, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	from := prim.HostName(q.Header.Get("Primrosethread-Host"))
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
	if !r.wait(from) || q.Write(out) != nil {
		out.Close()
		return
	}
	var ways sync.WaitGroup
	ways.Go(func() { r.copy(l, out, in) })
	ways.Go(func() { r.copy(l, l.in, out) })
	ways.Wait()
}

// wait waits while links from a host are held.
func (r *relay) wait(from prim.HostName) bool {
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

// copy passes one direction on in order, each part at its time.
func (r *relay) copy(l *relayLink, to io.Writer, from io.Reader) {
	type part struct {
		due   time.Time
		bytes []byte
	}
	parts := make(chan part, 256)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				f, _, _ := r.fault(l.from)
				parts <- part{time.Now().Add(f.delay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for p := range parts {
		time.Sleep(time.Until(p.due))
		if failed || !r.wait(l.from) {
			failed = true
			l.close() // ends the reader as well; drain its parts
			continue
		}
		if _, err := to.Write(p.bytes); err != nil {
			failed = true
			l.close()
		}
	}
	l.close()
}
