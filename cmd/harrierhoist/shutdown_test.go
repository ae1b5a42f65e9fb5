package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// continuousClient sends one request after the other on a connection until the gateway closes it,
// and looks before each whether it has. A request that was sent on an open connection and not
// answered completely is lost.
type continuousClient struct {
	*client
	pause    func() time.Duration // between an answer and the next request
	command  func() string
	perWrite int // requests in one write
	answered int
	rejected int // of these
	lost     error
}

// isEnded tells, without waiting, whether the gateway has closed the connection.
func (c *continuousClient) isEnded() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return ended
}

func (c *continuousClient) run() {
	for {
		time.Sleep(c.pause())
		if c.isEnded() {
			return
		}
		text := ""
		for range c.perWrite {
			text += c.command()
		}
		if _, err := io.WriteString(c.Conn, text); err != nil {
			return // closed before all was written: none of it is the gateway's
		}
		for range c.perWrite {
			if c.lost = c.readWholeAnswer(); c.lost != nil {
				return
			}
			c.answered++
		}
	}
}

// readWholeAnswer reads an answer of any size. One that is an error, other than a rejection, is
// returned as one.
func (c *continuousClient) readWholeAnswer() error {
	line, err := c.in.ReadString('\n')
	switch {
	case err != nil:
		return err
	case strings.HasPrefix(line, "-BUSY"):
		c.rejected++
	case strings.HasPrefix(line, "-"):
		return errors.New(line)
	case strings.HasPrefix(line, "$"):
		size := 0
		if _, err := fmt.Sscanf(line, "$%d", &size); err != nil {
			return err
		}
		_, err = c.in.Discard(size + 2)
	}
	return err
}

// After SIGTERM clients send on every connection that stays open, up to SIGKILL. Each request gets
// its answer, and none is lost with a connection that was open when it was sent: requests at once
// after an answer, now and then, in pairs, long ones, large. (Sent in the very moment at which a
// connection idle for a quarter of a second is closed, one would be.)
func TestTerminate_noRequestOnAnOpenConnectionIsLost(t *testing.T) {
	sendThroughShutdown(t, 200/raceSlowdown, []time.Duration{1, 1, time.Millisecond, 100 * time.Millisecond})
}

// Terminated with little to do, the gateway rejects no request either.
func TestTerminate_noRequestOnAnOpenConnectionIsRejected(t *testing.T) {
	if rejected := sendThroughShutdown(t, 4, []time.Duration{80 * time.Millisecond}); rejected > 0 {
		t.Errorf("%d requests rejected", rejected)
	}
}

// sendThroughShutdown has clients send requests, each with pauses drawn up to one of these, past
// SIGTERM and until the gateway has ended or is killed. It returns how many requests were rejected.
func sendThroughShutdown(t *testing.T, clients int, pauses []time.Duration) (rejected int) {
	t.Helper()
	large := fakes.FormatValue(strings.Repeat("x", 1<<18), 1)
	gateway := startGateway(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=long") {
			time.Sleep(300 * time.Millisecond)
		}
		if strings.Contains(words[3], "n=large") {
			return large
		}
		return fakes.FormatValue("hello", 1)
	})
	random := rand.New(rand.NewPCG(7, 0))
	var senders []*continuousClient
	var sent atomic.Int64
	for i := range clients {
		longest, kind := pauses[i%len(pauses)], []string{
			"small", "small", "small", "small", "small", "small",
			"long", "large",
		}[i/4%8]
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		senders = append(senders, &continuousClient{
			client: gateway.connect(), perWrite: 1 + i%3/2,
			pause: func() time.Duration { return time.Duration(own.Int64N(int64(longest))) },
			command: func() string {
				sent.Add(1)
				return queryCommand("c=look,t=wide,d=2900,units=1,n=" + kind)
			},
		})
	}
	var running sync.WaitGroup
	for _, sender := range senders {
		running.Go(sender.run)
	}
	fakes.Eventually(t, "load", func() bool { return sent.Load() > int64(5*clients) })
	gateway.signal(syscall.SIGTERM)
	kill := time.AfterFunc(3700*time.Millisecond, func() { _ = gateway.process.Process.Kill() }) // 3 s and 0.7 s more
	defer kill.Stop()
	gateway.waitForCleanExit()
	running.Wait()
	answered := 0
	for i, sender := range senders {
		answered += sender.answered
		rejected += sender.rejected
		if sender.lost != nil {
			t.Errorf("connection %d: a request lost after %d answered: %v", i, sender.answered, sender.lost)
		}
	}
	t.Logf("%d requests answered, %d of them rejected", answered, rejected)
	return rejected
}
