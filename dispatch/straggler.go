package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/worker"
)

const (
	// lossyPeriod is how long after an unanswered order more lost answers are
	// expected.
	lossyPeriod = 5 * time.Second
	// checkInterval is the time between two checks of the progress of a run.
	checkInterval = 100 * time.Millisecond
	// restartTime is how long it takes to stop a run and start it elsewhere.
	restartTime = 40 * time.Millisecond
)

// isOverdue returns true if a run should have ended and its worker was not asked
// for its progress lately.
func (m *Machine) isOverdue(now time.Time, n *node, r *run) bool {
	return !now.Before(r.nextCheck) && now.Sub(r.sent) > m.checkAfter(now, n, r)
}

// checkAfter returns how long a run may take before its worker is asked for its
// progress.
func (m *Machine) checkAfter(now time.Time, n *node, r *run) time.Duration {
	if n.slowdown.IsSlow() && r.sent.Before(n.slowdown.SlowSince()) {
		return 0
	}
	return estimate.CheckAfter(m.expectedAtStart(r), now.Before(m.lossyUntil))
}

// expectedAtStart returns the run time that was expected when a run was started. It does not
// change when the worker becomes slow: the run is overdue all the same.
func (m *Machine) expectedAtStart(r *run) time.Duration {
	if r.expected == 0 {
		return m.expectedRunTime(r.node, r.task)
	}
	return r.expected
}

// scaled returns d times x.
func scaled(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

func (m *Machine) observation(r *run) estimate.Run {
	return estimate.Run{Worker: r.node.ID, Sent: r.sent, Estimate: m.estimateOn(r.node, r.task)}
}

// learnEnd learns from the run time of a run that is done. Runs of the same job that are late
// in comparison show that their workers are slow.
func (m *Machine) learnEnd(now time.Time, r *run) {
	j := r.task.job
	m.meanRunTime = estimate.MeanRunTime(m.meanRunTime, now.Sub(r.sent), r.size.Cores, m.meanCores)
	if r.node.cold.IsCold(r.sent) {
		// A cold worker says nothing of its usual speed.
		return
	}
	m.noteSpeed(now, r.node, j.observed.Ended(now, &r.node.slowdown, m.observation(r)))
	if j.left <= 1 {
		j.observed.Learn(now, func(id worker.ID) {
			if n := m.nodes[id]; n != nil {
				m.markChanged(n)
			}
		})
	}
	m.learnOverdue(now, j)
}

// learnOverdue learns from the runs of a job that should have ended.
func (m *Machine) learnOverdue(now time.Time, j *job) {
	var overdue []*run
	for _, t := range j.tasks[:min(len(j.tasks), estimate.MaxCompared)] {
		if r := t.run; r != nil && r.state == running && r.node.runs[r.key] == r && !r.node.cold.IsCold(r.sent) {
			j.observed.Open(now, &r.node.slowdown, m.observation(r))
			if now.Sub(r.sent) > estimate.StragglerLimit(m.expectedAtStart(r)) {
				overdue = append(overdue, r)
			}
		}
	}
	for _, r := range overdue {
		m.noteSpeed(now, r.node, j.observed.Overdue(now, &r.node.slowdown, m.observation(r)))
	}
}

// noteSpeed handles a change of what a worker is believed to be. The runs of a worker that has
// become slow are checked at once.
func (m *Machine) noteSpeed(now time.Time, n *node, change estimate.Change) {
	m.markChanged(n)
	if change == estimate.Unchanged {
		return
	}
	m.actions.SpeedChanges = append(m.actions.SpeedChanges, estimate.SpeedChange{Worker: n.ID, Change: change, Factor: n.slowdown.Factor(), Runs: len(n.runs)})
	if change == estimate.Slowed {
		m.pollAtOnce(now, n)
	}
}

// checkProgress stops an overdue run that has not begun to work, or whose task a
// free worker would complete much sooner. A worker that hangs or has slowed down
// would otherwise hold up a job whose other tasks run elsewhere.
func (m *Machine) checkProgress(now time.Time, n *node, r *run, percent int) {
	elapsed, slowed := now.Sub(r.sent), r.sent.Before(n.slowdown.SlowSince())
	if overdue := elapsed > estimate.StragglerLimit(m.expectedAtStart(r)); !overdue && (!slowed || percent <= 0) {
		return
	}
	if percent <= 0 {
		if now.Add(restartTime + r.task.estimate()).Before(r.task.job.deadline) {
			m.detector.Failed(now, n.ID)
			m.stop(now, r, "it has not begun to work")
		}
		return
	}
	if !m.queue.isEmpty() && !slowed {
		return
	}
	other := m.chooseWorker(now, r.task, m.queue.isEmpty())
	if other == nil {
		return
	}
	rerun := scaled(m.expectedRunTime(other, r.task), r.task.job.observed.Ratio(slowed)) + restartTime
	if estimate.IsSooner(rerun, elapsed, percent, slowed, m.expectedRunTime(n, r.task)) && now.Add(rerun).Before(r.task.job.deadline) {
		m.learnOverdue(now, r.task.job)
		m.stop(now, r, "another worker is faster")
	}
}
