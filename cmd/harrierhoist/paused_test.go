package main

import (
	"syscall"
	"testing"
	"time"
)

// Guards against a drain that takes SIGTERM for sent when a process that was paused notices it: a
// request that hangs is answered before SIGKILL, which counts from the signal.
func TestTerminate_signalIsNoticedLate(t *testing.T) {
	t.Parallel()
	gateway := startGateway(t, 1024, func([]string) string { return "" })
	c := gateway.connect()
	c.send(queryCommand(longQueryList))
	gateway.server.NextCommand(t)
	time.Sleep(300 * time.Millisecond) // longer than the gateway takes to find out that it runs
	gateway.signal(syscall.SIGSTOP, syscall.SIGTERM)
	sigkill := gateway.killAfter(3700 * time.Millisecond)
	time.Sleep(900 * time.Millisecond)
	gateway.signal(syscall.SIGCONT)
	c.want("-ERR failed")
	c.wantClosed()
	_ = c.Close()
	sigkill.wantEndBefore()
}
