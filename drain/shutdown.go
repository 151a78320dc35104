package drain

import "time"

// Step is a step of the shutdown of an entry host.
type Step string

// The steps of a shutdown.
const (
	// BecomeUnready asks to report the host as not ready to the load balancer,
	// and to tell each caller to open a new connection.
	BecomeUnready Step = "becomeUnready"
	// HandOver asks to accept no more connections, and to hand over unsent
	// requests to other hosts.
	HandOver Step = "handOver"
	// Cut asks to answer all open requests at once with what is known of them.
	Cut Step = "cut"
	// Exit asks to end the process.
	Exit Step = "exit"
)

// ShutdownConfig builds a Shutdown.
type ShutdownConfig struct {
	// UnreadyTime is how long the host accepts connections after the start of
	// the shutdown.
	UnreadyTime time.Duration
	// Timeout limits the time from the start of the shutdown to the cut.
	Timeout time.Duration
	// AnswerTime limits the time from the cut to the exit.
	AnswerTime time.Duration
}

// Shutdown is the state machine of the shutdown of an entry host.
type Shutdown struct {
	config    ShutdownConfig
	startedAt time.Time
	cutAt     time.Time
	// last is the last step that was returned.
	last Step
}

// NewShutdown returns a shutdown that starts now.
func NewShutdown(now time.Time, c ShutdownConfig) *Shutdown {
	return &Shutdown{config: c, startedAt: now}
}

// WasCut returns true if the Cut step was reached.
func (s *Shutdown) WasCut() bool { return !s.cutAt.IsZero() }

// Next returns the step that is due, or an empty one. The caller executes the
// step and calls Next again. Open is the number of requests and jobs that have
// not ended. Forced is true once the host was told a second time to end.
func (s *Shutdown) Next(now time.Time, open int, forced bool) Step {
	step, due := s.next(now, open, forced)
	if !due {
		return ""
	}
	s.last = step
	if step == Cut {
		s.cutAt = now
	}
	return step
}

// next returns the next step, and whether it is due.
func (s *Shutdown) next(now time.Time, open int, forced bool) (Step, bool) {
	overdue := forced || now.Sub(s.startedAt) >= s.config.Timeout
	switch s.last {
	case "":
		return BecomeUnready, true
	case BecomeUnready:
		return HandOver, overdue || now.Sub(s.startedAt) >= s.config.UnreadyTime
	case HandOver:
		if open == 0 {
			return Exit, true
		}
		return Cut, overdue
	case Cut:
		return Exit, open == 0 || now.Sub(s.cutAt) >= s.config.AnswerTime
	}
	return "", false
}
