package worker

import "github.com/catkingap/catkingap/work"

// RunEnd is the end of a run. It must be stored before the worker may forget it.
type RunEnd struct {
	Job work.ID
	// Task is the index of the task over all steps of the job.
	Task int
	Run  work.Run
	Done bool
	End  EndID
}
