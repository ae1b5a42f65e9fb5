package fakes

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// SaturatedServer is a server whose backlog is full: connections to it are established late or
// never.
type SaturatedServer struct {
	Addr     string
	listener *net.TCPListener
}

// NewSaturatedServer starts a server that ends with the test. One connection fills its backlog, and
// it accepts none.
func NewSaturatedServer(tb testing.TB) *SaturatedServer {
	tb.Helper()
	listener := listenWithoutBacklog(tb)
	tb.Cleanup(func() { _ = listener.Close() }) // nothing is left to do about a failure
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() }) // CollectBytes may have ended it
	return &SaturatedServer{Addr: listener.Addr().String(), listener: listener}
}

// listenWithoutBacklog makes a listener that has one connection waiting at most.
func listenWithoutBacklog(tb testing.TB) *net.TCPListener {
	tb.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // the listener has a copy of the descriptor
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		tb.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		tb.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		tb.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

// Accept accepts the next connection, which makes room for another.
func (s *SaturatedServer) Accept() (net.Conn, error) { return s.listener.Accept() }

// CollectBytes accepts connections, one after the other, until none comes within a time, and
// returns what they write.
func (s *SaturatedServer) CollectBytes(tb testing.TB, within time.Duration) (all string) {
	tb.Helper()
	if err := s.listener.SetDeadline(time.Now().Add(within)); err != nil {
		tb.Fatal(err)
	}
	for {
		conn, err := s.Accept()
		if err != nil {
			return all
		}
		all += readAll(tb, conn, within)
	}
}

// readAll reads what a connection writes within a time, and closes it.
func readAll(tb testing.TB, conn net.Conn, within time.Duration) (all string) {
	tb.Helper()
	defer func() { _ = conn.Close() }() // its end is what the test waits for
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		tb.Fatal(err)
	}
	buffer := make([]byte, 1<<10)
	for {
		n, err := conn.Read(buffer)
		all += string(buffer[:n])
		if err != nil {
			return all
		}
	}
}
