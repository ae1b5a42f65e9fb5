// Package relay stands between two processes of a test, on loopback: it passes HTTP calls on and, on command, does to
// them what networks do. One relay carries one direction of calls: the calls of one process to another.
package faultproxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxBodySize = 64 << 20         // bytes of a call or an answer that are held at once: far above what links send
	maxWait     = 30 * time.Second // the longest that a call is held or waited for
	chunkSize   = 512              // bytes that are written at once where an answer comes slowly
)

// Fault is what happens to calls. The zero value passes all on at once.
type Fault struct {
	// DropRequests: calls do not arrive. CutBack: calls arrive, their answers do not. Callers hear nothing until they give up
	// or the fault ends; then their connection is reset.
	DropRequests, DropResponses bool
	// Hold: calls wait until the fault ends, then all arrive, in no certain order.
	Hold bool
	// Delay before a call is passed on.
	Delay time.Duration
	// ChunkDelay: answers come a piece of 512 bytes at a time with this pause before each.
	ChunkDelay time.Duration
	// Reset: each call that would be passed on is cut off by a reset after half of its answer.
	Reset bool
	// Duplicate: each call arrives twice; the second answer is dropped.
	Duplicate bool
	// OnlyPath, where not empty, is the path of the calls that the fault is for; others pass.
	OnlyPath string
}

// Proxy passes calls on to one address.
type Proxy struct {
	Addr string // its own: host:port

	target string
	client *http.Client
	server *http.Server

	mu         sync.Mutex
	fault      Fault
	faultEnded chan struct{} // closed when the fault in force is replaced
	forwarded  map[string]int
}

// New starts a relay to an address; Close ends it.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), target: to, faultEnded: make(chan struct{}), forwarded: map[string]int{},
		client: &http.Client{Timeout: maxWait, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	p.server = &http.Server{Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: maxWait}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// SetFault puts a fault in force in place of the one before; calls held or cut by that are let go or reset.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.faultEnded)
	p.faultEnded = make(chan struct{})
}

// ClearFault ends the fault in force.
func (p *Proxy) ClearFault() { p.SetFault(Fault{}) }

// Forwarded is how many calls of a path arrived, each doubled one counted twice.
func (p *Proxy) Forwarded(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwarded[path]
}

// Close ends the relay and resets what is on it.
func (p *Proxy) Close() {
	p.ClearFault()
	_ = p.server.Close()
	p.client.CloseIdleConnections()
}

// currentFault is the fault for a path, and what is closed when it ends.
func (p *Proxy) currentFault(path string) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.OnlyPath != "" && p.fault.OnlyPath != path {
		return Fault{}, p.faultEnded
	}
	return p.fault, p.faultEnded
}

// waitForEnd waits for the end of a fault. False: the caller gave up before.
func waitForEnd(ctx context.Context, ended <-chan struct{}) bool {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

func (p *Proxy) handle(response http.ResponseWriter, request *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(request.Body, maxBodySize))
	if err != nil {
		resetConn(response)
		return
	}
	fault, ended := p.currentFault(request.URL.Path)
	if fault.Hold && !waitForEnd(request.Context(), ended) {
		return
	}
	if fault.Delay > 0 {
		t := time.NewTimer(fault.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-request.Context().Done():
			return
		}
	}
	if fault.DropRequests {
		waitForEnd(request.Context(), ended)
		resetConn(response)
		return
	}
	upstream, body, err := p.forward(request, payload)
	if fault.Duplicate {
		_, _, _ = p.forward(request, payload)
	}
	if fault.DropResponses {
		waitForEnd(request.Context(), ended)
		resetConn(response)
		return
	}
	if err != nil { // the other end is gone: so it looks to the caller
		resetConn(response)
		return
	}
	for name, values := range upstream.Header {
		response.Header()[name] = values
	}
	response.WriteHeader(upstream.StatusCode)
	if fault.Reset {
		_, _ = response.Write(body[:len(body)/2])
		if flush, ok := response.(http.Flusher); ok {
			flush.Flush()
		}
		resetConn(response)
		return
	}
	for fault.ChunkDelay > 0 && len(body) > 0 {
		time.Sleep(fault.ChunkDelay)
		n := min(chunkSize, len(body))
		if _, err := response.Write(body[:n]); err != nil {
			return
		}
		if flush, ok := response.(http.Flusher); ok {
			flush.Flush()
		}
		body = body[n:]
	}
	_, _ = response.Write(body)
}

// forward passes a call on once. The call goes on where its caller gives up, as bytes on the way do.
func (p *Proxy) forward(request *http.Request, payload []byte) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), maxWait)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+p.target+request.URL.RequestURI(), bytes.NewReader(payload))
	if err != nil {
		return nil, nil, err
	}
	out.Header = request.Header.Clone()
	upstream, err := p.client.Do(out)
	if err != nil {
		return nil, nil, err
	}
	defer upstream.Body.Close()
	body, err := io.ReadAll(io.LimitReader(upstream.Body, maxBodySize))
	p.mu.Lock()
	p.forwarded[request.URL.Path]++
	p.mu.Unlock()
	return upstream, body, err
}

// resetConn ends the caller's connection by a reset.
func resetConn(response http.ResponseWriter) {
	h, ok := response.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
