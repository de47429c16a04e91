package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards the connections of one host to the store. While it is cut it resets them, and
// closes new ones at once. While it is silent it keeps them and holds back their bytes.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	held  chan struct{} // closed at the end of the silence; nil if there is none
	conns map[*net.TCPConn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// address returns the address from which the proxy calls the store.
func (p *proxy) address() string { return p.listener.Addr().(*net.TCPAddr).IP.String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in.(*net.TCPConn))
	}
}

// forward copies bytes in both directions until one side has ended.
func (p *proxy) forward(in *net.TCPConn) {
	defer in.Close()
	// The store tells hosts by their addresses.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: p.listener.Addr().(*net.TCPAddr).IP}}
	target, err := dialer.Dial("tcp", p.target)
	if err != nil {
		return
	}
	out := target.(*net.TCPConn)
	defer out.Close()
	p.mu.Lock()
	if p.cut {
		in.SetLinger(0)
		p.mu.Unlock()
		return
	}
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	pipe := func(to, from *net.TCPConn) {
		_, _ = io.Copy(to, heldReader{from, p}) // a cut ends it
		ended <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, in)
	delete(p.conns, out)
}

// heldReader holds back what it has read while its proxy is silent.
type heldReader struct {
	io.Reader
	proxy *proxy
}

func (h heldReader) Read(b []byte) (int, error) {
	n, err := h.Reader.Read(b)
	h.proxy.mu.Lock()
	held := h.proxy.held
	h.proxy.mu.Unlock()
	if held != nil {
		<-held
	}
	return n, err
}

// setSilent begins or ends the silence.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case silent && p.held == nil:
		p.held = make(chan struct{})
	case !silent && p.held != nil:
		close(p.held)
		p.held = nil
	}
}

// setCut begins or ends the cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.setSilent(false)
	p.setCut(true)
}
