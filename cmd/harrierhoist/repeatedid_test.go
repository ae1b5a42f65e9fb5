package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Parameters of requests of each effect.
const (
	payList  = "c=pay,t=wide,d=4800"
	holdList = "c=hold,t=wide,d=4800,k=5c0f6e1a2b3d4c59"
)

// attemptCounter counts the attempts that a server received, by request ID.
type attemptCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func newAttemptCounter() *attemptCounter { return &attemptCounter{counts: map[string]int{}} }

func (a *attemptCounter) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[id]++
}

func (a *attemptCounter) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[id]
}

// startCountingGateway starts a gateway in front of a server that counts attempts and answers by a
// function.
func startCountingGateway(t *testing.T, answer func() string) (*gatewayUnderTest, *attemptCounter) {
	t.Helper()
	attempts := newAttemptCounter()
	gateway := startGateway(t, 1024, func(words []string) string {
		attempts.add(words[2])
		return answer()
	})
	drainCalls(t, gateway.counter)
	return gateway, attempts
}

func slowHello() string {
	time.Sleep(100 * time.Millisecond)
	return fakes.FormatValue("hello", 1)
}

// Guards against an effect that happens twice: an ID came again after its client had left.
func TestRequestID_runsOnceThoughItsClientLeft(t *testing.T) {
	t.Parallel()
	const tries, untilAgain = 40, 250 * time.Millisecond
	for name, list := range map[string]string{"non-idempotent": payList, "keyed": holdList} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gateway, attempts := startCountingGateway(t, slowHello)
			var running sync.WaitGroup
			for try := range tries {
				running.Go(func() {
					id := nextRequestID()
					command := fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", id, list, "body")
					first := gateway.connect()
					first.send(command)
					fakes.Eventually(t, "an attempt", func() bool { return attempts.of(id) > 0 })
					time.Sleep(time.Duration(try) * time.Millisecond)
					_ = first.Close()
					time.Sleep(untilAgain)
					second := gateway.connect()
					second.send(command)
					second.want("-ERR .*")
					if n := attempts.of(id); n != 1 {
						t.Errorf("ran %d times", n)
					}
				})
			}
			running.Wait()
		})
	}
}

// An ID is kept after any end of a request that may have run, also over reloads that change the effects
// and deadlines of the classes.
func TestRequestID_isKeptOverReloads(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]func() string{
		"served": slowHello,
		"failed": func() string { return "-ERR failed\r\n" },
		"reset":  func() string { return fakes.CloseConn },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gateway, attempts := startCountingGateway(t, answer)
			id := nextRequestID()
			command := fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", id, payList, "body")
			c := gateway.connect()
			c.send(command)
			c.want("hello|-ERR failed")
			text := gateway.configuration()
			for _, deadline := range []string{`"DeadlineMs":100`, `"DeadlineMs":9000`} {
				gateway.reload(strings.ReplaceAll(text, `"DeadlineMs":9000`, deadline), "configuration reloaded")
				c.send(strings.Replace(command, "d=4800", "d=4700", 1))
				c.want("-ERR no id of its own")
			}
			if n := attempts.of(id); n != 1 {
				t.Errorf("ran %d times", n)
			}
		})
	}
}

// What certainly never ran, or may run again, may come again under its ID.
func TestRequestID_mayComeAgainWhereARepeatIsHarmless(t *testing.T) {
	t.Parallel()
	isBusy := make(chan bool, 1)
	isBusy <- true
	gateway, _ := startCountingGateway(t, func() string {
		select {
		case <-isBusy:
			return "-BUSY\r\n"
		default:
			return fakes.FormatValue("hello", 1)
		}
	})
	c := gateway.connect()
	submit := fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(), payList, "body")
	c.send(submit)
	if answer, _ := c.readAnswer(); strings.HasPrefix(answer, "-BUSY") { // else it was retried in place
		c.send(submit)
		c.want("hello")
	}
	query := queryCommand(queryList)
	for range 2 {
		c.send(query)
		c.want("hello")
	}
}
