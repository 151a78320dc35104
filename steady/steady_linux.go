package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine booted, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel lacks this clock, so suspensions are not counted.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
