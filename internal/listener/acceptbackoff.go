package listener

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// After an accept that failed the next waits from shortFirst, twice as long each time, to shortMost: what is
	// lacking is given back by others, and asking on and on takes the time that they need for it. Harm: a client
	// that connects just then waits so much longer.
	acceptBackoffMin  = time.Millisecond
	acceptBackoffMax  = 100 * time.Millisecond
	acceptLogInterval = 10 * time.Second // between lines in the log, which had one for every try
)

// acceptBackoff is how accepting fails at present; of Serve alone.
type acceptBackoff struct {
	delay       time.Duration
	lastFailure time.Time // when accepting failed
	lastLogged  time.Time // when the log said so
}

// wait waits after an accept that failed, and where descriptors lack has one idle client give its own back.
func (s *acceptBackoff) wait(f *Listener, err error) {
	now := time.Now()
	if s.delay = min(2*s.delay, acceptBackoffMax); now.Sub(s.lastFailure) > 2*acceptBackoffMax { // clients were accepted since
		s.delay = acceptBackoffMin
	}
	if s.lastFailure = now; now.Sub(s.lastLogged) >= acceptLogInterval {
		s.lastLogged = now
		f.log.Warn("a client could not be accepted", zap.Error(err))
	}
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		f.evict(0)
	}
	time.Sleep(s.delay)
}
