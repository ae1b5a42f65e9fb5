package listener

import "time"

// phase is how far a connection has come towards its end. It never goes back.
type phase uint8

const (
	phaseOpen       phase = iota // further commands are counted
	phaseHalfClosed              // the last answer of a drain ended the sending half; see connectionState.halfClosedAt
	phaseEnded                   // the connection was reset, or its reader has ended
)

// activity is what a connection is doing, as far as it matters for closing it.
type activity uint8

const (
	activityBusy    activity = iota // commands are in flight, or the connection is closed after an answer
	activityNew                     // nothing was asked on it, and it was just accepted, or is closed already
	activitySilent                  // idle, and nothing was ever asked on it: closing it costs its client no request
	activityResting                 // idle since its latest answer
)

// isIdle reports whether a connection in this activity can be closed.
func (a activity) isIdle() bool { return a == activitySilent || a == activityResting }

// closeStep is what a reader does that waits for its client to close the connection.
type closeStep uint8

const (
	keepWaiting      closeStep = iota // the last answer is not written yet, or the client has time left
	closeSendingHalf                  // all is answered, and nothing has closed the sending half yet
	stopWaiting                       // the client's time is over
)

// connectionState is what is known of a connection for deciding when it can be closed. It reads
// neither a clock nor a socket. connection.mu guards it.
type connectionState struct {
	phase        phase
	commands     int       // in flight: begun to be read, and not answered
	isAnswered   bool      // an answer was written
	hasRejected  bool      // a drain rejected commands behind others
	lastUsed     time.Time // when it was accepted, or when its latest answer was written
	halfClosedAt time.Time // set by halfClose
}

// isClosed reports whether no further command is counted.
func (s *connectionState) isClosed() bool { return s.phase != phaseOpen }

// isUnused reports whether nothing was ever asked on the connection.
func (s *connectionState) isUnused() bool { return !s.isAnswered && s.commands == 0 }

// isAtFirstCommand reports whether the only command ever counted is in flight.
func (s *connectionState) isAtFirstCommand() bool { return !s.isAnswered && s.commands == 1 }

// activity returns what the connection is doing. A client that has just connected has sent a
// request or is about to, and would take it for lost if the connection were closed.
func (s *connectionState) activity(now time.Time) activity {
	isPastGrace := now.Sub(s.lastUsed) >= newClientGrace
	switch {
	case s.isUnused() && !s.isClosed() && isPastGrace:
		return activitySilent
	case s.isUnused():
		return activityNew
	case s.commands == 0 && !s.isClosed():
		return activityResting
	default:
		return activityBusy
	}
}

// beginCommand counts a command.
func (s *connectionState) beginCommand() { s.commands++ }

// endCommand counts a command as answered.
func (s *connectionState) endCommand(now time.Time) {
	s.commands--
	s.lastUsed = now
	s.isAnswered = true
}

// halfClose records that the last answer of a drain ends the sending half.
func (s *connectionState) halfClose(now time.Time) {
	s.phase = phaseHalfClosed
	s.halfClosedAt = now
}

// end records that the connection has ended. One whose sending half was closed stays in that phase.
func (s *connectionState) end() {
	if s.phase == phaseOpen {
		s.phase = phaseEnded
	}
}

// nextCloseStep decides what a reader does that waits for its client to close the connection.
// hasUnacknowledged reports whether the client has yet to acknowledge a part of an answer: it has
// more time for that.
func (s *connectionState) nextCloseStep(now time.Time, hasUnacknowledged func() bool) closeStep {
	if s.commands == 0 && !s.isClosed() {
		return closeSendingHalf
	}
	waited := now.Sub(s.halfClosedAt)
	switch {
	case s.phase != phaseHalfClosed, waited < closeTimeout:
		return keepWaiting
	case waited < writeTimeout && hasUnacknowledged():
		return keepWaiting
	default:
		return stopWaiting
	}
}
