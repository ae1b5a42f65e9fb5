package listener

import "time"

// phase is the stage of a connection's shutdown. It never moves back.
type phase uint8

const (
	phaseOpen       phase = iota // further commands are counted
	phaseHalfClosed              // the sending half was closed after the last answer of a drain
	phaseEnded                   // the connection was reset, or its reader has returned
)

// activity classifies a connection for the decision whether it may be closed.
type activity uint8

const (
	activityBusy         activity = iota // commands are in flight, or the connection is closed after an answer
	activityNew                          // no command has arrived, and the connection is recent or closed
	activitySilent                       // idle, and no command has arrived: closing it costs the client no request
	activityIdleAnswered                 // idle since its last answer
)

// isIdle reports whether a connection with this activity may be closed.
func (a activity) isIdle() bool { return a == activitySilent || a == activityIdleAnswered }

// closeStep is the next step of a reader that waits for its client to close the connection.
type closeStep uint8

const (
	keepWaiting      closeStep = iota // the last answer is not written yet, or the client has time left
	closeSendingHalf                  // all commands are answered, and the sending half is still open
	stopWaiting                       // the client's time has passed
)

// connectionState is the state that decides when a connection may be closed. Its methods read
// neither the clock nor the socket. connection.mu protects it.
type connectionState struct {
	phase        phase
	inFlight     int       // commands whose first byte has arrived and that are not answered
	requests     int       // commands that were admitted and are not completed
	requestEnded time.Time // time at which the latest request was completed; zero before the first
	hasAnswered  bool      // an answer was written
	hasRejected  bool      // a drain has rejected a command
	lastUsed     time.Time // time of the accept or of the last answer
	halfClosedAt time.Time // set by markHalfClosed
	isReading    bool      // the reader waits for the rest of a command
	connectedAt  time.Time // latest time at which the client is known to have been connected
}

// isClosed reports whether no further command is counted.
func (s *connectionState) isClosed() bool { return s.phase != phaseOpen }

// isUnused reports whether no command has arrived on the connection.
func (s *connectionState) isUnused() bool { return !s.hasAnswered && s.inFlight == 0 }

// holdsNoRequest reports whether commands have arrived, and none of them is a request in flight. The answer of a
// request that was just completed may not be written yet.
func (s *connectionState) holdsNoRequest(now time.Time) bool {
	isAnswering := now.Sub(s.requestEnded) < newClientGrace
	return s.inFlight > 0 && s.requests == 0 && !s.isClosed() && !isAnswering
}

// isFirstCommandInFlight reports whether the first command is in flight, and no other.
func (s *connectionState) isFirstCommandInFlight() bool { return !s.hasAnswered && s.inFlight == 1 }

// activity returns the activity of the connection. A new connection is not idle: its client has
// sent a request or is about to, and would lose it if the connection were closed.
func (s *connectionState) activity(now time.Time) activity {
	isPastGrace := now.Sub(s.lastUsed) >= newClientGrace
	switch {
	case s.isUnused() && !s.isClosed() && isPastGrace:
		return activitySilent
	case s.isUnused():
		return activityNew
	case s.inFlight == 0 && !s.isClosed():
		return activityIdleAnswered
	default:
		return activityBusy
	}
}

// beginCommand counts a command.
func (s *connectionState) beginCommand() { s.inFlight++ }

// endCommands marks commands as answered.
func (s *connectionState) endCommands(count int, now time.Time) {
	s.inFlight -= count
	s.lastUsed = now
	s.hasAnswered = true
}

// endRequest marks a request as completed.
func (s *connectionState) endRequest(now time.Time) {
	s.requests--
	s.requestEnded = now
}

// lastBlocked returns the latest time at which a request was in flight: now if one is, and zero if
// none ever was.
func (s *connectionState) lastBlocked(now time.Time) time.Time {
	if s.requests > 0 {
		return now
	}
	return s.requestEnded
}

// recordConnected records that the client was connected at a time.
func (s *connectionState) recordConnected(at time.Time) {
	if at.After(s.connectedAt) {
		s.connectedAt = at
	}
}

// markHalfClosed records that the sending half is closed after the last answer of a drain.
func (s *connectionState) markHalfClosed(now time.Time) {
	s.phase = phaseHalfClosed
	s.halfClosedAt = now
}

// markEnded records that the connection has ended. A half-closed connection stays in that phase.
func (s *connectionState) markEnded() {
	if s.phase == phaseOpen {
		s.phase = phaseEnded
	}
}

// nextCloseStep returns the next step of a reader that waits for its client to close the
// connection. hasUnacknowledged reports whether the client has yet to acknowledge a part of an
// answer; such a client gets up to writeTimeout.
func (s *connectionState) nextCloseStep(now time.Time, hasUnacknowledged func() bool) closeStep {
	if s.inFlight == 0 && !s.isClosed() {
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
