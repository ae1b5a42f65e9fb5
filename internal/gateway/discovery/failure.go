package discovery

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// callKind is what a call requests.
type callKind uint8

// The kinds of calls.
const (
	fullListCall callKind = iota
	watchCall             // a long poll for changes after a version
)

// failureKind is how a call failed, as far as the pause before the next call depends on it.
type failureKind uint8

// The kinds of failures.
const (
	watchTimedOut    failureKind = iota // the agent fell silent in a watch
	fullListTimedOut                    // no whole answer to a call that does not wait for a change
	callRejected                        // a status other than 200, as of an overbooked discovery
	versionMismatch                     // changes that do not follow the list in force
	otherFailure                        // refused, reset, cut off, too long or malformed
)

// failureKindOf classifies the error of a call.
func failureKindOf(err error, call callKind) failureKind {
	switch {
	case errors.Is(err, errTimeout) && call == watchCall:
		return watchTimedOut
	case errors.Is(err, errTimeout):
		return fullListTimedOut
	case errors.Is(err, errRejected):
		return callRejected
	case errors.Is(err, errVersionMismatch):
		return versionMismatch
	default:
		return otherFailure
	}
}

// pauseKind is a pause between two calls.
type pauseKind uint8

// The kinds of pauses; session.drawPause has their lengths.
const (
	noPause pauseKind = iota
	shortPause
	timeoutPause
	rejectedPause
	backoffPause
)

// failurePauses has a row for each failureKind: the pause after it by the agent's mode, for the
// first failure of a run and for later ones.
var failurePauses = [...]struct{ notifiedFirst, notifiedLater, polledFirst, polledLater pauseKind }{
	//                notified: first, later; polled: first, later
	watchTimedOut:    {noPause, noPause, noPause, noPause},
	fullListTimedOut: {noPause, noPause, timeoutPause, timeoutPause},
	callRejected:     {backoffPause, backoffPause, rejectedPause, rejectedPause},
	versionMismatch:  {noPause, shortPause, noPause, backoffPause},
	otherFailure:     {noPause, shortPause, backoffPause, backoffPause},
}

// pauseAfterFailure decides which pause follows a failed call. A notified agent is on this machine
// and is called soon; where discovery is polled, the calls of a fleet must not keep it overbooked.
func pauseAfterFailure(kind failureKind, current agent, isFirst bool) pauseKind {
	row := failurePauses[kind]
	switch {
	case current.isPolled && isFirst:
		return row.polledFirst
	case current.isPolled:
		return row.polledLater
	case isFirst:
		return row.notifiedFirst
	default:
		return row.notifiedLater
	}
}

// isDiscoveryFailure decides whether the gateway is told that the list failed: discovery itself
// rejected the call or, where it is polled, gave no list. Other failures of a notified agent, and a
// silent watch, are the agent's.
func isDiscoveryFailure(kind failureKind, current agent) bool {
	polledCallFailed := current.isPolled && kind != watchTimedOut
	return kind == callRejected || polledCallFailed
}

// callAfterFailure decides what the call after a failed one requests. A rejected call is repeated
// as it was: discovery is there and knows the version. After any other failure the agent may have
// restarted without its versions and would answer a watch that nothing changed, so the full list is
// requested.
func callAfterFailure(kind failureKind, failed callKind) callKind {
	if kind == callRejected {
		return failed
	}
	return fullListCall
}

// failureRun is what has failed since a watch was last answered. The zero value is no failure.
type failureRun struct {
	hasWatchTimeout bool // a watch timed out, and its line was logged
	hasOtherFailure bool // a call failed in another way, and its line was logged
}

// hasBegun reports whether any call has failed.
func (r *failureRun) hasAny() bool { return r.hasWatchTimeout || r.hasOtherFailure }

// add notes a failure, and reports whether its line is still to be logged.
func (r *failureRun) record(kind failureKind) bool {
	logged := &r.hasOtherFailure
	if kind == watchTimedOut {
		logged = &r.hasWatchTimeout
	}
	isFirst := !*logged
	*logged = true
	return isFirst
}

// newBackoff gives the growing pauses.
func newBackoff() *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{
		InitialInterval:     initialBackoff,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffMultiplier,
		MaxInterval:         maxBackoff,
	}
	b.Reset()
	return b
}

// drawPause draws the length of a pause. Growing pauses are drawn apart from the watcher's seed.
func (s *session) drawPause(kind pauseKind) time.Duration {
	switch kind {
	case shortPause:
		return s.watcher.randomBetween(minShortPause, maxShortPause)
	case timeoutPause:
		return s.watcher.randomBetween(minTimeoutPause, maxTimeoutPause)
	case rejectedPause:
		return s.watcher.randomBetween(minRejectedPause, maxRejectedPause)
	case backoffPause:
		return s.backoff.NextBackOff()
	case noPause:
	}
	return 0
}
