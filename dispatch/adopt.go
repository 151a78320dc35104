package dispatch

import (
	"slices"
	"time"
)

// adopt takes in a run that this ownership did not start. If its job is not
// known, its host may submit it again; else the run is stopped.
func (m *Machine) adopt(now time.Time, n *node, k runKey) {
	r := &run{key: k, node: n, state: atWork, sent: now, confirmed: now, orphanUntil: now.Add(orphanTime)}
	n.runs[k] = r
	// The owner before may have extended the lease until this look.
	n.lapsed = latest(n.lapsed, now.Add(lapse(m.config.MaxLease)))
	t := m.find(k.task)
	switch {
	case t != nil && !t.done && t.run == nil:
		m.attach(now, r, t)
		t.job.waiting = slices.DeleteFunc(t.job.waiting, func(w *task) bool { return w == t })
	case t == nil && m.orphans[k.task] == nil:
		m.orphans[k.task] = r
	default:
		m.stop(now, r, "")
	}
}

// attach gives a run that was found to its task.
func (m *Machine) attach(now time.Time, r *run, t *task) {
	r.task, r.size, r.orphanUntil = t, t.step().Size, time.Time{}
	r.node.used = r.node.used.Plus(r.size)
	t.run, t.number = r, max(t.number, r.key.run)
	t.job.begun = true
	t.job.note(now, r)
}

// foundDone takes in that a run which this ownership did not start has done its
// task.
func (m *Machine) foundDone(now time.Time, name string) {
	t := m.find(name)
	if t == nil {
		m.orphansDone[name] = now
		return
	}
	if t.done {
		return
	}
	if r := t.run; r != nil {
		t.run = nil
		m.stop(now, r, "an earlier run has done the task")
	}
	t.job.begun = true
	t.job.waiting = slices.DeleteFunc(t.job.waiting, func(w *task) bool { return w == t })
	m.taskDone(now, t)
}

// find returns the task of a name if its job is known.
func (m *Machine) find(name string) *task {
	j := m.jobs[jobOf(name)]
	if j == nil {
		return nil
	}
	for _, t := range j.tasks {
		if t.text == name {
			return t
		}
	}
	return nil
}
