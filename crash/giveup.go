package crash

import (
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// GiveUpCause tells why a job was ended because of a task that workers were lost under.
type GiveUpCause string

// The causes for giving up.
const (
	// TaskCrashes means that the task has crashed its workers.
	TaskCrashes GiveUpCause = "crashes"
	// TooLate means that the task may have crashed its worker, and that another run would
	// be of no use to the caller.
	TooLate GiveUpCause = "tooLate"
)

// Reason returns the cause in words.
func (c GiveUpCause) Reason() string {
	if c == TaskCrashes {
		return "workers crash under a task of it"
	}
	return "its worker was lost, and it is too late for another run"
}

// GivenUp tells that a job was ended because of a task that workers were lost under.
type GivenUp struct {
	Job     work.ID
	Task    string
	Workers []worker.ID
	Cause   GiveUpCause
}
