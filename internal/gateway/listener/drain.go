package listener

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Times of a drain, which begins at SIGTERM.
const (
	// acceptAfterTerm is how long connections are accepted after SIGTERM.
	acceptAfterTerm = 450 * time.Millisecond
	// backlogTimeout is how long accepting goes on after the last connection of the backlog.
	backlogTimeout = 100 * time.Millisecond
	// forwardAfterTerm is how long after SIGTERM requests are forwarded. What is read later behind
	// other commands is rejected, as SIGKILL may find it unanswered.
	forwardAfterTerm = 700 * time.Millisecond
	// killGrace is how long after the longest deadline SIGKILL comes at the earliest, or after
	// writeTimeout if that is shorter.
	killGrace = 700 * time.Millisecond
	// killMargin is how long before SIGKILL all that was read late is answered.
	killMargin = 100 * time.Millisecond
	// giveUpMargin is how long before SIGKILL requests are given up that have rejections behind
	// them.
	giveUpMargin = 250 * time.Millisecond
	// giveUpDivisor bounds giveUpMargin to that part of the time from SIGTERM to SIGKILL.
	giveUpDivisor = 10
	// rejectTime is how much longer commands are read, and rejected. A client that never pauses in
	// it is closed while it sends.
	rejectTime = 1800 * time.Millisecond
	// readMargin is how long before SIGKILL reading ends.
	readMargin = 40 * time.Millisecond
	// drainIdleTimeout is how long a connection is idle before a drain closes it. A client that was
	// answered within this asks again, and its next answer closes its connection.
	drainIdleTimeout = 250 * time.Millisecond
	// drainPollInterval is the time between searches for connections that were idle for that long.
	drainPollInterval = 50 * time.Millisecond
)

// drainState is how far a drain has come.
type drainState struct {
	active     atomic.Bool                // the last answer on a connection closes it
	times      atomic.Pointer[drainTimes] // set before active
	acceptDone chan struct{}              // closed once Serve accepts no more
	finished   chan struct{}              // closed once Drain waits for no client any more
}

// drainTimes are the moments at which a drain changes what it does.
type drainTimes struct {
	began        time.Time
	killDelay    time.Duration // from began to the earliest SIGKILL
	forwardUntil time.Time     // then what is read behind other commands is rejected
	readUntil    time.Time     // then no more is read behind what is in flight
	answerUntil  time.Time     // by then everything read late is answered
	giveUpAt     time.Time     // then requests are given up behind which rejections wait
}

// newDrainTimes returns the times of a drain that began at SIGTERM, with SIGKILL killDelay later.
func newDrainTimes(began time.Time, killDelay time.Duration) *drainTimes {
	return &drainTimes{
		began:        began,
		killDelay:    killDelay,
		forwardUntil: began.Add(forwardAfterTerm),
		readUntil:    began.Add(min(forwardAfterTerm+rejectTime, killDelay-readMargin)),
		answerUntil:  began.Add(killDelay - killMargin),
		giveUpAt:     began.Add(killDelay - min(giveUpMargin, killDelay/giveUpDivisor)),
	}
}

func newDrainState() *drainState {
	return &drainState{acceptDone: make(chan struct{}), finished: make(chan struct{})}
}

// limitKillDelay has a drain that has begun expect SIGKILL at the earliest of the delays that
// settings have asked for since. It is called with the lock of the settings held, and nowhere else
// after the begin.
func (d *drainState) limitKillDelay(killDelay time.Duration) {
	if times := d.times.Load(); times != nil && killDelay < times.killDelay {
		d.times.Store(newDrainTimes(times.began, killDelay))
	}
}

// isForwardOver reports whether commands behind others on a connection are rejected. They are read
// still: an orderly end of the connection would acknowledge those that lie in the socket, and lose
// them. After the rejections the client soon pauses, and the last answer closes the connection.
func (d *drainState) isForwardOver() bool {
	return d.active.Load() && time.Now().After(d.times.Load().forwardUntil)
}

// isReadOver reports whether no command is read any more on a connection, except one that was
// begun, or the first. A client that sends without a pause would otherwise keep its connection: no
// answer would be the last.
func (d *drainState) isReadOver() bool {
	return d.active.Load() && time.Now().After(d.times.Load().readUntil)
}

// boundTimeout returns a request's timeout, cut during a drain to the time by which all is to be
// answered.
func (d *drainState) boundTimeout(timeout time.Duration) time.Duration {
	if d.active.Load() {
		timeout = min(timeout, time.Until(d.times.Load().answerUntil))
	}
	return timeout
}

// Drain accepts connections for acceptAfterTerm, then only those of the backlog. It closes each
// connection with its last answer, or once it is idle, and returns when all commands are answered.
// It gives up only long after SIGKILL is due: a command that SIGKILL finds unanswered came early
// and has a long deadline.
func (l *Listener) Drain(socket net.Listener) {
	defer close(l.drain.finished)
	began := time.Now()
	l.settingsMu.Lock()
	l.drain.times.Store(newDrainTimes(began, l.killDelay()))
	l.settingsMu.Unlock()
	time.Sleep(acceptAfterTerm)
	// Before the drain is active: accept sets a deadline of its own then, which this would undo.
	if d, ok := socket.(deadlineSetter); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
		_ = socket.Close()
	}
	l.drain.active.Store(true)
	if l.awaitClients(socket, began) {
		return
	}
	if count := l.connections.unansweredCommands(); count > 0 {
		l.log.Warn("listener: drain timed out with unanswered commands", zap.Int("unanswered", count))
	}
}

// awaitClients closes idle connections until no client is left, and returns true then; false if
// that takes longer than drainTimeout. It accepts no more after answerUntil. Shortly before SIGKILL
// it has requests answered as failed that hold up rejections: SIGKILL would lose all of them.
func (l *Listener) awaitClients(socket net.Listener, began time.Time) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-l.drain.acceptDone
		l.connections.open.Wait()
	}()
	for time.Since(began) < l.drainTimeout() {
		l.connections.closeIdle(isDueInDrain) // also while a connection waits for a slot
		if time.Now().After(l.drain.times.Load().answerUntil) {
			_ = socket.Close() // the backlog may never become empty; the socket may be closed already
		}
		if time.Now().After(l.drain.times.Load().giveUpAt) {
			l.connections.giveUpBeforeRejected()
		}
		select {
		case <-done:
			return true
		case <-time.After(drainPollInterval):
		}
	}
	return false
}

// drainTimeout decides how long after SIGTERM a drain gives up waiting for its clients: the longest
// timeout of any class by the settings in force, and the time to write an answer.
func (l *Listener) drainTimeout() time.Duration {
	return l.parser.Load().longestTimeout() + killGrace + writeTimeout
}

// isDueInDrain reports whether an idle connection is to be closed during a drain. A client that was
// just answered is likely to be sending its next request, which would be lost if it crossed the
// close.
func isDueInDrain(idleTime time.Duration, _ activity) bool { return idleTime >= drainIdleTimeout }

// killDelay returns how long after SIGTERM SIGKILL comes at the earliest.
func (l *Listener) killDelay() time.Duration {
	return min(l.parser.Load().longestTimeout(), writeTimeout) + killGrace
}
