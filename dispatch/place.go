package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// answerTime is what remains of the objective for the answer's way back.
	answerTime = 8 * time.Millisecond
	// paceMargin is how much longer than expected a task may take on a slow
	// worker that is chosen to spare a faster one.
	paceMargin = 1.2
	// uselessFactor is how many times the objective may pass before the answer
	// is of no use to the caller.
	uselessFactor = 3
	// coresWeight is the weight of a new task in the mean size of tasks.
	coresWeight = 0.05
)

// usable returns true if a worker may get work.
func (m *Machine) usable(now time.Time, n *node) bool {
	return n.listed && n.adopted && !n.Draining && n.silent.IsZero() && !now.Before(n.holdUntil) &&
		m.judge.Allowed(now, n.ID, true) && !n.hasOrphans()
}

func (n *node) hasOrphans() bool {
	for _, r := range n.runs {
		if r.task == nil {
			return true
		}
	}
	return false
}

// suits returns true if a worker is of the kind that a task needs.
func (n *node) suits(t *task) bool {
	s := t.step()
	return n.Pool == t.job.spec.Pool && s.Size.Fits(n.Capacity) && (s.Label == "" || slices.Contains(n.Labels, s.Label))
}

// possible returns true if each task of a job has a worker that suits it, or
// may have one that has not shown itself yet.
func (m *Machine) possible(j *job) bool {
	if len(m.ordered) == 0 {
		return true
	}
	for i, s := range j.spec.Steps {
		t := &task{job: j, name: work.Task{Step: i}}
		if s.Count > 0 && !slices.ContainsFunc(m.ordered, func(n *node) bool { return n.suits(t) }) {
			return false
		}
	}
	return true
}

// expected returns the run time that a task is expected to have on a worker.
func (m *Machine) expected(n *node, t *task) time.Duration {
	d := n.pace.scale(t.estimate())
	if rack := t.step().Rack; rack != "" && !slices.Contains(n.Labels, rack) {
		d = scaled(d, m.config.FarFactor)
	}
	return d
}

// opened returns true if nothing of a job can run unseen. Callers send a job
// again only when what an earlier owner started of it has ended, so that only
// jobs which a host hands in again have to wait.
func (m *Machine) opened(now time.Time, j *job) bool {
	if j.kept && (m.doubted || (j.again && !m.loaded)) {
		// Another owner may run it, or what workers have listed of it is not taken
		// in yet.
		return false
	}
	open := m.open
	if !j.kept {
		open = latest(open, j.submitted.Add(m.wantedLease()))
	}
	if !j.again || !now.Before(open) {
		return true
	}
	return m.Settled()
}

// pump does what is due, and starts what can start.
func (m *Machine) pump(now time.Time) {
	if m.stopped {
		return
	}
	if !m.turned.IsZero() && now.Sub(m.turned) > longPause {
		m.doubted = true
	}
	m.turned = now
	m.attend(now)
	m.startQueued(now)
	m.rearm(now)
}

// uselessTime returns how long after its objective an answer is of no more use to
// the caller.
func uselessTime(objective time.Duration) time.Duration { return (uselessFactor - 1) * objective }

// startJob starts the tasks of a job that have a worker, and returns true if any
// has. Tasks of one step are alike: if one has to wait, the others do.
func (m *Machine) startJob(now time.Time, j *job) bool {
	if m.lingers(j.spec.ID) || !m.opened(now, j) {
		return false
	}
	tardy := m.hope(now, j) != onTime
	kept := j.waiting[:0]
	started, full := false, -1
	for _, t := range j.waiting {
		if t.name.Step == full {
			kept = append(kept, t)
			continue
		}
		n := m.choose(now, t, tardy)
		if n == nil {
			full = t.name.Step
			kept = append(kept, t)
			continue
		}
		if j.class == late {
			m.lateRoomOf(j.spec.Pool).started += t.step().Size.Cores
		}
		m.start(now, t, n)
		started = true
	}
	j.waiting = kept
	return started
}

// choose returns the worker for a task, or nil if it has to wait. A task waits
// for a faster worker as long as that can still meet the objective. Of those
// that meet it, the slowest with a margin is taken, so that fast ones are left
// for long tasks; among equals the one with the least room left. Workers near the
// task's data come first, those on which it has failed last. A task that is tardy
// can not meet the objective: it goes to the fastest worker on which it is still of
// use.
func (m *Machine) choose(now time.Time, t *task, tardy bool) *node {
	m.settleTouched(now)
	s := t.step()
	type search struct {
		list   *room.List[*node]
		factor float64
	}
	searches := []search{{list: m.room.List(t.job.spec.Pool, s.Label), factor: 1}}
	if s.Rack != "" {
		searches = []search{
			{list: m.room.List(t.job.spec.Pool, s.Rack), factor: 1},
			{list: searches[0].list, factor: m.config.FarFactor},
		}
	}
	for _, failed := range [...]bool{false, true} {
		if failed && len(t.failed) == 0 && t.attempts == 0 {
			break
		}
		for _, x := range searches {
			if n := m.search(now, t, x.list, x.factor, tardy, failed); n != nil {
				return n
			}
		}
	}
	return nil
}

// search looks for a worker in a list. On its workers tasks take at least factor
// times as long as their estimate and the pace of the worker say. Failed tells
// whether a task may go to a worker on which it has failed.
func (m *Machine) search(now time.Time, t *task, l *room.List[*node], factor float64, tardy, failed bool) *node {
	left := t.job.objective.Sub(now) - answerTime
	inTime := func(run time.Duration, margin float64) bool {
		if tardy {
			return t.job.worthwhile(now, run+answerTime)
		}
		return scaled(run, margin) <= left
	}
	estimate := scaled(t.estimate(), factor)
	take := func(margin float64) func(*node) bool {
		return func(n *node) bool {
			m.visited++
			return n.suits(t) && (failed || !t.failedOn(n)) && m.apart(n, t) &&
				inTime(m.expected(n, t), margin) &&
				m.leash(now, n, t.job) >= minLease && !m.outlived(n, t.job)
		}
	}
	within := func(margin float64) func(room.Class) bool {
		return func(c room.Class) bool { return inTime(scaled(estimate, c.Fastest()), margin) }
	}
	if !tardy {
		if n, ok := l.Search(t.step().Size, true, within(paceMargin), take(paceMargin)); ok {
			return n
		}
	}
	n, _ := l.Search(t.step().Size, false, within(1), take(1))
	return n
}

// failedOn returns true if the task, or the last one there, has failed on a
// worker.
func (t *task) failedOn(n *node) bool {
	return slices.Contains(t.failed, n.ID) || (t.attempts > 0 && n.failures > 0)
}

// apart returns true if the bound of tasks of one step on a worker allows one
// more.
func (m *Machine) apart(n *node, t *task) bool {
	bound := t.step().PerWorker
	if bound == 0 {
		return true
	}
	for _, r := range n.runs {
		if r.task != nil && r.task.job == t.job && r.task.name.Step == t.name.Step {
			bound--
		}
	}
	return bound > 0
}

// start orders a run of a task on a worker.
func (m *Machine) start(now time.Time, t *task, n *node) {
	lease := m.leash(now, n, t.job)
	t.number = max(t.number, m.highest(t)) + 1
	r := &run{key: runKey{task: t.text, run: t.number}, node: n, task: t, size: t.step().Size, state: ordered, sent: now}
	n.runs[r.key] = r
	n.used = n.used.Plus(r.size)
	m.touch(n)
	t.run = r
	m.begin(t.job)
	t.job.note(now, r)
	m.judge.Started(now, n.ID)
	if m.cores == 0 {
		m.cores = float64(r.size.Cores)
	}
	m.cores += coresWeight * (float64(r.size.Cores) - m.cores)
	m.actions.Starts = append(m.actions.Starts, worker.Start{
		Order: m.order(n), Task: t.name, Run: t.number, Payload: t.job.spec.Payload, Until: n.until(now, lease),
	})
}

func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		if c := cmp.Compare(a.key.task, b.key.task); c != 0 {
			return c
		}
		return cmp.Compare(a.key.run, b.key.run)
	})
}

// unfit returns why a job is not taken, and when its caller should come back,
// or nothing. Load: an overload that lasts, in which work that can not end in
// time would take the room of work that can.
func (m *Machine) unfit(now time.Time, j *job, final bool) (string, time.Duration) {
	wait, atOnce := m.expectedWait(now, j)
	if atOnce {
		return "", 0
	}
	if !final {
		return "there is no room at once", wait
	}
	end := now.Add(wait + j.chain)
	if end.After(j.uselessAt) || end.After(j.deadline) {
		return "the work ahead takes too long", wait
	}
	return "", 0
}

// expectedWait returns how long it takes until the first step of a job has
// room, and true if it has room at once.
func (m *Machine) expectedWait(now time.Time, j *job) (time.Duration, bool) {
	if m.queue.leads(j) && m.roomAtOnce(now, j) {
		return 0, true
	}
	// The cores at work come free within the mean run time.
	first, s := j.spec.Steps[0], m.stock.pool(j.spec.Pool)
	needed := m.queue.ahead(j) + first.Count*first.Size.Cores - s.freeCores
	if s.usedCores == 0 || needed <= 0 {
		return 0, false
	}
	return time.Duration(float64(needed) / float64(s.usedCores) * float64(m.meanRun)), false
}

// roomAtOnce returns true if all tasks of a job's first step can start at once.
func (m *Machine) roomAtOnce(now time.Time, j *job) bool {
	m.settleTouched(now)
	first := j.spec.Steps[0]
	return m.opened(now, j) && m.room.List(j.spec.Pool, "").Count(first.Size, first.Count) >= first.Count
}
