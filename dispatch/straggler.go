package dispatch

import "time"

const (
	// overdueFactor and overdueMargin bound how much longer than expected a run may
	// take before its worker is asked for its progress: estimates are off by some
	// 40 %, and tasks of one job by some 15 %.
	overdueFactor = 1.6
	overdueMargin = 30 * time.Millisecond
	// lossyFactor and lossyMargin replace them while answers get lost, since the
	// poll that was to report the end may be among the lost ones.
	lossyFactor = 1.2
	lossyMargin = 10 * time.Millisecond
	// lossyPeriod is how long after an unanswered order more lost answers are
	// expected.
	lossyPeriod = 5 * time.Second
	// checkInterval is the time between two checks of the progress of a run.
	checkInterval = 100 * time.Millisecond
	// restartTime is how long it takes to stop a run and start it elsewhere.
	restartTime = 40 * time.Millisecond
	// defaultRunTimeRatio is how many times its expected time a task is assumed to
	// take as long as no other task of its job has shown how far the estimate is
	// off.
	defaultRunTimeRatio = 2
	// restartGain is how many times sooner than the present run a new one must be
	// done, since the work done so far is lost.
	restartGain = 1.5
)

// isOverdue returns true if a run should have ended and its worker was not asked
// for its progress lately.
func (m *Machine) isOverdue(now time.Time, n *node, r *run) bool {
	return !now.Before(r.nextCheck) && now.Sub(r.sent) > m.checkAfter(now, n, r)
}

// checkAfter returns how long a run may take before its worker is asked for its
// progress.
func (m *Machine) checkAfter(now time.Time, n *node, r *run) time.Duration {
	if now.Before(m.lossyUntil) {
		return scaled(m.expectedRunTime(n, r.task), lossyFactor) + lossyMargin
	}
	return m.stragglerLimit(n, r)
}

// stragglerLimit returns how long a run may take before it counts as a straggler.
func (m *Machine) stragglerLimit(n *node, r *run) time.Duration {
	return scaled(m.expectedRunTime(n, r.task), overdueFactor) + overdueMargin
}

// runTimeRatio returns how many times their expected time the tasks of a job take.
func (j *job) runTimeRatio() float64 {
	if j.doneRuns == 0 {
		return defaultRunTimeRatio
	}
	return max(1, j.runTimeRatios/float64(j.doneRuns))
}

// scaled returns d times x.
func scaled(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

// checkProgress stops an overdue run that has not begun to work, or whose task a
// free worker would complete much sooner. A worker that hangs or has slowed down
// would otherwise hold up a job whose other tasks run elsewhere.
func (m *Machine) checkProgress(now time.Time, n *node, r *run, percent int) {
	elapsed := now.Sub(r.sent)
	if elapsed <= m.stragglerLimit(n, r) {
		return
	}
	if percent <= 0 {
		if now.Add(restartTime + r.task.estimate()).Before(r.task.job.deadline) {
			m.detector.Failed(now, n.ID)
			m.stop(now, r, "it has not begun to work")
		}
		return
	}
	if !m.queue.isEmpty() {
		return
	}
	other := m.chooseWorker(now, r.task, true)
	if other == nil {
		return
	}
	rerun := scaled(m.expectedRunTime(other, r.task), r.task.job.runTimeRatio()) + restartTime
	total := elapsed * 100 / time.Duration(percent)
	if float64(total-elapsed) > restartGain*float64(rerun) && now.Add(rerun).Before(r.task.job.deadline) {
		n.learn(r, total)
		m.stop(now, r, "another worker is faster")
	}
}
