package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
)

// adopt adds a run that this owner did not start. If its job is unknown, the run is
// kept for a while so that the host can submit the job again. A run whose task does
// not need it is stopped.
func (m *Machine) adopt(now time.Time, n *node, k runKey) {
	r := &run{key: k, node: n, state: running, sent: now, incarnation: n.Life, confirmedAt: now, orphanUntil: now.Add(orphanGracePeriod)}
	n.runs[k] = r
	// The previous owner may have extended the lease until this poll.
	m.assumeLongestLease(now, n)
	t := m.findTask(k.task)
	switch {
	case t != nil && !t.done && t.run == nil:
		m.attach(now, r, t)
		m.dequeueTask(now, t)
	case t == nil && m.orphans[k.task] == nil:
		m.orphans[k.task] = r
	default:
		m.stop(now, r, "")
	}
}

// attach assigns a run that was found to its task.
func (m *Machine) attach(now time.Time, r *run, t *task) {
	r.task, r.size, r.orphanUntil = t, t.step().Size, time.Time{}
	r.node.used = r.node.used.Plus(r.size)
	m.queue.countUsed(t.job, r.size.Cores)
	m.markChanged(r.node)
	t.run, t.lastRun = r, max(t.lastRun, r.key.run)
	m.markRan(t.job)
	t.job.recordStart(now, r)
}

// handleFoundDone completes a task whose run was done without having been assigned
// to it, such as a run of an earlier owner.
func (m *Machine) handleFoundDone(now time.Time, name string) {
	t := m.findTask(name)
	if t == nil {
		m.orphansDone.Put(now, name, struct{}{})
		return
	}
	if t.done {
		return
	}
	if r := t.run; r != nil {
		t.run = nil
		m.stop(now, r, "an earlier run has done the task")
	}
	m.markRan(t.job)
	m.dequeueTask(now, t)
	m.completeTask(now, t)
}

// dequeueTask removes a task from those that may start.
func (m *Machine) dequeueTask(now time.Time, t *task) {
	t.job.waiting = slices.DeleteFunc(t.job.waiting, func(w *task) bool { return w == t })
	m.queue.put(t.job, m.classOf(now, t.job))
}

// findTask returns the task with the given name, or nil if its job is not known.
func (m *Machine) findTask(name string) *task {
	x, ok := work.ParseTask(name)
	j := m.jobs[x.Job]
	if !ok || j == nil || x.Step >= len(j.stepOffsets) || x.Index >= j.spec.Steps[x.Step].Count {
		return nil
	}
	return j.tasks[j.stepOffsets[x.Step]+x.Index]
}
