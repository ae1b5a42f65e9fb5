package listener

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// initialAcceptBackoff is the delay after the first failed accept. The delay grows with each
	// further failure: other goroutines need processor time to release the exhausted resource.
	initialAcceptBackoff = time.Millisecond
	// acceptBackoffGrowth is the factor by which the delay grows.
	acceptBackoffGrowth = 2
	// maxAcceptBackoff is the longest delay.
	maxAcceptBackoff = 100 * time.Millisecond
	// acceptFailureGap is the longest time between two failures that belong to one series. After a
	// longer gap, in which connections were accepted, the delay starts again at
	// initialAcceptBackoff.
	acceptFailureGap = 2 * maxAcceptBackoff
	// acceptLogInterval is the minimum time between log lines about failed accepts.
	acceptLogInterval = 10 * time.Second
)

// acceptBackoff tracks failed accepts. Only the goroutine that runs Serve uses it.
type acceptBackoff struct {
	delay       time.Duration
	lastFailure time.Time
	lastLogged  time.Time
}

// recordFailure records a failed accept. It returns the delay before the next attempt, and whether
// the failure should be logged.
func (b *acceptBackoff) recordFailure(now time.Time) (delay time.Duration, shouldLog bool) {
	b.delay = min(acceptBackoffGrowth*b.delay, maxAcceptBackoff)
	if now.Sub(b.lastFailure) > acceptFailureGap {
		b.delay = initialAcceptBackoff
	}
	b.lastFailure = now
	shouldLog = now.Sub(b.lastLogged) >= acceptLogInterval
	if shouldLog {
		b.lastLogged = now
	}
	return b.delay, shouldLog
}

// handleAcceptError sleeps after a failed accept. If the process or the system has run out of file
// descriptors, it first evicts an idle connection.
func (l *Listener) handleAcceptError(backoff *acceptBackoff, err error) {
	delay, shouldLog := backoff.recordFailure(time.Now())
	if shouldLog {
		l.log.Warn("listener: accept failed", zap.Error(err))
	}
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		l.connections.evictForSlot()
	}
	time.Sleep(delay)
}
