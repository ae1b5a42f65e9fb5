package fakes

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// SaturatedServer is a server whose machine takes no connection more: those that dial it hang, and come up late or never.
type SaturatedServer struct {
	Addr string
	net.Listener
}

// NewSaturatedServer starts one: its one place is taken before it accepts any.
func NewSaturatedServer(t testing.TB) *SaturatedServer {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &SaturatedServer{Addr: listener.Addr().String(), Listener: listener}
}

// CollectBytes makes room, and gives what all who come within a time write before they end; it ends them after it.
func (f *SaturatedServer) CollectBytes(t testing.TB, within time.Duration) (all string) {
	t.Helper()
	_ = f.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(within))
	for {
		conn, err := f.Accept()
		if err != nil {
			return all
		}
		_ = conn.SetReadDeadline(time.Now().Add(within))
		part := make([]byte, 1<<10)
		for n := 0; err == nil; all += string(part[:n]) {
			n, err = conn.Read(part)
		}
		_ = conn.Close()
	}
}
