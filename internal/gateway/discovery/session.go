package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"harrierhoist/policy"
)

// session follows the list of one agent. A run of failures ends with a watch that is answered.
type session struct {
	watcher            *Watcher
	agent              agent
	timing             timing
	connection         *connection // of the latest call
	version            int64       // of the latest list
	retry              *backoff.ExponentialBackOff
	isResuming         bool // the next watch is the first, from the version of an earlier run
	isFailing          bool // a call has failed since a watch was last answered
	warnedSilent       bool // a watch timed out since one was last answered, and a line was logged
	warnedFailing      bool // a line was logged that calls fail
	awaitsConfirmation bool // the latest list was full and empty, and is applied once another confirms it
}

func newSession(w *Watcher, current agent) *session {
	return &session{
		watcher: w, agent: current, timing: timingOf(current.isPolled), connection: newConnection(w.dial), retry: newBackoff(),
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{
		InitialInterval: firstBackoff, RandomizationFactor: backoffSpread, Multiplier: backoffGrowth, MaxInterval: maxBackoff,
	}
	b.Reset()
	return b
}

// resume has the session go on from the list of an earlier run, and returns false where it cannot: a notified agent answers
// at once and at no cost, and another agent does not have the version.
func (s *session) resume() bool {
	version := s.watcher.knownVersion
	s.watcher.knownVersion = noVersion
	if version == noVersion || !s.agent.isPolled || s.agent != s.watcher.knownAgent {
		return false
	}
	s.version, s.isResuming = version, true
	return true
}

func (s *session) url() string { return "http://" + s.agent.addr + "/api/targets" }

// call requests the full list, or watches for changes, and handles the answer. It returns whether the next call has to be
// for the full list, and the pause before it.
func (s *session) call(ctx context.Context, full bool) (nextFull bool, pause time.Duration) {
	fetch, begun := s.fetchDelta, time.Now()
	if full {
		fetch = s.fetchFull
	}
	received, err := fetch(ctx)
	switch {
	case ctx.Err() != nil:
		return full, 0 // of an agent that is not ours any more
	case err != nil:
		isRejected := errors.Is(err, errRejected) // by a discovery that is there, and knows our version
		return full || !isRejected, s.handleFailure(err, !full)
	case s.watcher.wouldEmpty(received) && !s.awaitsConfirmation:
		return true, s.requestConfirmation()
	default:
		return false, s.handleList(ctx, received, !full, time.Since(begun))
	}
}

// fetchDelta watches for what changes after our version. Changes that do not follow it are none of ours: an agent that
// restarted counts from the start, and what changed before its first version is in its full list alone.
func (s *session) fetchDelta(ctx context.Context) (*endpointList, error) {
	wait := s.watcher.randomBetween(minWatch, maxWatch)
	if s.agent.isPolled { // a second draw, as ever: what a seed draws stays
		wait = s.watcher.randomBetween(minPolledWatch, maxPolledWatch)
	}
	timeout := wait + watchGrace
	if s.isResuming {
		wait, timeout = resumeWatch, polledListTimeout
	}
	url := fmt.Sprintf("%s?since=%d&timeout_ms=%d", s.url(), s.version, wait.Milliseconds())
	body, err := s.connection.get(ctx, url, timeout)
	if err != nil {
		return nil, err
	}
	received, err := s.watcher.decoder.decodeAnswer(body)
	if err != nil {
		return nil, err
	}
	if !received.isFull && (received.version < s.version || received.version == s.version && len(received.servers) > 0) {
		return nil, fmt.Errorf("%w: %d after %d", errVersionMismatch, received.version, s.version)
	}
	return received, nil
}

// handleFailure logs a call that failed, and returns the pause before the next.
func (s *session) handleFailure(err error, wasWatch bool) time.Duration {
	isFirst := !s.isFailing
	s.isFailing = true
	isSilent, isRejected := errors.Is(err, errTimeout), errors.Is(err, errRejected)
	if isSilent && wasWatch {
		if !s.warnedSilent {
			s.watcher.log.Warn("discovery: watch timed out, full list requested")
		}
		s.warnedSilent = true
		return 0
	}
	if !s.warnedFailing {
		s.watcher.log.Warn("discovery: no valid answer, the last endpoint list stays", zap.Error(err))
	}
	s.warnedFailing = true
	if s.agent.isPolled && isRejected {
		s.watcher.dispatcher.HandleEndpoints(policy.ListFailed, nil)
		return s.watcher.randomBetween(minRejectedPause, maxRejectedPause)
	}
	if !s.agent.isPolled && !isRejected {
		if isFirst || isSilent {
			return 0
		}
		return s.watcher.randomBetween(minPause, maxPause)
	}
	s.watcher.dispatcher.HandleEndpoints(policy.ListFailed, nil)
	switch {
	case isFirst && errors.Is(err, errVersionMismatch):
		return 0 // found at the end of a watch, and those of a fleet are spread already
	case isSilent:
		return s.watcher.randomBetween(minSilencePause, maxSilencePause)
	default:
		return s.retry.NextBackOff()
	}
}

// requestConfirmation doubts a full list without any server where there were some, and returns the pause before the next
// call: an agent that lost its list is the likelier cause, and applied at once it would have every request rejected. A
// second one, on a new connection, is applied.
func (s *session) requestConfirmation() time.Duration {
	s.watcher.log.Warn("discovery: empty endpoint list, confirmation requested")
	s.awaitsConfirmation = true
	pause := s.watcher.randomBetween(minSilencePause, maxSilencePause)
	if !s.agent.isPolled { // a second draw, as ever: what a seed draws stays
		pause = s.watcher.randomBetween(minPause, maxPause)
	}
	return pause
}

// handleList applies a list, and returns the pause before the next call: an agent that does not wait for a change, as a
// watch asks it to, is not called again without one.
func (s *session) handleList(ctx context.Context, received *endpointList, wasWatch bool, took time.Duration) time.Duration {
	if s.watcher.wouldEmpty(received) {
		s.watcher.log.Warn("discovery: empty endpoint list confirmed, no server left")
	}
	s.watcher.apply(ctx, received)
	s.version, s.awaitsConfirmation = received.version, false
	if !wasWatch {
		s.isResuming = false
		return 0
	}
	if s.warnedFailing {
		s.watcher.log.Info("discovery: calls succeed again")
	}
	s.isFailing, s.warnedSilent, s.warnedFailing = false, false, false
	s.retry.Reset()
	isResumed := s.isResuming
	s.isResuming = false
	if len(received.servers) == 0 && took < minWatch/2 && !isResumed {
		return s.watcher.randomBetween(minPause, maxPause)
	}
	return 0
}
