package faultinjection

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// firstPort is the first port that is given out.
const firstPort = 10000

var latestPort atomic.Int32

// FreeAddr is an address that no other process takes: a port on an address of 127.0.0.0/8 that is this process's own, by
// its id. What the system gives for port 0 may be taken again before who is to have it listens, or while it is dead.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := freeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func freeAddr() (string, error) {
	id := os.Getpid()
	for {
		port := firstPort + latestPort.Add(1)
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 100+id>>16&0x1f, id>>8&0xff, id&0xff, port)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, l.Close()
		}
		if port > firstPort<<1 {
			return "", err
		}
	}
}
