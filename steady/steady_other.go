//go:build !linux

package steady

import "time"

// sinceBoot returns the time since the process started. On these systems suspensions
// are not counted.
func sinceBoot() time.Duration { return time.Since(processStart) }
