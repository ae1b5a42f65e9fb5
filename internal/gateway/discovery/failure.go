package discovery

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// callKind is the kind of request that a call sends to the agent.
type callKind uint8

// The kinds of calls.
const (
	fullListCall callKind = iota
	watchCall             // a long poll for changes after a version
)

// failureKind classifies failed calls by what follows them.
type failureKind uint8

// The kinds of failures.
const (
	watchTimedOut    failureKind = iota // a watch had no complete answer within its timeout
	fullListTimedOut                    // a call for the full list had no complete answer within its timeout
	callRejected                        // the status was not 200, for example because discovery is overloaded
	versionMismatch                     // the changes do not follow the version in force
	callFailed                          // any other failure, such as a refused connection or a malformed answer
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
		return callFailed
	}
}

// pauseKind is the kind of pause between two calls.
type pauseKind uint8

// The kinds of pauses. session.drawPause defines their lengths.
const (
	noPause pauseKind = iota
	shortPause
	timeoutPause
	rejectedPause
	backoffPause
)

// failurePauses maps each failureKind to the pause that follows it. The pause depends on the
// agent's mode, and on whether the failure is the first since the latest answered watch.
var failurePauses = [...]struct{ notifiedFirst, notifiedLater, polledFirst, polledLater pauseKind }{
	//                notified: first, later; polled: first, later
	watchTimedOut:    {noPause, noPause, noPause, noPause},
	fullListTimedOut: {noPause, noPause, timeoutPause, timeoutPause},
	callRejected:     {backoffPause, backoffPause, rejectedPause, rejectedPause},
	versionMismatch:  {noPause, shortPause, noPause, backoffPause},
	callFailed:       {noPause, shortPause, backoffPause, backoffPause},
}

// pauseAfterFailure returns the kind of pause that follows a failed call. A notified agent is
// called again soon, because it runs on this machine. Pauses are longer if discovery is polled or
// rejects a call, because the calls of a fleet of gateways must not keep discovery overloaded.
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

// isDiscoveryFailure reports whether discovery itself failed: it rejected the call or, if it is
// polled, did not return a list. A watch that timed out, and any other failure of a notified agent,
// is a failure of the agent only.
func isDiscoveryFailure(kind failureKind, current agent) bool {
	polledCallFailed := current.isPolled && kind != watchTimedOut
	return kind == callRejected || polledCallFailed
}

// callAfterFailure returns the kind of the call that follows a failed one. A rejected call is
// repeated unchanged, because discovery is running and knows the version. After any other failure
// the agent may have restarted and lost its versions. It could then answer a watch by reporting no
// change, so the full list is requested.
func callAfterFailure(kind failureKind, failed callKind) callKind {
	if kind == callRejected {
		return failed
	}
	return fullListCall
}

// failureRun records whether calls have failed since the latest answered watch. It distinguishes
// watches that timed out from all other failures. The first of each is logged. The zero value is a
// run without failures.
type failureRun struct {
	hasWatchTimeout bool // a watch has timed out
	hasOtherFailure bool // a call has failed in another way
}

// hasAny reports whether any call of the run has failed.
func (r *failureRun) hasAny() bool { return r.hasWatchTimeout || r.hasOtherFailure }

// record adds a failure to the run and reports whether the caller must log it.
func (r *failureRun) record(kind failureKind) bool {
	logged := &r.hasOtherFailure
	if kind == watchTimedOut {
		logged = &r.hasWatchTimeout
	}
	isFirst := !*logged
	*logged = true
	return isFirst
}

// newBackoff returns the exponential backoff that determines the length of a backoffPause.
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

// drawPause returns a random length for a pause. The lengths of backoff pauses do not depend on the
// watcher's seed.
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
