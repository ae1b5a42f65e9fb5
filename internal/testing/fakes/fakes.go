// Package standin holds small stand-ins, for tests, of what a gateway talks with: servers, discovery and the
// counter, each on a loopback address of its own.
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

// Listen gives a listener that ends with the test, on a loopback host of its own: on one that all share, what another test's
// gateway still calls, or probes, would be a port that was given out again.
func Listen(t testing.TB) net.Listener {
	pid, n := os.Getpid(), listenerCount.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8%250, pid%256, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// ConnPair is a connection and the other end of it.
func ConnPair(t testing.TB) (near, far net.Conn) {
	t.Helper()
	listener := Listen(t)
	far, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if near, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = far.Close(), near.Close() })
	return near, far
}

// serveConns hands each connection to a goroutine until the test ends; then it closes the listener and them all, also one
// that came in that moment.
func serveConns(t testing.TB, listener net.Listener, serve func(net.Conn)) {
	var all []net.Conn
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			all = append(all, conn)
			go serve(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
		for _, conn := range all {
			_ = conn.Close()
		}
	})
}

// waitTimeout is far beyond what anything here takes: who waits so long has failed.
const waitTimeout = 20 * time.Second

// Eventually waits until something is seen.
func Eventually(t testing.TB, what string, seen func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !seen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen", what)
		}
	}
}

func receive[T any](t testing.TB, from chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitTimeout):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}
