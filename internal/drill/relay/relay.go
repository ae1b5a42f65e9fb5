// Package relay stands between two processes of a test, on loopback: it passes HTTP calls on and, on command, does to
// them what networks do. One relay carries one direction of calls: the calls of one process to another.
package relay

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
	bodyMost = 64 << 20         // bytes of a call or an answer that are held at once: far above what links send
	waitMost = 30 * time.Second // the longest that a call is held or waited for
	piece    = 512              // bytes that are written at once where an answer comes slowly
)

// Fault is what happens to calls. The zero value passes all on at once.
type Fault struct {
	// CutThere: calls do not arrive. CutBack: calls arrive, their answers do not. Callers hear nothing until they give up
	// or the fault ends; then their connection is reset.
	CutThere, CutBack bool
	// Hold: calls wait until the fault ends, then all arrive, in no certain order.
	Hold bool
	// Delay before a call is passed on.
	Delay time.Duration
	// Slow: answers come a piece of 512 bytes at a time with this pause before each.
	Slow time.Duration
	// Reset: each call that would be passed on is cut off by a reset after half of its answer.
	Reset bool
	// Double: each call arrives twice; the second answer is dropped.
	Double bool
	// Only, where not empty, is the path of the calls that the fault is for; others pass.
	Only string
}

// Relay passes calls on to one address.
type Relay struct {
	Addr string // its own: host:port

	to     string
	client *http.Client
	server *http.Server

	mu     sync.Mutex
	fault  Fault
	ended  chan struct{} // closed when the fault in force is replaced
	passed map[string]int
}

// New starts a relay to an address; Close ends it.
func New(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: l.Addr().String(), to: to, ended: make(chan struct{}), passed: map[string]int{},
		client: &http.Client{Timeout: waitMost, Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: waitMost}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// Set puts a fault in force in place of the one before; calls held or cut by that are let go or reset.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	close(r.ended)
	r.ended = make(chan struct{})
}

// Heal ends the fault in force.
func (r *Relay) Heal() { r.Set(Fault{}) }

// Passed is how many calls of a path arrived, each doubled one counted twice.
func (r *Relay) Passed(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed[path]
}

// Close ends the relay and resets what is on it.
func (r *Relay) Close() {
	r.Heal()
	_ = r.server.Close()
	r.client.CloseIdleConnections()
}

// now is the fault for a path, and what is closed when it ends.
func (r *Relay) now(path string) (Fault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Only != "" && r.fault.Only != path {
		return Fault{}, r.ended
	}
	return r.fault, r.ended
}

// wait waits for the end of a fault. False: the caller gave up before.
func wait(ctx context.Context, ended <-chan struct{}) bool {
	t := time.NewTimer(waitMost)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

func (r *Relay) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, bodyMost))
	if err != nil {
		reset(w)
		return
	}
	f, ended := r.now(q.URL.Path)
	if f.Hold && !wait(q.Context(), ended) {
		return
	}
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-q.Context().Done():
			return
		}
	}
	if f.CutThere {
		wait(q.Context(), ended)
		reset(w)
		return
	}
	answer, text, err := r.pass(q, body)
	if f.Double {
		_, _, _ = r.pass(q, body)
	}
	if f.CutBack {
		wait(q.Context(), ended)
		reset(w)
		return
	}
	if err != nil { // the other end is gone: so it looks to the caller
		reset(w)
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	if f.Reset {
		_, _ = w.Write(text[:len(text)/2])
		if flush, ok := w.(http.Flusher); ok {
			flush.Flush()
		}
		reset(w)
		return
	}
	for f.Slow > 0 && len(text) > 0 {
		time.Sleep(f.Slow)
		n := min(piece, len(text))
		if _, err := w.Write(text[:n]); err != nil {
			return
		}
		if flush, ok := w.(http.Flusher); ok {
			flush.Flush()
		}
		text = text[n:]
	}
	_, _ = w.Write(text)
}

// pass passes a call on once. The call goes on where its caller gives up, as bytes on the way do.
func (r *Relay) pass(q *http.Request, body []byte) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.Context()), waitMost)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, q.Method, "http://"+r.to+q.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.Header = q.Header.Clone()
	answer, err := r.client.Do(out)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, bodyMost))
	r.mu.Lock()
	r.passed[q.URL.Path]++
	r.mu.Unlock()
	return answer, text, err
}

// reset ends the caller's connection by a reset.
func reset(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
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
