package main

import (
	"io"
	"net"
	"sync"
)

// cutProxy passes bytes between a process and an address. Once cut, it passes none in either direction: open
// connections stay open and silent, and new ones are accepted and stay silent too.
type cutProxy struct {
	addr string

	mu  sync.RWMutex // read-locked while bytes are passed on
	cut bool
}

func newCutProxy(target string) (*cutProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &cutProxy{addr: listener.Addr().String()}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(near, target)
		}
	}()
	return p, nil
}

func (p *cutProxy) serve(near net.Conn, target string) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	go p.pass(near, far)
	p.pass(far, near)
}

// pass passes bytes on until an end of the connection closes.
func (p *cutProxy) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.RLock()
		if !p.cut {
			if n > 0 {
				_, _ = to.Write(buffer[:n])
			}
			if err != nil {
				_ = to.Close()
			}
		}
		p.mu.RUnlock()
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}

// setCut cuts the way off.
func (p *cutProxy) setCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
}
