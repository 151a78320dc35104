package drain

import "time"

// Step is something that an entry host does in its shutdown.
type Step string

// The steps of a shutdown.
const (
	// BecomeUnready asks to answer the balancer that the host is not ready, and
	// each caller that it shall open a new connection.
	BecomeUnready Step = "becomeUnready"
	// HandOver asks to open no more connections and to give requests that were
	// not sent to other hosts.
	HandOver Step = "handOver"
	// Cut asks to answer all open requests at once with what is known.
	Cut Step = "cut"
	// Exit asks to end the process.
	Exit Step = "exit"
)

// ShutdownConfig builds a Shutdown.
type ShutdownConfig struct {
	// UnreadyTime is how long the host goes on accepting after the start.
	UnreadyTime time.Duration
	// Timeout bounds the shutdown from its start to the cut.
	Timeout time.Duration
	// AnswerTime bounds the time from the cut to the exit.
	AnswerTime time.Duration
}

// Shutdown is the state of the shutdown of an entry host. It is pure.
type Shutdown struct {
	config ShutdownConfig
	began  time.Time
	cutAt  time.Time
	// last is the last step that was returned.
	last Step
}

// NewShutdown returns a shutdown that starts at now.
func NewShutdown(now time.Time, c ShutdownConfig) *Shutdown {
	return &Shutdown{config: c, began: now}
}

// WasCut returns true if open requests were cut.
func (s *Shutdown) WasCut() bool { return !s.cutAt.IsZero() }

// Next returns the step that is due, or an empty one. It is called again after
// the step was executed. Open is the number of requests and jobs that have not
// ended; forced is true once the host was told again to end.
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

func (s *Shutdown) next(now time.Time, open int, forced bool) (Step, bool) {
	late := forced || now.Sub(s.began) >= s.config.Timeout
	switch s.last {
	case "":
		return BecomeUnready, true
	case BecomeUnready:
		return HandOver, late || now.Sub(s.began) >= s.config.UnreadyTime
	case HandOver:
		if open == 0 {
			return Exit, true
		}
		return Cut, late
	case Cut:
		return Exit, open == 0 || now.Sub(s.cutAt) >= s.config.AnswerTime
	}
	return "", false
}
