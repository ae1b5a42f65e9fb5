package main

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// terminate asks the program to end, and waits until it says so.
func (gateway *gatewayUnderTest) terminate() {
	gateway.Helper()
	if err := gateway.process.Process.Signal(syscall.SIGTERM); err != nil {
		gateway.Fatal(err)
	}
	fakes.Eventually(gateway, "the signal", func() bool { return strings.Contains(gateway.log.String(), "gateway: shutting down") })
}

// waitForCleanDrain waits for the end of the program, which has to be in order.
func (gateway *gatewayUnderTest) waitForCleanDrain() {
	gateway.Helper()
	if err := gateway.process.Wait(); err != nil || strings.Contains(gateway.log.String(), "before all clients") {
		gateway.Errorf("ended with %v: %s", err, gateway.log)
	}
}

// SIGTERM comes while one client waits for the only place, and more stand behind it: all are answered.
func TestTerminate_answersQueuedClients(t *testing.T) {
	let := make(chan bool)
	gateway := startGateway(t, 26, func(words []string) string { // one place
		if strings.Contains(words[3], "n=1") {
			<-let
		}
		return fakes.FormatValue("hello", 1)
	})
	all := []*client{gateway.connect()}
	all[0].send(queryCommand("c=look,t=wide,d=9000,n=1"))
	gateway.server.NextCommand(t)
	for range 3 {
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=9000"))
		all = append(all, c)
	}
	gateway.terminate()
	asked := time.Now()
	fakes.Eventually(t, "the front closing", func() bool { return time.Since(asked) > 700*time.Millisecond }) // or long since
	close(let)
	for _, c := range all {
		c.want("hello")
		c.wantClosed()
		_ = c.Close()
	}
	gateway.waitForCleanDrain()
}

// A client that never closes, and one that never stops asking: each request that is read is answered, and the program
// ends by itself.
func TestTerminate_doesNotWaitForIdleClients(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	stays, asks := gateway.connect(), gateway.connect()
	gateway.terminate()
	go func() {
		for many := strings.Repeat(fakes.FormatCommand("PING"), 1000); ; {
			if _, err := io.WriteString(asks, many); err != nil {
				return
			}
		}
	}()
	stays.send(queryCommand("c=look,t=wide,d=4800"))
	stays.want("hello")
	rest, err := io.ReadAll(asks.in) // its end is in order: no answer is lost to a reset
	if pongs := strings.Count(string(rest), "+PONG\r\n"); err != nil || pongs == 0 || pongs*len("+PONG\r\n") != len(rest) {
		t.Errorf("%d answers in %d bytes, then %v", pongs, len(rest), err)
	}
	gateway.waitForCleanDrain()
}
