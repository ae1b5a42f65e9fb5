package main

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// A client sends much at once and disconnects, with requests at the server: its end is seen behind
// what nobody reads, and as the server then closes, none of its requests is retried, nor one
// forwarded that was not read.
func TestDisconnect_noFurtherRequestIsStarted(t *testing.T) {
	t.Parallel()
	end := make(chan struct{})
	gateway := startGateway(t, 1024, func([]string) string {
		<-end
		return fakes.CloseConn
	})
	c := gateway.connect()
	const list = "c=look,t=wide,d=8000"
	c.send(strings.Repeat(fakes.FormatCommand("FOO"), 3) + queryCommand(list) + queryCommand(list))
	fakes.Eventually(t, "its requests", func() bool { return gateway.server.PendingCommands() == 2 })
	c.send(strings.Repeat(fakes.FormatCommand("FOO"), 400) + queryCommand(list) + "*x\r\n")
	closedAt := time.Now()
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c) // until the gateway closes it, so the end was seen
	if took := time.Since(closedAt); took > time.Second {
		t.Errorf("the end was seen after %v", took)
	}
	close(end)
	gateway.signal(syscall.SIGTERM)
	gateway.waitForCleanExit()
	if n := gateway.server.PendingCommands(); n != 2 {
		t.Errorf("%d forwarded in place of 2", n)
	}
}
