package listener

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// initialAcceptBackoff is the wait after a first failed accept. It grows with each further
	// failure: other goroutines release what is lacking, and need the processor for it.
	initialAcceptBackoff = time.Millisecond
	// acceptBackoffGrowth is the factor by which the wait grows.
	acceptBackoffGrowth = 2
	// maxAcceptBackoff is the longest wait.
	maxAcceptBackoff = 100 * time.Millisecond
	// acceptFailureGap is the time after a failure in which the next one prolongs the wait. Later,
	// connections were accepted in between.
	acceptFailureGap = 2 * maxAcceptBackoff
	// acceptLogInterval is the time between log lines, of which there would be one for each
	// failure.
	acceptLogInterval = 10 * time.Second
)

// acceptBackoff tracks failures to accept. Only the goroutine of Serve uses it.
type acceptBackoff struct {
	delay       time.Duration
	lastFailure time.Time
	lastLogged  time.Time
}

// next records a failure, and returns how long to wait after it and whether it should be logged.
func (b *acceptBackoff) next(now time.Time) (delay time.Duration, shouldLog bool) {
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

// handleAcceptError waits after a failed accept. If file descriptors are exhausted, it evicts an
// idle connection first.
func (l *Listener) handleAcceptError(backoff *acceptBackoff, err error) {
	delay, shouldLog := backoff.next(time.Now())
	if shouldLog {
		l.log.Warn("listener: accept failed", zap.Error(err))
	}
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		l.connections.evict(0)
	}
	time.Sleep(delay)
}
