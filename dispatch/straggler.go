package dispatch

import "time"

const (
	// overdueFactor and overdueTime bound how much longer than expected a run
	// may take before its worker is asked how far it is: the estimates are off
	// by some 40 %, and tasks of one job by some 15 %.
	overdueFactor = 1.6
	overdueTime   = 30 * time.Millisecond
	// lossyFactor and lossyTime take their place while answers get lost: the
	// look that was to tell of the end may be one of them.
	lossyFactor = 1.2
	lossyTime   = 10 * time.Millisecond
	// lossyPeriod is how long after an order without an answer more are
	// expected.
	lossyPeriod = 5 * time.Second
	// checkPause is the time between two such questions.
	checkPause = 100 * time.Millisecond
	// restartTime is what it takes to stop a run and start it elsewhere.
	restartTime = 40 * time.Millisecond
	// doubt is how many times its estimate a task may take as long as no other
	// task of its job has shown how far the estimate is off.
	doubt = 2
	// restartGain is how many times sooner than the run at work a new one must
	// be done: what has been done of the work is lost.
	restartGain = 1.5
)

// overdue returns true if a run should have ended, and its worker was not asked
// lately how far it is.
func (m *Machine) overdue(now time.Time, n *node, r *run) bool {
	return !now.Before(r.checkAt) && now.Sub(r.sent) > m.patience(now, n, r)
}

// patience returns how long a run may take before its worker is asked how far it
// is.
func (m *Machine) patience(now time.Time, n *node, r *run) time.Duration {
	if now.Before(m.lossyUntil) {
		return scaled(m.expected(n, r.task), lossyFactor) + lossyTime
	}
	return m.limit(n, r)
}

// limit returns how long a run may take before it counts as a straggler.
func (m *Machine) limit(n *node, r *run) time.Duration {
	return scaled(m.expected(n, r.task), overdueFactor) + overdueTime
}

// offBy returns how many times their expected time the tasks of a job take.
func (j *job) offBy() float64 {
	if j.ends == 0 {
		return doubt
	}
	return max(1, j.ratios/float64(j.ends))
}

// scaled returns d times x.
func scaled(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

// judgeProgress stops a run that is overdue if it has not begun to work, or if a
// worker that is free would be done with the task much sooner. Load: workers that hang or have turned slow, which
// hold up the job of all tasks that run elsewhere.
func (m *Machine) judgeProgress(now time.Time, n *node, r *run, percent int) {
	elapsed := now.Sub(r.sent)
	if elapsed <= m.limit(n, r) {
		return
	}
	if percent <= 0 {
		if now.Add(restartTime + r.task.estimate()).Before(r.task.job.deadline) {
			m.judge.Failed(now, n.ID)
			m.stop(now, r, "it has not begun to work")
		}
		return
	}
	if !m.queue.empty() {
		return
	}
	other := m.choose(now, r.task, true)
	if other == nil {
		return
	}
	again := scaled(m.expected(other, r.task), r.task.job.offBy()) + restartTime
	total := elapsed * 100 / time.Duration(percent)
	if float64(total-elapsed) > restartGain*float64(again) && now.Add(again).Before(r.task.job.deadline) {
		n.pace.learn(total, r.task.estimate())
		m.stop(now, r, "another worker is faster")
	}
}
