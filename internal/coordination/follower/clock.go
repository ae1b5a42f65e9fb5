package follower

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the clock where the kernel has no better one.
var processStart = time.Now()

// SystemUptime is the clock of the leases: the time since the machine's start. Unlike Go's
// monotonic clock it goes on while the machine is suspended, so that a process that wakes finds its
// leases expired.
func SystemUptime() time.Duration {
	var uptime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime); err != nil {
		return time.Since(processStart) // for a kernel without this clock
	}
	return time.Duration(uptime.Nano())
}
