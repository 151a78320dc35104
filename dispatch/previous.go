package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/work"
)

// previousRuns are the runs that an earlier submission of a job left behind.
// Nothing of the job starts while one of them may still be running, and its next
// runs get higher numbers.
type previousRuns struct {
	runs    map[*run]struct{}
	highest work.Run
	lastEnd time.Time
}

// jobID returns the job of a run.
func (r *run) jobID() work.ID {
	if r.task != nil {
		return r.task.job.spec.ID
	}
	return work.JobOfTask(r.key.task)
}

// trackPreviousRun records a run that is being stopped and whose job is no longer
// known.
func (m *Machine) trackPreviousRun(r *run) {
	if r.task != nil && r.task.job.live {
		return
	}
	id := r.jobID()
	p := m.previousRuns[id]
	if p == nil {
		p = &previousRuns{runs: map[*run]struct{}{}}
		m.previousRuns[id] = p
	}
	p.runs[r] = struct{}{}
	p.highest = max(p.highest, r.key.run)
}

// removePreviousRun records that a run has ended.
func (m *Machine) removePreviousRun(now time.Time, r *run) {
	if p := m.previousRuns[r.jobID()]; p != nil {
		delete(p.runs, r)
		p.highest = max(p.highest, r.key.run)
		p.lastEnd = now
		if j := m.jobs[r.jobID()]; j != nil && len(p.runs) == 0 {
			m.markUntried(j)
		}
	}
}

// hasPreviousRuns returns true if a run of an earlier submission may still be
// running.
func (m *Machine) hasPreviousRuns(id work.ID) bool {
	p := m.previousRuns[id]
	return p != nil && len(p.runs) > 0
}

// highestPreviousRun returns the highest run number that an earlier submission used
// for any task.
func (m *Machine) highestPreviousRun(t *task) work.Run {
	if p := m.previousRuns[t.job.spec.ID]; p != nil {
		return p.highest
	}
	return 0
}
