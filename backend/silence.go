package backend

import "time"

// SilenceConfig bounds how long a connection with an open request may receive
// no byte.
type SilenceConfig struct {
	// Floor is the minimum of the bound.
	Floor time.Duration
	// Factor is multiplied by the longest recent run time of the server. The
	// product is the bound if it is more than Floor.
	Factor int
	// Checks is the number of unanswered health checks after which the server
	// is considered lost.
	Checks int
	// CheckPause is the pause after an unanswered health check.
	CheckPause time.Duration
}

// action is what to do with a connection.
type action int

const (
	// actionWait means to do nothing before the given time.
	actionWait action = iota
	// actionProbe means to send a health check on a new connection.
	actionProbe
	// actionCloseSilent means to close the connection, because the server
	// answers on a new one.
	actionCloseSilent
	// actionServerLost means that the server does not answer on new connections
	// either.
	actionServerLost
)

// silenceDetector decides whether a connection with an open request has gone
// silent. A request may run for long without a byte, so silence alone proves
// nothing: beyond the bound, the server is probed on a new connection. The
// detector does no input or output and reads no clock.
type silenceDetector struct {
	config       SilenceConfig
	bound        time.Duration
	lastActivity time.Time
	failedChecks int
}

// newSilenceDetector returns the detector for a request that was sent at now to a
// server whose longest recent run time is longest.
func newSilenceDetector(now time.Time, c SilenceConfig, longest time.Duration) *silenceDetector {
	return &silenceDetector{config: c, bound: max(c.Floor, time.Duration(c.Factor)*longest), lastActivity: now}
}

// next takes the time of the last received byte. It returns the next action and
// the time at which to call it again.
func (s *silenceDetector) next(now, lastRead time.Time) (action, time.Time) {
	s.resetOnActivity(lastRead)
	due := s.lastActivity.Add(s.bound + time.Duration(s.failedChecks)*s.config.CheckPause)
	if now.Before(due) {
		return actionWait, due
	}
	return actionProbe, now
}

// afterCheck takes the result of a health check. It returns the next action and
// the time at which to call next.
func (s *silenceDetector) afterCheck(now, lastRead time.Time, answered bool) (action, time.Time) {
	if s.resetOnActivity(lastRead) {
		return actionWait, s.lastActivity.Add(s.bound)
	}
	if answered {
		return actionCloseSilent, now
	}
	s.failedChecks++
	if s.failedChecks >= s.config.Checks {
		return actionServerLost, now
	}
	return actionWait, now.Add(s.config.CheckPause)
}

// resetOnActivity restarts the bound if a byte was received since the last
// activity, and returns whether it did.
func (s *silenceDetector) resetOnActivity(lastRead time.Time) bool {
	if !lastRead.After(s.lastActivity) {
		return false
	}
	s.lastActivity, s.failedChecks = lastRead, 0
	return true
}

// decayShare is the share of the difference between the longest and a shorter run
// time by which the longest one decreases after the shorter one.
const decayShare = 0.005

// updateLongest returns the longest recent run time after a request that ran for
// took.
func updateLongest(longest, took time.Duration) time.Duration {
	return max(took, longest-time.Duration(decayShare*float64(longest-took)))
}
