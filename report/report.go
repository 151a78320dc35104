// Package report defines what an owner reports of its jobs and workers, for the log and the
// metrics.
package report

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Record describes how a submission went, for the log.
type Record struct {
	Job    work.ID
	Host   ident.Host
	Call   uint64
	Result string
	Reason string
	// Waited is the time from the caller's request to the submission, and Took is
	// the time from the submission to its end.
	Waited, Took time.Duration
	// Objective is the time after its request at which the caller expects the
	// answer.
	Objective time.Duration
	// Waiting is the number of tasks that had not started at the end.
	Waiting int
	Runs    []RunRecord
	// Omitted is the number of runs that are left out of Runs.
	Omitted int
}

// RunRecord describes how one run went.
type RunRecord struct {
	Step, Index int
	Run         work.Run
	Worker      worker.ID
	// Started and Ended are times after the submission. Ended is zero if the run
	// had not ended when the job did.
	Started, Ended time.Duration
	How            string
}

// LossCause tells why a run ended without its worker having reported an end.
type LossCause string

// The causes of losses.
const (
	// LossCrashed means that another process has taken the place of the worker.
	LossCrashed LossCause = "crashed"
	// LossSilent means that the worker answered no order until its lease had lapsed. It
	// may have crashed, or may be paused or cut off.
	LossSilent LossCause = "silent"
	// LossLeft means that the worker was draining and has left.
	LossLeft LossCause = "left"
	// LossUnlisted means that the worker answers and no longer lists the run.
	LossUnlisted LossCause = "unlisted"
	// LossRefused means that the worker refused the start.
	LossRefused LossCause = "refused"
)

// WorkerLoss tells that a worker was lost with all its runs.
type WorkerLoss struct {
	Worker      worker.ID
	Incarnation worker.Incarnation
	Cause       LossCause
	// Tasks holds the tasks that the worker ran.
	Tasks []string
	// Silent is for how long the worker had answered no order.
	Silent time.Duration
}

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
