// Package fakes has, for tests, small fakes of what a gateway talks with: servers, discovery and
// the counter, each on a loopback address of its own.
package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

var listenerCount atomic.Uint32

// Listen returns a listener that is closed with the test, on a loopback host of its own: on a
// shared host its port might be one that another test's gateway still calls or checks.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	pid := os.Getpid()
	n := listenerCount.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8%250, pid%256, 1+n%250))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // a fake may have closed it
	return listener
}

// ConnPair returns both ends of a connection.
func ConnPair(tb testing.TB) (near, far net.Conn) {
	tb.Helper()
	listener := Listen(tb)
	far, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	near, err = listener.Accept()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { // a test may have closed them
		_ = far.Close()
		_ = near.Close()
	})
	return near, far
}

// serveConns hands each connection to a goroutine of its own until the test ends. Then it closes
// the listener and all connections, one that was accepted at that moment among them.
func serveConns(tb testing.TB, listener net.Listener, serve func(net.Conn)) {
	tb.Helper()
	var conns []net.Conn
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
			go serve(conn)
		}
	}()
	tb.Cleanup(func() {
		_ = listener.Close() // the goroutine ends with it
		<-ended
		for _, conn := range conns {
			_ = conn.Close() // the other side may have closed it
		}
	})
}

// waitTimeout is far beyond what anything here takes: what takes longer has failed.
const waitTimeout = 20 * time.Second

// Eventually waits until a condition holds.
func Eventually(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("%s: not seen", what)
		}
	}
}

func receive[T any](tb testing.TB, from <-chan T, what string) T {
	tb.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitTimeout):
		tb.Fatalf("no %s came", what)
		panic("unreachable")
	}
}
