package dispatch

import (
	"slices"
	"strconv"
	"strings"
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
		m.unqueue(now, t)
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
	m.touch(r.node)
	t.run, t.number = r, max(t.number, r.key.run)
	m.begin(t.job)
	t.job.note(now, r)
}

// foundDone takes in that a run which this ownership did not start has done its
// task.
func (m *Machine) foundDone(now time.Time, name string) {
	t := m.find(name)
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
	m.begin(t.job)
	m.unqueue(now, t)
	m.taskDone(now, t)
}

// unqueue takes a task out of those that may start.
func (m *Machine) unqueue(now time.Time, t *task) {
	t.job.waiting = slices.DeleteFunc(t.job.waiting, func(w *task) bool { return w == t })
	m.queue.put(t.job, m.classOf(now, t.job))
}

// find returns the task of a name if its job is known.
func (m *Machine) find(name string) *task {
	j := m.jobs[jobOf(name)]
	if j == nil {
		return nil
	}
	parts := strings.Split(name, ".")
	if len(parts) != taskParts {
		return nil
	}
	step, err := strconv.Atoi(parts[taskParts-2])
	if err != nil || step < 0 || step >= len(j.offsets) {
		return nil
	}
	i, err := strconv.Atoi(parts[taskParts-1])
	if err != nil || i < 0 || i >= j.spec.Steps[step].Count {
		return nil
	}
	if t := j.tasks[j.offsets[step]+i]; t.text == name {
		return t
	}
	return nil
}

// taskParts is the number of parts of a task's name, the last two of which are its
// step and its number there.
const taskParts = 4
