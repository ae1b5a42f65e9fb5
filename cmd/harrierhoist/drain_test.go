package main

import (
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/standin"
)

func TestAskedToEndItTakesOnForAWhileAndAnswersWhatItHolds(t *testing.T) {
	let := make(chan bool)
	w := begin(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-let
		}
		return standin.Value("hello", 1)
	})
	held, idle := w.dial(), w.dial()
	held.send(look("c=look,t=wide,d=4800,n=1"))
	w.server.Got(t)
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	standin.Eventually(t, "the signal", func() bool { return strings.Contains(w.log.String(), "asked to end") })
	fresh, mum := w.dial(), w.dial()
	for _, c := range []*client{idle, fresh} {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
	}
	idle.closed()
	fresh.closed()
	mum.closed()
	close(let)
	held.want("hello")
	held.closed()
	if err := w.cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, w.log)
	}
}
