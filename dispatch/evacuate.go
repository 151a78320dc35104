package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/evacuation"
)

// ReasonEvacuated is the reason for which jobs leave the owner of an evacuated data centre.
const ReasonEvacuated = "the data centre is evacuated"

// SetAccess tells whether tasks may start on the workers. It takes effect at once.
func (m *Machine) SetAccess(now time.Time, a evacuation.Access) {
	if m.access == a {
		return
	}
	m.access = a
	for _, n := range m.ordered {
		m.markChanged(n)
	}
	m.queue.tryAll = true
	m.releaseEvacuated(now)
	m.advance(now)
}

// releaseEvacuated ends the jobs that cannot go on here because the data centre is evacuated.
// Their hosts submit those that have not begun to other owners.
func (m *Machine) releaseEvacuated(now time.Time) {
	if m.access != evacuation.Evacuated {
		return
	}
	for _, j := range sortedJobs(m.jobs, func(j *job) bool { return !j.stored }) {
		switch m.evacuationFate(now, j) {
		case evacuation.Return:
			m.end(now, j, Unsuited, ReasonEvacuated)
			m.drop(now, j)
		case evacuation.Interrupt:
			m.emitRecord(now, j, Interrupted, ReasonEvacuated)
			m.sendReply(now, Reply{
				Host: j.host, Call: j.call, Sequence: j.sequence, Job: j.spec.ID, Result: Interrupted, Reason: ReasonEvacuated, Final: true,
			})
			m.drop(now, j)
		}
	}
}

func (m *Machine) evacuationFate(now time.Time, j *job) evacuation.Fate {
	return evacuation.Job{
		Waiting: len(j.waiting) > 0, Begun: j.begun, Resubmitted: j.resubmitted, Unsettled: !m.mayStart(now, j),
		Running: m.hasPreviousRuns(j.spec.ID) || slices.ContainsFunc(j.tasks, func(t *task) bool { return t.run != nil }),
	}.Fate()
}

// mustGoElsewhere returns true if a new submission goes to another owner at once. One that may
// have runs here stays until they have ended.
func (m *Machine) mustGoElsewhere(s *Submission) bool {
	return m.access == evacuation.Evacuated && !s.Resubmitted && !m.hasPreviousRuns(s.Job.ID)
}
