package listener

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Times of a drain, which begins at SIGTERM.
const (
	// acceptAfterTerm: clients connect for 0.4 s after SIGTERM, and every limit has 50 ms more.
	acceptAfterTerm = 450 * time.Millisecond
	// backlogTimeout: a connection of the backlog is accepted within this of the one before.
	backlogTimeout = 100 * time.Millisecond
	// forwardAfterTerm: what is read later behind other commands is rejected, as SIGKILL may find it unanswered.
	forwardAfterTerm = 700 * time.Millisecond
	// killGrace: SIGKILL comes this long after the longest deadline, or after writeTimeout if that is shorter, and no sooner.
	killGrace = 700 * time.Millisecond
	// killMargin: all that is read late is decided this long before SIGKILL.
	killMargin = 100 * time.Millisecond
	// giveUpMargin, giveUpShare: requests with rejections behind them are given up this long before SIGKILL, or that part of its
	// delay if it is shorter. A gateway may be held up for 0.15 s.
	giveUpMargin = 250 * time.Millisecond
	giveUpShare  = 10
	// rejectTime: commands are read for this much longer; a client that never pauses in it has to be closed on.
	rejectTime = 1800 * time.Millisecond
	// readMargin: reading ends this long before SIGKILL.
	readMargin = 40 * time.Millisecond
	// drainIdleTimeout: a client that was answered within this asks again, and its next answer closes its connection.
	drainIdleTimeout = 250 * time.Millisecond
	// drainPollInterval is the time between searches for connections that have been idle for longer.
	drainPollInterval = 50 * time.Millisecond
)

// drainState is how far a drain has come.
type drainState struct {
	active     atomic.Bool                // the last answer on a connection closes it
	times      atomic.Pointer[drainTimes] // set before active
	acceptDone chan struct{}              // closed once Serve accepts no more
	finished   chan struct{}              // closed once Drain waits for no client any more
}

// drainTimes are until when a drain does what.
type drainTimes struct {
	began        time.Time
	killDelay    time.Duration
	forwardUntil time.Time // then what is read behind other commands is rejected
	readUntil    time.Time // then no more is read behind what is in flight
	answerUntil  time.Time // by then everything read late is answered
	giveUpAt     time.Time // then requests are given up behind which rejections wait
}

// newDrainTimes returns the times of a drain that began at a time, where SIGKILL comes killDelay later.
func newDrainTimes(began time.Time, killDelay time.Duration) *drainTimes {
	return &drainTimes{
		began: began, killDelay: killDelay, forwardUntil: began.Add(forwardAfterTerm),
		readUntil:   began.Add(min(forwardAfterTerm+rejectTime, killDelay-readMargin)),
		answerUntil: began.Add(killDelay - killMargin),
		giveUpAt:    began.Add(killDelay - min(giveUpMargin, killDelay/giveUpShare)),
	}
}

func newDrainState() *drainState {
	return &drainState{acceptDone: make(chan struct{}), finished: make(chan struct{})}
}

// limitKillDelay has a drain that has begun expect SIGKILL at the earliest of the delays that settings have asked for since. It
// is called with the lock of the settings held, and nowhere else after the begin.
func (d *drainState) limitKillDelay(killDelay time.Duration) {
	if times := d.times.Load(); times != nil && killDelay < times.killDelay {
		d.times.Store(newDrainTimes(times.began, killDelay))
	}
}

// isForwardOver reports that commands behind others on a connection are rejected. They are read still: an orderly end of the
// connection would acknowledge those that lie in the socket, and lose them. Rejected at once they soon leave a pause, in which
// the last answer closes the connection.
func (d *drainState) isForwardOver() bool {
	return d.active.Load() && time.Now().After(d.times.Load().forwardUntil)
}

// isReadOver reports that no command is read any more on a connection, except one that was begun, or the first. A client that
// sends on and on is stopped by this: otherwise only a pause would close its connection.
func (d *drainState) isReadOver() bool {
	return d.active.Load() && time.Now().After(d.times.Load().readUntil)
}

// boundTimeout returns a request's timeout, cut during a drain to the time by which all is to be answered.
func (d *drainState) boundTimeout(timeout time.Duration) time.Duration {
	if d.active.Load() {
		timeout = min(timeout, time.Until(d.times.Load().answerUntil))
	}
	return timeout
}

// Drain accepts connections for a while, then only those of the backlog, closes each connection with an answer, or where it
// stays idle, and waits until all commands are answered. It gives up only long after SIGKILL is due: a command that SIGKILL
// finds unanswered came early and has a long deadline. Where others that came late wait for its answer, it is answered as
// failed before SIGKILL: those would be lost with it.
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

// awaitClients closes idle connections until no client is left, and returns true then. It returns false after all deadlines,
// and the times to write an answer, are over.
func (l *Listener) awaitClients(socket net.Listener, began time.Time) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-l.drain.acceptDone
		l.connections.open.Wait()
	}()
	for time.Since(began) < l.parser.Load().longestTimeout()+killGrace+writeTimeout {
		l.connections.closeIdle(isDueInDrain)                   // also while a connection waits for a slot
		if time.Now().After(l.drain.times.Load().answerUntil) { // clients that connect on and on
			_ = socket.Close() // it may be closed already
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

// isDueInDrain reports whether an idle connection is to be closed during a drain. A client that was just answered is likely to be
// sending its next request, which would be lost if it crossed the close. Cost: a connection that becomes idle as the drain
// begins is held for that long.
func isDueInDrain(idleTime time.Duration, _ bool) bool { return idleTime >= drainIdleTimeout }

// killDelay returns how long after SIGTERM SIGKILL comes at the earliest.
func (l *Listener) killDelay() time.Duration {
	return min(l.parser.Load().longestTimeout(), writeTimeout) + killGrace
}
