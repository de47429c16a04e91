package stand

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes TCP connections on and does to them what networks do.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	delay  time.Duration
	silent bool // towards the target and back
	oneWay bool // only the way back is silent
	conns  map[*net.TCPConn]bool
}

// NewProxy listens at an address and passes connections on to a target until it
// is closed.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(in.(*net.TCPConn))
	}
}

func (p *Proxy) pass(in *net.TCPConn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		in.Close()
		return
	}
	p.track(in, out.(*net.TCPConn))
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, false) })
	both.Go(func() { p.copy(in, out, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out.(*net.TCPConn))
	p.mu.Unlock()
}

func (p *Proxy) track(cs ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		p.conns[c] = true
	}
}

// proxyPoll is how often a held-up copy looks whether its fault has ended.
const proxyPoll = 5 * time.Millisecond

// copy passes bytes on in one direction and closes both ends after the last.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		p.hold(back)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// hold waits while bytes in a direction are held up.
func (p *Proxy) hold(back bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		held := p.silent || p.oneWay && back
		p.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(proxyPoll)
	}
}

// SetDelay holds bytes up for a time.
func (p *Proxy) SetDelay(d time.Duration) { p.set(func() { p.delay = d }) }

// SetSilent stops passing bytes on, in one direction or both.
func (p *Proxy) SetSilent(on, oneWay bool) {
	p.set(func() { p.silent, p.oneWay = on && !oneWay, on && oneWay })
}

func (p *Proxy) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}
