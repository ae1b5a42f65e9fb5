package discovery

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"harrierhoist/policy"
)

// session follows the list of one agent.
type session struct {
	watcher            *Watcher
	agent              agent
	timing             fullListTiming
	connection         *connection // of the latest call
	version            int64       // of the latest list
	backoff            *backoff.ExponentialBackOff
	failures           failureRun // ends with a watch that is answered
	isResuming         bool       // the next watch is the first, from the version of an earlier run
	awaitsConfirmation bool       // the latest list was an empty full one, which is not applied
}

// followUp is the call that follows another.
type scheduledCall struct {
	call  callKind
	pause time.Duration // before it
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

// firstCall decides how the session begins: with a watch from the list of an earlier run, where the
// agent has its version and discovery is polled. A notified agent gives its full list at once.
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

func (s *session) listURL() string { return "http://" + s.agent.addr + "/api/targets" }

// call requests the full list, or watches for changes, handles the answer, and decides what
// follows.
func (s *session) makeCall(ctx context.Context, kind callKind) scheduledCall {
	fetch := s.fetchDelta
	if kind == fullListCall {
		fetch = s.fetchFull
	}
	startedAt := time.Now()
	received, err := fetch(ctx)
	switch {
	case ctx.Err() != nil:
		return scheduledCall{call: kind} // the agent is not followed any more
	case err != nil:
		return s.handleFailure(err, kind)
	case s.needsConfirmation(received):
		return s.requestConfirmation()
	default:
		return s.handleList(ctx, received, kind, time.Since(startedAt))
	}
}

// fetchDelta watches for what changes after the version of the list in force. Changes that do not
// follow it come from an agent that has restarted: only its full list tells what is in force.
func (s *session) fetchDelta(ctx context.Context) (*endpointList, error) {
	wait := s.drawWatchWait()
	timeout := wait + watchGrace
	if s.isResuming {
		wait = resumedWatchWait
		timeout = polledListTimeout // it may wait for its turn as a call for the full list does
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

// drawWatch draws how long a watch waits for a change: one change answers the watches of a whole
// fleet, which would all end at one moment from then on. The first draw is made in both modes, so
// that the times drawn from a seed stay as recorded.
func (s *session) drawWatchWait() time.Duration {
	notifiedWait := s.watcher.randomBetween(minWatchWait, maxWatchWait)
	if !s.agent.isPolled {
		return notifiedWait
	}
	return s.watcher.randomBetween(minPolledWatchWait, maxPolledWatchWait)
}

// handleFailure logs a call that failed, tells the gateway where discovery itself failed, and
// decides what follows.
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

// needsConfirmation decides whether a list is doubted: a full one without any server, where there
// were some, more likely comes from an agent that lost its list. The second in a row is believed.
func (s *session) needsConfirmation(received *endpointList) bool {
	return s.watcher.wouldRemoveAllServers(received) && !s.awaitsConfirmation
}

// requestConfirmation has an empty list confirmed by another call for the full list. The first draw
// is made in both modes, as in drawWatch.
func (s *session) requestConfirmation() scheduledCall {
	s.watcher.log.Warn("discovery: empty endpoint list, confirmation requested")
	s.awaitsConfirmation = true
	pause := s.drawPause(timeoutPause)
	if !s.agent.isPolled {
		pause = s.drawPause(shortPause)
	}
	return scheduledCall{call: fullListCall, pause: pause}
}

// handleList applies a list, and gives the watch that follows; took is the time from the call to
// the answer.
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
	if didNotWait && !wasResumed { // a resumed watch is short by itself
		// Without a pause the agent would be called in a tight loop.
		return scheduledCall{call: watchCall, pause: s.drawPause(shortPause)}
	}
	return scheduledCall{call: watchCall}
}

// endFailures ends a run of failures. Only the answer to a watch does, so that an agent which
// answers some calls only keeps its growing pauses.
func (s *session) resetFailures() {
	if s.failures.hasOtherFailure {
		s.watcher.log.Info("discovery: calls succeed again")
	}
	s.failures = failureRun{}
	s.backoff.Reset()
}
