// Package steady provides a monotonic clock that cannot be set and that also runs
// while the machine is suspended.
package steady

import "time"

// The start of the process by the wall clock and by the time since boot.
var (
	processStart   = time.Now()
	startSinceBoot = sinceBoot()
)

// Now returns the current time. The difference of two of its results is the elapsed
// time by the machine's monotonic clock, suspensions included.
func Now() time.Time { return processStart.Round(0).Add(sinceBoot() - startSinceBoot) }
