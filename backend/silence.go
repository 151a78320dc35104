package backend

import "time"

// SilenceConfig bounds how long a connection with an open request may show no
// life, which is any received byte.
type SilenceConfig struct {
	// Floor is the least bound.
	Floor time.Duration
	// Factor times the longest run time seen at the server is the bound if it
	// is more than Floor.
	Factor int
	// Checks is the number of unanswered checks after which the server counts
	// as lost.
	Checks int
	// CheckPause is the pause after an unanswered check.
	CheckPause time.Duration
}

// verdict says what to do with a connection.
type verdict int

const (
	// wait means that nothing is to be done before the given time.
	wait verdict = iota
	// check means that the server is to be asked on a new connection.
	check
	// silent means that the server answers on a new connection, so this one
	// is to be closed.
	silent
	// lost means that the server does not answer on a new connection either.
	lost
)

// silence decides whether a connection with an open request has gone silent.
// A request may run for long without a byte, so silence alone proves nothing:
// beyond the bound the server is asked on a new connection. It is pure.
type silence struct {
	config     SilenceConfig
	bound      time.Duration
	since      time.Time
	unanswered int
}

// newSilence returns the state for a request that was sent at now to a server
// whose longest run time is longest.
func newSilence(now time.Time, c SilenceConfig, longest time.Duration) *silence {
	return &silence{config: c, bound: max(c.Floor, time.Duration(c.Factor)*longest), since: now}
}

// next takes the time of the last received byte and returns what to do, and
// when to ask again.
func (s *silence) next(now, heard time.Time) (verdict, time.Time) {
	s.hear(heard)
	due := s.since.Add(s.bound + time.Duration(s.unanswered)*s.config.CheckPause)
	if now.Before(due) {
		return wait, due
	}
	return check, now
}

// checked takes the result of a check and returns what to do, and when to ask
// again.
func (s *silence) checked(now, heard time.Time, answered bool) (verdict, time.Time) {
	if s.hear(heard) {
		return wait, s.since.Add(s.bound)
	}
	if answered {
		return silent, now
	}
	s.unanswered++
	if s.unanswered >= s.config.Checks {
		return lost, now
	}
	return wait, now.Add(s.config.CheckPause)
}

// hear starts the bound again if there was a byte since.
func (s *silence) hear(heard time.Time) bool {
	if !heard.After(s.since) {
		return false
	}
	s.since, s.unanswered = heard, 0
	return true
}

// decayShare is the share by which the longest run time shrinks with each
// shorter one.
const decayShare = 0.005

// learnLongest returns the longest run time after one of took.
func learnLongest(longest, took time.Duration) time.Duration {
	return max(took, longest-time.Duration(decayShare*float64(longest-took)))
}
