package ledger

import (
	"time"

	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Outcome is the result of a write.
type Outcome struct {
	// Accepted holds the jobs that the write stored, which may start.
	Accepted []work.Job
	// AlreadyStored holds submitted jobs that were stored already, by any owner.
	AlreadyStored []work.ID
	// StoredEnds holds the ends of runs that are stored, so that workers may forget
	// them.
	StoredEnds []worker.EndID
	// Cancelled holds the jobs that another host has cancelled.
	Cancelled []work.ID
	// Rejected holds submitted jobs that the table does not take. They never run.
	Rejected []work.ID
	// Moved holds the jobs that belong to another data centre now.
	Moved []MovedJob
	// Recheck is true if the table has a job of this data centre that is not known.
	Recheck bool
	// Fenced is true if another owner has taken the workers.
	Fenced bool
	// Pause is the time to wait before the next write.
	Pause time.Duration
}
