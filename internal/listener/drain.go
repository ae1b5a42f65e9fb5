package listener

import (
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
)

const (
	backlogTimeout    = 100 * time.Millisecond // who stands in line to be accepted comes within this of the one before
	readAfterTerm     = 700 * time.Millisecond // after SIGTERM: what comes later may be found unanswered by SIGKILL
	killGrace         = 700 * time.Millisecond // SIGKILL comes so long after the longest deadline (talkMost, if longer), no sooner
	killMargin        = 100 * time.Millisecond // before SIGKILL all that is read late is decided
	drainIdleTimeout  = 250 * time.Millisecond // who was answered within this asks on: its next answer ends its connection
	drainPollInterval = 50 * time.Millisecond  // how often connections that have been idle for longer are looked for
)

// Drain keeps taking for a while, then only those who stand in line, ends each connection with an answer, or where it
// stays idle, and waits until everything held is answered. It gives up only long after SIGKILL is due: what SIGKILL finds
// unanswered came early and has a long deadline, or is not read any more; given up by ourselves it would be lost.
func (f *Listener) Drain(l net.Listener) {
	defer close(f.drainDone)
	began := time.Now()
	time.Sleep(acceptAfterTerm)
	f.readUntil, f.answerUntil = began.Add(readAfterTerm), began.Add(f.killDelay()-killMargin)
	// Before the front closes: accept sets a time of its own then, which this would undo.
	if line, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || line.SetDeadline(time.Unix(1, 0)) != nil {
		_ = l.Close()
	}
	f.draining.Store(true)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		<-f.acceptDone
		f.clientsDone.Wait()
	}()
	for time.Since(began) < f.longestTimeout()+killGrace+writeTimeout { // all deadlines are over, and the times to write an answer
		f.closeIdle()                        // also while somebody waits for a place
		if time.Now().After(f.answerUntil) { // whoever comes on and on
			_ = l.Close()
		}
		select {
		case <-gone:
			return
		case <-time.After(drainPollInterval):
		}
	}
	if left := f.inFlight(); left > 0 {
		f.log.Warn("ended before all clients had their answers", zap.Int("answers", left))
	}
}

// accept takes the next connection. In a front that closes, the listener is closed once none stands in line: what
// the system has accepted may hold a task, and would be reset.
func (f *Listener) accept(l net.Listener) (net.Conn, error) {
	for {
		closing := f.draining.Load()
		if line, ok := l.(interface{ SetDeadline(time.Time) error }); ok && closing {
			_ = line.SetDeadline(time.Now().Add(backlogTimeout))
		}
		conn, err := l.Accept()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case closing:
			_ = l.Close()
		default:
			time.Sleep(time.Millisecond) // the front is about to close
		}
	}
}

// longestTimeout is the longest deadline of all classes.
func (f *Listener) longestTimeout() (most time.Duration) {
	for _, l := range f.parser.Load().classes {
		most = max(most, l.Timeout)
	}
	return most
}

// killDelay is how long after SIGTERM SIGKILL comes at the soonest.
func (f *Listener) killDelay() time.Duration {
	return min(f.longestTimeout(), writeTimeout) + killGrace
}

// boundTimeout is a patience, in a front that closes no longer than all is to be answered.
func (f *Listener) boundTimeout(patience time.Duration) time.Duration {
	if f.draining.Load() {
		patience = min(patience, time.Until(f.answerUntil))
	}
	return patience
}

// isReadOver tells that a front that closes reads no more commands on a connection than it has begun to, or one. Guards
// against who sends on without a pause: only a pause ended its connection.
func (f *Listener) isReadOver() bool { return f.draining.Load() && time.Now().After(f.readUntil) }

// inFlight is how many commands have no answer yet.
func (f *Listener) inFlight() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		c.mu.Lock()
		n += c.commands
		c.mu.Unlock()
	}
	return n
}

// closeIdle closes the connections that have been idle for a while. Guards against the end of one crossing a task on its
// way, which is lost then: a client that was just answered is likely to be sending its next. Harm: a connection that
// goes idle as the drain begins is held for so much longer.
func (f *Listener) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if since, _, idle := c.idleState(); idle && time.Since(since) >= drainIdleTimeout {
			c.closeIfIdle()
		}
	}
}
