package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// runNumberGap is how far above the highest stored run number the runs of a job
// continue after a change of owners: runs that were stopped are not stored. A
// worker that has seen a higher number refuses the start, which is then retried.
// Each owner has a range of numbers of this size at least, since failed runs are
// told apart by their numbers.
const runNumberGap = 16

// firstRun returns the number above which this owner numbers the runs of a job that an
// earlier one may have started.
func (m *Machine) firstRun(p *work.Progress) work.Run {
	return max(p.Highest+runNumberGap, work.Run(m.config.Token)*runNumberGap)
}

// earlyEnd is an end that a worker listed before the stored jobs were known.
type earlyEnd struct {
	node        *node
	incarnation worker.Incarnation
	end         worker.Ended
}

// AddStored adds a stored job. Such a job has no caller that waits, is never
// refused, and ends only when it is done, has failed or is cancelled. The progress p
// is what was stored of its runs. Parameter resubmitted is true if an earlier owner
// may have started part of it.
func (m *Machine) AddStored(now time.Time, j work.Job, p work.Progress, resubmitted bool) {
	if m.stopped || m.jobs[j.ID] != nil {
		return
	}
	k := newJob(now, Submission{Job: j, Resubmitted: resubmitted})
	k.stored = true
	for _, number := range p.Done {
		if number < 0 || number >= len(k.tasks) {
			continue
		}
		t := k.tasks[number]
		t.done = true
		k.left--
		k.steps.TaskDone(t.name.Step)
	}
	for number, runs := range p.Failed {
		if number < 0 || number >= len(k.tasks) {
			continue
		}
		t := k.tasks[number]
		t.failedRuns = slices.Clone(runs)
		t.failures, t.attempts = len(runs), len(runs)
	}
	if resubmitted {
		for _, t := range k.tasks {
			t.lastRun = m.firstRun(&p)
		}
	}
	m.adoptOrphans(now, k)
	k.ran = k.begun || p.HasEndedRuns()
	k.begun = k.ran
	m.jobs[j.ID] = k
	m.pendingValid = false
	m.queueReadyTasks(now, k)
	if m.storedLoaded {
		m.finishStored(now, k)
	}
	m.advance(now)
}

// finishStored finishes a stored job whose tasks are all done or one of which has
// failed too often.
func (m *Machine) finishStored(now time.Time, j *job) {
	switch {
	case !j.live:
	case j.left == 0:
		m.finish(now, j, Completed, "")
	case slices.ContainsFunc(j.tasks, func(t *task) bool { return !t.done && t.failures >= max(1, j.spec.Attempts) }):
		m.finish(now, j, Failed, "a task has failed")
	default:
		if t := m.condemnedTask(now, j); t != nil {
			m.tryGiveUp(now, t)
		}
	}
}

// StoredJobsLoaded tells that all stored jobs of the previous owner were passed to
// AddStored. Until then workers may not forget the ends of unknown jobs. It also
// ends an uncertainty about the ownership.
func (m *Machine) StoredJobsLoaded(now time.Time) {
	m.ownershipUncertain, m.storedLoaded = false, true
	for _, e := range m.earlyEnds {
		if e.node.Life == e.incarnation {
			delete(e.node.unstored, e.end.Number)
			m.noteEnd(e.node, e.end)
			if e.end.Result == worker.Done {
				m.handleFoundDone(now, e.end.Task)
			}
		}
	}
	m.earlyEnds = nil
	for _, j := range sortedJobs(m.jobs, func(j *job) bool { return j.stored }) {
		m.finishStored(now, j)
	}
	for _, n := range m.ordered {
		n.scheduleAcknowledgement(now)
		m.markChanged(n)
	}
	m.queue.tryAll = true
	m.advance(now)
}

// IsTakeoverComplete returns true if no run of the previous owner can be running
// unknown to this one, because all its workers have answered.
func (m *Machine) IsTakeoverComplete() bool {
	return m.config.PreviousWorkersComplete && m.capacity.Unanswered == 0
}

// maxEventGap is the longest time between two events after which an owner still
// relies on its ownership. After a longer one a successor may start jobs that it
// has taken over before this owner learns of it.
const maxEventGap = 2 * time.Second

// IsOwnershipUncertain returns true if the owner has to verify that it was not
// replaced. This is so after MarkOwnershipUncertain and after a long gap between
// events, until StoredJobsLoaded is called.
func (m *Machine) IsOwnershipUncertain() bool { return m.ownershipUncertain }

// MarkOwnershipUncertain tells that another host may have taken the workers: the
// runs of stored jobs are stopped, and none of them starts before the next call of
// StoredJobsLoaded.
func (m *Machine) MarkOwnershipUncertain(now time.Time) {
	m.ownershipUncertain, m.storedLoaded = true, false
	for _, n := range m.ordered {
		for _, r := range n.sortedRuns() {
			if r.state != stopping && r.task != nil && r.task.job.stored && r.task.job.live {
				m.stop(now, r, "another host may own the workers")
			}
		}
	}
	m.advance(now)
}

// countFailure counts each failed run of a stored job's task once.
func (t *task) countFailure(r work.Run) {
	if slices.Contains(t.failedRuns, r) {
		return
	}
	t.failedRuns = append(t.failedRuns, r)
	t.failures++
}

// EndStored tells that an end was stored, so that its worker may forget it.
func (m *Machine) EndStored(now time.Time, e worker.EndID) {
	n := m.nodes[e.Worker]
	if n == nil || n.Life != e.Incarnation || m.stopped {
		return
	}
	delete(n.unstored, e.Number)
	n.scheduleAcknowledgement(now)
	m.markChanged(n)
}

// Cancel ends a stored job at once.
func (m *Machine) Cancel(now time.Time, id work.ID) {
	if j := m.jobs[id]; j != nil && j.stored {
		m.emitRecord(now, j, Cancelled, "the job was cancelled")
		m.drop(now, j)
		m.advance(now)
	}
}

// CancelWaiting ends a job whose caller waits. If it comes later, its caller is told that it was
// cancelled. It returns false if there is no such job.
func (m *Machine) CancelWaiting(now time.Time, id work.ID) bool {
	j := m.jobs[id]
	if m.stopped || (j != nil && j.stored) {
		return false
	}
	if j == nil {
		if _, ended := m.outcomes.Get(id); !ended {
			m.outcomes.Put(now, id, Cancelled)
		}
		return false
	}
	m.finish(now, j, Cancelled, "the job was cancelled")
	m.advance(now)
	return true
}

// pendingCounts returns the number of stored jobs of each queue that have not
// begun.
func (m *Machine) pendingCounts() map[work.Queue]int {
	if m.pendingValid {
		return m.pendingJobs
	}
	var counts map[work.Queue]int
	for _, j := range m.jobs {
		if j.stored && !j.ran {
			index.Increment(&counts, j.spec.Queue)
		}
	}
	m.pendingJobs, m.pendingValid = counts, true
	return counts
}

// noteEnd requests that an end of a stored job's run be stored, and delays its
// acknowledgement until then.
func (m *Machine) noteEnd(n *node, e worker.Ended) {
	if e.Result != worker.Done && e.Result != worker.Failed {
		return
	}
	if !m.storedLoaded && !m.isKnown(work.JobOfTask(e.Task)) {
		m.earlyEnds = append(m.earlyEnds, earlyEnd{node: n, incarnation: n.Life, end: e})
		n.holdEnd(e.Number)
		return
	}
	t := m.findTask(e.Task)
	if r := n.runs[runKey{task: e.Task, run: e.Run}]; t == nil && r != nil {
		// Its job has just ended, and its result may not be stored yet.
		t = r.task
	}
	if t == nil || !t.job.stored {
		return
	}
	n.holdEnd(e.Number)
	if e.Result == worker.Failed {
		t.countFailure(e.Run)
	}
	m.actions.RunEnds = append(m.actions.RunEnds, worker.RunEnd{
		Job: t.job.spec.ID, Task: t.number(), Run: e.Run, Done: e.Result == worker.Done,
		End: worker.EndID{Worker: n.ID, Incarnation: n.Life, Number: e.Number},
	})
}

// isKnown returns true if a job was submitted to this owner. Runs that were stopped
// because their job was unknown do not count.
func (m *Machine) isKnown(id work.ID) bool {
	_, ended := m.outcomes.Get(id)
	return ended || m.jobs[id] != nil
}

// holdEnd keeps the worker from forgetting an end.
func (n *node) holdEnd(number worker.EndNumber) {
	if n.unstored == nil {
		n.unstored = map[worker.EndNumber]struct{}{}
	}
	n.unstored[number] = struct{}{}
}

// highestForgettable returns the highest end that the worker may forget.
func (n *node) highestForgettable() worker.EndNumber {
	highest := n.seen
	for number := range n.unstored {
		highest = min(highest, number-1)
	}
	return highest
}

// scheduleAcknowledgement schedules the poll that lets the worker forget ends.
func (n *node) scheduleAcknowledgement(now time.Time) {
	if n.acknowledgeAt.IsZero() && n.acknowledged < n.seen {
		n.acknowledgeAt = now.Add(n.acknowledgeDelay())
	}
}
