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

// A client sends much at once and goes, with tasks at the server: its end is seen behind what nobody reads, and as the
// server then hangs up, none of its tasks is sent on again, nor one that was not read.
func TestDisconnect_noFurtherRequestIsStarted(t *testing.T) {
	t.Parallel()
	end := make(chan struct{})
	gateway := startGateway(t, 1024, func([]string) string {
		<-end
		return fakes.CloseConn
	})
	c := gateway.connect()
	c.send(strings.Repeat(fakes.FormatCommand("FOO"), 3) + queryCommand("c=look,t=wide,d=8000") + queryCommand("c=look,t=wide,d=8000"))
	fakes.Eventually(t, "its tasks", func() bool { return gateway.server.PendingCommands() == 2 })
	c.send(strings.Repeat(fakes.FormatCommand("FOO"), 400) + queryCommand("c=look,t=wide,d=8000") + "*x\r\n")
	left := time.Now()
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c) // until it is ended: so its end was seen
	if took := time.Since(left); took > time.Second {
		t.Errorf("its end was seen after %v", took)
	}
	close(end)
	if err := gateway.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := gateway.process.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if n := gateway.server.PendingCommands(); n != 2 {
		t.Errorf("%d sent on in place of 2", n)
	}
}
