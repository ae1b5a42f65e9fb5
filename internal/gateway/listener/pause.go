package listener

import (
	"sync"
	"time"
)

const (
	// pauseTolerance is how late a tick may be without counting as the end of a pause.
	pauseTolerance = 50 * time.Millisecond
	// noticeDelay is how long after the end of a pause the process notices a signal that was sent
	// during the pause.
	noticeDelay = 100 * time.Millisecond
)

// pauseDetector detects pauses of the process: times in which it was stopped or got no processor. It
// is told of ticks at fixed intervals, and a late tick shows a pause. It is safe for concurrent use.
type pauseDetector struct {
	interval time.Duration // between two ticks

	mu         sync.Mutex
	lastTick   time.Time // zero before the first tick
	pauseBegan time.Time // earliest begin of the latest pause
	pauseEnded time.Time // zero before the first pause
}

func newPauseDetector(interval time.Duration) *pauseDetector {
	return &pauseDetector{interval: interval}
}

// tick records that the process is running.
func (p *pauseDetector) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOverdue(now) {
		p.pauseBegan = p.lastTick
		p.pauseEnded = now
	}
	p.lastTick = now
}

// isOverdue reports whether the next tick is so late that the process was paused. The caller must
// hold mu.
func (p *pauseDetector) isOverdue(now time.Time) bool {
	return !p.lastTick.IsZero() && now.Sub(p.lastTick) > p.interval+pauseTolerance
}

// earliestSignal returns the earliest time at which a signal that the process notices now can have
// been sent. That is now, or the begin of a pause that has just ended.
func (p *pauseDetector) earliestSignal(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isOverdue(now):
		return p.lastTick
	case !p.pauseEnded.IsZero() && now.Sub(p.pauseEnded) < noticeDelay:
		return p.pauseBegan
	default:
		return now
	}
}
