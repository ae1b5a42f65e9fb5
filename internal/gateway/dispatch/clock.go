package dispatch

import "time"

// clock counts from the origin that all gateways share. It reads the wall clock once, at the start,
// and goes on by the monotonic one: windows agree between gateways and across restarts, and a step
// of the wall clock changes nothing.
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
