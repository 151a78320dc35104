package worker

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
)

// RunRecord describes how one run went.
type RunRecord struct {
	Step, Index int
	Run         work.Run
	Worker      ID
	// Started and Ended are times after the submission. Ended is zero if the run
	// had not ended when the job did.
	Started, Ended time.Duration
	How            string
}

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

// RunEnd is the end of a run. It must be stored before the worker may forget it.
type RunEnd struct {
	Job work.ID
	// Task is the index of the task over all steps of the job.
	Task int
	Run  work.Run
	Done bool
	End  EndID
}
