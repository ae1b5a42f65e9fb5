package dispatch

import "time"

// clock is the clock that all gateways share: the time since the Unix epoch. It reads the wall
// clock once, at startup, and follows the monotonic clock from then on. Windows therefore agree
// between gateways and across restarts, and a step of the wall clock has no effect on a running
// gateway.
type clock struct {
	startedAt       time.Time
	startSinceEpoch time.Duration // startedAt on the shared clock
}

func newClock() clock {
	now := time.Now()
	return clock{startedAt: now, startSinceEpoch: time.Duration(now.UnixNano())}
}

func (c clock) now() time.Duration { return c.startSinceEpoch + time.Since(c.startedAt) }

// toTime converts a time of the shared clock to a time of this process's clock.
func (c clock) toTime(sinceEpoch time.Duration) time.Time {
	return c.startedAt.Add(sinceEpoch - c.startSinceEpoch)
}
