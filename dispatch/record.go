package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/report"
)

// maxRecordedRuns bounds the runs in the record of one job.
const maxRecordedRuns = 64

// recordStart adds a run to the record of its job.
func (j *job) recordStart(now time.Time, r *run) {
	if len(j.record.Runs) == maxRecordedRuns {
		j.record.Omitted++
		return
	}
	r.recordIndex = len(j.record.Runs) + 1
	j.record.Runs = append(j.record.Runs, report.RunRecord{
		Step: r.task.name.Step, Index: r.task.name.Index, Run: r.key.run, Worker: r.node.ID, Started: now.Sub(j.submitted),
	})
}

// recordEnd adds to the record how a run ended, or why it is being stopped.
func (r *run) recordEnd(now time.Time, how string) {
	if r.task == nil || r.recordIndex == 0 || !r.task.job.live {
		return
	}
	x := &r.task.job.record.Runs[r.recordIndex-1]
	if x.How == "" {
		x.How = how
	}
	x.Ended = now.Sub(r.task.job.submitted)
}

// emitRecord emits the record of a submission that has ended.
func (m *Machine) emitRecord(now time.Time, j *job, r Result, reason string) {
	j.record.Result, j.record.Reason = string(r), reason
	j.record.Took = now.Sub(j.submitted)
	j.record.Waiting = len(j.waiting)
	m.actions.Records = append(m.actions.Records, j.record)
}
