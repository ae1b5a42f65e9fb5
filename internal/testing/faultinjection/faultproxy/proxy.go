// Package faultproxy stands between two processes of a test, on loopback. It forwards HTTP calls
// and injects faults of a network into them. One proxy has one direction: the calls of one process
// to another.
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
	maxBodySize = 64 << 20         // bytes of a request or response: far above what voters and followers send
	maxWait     = 30 * time.Second // that a call is held or its response waited for
	chunkSize   = 512              // bytes
)

// Fault is what happens to calls. The zero value forwards all of them at once.
type Fault struct {
	// DropRequests: calls do not arrive. DropResponses: calls arrive, and their responses do not.
	// Callers get no answer until they give up or the fault ends; then their connection is reset.
	DropRequests, DropResponses bool
	// Hold: calls wait until the fault ends; then all arrive, in no certain order.
	Hold bool
	// Delay is before a call is forwarded.
	Delay time.Duration
	// ChunkDelay: responses come in chunks of 512 bytes, with that pause before each.
	ChunkDelay time.Duration
	// Reset: each call is reset after half of its response.
	Reset bool
	// Duplicate: each call arrives twice; the second response is dropped.
	Duplicate bool
	// OnlyPath is the path of the calls that the fault is for, where it is not empty; others are
	// forwarded.
	OnlyPath string
}

// Proxy forwards calls to one address. It may be used by several goroutines at once.
type Proxy struct {
	Addr string // its own: host:port

	target string
	client *http.Client
	server *http.Server

	mu         sync.Mutex
	fault      Fault
	faultEnded chan struct{} // closed when the fault in force is replaced
}

// New starts a proxy to an address (host:port). Close ends it.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Addr: listener.Addr().String(), target: target, faultEnded: make(chan struct{}),
		client: &http.Client{
			Timeout:   maxWait,
			Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
		},
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: maxWait}
	go func() { _ = p.server.Serve(listener) }() // it ends with Close, which is its error
	return p, nil
}

// SetFault replaces the fault in force. Calls that it held or dropped are released or reset.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.faultEnded)
	p.faultEnded = make(chan struct{})
}

// ClearFault ends the fault in force.
func (p *Proxy) ClearFault() { p.SetFault(Fault{}) }

// Close ends the proxy and closes its connections.
func (p *Proxy) Close() {
	p.ClearFault()
	_ = p.server.Close() // of a listener on loopback, at a test's end
	p.client.CloseIdleConnections()
}

// currentFault returns the fault for a path, and a channel that is closed when it ends.
func (p *Proxy) currentFault(path string) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.OnlyPath != "" && p.fault.OnlyPath != path {
		return Fault{}, p.faultEnded
	}
	return p.fault, p.faultEnded
}

func (p *Proxy) handle(response http.ResponseWriter, request *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(request.Body, maxBodySize))
	if err != nil {
		resetConn(response)
		return
	}
	fault, ended := p.currentFault(request.URL.Path)
	if fault.Hold && !waitForEnd(request.Context(), ended) || !sleep(request.Context(), fault.Delay) {
		return // the caller gave up
	}
	if fault.DropRequests {
		waitForEnd(request.Context(), ended)
		resetConn(response)
		return
	}
	upstream, err := p.forward(request, payload)
	if fault.Duplicate {
		_, _ = p.forward(request, payload) // the second response is dropped, and its error
	}
	if fault.DropResponses {
		waitForEnd(request.Context(), ended)
	}
	if fault.DropResponses || err != nil { // an error is a target that is gone: so it looks to the caller
		resetConn(response)
		return
	}
	respond(response, upstream, fault)
}

// waitForEnd waits for the end of a fault, and reports false if the caller gave up before.
func waitForEnd(ctx context.Context, ended <-chan struct{}) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// sleep waits for a time, and reports false if the caller gave up before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// targetResponse is a complete response of the target.
type targetResponse struct {
	status int
	header http.Header
	body   []byte
}

// forward forwards a call once. It goes on where its caller gives up, as bytes on their way do.
func (p *Proxy) forward(request *http.Request, payload []byte) (targetResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), maxWait)
	defer cancel()
	url := "http://" + p.target + request.URL.RequestURI()
	forwarded, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(payload))
	if err != nil {
		return targetResponse{}, err
	}
	forwarded.Header = request.Header.Clone()
	response, err := p.client.Do(forwarded)
	if err != nil {
		return targetResponse{}, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	return targetResponse{response.StatusCode, response.Header, body}, err
}

// respond passes a response on to the caller. Errors of writing are the caller's end.
func respond(response http.ResponseWriter, upstream targetResponse, fault Fault) {
	for name, values := range upstream.header {
		response.Header()[name] = values
	}
	response.WriteHeader(upstream.status)
	body := upstream.body
	if fault.Reset {
		_ = writeChunk(response, body[:len(body)/2])
		resetConn(response)
		return
	}
	for fault.ChunkDelay > 0 && len(body) > 0 {
		time.Sleep(fault.ChunkDelay)
		n := min(chunkSize, len(body))
		if writeChunk(response, body[:n]) != nil {
			return
		}
		body = body[n:]
	}
	_, _ = response.Write(body)
}

// writeChunk writes bytes that the caller gets at once.
func writeChunk(response http.ResponseWriter, chunk []byte) error {
	if _, err := response.Write(chunk); err != nil {
		return err
	}
	return http.NewResponseController(response).Flush()
}

// resetConn ends the caller's connection by a reset.
func resetConn(response http.ResponseWriter) {
	conn, _, err := http.NewResponseController(response).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection alone
	}
	_ = conn.Close()
}
