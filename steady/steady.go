// Package steady tells the time by a clock that nobody sets and that goes on
// while the machine is suspended.
package steady

import "time"

// The start of the process by both clocks.
var (
	begun   = time.Now()
	elapsed = sinceBoot()
)

// Now returns the present time. Two of these times are as far apart as the
// machine's own clock says, suspensions included.
func Now() time.Time { return begun.Round(0).Add(sinceBoot() - elapsed) }
