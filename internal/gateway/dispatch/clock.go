package dispatch

import "time"

// clock counts from the origin that all gateways share. They read the same wall clock once, at their start, and go on
// from there by the monotonic one: so windows agree between them and across restarts, and no step of the wall clock
// counts.
type clock struct {
	startedAt time.Time
	origin    time.Duration // startedAt as the shared clock has it
}

func newClock() clock {
	now := time.Now()
	return clock{startedAt: now, origin: time.Duration(now.UnixNano())}
}

func (c clock) now() time.Duration { return c.origin + time.Since(c.startedAt) }

// timeOf gives a moment of the shared clock as this process's.
func (c clock) timeOf(moment time.Duration) time.Time { return c.startedAt.Add(moment - c.origin) }
