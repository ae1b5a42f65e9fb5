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

// continuousClient sends one task after the other on a connection until the gateway ends it, and looks before each whether it
// has. A task that was sent on an open connection and not answered in whole is lost.
type continuousClient struct {
	*client
	pause    func() time.Duration // between an answer and the next task
	command  func() string
	perWrite int // tasks written in one
	answered int
	rejected int // of these
	lost     error
}

// isEnded tells, without waiting, whether the gateway has ended the connection.
func (o *continuousClient) isEnded() bool {
	raw, err := o.Conn.(syscall.Conn).SyscallConn()
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

func (o *continuousClient) run() {
	for {
		time.Sleep(o.pause())
		if o.isEnded() {
			return
		}
		text := ""
		for range o.perWrite {
			text += o.command()
		}
		if _, err := io.WriteString(o.Conn, text); err != nil {
			return // closed before the whole was written: not taken
		}
		for range o.perWrite {
			line, err := o.in.ReadString('\n')
			if size := 0; err == nil && strings.HasPrefix(line, "$") {
				_, _ = fmt.Sscanf(line, "$%d", &size)
				_, err = o.in.Discard(size + 2)
			}
			if strings.HasPrefix(line, "-BUSY") {
				o.rejected++
			} else if strings.HasPrefix(line, "-") {
				err = errors.New(line)
			}
			if err != nil {
				o.lost = err
				return
			}
			o.answered++
		}
	}
}

// After SIGTERM clients send on every connection that stays open, up to SIGKILL. Each task gets its answer, and none is
// lost with a connection that was open when it was sent: tasks at once after an answer, now and then, in pairs, long
// ones, large. (Sent in the very moment at which a connection idle for a quarter of a second is closed, one would be.)
func TestTerminate_noRequestOnAnOpenConnectionIsLost(t *testing.T) {
	sendThroughShutdown(t, 200/raceSlowdown, []time.Duration{1, 1, time.Millisecond, 100 * time.Millisecond})
}

// Asked to end with little to do, the gateway refuses no task either.
func TestTerminate_noRequestOnAnOpenConnectionIsRejected(t *testing.T) {
	if refused := sendThroughShutdown(t, 4, []time.Duration{80 * time.Millisecond}); refused > 0 {
		t.Errorf("%d tasks refused", refused)
	}
}

// sendThroughShutdown has so many clients send on, each with pauses drawn up to one of these, past SIGTERM and until the gateway has
// ended or is killed. It gives how many tasks were refused.
func sendThroughShutdown(t *testing.T, clients int, pauses []time.Duration) (refused int) {
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
	draw := rand.New(rand.NewPCG(7, 0))
	var all []*continuousClient
	var asked atomic.Int64
	for i := range clients {
		o := &continuousClient{client: gateway.connect(), perWrite: 1 + i%3/2}
		most := pauses[i%len(pauses)]
		kind := "small"
		switch i / 4 % 8 {
		case 6:
			kind = "long"
		case 7:
			kind = "large"
		}
		own := rand.New(rand.NewPCG(draw.Uint64(), 0))
		o.pause = func() time.Duration { return time.Duration(own.Int64N(int64(most))) }
		o.command = func() string { asked.Add(1); return queryCommand("c=look,t=wide,d=2900,units=1,n=" + kind) }
		all = append(all, o)
	}
	var senders sync.WaitGroup
	for _, o := range all {
		senders.Go(o.run)
	}
	fakes.Eventually(t, "load", func() bool { return asked.Load() > int64(5*clients) })
	if err := gateway.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(3700*time.Millisecond, func() { _ = gateway.process.Process.Kill() }) // 3 s and 0.7 s more
	defer kill.Stop()
	if err := gateway.process.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, gateway.log)
	}
	senders.Wait()
	answered := 0
	for i, o := range all {
		answered += o.answered
		refused += o.rejected
		if o.lost != nil {
			t.Errorf("connection %d: a task lost after %d answered: %v", i, o.answered, o.lost)
		}
	}
	t.Logf("%d tasks answered, %d of them refused", answered, refused)
	return refused
}
