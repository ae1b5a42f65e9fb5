package listener

import (
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Times of a drain, which begins on SIGTERM.
const (
	// acceptAfterSigterm is how long after SIGTERM new connections are accepted.
	acceptAfterSigterm = 450 * time.Millisecond
	// backlogTimeout is how long accept waits for a further connection from the backlog before the
	// backlog counts as empty.
	backlogTimeout = 100 * time.Millisecond
	// forwardAfterSigterm is how long after SIGTERM requests are forwarded. Later requests behind
	// other commands are rejected, as SIGKILL might come before their answers.
	forwardAfterSigterm = 700 * time.Millisecond
	// killGrace is the minimum time from the end of the longest request timeout to SIGKILL. The
	// timeout is counted from SIGTERM and capped at writeTimeout.
	killGrace = 700 * time.Millisecond
	// killMargin is how long before SIGKILL all commands must be answered. The process may be held
	// up for a part of it.
	killMargin = 200 * time.Millisecond
	// lastReadTime is how long commands are still read after all requests were aborted: those that
	// arrived behind the aborted ones are answered at once then.
	lastReadTime = killMargin / 2
	// abortLead is how long before all commands must be answered the requests are aborted that delay
	// the answers of rejected commands.
	abortLead = 150 * time.Millisecond
	// abortLeadDivisor caps abortLead at 1/abortLeadDivisor of the time from SIGTERM to SIGKILL.
	abortLeadDivisor = 20
	// rejectDuration is how long after forwardAfterSigterm commands are still read, and rejected, on a
	// connection without requests in flight. The connection of a client that never pauses in that time
	// is closed while the client sends.
	rejectDuration = 1800 * time.Millisecond
	// unblockedReadTime is how long commands are still read after the last request on a connection has
	// ended: those behind it are answered at once then, and the client needs time to pause.
	unblockedReadTime = 500 * time.Millisecond
	// drainIdleTimeout is how long a connection must be idle before a drain closes it. A client
	// that was answered more recently is likely to send another request, whose answer then closes
	// the connection.
	drainIdleTimeout = 250 * time.Millisecond
	// drainPollInterval is the time between checks for connections that exceed drainIdleTimeout.
	drainPollInterval = 50 * time.Millisecond
)

// drainState is the state of a drain.
type drainState struct {
	active     atomic.Bool                // set by Drain; the last answer on a connection then closes it
	times      atomic.Pointer[drainTimes] // set before active
	shortened  chan struct{}              // gets an element when times change; capacity 1
	acceptDone chan struct{}              // closed when Serve returns
	finished   chan struct{}              // closed when Drain returns
}

// drainTimes are the times at which a drain enters its stages.
type drainTimes struct {
	began        time.Time     // earliest time at which SIGTERM can have been sent
	killDelay    time.Duration // from began to the earliest SIGKILL
	forwardUntil time.Time     // end of forwarding; commands read later behind others are rejected
	abortAt      time.Time     // time from which requests that delay rejections are aborted
	answerBy     time.Time     // time by which all requests must be answered; those in flight are aborted
	readUntil    time.Time     // end of reading on connections without requests in flight
}

// newDrainTimes returns the times of a drain that began at SIGTERM and expects SIGKILL after
// killDelay.
func newDrainTimes(began time.Time, killDelay time.Duration) *drainTimes {
	answerDelay := killDelay - killMargin
	return &drainTimes{
		began:        began,
		killDelay:    killDelay,
		forwardUntil: began.Add(min(forwardAfterSigterm, answerDelay)),
		abortAt:      began.Add(answerDelay - min(abortLead, killDelay/abortLeadDivisor)),
		answerBy:     began.Add(answerDelay),
		readUntil:    began.Add(min(forwardAfterSigterm+rejectDuration, answerDelay+lastReadTime)),
	}
}

// pollDelay returns how long a drain waits between two checks of its connections: drainPollInterval,
// or the time until requests are aborted if that is shorter.
func (t *drainTimes) pollDelay(now time.Time) time.Duration {
	delay := drainPollInterval
	for _, stage := range []time.Time{t.abortAt, t.answerBy} {
		if untilStage := stage.Sub(now); untilStage > 0 {
			delay = min(delay, untilStage)
		}
	}
	return delay
}

func newDrainState() *drainState {
	return &drainState{
		shortened: make(chan struct{}, 1), acceptDone: make(chan struct{}), finished: make(chan struct{}),
	}
}

// shortenKillDelay makes a running drain expect SIGKILL killDelay after SIGTERM if that is earlier
// than expected so far. Commands that have arrived are read nevertheless, even if all stages are in
// the past. The caller must hold Listener.settingsMu. No other function changes the times once the
// drain has begun.
func (d *drainState) shortenKillDelay(killDelay time.Duration) {
	times := d.times.Load()
	if times == nil || killDelay >= times.killDelay {
		return
	}
	now := time.Now()
	shortened := newDrainTimes(times.began, killDelay)
	shortened.answerBy = latest(shortened.answerBy, now)
	shortened.readUntil = latest(shortened.readUntil, now.Add(lastReadTime))
	d.times.Store(shortened)
	select {
	case d.shortened <- struct{}{}:
	default: // an earlier change is not noticed yet
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasStoppedForwarding reports whether commands behind others on a connection are rejected. They
// are still read: an orderly close would acknowledge the bytes that wait in the socket, and the
// commands would be lost. A client pauses soon after the rejections, and the last answer then
// closes the connection.
func (d *drainState) hasStoppedForwarding() bool {
	return d.active.Load() && time.Now().After(d.times.Load().forwardUntil)
}

// hasStoppedReading reports whether no new command, except the first, is read on a connection that
// last had a request in flight at lastBlocked. Commands that were read in part are completed. While
// reading goes on, a connection is closed in the first moment in which all commands that have arrived
// are answered. A client that sends faster than the gateway reads leaves no such moment, and without
// this limit no answer would be the last.
func (d *drainState) hasStoppedReading(lastBlocked time.Time) bool {
	if !d.active.Load() {
		return false
	}
	now := time.Now()
	times := d.times.Load()
	hadTimeToPause := now.After(times.readUntil) && now.Sub(lastBlocked) > unblockedReadTime
	return hadTimeToPause || now.After(times.answerBy.Add(lastReadTime))
}

// mustAnswer reports whether commands must be answered without any delay.
func (d *drainState) mustAnswer() bool {
	return d.active.Load() && time.Now().After(d.times.Load().answerBy)
}

// boundTimeout returns the timeout of a request. During a drain, the timeout ends at answerBy at
// the latest.
func (d *drainState) boundTimeout(timeout time.Duration) time.Duration {
	if d.active.Load() {
		timeout = min(timeout, time.Until(d.times.Load().answerBy))
	}
	return timeout
}

// Drain accepts connections for acceptAfterSigterm, and then only those in the backlog. It closes
// each connection with its last answer, or when it is idle, and returns when all connections are
// closed. It returns earlier, possibly with unanswered commands, if drainTimeout has passed, which
// is long after the expected SIGKILL. All commands are answered by answerBy: the timeouts of requests
// read during the drain end then, and earlier requests are aborted.
func (l *Listener) Drain(socket net.Listener) {
	defer close(l.drain.finished)
	began := l.pauses.earliestSignal(time.Now())
	l.settingsMu.Lock()
	times := newDrainTimes(began, l.killDelay())
	l.drain.times.Store(times)
	l.settingsMu.Unlock()
	time.Sleep(min(acceptAfterSigterm, time.Until(times.abortAt)))
	// Set the deadline before activating the drain: accept then sets its own deadline, which this
	// call would overwrite.
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

// awaitClients closes idle connections until none is open, and returns true then. It returns false
// after drainTimeout.
func (l *Listener) awaitClients(socket net.Listener, began time.Time) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-l.drain.acceptDone
		l.connections.open.Wait()
	}()
	for time.Since(began) < l.drainTimeout() {
		l.connections.closeIdle(shouldCloseInDrain) // also frees a slot for a waiting connection
		times := l.drain.times.Load()
		l.abortRequests(socket, times)
		select {
		case <-done:
			return true
		case <-l.drain.shortened:
		case <-time.After(times.pollDelay(time.Now())):
		}
	}
	return false
}

// abortRequests aborts the requests that are not to be answered in time. From abortAt on, these are
// the requests that delay rejections: otherwise neither they nor the rejected commands would be
// answered before SIGKILL. From answerBy on, these are all requests, and the socket is closed, as
// its backlog may never be empty.
func (l *Listener) abortRequests(socket net.Listener, times *drainTimes) {
	now := time.Now()
	switch {
	case !now.Before(times.answerBy):
		_ = socket.Close() // may be closed already
		l.connections.abortAll()
	case !now.Before(times.abortAt):
		l.connections.abortBlockingRequests()
	}
}

// drainTimeout returns how long after SIGTERM a drain stops waiting for its clients: the longest
// timeout of any class under the settings in force, killGrace, and the time to write an answer.
func (l *Listener) drainTimeout() time.Duration {
	return l.parser.Load().longestTimeout() + killGrace + writeTimeout
}

// shouldCloseInDrain reports whether a drain closes a connection that has been idle for idleTime. A
// client that was just answered is likely to be sending its next request, which would be lost if it
// arrived during the close.
func shouldCloseInDrain(idleTime time.Duration, _ activity) bool { return idleTime >= drainIdleTimeout }

// killDelay returns the expected minimum time from SIGTERM to SIGKILL.
func (l *Listener) killDelay() time.Duration {
	return min(l.parser.Load().longestTimeout(), writeTimeout) + killGrace
}
