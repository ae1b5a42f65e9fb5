package listener

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Guards against goroutines and memory that grow with the commands behind a request that hangs, and
// against commands that stay unread behind it: late commands are all read while it hangs, and
// answered in their order once it ends.
func TestDrain_lateCommandsBehindAHangingRequest(t *testing.T) {
	const commands, maxGoroutines = 20_000, 2_000 // tests beside this one have goroutines too
	release := map[int]chan bool{1: make(chan bool)}
	f := newDrainFixture(t, 8, nil, answerByNumber(release))
	c := f.dial()
	tapped := <-f.accepted
	c.send(numberedQuery(1))
	f.server.NextCommand(t)
	f.drain.times.Store(&drainTimes{
		forwardUntil: time.Now(), readUntil: time.Now(), answerBy: time.Now().Add(time.Hour),
	})
	f.drain.active.Store(true)
	before := runtime.NumGoroutine()
	late := strings.Repeat(numberedQuery(2), 100) + pingCommand
	read := tapped.readBytes.Load()
	for range commands / 100 {
		c.send(late)
	}
	fakes.Eventually(t, "all commands read", func() bool {
		return tapped.readBytes.Load()-read == int64(len(late)*commands/100)
	})
	if n := runtime.NumGoroutine() - before; n > maxGoroutines {
		t.Errorf("%d more goroutines for %d commands", n, commands)
	}
	close(release[1])
	c.wantAnswer("value 1")
	for range commands / 100 {
		for range 100 {
			c.wantAnswer("-BUSY")
		}
		c.wantAnswer(`\+PONG`)
	}
	c.wantClose()
}

// The stages of a drain keep their order, however short the longest timeout is.
func TestNewDrainTimes_stagesAreInOrder(t *testing.T) {
	began := time.Now()
	for _, longest := range []time.Duration{
		time.Microsecond, 60 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second,
	} {
		killDelay := longest + killGrace
		times := newDrainTimes(began, killDelay)
		untilKill := func(at time.Time) time.Duration { return began.Add(killDelay).Sub(at) }
		if times.abortAt.After(times.answerBy) || times.forwardUntil.After(times.answerBy) ||
			times.readUntil.After(times.answerBy.Add(lastReadTime)) || lastReadTime >= killMargin ||
			untilKill(times.answerBy) != killMargin ||
			times.abortAt.Before(began.Add(acceptAfterSigterm)) {
			t.Errorf("longest timeout %v: %+v", longest, times)
		}
	}
}

// A drain waits no longer than to its next stage before it checks its connections.
func TestPollDelay_endsAtTheNextStage(t *testing.T) {
	now := time.Now()
	times := &drainTimes{abortAt: now.Add(30 * time.Millisecond), answerBy: now.Add(70 * time.Millisecond)}
	for at, want := range map[time.Duration]time.Duration{
		-time.Second:           drainPollInterval,
		10 * time.Millisecond:  20 * time.Millisecond,
		30 * time.Millisecond:  40 * time.Millisecond,
		100 * time.Millisecond: drainPollInterval,
	} {
		if got := times.pollDelay(now.Add(at)); got != want {
			t.Errorf("%v: waits %v, want %v", at, got, want)
		}
	}
}
