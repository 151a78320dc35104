package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// A kernel without this clock: suspensions are not counted.
		return time.Since(begun)
	}
	return time.Duration(t.Nano())
}
