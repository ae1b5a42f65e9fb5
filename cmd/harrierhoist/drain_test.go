package main

import (
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

func TestTerminate_servesForAWhileAndAnswersWhatIsInFlight(t *testing.T) {
	let := make(chan bool)
	gateway := startGateway(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-let
		}
		return fakes.FormatValue("hello", 1)
	})
	held, idle := gateway.connect(), gateway.connect()
	held.send(queryCommand("c=look,t=wide,d=4800,n=1"))
	gateway.server.NextCommand(t)
	if err := gateway.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	fakes.Eventually(t, "the signal", func() bool { return strings.Contains(gateway.log.String(), "gateway: shutting down") })
	fresh, mum := gateway.connect(), gateway.connect()
	for _, c := range []*client{idle, fresh} {
		c.send(queryCommand("c=look,t=wide,d=4800"))
		c.want("hello")
	}
	idle.wantClosed()
	fresh.wantClosed()
	mum.wantClosed()
	close(let)
	held.want("hello")
	held.wantClosed()
	if err := gateway.process.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, gateway.log)
	}
}
