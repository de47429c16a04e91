package fakes

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to a target and injects network faults: delay,
// silence in one or both directions, and resets.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	delay       time.Duration
	holdBoth    bool // hold bytes in both directions
	holdReplies bool // hold only bytes from the target
	conns       map[*net.TCPConn]bool
	muted       map[net.Conn]bool // hold bytes from these connections
}

// NewProxy listens on address and forwards connections to target until it is
// closed.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]bool), muted: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in.(*net.TCPConn))
	}
}

func (p *Proxy) forward(in *net.TCPConn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		in.Close()
		return
	}
	p.track(in, out.(*net.TCPConn))
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(out, in, false) })
	directions.Go(func() { p.copy(in, out, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out.(*net.TCPConn))
	p.mu.Unlock()
}

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// holdPollInterval is how often a held direction checks whether its fault has ended.
const holdPollInterval = 5 * time.Millisecond

// copy forwards bytes in one direction and closes both connections at the end of
// the stream or on an error.
func (p *Proxy) copy(to, from net.Conn, fromTarget bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.waitUntilReleased(from, fromTarget)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// waitUntilReleased sleeps for the delay and then blocks while a fault holds the
// direction.
func (p *Proxy) waitUntilReleased(from net.Conn, fromTarget bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		held := p.holdBoth || p.holdReplies && fromTarget || p.muted[from]
		p.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(holdPollInterval)
	}
}

// SetDelay delays every block of bytes by d.
func (p *Proxy) SetDelay(d time.Duration) { p.update(func() { p.delay = d }) }

// SetSilent starts or ends holding bytes while connections stay open: those from
// the target if oneWay is set, both directions otherwise.
func (p *Proxy) SetSilent(silent, oneWay bool) {
	p.update(func() { p.holdBoth, p.holdReplies = silent && !oneWay, silent && oneWay })
}

// Mute holds the bytes of all open connections for good, while they stay open. Later
// connections are not affected.
func (p *Proxy) Mute() {
	p.update(func() {
		for c := range p.conns {
			p.muted[c] = true
		}
	})
}

func (p *Proxy) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.update(func() { clear(p.muted) })
	p.Reset()
}
