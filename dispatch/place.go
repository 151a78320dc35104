package dispatch

import (
	"cmp"
	"slices"
	"time"

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
	return m.config.Sure && !slices.ContainsFunc(m.ordered, func(n *node) bool { return !n.adopted })
}

// enqueue puts a job with waiting tasks into its place in the queue.
func (m *Machine) enqueue(_ time.Time, j *job) {
	if j.queued || !j.live || len(j.waiting) == 0 {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(m.queue, j, compareJobs)
	m.queue = slices.Insert(m.queue, i, j)
}

// compareJobs orders jobs by priority and then by the time at which they must
// start to meet their objective. Load: bursts, in which short jobs have little
// time to spare and long ones much.
func compareJobs(a, b *job) int {
	if c := cmp.Compare(a.spec.Priority, b.spec.Priority); c != 0 {
		return c
	}
	if c := a.latest().Compare(b.latest()); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.ID, b.spec.ID)
}

// latest returns when the job must start to meet its objective.
func (j *job) latest() time.Time { return j.objective.Add(-j.spec.Chain()) }

// pump starts what can start, and keeps the watch over all workers.
func (m *Machine) pump(now time.Time) {
	if m.stopped {
		return
	}
	if !m.turned.IsZero() && now.Sub(m.turned) > longPause {
		m.doubted = true
	}
	m.turned = now
	if len(m.queue) > 0 {
		m.startQueued(now)
	}
	for _, n := range m.ordered {
		m.watch(now, n)
	}
}

// hope tells what starting a job now can still achieve.
type hope int

const (
	// onTime means that the objective can be met.
	onTime hope = iota
	// late means that the answer can still be of use.
	late
	// useless means that the answer comes too late to be of use.
	useless

	hopes = 3
)

// startQueued starts tasks in the order of the queue: first those of jobs that
// have begun, whose work would be lost; then those of jobs that can meet their
// objective, then the late ones, and last the rest of those whose answer comes
// too late to be of use. Load: bursts beyond the room of all workers, which
// would otherwise make all jobs late and leave many half done.
func (m *Machine) startQueued(now time.Time) {
	fastest, free := m.fastest(now), m.freeCores(now)
	var begun []*job
	var byHope [hopes][]*job
	for _, j := range m.queue {
		h := j.hope(now, fastest)
		if j.begun && h != useless {
			begun = append(begun, j)
		} else {
			byHope[h] = append(byHope[h], j)
		}
	}
	for _, j := range begun {
		free = m.startJob(now, j, j.hope(now, fastest) != onTime, free)
	}
	for h, jobs := range byHope {
		for _, j := range jobs {
			if hope(h) == useless && !j.begun && !j.kept {
				// Nothing has run: the caller is told at once to come back.
				m.giveUp(now, j)
				continue
			}
			free = m.startJob(now, j, hope(h) != onTime, free)
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool {
		keep := j.live && len(j.waiting) > 0
		j.queued = keep
		return !keep
	})
}

// fastest returns the pace of the fastest worker.
func (m *Machine) fastest(now time.Time) pace {
	best := pace{log: maxPace}
	for _, n := range m.ordered {
		if m.usable(now, n) && n.pace.log < best.log {
			best = n.pace
		}
	}
	return best
}

// hope returns what the fastest worker could still achieve.
func (j *job) hope(now time.Time, fastest pace) hope {
	end := now.Add(fastest.scale(j.spec.Chain()))
	switch {
	case !end.After(j.objective):
		return onTime
	case !end.After(j.useless()):
		return late
	}
	return useless
}

// useless returns when the answer is of no more use to the caller.
func (j *job) useless() time.Time {
	return j.objective.Add((uselessFactor - 1) * j.spec.Objective())
}

// freeCores returns the most cores that are free on one usable worker.
func (m *Machine) freeCores(now time.Time) int {
	free := 0
	for _, n := range m.ordered {
		if left := n.Capacity.Cores - n.used.Cores; left > free && m.usable(now, n) {
			free = left
		}
	}
	return free
}

// startJob starts the tasks of a job that have a worker. Free is the most cores
// that are free on one, and what it returns the same after that. Load: hundreds
// of kept jobs that wait, which are not refused and must not cost a look at each
// worker at each event.
func (m *Machine) startJob(now time.Time, j *job, anyWorker bool, free int) int {
	if m.lingers(j.spec.ID) || !m.opened(now, j) {
		return free
	}
	kept := j.waiting[:0]
	for _, t := range j.waiting {
		if t.step().Size.Cores > free {
			kept = append(kept, t)
			continue
		}
		n := m.choose(now, t, anyWorker)
		if n == nil {
			kept = append(kept, t)
			continue
		}
		m.start(now, t, n)
		free = m.freeCores(now)
	}
	j.waiting = kept
	return free
}

// choose returns the worker for a task, or nil if it has to wait. A task waits
// for a faster worker as long as that can still meet the objective. Of those
// that meet it, the slowest with a margin is taken, so that fast ones are left
// for long tasks; among equals the one with the least room left.
func (m *Machine) choose(now time.Time, t *task, anyWorker bool) *node {
	var best *node
	var bestScore placeScore
	size := t.step().Size
	left := t.job.objective.Sub(now) - answerTime
	for _, n := range m.ordered {
		if !n.suits(t) || !size.Fits(n.Capacity.Minus(n.used)) || !m.usable(now, n) || !m.apart(n, t) {
			continue
		}
		expected := m.expected(n, t)
		if !anyWorker && expected > left {
			continue
		}
		if m.leash(now, n, t.job) < minLease || m.outlived(n, t.job) {
			continue
		}
		score := placeScore{
			failed:   slices.Contains(t.failed, n.ID) || (t.attempts > 0 && n.failures > 0),
			spare:    !anyWorker && scaled(expected, paceMargin) <= left,
			expected: expected,
			room:     n.Capacity.Cores - n.used.Cores - size.Cores,
		}
		if best == nil || score.better(bestScore) {
			best, bestScore = n, score
		}
	}
	return best
}

// placeScore compares workers for a task.
type placeScore struct {
	// failed is true if the task, or the last one there, has failed on the
	// worker.
	failed   bool
	spare    bool
	expected time.Duration
	room     int
}

// similarPace is the ratio of run times below which two workers count as
// equally fast.
const similarPace = 1.15

func (s placeScore) better(o placeScore) bool {
	if s.failed != o.failed {
		return !s.failed
	}
	if s.spare != o.spare {
		return s.spare
	}
	slower := float64(s.expected) > similarPace*float64(o.expected)
	faster := float64(o.expected) > similarPace*float64(s.expected)
	if slower || faster {
		return slower == s.spare
	}
	return s.room < o.room
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
	t.run = r
	t.job.begun = true
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

// watch looks at a worker as long as something runs there, is not known or must
// be acknowledged.
func (m *Machine) watch(now time.Time, n *node) {
	if n.watching || now.Before(n.nextLook) {
		return
	}
	l := worker.Look{}
	switch {
	case !n.adopted || !n.silent.IsZero():
		if !n.listed && len(n.runs) == 0 && !now.Before(m.open) {
			return
		}
	case n.hasConfirmed():
		l.Wait = watchTime
	case n.listed && now.Sub(n.clockAt) > clockTime:
	case n.noted >= n.forgettable() || n.noteAt.IsZero() || now.Before(n.noteAt):
		return
	}
	n.watching = true
	m.lookFor(now, n, l)
}

// hasConfirmed returns true if the worker is known to have a run.
func (n *node) hasConfirmed() bool {
	for _, r := range n.runs {
		if r.state != ordered {
			return true
		}
	}
	return false
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
	end := now.Add(wait + j.spec.Chain())
	if end.After(j.useless()) || end.After(j.deadline) {
		return "the work ahead takes too long", wait
	}
	return "", 0
}

// expectedWait returns how long it takes until the first step of a job has
// room, and true if it has room at once.
func (m *Machine) expectedWait(now time.Time, j *job) (time.Duration, bool) {
	first := j.spec.Steps[0]
	ahead := 0
	for _, q := range m.queue {
		if compareJobs(q, j) < 0 {
			ahead += q.waitingCores()
		}
	}
	room, free, used := 0, 0, 0
	for _, n := range m.ordered {
		if !n.listed || n.Pool != j.spec.Pool {
			continue
		}
		used += n.used.Cores
		if m.usable(now, n) {
			room += n.roomFor(first.Size)
			free += n.Capacity.Cores - n.used.Cores
		}
	}
	if ahead == 0 && room >= first.Count && m.opened(now, j) {
		return 0, true
	}
	// The cores at work come free within the mean run time.
	needed := ahead + first.Count*first.Size.Cores - free
	if used == 0 || needed <= 0 {
		return 0, false
	}
	return time.Duration(float64(needed) / float64(used) * float64(m.meanRun)), false
}

// waitingCores returns the cores of the tasks that wait.
func (j *job) waitingCores() int {
	total := 0
	for _, t := range j.waiting {
		total += t.step().Size.Cores
	}
	return total
}

// roomFor returns how many tasks of a size a worker has room for.
func (n *node) roomFor(s work.Size) int {
	free := n.Capacity.Minus(n.used)
	count := len(n.runs) + 1000
	for _, d := range [][2]int{{free.Cores, s.Cores}, {free.Memory, s.Memory}, {free.Graphics, s.Graphics}} {
		if d[1] > 0 {
			count = min(count, d[0]/d[1])
		}
	}
	return max(0, count)
}
