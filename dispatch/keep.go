package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// runGap is how much higher than the highest run that is stored the runs of a
// job start after a change of owners: runs that were stopped are not stored. A
// worker that has seen a higher one refuses the start, and it is tried again.
const runGap = 16

// Note is the end of a run that must be stored before the worker may forget it.
type Note struct {
	Job work.ID
	// Task is the number of the task over all steps of the job.
	Task int
	Run  work.Run
	Done bool
	End  worker.EndID
}

// Finish is the end of a kept job.
type Finish struct {
	Job    work.ID
	Result Result
}

// early is an end that a worker listed before the kept jobs were known.
type early struct {
	node *node
	life worker.Life
	end  worker.Ended
}

// Keep takes a job that lasts: it has no caller that waits, is never refused,
// and ends only when it is done, has failed or is cancelled. Progress is what is
// stored of its runs. Again is true if an earlier owner may have started
// something of it.
func (m *Machine) Keep(now time.Time, j work.Job, p work.Progress, again bool) {
	if m.stopped || m.jobs[j.ID] != nil {
		return
	}
	k := newJob(now, Submission{Job: j, Again: again})
	k.kept = true
	for _, number := range p.Done {
		if number < 0 || number >= len(k.tasks) {
			continue
		}
		t := k.tasks[number]
		t.done = true
		k.left--
		k.stepLeft[t.name.Step]--
	}
	for number, runs := range p.Failed {
		if number < 0 || number >= len(k.tasks) {
			continue
		}
		t := k.tasks[number]
		t.failedRuns = slices.Clone(runs)
		t.failures, t.attempts = len(runs), len(runs)
	}
	if again {
		for _, t := range k.tasks {
			t.number = p.Highest + runGap
		}
	}
	m.reclaim(now, k)
	k.begun = k.begun || p.Begun()
	m.jobs[j.ID] = k
	m.pendingKnown = false
	m.refill(now, k)
	if m.loaded {
		m.settleKept(now, k)
	}
	m.pump(now)
}

// settleKept ends a kept job whose tasks are done or have failed too often.
func (m *Machine) settleKept(now time.Time, j *job) {
	switch {
	case !j.live:
	case j.left == 0:
		m.finish(now, j, Completed, "")
	case slices.ContainsFunc(j.tasks, func(t *task) bool { return !t.done && t.failures >= max(1, j.spec.Attempts) }):
		m.finish(now, j, Failed, "a task has failed")
	}
}

// Loaded tells that all kept jobs of the owner before were handed to Keep. Until
// then workers may not forget the ends of unknown jobs.
func (m *Machine) Loaded(now time.Time) {
	m.doubted, m.loaded = false, true
	for _, e := range m.early {
		if e.node.Life == e.life {
			delete(e.node.unstored, e.end.Number)
			m.noteEnd(e.node, e.end)
			if e.end.How == worker.Done {
				m.foundDone(now, e.end.Task)
			}
		}
	}
	m.early = nil
	for _, j := range sorted(m.jobs, func(j *job) bool { return j.kept }) {
		m.settleKept(now, j)
	}
	for _, n := range m.ordered {
		n.acknowledge(now)
		m.touch(n)
	}
	m.queue.all = true
	m.pump(now)
}

// Settled returns true if nothing of the owner before can run unseen any more,
// because all its workers have answered.
func (m *Machine) Settled() bool {
	return m.config.Sure && m.stock.unheard == 0
}

// longPause is how long nothing may have happened for an owner to take its workers
// for its own: after that a successor may start what it has taken over before this
// one learns of it.
const longPause = 2 * time.Second

// Doubted returns true if the owner has to make sure that it was not replaced: after
// Doubt, and after a pause. Loaded ends it.
func (m *Machine) Doubted() bool { return m.doubted }

// Doubt tells that another host may have taken the workers: what runs of kept jobs
// is stopped, and nothing of them starts before the next call of Loaded.
func (m *Machine) Doubt(now time.Time) {
	m.doubted, m.loaded = true, false
	for _, n := range m.ordered {
		for _, r := range n.sortedRuns() {
			if r.state != stopping && r.task != nil && r.task.job.kept && r.task.job.live {
				m.stop(now, r, "another host may own the workers")
			}
		}
	}
	m.pump(now)
}

// countFailure counts a failed run of a kept job's task once.
func (t *task) countFailure(r work.Run) {
	if slices.Contains(t.failedRuns, r) {
		return
	}
	t.failedRuns = append(t.failedRuns, r)
	t.failures++
}

// Stored tells that an end was stored, so that its worker may forget it.
func (m *Machine) Stored(now time.Time, e worker.EndID) {
	n := m.nodes[e.Worker]
	if n == nil || n.Life != e.Life || m.stopped {
		return
	}
	delete(n.unstored, e.Number)
	n.acknowledge(now)
	m.touch(n)
}

// Cancel ends a kept job at once.
func (m *Machine) Cancel(now time.Time, id work.ID) {
	if j := m.jobs[id]; j != nil && j.kept {
		m.close(now, j, Cancelled, "the job was cancelled")
		m.drop(now, j)
		m.pump(now)
	}
}

// pending returns the number of kept jobs of each queue that have not begun.
func (m *Machine) pending() map[work.Queue]int {
	if m.pendingKnown {
		return m.pendingJobs
	}
	var counts map[work.Queue]int
	for _, j := range m.jobs {
		if !j.kept || j.begun {
			continue
		}
		if counts == nil {
			counts = map[work.Queue]int{}
		}
		counts[j.spec.Queue]++
	}
	m.pendingJobs, m.pendingKnown = counts, true
	return counts
}

// noteEnd asks for an end of a kept job's run to be stored, and holds back its
// acknowledgement.
func (m *Machine) noteEnd(n *node, e worker.Ended) {
	if e.How != worker.Done && e.How != worker.Failed {
		return
	}
	if !m.loaded && !m.knows(jobOf(e.Task)) {
		m.early = append(m.early, early{node: n, life: n.Life, end: e})
		n.hold(e.Number)
		return
	}
	t := m.find(e.Task)
	if r := n.runs[runKey{task: e.Task, run: e.Run}]; t == nil && r != nil {
		// Its job has just ended, and what it ended as may not be stored.
		t = r.task
	}
	if t == nil || !t.job.kept {
		return
	}
	n.hold(e.Number)
	if e.How == worker.Failed {
		t.countFailure(e.Run)
	}
	m.actions.Notes = append(m.actions.Notes, Note{
		Job: t.job.spec.ID, Task: slices.Index(t.job.tasks, t), Run: e.Run, Done: e.How == worker.Done,
		End: worker.EndID{Worker: n.ID, Life: n.Life, Number: e.Number},
	})
}

// knows returns true if a job was handed in to this ownership. Runs that were
// stopped for want of a job say nothing.
func (m *Machine) knows(id work.ID) bool {
	_, over := m.outcomes.Get(id)
	return over || m.jobs[id] != nil
}

// hold keeps the worker from forgetting an end.
func (n *node) hold(number worker.EndNumber) {
	if n.unstored == nil {
		n.unstored = map[worker.EndNumber]struct{}{}
	}
	n.unstored[number] = struct{}{}
}

// forgettable returns the highest end that the worker may forget.
func (n *node) forgettable() worker.EndNumber {
	highest := n.seen
	for number := range n.unstored {
		highest = min(highest, number-1)
	}
	return highest
}

// acknowledge plans the look that lets the worker forget ends.
func (n *node) acknowledge(now time.Time) {
	if n.noteAt.IsZero() && n.noted < n.seen {
		n.noteAt = now.Add(forgetPause)
	}
}
