package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener is a listener within the process, for stories whose clock stands still while anybody has something to do: what comes
// first in them, and how long it takes, is the same on a machine that is busy. Its connections end without resets.
type pipeListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var (
	pipeListeners sync.Map // by address
	pipeCount     atomic.Int64
)

func listen(t *testing.T) net.Listener {
	return listenAt(t, fmt.Sprintf("wire-%d:1", pipeCount.Add(1)))
}

// listenAt takes over an address whose listener was closed.
func listenAt(t *testing.T, addr string) net.Listener {
	w := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	pipeListeners.Store(addr, w)
	t.Cleanup(func() {
		_ = w.Close()
		time.Sleep(100 * time.Millisecond) // who sleeps sees the end; the clock stops with the story
	})
	return w
}

func (w *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-w.conns:
		return c, nil
	case <-w.closed:
		return nil, net.ErrClosed
	}
}

func (w *pipeListener) Close() error {
	w.once.Do(func() { close(w.closed) })
	return nil
}

func (w *pipeListener) Addr() net.Addr  { return w }
func (w *pipeListener) Network() string { return "wire" }
func (w *pipeListener) String() string  { return w.addr }

// dialPipe connects with a wire, or over sockets.
func dialPipe(ctx context.Context, network, addr string) (net.Conn, error) {
	found, ok := pipeListeners.Load(addr)
	if !ok {
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	w := found.(*pipeListener)
	ctx, cancel := context.WithTimeout(ctx, listTimeout) // as Roster.dial does
	defer cancel()
	near, far := net.Pipe()
	select {
	case w.conns <- far:
		return near, nil
	case <-w.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runVirtual runs a test on a clock of its own.
func runVirtual(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// runVirtualInEachMode runs a story where lists are pushed to the agent, and where they are asked for.
func runVirtualInEachMode(t *testing.T, name string, test func(t *testing.T, asked bool)) {
	t.Helper()
	for mode, asked := range map[string]bool{"pushed": false, "asked for": true} {
		runVirtual(t, name+", "+mode, func(t *testing.T) { test(t, asked) })
	}
}
