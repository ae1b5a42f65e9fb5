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

// pipeListener is an in-process listener for tests on a virtual clock. The clock advances only
// while all goroutines are blocked, so a busy machine does not change the order or the times of
// events. Its connections cannot be reset, only closed.
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
	t.Helper()
	return listenAt(t, fmt.Sprintf("pipe-%d:1", pipeCount.Add(1)))
}

// listenAt listens at an address that is free, or whose previous listener has been closed.
func listenAt(t *testing.T, addr string) net.Listener {
	t.Helper()
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	pipeListeners.Store(addr, l)
	t.Cleanup(func() {
		_ = l.Close()
		time.Sleep(100 * time.Millisecond) // lets sleeping goroutines end before the clock stops
	})
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr  { return l }
func (l *pipeListener) Network() string { return "pipe" }
func (l *pipeListener) String() string  { return l.addr }

// dialPipe connects to the pipeListener at the address. If there is none, it dials the address over
// the network.
func dialPipe(ctx context.Context, network, addr string) (net.Conn, error) {
	found, _ := pipeListeners.Load(addr)
	l, ok := found.(*pipeListener)
	if !ok {
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout) // as Watcher.dial does
	defer cancel()
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runVirtual runs a subtest on a virtual clock.
func runVirtual(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// runVirtualInEachMode runs a subtest on a virtual clock in both modes: with a notified agent, and
// with discovery polled.
func runVirtualInEachMode(t *testing.T, name string, test func(t *testing.T, isPolled bool)) {
	t.Helper()
	for mode, isPolled := range map[string]bool{"notified": false, "polled": true} {
		runVirtual(t, name+", "+mode, func(t *testing.T) { test(t, isPolled) })
	}
}
