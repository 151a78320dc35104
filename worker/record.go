package worker

import (
	"time"

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
