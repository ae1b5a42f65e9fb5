package discovery

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"harrierhoist/policy"
)

// session follows the list of one agent. Only the goroutine of Watcher.Run changes it.
type session struct {
	watcher            *Watcher
	agent              agent
	timing             fullListTiming
	connection         *connection // connection of the latest call
	version            int64       // version of the list in force
	backoff            *backoff.ExponentialBackOff
	failures           failureRun // failures since the latest answered watch
	isResuming         bool       // set by a resumed watch, cleared when a list is applied
	awaitsConfirmation bool       // the latest list was full and empty, and has not been applied
}

// scheduledCall is the next call to make and the pause before it.
type scheduledCall struct {
	call  callKind
	pause time.Duration
}

func newSession(w *Watcher, current agent) *session {
	return &session{
		watcher:    w,
		agent:      current,
		timing:     fullListTimingFor(current.isPolled),
		connection: newConnection(w.dial),
		backoff:    newBackoff(),
	}
}

// firstCall returns the kind of the session's first call. If discovery is polled and the agent
// served the known list, the first call is a watch from the version of that list, which is called a
// resumed watch. In all other cases the full list is requested; a notified agent returns it
// immediately. Only the first session of a watcher may begin with a resumed watch.
func (s *session) firstCall() callKind {
	version := s.watcher.knownVersion
	s.watcher.knownVersion = noVersion
	if version == noVersion || !s.agent.isPolled || s.agent != s.watcher.knownAgent {
		return fullListCall
	}
	s.version = version
	s.isResuming = true
	return watchCall
}

// listURL returns the URL of the full list.
func (s *session) listURL() string { return "http://" + s.agent.addr + "/api/targets" }

// makeCall requests the full list or watches for changes. It handles the answer or the failure, and
// returns the next call.
func (s *session) makeCall(ctx context.Context, call callKind) scheduledCall {
	fetch := s.fetchDelta
	if call == fullListCall {
		fetch = s.fetchFull
	}
	startedAt := time.Now()
	received, err := fetch(ctx)
	switch {
	case ctx.Err() != nil:
		return scheduledCall{call: call} // the session has ended, so runSession makes no further call
	case err != nil:
		return s.handleFailure(err, call)
	case s.needsConfirmation(received):
		return s.requestConfirmation()
	default:
		return s.handleList(ctx, received, call, time.Since(startedAt))
	}
}

// fetchDelta waits for the changes after the version of the list in force. It returns an error that
// wraps errVersionMismatch if the changes do not follow that version. In that case the agent has
// restarted, and its full list must be requested.
func (s *session) fetchDelta(ctx context.Context) (*endpointList, error) {
	wait := s.drawWatchWait()
	timeout := wait + watchGrace
	if s.isResuming {
		wait = resumedWatchWait
		timeout = polledListTimeout // the watch may have to wait for its turn
	}
	url := fmt.Sprintf("%s?since=%d&timeout_ms=%d", s.listURL(), s.version, wait.Milliseconds())
	body, err := s.connection.get(ctx, url, timeout)
	if err != nil {
		return nil, err
	}
	received, err := s.watcher.decoder.decodeAnswer(body)
	if err != nil {
		return nil, err
	}
	if !received.canFollow(s.version) {
		return nil, fmt.Errorf("%w: %d after %d", errVersionMismatch, received.version, s.version)
	}
	return received, nil
}

// drawWatchWait returns a random time that a watch waits for a change. A change ends the watches of
// the whole fleet together. With a fixed wait, all later watches would end together as well.
//
// A wait for the notified mode is drawn in both modes. It must stay, because the calls recorded in
// testdata depend on the number of random numbers drawn before.
func (s *session) drawWatchWait() time.Duration {
	notifiedWait := s.watcher.randomBetween(minWatchWait, maxWatchWait)
	if !s.agent.isPolled {
		return notifiedWait
	}
	return s.watcher.randomBetween(minPolledWatchWait, maxPolledWatchWait)
}

// handleFailure logs the failure of a call unless a similar one of the same run has been logged. It
// reports a failure of discovery to the dispatcher, and returns the next call.
func (s *session) handleFailure(err error, call callKind) scheduledCall {
	kind := failureKindOf(err, call)
	pause := pauseAfterFailure(kind, s.agent, !s.failures.hasAny())
	shouldLog := s.failures.record(kind)
	switch {
	case shouldLog && kind == watchTimedOut:
		s.watcher.log.Warn("discovery: watch timed out, full list requested")
	case shouldLog:
		s.watcher.log.Warn("discovery: no valid answer, the last endpoint list stays", zap.Error(err))
	}
	if isDiscoveryFailure(kind, s.agent) {
		s.watcher.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	}
	return scheduledCall{call: callAfterFailure(kind, call), pause: s.drawPause(pause)}
}

// needsConfirmation reports whether another call must confirm the list before it is applied. This
// is the case for a full list that would remove all servers, because it more likely comes from an
// agent that lost its list. A second such list confirms the first.
func (s *session) needsConfirmation(received *endpointList) bool {
	return s.watcher.wouldRemoveAllServers(received) && !s.awaitsConfirmation
}

// requestConfirmation returns a call for the full list, which must confirm an empty list. As in
// drawWatchWait, a random number for one mode is drawn in both.
func (s *session) requestConfirmation() scheduledCall {
	s.watcher.log.Warn("discovery: empty endpoint list, confirmation requested")
	s.awaitsConfirmation = true
	pause := s.drawPause(timeoutPause)
	if !s.agent.isPolled {
		pause = s.drawPause(shortPause)
	}
	return scheduledCall{call: fullListCall, pause: pause}
}

// handleList applies a list and returns the next call, which is a watch. The parameter elapsed is
// the time from the call to the answer.
func (s *session) handleList(
	ctx context.Context, received *endpointList, call callKind, elapsed time.Duration,
) scheduledCall {
	if s.watcher.wouldRemoveAllServers(received) {
		s.watcher.log.Warn("discovery: empty endpoint list confirmed, no server left")
	}
	s.watcher.apply(ctx, received)
	s.version = received.version
	s.awaitsConfirmation = false
	wasResumed := s.isResuming
	s.isResuming = false
	if call != watchCall {
		return scheduledCall{call: watchCall}
	}
	s.resetFailures()
	didNotWait := len(received.servers) == 0 && elapsed < promptAnswerLimit
	if didNotWait && !wasResumed { // the wait of a resumed watch is shorter than promptAnswerLimit
		// Without a pause the agent would be called in a tight loop.
		return scheduledCall{call: watchCall, pause: s.drawPause(shortPause)}
	}
	return scheduledCall{call: watchCall}
}

// resetFailures ends a run of failures and resets the backoff. It is called only when a watch is
// answered, so that the backoff persists if the agent answers other calls but no watch.
func (s *session) resetFailures() {
	if s.failures.hasOtherFailure {
		s.watcher.log.Info("discovery: calls succeed again")
	}
	s.failures = failureRun{}
	s.backoff.Reset()
}
