package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/report"
)

// recordStart adds a run to the record of its job.
func (j *job) recordStart(now time.Time, r *run) {
	r.recordIndex = j.record.AddRun(report.RunRecord{
		Step: r.task.name.Step, Index: r.task.name.Index, Run: r.key.run, Worker: r.node.ID, Started: now.Sub(j.submitted),
	})
}

// recordEnd adds to the record how a run ended, or why it is being stopped.
func (r *run) recordEnd(now time.Time, how string) {
	if r.task != nil && r.task.job.live {
		r.task.job.record.EndRun(r.recordIndex, now.Sub(r.task.job.submitted), how)
	}
}

// emitRecord emits the record of a submission that has ended.
func (m *Machine) emitRecord(now time.Time, j *job, r Result, reason string) {
	j.record.Result, j.record.Reason = r, reason
	j.record.Took = now.Sub(j.submitted)
	j.record.Waiting = len(j.waiting)
	m.actions.Records = append(m.actions.Records, j.record)
}
