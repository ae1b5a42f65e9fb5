package main

import (
	"io"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// waitForCompleteDrain waits for the end of the process, which has to have answered all clients.
func (g *gatewayUnderTest) waitForCompleteDrain() {
	g.Helper()
	g.waitForCleanExit()
	if g.log.Count("listener: drain timed out") > 0 {
		g.Errorf("ended too early: %s", g.log)
	}
}

// SIGTERM comes while one client has the only connection, and more are queued behind it: all are
// answered.
func TestTerminate_answersQueuedClients(t *testing.T) {
	release := make(chan bool)
	gateway := startGateway(t, 26, func(words []string) string { // one connection
		if strings.Contains(words[3], "n=1") {
			<-release
		}
		return fakes.FormatValue("hello", 1)
	})
	all := []*client{gateway.connect()}
	all[0].send(queryCommand("c=look,t=wide,d=9000,n=1"))
	gateway.server.NextCommand(t)
	for range 3 {
		c := gateway.connect()
		c.send(queryCommand(longQueryList))
		all = append(all, c)
	}
	gateway.terminate()
	terminatedAt := time.Now()
	fakes.Eventually(t, "the listener closing", func() bool { return time.Since(terminatedAt) > 700*time.Millisecond })
	close(release)
	for _, c := range all {
		c.want("hello")
		c.wantClosed()
		_ = c.Close()
	}
	gateway.waitForCompleteDrain()
}

// A client that never closes, and one that never stops sending: each request that is read is
// answered, and the process ends by itself.
func TestTerminate_doesNotWaitForIdleClients(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	silent, sending := gateway.connect(), gateway.connect()
	gateway.terminate()
	go func() {
		for many := strings.Repeat(fakes.FormatCommand("PING"), 1000); ; {
			if _, err := io.WriteString(sending, many); err != nil {
				return
			}
		}
	}()
	silent.query(queryList, "hello")
	rest, err := io.ReadAll(sending.in) // its end is in order: no answer is lost to a reset
	if pongs := strings.Count(string(rest), "+PONG\r\n"); err != nil || pongs == 0 ||
		pongs*len("+PONG\r\n") != len(rest) {
		t.Errorf("%d answers in %d bytes, then %v", pongs, len(rest), err)
	}
	gateway.waitForCompleteDrain()
}

func TestTerminate_servesForAWhileAndAnswersWhatIsInFlight(t *testing.T) {
	release := make(chan bool)
	gateway := startGateway(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-release
		}
		return fakes.FormatValue("hello", 1)
	})
	held, idle := gateway.connect(), gateway.connect()
	held.send(queryCommand("c=look,t=wide,d=4800,n=1"))
	gateway.server.NextCommand(t)
	gateway.terminate()
	late, silent := gateway.connect(), gateway.connect()
	for _, c := range []*client{idle, late} {
		c.query(queryList, "hello")
	}
	idle.wantClosed()
	late.wantClosed()
	silent.wantClosed()
	close(release)
	held.want("hello")
	held.wantClosed()
	gateway.waitForCleanExit()
}
