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

	"harrierhoist/internal/standin"
)

// onward sends one task after the other on a connection until the gateway ends it, and looks before each whether it
// has. A task that was sent on an open connection and not answered in whole is lost.
type onward struct {
	*client
	pause    func() time.Duration // between an answer and the next task
	task     func() string
	answered int
	lost     error
}

// ended tells, without waiting, whether the gateway has ended the connection.
func (o *onward) ended() bool {
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

func (o *onward) run() {
	for {
		time.Sleep(o.pause())
		if o.ended() {
			return
		}
		if _, err := io.WriteString(o.Conn, o.task()); err != nil {
			return // closed before the whole task was written: not taken
		}
		line, err := o.in.ReadString('\n')
		if size := 0; err == nil && strings.HasPrefix(line, "$") {
			_, _ = fmt.Sscanf(line, "$%d", &size)
			_, err = o.in.Discard(size + 2)
		}
		if err != nil {
			o.lost = err
			return
		}
		o.answered++
	}
}

// After SIGTERM clients send on every connection that stays open, up to SIGKILL. Each task gets its answer, and none is
// lost with a connection that was open when it was sent: tasks at once after an answer, now and then, long ones, large.
func TestAskedToEndNoTaskOnAnOpenConnectionIsLost(t *testing.T) {
	large := standin.Value(strings.Repeat("x", 1<<20), 1)
	w := begin(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=long") {
			time.Sleep(700 * time.Millisecond)
		}
		if strings.Contains(words[3], "n=large") {
			return large
		}
		return standin.Value("hello", 1)
	})
	draw := rand.New(rand.NewPCG(7, 0))
	var all []*onward
	var asked atomic.Int64
	for i := range 60 {
		o := &onward{client: w.dial()}
		most := []time.Duration{1, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond}[i%4]
		kind := []string{"small", "small", "long", "large"}[i/4%4]
		seed := draw.Uint64()
		own := rand.New(rand.NewPCG(seed, 0))
		o.pause = func() time.Duration { return time.Duration(own.Int64N(int64(most))) }
		o.task = func() string { asked.Add(1); return look("c=look,t=wide,d=4800,units=1,n=" + kind) }
		all = append(all, o)
	}
	var senders sync.WaitGroup
	for _, o := range all {
		senders.Go(o.run)
	}
	standin.Eventually(t, "load", func() bool { return asked.Load() > 300 })
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(5500*time.Millisecond, func() { _ = w.cmd.Process.Kill() }) // its longest patience, and 0.7 s
	defer kill.Stop()
	if err := w.cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, w.log)
	}
	senders.Wait()
	answered := 0
	for i, o := range all {
		answered += o.answered
		if o.lost != nil {
			t.Errorf("connection %d: a task lost after %d answered: %v", i, o.answered, o.lost)
		}
	}
	t.Logf("%d tasks answered", answered)
}
