package faultinjection

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are given out from firstPort to lastPort.
const (
	firstPort = 10_000
	lastPort  = 20_000
)

var latestPort atomic.Int32 // less firstPort

// FreeAddr returns an address that no other process takes: a port on an address of 127.0.0.0/8 that
// belongs to this process by its ID. What the system gives for port 0 may be taken again before its
// user listens, or while it is down.
func FreeAddr(tb testing.TB) string {
	tb.Helper()
	addr, err := freeAddr()
	if err != nil {
		tb.Fatal(err)
	}
	return addr
}

func freeAddr() (string, error) {
	id := os.Getpid()
	for {
		port := firstPort + latestPort.Add(1)
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 100+id>>16&0x1f, id>>8&0xff, id&0xff, port)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, listener.Close()
		}
		if port > lastPort {
			return "", err
		}
	}
}
