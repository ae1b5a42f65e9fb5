package listener

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// After a failed accept the listener waits for initialAcceptBackoff, and twice as long after each further failure, up to
// maxAcceptBackoff: other goroutines release what is lacking, and retrying at once would take the processor time that they
// need for it. Cost: a client that connects in that moment waits as much longer.
const (
	initialAcceptBackoff = time.Millisecond
	maxAcceptBackoff     = 100 * time.Millisecond
	acceptLogInterval    = 10 * time.Second // between log lines, of which there would be one for each failure
)

// acceptBackoff tracks failures to accept. Only the goroutine of Serve uses it.
type acceptBackoff struct {
	delay       time.Duration
	lastFailure time.Time
	lastLogged  time.Time
}

// next records a failure, and returns how long to wait after it and whether it should be logged.
func (b *acceptBackoff) next(now time.Time) (delay time.Duration, shouldLog bool) {
	b.delay = min(2*b.delay, maxAcceptBackoff)
	if now.Sub(b.lastFailure) > 2*maxAcceptBackoff { // connections were accepted since
		b.delay = initialAcceptBackoff
	}
	b.lastFailure = now
	if shouldLog = now.Sub(b.lastLogged) >= acceptLogInterval; shouldLog {
		b.lastLogged = now
	}
	return b.delay, shouldLog
}

// handleAcceptError waits after a failed accept. If file descriptors are exhausted, it evicts an idle connection first.
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
