package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards the connections of one host to the store. While it is cut it resets them, and
// closes new ones at once.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
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
	target, err := net.Dial("tcp", p.target)
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
		_, _ = io.Copy(to, from) // a cut ends it
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
	p.setCut(true)
}
