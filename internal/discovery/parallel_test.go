package discovery

import (
	"net"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// A call beside one that is held, answered with what is no list, had its connection kept for good, with its descriptor.
func TestFetchFull_failedParallelCallHasItsConnectionClosed(t *testing.T) {
	l, ended := fakes.Listen(t), make(chan struct{})
	addr, calls := scriptedAgent(l, func(a agentCall, c net.Conn) {
		switch a.connection {
		case 2:
			writeAnswer(c, "no list")
			holdOpen(c) // until its caller ends it
			close(ended)
		default:
			holdOpen(c)
		}
	})
	if _, err := startWatcherInMode(t, false, addr, "null"); err != nil {
		t.Fatal(err)
	}
	nextCallWhere(t, calls, func(a agentCall) bool { return a.connection == 2 })
	fakes.Eventually(t, "its end", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}
